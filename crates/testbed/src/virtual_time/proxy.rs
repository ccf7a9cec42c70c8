//! A proxy in virtual time: what the core does on sockets, without them.

use super::policy::{GlobalView, Policy};
use super::policy_choice::PolicyChoice;
use crate::record::TryId;
use crate::world::plan::Plan;
use crate::world::station::Ticket;
use lotusdeck_policy::settings::{EndpointRecord, Names, Settings};
use lotusdeck_policy::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    Served,
    Refused(Micros),
    Failed,
}

/// What a proxy asks of the world.
pub(super) enum Stage {
    Answer { id: TryId, answer: Answer },
    Timer { token: TimerToken, after: Micros },
    Connect { key: (RequestId, AttemptNo), backend: usize, warm: bool },
    Withdraw { backend: usize, ticket: Ticket },
}

/// An attempt that has not ended.
#[derive(Clone, Copy)]
pub(super) struct Flight {
    pub backend: usize,
    /// On a connection that stood already.
    pub warm: bool,
    since: Time,
    ticket: Option<Ticket>,
}

struct Live {
    id: TryId,
    attempts: u32,
}

/// One proxy.
pub(super) struct Proxy {
    policy: Box<dyn Policy>,
    names: Names,
    alive: bool,
    life: u32,
    requests: HashMap<RequestId, Live>,
    flights: BTreeMap<(RequestId, AttemptNo), Flight>,
    /// Idle connections by backend.
    idle: HashMap<usize, u32>,
    serving: HashMap<usize, bool>,
    cordoned: BTreeSet<BackendId>,
    events: VecDeque<Event>,
    /// Requests whose answer goes out next.
    served: Vec<RequestId>,
    last: u64,
    version: u64,
}

impl Proxy {
    pub(super) fn new(
        number: usize, settings: &Settings, plan: &Plan, which: PolicyChoice, life: u32,
    ) -> Result<Proxy, ConfigError> {
        let own = settings.clone();
        let seed = plan.seed ^ (number as u64) << 32 ^ u64::from(life) << 48;
        Ok(Proxy {
            policy: which.build(&own, plan, seed)?,
            names: own.names,
            alive: true,
            life,
            requests: HashMap::new(),
            flights: BTreeMap::new(),
            idle: HashMap::new(),
            serving: HashMap::new(),
            cordoned: BTreeSet::new(),
            events: VecDeque::new(),
            served: Vec::new(),
            last: 0,
            version: 0,
        })
    }

