//! A run on sockets: stand-ins on their threads, real processes, the plan's acts, and the outcome.

use super::clients::Clients;
use super::discovery::Service;
use super::fleet::Fleet;
use super::proxies::{until, Proxy, ProxyError};
use super::usage::Usage;
use super::{Clock, Log};
use crate::experiment::relay_script;
use crate::fault_proxy::run::Relay;
use crate::fault_proxy::script::Script;
use crate::record::{Observation, ProxyEvent, Record, LISTEN_ON};
use crate::world::discovery::Status;
use crate::world::plan::{Act, Plan};
use hdrhistogram::Histogram;
use lotusdeck_policy::{Micros, Time};
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Time between the proxies' start and the first request.
const LEAD_TIME: Duration = Duration::from_millis(200);
/// Interval at which the processes' usage is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Descriptors that the testbed needs besides its connections.
const OWN_DESCRIPTORS: usize = 64;

/// Why a run failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// A proxy could not be prepared or started.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    /// A stand-in could not be set up.
    #[error("stand-ins: {0}")]
    Io(#[from] std::io::Error),
    /// The limit on open descriptors is too low.
    #[error("the experiment needs {need} descriptors and this process may have {have}: raise `ulimit -n`")]
    Descriptors { need: usize, have: usize },
    /// A thread of the testbed ended unexpectedly.
    #[error("a thread of the testbed ended unexpectedly")]
    Thread,
}

/// The usage of a process at one point in time.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Sample {
    /// Seconds since the start of the run.
    pub at_s: f64,
    /// Index of the proxy.
    pub proxy: usize,
    /// Its usage up to then.
    pub usage: Usage,
}

/// The outcome of a run.
pub struct Outcome {
    /// The records, ordered by time.
    pub records: Vec<Record>,
    /// Samples of the proxies' usage.
    pub samples: Vec<Sample>,
    /// Delay of first tries behind their planned time, in microseconds.
    pub late: Histogram<u64>,
    /// When the run was interrupted by hand; `None` where it was not.
    pub cut: Option<Time>,
}

/// Receives the current time of the run, to show its progress.
pub type Progress<'a> = &'a dyn Fn(Time);

/// Returns how many descriptors the run may need: each proxy's own, the stand-ins' end of each of them, the
/// backends' listeners and the testbed's other ones.
fn descriptors(plan: &Plan) -> usize {
    let e = &plan.experiment;
    e.proxies * e.limits.sockets * 2 + plan.fleet.len() + OWN_DESCRIPTORS
}

/// Raises this process's soft limit on open descriptors to the hard limit, if it is below `need`.
///
/// # Errors
/// When the hard limit is below `need`, or the soft limit cannot be raised.
pub fn raise_descriptor_limit(need: usize) -> Result<(), RunError> {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let limit = getrlimit(Resource::Nofile);
    let have = limit.maximum.map_or(usize::MAX, |n| n as usize);
    if need > have {
        return Err(RunError::Descriptors { need, have });
    }
    if limit.current.is_some_and(|n| (n as usize) < need) {
        let wider = Rlimit { current: limit.maximum, maximum: limit.maximum };
        setrlimit(Resource::Nofile, wider).map_err(std::io::Error::from)?;
    }
    Ok(())
}

/// Runs an event loop on a new thread and returns the receiver of its result.
pub fn thread<T, F>(name: &str, work: impl FnOnce() -> F + Send + 'static) -> std::io::Result<Joined<T>>
where
    T: Send + 'static,
    F: Future<Output = T>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (done, wait) = oneshot::channel();
    std::thread::Builder::new().name(name.into()).spawn(move || {
        let local = tokio::task::LocalSet::new();
        let _ = done.send(local.block_on(&runtime, async { work().await }));
    })?;
    Ok(wait)
}

/// Receives the result of a thread.
pub type Joined<T> = oneshot::Receiver<T>;

