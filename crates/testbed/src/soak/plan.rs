//! What happens in a soak run: all of it is drawn from the seed before the run begins.

use crate::world::rng::Rng;
use std::time::Duration;

/// The time from the last start of a fault until the run ends: a change that is missed counts as notified after 6 s.
const DURATION: Duration = Duration::from_secs(18);
/// How long the previous address of discovery keeps its open connections after a move.
pub const OLD_ADDRESS_LINGER: Duration = Duration::from_millis(1_500);
/// The longest time, over all proxies, that discovery takes for one call of each.
const MAX_ROUND_OF_CALLS_S: f64 = 1.2;
/// The fewest backends that stay ready.
const MIN_READY: usize = 5;
/// Number of backends.
const BACKENDS: usize = 16;
/// Share of departures after which the backend stays away.
const STAYS_AWAY_SHARE: f64 = 0.5;
/// Deadlines from which those of the two classes are drawn, in seconds.
const READ_DEADLINES_S: [f64; 3] = [0.6, 1.0, 2.0];
const ORDER_DEADLINES_S: [f64; 2] = [1.5, 3.0];

/// How lists reach the proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ListMode {
    /// Pushed by a local agent (`automatic`).
    Pushed,
    /// Polled from discovery (`subscribe`).
    Polled,
}

/// The state of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes requests.
    Ready,
    /// It takes no new requests.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// A change of the endpoint list. The change at index `i` makes version `FIRST_VERSION + 1 + i`.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When discovery has it.
    pub at: Duration,
    /// The backend that it is about.
    pub backend: usize,
    /// The backend's new state.
    pub state: ListedState,
}

/// Discovery moves to another address, which each proxy learns by a new configuration and SIGHUP.
#[derive(Clone, Copy, Debug)]
pub struct Move {
    /// When the new address listens and the previous one accepts no further connection.
    pub at: Duration,
    /// How long the new address refuses every call.
    pub refuses_for: Duration,
    /// How long it takes for each call; calls are handled one at a time.
    pub call_time: Duration,
}

/// A fault of discovery at its current address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// All connections are reset.
    Reset,
    /// No open call is answered any more.
    Silence,
    /// For this time every call is refused; open ones end.
    Down(Duration),
}

/// A fault of discovery and when it begins.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    /// When it begins.
    pub at: Duration,
    /// What happens.
    pub fault: DiscoveryFault,
}

/// A signal to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// SIGHUP with a configuration that names the current address of discovery.
    Reload,
    /// SIGTERM; SIGKILL follows as early as it may, and the proxy is started again.
    Shutdown,
    /// Another SIGTERM to a process that is shutting down.
    ShutdownAgain,
}

/// A signal, its time and the proxy that receives it.
#[derive(Clone, Copy, Debug)]
pub struct Signal {
    /// When it is sent.
    pub at: Duration,
    /// The proxy.
    pub proxy: usize,
    /// Which signal.
    pub kind: SignalKind,
}

/// A backend that answers no request for some time.
#[derive(Clone, Copy, Debug)]
pub struct Hang {
    /// When it begins.
    pub at: Duration,
    /// When it ends.
    pub until: Duration,
    /// The backend.
    pub backend: usize,
}

/// A crowd of slow clients.
#[derive(Clone, Copy, Debug)]
pub struct SlowCrowd {
    /// When it comes.
    pub at: Duration,
    /// What its clients do.
    pub kind: SlowCrowdKind,
}

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowCrowdKind {
    /// Send a head of many short fields, without its end.
    ShortFields,
    /// Stop half way through a large request.
    HalfRequests,
    /// Read a long answer slowly.
    SlowReaders,
}

/// All kinds of crowds.
const SLOW_CROWDS: [SlowCrowdKind; 3] =
    [SlowCrowdKind::ShortFields, SlowCrowdKind::HalfRequests, SlowCrowdKind::SlowReaders];

/// Processes of a proxy that are killed one after the other, soon after each start.
#[derive(Clone, Copy, Debug)]
pub struct KillSeries {
    /// When the first is killed.
    pub at: Duration,
    /// The proxy.
    pub proxy: usize,
    /// Number of processes that are killed.
    pub kills: usize,
}

