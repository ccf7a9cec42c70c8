//! A proxy in virtual time: does what the core does, but without sockets.

use super::policy::{GlobalView, Policy};
use super::policy_choice::PolicyChoice;
use crate::record::TryId;
use crate::world::plan::Plan;
use crate::world::station::Ticket;
use lotusdeck_policy::settings::{EndpointRecord, Names, Settings};
use lotusdeck_policy::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    Served,
    Refused(Micros),
    Failed,
}

/// A step that a proxy asks the simulation to carry out.
pub(super) enum Step {
    Answer { id: TryId, answer: Answer },
    Timer { token: TimerToken, after: Micros },
    Connect { key: (RequestId, AttemptNo), backend: usize, warm: bool },
    Withdraw { backend: usize, ticket: Ticket },
}

/// An attempt in flight.
#[derive(Clone, Copy)]
pub(super) struct InFlight {
    pub backend: usize,
    /// Whether it uses an idle connection.
    pub warm: bool,
    since: Time,
    ticket: Option<Ticket>,
}

struct OpenRequest {
    id: TryId,
    attempts: u32,
}

/// The state of one proxy.
pub(super) struct Proxy {
    policy: Box<dyn Policy>,
    names: Names,
    alive: bool,
    generation: u32,
    requests: HashMap<RequestId, OpenRequest>,
    in_flight: BTreeMap<(RequestId, AttemptNo), InFlight>,
    /// Number of idle connections by backend.
    idle: HashMap<usize, u32>,
    serving: HashMap<usize, bool>,
    cordoned: BTreeSet<BackendId>,
    events: VecDeque<Event>,
    /// Requests whose served answer goes out at the next [`Proxy::pump`].
    served: Vec<RequestId>,
    last_request: u64,
    version: u64,
}

impl Proxy {
    pub(super) fn new(
        number: usize, settings: &Settings, plan: &Plan, choice: PolicyChoice, generation: u32,
    ) -> Result<Proxy, ConfigError> {
        let settings = settings.clone();
        let seed = plan.seed ^ (number as u64) << 32 ^ u64::from(generation) << 48;
        Ok(Proxy {
            policy: choice.build(&settings, plan, seed)?,
            names: settings.names,
            alive: true,
            generation,
            requests: HashMap::new(),
            in_flight: BTreeMap::new(),
            idle: HashMap::new(),
            serving: HashMap::new(),
            cordoned: BTreeSet::new(),
            events: VecDeque::new(),
            served: Vec::new(),
            last_request: 0,
            version: 0,
        })
    }

