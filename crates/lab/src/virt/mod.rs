//! The driver in virtual time: the same model, plans, records and verdicts as on sockets, with the decision module
//! itself (one instance for each proxy, sharing nothing) and no socket, thread or clock.

pub mod policy;
mod proxy;
mod rivals;

use crate::drive::proxies::configuration;
use crate::drive::run::{told, Outcome as Ran};
use crate::record::{How, Record, TryId, Turn, What, LISTEN_ON};
use crate::world::backend::{Backend, Health};
use crate::world::deal::Deal;
use crate::world::dice::Dice;
use crate::world::discovery::{Discovery, Line, Status};
use crate::world::plan::{Act, Plan};
use crate::world::station::Ticket;
use hdrhistogram::Histogram;
use lotusdeck_policy::settings::{Faults, Row, Settings};
use lotusdeck_policy::{
    AttemptNo, BackendId, BackendState, CellId, ConfigError, ListUpdate, Micros, Outcome, RequestId, Time,
    TimerToken,
};
use policy::Which;
use proxy::{Answer, Flight, Proxy, Stage};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use thiserror::Error;

/// One way between two machines.
const WAY: Micros = Micros(100);
/// A connection that does not come up is given up after this time.
const DIAL: Micros = Micros(300_000);
/// The module's clock at the run's beginning: far enough from zero for any ramp.
const BASE: Time = Time(1_000_000_000);
/// Kept of a client's time, as the proxy does.
const MARGIN: Micros = Micros(3_000);

/// Why nothing was played.
#[derive(Debug, Error)]
pub enum VirtualError {
    /// The experiment's settings are none for a proxy.
    #[error("settings: {0}")]
    Settings(#[from] Faults),
    /// The module does not take them.
    #[error("settings: {0}")]
    Unsound(#[from] ConfigError),
}

/// What is to happen.
#[derive(Clone, Debug)]
enum Happens {
    Act(usize),
    /// A client's try is due.
    Ask(TryId),
    /// It has reached a proxy, in that life of it.
    AtProxy {
        id: TryId,
        proxy: usize,
        life: u32,
        deadline: Time,
    },
    /// A request's time is up at its proxy.
    Deadline {
        proxy: usize,
        life: u32,
        request: RequestId,
    },
    Timer {
        proxy: usize,
        life: u32,
        token: TimerToken,
    },
    /// An attempt's connection is up, or is not.
    Connected {
        proxy: usize,
        life: u32,
        key: (RequestId, AttemptNo),
        up: bool,
    },
    /// An attempt has reached its backend.
    Reach {
        proxy: usize,
        life: u32,
        key: (RequestId, AttemptNo),
        backend: usize,
        id: TryId,
        ticket: Ticket,
    },
    /// A backend may be through with something.
    Due {
        backend: usize,
        stamp: u64,
    },
    /// An attempt's end has reached its proxy.
    Back {
        proxy: usize,
        life: u32,
        key: (RequestId, AttemptNo),
        outcome: Outcome,
    },
    /// A proxy has given an attempt up.
    Withdraw {
        backend: usize,
        ticket: Ticket,
    },
    /// An answer has reached its client.
    ToClient {
        id: TryId,
        status: u16,
        retry_after: Option<f64>,
    },
    /// A connection broke under a client.
    Broke(TryId),
    Leave(TryId),
    /// The list may have changed.
    News,
    /// Proxies tell each other what they hold.
    Gossip,
    Tell {
        proxy: usize,
        life: u32,
    },
}

struct Waiting {
    proxy: usize,
    request: Option<(u32, RequestId)>,
}

struct Held {
    proxy: usize,
    life: u32,
    key: (RequestId, AttemptNo),
    id: TryId,
}

struct World<'a> {
    plan: &'a Plan,
    /// Each proxy's own.
    settings: Vec<Settings>,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    slots: Vec<Option<Happens>>,
    free: Vec<usize>,
    count: u64,
    backends: Vec<Backend>,
    stamps: Vec<u64>,
    held: Vec<HashMap<Ticket, Held>>,
    tickets: Ticket,
    discovery: Discovery,
    /// Discovery is through with the calls that it has.
    told_at: Time,
    proxies: Vec<Proxy>,
    which: Which,
    waiting: HashMap<TryId, Waiting>,
    deal: Deal,
    shunned: Vec<Time>,
    records: Vec<Record>,
    dice: Dice,
    sight: Vec<f64>,
    /// Attempts out at each proxy, round by round, the oldest first: what is told is so old.
    gossip: VecDeque<Vec<f64>>,
}

/// Plays a plan; the same plan and policy give the same records, always.
///
/// # Errors
/// Where the experiment makes no settings for a proxy.
pub fn play(plan: &Arc<Plan>, which: Which) -> Result<Ran, VirtualError> {
    let nowhere = ([127, 0, 0, 1], 1).into();
    let settings = |p| Settings::read(&configuration(plan, p, nowhere, nowhere, nowhere, "{}")["settings"]);
    let settings: Vec<Settings> = (0..plan.experiment.proxies).map(settings).collect::<Result<_, _>>()?;
    let mut proxies = Vec::new();
    for (p, own) in settings.iter().enumerate() {
        proxies.push(Proxy::new(p, own, plan, which, 0)?);
    }
    let count = plan.fleet.len();
    let mut world = World {
        plan,
        settings,
        now: Time(0),
        queue: BinaryHeap::new(),
        slots: Vec::new(),
        free: Vec::new(),
        count: 0,
        backends: plan.fleet.iter().map(|s| Backend::new(s.clone(), plan.fall_rule(), Time(0))).collect(),
        stamps: vec![0; count],
        held: (0..count).map(|_| HashMap::new()).collect(),
        tickets: 0,
        discovery: Discovery::new(count, Micros::from_secs(plan.experiment.discovery.lag_ms / 1e3)),
        proxies,
        which,
        waiting: HashMap::new(),
        deal: Deal::new(plan.experiment.proxies, plan.experiment.clients.skew, plan.seed),
        told_at: Time(0),
        shunned: vec![Time(0); plan.experiment.proxies],
        records: Vec::new(),
        dice: Dice::new(plan.seed, "virtual"),
        sight: vec![0.0; count],
        gossip: VecDeque::new(),
    };
    world.run()?;
    let late = Histogram::new(2).expect("two digits");
    Ok(Ran { records: world.records, samples: Vec::new(), late, cut: None })
}

impl World<'_> {
    fn after(&mut self, span: Micros, what: Happens) {
        self.at(self.now + span, what);
    }

