//! Measures what a new connection costs a proxy whose connection limit is reached by clients that sent only part of a
//! head: processor time, by the number of connections that the proxy keeps.

use crate::driver::proxies::Proxy;
use crate::driver::run::RunError;
use crate::experiment::{Experiment, ExperimentError};
use crate::session::{print, program, SessionError};
use crate::world::plan::Plan;
use std::fmt::Write as _;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// What each client sends: part of a head, which it never completes.
const PARTIAL_HEAD: &[u8] = b"GET /read/k HTTP/1.1\r\nHost";
/// The pause before the measurement. Longer than the 500 ms after which a connection with part of a head may be
/// evicted (`STALLED_HEAD_AGE` of the proxy), and short enough that none times out (2.8 s) before the measurement.
const SETTLE: Duration = Duration::from_millis(600);
/// Descriptors that a proxy reserves for everything except clients and upstreams (`RESERVED` of `lotusdeck serve`).
const RESERVED: usize = 64;
/// Connections that a proxy accepts beyond its limit (`EXCESS_CLIENTS` of `lotusdeck serve`).
const EXCESS_CLIENTS: usize = 24;
/// Time limit for the proxy to become idle after the new connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks whether the proxy is idle.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Processor time between two checks below which the proxy counts as idle, ns; timers alone take some 100 us a second.
const IDLE_NS: u64 = 200_000;

/// Arguments of the `crowd-cost` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Numbers of connections that the proxy keeps, one for each step.
    #[arg(long, value_delimiter = ',', default_value = "256,1024,4096,16384")]
    kept: Vec<usize>,
    /// Number of new connections in one measurement.
    #[arg(long, default_value_t = 500)]
    connections: usize,
    /// Number of rounds; each measures every program at every step.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Program of the proxy.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Program of a second proxy, measured in turn with the first.
    #[arg(long)]
    beside: Option<PathBuf>,
    /// Folder for configurations and logs.
    #[arg(long, default_value = "lab-runs/crowd-cost")]
    out: PathBuf,
}

/// The measurements of one program at one step.
struct Row {
    program: PathBuf,
    kept: usize,
    /// Microseconds of processor time for each evicted connection, by round; NaN where a measurement is invalid.
    micros: Vec<f64>,
}

impl Row {
    fn median(&self) -> f64 {
        let mut sorted: Vec<f64> = self.micros.iter().copied().filter(|us| us.is_finite()).collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN)
    }
}

/// Builds the experiment that the proxy's configuration is made from; its one backend gets no requests.
fn experiment(kept: usize) -> Result<Experiment, ExperimentError> {
    // The proxy allots three fifths of its descriptors beyond the reserved ones to clients.
    let sockets = kept * 5 / 3 + RESERVED + 2;
    let text = format!(
        "name = 'crowd-cost'\nduration_s = 1.0\nproxies = 1\nload = {{ rps = 1.0 }}\n\
         limits = {{ sockets = {sockets}, memory_mb = 2048 }}\n\
         class = [{{ name = 'read', effect = 'free', share = 1.0, aim_ms = 1000, deadline_ms = 5000, work_ms = 1 }}]\n\
         kind = [{{ name = 'm', count = 1 }}]\n"
    );
    Experiment::parse("crowd-cost", &text)
}

/// Returns for how many nanoseconds a process has run, as counted by the scheduler (proc(5), schedstat).
fn cpu_time_ns(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    text.split_ascii_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn connect(to: SocketAddr, count: usize) -> std::io::Result<Vec<TcpStream>> {
    let mut clients = Vec::with_capacity(count);
    for _ in 0..count {
        let mut client = TcpStream::connect(to)?;
        client.write_all(PARTIAL_HEAD)?;
        clients.push(client);
    }
    Ok(clients)
}

/// Waits until the process is idle, for at most [`IDLE_TIMEOUT`].
fn wait_until_idle(pid: u32) {
    let end = Instant::now() + IDLE_TIMEOUT;
    let mut before = cpu_time_ns(pid);
    while Instant::now() < end {
        std::thread::sleep(CHECK_INTERVAL);
        let now = cpu_time_ns(pid);
        if now.saturating_sub(before) < IDLE_NS {
            return;
        }
        before = now;
    }
}

/// Counts the connections that the proxy has closed.
fn count_closed(clients: &[TcpStream]) -> std::io::Result<usize> {
    let mut count = 0;
    for client in clients {
        client.set_nonblocking(true)?;
        let waiting = client.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        count += usize::from(!waiting);
    }
    Ok(count)
}

/// Measures the microseconds of processor time for each connection that the proxy closed to make room for a new one.
/// Returns NaN where it closed none, or more than the new connections account for.
fn measure(proxy: &Proxy, kept: usize, connections: usize) -> std::io::Result<f64> {
    let pid = proxy.pid().unwrap_or_default();
    let old = connect(proxy.address, kept)?;
    std::thread::sleep(SETTLE);
    let before = cpu_time_ns(pid);
    let _new = connect(proxy.address, connections)?;
    wait_until_idle(pid);
    let used_ns = cpu_time_ns(pid).saturating_sub(before);
    let evicted = count_closed(&old)?;
    // If more were closed, some timed out while the new ones connected, and the figure would include their cost.
    let is_valid = (1..=connections + EXCESS_CLIENTS).contains(&evicted);
    Ok(if is_valid { used_ns as f64 / 1e3 / evicted as f64 } else { f64::NAN })
}

async fn play(args: &Args, program: &Path, kept: usize) -> Result<f64, SessionError> {
    let plan = Plan::draw(&experiment(kept)?, 1);
    // Discovery does not answer: nothing accepts on this listener.
    let silent = TcpListener::bind("127.0.0.1:0").map_err(RunError::Io)?;
    let discovery = silent.local_addr().map_err(RunError::Io)?;
    let folder = args.out.join(format!("kept-{kept}"));
    let known = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    let prepared = Proxy::prepare(0, &plan, program, &folder, discovery, known);
    let mut proxy = prepared.map_err(RunError::Proxy)?;
    proxy.start().await.map_err(RunError::Proxy)?;
    let micros = measure(&proxy, kept, args.connections).map_err(RunError::Io)?;
    proxy.kill().await;
    Ok(micros)
}

fn report(rows: &[Row], args: &Args) -> String {
    let mut out = format!(
        "medians of {} rounds, {} new connections each; NaN: connections ended by age meanwhile\n",
        args.rounds, args.connections
    );
    let _ = writeln!(out, "{:>8} {:>14}  program", "kept", "us/exchange");
    for row in rows {
        let _ = writeln!(out, "{:>8} {:>14.1}  {}", row.kept, row.median(), row.program.display());
    }
    out
}

/// Measures every program at every step and prints the medians.
pub fn main(args: &Args) -> Result<(), SessionError> {
    let proxy_program = program(args.proxy.as_deref())?;
    let programs: Vec<PathBuf> = std::iter::once(proxy_program).chain(args.beside.clone()).collect();
    let io_error = |e| SessionError::File("crowd-cost".into(), e);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io_error)?;
    let empty_rows = |kept: &usize| {
        let row = |program: &PathBuf| Row { program: program.clone(), kept: *kept, micros: Vec::new() };
        programs.iter().map(row).collect::<Vec<Row>>()
    };
    let mut rows: Vec<Row> = args.kept.iter().flat_map(empty_rows).collect();
    for _ in 0..args.rounds {
        for row in &mut rows {
            let micros = runtime.block_on(play(args, &row.program, row.kept))?;
            row.micros.push(micros);
        }
    }
    print(&report(&rows, args));
    Ok(())
}