/// Everything that happens in a run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// How lists reach the proxies.
    pub mode: ListMode,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of backends.
    pub backends: usize,
    /// When clients stop to send.
    pub duration: Duration,
    /// The deadline of the class `read`, which may be repeated.
    pub read_deadline: Duration,
    /// The deadline of the class `order`, which must not be repeated.
    pub order_deadline: Duration,
    /// Changes of the list, by time.
    pub changes: Vec<ListChange>,
    /// Moves of discovery, by time.
    pub moves: Vec<Move>,
    /// Faults of discovery, by time.
    pub faults: Vec<TimedFault>,
    /// Signals, by time.
    pub signals: Vec<Signal>,
    /// Processes that are killed in series; `None` without.
    pub kills: Option<KillSeries>,
    /// Backends that hang.
    pub hangs: Vec<Hang>,
    /// Whether the processes get the least memory that the platform gives, and the most descriptors.
    pub has_least_memory: bool,
    /// Number of clients that send requests with large bodies or long answers, at each proxy.
    pub body_clients: usize,
    /// When crowds of slow clients come to the first proxy.
    pub slow_crowds: Vec<SlowCrowd>,
    /// When idle clients fill the descriptors of the first proxy; `None` without such a crowd.
    pub crowd_at: Option<Duration>,
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

fn between(rng: &mut Rng, from_s: f64, to_s: f64) -> Duration {
    seconds(from_s + (to_s - from_s) * rng.unit())
}

impl SoakPlan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, mode: ListMode, proxies: usize) -> SoakPlan {
        let mut rng = Rng::new(seed, "soak");
        let read_deadline = seconds(READ_DEADLINES_S[rng.below(READ_DEADLINES_S.len())]);
        let order_deadline = seconds(ORDER_DEADLINES_S[rng.below(ORDER_DEADLINES_S.len())]);
        let changes = draw_changes(&mut rng);
        let moves = draw_moves(&mut rng, mode, proxies);
        let faults = draw_faults(&mut rng);
        let mut plan = SoakPlan {
            seed,
            mode,
            proxies,
            backends: BACKENDS,
            duration: DURATION,
            read_deadline,
            order_deadline,
            changes,
            moves,
            faults,
            signals: Vec::new(),
            kills: None,
            hangs: Vec::new(),
            has_least_memory: false,
            body_clients: 0,
            slow_crowds: Vec::new(),
            crowd_at: (rng.unit() < 0.3).then(|| between(&mut rng, 0.5, 6.0)),
        };
        plan.draw_signals(&mut rng);
        plan.draw_hangs(&mut rng);
        plan.draw_bodies(&mut Rng::new(seed, "soak bodies"));
        plan
    }

    /// Draws clients with large bodies, crowds of slow clients, and processes that are killed in series.
    fn draw_bodies(&mut self, rng: &mut Rng) {
        self.has_least_memory = rng.unit() < 0.5;
        self.body_clients = if self.proxies == 1 { 4 } else { 1 };
        for _ in 0..rng.below(4) {
            let at = between(rng, 0.5, self.duration.as_secs_f64() - 5.0);
            self.slow_crowds.push(SlowCrowd { at, kind: SLOW_CROWDS[rng.below(SLOW_CROWDS.len())] });
        }
        let is_shut_down = |proxy| {
            self.signals.iter().any(|signal| signal.proxy == proxy && signal.kind != SignalKind::Reload)
        };
        let proxy = rng.below(self.proxies);
        if rng.unit() < 0.5 && !is_shut_down(proxy) {
            let at = between(rng, 2.0, self.duration.as_secs_f64() - 9.0);
            self.kills = Some(KillSeries { at, proxy, kills: 1 + rng.below(4) });
        }
    }

    /// Returns the descriptors of a proxy.
    pub fn descriptors(&self) -> usize {
        if self.has_least_memory {
            1024
        } else {
            256
        }
    }

    /// Returns the descriptors that the testbed needs: for the connections of each proxy to clients and backends, and for the
    /// crowds, which come to the first proxy.
    pub fn testbed_descriptors(&self) -> usize {
        const EACH_PROXY: usize = 512;
        self.proxies * EACH_PROXY + 2 * self.descriptors()
    }

    /// Returns the memory limit of a proxy, in MB.
    pub fn memory_mb(&self) -> u64 {
        if self.has_least_memory {
            32
        } else {
            192
        }
    }

    /// Returns how long after SIGTERM a process may be killed at the earliest.
    pub fn kill_after(&self) -> Duration {
        const MAX_DEADLINE: Duration = Duration::from_secs(3);
        const KILL_GRACE: Duration = Duration::from_millis(700);
        self.read_deadline.max(self.order_deadline).min(MAX_DEADLINE) + KILL_GRACE
    }

    /// Returns the spans in which discovery refuses every call, by start.
    pub fn unreachable_spans(&self) -> Vec<(Duration, Duration)> {
        let moved = self.moves.iter().map(|moved| (moved.at, moved.at + moved.refuses_for));
        let down = self.faults.iter().filter_map(|timed| match timed.fault {
            DiscoveryFault::Down(time) => Some((timed.at, timed.at + time)),
            DiscoveryFault::Reset | DiscoveryFault::Silence => None,
        });
        let mut spans: Vec<_> = moved.chain(down).filter(|(start, end)| end > start).collect();
        spans.sort_unstable();
        spans
    }

    /// Draws series of reloads, and shutdowns of which some come amid a move or a series of other signals.
    fn draw_signals(&mut self, rng: &mut Rng) {
        let last_start = self.duration.as_secs_f64() - 9.0;
        for _ in 0..1 + self.proxies / 6 {
            let proxy = rng.below(self.proxies);
            let at = between(rng, 1.0, last_start);
            for _ in 0..rng.below(4) {
                let at = at + between(rng, 0.0, 0.4);
                self.signals.push(Signal { at, proxy, kind: SignalKind::Reload });
            }
        }
        let mut stopped = Vec::new();
        let shutdowns = if self.proxies == 1 { rng.below(2) } else { 1 + self.proxies / 5 };
        for _ in 0..shutdowns {
            let proxy = rng.below(self.proxies);
            if stopped.contains(&proxy) {
                continue; // one shutdown at a time
            }
            stopped.push(proxy);
            let at = between(rng, 1.5, last_start);
            self.signals.push(Signal { at, proxy, kind: SignalKind::Shutdown });
            for _ in 0..rng.below(3) {
                let kind = if rng.unit() < 0.5 { SignalKind::Reload } else { SignalKind::ShutdownAgain };
                self.signals.push(Signal { at: at + between(rng, 0.0, 1.0), proxy, kind });
            }
        }
        self.signals.sort_by_key(|signal| signal.at);
    }

    /// Lets a quarter of the backends hang through each shutdown of one proxy.
    fn draw_hangs(&mut self, rng: &mut Rng) {
        let shutdown = self.signals.iter().find(|signal| signal.kind == SignalKind::Shutdown);
        let Some(at) = shutdown.map(|signal| signal.at) else { return };
        if rng.unit() < 0.5 {
            return;
        }
        let first = rng.below(self.backends);
        let until = at + self.kill_after();
        let hang = |n| Hang { at, until, backend: (first + n) % self.backends };
        self.hangs.extend((0..self.backends / 4).map(hang));
    }
}

