//! Measures what a proxy costs: the same load direct, through a plain byte relay, and through lotusdeck, interleaved.

use crate::driver::discovery::Service;
use crate::driver::proxies::Proxy;
use crate::driver::run::{thread, RunError};
use crate::driver::usage::Usage;
use crate::driver::wire::{listen, Connection};
use crate::driver::{Clock, Log};
use crate::experiment::{Experiment, ExperimentError};
use crate::session::{print, program, SessionError};
use crate::world::plan::Plan;
use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Arguments of the `overhead` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Number of rounds; each measures every way once, in turn.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Duration of one measurement, s.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
    /// Number of connections at saturation.
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Size of an answer's body, bytes.
    #[arg(long, default_value_t = 512)]
    bytes: usize,
    /// Number of backends.
    #[arg(long, default_value_t = 10)]
    backends: usize,
    /// Program of the proxy.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Program of a second proxy, measured as a fourth way.
    #[arg(long)]
    beside: Option<PathBuf>,
    /// Measure instead lotusdeck without a ledger, with one that survives the death of the process, and with one that
    /// survives a loss of power, each on requests that must never run twice and on others.
    #[arg(long)]
    ledger: bool,
    /// Folder for configurations and logs.
    #[arg(long, default_value = "lab-runs/overhead")]
    out: PathBuf,
}

/// The results of one measurement.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Point {
    pub rate: f64,
    pub p50_us: f64,
    pub p99_us: f64,
    pub cpu_us: f64,
    pub failed: u64,
}

/// A path by which the load reaches the backends, with its measurements. `Traffic` selects what is sent.
pub(crate) struct LoadPath<Traffic> {
    pub name: &'static str,
    pub to: Vec<SocketAddr>,
    /// The process whose processor time is measured.
    pub pid: Option<u32>,
    pub traffic: Traffic,
    /// Measurements at saturation, one for each round.
    pub saturated: Vec<Point>,
    /// Measurements with one connection, one for each round.
    pub alone: Vec<Point>,
}

impl<Traffic> LoadPath<Traffic> {
    /// Creates a path without measurements.
    pub(crate) fn new(
        name: &'static str, to: Vec<SocketAddr>, pid: Option<u32>, traffic: Traffic,
    ) -> LoadPath<Traffic> {
        LoadPath { name, to, pid, traffic, saturated: Vec::new(), alone: Vec::new() }
    }
}

/// The extent of the measurements of each path.
pub(crate) struct Rounds {
    pub count: usize,
    /// Duration of the measurement at saturation; the one with a single connection takes half of it.
    pub span: Duration,
    /// Number of connections at saturation.
    pub connections: usize,
}

