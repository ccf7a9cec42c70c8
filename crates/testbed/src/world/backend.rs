//! A backend: a station, with a connection limit, a cache of known keys, a health state and slowdowns.

use super::station::{Build, Station, Ticket};
use lotusdeck_policy::{Micros, Time};
use std::collections::{HashSet, VecDeque};

/// The fixed properties of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its name in discovery.
    pub name: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Its cell, which discovery reports as its group.
    pub cell: u64,
    /// The station that runs its work.
    pub build: Build,
    /// Most connections it accepts requests with; beyond that, it rejects them.
    pub connections: u32,
    /// Work of a new connection, in core-seconds.
    pub handshake: f64,
    /// Number of keys it remembers.
    pub keys: usize,
    /// Factor on the work of a request whose key it does not remember.
    pub miss: f64,
}

/// The state of a backend's process or machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It serves requests.
    Up,
    /// It finishes the requests it holds and rejects new ones.
    Draining,
    /// Its machine hangs: it answers nothing and closes nothing.
    Hung,
    /// Its process is not running.
    Down,
}

/// Why a request was rejected before any work on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// All slots and all places in the queue are taken.
    Full,
    /// The backend is draining.
    Draining,
    /// More connections are open than the backend allows.
    Connections,
}

/// Work sent to a cold backend against its limit, in the worst window so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// Work sent within the window, in core-seconds.
    pub sent: f64,
    /// Limit for the window, in core-seconds.
    pub limit: f64,
}

/// The limit on the work that a cold backend may be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FallRule {
    /// Multiple of the backend's current capacity.
    pub multiple: f64,
    /// Window over which the work is summed.
    pub window: Micros,
}

/// A backend's state.
pub struct Backend {
    /// Its fixed properties.
    pub spec: Spec,
    /// The state of its process or machine.
    pub health: Health,
    /// When its process last started; `None` means so long ago that it is warm.
    pub booted: Option<Time>,
    station: Station,
    own_factor: f64,
    shared_factor: f64,
    connections: u32,
    known_keys: HashSet<u64>,
    key_order: VecDeque<u64>,
    fall_rule: FallRule,
    recent_work: VecDeque<(Time, f64)>,
    /// The worst window while it was cold, over the whole run.
    pub pressure: Pressure,
}

impl Backend {
    /// Creates a warm backend that serves requests.
    pub fn new(spec: Spec, fall_rule: FallRule, now: Time) -> Backend {
        Backend {
            station: Station::new(spec.build.clone(), None, now),
            health: Health::Up,
            booted: None,
            own_factor: 1.0,
            shared_factor: 1.0,
            connections: 0,
            known_keys: HashSet::new(),
            key_order: VecDeque::new(),
            fall_rule,
            recent_work: VecDeque::new(),
            pressure: Pressure::default(),
            spec,
        }
    }

    /// Returns how many requests it holds, and how many of these are queued.
    pub fn held(&self) -> (usize, usize) {
        (self.station.held(), self.station.waiting())
    }

    /// Returns the work it can do per second now, in core-seconds, counting warm-up and slowdowns but neither a
    /// hang nor the drag of a full queue.
    pub fn capacity(&self, now: Time) -> f64 {
        self.station.capacity(now) * self.own_factor * self.shared_factor
    }

    /// Returns the core-seconds done by the current process.
    pub fn done(&self) -> f64 {
        self.station.done()
    }

    /// Counts a new connection and submits the work of its handshake, as with TLS. That work takes up capacity but
    /// belongs to no request; a full station drops it.
    pub fn opened(&mut self, now: Time, ticket: Ticket) {
        self.connections += 1;
        let _ = self.station.submit(now, ticket, self.spec.handshake);
    }

    /// Counts a closed connection.
    pub fn closed(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Takes a request that has arrived completely, or rejects it. Call [`Backend::due`] first.
    pub fn arrive(&mut self, now: Time, ticket: Ticket, key: u64, work: f64) -> Result<(), Rejection> {
        let work = if self.remember_key(key) { work } else { work * self.spec.miss };
        self.update_pressure(now, work);
        if self.health == Health::Draining {
            return Err(Rejection::Draining);
        }
        if self.connections > self.spec.connections {
            return Err(Rejection::Connections);
        }
        self.station.submit(now, ticket, work).then_some(()).ok_or(Rejection::Full)
    }

    /// Removes a request whose caller has given it up.
    pub fn withdraw(&mut self, now: Time, ticket: Ticket) {
        self.station.withdraw(now, ticket);
    }

    /// Returns when to call [`Backend::due`] next.
    pub fn next(&self) -> Option<Time> {
        self.station.next()
    }

    /// Adds the work that has ended by `now` to `ended`.
    pub fn due(&mut self, now: Time, ended: &mut Vec<(Time, Ticket)>) {
        self.station.due(now, ended);
    }

    /// Sets this backend's own slowdown: the part of its speed that remains.
    pub fn slow(&mut self, now: Time, factor: f64) {
        self.own_factor = factor;
        self.apply_factor(now);
    }

    /// Sets the slowdown from a dependency that all backends share: the part of the speed that remains.
    pub fn slow_shared(&mut self, now: Time, factor: f64) {
        self.shared_factor = factor;
        self.apply_factor(now);
    }

    /// Changes the health state. A process that ends loses its requests; one that starts is cold and knows no
    /// keys.
    pub fn set_health(&mut self, now: Time, health: Health) {
        if health == Health::Down {
            self.station.clear(now);
            self.connections = 0;
        }
        if self.health == Health::Down && health == Health::Up {
            self.booted = Some(now);
            self.station = Station::new(self.spec.build.clone(), Some(now), now);
            self.known_keys.clear();
            self.key_order.clear();
            self.recent_work.clear();
        }
        self.health = health;
        self.apply_factor(now);
    }

    fn apply_factor(&mut self, now: Time) {
        let factor = if self.health == Health::Hung { 0.0 } else { self.own_factor * self.shared_factor };
        self.station.slow(now, factor);
    }

    /// Returns whether the key was known, and remembers it. The oldest key goes when there are too many.
    fn remember_key(&mut self, key: u64) -> bool {
        let new = self.known_keys.insert(key);
        if new {
            self.key_order.push_back(key);
            if self.key_order.len() > self.spec.keys {
                self.key_order.pop_front().map(|old| self.known_keys.remove(&old));
            }
        }
        !new
    }

    /// Updates the worst window with a request that arrived. Rejected requests count too. Does nothing for a
    /// backend that was already warm when the window began.
    fn update_pressure(&mut self, now: Time, work: f64) {
        let window_start = now - self.fall_rule.window;
        if self.station.warmth(window_start) >= 1.0 {
            self.recent_work.clear();
            return;
        }
        self.recent_work.retain(|r| r.0 >= window_start);
        self.recent_work.push_back((now, work));
        let sent: f64 = self.recent_work.iter().map(|r| r.1).sum();
        let limit = self.fall_rule.multiple * self.station.capacity(now) * self.fall_rule.window.secs();
        if sent * self.pressure.limit >= self.pressure.sent * limit {
            self.pressure = Pressure { sent, limit };
        }
    }
}

#[cfg(test)]
mod tests;