    pub(super) fn alive(&self) -> bool {
        self.alive
    }
    pub(super) fn generation(&self) -> u32 {
        self.generation
    }
    pub(super) fn is_current(&self, generation: u32) -> bool {
        self.alive && self.generation == generation
    }
    /// Returns the number of attempts in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }
    pub(super) fn uses_global_view(&self) -> bool {
        self.policy.uses_global_view()
    }
    pub(super) fn version(&self) -> u64 {
        self.version
    }
    pub(super) fn push(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Takes a client's request and passes it to the policy.
    pub(super) fn submit(&mut self, id: TryId, class: usize, time_left: Micros, repeat: bool) -> RequestId {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.requests.insert(request, OpenRequest { id, attempts: 0 });
        let (tenant, work_hint, uploading) = (None, None, false);
        let class = ClassId(class);
        self.push(Event::Request(Arrival {
            request,
            class,
            tenant,
            time_left,
            work_hint,
            is_client_retry: repeat,
            body_incomplete: uploading,
        }));
        request
    }

    /// Returns the attempts of a request that are in flight.
    pub(super) fn in_flight_of(&self, request: RequestId) -> Vec<(RequestId, AttemptNo)> {
        let range = (request, AttemptNo(0))..=(request, AttemptNo(u32::MAX));
        self.in_flight.range(range).map(|(key, _)| *key).collect()
    }

    /// Ends a request that the policy has not ended by its deadline, and returns the try to answer.
    pub(super) fn give_up(&mut self, request: RequestId) -> Option<TryId> {
        let live = self.requests.remove(&request)?;
        self.push(Event::ClientDisconnected { request });
        Some(live.id)
    }

    pub(super) fn client_gone(&mut self, request: RequestId) {
        if self.requests.remove(&request).is_some() {
            self.push(Event::ClientDisconnected { request });
        }
    }

    pub(super) fn update_endpoints(
        &mut self, update: ListUpdate, endpoints: impl Iterator<Item = (EndpointRecord, BackendId)>,
        version: u64,
    ) {
        let endpoints: Vec<Backend> = endpoints.map(|(row, id)| self.names.resolve(&row, id)).collect();
        for b in &endpoints {
            let serves = b.state == BackendState::Ready;
            self.serving.insert(b.id.0 as usize, serves);
            if !serves {
                self.idle.remove(&(b.id.0 as usize));
            }
        }
        self.version = version;
        self.push(Event::EndpointsUpdated { update, backends: endpoints });
    }

    pub(super) fn cordon(&mut self, which: &[BackendId], out: bool) {
        for id in which {
            if out {
                self.cordoned.insert(*id);
                self.idle.remove(&(id.0 as usize));
            } else {
                self.cordoned.remove(id);
            }
        }
        self.push(Event::Cordoned { backends: self.cordoned.iter().copied().collect() });
    }

    pub(super) fn forget_connections(&mut self, backend: usize) {
        self.idle.remove(&backend);
    }

    /// Returns an attempt whose connection is ready, the try it belongs to, and whether it may still be sent: its
    /// request is open, and its backend listed as ready and not cordoned.
    pub(super) fn ready(&self, key: (RequestId, AttemptNo)) -> Option<(InFlight, TryId, bool)> {
        let flight = *self.in_flight.get(&key)?;
        let live = self.requests.get(&key.0);
        let listed = self.serving.get(&flight.backend).copied().unwrap_or(false);
        let may_send = listed && !self.cordoned.contains(&BackendId(flight.backend as u32));
        Some((flight, live.map_or(TryId { arrival: 0, no: u32::MAX }, |l| l.id), may_send && live.is_some()))
    }

    pub(super) fn sent(&mut self, key: (RequestId, AttemptNo), ticket: Ticket) {
        if let Some(flight) = self.in_flight.get_mut(&key) {
            flight.ticket = Some(ticket);
        }
    }

    /// Ends an attempt and passes its outcome to the policy. Returns its backend and ticket if it had been sent.
    pub(super) fn attempt_ended(
        &mut self, now: Time, key: (RequestId, AttemptNo), outcome: Outcome,
    ) -> Option<(usize, Ticket)> {
        let flight = self.in_flight.remove(&key)?;
        if matches!(outcome, Outcome::Success | Outcome::Rejected) {
            *self.idle.entry(flight.backend).or_default() += 1;
        }
        let (request, attempt) = key;
        // The client is answered before the policy handles the end, as in the core.
        let served = outcome == Outcome::Success && self.requests.contains_key(&request);
        let settled = served || !self.requests.contains_key(&request);
        let latency = now - flight.since;
        let end = AttemptEnd {
            request,
            attempt,
            outcome,
            latency,
            request_answered: settled,
            body_consumed: false,
        };
        self.push(Event::AttemptEnded(end));
        if served {
            self.served.push(request);
        }
        flight.ticket.map(|t| (flight.backend, t))
    }

    /// Passes all pending events to the policy and adds the resulting steps to `steps`.
    pub(super) fn pump(&mut self, now: Time, global_view: GlobalView, steps: &mut Vec<Step>) {
        for request in std::mem::take(&mut self.served) {
            self.finish(request, Answer::Served, steps);
        }
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.policy.handle(now, event, global_view, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, steps);
            }
        }
    }

    fn finish(&mut self, request: RequestId, answer: Answer, steps: &mut Vec<Step>) {
        if let Some(live) = self.requests.remove(&request) {
            steps.push(Step::Answer { id: live.id, answer });
        }
    }

    fn carry_out(&mut self, now: Time, action: Action, steps: &mut Vec<Step>) {
        match action {
            Action::Dispatch { request, backend } => {
                let Some(live) = self.requests.get_mut(&request) else { return };
                let key = (request, AttemptNo(live.attempts));
                live.attempts += 1;
                let backend = backend.0 as usize;
                let idle = self.idle.entry(backend).or_default();
                let warm = *idle > 0;
                *idle -= u32::from(warm);
                self.in_flight.insert(key, InFlight { backend, warm, since: now, ticket: None });
                steps.push(Step::Connect { key, backend, warm });
            }
            Action::Reject { request, retry_after } => {
                self.finish(request, Answer::Refused(retry_after), steps)
            }
            Action::Fail { request } => self.finish(request, Answer::Failed, steps),
            Action::Cancel { request, attempt } | Action::Replace { request, attempt } => {
                let Some(flight) = self.in_flight.remove(&(request, attempt)) else { return };
                steps.extend(flight.ticket.map(|ticket| Step::Withdraw { backend: flight.backend, ticket }));
                let (outcome, latency) = (Outcome::Cancelled, now - flight.since);
                let settled = !self.requests.contains_key(&request);
                let end = AttemptEnd {
                    request,
                    attempt,
                    outcome,
                    latency,
                    request_answered: settled,
                    body_consumed: false,
                };
                self.push(Event::AttemptEnded(end));
            }
            Action::SetTimer { token, after } => steps.push(Step::Timer { token, after }),
            Action::WatchEndpoints | Action::Log(_) => {}
        }
    }

    /// Ends the process. Returns the tries without an answer, and the attempts it had sent.
    pub(super) fn kill(&mut self) -> (Vec<TryId>, Vec<(usize, Ticket)>) {
        self.alive = false;
        let mut clients: Vec<TryId> = self.requests.drain().map(|(_, l)| l.id).collect();
        clients.sort();
        let in_flight = std::mem::take(&mut self.in_flight);
        let sent = in_flight.values().filter_map(|f| Some((f.backend, f.ticket?))).collect();
        self.events.clear();
        (clients, sent)
    }
}
