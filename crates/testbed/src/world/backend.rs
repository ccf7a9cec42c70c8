//! A backend: a station behind a door that counts connections, knows keys and may be ill.

use super::station::{Build, Station, Ticket};
use lotusdeck_policy::{Micros, Time};
use std::collections::{HashSet, VecDeque};

/// How a backend is built.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// What discovery calls it.
    pub name: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Its cell: backends that share which keys they have seen.
    pub cell: u64,
    /// Its machine.
    pub build: Build,
    /// Connections that it holds at most.
    pub connections: u32,
    /// Work that a new connection costs it, core-seconds.
    pub handshake: f64,
    /// Keys that it remembers.
    pub keys: usize,
    /// A key that it has not met multiplies the work by this.
    pub miss: f64,
}

/// What it is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It serves.
    Up,
    /// It finishes what it has and turns away what is new.
    Draining,
    /// Its machine is silent: nothing is answered, nothing is closed.
    Hung,
    /// No process listens.
    Down,
}

/// Why a request was turned away unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No slot and no room.
    Full,
    /// It drains.
    Draining,
    /// Too many connections.
    Connections,
}

/// How much a cold backend was sent against what it bears: the worst window so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// Work sent inside the window, core-seconds.
    pub sent: f64,
    /// What it bears in that window.
    pub bears: f64,
}

/// The bound on what a cold backend may be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FallRule {
    /// Of its present capacity ...
    pub multiple: f64,
    /// ... over this time.
    pub window: Micros,
}

/// One backend's state.
pub struct Backend {
    /// How it is built.
    pub spec: Spec,
    /// What it is good for.
    pub health: Health,
    /// When it last started; `None` means long ago.
    pub booted: Option<Time>,
    station: Station,
    own: f64,
    shared: f64,
    connections: u32,
    known: HashSet<u64>,
    order: VecDeque<u64>,
    rule: FallRule,
    recent: VecDeque<(Time, f64)>,
    /// The worst window while it was cold.
    pub pressure: Pressure,
}

impl Backend {
    /// A warm one that serves.
    pub fn new(spec: Spec, rule: FallRule, now: Time) -> Backend {
        Backend {
            station: Station::new(spec.build.clone(), None, now),
            health: Health::Up,
            booted: None,
            own: 1.0,
            shared: 1.0,
            connections: 0,
            known: HashSet::new(),
            order: VecDeque::new(),
            rule,
            recent: VecDeque::new(),
            pressure: Pressure::default(),
            spec,
        }
    }

    /// How many requests it holds, and how many of them wait.
    pub fn held(&self) -> (usize, usize) {
        (self.station.held(), self.station.waiting())
    }

    /// Core-seconds a second that it can do now, warmth included and slowness left out.
    pub fn capacity(&self, now: Time) -> f64 {
        self.station.capacity(now) * self.own * self.shared
    }

    /// Core-seconds done by the present process.
    pub fn done(&self) -> f64 {
        self.station.done()
    }

    /// A connection came up. It costs work at once, as a TLS handshake would; that work is nobody's.
    pub fn opened(&mut self, now: Time, ticket: Ticket) {
        self.connections += 1;
        let _ = self.station.submit(now, ticket, self.spec.handshake);
    }

    /// A connection ended.
    pub fn closed(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// A whole request has come. Call [`Backend::due`] before.
    pub fn arrive(&mut self, now: Time, ticket: Ticket, key: u64, work: f64) -> Result<(), Why> {
        let work = if self.meet(key) { work } else { work * self.spec.miss };
        self.weigh(now, work);
        if self.health == Health::Draining {
            return Err(Why::Draining);
        }
        if self.connections > self.spec.connections {
            return Err(Why::Connections);
        }
        self.station.submit(now, ticket, work).then_some(()).ok_or(Why::Full)
    }

    /// The caller has gone.
    pub fn withdraw(&mut self, now: Time, ticket: Ticket) {
        self.station.withdraw(now, ticket);
    }

    /// When to call [`Backend::due`] next.
    pub fn next(&self) -> Option<Time> {
        self.station.next()
    }

    /// Adds what has ended by `now`.
    pub fn due(&mut self, now: Time, ended: &mut Vec<(Time, Ticket)>) {
        self.station.due(now, ended);
    }

    /// Its own slowness: the part of its speed that it keeps.
    pub fn slow(&mut self, now: Time, factor: f64) {
        self.own = factor;
        self.apply(now);
    }

    /// What a shared dependency leaves of its speed.
    pub fn slow_shared(&mut self, now: Time, factor: f64) {
        self.shared = factor;
        self.apply(now);
    }

    /// Another state. A process that ends loses what it held; one that starts is cold and knows no key.
    pub fn turn(&mut self, now: Time, health: Health) {
        if health == Health::Down {
            self.station.clear(now);
            self.connections = 0;
        }
        if self.health == Health::Down && health == Health::Up {
            self.booted = Some(now);
            self.station = Station::new(self.spec.build.clone(), Some(now), now);
            self.known.clear();
            self.order.clear();
            self.recent.clear();
        }
        self.health = health;
        self.apply(now);
    }

    fn apply(&mut self, now: Time) {
        let factor = if self.health == Health::Hung { 0.0 } else { self.own * self.shared };
        self.station.slow(now, factor);
    }

    /// Whether the key is known; it is from now on.
    fn meet(&mut self, key: u64) -> bool {
        let new = self.known.insert(key);
        if new {
            self.order.push_back(key);
            if self.order.len() > self.spec.keys {
                self.order.pop_front().map(|old| self.known.remove(&old));
            }
        }
        !new
    }

    /// Keeps the worst window of what reached it while cold; turned away or not, it weighs.
    fn weigh(&mut self, now: Time, work: f64) {
        let began = now - self.rule.window;
        if self.station.warmth(began) >= 1.0 {
            self.recent.clear();
            return;
        }
        self.recent.retain(|r| r.0 >= began);
        self.recent.push_back((now, work));
        let sent: f64 = self.recent.iter().map(|r| r.1).sum();
        let bears = self.rule.multiple * self.station.capacity(now) * self.rule.window.secs();
        if sent * self.pressure.bears >= self.pressure.sent * bears {
            self.pressure = Pressure { sent, bears };
        }
    }
}

#[cfg(test)]
mod tests;
