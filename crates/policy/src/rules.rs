//! Every decision of the proxy. Its whole interface (events, actions, settings) is `src/interface.rs`;
//! what it remembers of backends, kinds, classes and requests is laid out in `src/state.rs`.
//!
//! Ordinary path: `solve` turns the arrival rate and the learned speeds into a share per kind (HALB),
//! `draw` picks a kind by share and a backend inside it at random. All else is a departure for trouble.

use crate::api::*;
use crate::estimators::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

/// The shares are solved this often, s: far faster than the rate's memory.
const SOLVE_EVERY: f64 = 0.1;
/// ... but not before so many requests have come, and a quota holds as many: fewer are chance alone.
const FEW: f64 = 5.0;
/// Where a proxy alone has no room to count, memory of what it holds, s: some ten of its own requests.
const CROWD_MEMORY: f64 = 5.0;
/// Memory of this one's part of what all told, s: shorter ones swing, as all act on one old number.
const PART_MEMORY: f64 = 30.0;
/// Memory of the arrival rate and of a tenant's quota, s: short beside a ramp or a failure.
const RATE_MEMORY: f64 = 2.0;
/// Samples in a kind's or class's mean: its error is then about a tenth of the spread.
const KIND_SAMPLES: f64 = 100.0;
/// Proxies that share a backend, where there are more: each keeps connections to a slice of the fleet, as a
/// backend takes few. Each may have one request there whatever the others do: twice the hold at once. Twenty
/// held a slow one for good (docs/scale.md). The load of so many evens out, to a third of one's.
const SHARED_BY: f64 = 8.0;
/// Requests that all proxies together hold on one backend: a shared processor at four fifths of its
/// capacity holds four on average; more only makes every one of them later.
const HOLD: f64 = 4.0;
/// Error share from which a backend is ejected: four errors close together reach it. Spoilt answers and
/// broken connections come from all alike, a few in a hundred: two are chance.
const ERROR_LIMIT: f64 = 0.3;
/// Weight of the newest outcome in a backend's error share.
const ERROR_STEP: f64 = 0.1;
/// An attempt this many times older than usual is taken for lost: it holds no room any more. Two of them,
/// with no later answer, mark silence; one may be an answer that never comes.
const SILENT_AFTER: f64 = 8.0;
/// ... or so many times, while most that are as old as this are never answered.
const LOST_AFTER: f64 = 2.5;
/// Attempts of that age that tell whether most are answered.
const OLD_SAMPLES: f64 = 30.0;
/// First term of an ejection, s; it doubles with each failed return, twice at most.
const EJECT_TERM: f64 = 1.0;
/// Good trials before an ejected backend is trusted again.
const TRIALS: u32 = 3;
/// Ejected backends beyond half of the fleet are used after all: then it is not they who are ill.
const PANIC: f64 = 0.5;
/// Part of this proxy's fall budget that it uses: the rest is for skew between proxies and heavy work.
const FALL_MARGIN: f64 = 0.8;
/// Extra attempts for each request: twice the usual tenth, as failures are seen late; doubled while losing.
const RETRY_RATIO: f64 = 0.2;
/// Draws inside a kind before others are looked at: where most are open it takes one or two.
const GLANCES: u32 = 8;
/// Backends that are looked at then: all of a small fleet; so many of a large one stand for it.
const SCAN: usize = 256;
/// Steps of a solution that an event takes in a larger fleet, one backend in one pass: some 20 us.
const STEPS: usize = 128;
/// Passes of a solution at most.
const PASSES: f64 = 5.0;
/// A request worth less than this part of a first try within quota finds half of the room: the rest is kept.
const LOW: f64 = 0.5;

/// HALB: the clamped M/G/1/PS optimum. For kinds of (ready count, speed of one backend) and the arrival
/// rate, the part of the traffic for each kind; all zero when nothing is ready.
pub fn halb_shares(kinds: &[(f64, f64)], rate: Option<f64>) -> Vec<f64> {
    let split = |on: &dyn Fn(&(f64, f64)) -> bool| -> Vec<f64> {
        let total: f64 = kinds.iter().filter(|k| on(k)).map(|k| k.0).sum();
        kinds.iter().map(|k| if on(k) && total > 0.0 { k.0 / total } else { 0.0 }).collect()
    };
    let Some(rate) = rate else { return split(&|_| true) }; // no rate yet: by ready counts
    let mut live = kinds.to_vec();
    loop {
        let (roots, speeds) = live.iter().fold((0.0, 0.0), |s, k| (s.0 + k.0 * k.1.sqrt(), s.1 + k.0 * k.1));
        if rate <= speeds * 1e-6 || speeds <= 0.0 {
            let best = live.iter().filter(|k| k.0 > 0.0).map(|k| k.1).fold(0.0, f64::max);
            return split(&|k| k.1 == best); // the limit: the fastest kind takes all
        }
        let flow = |k: &(f64, f64)| k.0 * k.1 - k.0 * k.1.sqrt() * (speeds - rate) / roots;
        let flows: Vec<f64> = live.iter().map(flow).collect();
        if flows.iter().all(|f| *f >= 0.0) {
            return flows.iter().map(|f| f / rate).collect();
        }
        live.iter_mut().zip(&flows).filter(|(_, f)| **f <= 0.0).for_each(|(k, _)| k.0 = 0.0);
    }
}

/// The part of its capacity that a backend has at least.
fn warmth(cfg: &Config, now: Time, entry: &Backend) -> f64 {
    let age = entry
        .started_at
        .map_or(f64::MAX, |boot| (now - boot).secs() / cfg.slow_start_duration.secs().max(1e-6));
    cfg.slow_start_floor + (1.0 - cfg.slow_start_floor) * age.min(1.0)
}

/// This proxy's place in an order of all, spread evenly from 0 up to their number; each mark has its own.
fn place(cfg: &Config, mark: u64) -> f64 {
    let (proxies, begin) = (f64::from(cfg.proxy_count), (mark % u64::from(cfg.proxy_count)) as f64);
    (f64::from(cfg.proxy_index) * 0.618_033_988_749_895 + begin / proxies).fract() * proxies
}

