//! The event loop: applies events in order and collects the resulting actions. The rules behind the decisions
//! are in other modules.

mod attempts;
mod dispatch;
mod inspect;
mod output;
mod paused_answers;
mod schedule;
mod timeouts;

use crate::admission::Admission;
use crate::answer_loss::AnswerLoss;
use crate::api::{
    Action, Arrival, AttemptNo, Backend, ClassId, Config, ConfigError, DiscoveryMode, Event, ListUpdate,
    ReassignedIds, RequestId, Time,
};
use crate::backend_table::BackendTable;
use crate::discovery_poll::DiscoveryPoll;
use crate::estimates::{ClassStats, Estimates};
use crate::estimators::Rng;
use crate::picker::Picker;
use crate::requests::{AttemptKey, RequestTable};
use crate::retry::{self, RetryBudget};
use crate::slow_start::SlowStart;
use crate::snapshot::restore_snapshot;
use crate::solver::{IncrementalSolver, SolverContext};
use output::Output;
use schedule::Schedule;

/// The estimates, the solver, the picker that uses its solutions, and the state of slow start.
struct TrafficModel {
    estimates: Estimates,
    solver: IncrementalSolver,
    picker: Picker,
    slow_start: SlowStart,
}

/// The state that triggers and limits attempts beyond the first.
struct Recovery {
    answer_loss: AnswerLoss,
    retry_budget: RetryBudget,
    /// Whether new requests can belong to an idempotent class.
    any_idempotent: bool,
}

/// The decision module of one proxy. The host passes every event to [`Balancer::handle`] in order and carries
/// out the returned actions.
pub struct Balancer {
    config: Config,
    rng: Rng,
    backends: BackendTable,
    requests: RequestTable,
    traffic: TrafficModel,
    admission: Admission,
    recovery: Recovery,
    discovery: DiscoveryPoll,
    schedule: Schedule,
    output: Output,
}

impl Balancer {
    /// Creates a balancer without backends or estimates.
    ///
    /// # Errors
    /// Returns the first field of the configuration that is out of range.
    pub fn new(config: Config, seed: u64) -> Result<Balancer, ConfigError> {
        config.validate()?;
        let traffic = TrafficModel {
            estimates: Estimates::new(config.classes.len()),
            solver: IncrementalSolver::new(),
            picker: Picker::default(),
            slow_start: SlowStart::default(),
        };
        let recovery = Recovery {
            answer_loss: AnswerLoss::new(),
            retry_budget: RetryBudget::default(),
            any_idempotent: retry::has_idempotent_class(&config),
        };
        Ok(Balancer {
            rng: Rng::new(seed),
            backends: BackendTable::default(),
            requests: RequestTable::default(),
            traffic,
            admission: Admission::new(&config),
            recovery,
            discovery: DiscoveryPoll::new(config.discovery, Time(0)),
            schedule: Schedule::new(),
            output: Output::default(),
            config,
        })
    }

