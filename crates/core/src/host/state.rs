//! The mutable state of the host: the balancer, the backends, the open requests and attempts.

use crate::counts::Counts;
use crate::early_answer::{AnswerPace, EarlyAnswer};
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

/// The final answer to a request. Each request gets exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served by this attempt; the exchange has its answer.
    Served(AttemptNo),
    /// Rejected without effect; the client may retry after this time.
    Rejected(Micros),
    /// Failed: it may or may not have taken effect.
    Failed,
    /// The balancer did not decide by the deadline.
    TimedOut,
}

/// A request that waits for its final answer.
pub(super) struct OpenRequest {
    /// The request in its protocol, which sends the attempts.
    pub(super) exchange: Rc<dyn Exchange>,
    /// For a request with an idempotency key: how long after the sending of the first attempt that may have run
    /// backends recognize a retry and drop it.
    pub(super) idempotency_window: Option<Micros>,
    /// Of the attempts that have ended and may have run: when the first was sent.
    pub(super) first_possible_run_at: Option<Time>,
    /// Sends the final answer to the front.
    pub(super) answer: oneshot::Sender<Answer>,
    /// When the client gives up.
    pub(super) deadline: Time,
    /// The final answer that the balancer has given while the answer of an attempt had begun: the request ends with
    /// this one only if that attempt fails.
    pub(super) given_up: Option<Answer>,
    /// Number of attempts that were started.
    pub(super) attempts: u32,
    /// Whether it is recorded in the journal.
    pub(super) journaled: bool,
    /// The fleet's limits under which it was admitted.
    pub(super) admission: Option<Admission>,
}

impl OpenRequest {
    /// Creates a request without attempts, not yet admitted or recorded in the journal.
    pub(super) fn new(
        exchange: Rc<dyn Exchange>, idempotency_window: Option<Micros>, answer: oneshot::Sender<Answer>,
        deadline: Time,
    ) -> OpenRequest {
        OpenRequest {
            exchange,
            idempotency_window,
            first_possible_run_at: None,
            answer,
            deadline,
            given_up: None,
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
    /// The backend that it is sent to.
    pub(super) backend: BackendId,
    /// When it was handed to its protocol.
    pub(super) sent_at: Time,
    /// When the measurement of its latency began: when it was handed to its protocol, or when the last byte of the
    /// request's body was received if that was later.
    pub(super) latency_from: Time,
    /// Whether its answer has begun, and is given to the front before it is complete.
    pub(super) early_answer: Rc<EarlyAnswer>,
    /// The task that sends it.
    pub(super) task: AbortHandle,
    /// The exchange, which knows the answer's status, if the end of the attempt has to be recorded in the journal.
    pub(super) journaled: Option<Rc<dyn Exchange>>,
}

/// The active settings.
pub(super) struct ActiveGeneration {
    /// Number of settings that have been active so far, including these.
    pub(super) number: u64,
    pub(super) settings: Arc<Settings>,
    /// The names of the settings, and those that endpoint lists have added since.
    pub(super) names: Names,
}

/// All mutable state of the host.
pub(super) struct State {
    pub(super) balancer: Balancer,
    pub(super) active: ActiveGeneration,
    /// The backends.
    pub(super) registry: Registry,
    /// The open requests.
    pub(super) requests: HashMap<RequestId, OpenRequest>,
    /// The attempts in flight.
    pub(super) attempts: HashMap<AttemptKey, OpenAttempt>,
    /// Events that the balancer has not handled yet.
    pub(super) events: VecDeque<Event>,
    /// The buffer for the balancer's actions, reused for each event.
    pub(super) actions: Vec<Action>,
    /// The id of the last request.
    pub(super) last_request: u64,
    /// The id of the last request when the estimates were last exported.
    pub(super) exported_up_to: u64,
    /// Counts since they were last logged.
    pub(super) counts: Counts,
    /// Sum of all counts that were logged.
    pub(super) logged_counts: Counts,
}

impl State {
    /// Creates the state of a host that has received no request yet.
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

    /// Assigns an id to a request and adds it to the open requests.
    pub(super) fn open(&mut self, request: OpenRequest) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.requests.insert(id, request);
        self.counts.requests += 1;
        id
    }

    /// Returns the attempts in flight of an open request, in the order in which they were started.
    pub(super) fn attempts_of(&self, request: RequestId) -> Vec<AttemptKey> {
        let count = self.requests.get(&request).map_or(0, |open| open.attempts);
        let keys = (0..count).map(|number| AttemptKey { request, attempt: AttemptNo(number) });
        keys.filter(|key| self.attempts.contains_key(key)).collect()
    }

    /// Returns an attempt in flight of an open request whose answer is under way, if possible one that has not paused.
    pub(super) fn answering_attempt(&self, request: RequestId) -> Option<&OpenAttempt> {
        let attempts = self.attempts_of(request).into_iter().filter_map(|key| self.attempts.get(&key));
        let under_way = attempts.filter(|attempt| attempt.early_answer.is_under_way());
        under_way.min_by_key(|attempt| attempt.early_answer.pace() == AnswerPace::Paused)
    }

    /// Returns the attempts still in flight of a request that is over.
    pub(super) fn orphaned_attempts(&self, request: RequestId) -> Vec<AttemptKey> {
        self.attempts.keys().filter(|key| key.request == request).copied().collect()
    }

    /// Returns the time until which an attempt may be sent, or `None` without such a limit. A retry with an
    /// idempotency key that is sent after the window, because its connection was slow to be established, would run
    /// again.
    pub(super) fn send_by(&self, request: &OpenRequest, key: AttemptKey) -> Option<Time> {
        let earlier_keys = (0..key.attempt.0).map(|number| AttemptKey { attempt: AttemptNo(number), ..key });
        let earlier = earlier_keys.filter_map(|key| self.attempts.get(&key));
        let first_sent = earlier.map(|attempt| attempt.sent_at).chain(request.first_possible_run_at).min()?;
        Some(first_sent + request.idempotency_window?)
    }

    /// Records the end of an attempt that was sent at `sent_at` and may have run.
    pub(super) fn record_possible_run(&mut self, request: RequestId, sent_at: Time) {
        let Some(request) = self.requests.get_mut(&request) else { return };
        let first = request.first_possible_run_at.map_or(sent_at, |earlier| earlier.min(sent_at));
        request.first_possible_run_at = Some(first);
    }

    /// Describes the end of an attempt to the balancer.
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
