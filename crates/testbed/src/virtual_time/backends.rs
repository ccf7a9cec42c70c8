//! Backends: they take attempts in, work, end them, and lose them.

use super::event::{Event, SentAttempt};
use super::{Simulation, ONE_WAY};
use crate::record::{Observation, RequestEnd};
use crate::world::backend::Health;
use crate::world::station::Ticket;
use lotusdeck_policy::{Outcome, Time};

impl Simulation<'_> {
    /// A ticket that was not given before.
    pub(super) fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// A backend works on a new connection.
    pub(super) fn handshake(&mut self, backend: usize) {
        self.settle(backend);
        let ticket = self.next_ticket();
        self.backends[backend].opened(self.now, ticket);
        self.schedule(backend);
    }

    /// An attempt has reached its backend.
    pub(super) fn reach(&mut self, attempt: SentAttempt, backend: usize, ticket: Ticket) {
        match self.backends[backend].health {
            Health::Hung => return, // nothing is heard of it again
            Health::Down => {
                self.after(ONE_WAY, Event::Back { attempt, outcome: Outcome::Reset });
                return;
            }
            Health::Up | Health::Draining => {}
        }
        self.settle(backend);
        let id = attempt.id;
        self.record(Observation::Began { id, backend });
        let arrival = &self.plan.arrivals[id.arrival as usize];
        if self.backends[backend].arrive(self.now, ticket, arrival.key, arrival.work).is_ok() {
            self.held[backend].insert(ticket, attempt);
        } else {
            self.record(Observation::Ended { id, backend, how: RequestEnd::TurnedAway });
            self.after(ONE_WAY, Event::Back { attempt, outcome: Outcome::Rejected });
        }
        self.schedule(backend);
    }

    /// Ends what a backend is through with by now.
    pub(super) fn settle(&mut self, backend: usize) {
        let mut ended = Vec::new();
        self.backends[backend].due(self.now, &mut ended);
        for (_, ticket) in ended {
            if let Some(attempt) = self.held[backend].remove(&ticket) {
                self.record(Observation::Ended { id: attempt.id, backend, how: RequestEnd::Served });
                self.after(ONE_WAY, Event::Back { attempt, outcome: Outcome::Success });
            }
        }
        self.schedule(backend);
    }

    /// A backend hears that an attempt was given up, if it still holds it.
    pub(super) fn withdraw(&mut self, backend: usize, ticket: Ticket) {
        self.settle(backend);
        if let Some(attempt) = self.held[backend].remove(&ticket) {
            self.backends[backend].withdraw(self.now, ticket);
            self.record(Observation::Ended { id: attempt.id, backend, how: RequestEnd::Withdrawn });
            self.schedule(backend);
        }
    }

    /// Sets the backend's next moment, in place of the one that was set before.
    pub(super) fn schedule(&mut self, backend: usize) {
        self.stamps[backend] += 1;
        if let Some(at) = self.backends[backend].next() {
            let stamp = self.stamps[backend];
            // Never at this very moment again: a microsecond is the clock's step.
            self.at(at.max(Time(self.now.0 + 1)), Event::Due { backend, stamp });
        }
    }

    /// A process or a machine takes down what it held.
    pub(super) fn drop_held(&mut self, backend: usize) {
        let mut lost: Vec<_> = self.held[backend].drain().collect();
        lost.sort_by_key(|(ticket, _)| *ticket);
        for (_, attempt) in lost {
            self.record(Observation::Ended { id: attempt.id, backend, how: RequestEnd::Died });
            self.after(ONE_WAY, Event::Back { attempt, outcome: Outcome::Reset });
        }
        self.proxies.iter_mut().for_each(|proxy| proxy.forget_connections(backend));
    }

    /// Records how hard each backend was pressed while it was cold.
    pub(super) fn record_pressure(&mut self) {
        for backend in 0..self.backends.len() {
            let pressure = self.backends[backend].pressure;
            if pressure.sent > 0.0 {
                self.record(Observation::Pressure { backend, sent: pressure.sent, bears: pressure.bears });
            }
        }
    }
}
