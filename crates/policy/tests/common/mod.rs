//! A host for one balancer, which carries out the actions and checks every rule while doing so.
#![allow(dead_code)]

use lotusdeck_policy::*;
use std::collections::BTreeMap;

#[derive(Clone)]
pub(crate) struct SentAttempt {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Time,
    pub outcome: Option<Outcome>,
}

impl SentAttempt {
    /// Returns whether the attempt may have run: no outcome shows that it did not.
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.never_ran())
    }
}

pub(crate) struct OpenRequest {
    pub class: usize,
    pub deadline: Time,
    pub attempts: Vec<SentAttempt>,
    pub streaming: bool,
    pub answer: Option<&'static str>,
}

pub(crate) struct Host {
    pub config: Config,
    pub balancer: Balancer,
    pub now: Time,
    pub endpoints: BTreeMap<BackendId, Backend>,
    pub requests: BTreeMap<RequestId, OpenRequest>,
    pub timers: Vec<(Time, TimerToken)>,
    pub watch_requests: u32,
    pub timers_set: usize,
    pub cancelled: Vec<(RequestId, usize)>,
    pub logs: Vec<String>,
    pub last_actions: Vec<Action>,
    pub is_client_retry: bool,
    pub body_incomplete: bool,
    last_request: u64,
}

pub(crate) fn backend(id: u32, zone: u32, kind: u32) -> Backend {
    Backend {
        id: BackendId(id),
        order_key: u64::from(id),
        zone: ZoneId(zone),
        cell: CellId(u64::from(zone) * 2 + u64::from(id % 2)),
        kind: KindId(kind),
        state: BackendState::Ready,
        started_at: None,
    }
}

pub(crate) fn class(effect: SideEffects) -> Class {
    Class {
        latency_objective: Micros(400_000),
        objective_per_work_hint: 0.0,
        side_effects: effect,
        priority_weight: 1.0,
        late_value_factor: 0.0,
        retired: false,
    }
}

impl Host {
    pub(crate) fn new(config: Config, seed: u64) -> Host {
        let balancer = Balancer::new(config.clone(), seed).expect("a valid configuration");
        Host {
            config,
            balancer,
            now: Time(1_000_000_000),
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            watch_requests: 0,
            timers_set: 0,
            cancelled: Vec::new(),
            logs: Vec::new(),
            last_actions: Vec::new(),
            is_client_retry: false,
            body_incomplete: false,
            last_request: 0,
        }
    }

