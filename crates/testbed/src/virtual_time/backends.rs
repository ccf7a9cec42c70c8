//! Backends: attempts arrive there, are served, withdrawn or lost.

use super::event::{Event, SentAttempt};
use super::{Simulation, ONE_WAY};
use crate::record::{Observation, RequestEnd};
use crate::world::backend::Health;
use crate::world::station::Ticket;
use lotusdeck_policy::{Outcome, Time};

impl Simulation<'_> {
    /// Returns a new ticket.
    pub(super) fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Adds the work of a new connection's handshake to a backend.
    pub(super) fn handshake(&mut self, backend: usize) {
        self.end_finished_attempts(backend);
        let ticket = self.next_ticket();
        self.backends[backend].opened(self.now, ticket);
        self.schedule(backend);
    }

    /// Handles the arrival of an attempt at its backend.
    pub(super) fn reach(&mut self, attempt: SentAttempt, backend: usize, ticket: Ticket) {
        match self.backends[backend].health {
            Health::Hung => return, // no answer ever comes back
            Health::Down => {
                self.after(ONE_WAY, Event::Back { attempt, outcome: Outcome::Reset });
                return;
            }
            Health::Up | Health::Draining => {}
        }
        self.end_finished_attempts(backend);
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

    /// Ends the attempts that a backend has finished by now.
    pub(super) fn end_finished_attempts(&mut self, backend: usize) {
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

    /// Withdraws an attempt that its proxy gave up, if the backend still holds it.
    pub(super) fn withdraw(&mut self, backend: usize, ticket: Ticket) {
        self.end_finished_attempts(backend);
        if let Some(attempt) = self.held[backend].remove(&ticket) {
            self.backends[backend].withdraw(self.now, ticket);
            self.record(Observation::Ended { id: attempt.id, backend, how: RequestEnd::Withdrawn });
            self.schedule(backend);
        }
    }

    /// Schedules the backend's next [`Event::Due`], which replaces the previous one.
    pub(super) fn schedule(&mut self, backend: usize) {
        self.stamps[backend] += 1;
        if let Some(at) = self.backends[backend].next() {
            let stamp = self.stamps[backend];
            // At least a microsecond from now, the clock's step: otherwise it could be due at the same time
            // without end.
            self.at(at.max(Time(self.now.0 + 1)), Event::Due { backend, stamp });
        }
    }

    /// Resets all attempts at a backend whose process or machine went down, and drops the idle connections to it.
    pub(super) fn drop_held(&mut self, backend: usize) {
        let mut lost: Vec<_> = self.held[backend].drain().collect();
        lost.sort_by_key(|(ticket, _)| *ticket);
        for (_, attempt) in lost {
            self.record(Observation::Ended { id: attempt.id, backend, how: RequestEnd::Died });
            self.after(ONE_WAY, Event::Back { attempt, outcome: Outcome::Reset });
        }
        self.proxies.iter_mut().for_each(|proxy| proxy.forget_connections(backend));
    }

    /// Records for each backend the worst window of work sent while it was cold.
    pub(super) fn record_pressure(&mut self) {
        for backend in 0..self.backends.len() {
            let pressure = self.backends[backend].pressure;
            if pressure.sent > 0.0 {
                self.record(Observation::Pressure { backend, sent: pressure.sent, bears: pressure.limit });
            }
        }
    }
}