/// The decisions of one proxy. Give it every event in order; it answers with actions.
pub struct Balancer {
    pub(crate) cfg: Config,
    dice: Rng,
    pub(crate) peers: BTreeMap<BackendId, Peer>,
    /// The peers by mark, an order that all proxies share.
    order: BTreeSet<(u64, BackendId)>,
    /// Those that have left the list and still hold something.
    leaving: BTreeSet<BackendId>,
    /// Those with attempts that look lost.
    doubted: Vec<BackendId>,
    /// The ready peers of each kind with the running sum of their weights: what a draw looks them up in.
    tables: BTreeMap<KindId, Vec<(f64, BackendId)>>,
    /// Those that operators have taken out, and when those that they gave back came back.
    cordoned: BTreeSet<BackendId>,
    returned: BTreeMap<BackendId, Time>,
    /// Another process acts for this proxy, or did inside the fall window, until then.
    shared_until: Time,
    pub(crate) kinds: BTreeMap<KindId, Kind>,
    pub(crate) classes: Vec<ClassState>,
    /// New requests may be of a class that may be run again at will.
    any_harmless: bool,
    pub(crate) overall: MovingAverage,
    pub(crate) buckets: Vec<TokenBucket>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    held: Vec<RequestId>,
    /// First tries worth less than this have found no room since the last event that could make some.
    blocked: f64,
    pub(crate) attempts: BTreeMap<(RequestId, AttemptNo), Out>,
    rate: RateEstimator,
    /// Seconds that this proxy's attempts were out, for each second: its own part of all that is held.
    crowd: RateEstimator,
    /// What all hold and what this one does, where the others tell.
    part: [RateEstimator; 2],
    extra: f64,
    /// The part of the attempts older than so many usual times that were answered.
    answered: [(f64, MovingAverage); 2],
    /// The error share of the middle one of the backends: what is common to all is no fault of any.
    common: f64,
    solve_at: Time,
    sweep: Sweep,
    /// The last event.
    seen: Time,
    /// When time alone may next call for something, and the timer set for that.
    look_at: Time,
    timer: (u64, Time),
    ask: (Option<Time>, f64),
    log_at: Time,
    actions: Vec<Action>,
}

impl Balancer {
    /// A proxy that knows nothing yet but its configuration.
    pub fn new(cfg: Config, seed: u64) -> Result<Balancer, ConfigError> {
        cfg.validate()?;
        Ok(Balancer {
            dice: Rng::new(seed),
            peers: BTreeMap::new(),
            order: BTreeSet::new(),
            leaving: BTreeSet::new(),
            doubted: Vec::new(),
            tables: BTreeMap::new(),
            cordoned: BTreeSet::new(),
            returned: BTreeMap::new(),
            shared_until: Time(0),
            kinds: BTreeMap::new(),
            classes: cfg.classes.iter().map(|_| ClassState::default()).collect(),
            any_harmless: cfg.classes.iter().any(Class::is_idempotent),
            overall: MovingAverage::default(),
            buckets: cfg.tenants.iter().map(|_| TokenBucket::default()).collect(),
            requests: BTreeMap::new(),
            held: Vec::new(),
            blocked: 0.0,
            attempts: BTreeMap::new(),
            rate: RateEstimator::new(RATE_MEMORY),
            crowd: RateEstimator::new(CROWD_MEMORY),
            part: [RateEstimator::new(PART_MEMORY); 2],
            extra: 0.0,
            answered: [LOST_AFTER, SILENT_AFTER].map(|age| (age, MovingAverage { value: 1.0, count: FEW })),
            common: 0.0,
            solve_at: Time(0),
            sweep: Sweep::default(),
            seen: Time(0),
            look_at: Time(0),
            timer: (0, Time(u64::MAX)),
            ask: ((cfg.discovery != DiscoveryMode::Push).then_some(Time(0)), 0.0),
            log_at: Time(0),
            actions: Vec::new(),
            cfg,
        })
    }

