//! The proxy: configuration, logging, signals and start-up.

use lotusdeck_policy::{Balancer, ListUpdate};
use lotusdeck_proxy::admin::{Admin, MAX_CALLERS};
use lotusdeck_proxy::body::Budget;
use lotusdeck_proxy::config::{Node, NodeError};
use lotusdeck_proxy::cordon::Cordon;
use lotusdeck_proxy::host::Host;
use lotusdeck_proxy::peer::{self, Peer};
use lotusdeck_proxy::server::Server;
use lotusdeck_proxy::upstream::Pool;
use lotusdeck_proxy::{discovery, handover, server, Clock};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tracing::{info, warn};

/// Descriptors that are kept for all but clients and upstreams, operators' callers among them.
const RESERVE: usize = 52 + MAX_CALLERS;
/// Client connections over their bound, out of the reserve: each is closed after its answer.
const OVER_BOUND: usize = 24;
/// Bodies that are kept whole may take this part of the memory, for two processes at a time.
const BODIES_PART: usize = 8;
const REPORT_EVERY: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    let level = std::env::var("NODE_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(level).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let local = tokio::task::LocalSet::new();
    match runtime.map_err(|e| format!("no event loop: {e}")).and_then(|r| local.block_on(&r, run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("lotusdeck: {text}");
            ExitCode::FAILURE
        }
    }
}

/// What a process may hold, alone or beside another that counts against the same limit.
fn share(sockets: usize, peer: bool, pool: &Pool, server: &Server) {
    let processes = 1 + usize::from(peer);
    let room = (sockets.saturating_sub(RESERVE) / processes).max(2);
    let backends = (room * 2 / 5).max(1);
    pool.bound(backends);
    server.bound(room - backends, OVER_BOUND / processes);
}

async fn run() -> Result<(), String> {
    // Before all else: until its handler stands, a signal ends the program at once.
    let on = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    let mut hangup = on(SignalKind::hangup())?;
    let (mut term, mut interrupt) = (on(SignalKind::terminate())?, on(SignalKind::interrupt())?);
    let inherited = handover::listener().map_err(|e| e.to_string())?;
    let mut node = Node::read().map_err(|e| e.to_string())?;
    let cordon = Cordon::load(&node.state());
    if cordon.count() > 0 {
        info!("{} backends are cordoned from before", cordon.count());
    }
    let clock = Clock::new();
    let budget = Budget::new(node.memory / BODIES_PART);
    let peer = Peer::join(&node.state()).await;
    let pool = Rc::new(Pool::new(&node.settings.network, budget.clone()));
    let mode = node.settings.config.discovery;
    let balancer = Balancer::new(node.settings.config.clone(), node.seed)
        .map_err(|e| NodeError::Settings(e.to_string()).to_string())?;
    let host = Host::new(balancer, node.settings, clock, pool.clone(), cordon);
    // The list from before the restart is in place before anything is served.
    host.members(ListUpdate::Cached, &node.known);
    let handed_down = inherited.is_some();
    let listener = match inherited {
        Some(listener) => tokio::net::TcpListener::from_std(listener),
        None => server::listen(node.listen),
    };
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", node.listen))?;
    let calls = match node.admin {
        Some(at) => {
            Some(server::listen(at).map_err(|e| format!("cannot listen for operators on {at}: {e}"))?)
        }
        None => None,
    };
    let at = listener.local_addr().unwrap_or(node.listen);
    info!("{} listens on {at}, {} backends known", node.name, node.known.endpoints.len());
    tokio::task::spawn_local(host.clone().timers());
    tokio::task::spawn_local(pool.sweep());
    let (moved, discovery) = watch::channel((node.discovery, mode));
    tokio::task::spawn_local(discovery::watch(host.clone(), discovery, node.known.index));
    let adopting = host.clone();
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            match node.file.reread() {
                Ok(change) => {
                    let at = (change.discovery, change.settings.config.discovery);
                    let changed = adopting.adopt(change.settings);
                    info!("SIGHUP: taken: discovery at {}, {changed}", at.0);
                    moved.send_if_modified(|old| std::mem::replace(old, at) != at);
                }
                Err(e) => warn!("SIGHUP: refused, nothing is taken: {e}"),
            }
        }
    });
    let server = Server::new(host.clone(), budget);
    let mut shared = peer.alive();
    share(node.sockets, shared, &host.pool, &server);
    if shared {
        host.shared(true);
    }
    let (both, bounded) = (host.clone(), server.clone());
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(peer::LOOK).await;
            if std::mem::replace(&mut shared, peer.alive()) != shared {
                share(node.sockets, shared, &both.pool, &bounded);
                both.shared(shared);
            }
        }
    });
    if let Some(calls) = calls {
        let at = calls.local_addr().map_err(|e| e.to_string())?;
        info!("operators call at {at}");
        tokio::task::spawn_local(Admin::new(host.clone(), server.clone()).run(calls));
    }
    tokio::task::spawn_local(host.clone().heed_cordons());
    let reporter = server.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(REPORT_EVERY).await;
            host.report(&reporter.report());
        }
    });
    let stop = async {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!("stopping");
    };
    server.run(listener, handed_down, stop).await;
    info!("stopped");
    Ok(())
}