/// A command to the stand-ins' thread.
enum Command {
    Act(Act),
    End,
}

struct StandIns {
    discovery: Vec<SocketAddr>,
    known: String,
}

/// Runs the backends and discovery until [`Command::End`], and returns their records.
async fn stand_in(
    plan: Arc<Plan>, clock: Clock, ready: oneshot::Sender<std::io::Result<StandIns>>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) -> Vec<Record> {
    let log = Log::new(clock.clone());
    let started = Fleet::start(plan.clone(), clock.clone(), log.clone()).and_then(|fleet| {
        let mut addresses = fleet.addresses();
        let script = Script { seed: plan.seed, ..relay_script(&plan.experiment, addresses.iter().copied()) };
        let relay = (!plan.experiment.injury.is_empty()).then(|| Relay::start(script)).transpose()?;
        addresses = relay.as_ref().map_or(addresses, |r| r.addresses.clone());
        let (service, discovery) = Service::start(plan.clone(), clock.clone(), log.clone(), addresses)?;
        Ok((fleet, service, discovery, relay))
    });
    let (fleet, service, discovery, relay) = match started {
        Ok(all) => all,
        Err(e) => {
            let _ = ready.send(Err(e));
            return Vec::new();
        }
    };
    let _ = ready.send(Ok(StandIns { discovery, known: service.full_list() }));
    while let Some(Command::Act(act)) = commands.recv().await {
        if let Err(e) = carry_out(&plan, &clock, &fleet, &service, &act) {
            log.add(Observation::Act { text: format!("not done: {act:?}: {e}") });
        }
    }
    fleet.record_pressure();
    for done in relay.iter().flat_map(Relay::done) {
        let backend = done.route.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or_default();
        log.add(Observation::Injured { backend, injury: done.fault });
    }
    log.take()
}

fn carry_out(
    plan: &Plan, clock: &Clock, fleet: &Rc<Fleet>, service: &Service, act: &Act,
) -> std::io::Result<()> {
    let now = clock.now();
    let change_status = |b: usize, status| service.change(|d| d.change(now, b, status, fleet.booted(b)));
    match act {
        Act::Kill(which) => which.iter().for_each(|b| fleet.kill(*b)),
        Act::Drain(which) => {
            fleet.change(which, |model, at| model.set_health(at, crate::world::backend::Health::Draining));
            which.iter().for_each(|b| change_status(*b, Status::Draining));
        }
        Act::Remove(which) => {
            for b in which {
                fleet.kill(*b);
                change_status(*b, Status::Deleted);
            }
        }
        Act::Start(which) => {
            for b in which {
                fleet.restart(*b)?;
                change_status(*b, Status::Serving);
            }
        }
        Act::Slow(which, factor) => fleet.change(which, |model, at| model.slow(at, *factor)),
        Act::SharedSlow(factor) => {
            let all: Vec<usize> = (0..plan.fleet.len()).collect();
            fleet.change(&all, |model, at| model.slow_shared(at, *factor));
        }
        Act::Hang(which, silent) => which.iter().for_each(|b| fleet.hang(*b, *silent)),
        Act::DiscoveryDown(down) => service.change(|d| d.down = *down),
        Act::DiscoveryLag(factor) => {
            let lag = plan.experiment.discovery.lag_ms / 1e3 * factor;
            service.change(|d| d.lag = Micros::from_secs(lag));
        }
        // Acts on proxies are carried out by the thread that runs the proxies.
        Act::Cordon(..) | Act::KillProxy(_) | Act::StopProxy(_) | Act::StartProxy(_) | Act::Reload(_) => {}
    }
    Ok(())
}

