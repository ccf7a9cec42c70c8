//! What the host owns and changes while it runs: the balancer, the backends, the open requests and attempts.

use crate::counts::Counts;
use crate::exchange::Exchange;
use crate::fleet_limits::Admission;
use crate::registry::Registry;
use lotusdeck_policy::settings::{Names, Settings};
use lotusdeck_policy::{
    Action, AttemptEnd, AttemptNo, BackendId, Balancer, Event, Micros, Outcome, RequestId, Time,
};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The final answer to a request: there is exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served by this attempt: the exchange has its answer.
    Served(AttemptNo),
    /// Rejected without effect; after this time the client may retry.
    Rejected(Micros),
    /// Failed: it may or may not have taken effect.
    Failed,
    /// The balancer did not decide by the deadline.
    TimedOut,
}

/// A request that waits for its final answer.
pub(super) struct OpenRequest {
    /// What its attempts send.
    pub(super) exchange: Rc<dyn Exchange>,
    /// With an idempotency key: how long after the first send that may have run backends still drop a retry.
    pub(super) idempotency_window: Option<Micros>,
    /// When the first attempt that may have run was sent, of those that have ended.
    pub(super) first_may_have_run: Option<Time>,
    /// Takes the final answer.
    pub(super) answer: oneshot::Sender<Answer>,
    /// When the client gives up.
    pub(super) deadline: Time,
    /// How many attempts were started.
    pub(super) attempts: u32,
    /// Whether the journal is notified of it.
    pub(super) journaled: bool,
    /// The fleet's limits that it was admitted under.
    pub(super) admission: Option<Admission>,
}

impl OpenRequest {
    /// A request without attempts, not yet admitted or journaled.
    pub(super) fn new(
        exchange: Rc<dyn Exchange>, idempotency_window: Option<Micros>, answer: oneshot::Sender<Answer>,
        deadline: Time,
    ) -> OpenRequest {
        OpenRequest {
            exchange,
            idempotency_window,
            first_may_have_run: None,
            answer,
            deadline,
            attempts: 0,
            journaled: false,
            admission: None,
        }
    }
}

/// Identifies an attempt among those of all requests.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptNo,
}

/// An attempt in flight.
pub(super) struct OpenAttempt {
    /// Where it was sent.
    pub(super) backend: BackendId,
    /// When it was handed to its protocol.
    pub(super) sent_at: Time,
    /// When its time began to count: with the last byte of the request's body.
    pub(super) time_runs_from: Time,
    /// The task that sends it.
    pub(super) task: AbortHandle,
    /// If the journal is to be notified of its end: the exchange, which knows the answer's status.
    pub(super) journaled: Option<Rc<dyn Exchange>>,
}

/// The settings that are active.
pub(super) struct ActiveGeneration {
    /// How many settings have been active so far, these included.
    pub(super) number: u64,
    pub(super) settings: Arc<Settings>,
    /// The names of the settings, with those that endpoint lists have added since.
    pub(super) names: Names,
}

/// All that changes while the host runs.
pub(super) struct State {
    pub(super) balancer: Balancer,
    pub(super) active: ActiveGeneration,
    /// The backends.
    pub(super) registry: Registry,
    /// Requests that wait for their answer.
    pub(super) requests: HashMap<RequestId, OpenRequest>,
    /// Attempts in flight.
    pub(super) attempts: HashMap<AttemptKey, OpenAttempt>,
    /// Events that the balancer has not handled yet.
    pub(super) events: VecDeque<Event>,
    /// The buffer for the balancer's actions, reused for each event.
    pub(super) actions: Vec<Action>,
    /// The id of the last request.
    pub(super) last_request: u64,
    /// The id of the last request when the estimates were last exported.
    pub(super) exported_up_to: u64,
    /// Counts since the last log line on them.
    pub(super) counts: Counts,
    /// Counts of all log lines so far.
    pub(super) logged_counts: Counts,
}

impl State {
    /// The state of a host that has received no request yet.
    pub(super) fn new(balancer: Balancer, settings: Settings) -> State {
        let names = settings.names.clone();
        State {
            balancer,
            active: ActiveGeneration { number: 1, settings: Arc::new(settings), names },
            registry: Registry::default(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            last_request: 0,
            exported_up_to: 0,
            counts: Counts::default(),
            logged_counts: Counts::default(),
        }
    }

    /// Assigns a request its id and keeps it open.
    pub(super) fn open(&mut self, request: OpenRequest) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.requests.insert(id, request);
        self.counts.requests += 1;
        id
    }

    /// The attempts in flight of an open request, in their order.
    pub(super) fn attempts_of(&self, request: RequestId) -> Vec<AttemptKey> {
        let count = self.requests.get(&request).map_or(0, |open| open.attempts);
        let keys = (0..count).map(|number| AttemptKey { request, attempt: AttemptNo(number) });
        keys.filter(|key| self.attempts.contains_key(key)).collect()
    }

    /// The attempts still in flight of a request that is over.
    pub(super) fn attempts_left(&self, request: RequestId) -> Vec<AttemptKey> {
        self.attempts.keys().filter(|key| key.request == request).copied().collect()
    }

    /// Until when an attempt may be sent: a retry with an idempotency key that leaves after the window, as its
    /// connection was slow to come up, would run again. `None` where there is no such limit.
    pub(super) fn send_by(&self, request: &OpenRequest, key: AttemptKey) -> Option<Time> {
        let earlier_keys = (0..key.attempt.0).map(|number| AttemptKey { attempt: AttemptNo(number), ..key });
        let earlier = earlier_keys.filter_map(|key| self.attempts.get(&key));
        let first_sent = earlier.map(|attempt| attempt.sent_at).chain(request.first_may_have_run).min()?;
        Some(first_sent + request.idempotency_window?)
    }

    /// Records that an attempt which may have run, sent at `sent_at`, has ended.
    pub(super) fn record_possible_run(&mut self, request: RequestId, sent_at: Time) {
        let Some(request) = self.requests.get_mut(&request) else { return };
        let first = request.first_may_have_run.map_or(sent_at, |earlier| earlier.min(sent_at));
        request.first_may_have_run = Some(first);
    }

    /// What the balancer is notified of when an attempt ends.
    pub(super) fn attempt_end(&self, key: AttemptKey, outcome: Outcome, latency: Micros) -> AttemptEnd {
        let request = self.requests.get(&key.request);
        AttemptEnd {
            request: key.request,
            attempt: key.attempt,
            outcome,
            latency,
            request_answered: request.is_none(),
            body_consumed: request.is_some_and(|request| request.exchange.body_consumed()),
        }
    }
}