/// Starts backends that answer immediately with a body of `bytes` bytes, each on its own port. Returns their
/// addresses.
pub(crate) async fn answering_backends(count: usize, bytes: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n").into_bytes();
    answer.resize(answer.len() + bytes, b'x');
    let answer: Rc<[u8]> = answer.into();
    let mut out = Vec::new();
    for _ in 0..count {
        let listener = listen(None)?;
        out.push(listener.local_addr()?);
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let answer = answer.clone();
                tokio::task::spawn_local(async move {
                    let mut connection = Connection::new(tcp);
                    while let Ok(Some(_)) = connection.request().await {
                        if connection.write(&answer).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    Ok(out)
}

/// Runs a closed loop on `connections` connections for `span`; `post` sends requests that must never run twice.
async fn load(to: Vec<SocketAddr>, connections: usize, span: Duration, post: bool) -> Rc<LoopMeasurement> {
    let (results, number, mut tasks) = (LoopMeasurement::start(span), Rc::new(Cell::new(0u64)), Vec::new());
    for n in 0..connections {
        let (results, number, at) = (results.clone(), number.clone(), to[n % to.len()]);
        tasks.push(tokio::task::spawn_local(async move {
            let mut connection: Option<Connection> = None;
            while results.is_running() {
                number.set(number.get() + 1);
                let asked = Instant::now();
                let served = send_request(&mut connection, at, number.get(), post).await;
                results.count(asked, served);
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    results
}

async fn send_request(idle: &mut Option<Connection>, to: SocketAddr, number: u64, post: bool) -> bool {
    let mut connection = match idle.take() {
        Some(connection) => connection,
        None => match tokio::net::TcpStream::connect(to).await {
            Ok(tcp) => Connection::new(tcp),
            Err(_) => return false,
        },
    };
    let (line, end) =
        if post { ("POST /order", "Content-Length: 4\r\n\r\ncash") } else { ("GET /read", "\r\n") };
    let key = number % 1000;
    let request = format!(
        "{line}/k{key} HTTP/1.1\r\nHost: fleet\r\nX-Correlation-Id: {number:016x}\r\nX-Time-Left: 5.000\r\n{end}"
    );
    if connection.write(request.as_bytes()).await.is_err() {
        return false;
    }
    match connection.answer().await {
        Ok(answer) => {
            if !answer.close {
                *idle = Some(connection);
            }
            answer.status == 200
        }
        Err(_) => false,
    }
}

/// Pins a process, or this thread if `pid` is `None`, to a range of processors; the others stay free for the
/// stand-ins.
pub(crate) fn pin(pid: Option<u32>, processors: std::ops::Range<usize>) {
    let mut set = rustix::thread::CpuSet::new();
    processors.for_each(|p| set.set(p));
    let pid = pid.and_then(|p| rustix::process::Pid::from_raw(p as i32));
    let _ = rustix::thread::sched_setaffinity(pid, &set); // where this is not permitted, the figures are noisier
}

fn experiment(backends: usize) -> Result<Experiment, ExperimentError> {
    let text = format!(
        "name = 'overhead'\nduration_s = 1.0\nproxies = 1\nload = {{ rps = 1.0 }}\n\
         class = [\n\
           {{ name = 'read', effect = 'free', share = 1.0, aim_ms = 1000, deadline_ms = 5000, work_ms = 1 }},\n\
           {{ name = 'order', effect = 'single_shot', share = 1.0, aim_ms = 1000, deadline_ms = 5000, work_ms = 1 }},\n\
         ]\n\
         kind = [{{ name = 'm', count = {backends} }}]\n"
    );
    Experiment::parse("overhead", &text)
}

/// The latencies and failures of a closed loop.
pub(crate) struct LoopMeasurement {
    latency: RefCell<Histogram<u64>>,
    failed: Cell<u64>,
    began: Instant,
    span: Duration,
}

impl LoopMeasurement {
    /// Starts the clock of a loop that runs for `span`.
    pub(crate) fn start(span: Duration) -> Rc<LoopMeasurement> {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds in order");
        Rc::new(LoopMeasurement {
            latency: latency.into(),
            failed: Cell::new(0),
            began: Instant::now(),
            span,
        })
    }

    pub(crate) fn is_running(&self) -> bool {
        self.began.elapsed() < self.span
    }

    pub(crate) fn count(&self, asked: Instant, served: bool) {
        if served {
            self.latency.borrow_mut().saturating_record(asked.elapsed().as_nanos() as u64 / 1000);
        } else {
            self.failed.set(self.failed.get() + 1);
        }
    }
}

/// Runs a closed loop on its own thread, and measures the processor time of `pid` meanwhile.
pub(crate) async fn measure<F>(
    pid: Option<u32>, load: impl FnOnce() -> F + Send + 'static,
) -> Result<Point, RunError>
where
    F: Future<Output = Rc<LoopMeasurement>>,
{
    let cpu = || pid.and_then(Usage::read).map(|u| u.cpu).unwrap_or_default();
    let before = cpu();
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    let done = thread("load", move || async move {
        if processors > 2 {
            pin(None, 2..processors);
        }
        let results = load().await;
        let latency = results.latency.borrow().clone();
        (latency, results.failed.get(), results.began.elapsed().as_secs_f64())
    })?;
    let (latency, failed, elapsed_s) = done.await.map_err(|_| RunError::Thread)?;
    let used = cpu().saturating_sub(before).as_secs_f64();
    Ok(Point {
        rate: latency.len() as f64 / elapsed_s,
        p50_us: latency.value_at_quantile(0.5) as f64,
        p99_us: latency.value_at_quantile(0.99) as f64,
        cpu_us: used * 1e6 / latency.len().max(1) as f64,
        failed,
    })
}

/// Measures every path in every round, in turn: at saturation, and with one connection. The measured processes share
/// the first processor.
pub(crate) async fn interleave<Traffic, Load, F>(
    paths: &mut [LoadPath<Traffic>], rounds: &Rounds, load: Load,
) -> Result<(), RunError>
where
    Traffic: Copy + Send + 'static,
    Load: Fn(Vec<SocketAddr>, usize, Duration, Traffic) -> F + Copy + Send + 'static,
    F: Future<Output = Rc<LoopMeasurement>>,
{
    paths.iter().filter_map(|path| path.pid).for_each(|pid| pin(Some(pid), 0..1));
    let bar = ProgressBar::new((rounds.count * paths.len() * 2) as u64);
    for _ in 0..rounds.count {
        for path in paths.iter_mut() {
            let measure_path = |connections, span| {
                let (to, traffic) = (path.to.clone(), path.traffic);
                measure(path.pid, move || load(to, connections, span, traffic))
            };
            let saturated = measure_path(rounds.connections, rounds.span).await?;
            let alone = measure_path(1, rounds.span / 2).await?;
            path.saturated.push(saturated);
            path.alone.push(alone);
            bar.inc(2);
        }
    }
    bar.finish_and_clear();
    Ok(())
}

/// Returns the median of a figure; 0 without points.
pub(crate) fn median(points: &[Point], of: impl Fn(&Point) -> f64) -> f64 {
    let mut values: Vec<f64> = points.iter().map(of).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn report(paths: &[LoadPath<bool>], args: &Args) -> String {
    let mut out = format!(
        "medians of {} rounds of {} s; {} backends, {}-byte answers, {} connections at saturation, proxy on one core\n",
        args.rounds, args.seconds, args.backends, args.bytes, args.connections
    );
    let _ = writeln!(
        out,
        "{:<16} {:>10} {:>8} {:>9} {:>9} | alone: {:>8} {:>8} | {:>7}",
        "way", "req/s", "cpu us", "p50 us", "p99 us", "p50 us", "p99 us", "failed"
    );
    for path in paths {
        let failed: u64 = path.saturated.iter().chain(&path.alone).map(|p| p.failed).sum();
        let _ = writeln!(
            out,
            "{:<12} {:>10.0} {:>8.1} {:>9.0} {:>9.0} | alone: {:>8.0} {:>8.0} | {:>7}",
            path.name,
            median(&path.saturated, |p| p.rate),
            median(&path.saturated, |p| p.cpu_us),
            median(&path.saturated, |p| p.p50_us),
            median(&path.saturated, |p| p.p99_us),
            median(&path.alone, |p| p.p50_us),
            median(&path.alone, |p| p.p99_us),
            failed
        );
    }
    let path_named = |name: &str| paths.iter().find(|path| path.name == name);
    if let (Some(direct), Some(relay)) = (path_named("direct"), path_named("relay")) {
        for path in paths.iter().filter(|path| path.name != "direct" && path.name != "relay") {
            let ratio = |a: f64, b: f64| a / b.max(1e-9);
            let _ = writeln!(
                out,
                "{}: {:.2} of the relay's rate, {:.2} times its processor time; adds {:.0} us at p50 and {:.0} us at p99 alone, the relay {:.0} and {:.0}",
                path.name,
                ratio(median(&path.saturated, |p| p.rate), median(&relay.saturated, |p| p.rate)),
                ratio(median(&path.saturated, |p| p.cpu_us), median(&relay.saturated, |p| p.cpu_us)),
                median(&path.alone, |p| p.p50_us) - median(&direct.alone, |p| p.p50_us),
                median(&path.alone, |p| p.p99_us) - median(&direct.alone, |p| p.p99_us),
                median(&relay.alone, |p| p.p50_us) - median(&direct.alone, |p| p.p50_us),
                median(&relay.alone, |p| p.p99_us) - median(&direct.alone, |p| p.p99_us),
            );
        }
    }
    out
}

/// Starts the plain relay in its own process, so that its processor time can be measured.
pub(crate) fn start_relay(to: &[SocketAddr]) -> std::io::Result<(Child, SocketAddr)> {
    let at = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["plain-relay", "--listen", &at.to_string()]);
    for t in to {
        command.args(["--to", &t.to_string()]);
    }
    command.stdin(Stdio::null()).kill_on_drop(true);
    Ok((command.spawn()?, at))
}

/// Measures all paths and prints the medians.
pub fn main(args: &Args) -> Result<(), SessionError> {
    let proxy_program = program(args.proxy.as_deref())?;
    let io_error = |e| SessionError::File("overhead".into(), e);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io_error)?;
    let text = runtime.block_on(measure_all(args, &proxy_program))?;
    print(&text);
    Ok(())
}

async fn measure_all(args: &Args, proxy_program: &Path) -> Result<String, SessionError> {
    let plan = Arc::new(Plan::draw(&experiment(args.backends)?, 1));
    let (count, bytes, service_plan) = (args.backends, args.bytes, plan.clone());
    let (ready, started) = oneshot::channel();
    let (stop, stopped) = oneshot::channel::<()>();
    let served = thread("backends", move || async move {
        let started = answering_backends(count, bytes).await;
        let clock = Clock::default();
        clock.start_in(Duration::ZERO);
        let log = Log::new(clock.clone());
        let backends = started.and_then(|to| {
            let (service, at) = Service::start(service_plan, clock, log, to.clone())?;
            Ok((to, at, service.full_list()))
        });
        let _ = ready.send(backends);
        let _ = stopped.await;
    })
    .map_err(RunError::Io)?;
    let (to, discovery, known) = started.await.map_err(|_| RunError::Thread)?.map_err(RunError::Io)?;
    let (relay, relay_at) = start_relay(&to).map_err(RunError::Io)?;
    let mut paths = Vec::new();
    let beside = args.beside.as_deref().map(|program| ("beside", program, None));
    let mut played: Vec<(&'static str, &Path, Option<&str>)> = vec![("lotusdeck", proxy_program, None)];
    if args.ledger {
        played = vec![
            ("off", proxy_program, None),
            ("process", proxy_program, Some("process")),
            ("power", proxy_program, Some("power")),
        ];
    } else {
        paths.extend([
            LoadPath::new("direct", to, None, false),
            LoadPath::new("relay", vec![relay_at], relay.id(), false),
        ]);
        played.extend(beside);
    }
    let mut proxies = Vec::new();
    for (name, program, mode) in played {
        let folder = args.out.join(name);
        let mut plan = Plan::draw(&experiment(args.backends)?, 1);
        plan.experiment.operator =
            mode.map(|mode| format!("[ledger]\nfolder = \"{{folder}}/ledger\"\nmode = \"{mode}\"\n"));
        let prepared = Proxy::prepare(0, &plan, program, &folder, discovery[0], &known);
        let mut proxy = prepared.map_err(RunError::Proxy)?;
        proxy.start().await.map_err(RunError::Proxy)?;
        paths.push(LoadPath::new(name, vec![proxy.address], proxy.pid(), args.ledger));
        if args.ledger {
            let reads = ["off, reads", "process, reads", "power, reads"][proxies.len()];
            paths.push(LoadPath::new(reads, vec![proxy.address], proxy.pid(), false));
        }
        proxies.push(proxy);
    }
    let span = Duration::from_secs_f64(args.seconds);
    let rounds = Rounds { count: args.rounds, span, connections: args.connections };
    interleave(&mut paths, &rounds, load).await?;
    for mut proxy in proxies {
        proxy.kill().await;
    }
    drop(relay);
    let _ = stop.send(());
    let _ = served.await;
    Ok(report(&paths, args))
}

#[cfg(test)]
mod tests;
