//! Proxies: events for their policies, and the actions that follow.

use super::event::{AttemptKey, Event, SentAttempt};
use super::proxy::{Answer, InFlight, Step};
use super::{Simulation, ONE_WAY};
use crate::world::backend::Health;
use lotusdeck_policy::{Micros, Outcome, RequestId, Time};

/// Time after which opening a connection to a hung backend fails.
const CONNECT_TIMEOUT: Micros = Micros(300_000);
/// Time to open a connection, or to learn that it is refused.
const ROUND_TRIP: Micros = Micros(2 * ONE_WAY.0);
/// The policies' clock at the start of the run: further from zero than any warm-up time.
const MODULE_START: Time = Time(1_000_000_000);

/// Converts a time of the run to the policies' clock.
pub(super) fn module_time(at: Time) -> Time {
    Time(MODULE_START.0 + at.0)
}

impl Simulation<'_> {
    /// Passes pending events to a proxy's policy until none is left, and carries out the resulting steps.
    pub(super) fn pump(&mut self, proxy: usize) {
        if self.proxies[proxy].uses_global_view() {
            self.update_global_view();
        }
        let mut steps = Vec::new();
        self.proxies[proxy].pump(module_time(self.now), &self.global_view, &mut steps);
        for step in steps {
            self.carry_out(proxy, step);
        }
    }

    /// Updates the global view to the current time.
    fn update_global_view(&mut self) {
        for (global_view, backend) in self.global_view.iter_mut().zip(&self.backends) {
            let serves = backend.health == Health::Up;
            let speed = backend.capacity(self.now);
            *global_view = if serves { (backend.held().0 as f64 + 1.0) / speed } else { f64::INFINITY };
        }
    }

    fn carry_out(&mut self, proxy: usize, step: Step) {
        let generation = self.proxies[proxy].generation();
        match step {
            Step::Answer { id, answer } => {
                let (status, retry_after) = match answer {
                    Answer::Served => (200, None),
                    Answer::Refused(after) => (503, Some(after.secs())),
                    Answer::Failed => (502, None),
                };
                self.after(ONE_WAY, Event::ToClient { id, status, retry_after });
            }
            Step::Timer { token, after } => self.after(after, Event::Timer { proxy, generation, token }),
            Step::Connect { key, backend, warm } => {
                let (span, up) = match self.backends[backend].health {
                    _ if warm => (Micros(0), true),
                    Health::Down => (ROUND_TRIP, false),
                    Health::Hung => (CONNECT_TIMEOUT, false),
                    Health::Up | Health::Draining => (ROUND_TRIP, true),
                };
                self.after(span, Event::Connected { proxy, generation, key, up });
            }
            Step::Withdraw { backend, ticket } => self.after(ONE_WAY, Event::Withdraw { backend, ticket }),
        }
    }

    /// Ends a request at its deadline: its attempts time out, and where the policy does not end the request, the
    /// client is answered 504.
    pub(super) fn deadline(&mut self, proxy: usize, request: RequestId) {
        for key in self.proxies[proxy].in_flight_of(request) {
            self.end_attempt(proxy, key, Outcome::TimedOut);
        }
        self.pump(proxy);
        if let Some(id) = self.proxies[proxy].give_up(request) {
            self.after(ONE_WAY, Event::ToClient { id, status: 504, retry_after: None });
            self.pump(proxy);
        }
    }

    /// Sends an attempt over its connection, or ends it where the connection could not be opened or the backend
    /// may no longer receive requests.
    pub(super) fn connected(&mut self, proxy: usize, key: AttemptKey, up: bool) {
        let Some((flight, id, may_send)) = self.proxies[proxy].ready(key) else { return };
        let InFlight { backend, warm, .. } = flight;
        if !up || !may_send {
            let outcome = if up { Outcome::NeverSent } else { Outcome::ConnectFailed };
            self.end_attempt(proxy, key, outcome);
            self.pump(proxy);
            return;
        }
        let ticket = self.next_ticket();
        if !warm {
            self.handshake(backend);
        }
        self.proxies[proxy].sent(key, ticket);
        let generation = self.proxies[proxy].generation();
        let jitter = Micros(self.rng.exponential(ONE_WAY.0 as f64 / 2.0) as u64);
        let attempt = SentAttempt { proxy, generation, key, id };
        self.after(Micros(ONE_WAY.0 + jitter.0), Event::Reach { attempt, backend, ticket });
    }

    /// Ends an attempt at its proxy; one that timed out is also withdrawn from its backend.
    pub(super) fn end_attempt(&mut self, proxy: usize, key: AttemptKey, outcome: Outcome) {
        let gone = self.proxies[proxy].attempt_ended(module_time(self.now), key, outcome);
        if let Some((backend, ticket)) = gone.filter(|_| outcome == Outcome::TimedOut) {
            self.after(ONE_WAY, Event::Withdraw { backend, ticket });
        }
    }
}
