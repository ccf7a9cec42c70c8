//! What the host owns: the module, the list of backends, the open requests and attempts.

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
    /// By this attempt: its answer lies with the work.
    Served(AttemptNo),
    /// With the time after which the client had better come again.
    Rejected(Micros),
    /// Nothing is promised.
    Failed,
    /// The module stayed silent to the deadline.
    TimedOut,
}

/// A request that waits for its final answer.
pub(super) struct OpenRequest {
    /// What its attempts send.
    pub work: Rc<dyn Exchange>,
    /// How long after the first send that may have run backends still drop a repeat, for a keyed class.
    pub idempotency_window: Option<Micros>,
    /// When the first attempt that may have run was sent, of those that have ended.
    pub first_may_have_run: Option<Time>,
    /// Takes the final answer.
    pub answer: oneshot::Sender<Answer>,
    /// When the client gives up.
    pub deadline: Time,
    /// How many attempts were begun.
    pub attempts: u32,
    /// The journal is told of it.
    pub journaled: bool,
    /// What it was taken in under.
    pub admission: Option<Admission>,
}

impl OpenRequest {
    /// One of which no attempt was begun.
    pub(super) fn new(
        work: Rc<dyn Exchange>, window: Option<Micros>, answer: oneshot::Sender<Answer>, deadline: Time,
    ) -> OpenRequest {
        OpenRequest {
            work,
            idempotency_window: window,
            first_may_have_run: None,
            answer,
            deadline,
            attempts: 0,
            journaled: false,
            admission: None,
        }
    }
}

/// An attempt that is out.
pub(super) struct OpenAttempt {
    /// Where it was sent.
    pub backend: BackendId,
    /// When it was handed to its protocol.
    pub sent_at: Time,
    /// When its last byte came: its time counts from then.
    pub time_runs_from: Time,
    /// The task that sends it.
    pub task: AbortHandle,
    /// The journal is told of its end, and the work knows how that was.
    pub journaled: Option<Rc<dyn Exchange>>,
}

/// All that changes while the host runs.
pub(super) struct State {
    /// The decision module.
    pub balancer: Balancer,
    /// Those of the generation, with what lists have added.
    pub names: Names,
    /// The settings in force.
    pub settings: Arc<Settings>,
    /// How many settings were in force so far.
    pub generation: u64,
    /// The backends.
    pub registry: Registry,
    /// Requests that wait for their answer.
    pub requests: HashMap<RequestId, OpenRequest>,
    /// Attempts that are out.
    pub attempts: HashMap<(RequestId, AttemptNo), OpenAttempt>,
    /// Events that the module is not told of yet.
    pub events: VecDeque<Event>,
    /// Room for the module's actions, kept between events.
    pub actions: Vec<Action>,
    /// The number of the last request.
    pub last_request: u64,
    /// The number of the last request when what was learned was last handed out.
    pub exported_up_to: u64,
    /// Counts since the last line about them.
    pub counts: Counts,
    /// Counts of all lines before.
    pub counts_before: Counts,
}

impl State {
    /// That of a host that has taken no request yet.
    pub(super) fn new(balancer: Balancer, settings: Settings) -> State {
        State {
            balancer,
            names: settings.names.clone(),
            settings: Arc::new(settings),
            generation: 1,
            registry: Registry::default(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            last_request: 0,
            exported_up_to: 0,
            counts: Counts::default(),
            counts_before: Counts::default(),
        }
    }

    /// Numbers a request and keeps it open.
    pub(super) fn open(&mut self, request: OpenRequest) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.requests.insert(id, request);
        self.counts.requests += 1;
        id
    }

    /// The attempts of an open request that are out, in their order.
    pub(super) fn attempts_of(&self, id: RequestId) -> Vec<AttemptNo> {
        let count = self.requests.get(&id).map_or(0, |request| request.attempts);
        (0..count).map(AttemptNo).filter(|attempt| self.attempts.contains_key(&(id, *attempt))).collect()
    }

    /// The attempts that are out for a request which is over.
    pub(super) fn attempts_left(&self, id: RequestId) -> Vec<AttemptNo> {
        let of_it = self.attempts.keys().filter(|(request, _)| *request == id);
        of_it.map(|(_, attempt)| *attempt).collect()
    }

    /// Until when `attempt` may be sent: a keyed repeat that leaves after the window, its connection being slow to
    /// come up, would run again. `None` where there is no such end.
    pub(super) fn send_by(&self, id: RequestId, request: &OpenRequest, attempt: AttemptNo) -> Option<Time> {
        let earlier = (0..attempt.0).filter_map(|no| self.attempts.get(&(id, AttemptNo(no))));
        let first_sent = earlier.map(|earlier| earlier.sent_at).chain(request.first_may_have_run).min();
        first_sent.zip(request.idempotency_window).map(|(sent, window)| sent + window)
    }

    /// Notes that an attempt which may have run, sent at that time, has ended.
    pub(super) fn note_run(&mut self, id: RequestId, sent: Time) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.first_may_have_run = Some(request.first_may_have_run.map_or(sent, |ran| ran.min(sent)));
        }
    }

    /// What the module is told of an attempt's end.
    pub(super) fn attempt_end(
        &self, id: RequestId, attempt: AttemptNo, outcome: Outcome, latency: Micros,
    ) -> AttemptEnd {
        let request = self.requests.get(&id);
        let spent = request.is_some_and(|request| request.work.body_consumed());
        AttemptEnd {
            request: id,
            attempt,
            outcome,
            latency,
            request_answered: request.is_none(),
            body_consumed: spent,
        }
    }
}