/// Describes an act in words.
pub fn describe_act(plan: &Plan, act: &Act) -> String {
    let names = |which: &Vec<usize>| {
        let first: Vec<&str> = which.iter().take(4).map(|b| plan.fleet[*b].name.as_str()).collect();
        let more = if which.len() > 4 { format!(" and {} more", which.len() - 4) } else { String::new() };
        format!("{}{more}", first.join(", "))
    };
    match act {
        Act::Kill(w) => format!("{} backends die: {}", w.len(), names(w)),
        Act::Drain(w) => format!("{} backends drain: {}", w.len(), names(w)),
        Act::Remove(w) => format!("{} backends are off the list: {}", w.len(), names(w)),
        Act::Start(w) => format!("{} backends start, cold: {}", w.len(), names(w)),
        Act::Slow(w, f) if *f < 1.0 => {
            format!("{} backends keep {:.0} % of their speed: {}", w.len(), f * 100.0, names(w))
        }
        Act::Slow(w, _) => format!("{} backends have their speed back: {}", w.len(), names(w)),
        Act::SharedSlow(f) if *f < 1.0 => format!("all backends keep {:.0} % of their speed", f * 100.0),
        Act::SharedSlow(_) => "all backends have their speed back".into(),
        Act::Hang(w, true) => format!("{} machines go silent: {}", w.len(), names(w)),
        Act::Hang(w, false) => format!("{} machines are back: {}", w.len(), names(w)),
        Act::Cordon(w, true) => format!("operators take {} backends out: {}", w.len(), names(w)),
        Act::Cordon(w, false) => format!("operators give {} backends back: {}", w.len(), names(w)),
        Act::DiscoveryDown(true) => "discovery is down".into(),
        Act::DiscoveryDown(false) => "discovery is back".into(),
        Act::DiscoveryLag(f) => format!("discovery hears {f} times as late"),
        Act::KillProxy(p) => format!("proxy {p} is killed"),
        Act::StopProxy(p) => format!("proxy {p} is told to stop"),
        Act::StartProxy(p) => format!("proxy {p} is started"),
        Act::Reload(p) => format!("proxy {p} reads its configuration anew"),
    }
}

/// The part of a run that handles the proxies.
struct ProxyGroup {
    plan: Arc<Plan>,
    clock: Clock,
    log: Log,
    proxies: Vec<Proxy>,
    samples: Vec<Sample>,
}

