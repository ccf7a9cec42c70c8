//! Measures what the PostgreSQL front costs: the same statements direct, through a plain byte relay, and through
//! lotusdeck, interleaved; and the memory of an idle client.

use super::server::{Committed, DeathChances, Server};
use super::{front, Front, PASSWORD};
use crate::driver::run::{thread, RunError};
use crate::overhead::{interleave, median, start_relay, LoadPath, LoopMeasurement, Rounds};
use crate::session::{print, program, SessionError};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_postgres::{Client, NoTls};

/// Arguments of the `pg-overhead` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Cost {
    /// Number of rounds; each measures every way once, in turn.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Duration of one measurement, s.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
    /// Number of drivers at saturation.
    #[arg(long, default_value_t = 32)]
    connections: usize,
    /// Number of servers.
    #[arg(long, default_value_t = 4)]
    servers: usize,
    /// Number of idle clients whose memory is measured.
    #[arg(long, default_value_t = 2000)]
    idle: usize,
    /// Program of the proxy.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Folder for the proxy's configuration and log.
    #[arg(long, default_value = "lab-runs/pg-overhead")]
    out: PathBuf,
}

async fn connect(to: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config.host("127.0.0.1").port(to.port()).user("ann").password(PASSWORD).dbname("scores");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::task::spawn_local(async move { drop(connection.await) });
    Ok(client)
}

/// Runs a closed loop on `drivers` drivers for `span`. With `prepared` each repeats a prepared statement, otherwise a
/// simple query.
async fn load(to: Vec<SocketAddr>, drivers: usize, span: Duration, prepared: bool) -> Rc<LoopMeasurement> {
    let (results, mut tasks) = (LoopMeasurement::start(span), Vec::new());
    for n in 0..drivers {
        let (results, at) = (results.clone(), to[n % to.len()]);
        tasks.push(tokio::task::spawn_local(async move {
            let Ok(client) = connect(at).await else { return results.count(Instant::now(), false) };
            let statement = if prepared { client.prepare("select").await.ok() } else { None };
            while results.is_running() {
                let asked = Instant::now();
                let done = match &statement {
                    Some(statement) => client.execute(statement, &[]).await.is_ok(),
                    None => client.simple_query("select").await.is_ok(),
                };
                results.count(asked, done);
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    results
}

async fn measure_all(args: &Cost, proxy_program: &Path) -> Result<String, SessionError> {
    let no_deaths = DeathChances { before: 0.0, after: 0.0, halfway: 0.0, downtime_s: 1.0 };
    let (ready, started) = tokio::sync::oneshot::channel();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let count = args.servers;
    let served = thread("servers", move || async move {
        let new_server = |n| Server::new(n, no_deaths, Committed::default(), 1);
        let servers: std::io::Result<Vec<Rc<Server>>> = (0..count).map(new_server).collect();
        let addresses = servers.map(|all| {
            all.into_iter()
                .map(|server| {
                    let at = server.address();
                    tokio::task::spawn_local(server.run());
                    at
                })
                .collect::<Vec<_>>()
        });
        let _ = ready.send(addresses);
        let _ = stopped.await;
    });
    let served = served.map_err(RunError::Io)?;
    let to = started.await.map_err(|_| RunError::Thread)?.map_err(RunError::Io)?;
    let (relay, relay_at) = start_relay(&to).map_err(RunError::Io)?;
    let connections = args.connections.max(1);
    let Front { mut proxy, at, .. } =
        front(&to, connections, args.idle + 2 * connections, 60_000, proxy_program, &args.out, 1).await?;
    let mut paths = Vec::new();
    for (prepared, names) in [
        (false, ["direct", "relay", "lotusdeck"]),
        (true, ["direct, prep.", "relay, prep.", "lotusdeck, prep."]),
    ] {
        let targets = [(to.clone(), None), (vec![relay_at], relay.id()), (vec![at], proxy.pid())];
        for (name, (to, pid)) in names.into_iter().zip(targets) {
            paths.push(LoadPath::new(name, to, pid, prepared));
        }
    }
    let span = Duration::from_secs_f64(args.seconds);
    let rounds = Rounds { count: args.rounds, span, connections: args.connections };
    interleave(&mut paths, &rounds, load).await?;
    let memory = || proxy.usage().map_or(0, |u| u.memory);
    let (before, mut idle) = (memory(), Vec::new());
    for _ in 0..args.idle {
        let Ok(client) = connect(at).await else { break };
        idle.push(client);
    }
    let bytes_per_client = memory().saturating_sub(before) as f64 / idle.len().max(1) as f64;
    let mut out = format!(
        "medians of {} rounds of {} s; {} servers, {} drivers and as many connections at saturation, proxy on one core\n",
        args.rounds, args.seconds, args.servers, args.connections
    );
    for path in &paths {
        let _ = writeln!(
            out,
            "{:<16} {:>8.0} /s {:>6.1} cpu us, p50 {:>6.0} us, p99 {:>6.0} us | alone p50 {:>5.0} us, p99 {:>5.0} us | {} failed",
            path.name,
            median(&path.saturated, |p| p.rate),
            median(&path.saturated, |p| p.cpu_us),
            median(&path.saturated, |p| p.p50_us),
            median(&path.saturated, |p| p.p99_us),
            median(&path.alone, |p| p.p50_us),
            median(&path.alone, |p| p.p99_us),
            path.saturated.iter().chain(&path.alone).map(|p| p.failed).sum::<u64>()
        );
    }
    let _ = writeln!(
        out,
        "{} idle clients hold {:.1} KB of the proxy's memory each",
        idle.len(),
        bytes_per_client / 1e3
    );
    proxy.kill().await;
    drop((relay, idle));
    let _ = stop.send(());
    let _ = served.await;
    Ok(out)
}

/// Measures all paths and the idle clients, and prints the results.
///
/// # Errors
/// The proxy, the relay or a server cannot be started.
pub fn main(args: &Cost) -> Result<(), SessionError> {
    let proxy_program = program(args.proxy.as_deref())?;
    let io_error = |e| SessionError::File(args.out.display().to_string(), e);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io_error)?;
    print(&tokio::task::LocalSet::new().block_on(&runtime, measure_all(args, &proxy_program))?);
    Ok(())
}