    fn at(&mut self, at: Time, what: Happens) {
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot] = Some(what);
                slot
            }
            None => {
                self.slots.push(Some(what));
                self.slots.len() - 1
            }
        };
        self.count += 1;
        self.queue.push(Reverse((at.max(self.now), self.count, slot)));
    }

    fn see(&mut self, what: What) {
        self.records.push(Record { at: self.now, what });
    }

    fn run(&mut self) -> Result<(), VirtualError> {
        for p in 0..self.proxies.len() {
            self.see(What::Proxy { proxy: p, turn: Turn::Ready });
            self.list(p, ListUpdate::Cached);
        }
        (0..self.plan.acts.len()).for_each(|n| self.at(self.plan.acts[n].0, Happens::Act(n)));
        if self.plan.experiment.talk.every_ms > 0.0 {
            self.at(Time(0), Happens::Gossip);
        }
        // One arrival calls the next, so that the queue stays small.
        self.next_arrival(0);
        let end = self.plan.end() + Micros::from_secs(self.longest()) + LISTEN_ON + LISTEN_ON;
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.free.push(slot);
            if let Some(what) = self.slots[slot].take() {
                self.happen(what)?;
            }
        }
        for backend in 0..self.backends.len() {
            let p = self.backends[backend].pressure;
            if p.sent > 0.0 {
                self.see(What::Pressure { backend, sent: p.sent, bears: p.bears });
            }
        }
        Ok(())
    }

    fn longest(&self) -> f64 {
        self.plan.experiment.class.iter().map(|c| c.deadline_ms / 1e3).fold(0.0, f64::max)
    }

    fn next_arrival(&mut self, n: usize) {
        if let Some(a) = self.plan.arrivals.get(n) {
            self.at(a.at, Happens::Ask(TryId { arrival: n as u32, no: 0 }));
        }
    }

    fn happen(&mut self, what: Happens) -> Result<(), VirtualError> {
        match what {
            Happens::Act(n) => self.act(n)?,
            Happens::Ask(id) => {
                if id.no == 0 {
                    self.next_arrival(id.arrival as usize + 1);
                }
                self.ask(id);
            }
            Happens::AtProxy { id, proxy, life, deadline } => self.arrive(id, proxy, life, deadline),
            Happens::Deadline { proxy, life, request } if self.lives(proxy, life) => {
                for key in self.proxies[proxy].out_of(request) {
                    self.end_attempt(proxy, key, Outcome::TimedOut);
                }
                self.pump(proxy);
                if let Some(id) = self.proxies[proxy].give_up(request) {
                    self.after(WAY, Happens::ToClient { id, status: 504, retry_after: None });
                    self.pump(proxy);
                }
            }
            Happens::Timer { proxy, life, token } if self.lives(proxy, life) => {
                self.proxies[proxy].push(lotusdeck_policy::Event::Timer { token });
                self.pump(proxy);
            }
            Happens::Connected { proxy, life, key, up } if self.lives(proxy, life) => {
                self.connected(proxy, key, up)
            }
            Happens::Reach { proxy, life, key, backend, id, ticket } => {
                self.reach(Held { proxy, life, key, id }, backend, ticket);
            }
            Happens::Due { backend, stamp } if self.stamps[backend] == stamp => self.settle(backend),
            Happens::Back { proxy, life, key, outcome } if self.lives(proxy, life) => {
                self.end_attempt(proxy, key, outcome);
                self.pump(proxy);
            }
            Happens::Withdraw { backend, ticket } => {
                self.settle(backend);
                if let Some(held) = self.held[backend].remove(&ticket) {
                    self.backends[backend].withdraw(self.now, ticket);
                    self.see(What::Ended { id: held.id, backend, how: How::Withdrawn });
                    self.schedule(backend);
                }
            }
            Happens::ToClient { id, status, retry_after } if self.waiting.remove(&id).is_some() => {
                self.see(What::Answered { id, status, retry_after, own: status == 200 });
                self.again(id, status != 200, matches!(status, 429 | 503), retry_after);
            }
            Happens::Broke(id) if self.waiting.remove(&id).is_some() => {
                self.see(What::Broke { id, reused: false, begun: false });
                self.again(id, true, false, None);
            }
            Happens::Leave(id) => {
                if let Some(w) = self.waiting.remove(&id) {
                    self.see(What::Left { id });
                    if let Some((life, request)) = w.request.filter(|r| self.lives(w.proxy, r.0)) {
                        debug_assert!(self.proxies[w.proxy].life() == life);
                        self.proxies[w.proxy].client_gone(request);
                        self.pump(w.proxy);
                    }
                }
            }
            Happens::News => {
                if self.discovery.due(self.now) {
                    self.spread();
                }
                self.follow_news();
            }
            Happens::Gossip => self.gossip(),
            Happens::Tell { proxy, life } if self.lives(proxy, life) && !self.discovery.down => {
                self.list(proxy, ListUpdate::Changes);
            }
            // Of an earlier life, or overtaken.
            _ => {}
        }
        Ok(())
    }

    /// Every proxy is told what the others had out some rounds ago.
    fn gossip(&mut self) {
        let talk = &self.plan.experiment.talk;
        let (every, old) =
            (Micros::from_secs(talk.every_ms / 1e3), (talk.lag_ms / talk.every_ms).ceil() as usize);
        self.gossip.push_back(self.proxies.iter().map(|p| p.out() as f64).collect());
        if self.gossip.len() > old {
            let told = self.gossip.pop_front().unwrap_or_default();
            let all: f64 = told.iter().sum();
            for (p, own) in
                told.iter().enumerate().filter(|(p, _)| self.proxies[*p].alive()).collect::<Vec<_>>()
            {
                self.proxies[p].push(lotusdeck_policy::Event::Others { held: all - own });
                self.pump(p);
            }
        }
        if self.now < self.plan.end() {
            self.after(every, Happens::Gossip);
        }
    }

    fn lives(&self, proxy: usize, life: u32) -> bool {
        self.proxies[proxy].lives(life)
    }

    // Clients.

    fn ask(&mut self, id: TryId) {
        let a = &self.plan.arrivals[id.arrival as usize];
        let class = &self.plan.experiment.class[a.class];
        let deadline = a.at + Micros::from_secs(class.deadline_ms / 1e3);
        let leaves = (a.at + a.patience).min(deadline);
        let (shunned, now) = (&self.shunned, self.now);
        let proxy = self.deal.next(|p| shunned[p] > now);
        if !self.proxies[proxy].alive() {
            let shun = Micros::from_secs(self.plan.experiment.clients.shun_ms / 1e3);
            self.shunned[proxy] = self.now + shun;
            self.see(What::Unreached { id, proxy });
            self.again(id, true, true, None);
            return;
        }
        self.see(What::Asked { id, proxy, left: (deadline - self.now).0 });
        self.waiting.insert(id, Waiting { proxy, request: None });
        let life = self.proxies[proxy].life();
        self.after(WAY, Happens::AtProxy { id, proxy, life, deadline });
        let until = if leaves < deadline { leaves } else { deadline + LISTEN_ON };
        self.at(until, Happens::Leave(id));
    }

    /// A further try, where the client makes one.
    fn again(&mut self, id: TryId, unserved: bool, harmless: bool, advice: Option<f64>) {
        let a = &self.plan.arrivals[id.arrival as usize];
        let habits = &self.plan.experiment.clients;
        let free = self.plan.experiment.class[a.class].effect == crate::experiment::Effect::Free;
        let pause = advice.unwrap_or(habits.pause_ms / 1e3);
        let at = self.now + Micros::from_secs(pause);
        if unserved && (free || harmless) && id.no + 1 < habits.tries && at < a.at + a.patience {
            self.at(at, Happens::Ask(TryId { no: id.no + 1, ..id }));
        }
    }

    fn arrive(&mut self, id: TryId, proxy: usize, life: u32, deadline: Time) {
        if !self.lives(proxy, life) {
            self.after(WAY, Happens::Broke(id));
            return;
        }
        let Some(waiting) = self.waiting.get_mut(&id) else { return };
        let class = self.plan.arrivals[id.arrival as usize].class;
        let left = Micros((deadline - self.now).0.saturating_sub(MARGIN.0));
        let request = self.proxies[proxy].take(id, class, left, id.no > 0);
        waiting.request = Some((life, request));
        self.after(left, Happens::Deadline { proxy, life, request });
        self.pump(proxy);
    }

    // Proxies.

    /// Passes events on to a proxy's policy until it is quiet, and carries out what it asks for.
    fn pump(&mut self, proxy: usize) {
        if self.proxies[proxy].sees() {
            for (b, backend) in self.backends.iter().enumerate() {
                let serves = backend.health == Health::Up;
                let speed = backend.capacity(self.now);
                self.sight[b] = if serves { (backend.held().0 as f64 + 1.0) / speed } else { f64::INFINITY };
            }
        }
        let (now, module) = (self.now, Time(BASE.0 + self.now.0));
        let mut wishes = Vec::new();
        self.proxies[proxy].pump(module, &self.sight, &mut wishes);
        let life = self.proxies[proxy].life();
        for wish in wishes {
            match wish {
                Stage::Answer { id, answer } => {
                    let (status, retry_after) = match answer {
                        Answer::Served => (200, None),
                        Answer::Refused(after) => (503, Some(after.secs())),
                        Answer::Failed => (502, None),
                    };
                    self.after(WAY, Happens::ToClient { id, status, retry_after });
                }
                Stage::Timer { token, after } => self.at(now + after, Happens::Timer { proxy, life, token }),
                Stage::Connect { key, backend, warm } => {
                    let health = self.backends[backend].health;
                    let (span, up) = match health {
                        _ if warm => (Micros(0), true),
                        Health::Down => (Micros(2 * WAY.0), false),
                        Health::Hung => (DIAL, false),
                        Health::Up | Health::Draining => (Micros(2 * WAY.0), true),
                    };
                    self.after(span, Happens::Connected { proxy, life, key, up });
                }
                Stage::Withdraw { backend, ticket } => self.after(WAY, Happens::Withdraw { backend, ticket }),
            }
        }
    }

    fn connected(&mut self, proxy: usize, key: (RequestId, AttemptNo), up: bool) {
        let Some((flight, id, may)) = self.proxies[proxy].ready(key) else { return };
        let Flight { backend, warm, .. } = flight;
        if !up || !may {
            let outcome = if up { Outcome::NeverSent } else { Outcome::ConnectFailed };
            self.end_attempt(proxy, key, outcome);
            self.pump(proxy);
            return;
        }
        self.tickets += 1;
        let ticket = self.tickets;
        if !warm {
            self.settle(backend);
            self.tickets += 1;
            let handshake = self.tickets;
            self.backends[backend].opened(self.now, handshake);
            self.schedule(backend);
        }
        self.proxies[proxy].sent(key, ticket);
        let life = self.proxies[proxy].life();
        let jitter = Micros(self.dice.exponential(WAY.0 as f64 / 2.0) as u64);
        self.after(Micros(WAY.0 + jitter.0), Happens::Reach { proxy, life, key, backend, id, ticket });
    }

    fn end_attempt(&mut self, proxy: usize, key: (RequestId, AttemptNo), outcome: Outcome) {
        let gone = self.proxies[proxy].attempt_ended(Time(BASE.0 + self.now.0), key, outcome);
        if let Some((backend, ticket)) = gone.filter(|_| outcome == Outcome::TimedOut) {
            self.after(WAY, Happens::Withdraw { backend, ticket });
        }
    }

    fn line(&self, line: &Line) -> (Row, BackendId, Status) {
        let spec = &self.plan.fleet[line.backend];
        let state = match line.status {
            Status::Serving => BackendState::Ready,
            Status::Draining => BackendState::Draining,
            Status::Deleted => BackendState::Gone,
        };
        let booted = line.since.map(|at| Time(BASE.0 + at.0));
        let entry = lotusdeck_policy::Backend {
            cell: CellId(spec.cell),
            state,
            booted,
            ..lotusdeck_policy::Backend::default()
        };
        (
            Row::new(&spec.name, "127.0.0.1:1", &spec.zone, &spec.kind, entry),
            BackendId(line.backend as u32),
            line.status,
        )
    }

    fn list(&mut self, proxy: usize, update: ListUpdate) {
        let known = self.proxies[proxy].version();
        let version = self.discovery.version();
        let lines: Vec<_> = match update {
            ListUpdate::Changes => self.discovery.since(known).map(|l| self.line(l)).collect(),
            _ => self.discovery.whole().map(|l| self.line(l)).collect(),
        };
        for (_, backend, status) in &lines {
            self.see(What::Told { proxy, backend: backend.0 as usize, status: *status });
        }
        self.proxies[proxy].members(update, lines.into_iter().map(|(row, id, _)| (row, id)), version);
        self.pump(proxy);
    }

    /// Every proxy is told, in turn.
    fn spread(&mut self) {
        for p in 0..self.proxies.len() {
            let lines = self.discovery.since(self.proxies[p].version()).count();
            self.call(p, lines);
        }
    }

    /// Discovery tells a proxy so many lines once it is through with the calls before.
    fn call(&mut self, proxy: usize, lines: usize) {
        let spec = &self.plan.experiment.discovery;
        let took = Micros::from_secs(spec.call_ms / 1e3 + spec.line_us / 1e6 * lines as f64);
        self.told_at = self.told_at.max(self.now) + took;
        let life = self.proxies[proxy].life();
        self.at(self.told_at + WAY, Happens::Tell { proxy, life });
    }

    fn follow_news(&mut self) {
        if let Some(at) = self.discovery.next() {
            self.at(at, Happens::News);
        }
    }

    // Backends.

    fn reach(&mut self, held: Held, backend: usize, ticket: Ticket) {
        let (proxy, life, key, id) = (held.proxy, held.life, held.key, held.id);
        match self.backends[backend].health {
            Health::Hung => return, // nothing is heard of it again
            Health::Down => {
                self.after(WAY, Happens::Back { proxy, life, key, outcome: Outcome::Reset });
                return;
            }
            Health::Up | Health::Draining => {}
        }
        self.settle(backend);
        self.see(What::Began { id, backend });
        let a = &self.plan.arrivals[id.arrival as usize];
        if self.backends[backend].arrive(self.now, ticket, a.key, a.work).is_ok() {
            self.held[backend].insert(ticket, held);
        } else {
            self.see(What::Ended { id, backend, how: How::TurnedAway });
            self.after(WAY, Happens::Back { proxy, life, key, outcome: Outcome::Full });
        }
        self.schedule(backend);
    }

    fn settle(&mut self, backend: usize) {
        let mut ended = Vec::new();
        self.backends[backend].due(self.now, &mut ended);
        for (_, ticket) in ended {
            if let Some(h) = self.held[backend].remove(&ticket) {
                self.see(What::Ended { id: h.id, backend, how: How::Served });
                self.after(
                    WAY,
                    Happens::Back { proxy: h.proxy, life: h.life, key: h.key, outcome: Outcome::Ok },
                );
            }
        }
        self.schedule(backend);
    }

    fn schedule(&mut self, backend: usize) {
        self.stamps[backend] += 1;
        if let Some(at) = self.backends[backend].next() {
            let stamp = self.stamps[backend];
            // Never at this very moment again: a microsecond is the clock's step.
            self.at(at.max(Time(self.now.0 + 1)), Happens::Due { backend, stamp });
        }
    }

    /// A process or a machine takes down what it held.
    fn drop_held(&mut self, backend: usize) {
        let mut lost: Vec<_> = self.held[backend].drain().collect();
        lost.sort_by_key(|l| l.0);
        for (_, h) in lost {
            self.see(What::Ended { id: h.id, backend, how: How::Died });
            self.after(
                WAY,
                Happens::Back { proxy: h.proxy, life: h.life, key: h.key, outcome: Outcome::Reset },
            );
        }
        self.proxies.iter_mut().for_each(|p| p.forget_connections(backend));
    }

    // What happens to all of them.

    fn act(&mut self, n: usize) -> Result<(), VirtualError> {
        let plan = self.plan;
        let act = &plan.acts[n].1;
        self.see(What::Act { text: told(plan, act) });
        let now = self.now;
        let mut changed: Vec<usize> = Vec::new();
        match act {
            Act::Kill(which) | Act::Remove(which) => {
                for &b in which {
                    self.settle(b);
                    self.backends[b].turn(now, Health::Down);
                    self.drop_held(b);
                    if matches!(act, Act::Remove(_)) {
                        self.discovery.change(now, b, Status::Deleted, self.backends[b].booted);
                    }
                }
                changed = which.clone();
            }
            Act::Drain(which) | Act::Start(which) => {
                let (health, status) = match act {
                    Act::Drain(_) => (Health::Draining, Status::Draining),
                    _ => (Health::Up, Status::Serving),
                };
                for &b in which {
                    self.settle(b);
                    self.backends[b].turn(now, health);
                    self.discovery.change(now, b, status, self.backends[b].booted);
                }
                changed = which.clone();
            }
            Act::Slow(which, factor) => {
                for &b in which {
                    self.settle(b);
                    self.backends[b].slow(now, *factor);
                }
                changed = which.clone();
            }
            Act::SharedSlow(factor) => {
                changed = (0..self.backends.len()).collect();
                for &b in &changed {
                    self.settle(b);
                    self.backends[b].slow_shared(now, *factor);
                }
            }
            Act::Hang(which, silent) => {
                for &b in which {
                    self.settle(b);
                    self.backends[b].turn(now, if *silent { Health::Hung } else { Health::Up });
                    if !silent {
                        self.drop_held(b);
                    }
                }
                changed = which.clone();
            }
            Act::DiscoveryDown(down) => {
                self.discovery.down = *down;
                if !down {
                    self.spread();
                }
            }
            Act::DiscoveryLag(factor) => {
                self.discovery.lag = Micros::from_secs(plan.experiment.discovery.lag_ms / 1e3 * factor);
            }
            Act::Cordon(which, out) => {
                let ids: Vec<BackendId> = which.iter().map(|b| BackendId(*b as u32)).collect();
                for p in 0..self.proxies.len() {
                    self.proxies[p].cordon(&ids, *out);
                    for &backend in which {
                        self.see(What::Cordoned { proxy: p, backend, out: *out });
                    }
                    self.pump(p);
                }
            }
            // A stop in order is, for decisions, a start of one that knows nothing: sockets are not played here.
            Act::KillProxy(p) | Act::StopProxy(p) => {
                self.see(What::Proxy { proxy: *p, turn: Turn::Killed });
                let (clients, sent) = self.proxies[*p].die();
                clients.into_iter().for_each(|id| self.after(WAY, Happens::Broke(id)));
                sent.into_iter()
                    .for_each(|(b, ticket)| self.after(WAY, Happens::Withdraw { backend: b, ticket }));
            }
            Act::StartProxy(p) => {
                let life = self.proxies[*p].life() + 1;
                self.proxies[*p] = Proxy::new(*p, &self.settings[*p], plan, self.which, life)?;
                self.see(What::Proxy { proxy: *p, turn: Turn::Ready });
                self.list(*p, ListUpdate::Cached);
                self.call(*p, plan.fleet.len()); // it asks for the whole list, as everyone does at a start
            }
            Act::Reload(_) => {} // the same settings again
        }
        changed.into_iter().for_each(|b| self.schedule(b));
        self.follow_news();
        Ok(())
    }
}