    /// Takes one event that happened at `now` and adds the actions it calls for.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !matches!(event, Event::Request(_) | Event::Timer { .. }) {
            self.blocked = 0.0; // those two make no room, and trying a long line in vain costs too much CPU
        }
        let out = self.attempts.len() as f64;
        self.crowd.add_level(now, out);
        let due = now >= self.solve_at && (matches!(event, Event::Request(_)) || !self.held.is_empty());
        if due || self.sweep.pass != Pass::Rest {
            self.solve(now); // never for an idle proxy: a thousand of them would cost all the CPU there is
        }
        self.seen = now;
        match event {
            Event::EndpointsUpdated { update, backends } => self.members(now, update, backends),
            Event::Cordoned { backends } => self.cordon(now, backends),
            Event::ConfigApplied { config, reassigned: renewed } => self.settings(now, *config, &renewed),
            // What the other sent weighs on a cold backend for a window more.
            Event::ProcessCount { count: 0 | 1 } => self.shared_until = now + self.cfg.overload_window,
            Event::ProcessCount { .. } => self.shared_until = Time(u64::MAX),
            Event::Restored(memory) => self.recall(now, &memory),
            Event::FleetLoad { in_flight: held } => {
                self.part.iter_mut().zip([held + out, out]).for_each(|(r, n)| r.add_level(now, n));
            }
            Event::Request(arrival) => self.request(now, arrival),
            Event::BodyReceived { request, time_left } => self.uploaded(now, request, time_left),
            Event::StreamStarted { request, attempt } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming |= r.sent.get(attempt.0 as usize).is_some_and(|s| s.out);
                }
            }
            Event::AttemptEnded(end) => self.ended(now, end),
            Event::ClientDisconnected { request } => self.close(request),
            Event::Timer { token } if token != TimerToken(self.timer.0) => return,
            Event::Timer { .. } => self.timer.1 = Time(u64::MAX),
        }
        if now >= self.look_at {
            self.look_after(now);
        }
        self.pump(now);
        if !self.held.is_empty() {
            self.look_at = self.look_at.min(now + self.cfg.tick);
        }
        if self.look_at < self.timer.1 {
            self.timer = (self.timer.0 + 1, self.look_at);
            let after = (self.look_at - now).max(self.cfg.tick);
            self.actions.push(Action::SetTimer { token: TimerToken(self.timer.0), after });
        }
        actions.append(&mut self.actions);
    }

    fn members(&mut self, now: Time, update: ListUpdate, list: Vec<Backend>) {
        match (update, self.cfg.discovery) {
            // A lost subscription is asked for again, later each time and not in step with others.
            (ListUpdate::Failed, DiscoveryMode::Subscribe { poll_within: within }) => {
                // Shorter pauses of a whole fleet keep a crowded discovery from ever answering.
                let wait = (self.ask.1 * 2.0).clamp(0.1, (within.secs() / 8.0).max(0.1));
                self.ask = (Some(now + Micros::from_secs(wait * (0.5 + self.dice.unit()))), wait);
                self.look_at = now;
            }
            (ListUpdate::Changes | ListUpdate::Full, _) => self.ask = (None, 0.0),
            _ => {}
        }
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            let ids: BTreeSet<BackendId> = list.iter().map(|b| b.id).collect();
            for (id, p) in self.peers.iter_mut().filter(|(id, _)| !ids.contains(id)) {
                p.entry.state = BackendState::Removed;
                self.leaving.insert(*id);
            }
        }
        for mut entry in list {
            entry.started_at = entry.started_at.max(self.returned.get(&entry.id).copied());
            let id = entry.id;
            let p = self.peers.entry(id).or_default();
            if p.entry.started_at != entry.started_at {
                // A restarted process has nothing in common with the old one but its address.
                p.begin_anew();
            }
            p.cordoned = self.cordoned.contains(&id);
            self.order.remove(&(p.entry.order_key, id));
            self.order.insert((entry.order_key, id));
            if entry.state == BackendState::Removed {
                self.leaving.insert(id);
            }
            p.entry = entry;
        }
        for id in std::mem::take(&mut self.leaving) {
            let Some(p) = self.peers.get(&id).filter(|p| p.entry.state == BackendState::Removed) else {
                continue;
            };
            if p.out > 0 {
                self.leaving.insert(id);
            } else {
                self.order.remove(&(p.entry.order_key, id));
                self.peers.remove(&id);
            }
        }
        self.solve_at = now;
    }

    /// What operators take out is out at once. What they give back is taken for just started: it may have
    /// been, and the list tells of that seconds later.
    fn cordon(&mut self, now: Time, backends: Vec<BackendId>) {
        let cordoned: BTreeSet<BackendId> = backends.into_iter().collect();
        self.returned.retain(|id, at| now - *at < self.cfg.slow_start_duration && !cordoned.contains(id));
        self.returned.extend(self.cordoned.difference(&cordoned).map(|id| (*id, now)));
        let changed: Vec<BackendId> = self.cordoned.symmetric_difference(&cordoned).copied().collect();
        self.cordoned = cordoned;
        for id in changed {
            let Some(p) = self.peers.get_mut(&id) else { continue };
            p.cordoned = self.cordoned.contains(&id);
            if !p.cordoned {
                p.begin_anew();
                p.entry.started_at = p.entry.started_at.max(Some(now));
            }
        }
        (self.solve_at, self.look_at) = (now, now);
    }

    /// Other settings from now on; what was learned stays, and open requests keep what they were promised.
    fn settings(&mut self, now: Time, cfg: Config, renewed: &ReassignedIds) {
        self.renew(cfg.classes.len(), renewed);
        self.any_harmless = cfg.classes.iter().any(Class::is_idempotent);
        self.buckets.resize_with(cfg.tenants.len(), TokenBucket::default);
        if cfg.discovery != self.cfg.discovery {
            self.ask = ((cfg.discovery != DiscoveryMode::Push).then_some(now), 0.0);
        }
        self.cfg = cfg;
        (self.solve_at, self.look_at) = (now, now);
    }

    fn request(&mut self, now: Time, new: Arrival) {
        let Some(c) = self.cfg.classes.get(new.class.0) else { return };
        if self.requests.contains_key(&new.request) {
            return;
        }
        self.rate.add(now, 1.0);
        let ratio = RETRY_RATIO * if self.losing().is_some() { 2.0 } else { 1.0 };
        self.extra = (self.extra + ratio).min(ratio * KIND_SAMPLES);
        let tenant = new.tenant.and_then(|t| self.cfg.tenants.get(t.0).zip(self.buckets.get_mut(t.0)));
        let part = |t: &Tenant| t.quota_per_s / f64::from(self.cfg.proxy_count);
        let over_quota = tenant.is_some_and(|(t, bucket)| !bucket.take(now, part(t), RATE_MEMORY, FEW));
        let aim =
            c.latency_objective.0 + new.work_hint.unwrap_or_default().times(c.objective_per_work_hint).0;
        let (aim, deadline) = (now + Micros(aim).min(new.time_left), now + new.time_left);
        // A client that comes again waited for its first try: what is left to earn is mostly the late worth,
        // and serving it before a new request would make both late, all through a storm of repeats.
        let again = if new.is_client_retry { c.late_value_factor } else { 1.0 };
        let value = again * if over_quota { self.cfg.over_quota_factor } else { 1.0 };
        let (class, came, streaming, sent) = (new.class.0, now, false, Vec::new());
        let (most, copies) = (self.cfg.max_attempts as usize, self.cfg.allow_hedging);
        let uploading = new.body_incomplete;
        let request = Request { class, came, aim, deadline, value, most, copies, uploading, streaming, sent };
        self.requests.insert(new.request, request);
        self.held.push(new.request);
    }

    /// A body is whole: its time begins, and it counts on the backend that has it. No other can be sent it.
    fn uploaded(&mut self, now: Time, id: RequestId, left: Micros) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.uploading) else { return };
        let aim = (r.aim - r.came).min(left);
        (r.came, r.aim, r.deadline) = (now, now + aim, now + left);
        (r.uploading, r.most) = (false, r.sent.len());
        for (_, a) in self.attempts.range_mut((id, AttemptNo(0))..=(id, AttemptNo(u32::MAX))) {
            if std::mem::take(&mut a.coming) {
                a.sent = now;
                self.peers.get_mut(&a.to).into_iter().for_each(|p| p.coming = p.coming.saturating_sub(1));
            }
        }
        self.look_at = now;
    }

    fn ended(&mut self, now: Time, end: AttemptEnd) {
        let id = end.request;
        let Some(attempt) = self.attempts.remove(&(id, end.attempt)) else { return };
        self.learn(now, &attempt, &end);
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(s) = r.sent.get_mut(end.attempt.0 as usize) {
            (s.out, s.never_ran) = (false, end.outcome.never_ran());
        }
        r.most = if end.body_consumed { r.sent.len() } else { r.most };
        if end.request_answered || end.outcome == Outcome::Success {
            self.close(id);
        } else if !r.out() && !self.held.contains(&id) {
            self.held.push(id); // `pump` sends it again or gives it up
        }
    }

    /// What an outcome says of the backend, its kind and its class.
    fn learn(&mut self, now: Time, attempt: &Out, end: &AttemptEnd) {
        let Out { to: id, class, sent, coming } = *attempt;
        let (usual, quiet) = (self.usual(class), self.quiet(class));
        // One withdrawn so late was not answered in time either.
        let outcome = match end.outcome {
            Outcome::Cancelled if !coming && now >= sent + quiet => Outcome::TimedOut,
            outcome => outcome,
        };
        for (age, answered) in &mut self.answered {
            match end.outcome {
                _ if coming || now < sent + usual.times(*age) => {}
                Outcome::Success | Outcome::Error => answered.add(1.0, OLD_SAMPLES),
                Outcome::TimedOut | Outcome::Cancelled => answered.add(0.0, OLD_SAMPLES),
                _ => {}
            }
        }
        let Some(p) = self.peers.get_mut(&id) else { return };
        p.out = p.out.saturating_sub(1);
        p.coming = p.coming.saturating_sub(u32::from(coming));
        p.lost = p.lost.saturating_sub(u32::from(!coming && now >= sent + quiet));
        let k = self.kinds.entry(p.entry.kind).or_default();
        if matches!(outcome, Outcome::Success | Outcome::TimedOut) {
            k.answered.add(f64::from(outcome == Outcome::Success), OLD_SAMPLES);
        }
        match outcome {
            Outcome::Success => {
                // Served requests only: errors, time-outs and refusals stay out of the speeds.
                let secs = end.latency.secs().max(1e-6);
                self.classes[class].latency.add(secs, KIND_SAMPLES);
                self.overall.add(secs, KIND_SAMPLES);
                let plain = secs * self.overall.value / self.classes[class].latency.value;
                k.latency.add(plain, KIND_SAMPLES);
                k.flows.add(k.flow, KIND_SAMPLES);
                (p.answered, p.errors) = (now, p.errors * (1.0 - ERROR_STEP));
                let part = p.part(class);
                (part.answered, part.errors) = (now, part.errors * (1.0 - ERROR_STEP));
                (part.fulls, part.strikes) = (0, 0);
                p.trials += 1;
                if p.ejected.is_none() {
                    p.strikes = 0;
                } else if p.trials >= TRIALS {
                    (p.ejected, p.trial, p.errors) = (None, false, 0.0);
                    p.parts.clear();
                    self.log(now, format!("backend {} is back", id.0));
                }
            }
            // A full backend answers, and is left alone until it may have finished one, twice as long each
            // time that it is still full: busy is not ill. It may hold back one class only.
            Outcome::Rejected => {
                let part = p.part(class);
                let wait = usual.times(f64::from(part.fulls.min(4)).exp2()).secs().min(EJECT_TERM / 2.0);
                (part.full_until, part.fulls) = (now + Micros::from_secs(wait), part.fulls + 1);
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
            // A heavy request alone is no illness: other answers came back meanwhile.
            Outcome::TimedOut if p.part(class).answered >= sent => {}
            Outcome::TimedOut if p.answered < sent => self.eject(now, id, outcome),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                let bump = |errors: &mut f64| *errors += (1.0 - *errors) * ERROR_STEP;
                bump(&mut p.errors);
                bump(&mut p.part(class).errors);
                if outcome == Outcome::Error {
                    (p.answered, p.part(class).answered) = (now, now);
                }
                let limit = ERROR_LIMIT + 2.0 * self.common;
                // Where another class was served just now, it is this one only.
                let good = |p: &Part| {
                    p.errors < ERROR_STEP / 2.0 && now < p.answered + Micros::from_secs(EJECT_TERM)
                };
                let all_ill = p.errors > limit && !p.parts.values().any(good);
                if p.ejected.is_some() || all_ill {
                    self.eject(now, id, outcome);
                } else if p.part(class).errors > limit {
                    self.shun(now, id, class);
                }
            }
        }
    }

    /// It fails at one class: the others go on there.
    fn shun(&mut self, now: Time, id: BackendId, class: usize) {
        let Some(p) = self.peers.get_mut(&id) else { return };
        let part = p.part(class);
        if now >= part.shunned {
            let term = EJECT_TERM * f64::from(part.strikes.min(2)).exp2();
            (part.shunned, part.strikes) = (now + Micros::from_secs(term), part.strikes + 1);
            self.solve_at = now;
            self.log(now, format!("backend {} gets none of class {class}", id.0));
        }
    }

    fn eject(&mut self, now: Time, id: BackendId, why: Outcome) {
        let term = EJECT_TERM * (0.75 + 0.5 * self.dice.unit());
        let Some(p) = self.peers.get_mut(&id) else { return };
        if p.ejected.is_none_or(|until| now >= until) {
            let until = now + Micros::from_secs(term * f64::from(p.strikes.min(2)).exp2());
            (p.ejected, p.strikes, p.trials, p.ready) = (Some(until), p.strikes + 1, 0, 0.0);
            self.look_at = now;
            self.log(now, format!("backend {} ejected: {why:?}", id.0));
        }
    }

    /// What time alone brings about, and when to look again.
    fn look_after(&mut self, now: Time) {
        let mut next = now + Micros::from_secs(CROWD_MEMORY); // nothing else may be due
        let due = self.ask.0.filter(|at| now >= *at);
        if let (Some(_), DiscoveryMode::Subscribe { poll_within: within }) = (due, self.cfg.discovery) {
            self.ask.0 = Some(now + within.times(0.5)); // unanswered so long, the call itself was lost
            self.actions.push(Action::WatchEndpoints);
        }
        next = self.ask.0.map_or(next, |at| next.min(at));
        for id in std::mem::take(&mut self.doubted) {
            let Some(p) = self.peers.get_mut(&id) else { continue };
            (p.lost, p.unheard) = (0, 0);
            p.parts.values_mut().for_each(|part| part.unheard = 0);
        }
        for &Out { to: backend, class, sent, .. } in self.attempts.values().filter(|a| !a.coming) {
            let (lost, silent) = (sent + self.quiet(class), sent + self.usual(class).times(SILENT_AFTER));
            next = [lost, silent].into_iter().filter(|at| *at > now).fold(next, Time::min);
            if now < lost.min(silent) {
                continue;
            }
            self.doubted.push(backend);
            let Some(p) = self.peers.get_mut(&backend) else { continue };
            p.lost += u32::from(now >= lost);
            p.unheard += u32::from(now >= silent && p.answered <= sent);
            let part = p.part(class);
            part.unheard += u32::from(now >= silent && part.answered <= sent);
        }
        let losing = self.losing().is_some();
        let mut over = Vec::new();
        for (&id, r) in self.requests.iter().filter(|(_, r)| !(r.streaming || r.uploading && r.out())) {
            let usual = self.usual(r.class);
            // A client whose request nobody has seen is told before half of its time is over.
            let unseen = r.sent.iter().all(|s| s.never_ran);
            let late_pays = self.cfg.classes[r.class].late_value_factor > 0.0 && !unseen;
            let half = r.came + (r.deadline - r.came).times(0.5) + usual - self.cfg.tick;
            let last_start = if late_pays { r.deadline } else { r.aim.min(half) };
            let old = |s: &Sent| losing && now >= s.at + self.quiet(r.class);
            let ill = |s: &Sent| self.peers.get(&s.to.id).is_none_or(|p| p.ejected.is_some());
            let lost = |s: &Sent| s.out && (ill(s) || old(s));
            let lost = r.out() && r.sent.iter().all(|s| !s.out || lost(s));
            // The deadline's own tick would be too late to answer; a request that was held so long
            // that it cannot make it is refused while that is still harmless.
            let last_start = if r.out() { r.deadline } else { last_start.min(r.deadline) };
            let margin = if r.out() { self.cfg.tick } else { usual.max(self.cfg.tick) };
            if now + margin >= last_start {
                over.push(id);
            } else if lost
                && (now + usual < r.aim || late_pays && now + usual < r.deadline)
                && self.extra >= 1.0
            {
                // Age alone is a reason only where answers are lost: copies of heavy requests crowd backends.
                if r.copies {
                    if self.may_send(now, r) && !self.held.contains(&id) {
                        self.held.push(id);
                    }
                } else if self.cfg.allow_cancel
                    && self.cfg.classes[r.class].side_effects != SideEffects::NonIdempotent
                {
                    // Where no copy may run beside it, it is called back to make way for the next.
                    self.actions
                        .push(Action::Cancel { request: id, attempt: AttemptNo(r.sent.len() as u32 - 1) });
                }
            }
            next = next.min(last_start - margin);
        }
        self.look_at = next.max(now + self.cfg.tick);
        over.into_iter().for_each(|id| self.give_up(id));
    }

    /// What a served request of the class usually takes; before any was served, a quarter of its aim.
    fn usual(&self, class: usize) -> Micros {
        let known = self.classes[class].latency.get();
        known.map_or(self.cfg.classes[class].latency_objective.times(0.25), Micros::from_secs)
    }

    /// The age, in usual times, from which most attempts are never answered.
    fn losing(&self) -> Option<f64> {
        self.answered.iter().find(|(_, answered)| answered.value < 0.5).map(|(age, _)| *age)
    }

    /// An attempt older than this is taken for lost.
    fn quiet(&self, class: usize) -> Micros {
        self.usual(class).times(self.losing().unwrap_or(SILENT_AFTER))
    }

    /// A class's work beside the mean, so far as latency tells it.
    fn work(&self, class: usize) -> f64 {
        self.classes[class].latency.get().map_or(1.0, |own| own / self.overall.value)
    }

    /// Takes the solution on: readiness of every backend, speed and share of every kind, each backend's part.
    fn solve(&mut self, now: Time) {
        let mut s = std::mem::take(&mut self.sweep);
        if s.pass == Pass::Rest {
            let few = FEW / self.rate.per_s().unwrap_or(FEW / SOLVE_EVERY).max(1.0);
            self.solve_at = now + Micros::from_secs(SOLVE_EVERY.max(few));
            s.begin();
        }
        // A small fleet's is complete at once, and the first. Else, where events are few each takes more
        // steps, so that it is complete before the next one is due.
        let passed = PASSES * self.peers.len() as f64 * (now - self.seen).secs() / SOLVE_EVERY;
        let at_once = self.tables.is_empty() || self.peers.len() <= SCAN;
        let mut left = if at_once { usize::MAX } else { STEPS.max(passed as usize) };
        while s.pass != Pass::Rest {
            let goes_on = self.step(now, &mut s, &mut left);
            if let Some(next) = goes_on {
                s.next = next;
                break;
            }
            s.next = (0, BackendId(0));
            s.pass = match s.pass {
                Pass::Count => {
                    self.common = s.common();
                    Pass::Ready
                }
                Pass::Ready => {
                    self.share(now, &s);
                    if self.cfg.cross_zone_cost > 0.0 {
                        Pass::Due
                    } else {
                        Pass::Pull
                    }
                }
                Pass::Due => Pass::Pull,
                Pass::Pull => Pass::Slice,
                Pass::Slice | Pass::Rest => {
                    self.kinds.iter_mut().for_each(|(id, k)| k.pull = s.kinds.get(id).map_or(0.0, |k| k.1));
                    s.tables.retain(|_, table| !table.is_empty());
                    std::mem::swap(&mut self.tables, &mut s.tables);
                    let ready: usize = self.tables.values().map(Vec::len).sum();
                    let most = |class| s.shunned.get(&class).is_some_and(|n| *n > ready as f64 * PANIC);
                    self.classes.iter_mut().enumerate().for_each(|(class, c)| c.shunned = most(class));
                    self.blocked = 0.0;
                    Pass::Rest
                }
            };
        }
        self.sweep = s;
    }

    /// Goes on with a pass while steps are left; where it has to go on, if it is not through.
    fn step(&mut self, now: Time, s: &mut Sweep, left: &mut usize) -> Option<(u64, BackendId)> {
        let (cfg, kinds, peers) = (&self.cfg, &self.kinds, &mut self.peers);
        let (at, proxies) = (s.next.1, f64::from(cfg.proxy_count));
        let part = |p: &Peer| kinds.get(&p.entry.kind).map_or(0.0, |k| k.share * p.ready / k.ready.max(1e-9));
        let next = match s.pass {
            Pass::Rest => None,
            Pass::Count => walk(peers, at, left, |_, p| {
                if p.listed() {
                    (s.listed, s.ejected) = (s.listed + 1.0, s.ejected + f64::from(p.ejected.is_some()));
                    s.errors.extend((p.errors > 0.0).then_some(p.errors));
                }
            }),
            Pass::Ready => walk(peers, at, left, |_, p| {
                let panic = s.ejected > s.listed * PANIC;
                p.trial = !panic && p.ejected.is_some_and(|until| now >= until);
                let health = match p.ejected {
                    _ if !p.listed() => 0.0,
                    // Seldomer after each ejection not made good yet: the trials of all proxies together
                    // are work, and would keep those that are only overrun from ever coming up for air.
                    Some(_) if p.trial => 0.5f64.powi((p.strikes - p.trials as i32).max(0)),
                    Some(_) => f64::from(panic),
                    None => 1.0 - p.errors,
                };
                p.ready = health * warmth(cfg, now, &p.entry);
                s.kinds.entry(p.entry.kind).or_default().0 += p.ready;
            }),
            // Each backend's part of this proxy's traffic: its kind's share by readiness. Where crossing
            // zones costs, it stays near so far as each backend still gets the same part of all: a zone
            // whose backends are due less than its proxies bring sends its surplus to the zones due more.
            Pass::Due => walk(peers, at, left, |_, p| {
                if p.ready > 0.0 {
                    *s.due.entry(p.entry.zone).or_default() += part(p);
                }
            }),
            Pass::Pull => {
                let zones = s.due.len() as f64;
                let rich: f64 = s.due.values().map(|d| (d * zones - 1.0).max(0.0)).sum();
                let own = s.due.get(&cfg.zone).copied().unwrap_or(0.0);
                walk(peers, at, left, |_, p| {
                    let here = s.due.get(&p.entry.zone).map_or(0.0, |d| d.max(1e-9));
                    let far = (1.0 - own * zones).max(0.0) * (here * zones - 1.0).max(0.0) / rich.max(1e-9);
                    let near = if p.entry.zone == cfg.zone { (own * zones).min(1.0) } else { far };
                    let bias = if cfg.cross_zone_cost > 0.0 && here > 0.0 { near / here } else { 1.0 };
                    // Half of the room for all goes by that part, half evenly; each has a room of one at
                    // least, as more proxies than the hold would wait for turns: `crowded` keeps the hold.
                    let turn = p.entry.order_key.wrapping_add(u64::from(cfg.proxy_index));
                    let coin = ((turn % u64::from(cfg.proxy_count)) as f64 + 0.5) / proxies;
                    let fair = HOLD / proxies * p.ready;
                    p.room = (fair * (0.5 + 0.5 * bias) + coin).floor().max(1.0);
                    // The trace takes the overflow where all that have a part are full.
                    let drawn = part(p) * bias;
                    p.pull = drawn + p.ready * 1e-6;
                    s.reached += f64::from(drawn > 0.0);
                    s.kinds.entry(p.entry.kind).or_default().1 += p.pull;
                })
            }
            // This proxy's slice of each kind: the same width for all, begun at evenly spread places, so that
            // all slices together cover every backend by its pull.
            Pass::Slice => {
                let width = (SHARED_BY / proxies * peers.len() as f64 / s.reached.max(1.0)).min(1.0);
                let start = place(cfg, 0) / proxies;
                for key in self.order.range(s.next..) {
                    if *left == 0 {
                        return Some(*key);
                    }
                    *left -= 1;
                    let senders = self.peers.get(&key.1).map_or(proxies, |p| self.senders(now, p));
                    let Some(p) = self.peers.get_mut(&key.1) else { continue };
                    let (_, pull, walked) = s.kinds.entry(p.entry.kind).or_default();
                    let from = *walked / pull.max(1e-9);
                    *walked += p.pull;
                    let to = *walked / pull.max(1e-9);
                    let inside = |start: f64| (to.min(start + width) - from.max(start)).max(0.0);
                    let evenly = inside(start) + inside(start - 1.0);
                    // Where few may send to a cold one they share it, whatever their slices.
                    let few =
                        f64::from(place(&self.cfg, p.entry.order_key) < senders) * (to - from) / senders;
                    let slice = if senders < proxies { few * width * proxies } else { evenly };
                    p.weight = slice + p.pull * 1e-6;
                    if p.ready > 0.0 {
                        let table = s.tables.entry(p.entry.kind).or_default();
                        let sum = table.last().map_or(0.0, |last| last.0);
                        table.push((sum + p.weight, key.1));
                        let shunned = p.parts.iter().filter(|(_, part)| now < part.shunned);
                        shunned.for_each(|(class, _)| *s.shunned.entry(*class).or_default() += 1.0);
                    }
                }
                None
            }
        };
        next.map(|id| (0, id))
    }

    /// Speed and share of every kind, by the readiness that was added up.
    fn share(&mut self, now: Time, s: &Sweep) {
        for id in s.kinds.keys() {
            self.kinds.entry(*id).or_default();
        }
        self.kinds.iter_mut().for_each(|(id, k)| k.ready = s.kinds.get(id).map_or(0.0, |k| k.0));
        self.rate.add(now, 0.0);
        let rate = self.rate.per_s().map(|r| r * f64::from(self.cfg.proxy_count) * self.processes(now));
        for k in self.kinds.values_mut() {
            k.speed = k.latency.get().map_or(0.0, |t| 1.0 / t + k.flows.value);
        }
        let speeds = self.kinds.values().filter(|k| k.speed > 0.0).map(|k| k.speed);
        let (sum, count) = speeds.fold((0.0, 0.0), |n, s| (n.0 + s, n.1 + 1.0));
        let mean = if count > 0.0 { sum / count } else { 1.0 }; // kinds without data: as fast as the others
        for k in self.kinds.values_mut() {
            // An overrun kind answers too late to be measured: without this it would count as fast for ever.
            k.speed = if k.speed > 0.0 { k.speed } else { mean } * k.answered.value;
        }
        let table: Vec<(f64, f64)> = self.kinds.values().map(|k| (k.ready, k.speed)).collect();
        let shares = halb_shares(&table, rate.filter(|_| count > 0.0));
        for (k, share) in self.kinds.values_mut().zip(shares) {
            k.share = share;
            k.flow = if k.ready > 0.0 { rate.unwrap_or(0.0) * share / k.ready } else { 0.0 };
        }
    }

    /// How many processes act for each proxy: each counts on all others doing as it does.
    fn processes(&self, now: Time) -> f64 {
        1.0 + f64::from(now < self.shared_until)
    }

    /// Work that all proxies together may send to a backend inside the present fall window.
    fn allowed(&self, now: Time, p: &Peer) -> f64 {
        let warmth = warmth(&self.cfg, now - self.cfg.overload_window, &p.entry); // as the window began
        if warmth >= 1.0 {
            return f64::MAX;
        }
        // Against few ready backends the speed formula overshoots; twice the bare 1/T is sure.
        let sure = |k: &Kind| k.latency.get().map(|t| k.speed.min(2.0 / t));
        // Before any was served: what does not serve one within the longest aim is of no use.
        let aim = || self.cfg.classes.iter().map(|c| c.latency_objective.secs()).fold(0.0, f64::max);
        let speed = self.kinds.get(&p.entry.kind).and_then(sure).unwrap_or_else(|| 1.0 / aim());
        let all = self.cfg.overload_multiple * warmth * speed * self.cfg.overload_window.secs();
        all * FALL_MARGIN / self.processes(now)
    }

    /// How many proxies may send to it: where it bears less than one request of each, the first in its order.
    fn senders(&self, now: Time, p: &Peer) -> f64 {
        self.allowed(now, p).floor().clamp(1.0, f64::from(self.cfg.proxy_count))
    }

    /// Work that this proxy may still send to a cold backend inside the present fall window.
    fn budget(&self, now: Time, p: &Peer) -> f64 {
        let senders = self.senders(now, p);
        let each = (self.allowed(now, p) / senders).max(1.0);
        let own = if place(&self.cfg, p.entry.order_key) < senders { each } else { 0.0 };
        let spent: f64 = p.spent.iter().filter(|s| now - s.0 < self.cfg.overload_window).map(|s| s.1).sum();
        own - spent
    }

    fn may_send(&self, now: Time, r: &Request) -> bool {
        let safe = |s: &Sent| match self.cfg.classes[r.class].side_effects {
            SideEffects::None => true,
            SideEffects::IdempotencyKey { window, .. } => s.never_ran || now + self.cfg.tick < s.at + window,
            SideEffects::NonIdempotent => s.never_ran,
        };
        let alone = r.copies || !r.out();
        alone && r.sent.len() < r.most && r.sent.iter().all(safe)
    }

    /// The request may go there now: the backend is up to it and there is room.
    fn open(&self, now: Time, r: &Request, p: &Peer, work: f64, heed: bool) -> bool {
        // A repeat outside the scope that knows the key would run twice.
        let known = |s: &Sent| match self.cfg.classes[r.class].side_effects {
            SideEffects::IdempotencyKey { scope: KeyScope::Zone, .. } => {
                s.never_ran || s.to.zone == p.entry.zone
            }
            SideEffects::IdempotencyKey { scope: KeyScope::Cell, .. } => {
                s.never_ran || s.to.cell == p.entry.cell
            }
            _ => true,
        };
        // On trial, one request at a time that may fail without harm.
        let harmless = || self.cfg.classes[r.class].is_idempotent() || !self.any_harmless;
        let fit = !p.trial || p.out == 0 && r.sent.is_empty() && harmless();
        let fresh = r.sent.iter().all(|s| s.to.id != p.entry.id && known(s));
        let barred = |part: &Part| part.unheard > 1 || now < part.full_until || heed && now < part.shunned;
        let barred = p.unheard > 1 || p.parts.get(&r.class).is_some_and(barred);
        p.listed() && fit && !barred && fresh && self.budget(now, p) >= work
    }

    /// Never overfill: a crowded backend slows for long, so a full one is drawn again.
    fn roomy(r: &Request, p: &Peer) -> bool {
        let room = if r.value < LOW { (p.room / 2.0).ceil() } else { p.room };
        p.ready > 0.0 && f64::from(p.out.saturating_sub(p.lost + p.coming)) < room
    }

    /// A backend for the request: kind by share, backend inside it by readiness, both at random.
    fn draw(&mut self, now: Time, r: &Request) -> Option<BackendId> {
        let work = self.work(r.class);
        let heed = !self.classes[r.class].shunned;
        // One that is not open is drawn again, which is as if it had never been among those to draw from.
        let pull = |k: &KindId| (*k, self.kinds.get(k).map_or(0.0, |v| v.pull));
        let kinds: Vec<_> = self.tables.keys().map(pull).collect();
        let (drawn, mut near) = (self.dice.pick_weighted(&kinds)?, BackendId(0));
        for _ in 0..GLANCES {
            let table = self.tables.get(&drawn).map_or(&[][..], |t| t);
            let at = self.dice.unit() * table.last().map_or(0.0, |last| last.0);
            let hit = table.partition_point(|t| t.0 <= at).min(table.len().saturating_sub(1));
            near = table.get(hit).map_or(near, |t| t.1);
            let peer = self.peers.get(&near);
            if let Some(p) = peer.filter(|p| Self::roomy(r, p) && self.open(now, r, p, work, heed)) {
                return Some(p.entry.id);
            }
        }
        let near = if self.peers.len() > SCAN { near } else { BackendId(0) };
        let scan = self.peers.range(near..).chain(self.peers.range(..near)).take(SCAN);
        let may = |p: &Peer| Self::roomy(r, p) && self.open(now, r, p, work, heed);
        let open = scan.filter(|(_, p)| may(p)).map(|(b, p)| (*b, p.entry.kind, p.weight));
        let open: Vec<(BackendId, KindId, f64)> = open.collect();
        let some = |k: &KindId| open.iter().any(|o| o.1 == *k);
        let kinds: Vec<_> = self.kinds.iter().filter(|k| some(k.0)).map(|(k, v)| (*k, v.pull)).collect();
        let kind = Some(drawn).filter(some).or_else(|| self.dice.pick_weighted(&kinds))?;
        let inside: Vec<(BackendId, f64)> = open.iter().filter(|o| o.1 == kind).map(|o| (o.0, o.2)).collect();
        self.dice.pick_weighted(&inside)
    }

    /// Whether all proxies together hold too much: it takes the others to be like itself, or as they told.
    /// With load / (1 - load) held, half more than the hold is a load of six sevenths, half of it two
    /// thirds. Turned away at once does no harm; waiting here would make no room.
    fn crowded(&self, value: f64) -> bool {
        let proxies = f64::from(self.cfg.proxy_count);
        let ready: f64 = self.kinds.values().map(|k| k.ready).sum();
        let limit = if value < LOW { HOLD / 2.0 } else { HOLD * 1.5 };
        let [all, own] = self.part.each_ref().map(RateEstimator::per_s);
        let times = all.zip(own.filter(|own| *own > 0.0)).map_or(proxies, |(all, own)| all / own);
        proxies > HOLD && self.crowd.per_s().unwrap_or(0.0) * times > limit * ready
    }

    /// Sends what is held, the densest worth first and the newest first inside it.
    fn pump(&mut self, now: Time) {
        if self.held.is_empty() || self.blocked == f64::MAX {
            return;
        }
        let mut line: Vec<(f64, Time, RequestId, f64)> = Vec::new();
        for id in std::mem::take(&mut self.held) {
            if let Some(r) = self.requests.get(&id) {
                let value = if r.sent.is_empty() { r.value } else { f64::MAX };
                let density = self.cfg.classes[r.class].priority_weight / self.work(r.class);
                line.push((density * r.value, r.came, id, value));
            }
        }
        line.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, _, id, value) in line {
            if value < self.blocked {
                self.held.push(id); // nothing less urgent finds room either, and trying each costs CPU
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else { continue };
            let (again, work) = (!r.sent.is_empty(), self.work(r.class));
            let refused = !again && self.crowded(r.value);
            let sendable = self.may_send(now, &r) && (!again || self.extra >= 1.0) && !refused;
            let backend = if sendable { self.draw(now, &r) } else { None };
            if let Some(p) = backend.and_then(|b| self.peers.get_mut(&b)) {
                self.extra -= f64::from(again);
                let (no, backend) = (AttemptNo(r.sent.len() as u32), p.entry.id);
                r.sent.push(Sent { to: p.entry.clone(), at: now, out: true, never_ran: false });
                p.out += 1;
                p.coming += u32::from(r.uploading);
                p.spend(now, work, self.cfg.tick, self.cfg.overload_window);
                self.attempts
                    .insert((id, no), Out { to: backend, class: r.class, sent: now, coming: r.uploading });
                self.actions.push(Action::Dispatch { request: id, backend });
                let quiet = now + self.quiet(r.class);
                self.look_at = self.look_at.min(quiet).min(r.deadline - self.cfg.tick);
            } else if sendable {
                if !again {
                    self.blocked = self.blocked.max(if r.value < LOW { LOW } else { f64::MAX });
                }
                self.held.push(id);
            }
            let over = !sendable && !r.out();
            self.requests.insert(id, r);
            over.then(|| self.give_up(id));
        }
    }

    /// Final answer for a request that will not be served.
    fn give_up(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let free = matches!(
            self.cfg.classes[r.class].side_effects,
            SideEffects::None | SideEffects::IdempotencyKey { scope: KeyScope::All, .. }
        );
        let harmless = free || r.sent.iter().all(|s| s.never_ran);
        // By then what is out now has made room, or an ejected backend is tried again.
        let ready = self.kinds.values().any(|k| k.ready > 0.0);
        let retry_after = if ready { self.usual(r.class).times(2.0) } else { Micros::from_secs(EJECT_TERM) };
        let (refused, failed) = (Action::Reject { request: id, retry_after }, Action::Fail { request: id });
        self.actions.push(if harmless { refused } else { failed });
        self.close(id);
    }

    fn close(&mut self, id: RequestId) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.held.retain(|h| *h != id);
        for (no, _) in r.sent.iter().enumerate().filter(|(_, s)| s.out && self.cfg.allow_cancel) {
            self.actions.push(Action::Cancel { request: id, attempt: AttemptNo(no as u32) });
        }
    }

    /// A line for the operators, two a second at most.
    fn log(&mut self, now: Time, text: String) {
        if now >= self.log_at {
            self.log_at = now + Micros(500_000);
            self.actions.push(Action::Log(text));
        }
    }
}