    pub(super) fn alive(&self) -> bool {
        self.alive
    }
    pub(super) fn life(&self) -> u32 {
        self.life
    }
    pub(super) fn lives(&self, life: u32) -> bool {
        self.alive && self.life == life
    }
    /// Attempts that are out.
    pub(super) fn out(&self) -> usize {
        self.flights.len()
    }
    pub(super) fn sees(&self) -> bool {
        self.policy.sees()
    }
    pub(super) fn version(&self) -> u64 {
        self.version
    }
    pub(super) fn push(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Takes a client's request.
    pub(super) fn take(&mut self, id: TryId, class: usize, time_left: Micros, repeat: bool) -> RequestId {
        self.last += 1;
        let request = RequestId(self.last);
        self.requests.insert(request, Live { id, attempts: 0 });
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

    /// The attempts of a request that are out.
    pub(super) fn out_of(&self, request: RequestId) -> Vec<(RequestId, AttemptNo)> {
        let range = (request, AttemptNo(0))..=(request, AttemptNo(u32::MAX));
        self.flights.range(range).map(|(key, _)| *key).collect()
    }

    /// The module stayed silent to the deadline: the request is over, and whose it was is told so.
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

    pub(super) fn members(
        &mut self, update: ListUpdate, lines: impl Iterator<Item = (EndpointRecord, BackendId)>, version: u64,
    ) {
        let lines: Vec<Backend> = lines.map(|(row, id)| self.names.resolve(&row, id)).collect();
        for b in &lines {
            let serves = b.state == BackendState::Ready;
            self.serving.insert(b.id.0 as usize, serves);
            if !serves {
                self.idle.remove(&(b.id.0 as usize));
            }
        }
        self.version = version;
        self.push(Event::EndpointsUpdated { update, backends: lines });
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

    /// An attempt whose connection is up: where it goes, whose it is, and whether it may.
    pub(super) fn ready(&self, key: (RequestId, AttemptNo)) -> Option<(Flight, TryId, bool)> {
        let flight = *self.flights.get(&key)?;
        let live = self.requests.get(&key.0);
        let listed = self.serving.get(&flight.backend).copied().unwrap_or(false);
        let may = listed && !self.cordoned.contains(&BackendId(flight.backend as u32));
        Some((flight, live.map_or(TryId { arrival: 0, no: u32::MAX }, |l| l.id), may && live.is_some()))
    }

    pub(super) fn sent(&mut self, key: (RequestId, AttemptNo), ticket: Ticket) {
        if let Some(flight) = self.flights.get_mut(&key) {
            flight.ticket = Some(ticket);
        }
    }

    /// An attempt ended; where it was, if it had been sent.
    pub(super) fn attempt_ended(
        &mut self, now: Time, key: (RequestId, AttemptNo), outcome: Outcome,
    ) -> Option<(usize, Ticket)> {
        let flight = self.flights.remove(&key)?;
        if matches!(outcome, Outcome::Success | Outcome::Rejected) {
            *self.idle.entry(flight.backend).or_default() += 1;
        }
        let (request, attempt) = key;
        // The answer goes out before the module hears of it, as in the core.
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

    /// Passes all events on and tells what is asked for.
    pub(super) fn pump(&mut self, now: Time, global_view: GlobalView, wishes: &mut Vec<Stage>) {
        for request in std::mem::take(&mut self.served) {
            self.finish(request, Answer::Served, wishes);
        }
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.policy.handle(now, event, global_view, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, wishes);
            }
        }
    }

    fn finish(&mut self, request: RequestId, answer: Answer, wishes: &mut Vec<Stage>) {
        if let Some(live) = self.requests.remove(&request) {
            wishes.push(Stage::Answer { id: live.id, answer });
        }
    }

    fn carry_out(&mut self, now: Time, action: Action, wishes: &mut Vec<Stage>) {
        match action {
            Action::Dispatch { request, backend } => {
                let Some(live) = self.requests.get_mut(&request) else { return };
                let key = (request, AttemptNo(live.attempts));
                live.attempts += 1;
                let backend = backend.0 as usize;
                let idle = self.idle.entry(backend).or_default();
                let warm = *idle > 0;
                *idle -= u32::from(warm);
                self.flights.insert(key, Flight { backend, warm, since: now, ticket: None });
                wishes.push(Stage::Connect { key, backend, warm });
            }
            Action::Reject { request, retry_after } => {
                self.finish(request, Answer::Refused(retry_after), wishes)
            }
            Action::Fail { request } => self.finish(request, Answer::Failed, wishes),
            Action::Cancel { request, attempt } => {
                let Some(flight) = self.flights.remove(&(request, attempt)) else { return };
                wishes
                    .extend(flight.ticket.map(|ticket| Stage::Withdraw { backend: flight.backend, ticket }));
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
            Action::SetTimer { token, after } => wishes.push(Stage::Timer { token, after }),
            Action::WatchEndpoints | Action::Log(_) => {}
        }
    }

    /// The process ends: whom it leaves without an answer, and what it had sent.
    pub(super) fn die(&mut self) -> (Vec<TryId>, Vec<(usize, Ticket)>) {
        self.alive = false;
        let mut clients: Vec<TryId> = self.requests.drain().map(|(_, l)| l.id).collect();
        clients.sort();
        let flights = std::mem::take(&mut self.flights);
        let sent = flights.values().filter_map(|f| Some((f.backend, f.ticket?))).collect();
        self.events.clear();
        (clients, sent)
    }
}