/// Draws changes: a backend drains, is removed 3 to 5 s later, and either stays away or is ready again, started anew,
/// 1 to 3 s after that.
fn draw_changes(rng: &mut Rng) -> Vec<ListChange> {
    let mut changes = Vec::new();
    let mut busy_until = [Duration::ZERO; BACKENDS];
    let mut at = between(rng, 0.3, 1.0);
    while at < DURATION {
        let backend = rng.below(BACKENDS);
        let ready = busy_until.iter().filter(|until| **until <= at).count();
        if ready > MIN_READY && busy_until[backend] <= at {
            let removed_at = at + between(rng, 3.0, 5.0);
            let back_at = removed_at + between(rng, 1.0, 3.0);
            changes.push(ListChange { at, backend, state: ListedState::Draining });
            changes.push(ListChange { at: removed_at, backend, state: ListedState::Removed });
            let stays_away = rng.unit() < STAYS_AWAY_SHARE;
            if !stays_away {
                changes.push(ListChange { at: back_at, backend, state: ListedState::Ready });
            }
            busy_until[backend] = if stays_away { Duration::MAX } else { back_at };
        }
        at += between(rng, 0.2, 0.9);
    }
    changes.sort_by_key(|change| change.at);
    changes
}

/// Draws up to three moves, some in quick succession.
fn draw_moves(rng: &mut Rng, mode: ListMode, proxies: usize) -> Vec<Move> {
    let mut moves = Vec::new();
    let mut at = between(rng, 1.0, 4.0);
    let count = if rng.unit() < 0.5 { 1 } else { 2 + rng.below(2) };
    for _ in 0..count {
        let refuses_for = if rng.unit() < 0.7 { between(rng, 0.05, 2.5) } else { Duration::ZERO };
        let call_time = match mode {
            ListMode::Pushed => Duration::ZERO,
            ListMode::Polled => between(rng, 0.0, MAX_ROUND_OF_CALLS_S / proxies as f64),
        };
        moves.push(Move { at, refuses_for, call_time });
        at += between(rng, 0.4, 4.0);
    }
    moves
}

fn draw_faults(rng: &mut Rng) -> Vec<TimedFault> {
    let mut faults = Vec::new();
    for _ in 0..rng.below(3) {
        let at = between(rng, 0.8, 9.0);
        let fault = match rng.below(5) {
            0 | 1 => DiscoveryFault::Reset,
            2 => DiscoveryFault::Silence,
            _ => DiscoveryFault::Down(between(rng, 0.2, 2.0)),
        };
        faults.push(TimedFault { at, fault });
    }
    faults.sort_by_key(|timed| timed.at);
    faults
}