impl ProxyGroup {
    async fn act(&mut self, act: &Act) -> Result<(), RunError> {
        self.log.add(Observation::Act { text: describe_act(&self.plan, act) });
        match act {
            Act::KillProxy(p) => {
                self.log.add(Observation::Proxy { proxy: *p, turn: ProxyEvent::Killed });
                self.proxies[*p].kill().await;
            }
            Act::StopProxy(p) => {
                self.log.add(Observation::Proxy { proxy: *p, turn: ProxyEvent::Stopping });
                self.proxies[*p].stop();
            }
            Act::StartProxy(p) => {
                self.proxies[*p].ended(Duration::from_secs(5)).await;
                self.proxies[*p].start().await?;
                self.log.add(Observation::Proxy { proxy: *p, turn: ProxyEvent::Ready });
            }
            Act::Reload(p) => self.proxies[*p].reload(),
            Act::Cordon(which, out) => {
                let path = if *out { "/admin/cordon" } else { "/admin/uncordon" };
                for (proxy, p) in self.proxies.iter().enumerate() {
                    for &backend in which {
                        let requested_at = self.clock.now();
                        if p.call("PUT", path, &self.plan.fleet[backend].name).await {
                            // A cordon counts from its answer on. After an uncordon the proxy may send requests as
                            // soon as it has read the call, before its answer arrives, so that counts from when
                            // the call was made.
                            let at = if *out { self.clock.now() } else { requested_at };
                            self.log.add_at(at, Observation::Cordoned { proxy, backend, out: *out });
                        }
                    }
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn sample_usage(&mut self) {
        let at_s = self.clock.now().0 as f64 / 1e6;
        for (proxy, p) in self.proxies.iter().enumerate() {
            self.samples.extend(p.usage().map(|usage| Sample { at_s, proxy, usage }));
        }
    }

    /// Carries out the acts in order and samples the processes' usage. Returns only on an error.
    async fn play(
        &mut self, commands: &mpsc::UnboundedSender<Command>, progress: Progress<'_>,
    ) -> Result<(), RunError> {
        let (plan, clock) = (self.plan.clone(), self.clock.clone());
        let mut acts = plan.acts.iter().peekable();
        loop {
            self.sample_usage();
            progress(clock.now());
            let next = clock.now() + Micros(SAMPLE_INTERVAL.as_micros() as u64);
            while let Some((at, act)) = acts.next_if(|a| a.0 <= next) {
                until(&clock, *at).await;
                let _ = commands.send(Command::Act(act.clone()));
                self.act(act).await?;
            }
            until(&clock, next).await;
        }
    }
}

/// Plays a plan with `program` as the proxy; logs and configurations are written to `folder`.
pub async fn play(
    plan: Arc<Plan>, program: &Path, folder: &Path, progress: Progress<'_>,
) -> Result<Outcome, RunError> {
    raise_descriptor_limit(descriptors(&plan))?;
    let clock = Clock::default();
    let (ready, stand_ins) = oneshot::channel();
    let (commands, commands_in) = mpsc::unbounded_channel();
    let (thread_plan, thread_clock) = (plan.clone(), clock.clone());
    let backends = thread("backends", move || stand_in(thread_plan, thread_clock, ready, commands_in))?;
    let stand_ins = stand_ins.await.map_err(|_| RunError::Thread)??;
    let mut proxies = Vec::new();
    for (number, at) in stand_ins.discovery.iter().enumerate() {
        proxies.push(Proxy::prepare(number, &plan, program, folder, *at, &stand_ins.known)?);
    }
    let addresses: Vec<SocketAddr> = proxies.iter().map(|p| p.address).collect();
    let mut group = ProxyGroup {
        plan: plan.clone(),
        clock: clock.clone(),
        log: Log::new(clock.clone()),
        proxies,
        samples: Vec::new(),
    };
    for (proxy, p) in group.proxies.iter_mut().enumerate() {
        p.start().await?;
        group.log.add(Observation::Proxy { proxy, turn: ProxyEvent::Ready });
    }
    clock.start_in(LEAD_TIME);
    let (thread_plan, thread_clock) = (plan.clone(), clock.clone());
    let (stop_clients, stopped) = oneshot::channel::<()>();
    let mut clients = thread("clients", move || async move {
        let log = Log::new(thread_clock.clone());
        let clients = Clients::new(thread_plan, thread_clock, log.clone(), &addresses);
        let all = clients.clone().play();
        let late = tokio::select! {
            late = all => Some(late),
            _ = stopped => None,
        };
        (late, log.take())
    })?;
    let mut cut = None;
    let played = tokio::select! {
        played = &mut clients => played.map_err(|_| RunError::Thread)?,
        ended = group.play(&commands, progress) => {
            ended?;
            return Err(RunError::Thread); // without an error it never ends
        }
        _ = tokio::signal::ctrl_c() => {
            cut = Some(clock.now());
            let _ = stop_clients.send(());
            (&mut clients).await.map_err(|_| RunError::Thread)?
        }
    };
    group.sample_usage();
    if cut.is_none() {
        // Wait for late and extra answers.
        until(&clock, plan.end() + LISTEN_ON).await;
    }
    for p in &mut group.proxies {
        p.stop();
    }
    for p in &mut group.proxies {
        p.ended(Duration::from_secs(5)).await;
    }
    let _ = commands.send(Command::End);
    let mut records = backends.await.map_err(|_| RunError::Thread)?;
    let (late, seen) = played;
    records.extend(seen);
    records.extend(group.log.take());
    records.sort_by_key(|r| r.at);
    let late = match late {
        Some(late) => late,
        None => Histogram::new(2).expect("two digits"),
    };
    Ok(Outcome { records, samples: group.samples, late, cut })
}
