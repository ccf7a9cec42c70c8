//! A processor-sharing station (Kleinrock, Queueing Systems vol. II, ch. 4): all that run share its cores evenly,
//! some wait for a slot, and more than that is turned away.

use lotusdeck_policy::{Micros, Time};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Names a piece of work to whoever brought it.
pub type Ticket = u64;

/// How a station is built.
#[derive(Clone, Debug, PartialEq)]
pub struct Build {
    /// Cores; a piece of work uses one at most.
    pub cores: f64,
    /// Speed of a core against a standard one.
    pub speed: f64,
    /// Pieces that run at once.
    pub slots: usize,
    /// Pieces that wait for a slot.
    pub room: usize,
    /// Part of its speed that it loses when the room is full.
    pub drag: f64,
    /// Part of its speed with which it starts.
    pub cold_from: f64,
    /// It is warm after this time.
    pub ramp: Micros,
}

/// While it warms up, a finishing time holds for so long and is then reckoned anew, s.
const WARM_STEP: f64 = 0.02;
/// Work smaller than this is done, core-seconds: below the clock's microsecond.
const DONE: f64 = 1e-7;

/// Work attained by whoever has run since the start of the busy period; with even sharing a piece ends when that
/// reaches its mark, so that an arrival or a departure costs a look-up, however many run.
pub struct Station {
    build: Build,
    /// When it started; `None` means long ago.
    booted: Option<Time>,
    /// What slows it from outside; 0 stands still.
    factor: f64,
    at: Time,
    attained: f64,
    running: BTreeSet<(u64, Ticket)>,
    marks: HashMap<Ticket, u64>,
    waiting: VecDeque<(Ticket, f64)>,
    /// Core-seconds done in all.
    done: f64,
}

impl Station {
    /// An idle one.
    pub fn new(build: Build, booted: Option<Time>, now: Time) -> Station {
        Station {
            build,
            booted,
            factor: 1.0,
            at: now,
            attained: 0.0,
            running: BTreeSet::new(),
            marks: HashMap::new(),
            waiting: VecDeque::new(),
            done: 0.0,
        }
    }

    /// The part of its speed that it has at `now`, from `cold_from` to 1.
    pub fn warmth(&self, now: Time) -> f64 {
        let ramp = self.build.ramp.secs();
        let age = self.booted.map_or(f64::MAX, |boot| (now - boot).secs());
        let part = if ramp > 0.0 { (age / ramp).min(1.0) } else { 1.0 };
        self.build.cold_from + (1.0 - self.build.cold_from) * part
    }

    /// Work that it can do in a second at `now`, core-seconds of a standard core.
    pub fn capacity(&self, now: Time) -> f64 {
        self.build.cores * self.build.speed * self.warmth(now)
    }

    /// How many it holds, running and waiting.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Core-seconds done in all.
    pub fn done(&self) -> f64 {
        self.done
    }

    /// Another part of its speed from `now` on; 0 stands still.
    pub fn slow(&mut self, now: Time, factor: f64) {
        self.pass(now);
        self.factor = factor.max(0.0);
    }

    /// Brings work of so many core-seconds; false when there is no place for it. Call [`Station::due`] before.
    pub fn submit(&mut self, now: Time, ticket: Ticket, work: f64) -> bool {
        self.pass(now);
        if self.running.len() < self.build.slots {
            self.run(ticket, work);
        } else if self.waiting.len() < self.build.room {
            self.waiting.push_back((ticket, work));
        } else {
            return false;
        }
        true
    }

    /// Takes a piece of work back; false when it is not here.
    pub fn withdraw(&mut self, now: Time, ticket: Ticket) -> bool {
        self.pass(now);
        if let Some(mark) = self.marks.remove(&ticket) {
            self.running.remove(&(mark, ticket));
            self.promote();
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|w| w.0 != ticket);
        self.waiting.len() < before
    }

    /// When the next piece ends, or when to ask again.
    pub fn next(&self) -> Option<Time> {
        let (mark, _) = self.running.first()?;
        let rate = self.rate(self.at, self.at);
        if rate <= 0.0 {
            return None;
        }
        let mut span = ((f64::from_bits(*mark) - self.attained) / rate).max(0.0);
        if self.warmth(self.at) < 1.0 {
            span = span.min(WARM_STEP);
        }
        Some(Time(self.at.0 + (span * 1e6).ceil() as u64))
    }

    /// Adds what has ended by `now`, in its order and with its time.
    pub fn due(&mut self, now: Time, ended: &mut Vec<(Time, Ticket)>) {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            self.pass(at);
            let mut any = false;
            while let Some(&(mark, ticket)) = self.running.first() {
                if f64::from_bits(mark) - self.attained > DONE {
                    break;
                }
                self.running.pop_first();
                self.marks.remove(&ticket);
                ended.push((at, ticket));
                any = true;
            }
            if any {
                self.promote();
            }
        }
        self.pass(now);
    }

    /// Empties it; what it held.
    pub fn clear(&mut self, now: Time) -> Vec<Ticket> {
        self.pass(now);
        self.running.clear();
        self.marks.drain().map(|m| m.0).chain(self.waiting.drain(..).map(|w| w.0)).collect()
    }

    fn run(&mut self, ticket: Ticket, work: f64) {
        if self.running.is_empty() {
            self.attained = 0.0; // a new busy period: the marks stay small and exact
        }
        // Positive floats sort as their bits do.
        let mark = (self.attained + work.max(DONE)).to_bits();
        self.running.insert((mark, ticket));
        self.marks.insert(ticket, mark);
    }

    fn promote(&mut self) {
        while self.running.len() < self.build.slots {
            let Some((ticket, work)) = self.waiting.pop_front() else { return };
            self.run(ticket, work);
        }
    }

    /// Work a second for each that runs, as it is on average from `from` to `to`.
    fn rate(&self, from: Time, to: Time) -> f64 {
        let n = self.running.len() as f64;
        if n == 0.0 {
            return 0.0;
        }
        let full = self.waiting.len() as f64 / self.build.room.max(1) as f64;
        let warmth = (self.warmth(from) + self.warmth(to)) / 2.0;
        self.build.speed
            * self.factor
            * warmth
            * (self.build.cores / n).min(1.0)
            * (1.0 - self.build.drag * full)
    }

    fn pass(&mut self, now: Time) {
        if now <= self.at {
            return;
        }
        let work = self.rate(self.at, now) * (now - self.at).secs();
        self.attained += work;
        self.done += work * self.running.len() as f64;
        self.at = now;
    }
}

#[cfg(test)]
mod tests;