    pub(crate) fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.last_actions = actions.clone();
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, backend } => {
                let r = self.requests.get_mut(&request).expect("the dispatched request is known");
                assert!(r.answer.is_none(), "sent after the final answer");
                let b = self.endpoints.get(&backend).expect("the backend is on the list");
                assert_eq!(b.state, BackendState::Ready, "sent to a backend that drains or was removed");
                assert!(r.attempts.len() < self.config.attempts.max_attempts as usize, "too many attempts");
                assert!(
                    self.config.attempts.allow_hedging || r.attempts.iter().all(|t| t.outcome.is_some()),
                    "two attempts at once without hedging"
                );
                for t in r.attempts.iter().filter(|t| t.may_have_run()) {
                    match self.config.classes[r.class].side_effects {
                        SideEffects::None => {}
                        SideEffects::NonIdempotent => panic!("a non-idempotent request was sent twice"),
                        SideEffects::IdempotencyKey { scope, window } => {
                            assert!(
                                self.now <= t.sent_at + window,
                                "a request with an idempotency key was retried after its window"
                            );
                            let same = match scope {
                                KeyScope::All => true,
                                KeyScope::Zone => t.zone == b.zone,
                                KeyScope::Cell => t.cell == b.cell,
                            };
                            assert!(same, "a request with an idempotency key was retried outside its scope");
                        }
                    }
                }
                let (zone, cell, sent_at) = (b.zone, b.cell, self.now);
                r.attempts.push(SentAttempt { backend, zone, cell, sent_at, outcome: None });
            }
            Action::Reject { request, retry_after } => {
                assert!(retry_after > Micros(0), "rejected without a retry time");
                let r = self.requests.get_mut(&request).expect("the request is known");
                let ran = r.attempts.iter().any(SentAttempt::may_have_run);
                let free = matches!(
                    self.config.classes[r.class].side_effects,
                    SideEffects::None | SideEffects::IdempotencyKey { scope: KeyScope::All, .. }
                );
                assert!(free || !ran, "rejected a request that may have run");
                assert!(r.answer.replace("rejected").is_none(), "answered twice");
            }
            Action::Fail { request } => {
                let r = self.requests.get_mut(&request).expect("the request is known");
                assert!(r.answer.replace("failed").is_none(), "answered twice");
            }
            Action::Cancel { request, attempt } => {
                assert!(self.config.attempts.allow_cancel, "cancelled although cancellation is disabled");
                let r = &self.requests[&request];
                assert!((attempt.0 as usize) < r.attempts.len(), "cancelled an attempt that was never sent");
                self.cancelled.push((request, attempt.0 as usize));
            }
            Action::Replace { request, attempt } => {
                let r = &self.requests[&request];
                let side_effects = self.config.classes[r.class].side_effects;
                assert!(side_effects != SideEffects::NonIdempotent, "gave up an attempt that may have run");
                assert!(
                    r.attempts[attempt.0 as usize].outcome.is_none(),
                    "gave up an attempt that had ended"
                );
                self.cancelled.push((request, attempt.0 as usize));
            }
            Action::SetTimer { token, after } => {
                self.timers_set += 1;
                self.timers.push((self.now + after, token));
            }
            Action::WatchEndpoints => {
                assert_ne!(self.config.discovery, DiscoveryMode::Push);
                self.watch_requests += 1;
            }
            Action::Log(text) => self.logs.push(text),
        }
    }

    pub(crate) fn update_endpoints(&mut self, update: ListUpdate, backends: Vec<Backend>) {
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            self.endpoints.values_mut().for_each(|b| b.state = BackendState::Removed);
        }
        for b in &backends {
            self.endpoints.insert(b.id, b.clone());
        }
        self.handle_event(Event::EndpointsUpdated { update, backends });
    }

    pub(crate) fn submit(&mut self, class: usize, time_left: u64) -> RequestId {
        self.submit_for_tenant(class, time_left, None)
    }

    pub(crate) fn submit_for_tenant(
        &mut self, class: usize, time_left: u64, tenant: Option<TenantId>,
    ) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let deadline = self.now + Micros(time_left);
        let open = OpenRequest { class, deadline, attempts: Vec::new(), streaming: false, answer: None };
        self.requests.insert(id, open);
        self.handle_event(Event::Request(Arrival {
            request: id,
            class: ClassId(class),
            tenant,
            time_left: Micros(time_left),
            work_hint: None,
            is_client_retry: self.is_client_retry,
            body_incomplete: self.body_incomplete,
        }));
        id
    }

    /// Submits `count` requests at once.
    pub(crate) fn burst(&mut self, count: usize, class: usize, time_left: u64) -> Vec<RequestId> {
        (0..count).map(|_| self.submit(class, time_left)).collect()
    }

    /// Sends one event of each kind that refers to a request, an attempt or a timer, with unknown ids.
    pub(crate) fn send_unknown_ids(&mut self, request: RequestId, attempt: AttemptNo, token: TimerToken) {
        let (outcome, latency) = (Outcome::Error, Micros(5));
        self.handle_event(Event::Timer { token });
        self.handle_event(Event::ClientDisconnected { request });
        self.handle_event(Event::StreamStarted { request, attempt });
        self.handle_event(Event::AnswerPaused { request, attempt });
        self.handle_event(Event::AnswerResumed { request, attempt });
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency,
            request_answered: false,
            body_consumed: false,
        }));
    }

    /// Ends an attempt that is in flight.
    pub(crate) fn end_attempt(&mut self, id: RequestId, no: usize, outcome: Outcome) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(t) = r.attempts.get_mut(no).filter(|t| t.outcome.is_none()) else { return };
        t.outcome = Some(outcome);
        let latency = now - t.sent_at;
        if outcome == Outcome::Success && r.answer.is_none() {
            r.answer = Some("served");
        }
        let is_answered = r.answer.is_some();
        let attempt = AttemptNo(no as u32);
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            outcome,
            latency,
            request_answered: is_answered,
            body_consumed: false,
        }));
    }

    pub(crate) fn start_stream(&mut self, id: RequestId, no: usize) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.answer.is_none() && !r.streaming) else {
            return;
        };
        if r.attempts.get(no).is_some_and(|t| t.outcome.is_none()) {
            r.streaming = true;
            self.handle_event(Event::StreamStarted { request: id, attempt: AttemptNo(no as u32) });
        }
    }

    /// Reports that the answer of an attempt in flight has paused.
    pub(crate) fn pause_answer(&mut self, id: RequestId, no: usize) {
        self.handle_event(Event::AnswerPaused { request: id, attempt: AttemptNo(no as u32) });
    }

    /// Reports that an answer goes on.
    pub(crate) fn resume_answer(&mut self, id: RequestId, no: usize) {
        self.handle_event(Event::AnswerResumed { request: id, attempt: AttemptNo(no as u32) });
    }

    /// Advances the time, fires timers and time-outs when they are due, and checks every deadline.
    pub(crate) fn advance(&mut self, span: u64) {
        let until = self.now + Micros(span);
        while self.now < until {
            self.now = (self.now + self.config.tick).min(until);
            let (due, rest) = std::mem::take(&mut self.timers).into_iter().partition(|t| t.0 <= self.now);
            self.timers = rest;
            let due: Vec<(Time, TimerToken)> = due;
            for (_, token) in due {
                self.handle_event(Event::Timer { token });
            }
            for (id, no) in std::mem::take(&mut self.cancelled) {
                self.end_attempt(id, no, Outcome::Cancelled);
            }
            for (id, no) in self.in_flight() {
                let r = &self.requests[&id];
                if r.deadline <= self.now && !r.streaming {
                    self.end_attempt(id, no, Outcome::TimedOut);
                }
            }
            for (id, r) in &self.requests {
                let open = r.answer.is_none() && !r.streaming;
                assert!(!open || self.now < r.deadline + Micros(16_000), "no answer in time for {id:?}");
            }
        }
    }

    pub(crate) fn sent_to(&self, id: RequestId) -> Vec<u32> {
        self.requests[&id].attempts.iter().map(|t| t.backend.0).collect()
    }

    /// Advances the time by `span`, then serves all attempts in flight.
    pub(crate) fn serve_all(&mut self, span: u64) {
        self.advance(span);
        for (id, no) in self.in_flight() {
            self.end_attempt(id, no, Outcome::Success);
        }
    }

    pub(crate) fn in_flight(&self) -> Vec<(RequestId, usize)> {
        let each = self.requests.iter().flat_map(|(id, r)| {
            r.attempts.iter().enumerate().filter(|(_, t)| t.outcome.is_none()).map(|(no, _)| (*id, no))
        });
        each.collect()
    }
}
