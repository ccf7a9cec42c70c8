//! The cost of a relay without faults: round-trip times on a direct connection and through the relay, interleaved,
//! and through the relay with many idle connections.

use super::run::Relay;
use super::script::{Framing, Route, Script};
use crate::driver::run::{raise_descriptor_limit, thread, RunError};
use crate::driver::usage::Usage;
use crate::driver::wire::listen;
use crate::overhead::{measure, median, LoopMeasurement, Point};
use crate::session::{print, SessionError};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Bytes of a round trip.
const BYTES: usize = 512;

/// Options of the measurement.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Number of rounds; each measures every way once, in turn.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Seconds of one measurement.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
    /// Idle connections through the relay in the last measurement; each takes four descriptors of this process.
    #[arg(long, default_value_t = 4000)]
    idle: usize,
}

/// Starts an echo server, and returns its address.
async fn echo() -> std::io::Result<SocketAddr> {
    let listener = listen(None)?;
    let at = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let _ = tcp.set_nodelay(true);
            tokio::task::spawn_local(async move {
                let (mut read, mut write) = tcp.into_split();
                let _ = tokio::io::copy(&mut read, &mut write).await; // an error ends the connection like its close
            });
        }
    });
    Ok(at)
}

async fn round_trips(to: SocketAddr, span: Duration) -> Rc<LoopMeasurement> {
    let (results, mut bytes) = (LoopMeasurement::start(span), [7u8; BYTES]);
    if let Ok(mut tcp) = TcpStream::connect(to).await {
        let _ = tcp.set_nodelay(true);
        while results.is_running() {
            let asked = Instant::now();
            let exchange = async {
                tcp.write_all(&bytes).await?;
                tcp.read_exact(&mut bytes).await
            };
            results.count(asked, exchange.await.is_ok());
        }
    }
    results
}

/// Measures the cost and prints it.
///
/// # Errors
/// Fails if a socket or thread cannot be opened or started.
pub fn main(args: &Args) -> Result<(), SessionError> {
    let fault = |e| SessionError::File("relay-cost".into(), e);
    raise_descriptor_limit(4 * args.idle + 64)?; // 64 for everything else
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(fault)?;
    tokio::task::LocalSet::new().block_on(&runtime, rounds(args))
}

async fn rounds(args: &Args) -> Result<(), SessionError> {
    let fault = |e| SessionError::File("relay-cost".into(), e);
    // Server and relay run on their own threads, as they would be separate processes.
    let (sender, server) = tokio::sync::oneshot::channel();
    let _server = thread("echo", move || async move {
        let _ = sender.send(echo().await);
        std::future::pending::<()>().await
    })
    .map_err(fault)?;
    let server = server.await.map_err(|_| RunError::Thread)?.map_err(fault)?;
    let (sender, relay) = tokio::sync::oneshot::channel();
    let _relay = thread("relay", move || async move {
        let route = Route {
            name: "idle".into(),
            listen: ([127, 0, 0, 1], 0).into(),
            to: server,
            frame: Framing::None,
            fault: Vec::new(),
        };
        let relay = Relay::start(Script { seed: 0, route: vec![route] });
        let _ = sender.send(relay.as_ref().map(|r| r.addresses[0]).map_err(|e| e.kind().into()));
        std::future::pending::<()>().await;
        drop(relay);
    })
    .map_err(fault)?;
    let relay = relay.await.map_err(|_| RunError::Thread)?.map_err(fault)?;
    let span = Duration::from_secs_f64(args.seconds);
    let mut paths: Vec<(String, SocketAddr, Vec<Point>)> =
        vec![("direct".into(), server, Vec::new()), ("relay".into(), relay, Vec::new())];
    for _ in 0..args.rounds {
        for (_, to, points) in &mut paths {
            let to = *to;
            points.push(measure(None, move || round_trips(to, span)).await?);
        }
    }
    let memory = || Usage::read(std::process::id()).map_or(0, |u| u.memory);
    let (before, mut idle) = (memory(), Vec::new());
    for _ in 0..args.idle {
        idle.push(TcpStream::connect(relay).await.map_err(fault)?);
    }
    // The last of them is relayed once its byte has returned.
    if let Some(last) = idle.last_mut() {
        last.write_all(b"x").await.map_err(fault)?;
        last.read_exact(&mut [0]).await.map_err(fault)?;
    }
    let per_connection = memory().saturating_sub(before) as f64 / args.idle.max(1) as f64;
    let mut with_idle = Vec::new();
    for _ in 0..args.rounds {
        with_idle.push(measure(None, move || round_trips(relay, span)).await?);
    }
    paths.push((format!("relay, {} idle", idle.len()), relay, with_idle));
    print(&format!(
        "medians of {} rounds of {} s, {BYTES} bytes there and back, one at a time\n",
        args.rounds, args.seconds
    ));
    for (name, _, points) in &paths {
        let [p50, p99] = [median(points, |p| p.p50_us), median(points, |p| p.p99_us)];
        let failed: u64 = points.iter().map(|p| p.failed).sum();
        print(&format!("{name:<20} p50 {p50:>5.0} us  p99 {p99:>5.0} us  {failed} failed\n"));
    }
    print(&format!(
        "an idle connection holds {:.1} KB of all three ends together\n",
        per_connection / 1024.0
    ));
    Ok(())
}