    /// Handles one event that happened at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let is_request = matches!(event, Event::Request(_));
        if !is_request && !matches!(event, Event::Timer { .. }) {
            // Requests and timers free no backend, and retrying a long queue of blocked requests on each of
            // them would take too much time.
            self.admission.queue.unblock();
        }
        self.admission.overload.record_own(now, self.in_flight());
        self.advance_solver(now, is_request);
        self.schedule.last_event_at = now;
        if let Event::Timer { token } = event {
            if !self.schedule.timer_fired(token) {
                return;
            }
        }
        self.apply(now, event);
        if now >= self.schedule.next_check_at {
            self.check_timeouts(now);
        }
        self.dispatch_queued(now);
        if !self.admission.queue.is_empty() {
            self.schedule.schedule_check(now + self.config.tick);
        }
        let timer = self.schedule.timer_to_set(now, self.config.tick);
        self.output.actions.extend(timer);
        actions.append(&mut self.output.actions);
    }

    /// Returns the number of attempts of this proxy in flight, without those whose answers have paused.
    fn in_flight(&self) -> f64 {
        (self.requests.in_flight.len() - self.requests.paused) as f64
    }

    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::EndpointsUpdated { update, backends } => self.update_endpoints(now, update, backends),
            Event::Cordoned { backends } => {
                self.backends.set_cordoned(now, backends, self.config.slow_start.duration);
                self.recheck(now);
            }
            Event::ConfigApplied { config, reassigned } => self.reconfigure(now, *config, &reassigned),
            Event::ProcessCount { count } => {
                self.traffic.slow_start.set_process_count(now, count, &self.config);
            }
            Event::Restored(snapshot) => {
                let estimates = &mut self.traffic.estimates;
                restore_snapshot(now, &self.config, &snapshot, estimates, &mut self.backends);
            }
            Event::FleetLoad { in_flight } => {
                let own = self.in_flight();
                self.admission.overload.record_fleet(now, in_flight, own);
            }
            Event::Request(arrival) => self.receive_request(now, &arrival),
            Event::BodyReceived { request, time_left } => self.receive_body(now, request, time_left),
            Event::StreamStarted { request, attempt } => self.start_stream(request, attempt),
            Event::AnswerPaused { request, attempt } => {
                self.record_answer_pause(now, AttemptKey { request, attempt });
            }
            Event::AnswerResumed { request, attempt } => {
                self.record_answer_resumption(AttemptKey { request, attempt });
            }
            Event::AttemptEnded(end) => self.end_attempt(now, &end),
            Event::ClientDisconnected { request } => self.close(request),
            Event::Timer { .. } => {}
        }
    }

    /// Starts a solution if one is due, or continues the one in progress. An idle proxy starts none: a
    /// thousand idle proxies would use up the processor.
    fn advance_solver(&mut self, now: Time, is_request: bool) {
        let traffic = &mut self.traffic;
        let is_busy = is_request || !self.admission.queue.is_empty();
        let is_due = is_busy && now >= traffic.solver.next_solve_at;
        if !is_due && !traffic.solver.is_running() {
            return;
        }
        let mut context = SolverContext {
            now,
            config: &self.config,
            slow_start: &traffic.slow_start,
            backends: &mut self.backends,
            estimates: &mut traffic.estimates,
            tables: &mut traffic.picker.tables,
        };
        let idle_s = (now - self.schedule.last_event_at).secs();
        if traffic.solver.advance(&mut context, idle_s) {
            self.admission.queue.unblock();
        }
    }

    /// Makes the next solution and the next check of the timeouts due at once.
    fn recheck(&mut self, now: Time) {
        self.traffic.solver.next_solve_at = now;
        self.schedule.next_check_at = now;
    }

    fn update_endpoints(&mut self, now: Time, update: ListUpdate, entries: Vec<Backend>) {
        match (update, self.config.discovery) {
            (ListUpdate::Failed, DiscoveryMode::Subscribe { poll_within }) => {
                self.discovery.record_failure(now, poll_within, &mut self.rng);
                self.schedule.next_check_at = now;
            }
            _ => self.discovery.record_update(update),
        }
        self.backends.apply_update(update, entries);
        self.traffic.solver.next_solve_at = now;
    }

    /// Applies a new configuration. Estimates are kept, and open requests keep their objective, deadline,
    /// priority and attempt limits.
    fn reconfigure(&mut self, now: Time, config: Config, reassigned: &ReassignedIds) {
        self.forget_reassigned_classes(config.classes.len(), reassigned);
        self.admission.reconfigure(&config, reassigned);
        if config.discovery != self.config.discovery {
            self.discovery = DiscoveryPoll::new(config.discovery, now);
        }
        self.recovery.any_idempotent = retry::has_idempotent_class(&config);
        self.config = config;
        self.recheck(now);
    }

    /// Resizes the estimates to `classes` classes and resets those of reassigned class ids.
    fn forget_reassigned_classes(&mut self, classes: usize, reassigned: &ReassignedIds) {
        let stats = &mut self.traffic.estimates.classes;
        stats.resize_with(classes, ClassStats::default);
        if reassigned.classes.is_empty() {
            return;
        }
        for class in &reassigned.classes {
            if let Some(stats) = stats.get_mut(class.0) {
                *stats = ClassStats::default();
            }
        }
        let is_kept = |class: usize| reassigned.classes.binary_search(&ClassId(class)).is_err();
        for backend in self.backends.by_id.values_mut() {
            backend.classes.retain(|class, _| is_kept(*class));
        }
    }

    fn receive_request(&mut self, now: Time, arrival: &Arrival) {
        let is_known = self.requests.pending.contains_key(&arrival.request);
        if arrival.class.0 >= self.config.classes.len() || is_known {
            return;
        }
        self.traffic.solver.arrival_rate.add(now, 1.0);
        self.recovery.retry_budget.refill(self.recovery.answer_loss.is_losing());
        self.replace_paused_within_budget(now);
        let request = self.admission.admit(now, &self.config, arrival);
        self.requests.pending.insert(arrival.request, request);
        self.admission.queue.push(arrival.request);
    }

    fn start_stream(&mut self, request: RequestId, attempt: AttemptNo) {
        let Some(in_flight) = self.requests.in_flight.get_mut(&AttemptKey { request, attempt }) else {
            return;
        };
        in_flight.streaming = true;
        if let Some(request) = self.requests.pending.get_mut(&request) {
            request.streaming = true;
        }
    }
}
