//! The decision module's host and sole owner: events go in, actions are carried out.

use crate::cordon::{Cordon, CordonError, LOOK};
use crate::counts::Counts;
use crate::gate::{Gate, Pass};
use crate::journal::{Journal, Labels};
use crate::memory;
use crate::registry::{News, Registry};
use crate::status::{BackendStatus, KindStatus, Status};
use crate::timers::Timers;
use crate::work::{Leg, Lines, Work};
use crate::Clock;
use lotusdeck_policy::settings::{Names, Settings};
use lotusdeck_policy::*;
use lotusdeck_recovery::Learned;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;
use tracing::{debug, info, warn};

/// Kept of the client's time for the answer's way back, on top of how late timers were seen to fire.
const MARGIN: Micros = Micros(3_000);
const MOST_MARGIN: Micros = Micros(20_000);

/// The final answer to a request: there is exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// By this attempt: its answer lies with the work.
    Served(AttemptNo),
    /// With the time after which the client had better come again.
    Refused(Micros),
    /// Nothing is promised.
    Failed,
    /// The module stayed silent to the deadline.
    TimedOut,
}

struct Live {
    work: Rc<dyn Work>,
    /// How long after the first send that may have run backends still drop a repeat, for a keyed class.
    window: Option<Micros>,
    /// When the first attempt that may have run was sent, of those that have ended.
    ran: Option<Time>,
    answer: oneshot::Sender<Answer>,
    deadline: Time,
    attempts: u32,
    /// The journal is told of it.
    journaled: bool,
    /// What it was taken in under.
    pass: Option<Pass>,
}

struct Flight {
    backend: BackendId,
    sent: Time,
    /// When its last byte came: its time counts from then.
    began: Time,
    task: AbortHandle,
    /// The journal is told of its end, and the work knows how that was.
    journaled: Option<Rc<dyn Work>>,
}

struct State {
    balancer: Balancer,
    /// Those of the generation, with what lists have added.
    names: Names,
    settings: Rc<Settings>,
    generation: u64,
    registry: Registry,
    requests: HashMap<RequestId, Live>,
    attempts: HashMap<(RequestId, AttemptNo), Flight>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    last: u64,
    /// The last request when what was learned was last handed out.
    learned_by: u64,
    /// Since the last line about them, and before.
    counts: Counts,
    before: Counts,
}

/// What stands beside the module, where there is any of it.
#[derive(Clone, Default)]
pub struct Beside {
    /// Of requests that must never run twice.
    pub journal: Option<Rc<dyn Journal>>,
    /// Limits that hold for more than this process.
    pub gate: Option<Rc<dyn Gate>>,
}

/// Owns the module and all requests that are open. Fronts bring requests and wait for the one answer to each.
pub struct Host {
    state: RefCell<State>,
    /// The module's time.
    pub clock: Clock,
    lines: Vec<Rc<dyn Lines>>,
    cordon: Cordon,
    beside: Beside,
    timers: Timers,
    follow: Notify,
}

