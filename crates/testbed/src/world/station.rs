//! A processor-sharing station (Kleinrock, Queueing Systems vol. II, ch. 4): running pieces of work share its
//! cores equally, a bounded number of others wait for a slot, and any more are rejected.

use lotusdeck_policy::{Micros, Time};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Identifies a piece of work to the caller that submitted it.
pub type Ticket = u64;

/// The fixed properties of a station.
#[derive(Clone, Debug, PartialEq)]
pub struct Build {
    /// Number of cores; a piece of work uses at most one.
    pub cores: f64,
    /// Speed of a core relative to a standard one.
    pub speed: f64,
    /// Most pieces that run at once.
    pub slots: usize,
    /// Most pieces that wait for a slot.
    pub room: usize,
    /// Part of its speed that it loses when its queue is full; less in proportion when it is not.
    pub drag: f64,
    /// Part of its speed that it has when it starts.
    pub cold_from: f64,
    /// Time from its start until it is warm, over which its speed rises linearly.
    pub ramp: Micros,
}

/// Seconds after which a predicted end of work is recomputed during warm-up, when the speed still changes.
const WARM_UP_STEP_S: f64 = 0.02;
/// Remaining work, in core-seconds, at which a piece counts as done: less than the clock's resolution of a
/// microsecond.
const DONE_BELOW: f64 = 1e-7;

/// A processor-sharing station.
///
/// `attained` is the work that a piece would have received had it run since the start of the busy period. As all
/// pieces share equally, a piece ends when `attained` reaches its mark, set when it started. So an arrival or a
/// departure costs a lookup and no pass over all running pieces.
pub struct Station {
    build: Build,
    /// When it started; `None` means so long ago that it is warm.
    booted: Option<Time>,
    /// Factor on its speed from outside; 0 stops it.
    factor: f64,
    at: Time,
    attained: f64,
    running: BTreeSet<(u64, Ticket)>,
    marks: HashMap<Ticket, u64>,
    waiting: VecDeque<(Ticket, f64)>,
    /// Total core-seconds done.
    done: f64,
}

impl Station {
    /// Creates an idle station.
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

    /// Returns the part of its speed that it has reached at `now`, from `cold_from` to 1.
    pub fn warmth(&self, now: Time) -> f64 {
        let ramp = self.build.ramp.secs();
        let age = self.booted.map_or(f64::MAX, |boot| (now - boot).secs());
        let warmed_up = if ramp > 0.0 { (age / ramp).min(1.0) } else { 1.0 };
        self.build.cold_from + (1.0 - self.build.cold_from) * warmed_up
    }

    /// Returns the work it can do per second at `now`, in core-seconds of a standard core, leaving out the outside
    /// factor and the drag.
    pub fn capacity(&self, now: Time) -> f64 {
        self.build.cores * self.build.speed * self.warmth(now)
    }

    /// Returns how many pieces it holds, running and waiting.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns how many pieces wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the total core-seconds done.
    pub fn done(&self) -> f64 {
        self.done
    }

    /// Sets the outside factor on its speed from `now` on; 0 stops it.
    pub fn slow(&mut self, now: Time, factor: f64) {
        self.advance(now);
        self.factor = factor.max(0.0);
    }

    /// Adds a piece of `work` core-seconds; returns false when all slots and queue places are taken. Call
    /// [`Station::due`] first.
    pub fn submit(&mut self, now: Time, ticket: Ticket, work: f64) -> bool {
        self.advance(now);
        if self.running.len() < self.build.slots {
            self.run(ticket, work);
        } else if self.waiting.len() < self.build.room {
            self.waiting.push_back((ticket, work));
        } else {
            return false;
        }
        true
    }

    /// Removes a piece of work; returns false when the station does not hold it.
    pub fn withdraw(&mut self, now: Time, ticket: Ticket) -> bool {
        self.advance(now);
        if let Some(mark) = self.marks.remove(&ticket) {
            self.running.remove(&(mark, ticket));
            self.start_waiting();
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|w| w.0 != ticket);
        self.waiting.len() < before
    }

    /// Returns when to call [`Station::due`] next: at the predicted end of a piece, or earlier during warm-up.
    /// `None` when nothing runs or the station is stopped.
    pub fn next(&self) -> Option<Time> {
        let (mark, _) = self.running.first()?;
        let rate = self.rate(self.at, self.at);
        if rate <= 0.0 {
            return None;
        }
        let mut span = ((f64::from_bits(*mark) - self.attained) / rate).max(0.0);
        if self.warmth(self.at) < 1.0 {
            span = span.min(WARM_UP_STEP_S);
        }
        Some(Time(self.at.0 + (span * 1e6).ceil() as u64))
    }

    /// Adds the pieces that have ended by `now` to `ended`, in order and with their times.
    pub fn due(&mut self, now: Time, ended: &mut Vec<(Time, Ticket)>) {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            self.advance(at);
            let mut any = false;
            while let Some(&(mark, ticket)) = self.running.first() {
                if f64::from_bits(mark) - self.attained > DONE_BELOW {
                    break;
                }
                self.running.pop_first();
                self.marks.remove(&ticket);
                ended.push((at, ticket));
                any = true;
            }
            if any {
                self.start_waiting();
            }
        }
        self.advance(now);
    }

    /// Removes all pieces and returns their tickets.
    pub fn clear(&mut self, now: Time) -> Vec<Ticket> {
        self.advance(now);
        self.running.clear();
        self.marks.drain().map(|m| m.0).chain(self.waiting.drain(..).map(|w| w.0)).collect()
    }

    fn run(&mut self, ticket: Ticket, work: f64) {
        if self.running.is_empty() {
            self.attained = 0.0; // a new busy period: starting from 0 keeps the marks small and exact
        }
        // The bit patterns of positive floats sort in the same order as their values.
        let mark = (self.attained + work.max(DONE_BELOW)).to_bits();
        self.running.insert((mark, ticket));
        self.marks.insert(ticket, mark);
    }

    fn start_waiting(&mut self) {
        while self.running.len() < self.build.slots {
            let Some((ticket, work)) = self.waiting.pop_front() else { return };
            self.run(ticket, work);
        }
    }

    /// Returns the work per second that each running piece receives, averaged from `from` to `to`.
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

    fn advance(&mut self, now: Time) {
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