impl Host {
    /// A host that has taken no request yet; `lines` are those of all protocols.
    pub fn new(
        balancer: Balancer, settings: Settings, clock: Clock, lines: Vec<Rc<dyn Lines>>, cordon: Cordon,
        beside: Beside,
    ) -> Rc<Host> {
        let state = State {
            balancer,
            names: settings.names.clone(),
            settings: Rc::new(settings),
            generation: 1,
            registry: Registry::default(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            last: 0,
            learned_by: 0,
            counts: Counts::default(),
            before: Counts::default(),
        };
        let (state, timers, follow) = (RefCell::new(state), Timers::default(), Notify::new());
        Rc::new(Host { state, clock, lines, cordon, beside, timers, follow })
    }

    /// The generation of settings under which a request that comes now is taken.
    pub fn settings(&self) -> Rc<Settings> {
        self.state.borrow().settings.clone()
    }

    /// Takes new settings, all at once; what changed, in words.
    pub fn adopt(self: &Rc<Self>, new: Settings) -> String {
        let (config, changed) = {
            let mut s = self.state.borrow_mut();
            let new = s.settings.succeeded_by(new, &s.names);
            self.lines.iter().for_each(|lines| lines.adopt(&new.network));
            s.generation += 1;
            s.names = new.names.clone();
            let changed = s.settings.difference(&new);
            s.settings = Rc::new(new);
            (Box::new(s.settings.config.clone()), changed)
        };
        self.tell(Event::Settings { config });
        changed
    }

    /// What is held back of a client's time.
    pub fn margin(&self) -> Micros {
        Micros((MARGIN.0 + self.timers.lag().0).min(MOST_MARGIN.0))
    }

    /// Takes a request; `arrival.request` is given here. `labels` name it in the journal, where there is one and
    /// the request must never run twice.
    pub fn request(
        self: &Rc<Self>, mut arrival: Arrival, work: Rc<dyn Work>, effect: Effect,
        labels: impl FnOnce() -> Labels,
    ) -> (RequestId, oneshot::Receiver<Answer>) {
        let (answer, wait) = oneshot::channel();
        let id = {
            let mut s = self.state.borrow_mut();
            s.last += 1;
            let id = RequestId(s.last);
            let deadline = self.clock.now() + arrival.time_left;
            let journal = self.beside.journal.as_ref().filter(|_| effect == Effect::Unsafe);
            let window = match effect {
                Effect::Keyed(_, window) => Some(window),
                _ => None,
            };
            s.requests.insert(
                id,
                Live { work, window, ran: None, answer, deadline, attempts: 0, journaled: false, pass: None },
            );
            s.counts.requests += 1;
            let gate = self.beside.gate.as_ref();
            match gate.map(|gate| gate.enter(arrival.class, arrival.tenant, &s.names)).transpose() {
                Ok(pass) => drop(s.requests.entry(id).and_modify(|live| live.pass = pass)),
                Err(come_again) => {
                    s.counts.refused += 1;
                    self.finish(&mut s, id, Answer::Refused(come_again));
                    return (id, wait);
                }
            }
            if let Some(journal) = journal {
                if let Some(come_again) = journal.refuses() {
                    s.counts.refused += 1;
                    self.finish(&mut s, id, Answer::Refused(come_again));
                    return (id, wait);
                }
                journal.taken(id, labels());
                s.requests.entry(id).and_modify(|live| live.journaled = true);
            }
            id
        };
        arrival.request = id;
        self.tell(Event::Request(arrival));
        (id, wait)
    }

    /// The client left before its answer.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        {
            let mut s = self.state.borrow_mut();
            let Some(live) = s.requests.remove(&id) else { return };
            self.settled(id, &live);
            s.counts.gone += 1;
        }
        self.tell(Event::ClientGone { request: id });
        self.drop_attempts(id);
    }

    /// The request's time is up. Attempts that are out have timed out, on which the module gives its final
    /// answer; should it stay silent, the request still gets one.
    pub fn deadline(self: &Rc<Self>, id: RequestId) {
        for no in self.attempts_of(id) {
            self.attempt_ended(id, no, Outcome::TimedOut);
        }
        let live = self.state.borrow_mut().requests.remove(&id);
        if let Some(live) = live {
            warn!(request = id.0, attempts = live.attempts, "no decision by the deadline");
            self.settled(id, &live);
            self.state.borrow_mut().counts.timed_out += 1;
            let _ = live.answer.send(Answer::TimedOut);
            self.tell(Event::ClientGone { request: id });
            self.drop_attempts(id);
        }
    }

    /// A request's body is whole: its time begins.
    pub fn uploaded(self: &Rc<Self>, id: RequestId, time_left: Micros) {
        {
            let mut s = self.state.borrow_mut();
            let now = self.clock.now();
            let Some(live) = s.requests.get_mut(&id) else { return };
            live.deadline = now + time_left;
            let out = s.attempts.iter_mut().filter(|(key, _)| key.0 == id);
            out.for_each(|(_, flight)| flight.began = now);
        }
        self.tell(Event::Uploaded { request: id, time_left });
    }

    fn attempts_of(&self, id: RequestId) -> Vec<AttemptNo> {
        let s = self.state.borrow();
        let count = s.requests.get(&id).map_or(0, |r| r.attempts);
        (0..count).map(AttemptNo).filter(|no| s.attempts.contains_key(&(id, *no))).collect()
    }

    /// For a module that may not cancel: nothing goes on for a client that left.
    fn drop_attempts(self: &Rc<Self>, id: RequestId) {
        let left: Vec<AttemptNo> = {
            let s = self.state.borrow();
            s.attempts.keys().filter(|k| k.0 == id).map(|k| k.1).collect()
        };
        left.into_iter().for_each(|no| self.attempt_ended(id, no, Outcome::Cancelled));
    }

    /// News of the list.
    pub fn members(self: &Rc<Self>, update: ListUpdate, news: impl Into<News>) {
        let backends = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let holds: HashSet<BackendId> = s.attempts.values().map(|f| f.backend).collect();
            s.registry.take(update, news.into(), &mut s.names, &holds, |name| self.cordon.holds(name))
        };
        self.apply_cordons();
        self.tell(Event::Members { update, backends });
    }

    /// Whether the list has or had a backend of that id.
    pub fn knows(&self, id: &str) -> bool {
        self.state.borrow().registry.knows(id) || self.cordon.holds(id)
    }

    /// An operator takes a backend out or gives it back; whether that changed anything.
    pub async fn cordon(self: &Rc<Self>, id: &str, out: bool) -> Result<bool, CordonError> {
        let changed = self.cordon.set(id, out).await;
        self.apply_cordons();
        changed
    }

    /// Follows what another process of this proxy is told, for as long as the program runs.
    pub async fn heed_cordons(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            if self.cordon.refresh() {
                info!(cordoned = self.cordon.count(), "cordons changed by another process");
                self.apply_cordons();
            }
        }
    }

    /// Another process serves beside this one, or does no more.
    pub fn shared(self: &Rc<Self>, with_another: bool) {
        info!(processes = 1 + u32::from(with_another), "processes of this proxy");
        self.beside.gate.iter().for_each(|gate| gate.shared(with_another));
        self.tell(Event::Processes { count: 1 + u32::from(with_another) });
    }

    /// Keeps connections only to backends that may be sent requests, and tells the module of a change.
    fn apply_cordons(self: &Rc<Self>) {
        let banned = {
            let mut s = self.state.borrow_mut();
            let usable = s.registry.usable(|name| self.cordon.holds(name));
            self.lines.iter().for_each(|lines| lines.serve(&usable));
            s.registry.cordons(|name| self.cordon.holds(name))
        };
        if let Some(backends) = banned {
            self.tell(Event::Cordoned { backends });
        }
    }

    /// What was learned so far, by names; `None` where no request came since the last call.
    pub fn learned(&self) -> Option<Learned> {
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        let news = std::mem::replace(&mut s.learned_by, s.last) != s.last;
        news.then(|| memory::named(&s.balancer.memory(self.clock.now()), &s.names, &s.registry))
    }

    /// Takes back what was learned before the process began; after the first list, whose names it speaks of.
    pub fn recall(self: &Rc<Self>, learned: &Learned) {
        let memory = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            memory::numbered(learned, &mut s.names, &s.registry)
        };
        self.tell(Event::Remembered(Box::new(memory)));
    }

    /// Attempts that are out.
    pub fn held(&self) -> usize {
        self.state.borrow().attempts.len()
    }

    /// What the other proxies told that they hold together.
    pub fn others_hold(self: &Rc<Self>, held: f64) {
        self.tell(Event::Others { held });
    }

    /// Until the module asks discovery for changes.
    pub async fn followed(&self) {
        self.follow.notified().await;
    }

    fn attempt_ended(self: &Rc<Self>, request: RequestId, attempt: AttemptNo, outcome: Outcome) {
        let end = {
            let mut s = self.state.borrow_mut();
            let Some(flight) = s.attempts.remove(&(request, attempt)) else { return };
            flight.task.abort(); // closes its connection, if it is still on one
            s.counts.ended(outcome);
            self.journal_end(request, attempt, outcome, &flight);
            if outcome == Outcome::TimedOut {
                self.unanswered(&flight);
            }
            if let Some(live) = s.requests.get_mut(&request).filter(|_| !outcome.never_ran()) {
                live.ran = Some(live.ran.map_or(flight.sent, |at| at.min(flight.sent)));
            }
            if outcome == Outcome::Ok && s.requests.contains_key(&request) {
                s.counts.served += 1;
                self.finish(&mut s, request, Answer::Served(attempt));
            }
            if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
                let backend = flight.backend.0;
                debug!(request = request.0, attempt = attempt.0, backend, ?outcome, "attempt ended");
            }
            self.end(&s, request, attempt, outcome, self.clock.now() - flight.began)
        };
        self.tell(Event::AttemptEnded(end));
    }

    fn end(
        &self, s: &State, request: RequestId, attempt: AttemptNo, outcome: Outcome, latency: Micros,
    ) -> AttemptEnd {
        let live = s.requests.get(&request);
        let spent = live.is_some_and(|r| r.work.spent());
        AttemptEnd { request, attempt, outcome, latency, settled: live.is_none(), spent }
    }

    fn journal_end(&self, request: RequestId, attempt: AttemptNo, outcome: Outcome, flight: &Flight) {
        if let Some((journal, work)) = self.beside.journal.as_ref().zip(flight.journaled.as_ref()) {
            journal.ended(request, attempt, outcome, work.status(attempt));
        }
    }

    fn settled(&self, request: RequestId, live: &Live) {
        if let Some(journal) = self.beside.journal.as_ref().filter(|_| live.journaled) {
            journal.settled(request);
        }
        if let Some((gate, pass)) = self.beside.gate.as_ref().zip(live.pass.as_ref()) {
            gate.leave(pass);
        }
    }

    /// The final answer.
    fn finish(&self, s: &mut State, request: RequestId, answer: Answer) {
        if let Some(live) = s.requests.remove(&request) {
            self.settled(request, &live);
            let _ = live.answer.send(answer);
        }
    }

    fn unanswered(&self, flight: &Flight) {
        let sent = self.clock.instant(flight.sent);
        self.lines.iter().for_each(|lines| lines.unanswered(flight.backend, sent));
    }

    /// Passes an event on, and all that follows from it.
    fn tell(self: &Rc<Self>, event: Event) {
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        s.events.push_back(event);
        while let Some(event) = s.events.pop_front() {
            let now = self.clock.now();
            s.balancer.handle(now, event, &mut s.actions);
            let mut actions = std::mem::take(&mut s.actions);
            actions.drain(..).for_each(|action| self.carry_out(s, now, action));
            s.actions = actions;
        }
    }

    fn carry_out(self: &Rc<Self>, s: &mut State, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend } => self.dispatch(s, now, request, backend),
            Action::Refuse { request, retry_after } => {
                s.counts.refused += 1;
                self.finish(s, request, Answer::Refused(retry_after));
            }
            Action::Fail { request } => {
                s.counts.failed += 1;
                self.finish(s, request, Answer::Failed);
            }
            Action::Cancel { request, attempt } => {
                let Some(flight) = s.attempts.remove(&(request, attempt)) else { return };
                flight.task.abort();
                self.journal_end(request, attempt, Outcome::Cancelled, &flight);
                self.unanswered(&flight);
                let end = self.end(s, request, attempt, Outcome::Cancelled, now - flight.began);
                s.events.push_back(Event::AttemptEnded(end));
            }
            Action::SetTimer { token, after } => self.timers.set(now + after, token),
            Action::Follow => self.follow.notify_one(),
            Action::Log(text) => info!(module = %text, "decided"),
        }
    }

    fn dispatch(self: &Rc<Self>, s: &mut State, now: Time, request: RequestId, backend: BackendId) {
        let Some(live) = s.requests.get_mut(&request) else { return };
        let attempt = AttemptNo(live.attempts);
        live.attempts += 1;
        s.counts.attempts += 1;
        let (work, deadline) = (live.work.clone(), self.clock.instant(live.deadline));
        let (journaled, its) = (live.journaled, live.journaled.then(|| live.work.clone()));
        let Some(address) = s.registry.get(backend).map(|b| b.address) else { return };
        // A keyed repeat that leaves after the window, its connection being slow to come up, would run again.
        let earlier = (0..attempt.0).filter_map(|no| s.attempts.get(&(request, AttemptNo(no))));
        let first = earlier.map(|f| f.sent).chain(live.ran).min();
        let send_by = first.zip(live.window).map(|(at, window)| at + window);
        let (host, asked) = (self.clone(), self.clone());
        let gate = Box::new(move || asked.may_send(request, (backend, address), send_by));
        // It is written down while the connection comes up.
        let clearance = self.beside.journal.as_ref().filter(|_| journaled).map(|journal| {
            let name = s.registry.get(backend).map_or("", |b| &b.name);
            journal.intent(request, attempt, name, address)
        });
        let leg = Leg { attempt, backend, address, deadline, gate, clearance: clearance.into() };
        let task = tokio::task::spawn_local(async move {
            let outcome = work.attempt(leg).await;
            host.attempt_ended(request, attempt, outcome);
        });
        let flight = Flight { backend, sent: now, began: now, task: task.abort_handle(), journaled: its };
        s.attempts.insert((request, attempt), flight);
    }

    /// At the moment of the first byte: the list still allows it and still has the backend at that address, where
    /// another may be by now; the request still waits for it, and a repeat is still one that is dropped.
    fn may_send(
        &self, request: RequestId, (backend, to): (BackendId, SocketAddr), send_by: Option<Time>,
    ) -> bool {
        let s = self.state.borrow();
        let usable = |b: &crate::registry::Known| {
            b.state == BackendState::Ready && b.address == to && !self.cordon.holds(&b.name)
        };
        s.registry.get(backend).is_some_and(usable)
            && s.requests.contains_key(&request)
            && send_by.is_none_or(|at| self.clock.now() < at)
    }

    /// Fires the module's timers for as long as the program runs.
    pub async fn timers(self: Rc<Self>) {
        loop {
            match self.timers.next() {
                None => self.timers.sooner().await,
                Some(at) => {
                    let due = tokio::time::sleep_until(self.clock.instant(at));
                    tokio::select! {
                        _ = due => self.fire(),
                        _ = self.timers.sooner() => {}
                    }
                }
            }
        }
    }

    fn fire(self: &Rc<Self>) {
        while let Some(token) = self.timers.due(self.clock.now()) {
            self.tell(Event::Timer { token });
        }
    }

    /// One line on what went on since the last.
    pub fn report(&self) {
        let mut s = self.state.borrow_mut();
        let c = std::mem::take(&mut s.counts);
        s.before += c;
        info!(
            requests = c.requests,
            served = c.served,
            refused = c.refused,
            failed = c.failed,
            overdue = c.timed_out,
            gone = c.gone,
            attempts = c.attempts,
            full = c.full,
            errors = c.errors,
            resets = c.resets,
            unconnected = c.unconnected,
            unsent = c.unsent,
            open = s.requests.len(),
            lag_us = self.timers.lag().0,
            "requests"
        );
    }

    /// All that is known and done at this moment.
    pub fn status(&self) -> Status {
        let s = self.state.borrow();
        let mut counts = s.before;
        counts += s.counts;
        let kind = |k: KindView| KindStatus {
            name: s.names.kind(k.id).into(),
            ready: k.ready,
            speed_rps: k.speed,
            share: k.share,
        };
        let backend = |b: BackendView| {
            let known = s.registry.get(b.id)?;
            Some(BackendStatus {
                name: known.name.clone(),
                address: known.address.to_string(),
                state: match b.state {
                    BackendState::Ready => "ready",
                    BackendState::Draining => "draining",
                    BackendState::Gone => "gone",
                },
                cordoned: b.cordoned,
                kind: s.names.kind(b.kind).into(),
                ready: b.ready,
                share: b.share,
                held: b.held,
                room: b.room,
                errors: b.errors,
                ejected: b.ejected.is_some(),
            })
        };
        Status {
            settings_generation: s.generation,
            open_requests: s.requests.len(),
            open_attempts: s.attempts.len(),
            timer_lag_us: self.timers.lag().0,
            counts,
            ledger: self.beside.journal.as_ref().map(|j| j.status()),
            fleet: self.beside.gate.as_ref().map(|g| g.status()),
            kinds: s.balancer.kinds().map(kind).collect(),
            backends: s.balancer.backends().filter_map(backend).collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::registry::Endpoint;
    use crate::work::Sending;
    use lotusdeck_policy::settings::{Network, Row};

    /// A request that stays out until it is given up.
    struct Endless;

    impl Work for Endless {
        fn attempt(self: Rc<Self>, _: Leg) -> Sending {
            Box::pin(std::future::pending())
        }
        fn spent(&self) -> bool {
            false
        }
        fn status(&self, _: AttemptNo) -> Option<u16> {
            None
        }
    }

    /// Each thing that may change while a connection comes up stops the send: the list, the request's end,
    /// and the end of the time in which a keyed repeat is dropped.
    #[tokio::test]
    async fn the_first_byte_waits_for_list_request_and_window() {
        let second = Micros(1_000_000);
        let settings = Settings {
            config: Config::example(),
            names: Names::default(),
            network: Network {
                connect_timeout: second,
                conn_idle: second,
                max_retry_after: Some(second),
                deadlines: vec![second],
            },
        };
        let balancer = Balancer::new(Config::example(), 1).unwrap();
        let none = std::env::temp_dir().join("lotusdeck-no-such-proxy");
        let host =
            Host::new(balancer, settings, Clock::new(), Vec::new(), Cordon::load(&none), Beside::default());
        let at = |state, port: u16| {
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            let row = Row::new("b", &address.to_string(), "", "", Backend { state, ..Backend::default() });
            vec![Endpoint { name: "b".into(), address, state, row }]
        };
        let news = |state| at(state, 9);
        let scope = tokio::task::LocalSet::new();
        scope
            .run_until(async {
                host.members(ListUpdate::Changes, news(BackendState::Ready));
                let arrival = Arrival {
                    request: RequestId(0),
                    class: ClassId(0),
                    tenant: None,
                    time_left: Micros(60_000_000),
                    work_hint: None,
                    repeat: false,
                    uploading: false,
                };
                let (id, _wait) = host.request(arrival, Rc::new(Endless), Effect::Free, || unreachable!());
                let (now, b) = (host.clock.now(), (BackendId(0), SocketAddr::from(([127, 0, 0, 1], 9))));
                assert!(host.may_send(id, b, None) && host.may_send(id, b, Some(now + Micros(60_000_000))));
                assert!(!host.may_send(id, b, Some(now)), "the window is over");
                assert!(!host.may_send(RequestId(99), b, None), "the request is over");
                host.members(ListUpdate::Changes, at(BackendState::Ready, 10));
                assert!(!host.may_send(id, b, None), "the backend is elsewhere, and another may be there");
                host.members(ListUpdate::Changes, news(BackendState::Ready));
                assert!(host.may_send(id, b, None));
                host.members(ListUpdate::Changes, news(BackendState::Draining));
                assert!(!host.may_send(id, b, None), "the backend drains");
                host.client_gone(id);
                assert!(host.state.borrow().attempts.is_empty(), "nothing is out for a client that left");
                host.members(ListUpdate::Changes, news(BackendState::Gone));
                let s = host.state.borrow();
                assert!(s.registry.is_empty(), "one that is gone is forgotten");
            })
            .await;
    }
}
