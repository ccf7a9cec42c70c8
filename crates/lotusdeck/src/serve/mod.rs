//! `lotusdeck serve`: one proxy in the foreground, from start-up to graceful shutdown.
//!
//! `startup` creates the parts of the proxy, this module runs them, `reload` changes them while they run, and
//! `shutdown` ends them. `signals` installs the signal handlers, and `connection_limits` divides descriptors and memory.

mod connection_limits;
mod error;
mod memory;
mod reload;
mod shutdown;
mod signals;
mod startup;

use crate::configuration::{ConfigurationSource, FollowTarget, SourceStatus};
use crate::logging::{self, Format};
use crate::operator::OperatorFile;
use crate::postgres::RunningFront;
use connection_limits::ConnectionLimits;
use error::ServeError;
use lotusdeck_policy::DiscoveryMode;
use lotusdeck_proxy::admin::Admin;
use lotusdeck_proxy::config::NodeConfig;
use lotusdeck_proxy::discovery::DiscoveryMonitor;
use lotusdeck_proxy::server::Server;
use lotusdeck_proxy::{discovery, listener_handover, queueing_delay};
use reload::{Reloader, StartupSections};
use signals::Signals;
use startup::{Listeners, Parts};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tracing::info;

/// The interval at which counts are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The arguments of `lotusdeck serve`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The node configuration, JSON.
    #[arg(long, env = "NODE_CONFIG")]
    config: PathBuf,
    /// The operator file, TOML.
    #[arg(long, env = "NODE_OPERATOR")]
    operator: Option<PathBuf>,
    /// Where operators call, whatever the node configuration says.
    #[arg(long, env = "NODE_ADMIN_ADDR")]
    admin: Option<SocketAddr>,
    /// How lines of the log are written.
    #[arg(long, env = "NODE_LOG_FORMAT", value_enum, default_value_t = Format::Text)]
    log_format: Format,
    /// The least level that is written: error, warn, info, debug or trace.
    #[arg(long, env = "NODE_LOG", default_value_t = tracing::Level::INFO)]
    log: tracing::Level,
}

/// Runs the proxy until it is asked to stop.
pub(crate) fn main(args: Args) -> ExitCode {
    logging::start(args.log_format, args.log);
    match run_event_loop(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lotusdeck: {error}");
            error.exit_code()
        }
    }
}

fn run_event_loop(args: Args) -> Result<(), ServeError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = queueing_delay::record_polls(&mut builder).enable_all().build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.map_err(ServeError::EventLoop)?, run(args))
}

async fn run(args: Args) -> Result<(), ServeError> {
    let Signals { reload, stop } = Signals::install()?;
    let inherited = listener_handover::inherited_listener()?;
    let operator = OperatorFile::load(args.operator.as_deref())?;
    let node = NodeConfig::read(&args.config, args.admin)?;
    let mut parts = Parts::new(&operator, node).await?;
    let listeners = Listeners::open(inherited, parts.node.listen, parts.node.admin)?;
    log_listening(&parts, &listeners.clients);

    spawn_local(parts.host.clone().run_timers());
    spawn_local(parts.pool.clone().close_idle_periodically());
    let discovery_target = (parts.node.discovery, parts.node.discovery_mode);
    let (discovery_sender, discovery_receiver) = watch::channel(discovery_target);
    let on_list = start_state_writer(&mut parts);
    let list_version = parts.initial_list.version;
    let monitor = Rc::new(DiscoveryMonitor::default());
    let discovery =
        discovery::watch(parts.host.clone(), monitor.clone(), discovery_receiver, list_version, on_list);
    if let Some(fleet) = parts.fleet.take() {
        spawn_local(fleet.run(operator.fleet.listen, parts.host.clone()));
    }
    let source_status = start_reloader(&parts, operator, args.operator, discovery_sender, reload)?;
    let ledger = parts.ledger.clone();
    let fronts = parts.fronts.clone();
    let server = start_server(parts, listeners.operators, source_status, monitor);

    let stop_requested = shutdown::requested(stop, fronts);
    // The event loop polls these two futures before each batch of other tasks. Discovery is polled first, so that
    // changes of the endpoint list are applied before new clients are accepted.
    tokio::select! {
        biased;
        () = discovery => {}
        () = server.run(listeners.clients, listeners.is_inherited, stop_requested) => {}
    }
    shutdown::finish(ledger).await;
    Ok(())
}

fn log_listening(parts: &Parts, clients: &TcpListener) {
    let address = clients.local_addr().unwrap_or(parts.node.listen);
    let known = parts.initial_list.endpoints;
    info!(name = parts.node.name, %address, known, "listening");
}

/// Starts the task that persists estimates, and returns the sink that persists endpoint lists. Returns `None` if no
/// state is persisted.
fn start_state_writer(parts: &mut Parts) -> Option<discovery::EndpointListSink> {
    let writer = parts.state_writer.take()?;
    spawn_local(writer.clone().save_estimates_periodically(parts.host.clone()));
    Some(Box::new(move |list| writer.save_endpoints(list)))
}

fn start_reloader(
    parts: &Parts, operator: OperatorFile, operator_path: Option<PathBuf>,
    discovery: watch::Sender<(SocketAddr, DiscoveryMode)>, hangup: Signal,
) -> Result<Arc<SourceStatus>, ServeError> {
    let node_file = parts.node.file.clone();
    let target = FollowTarget { source: operator.configuration.source, file_outline: node_file.outline() };
    let source = ConfigurationSource::new(target, parts.node.seed).map_err(ServeError::Configuration)?;
    let status = source.status();
    let startup_sections = Arc::new(StartupSections {
        ledger: operator.ledger,
        postgres: operator.postgres,
        state: operator.state,
        fleet: operator.fleet,
        limits: operator.limits,
    });
    let reloader = Reloader {
        host: parts.host.clone(),
        node_file,
        operator_path,
        startup_sections,
        stall_timeouts: parts.stall_timeouts.clone(),
        discovery,
        source,
        has_source_settings: false,
    };
    spawn_local(reloader.run(hangup));
    Ok(status)
}

/// Creates the server, and starts the tasks for descriptor limits, operators, the cordon file and reports. The caller
/// runs the server.
fn start_server(
    parts: Parts, operators: Option<TcpListener>, source_status: Arc<SourceStatus>,
    discovery: Rc<DiscoveryMonitor>,
) -> Rc<Server> {
    let Parts { node, host, pool, body_budget, slot, ledger, fronts, descriptors, .. } = parts;
    let server = Server::new(host.clone(), pool.clone(), body_budget);
    let memory_bytes = node.memory_bytes;
    let limits = ConnectionLimits { descriptors, memory_bytes, pool, server: server.clone() };
    if let Some(shared) = slot.shared_ids() {
        server.share_ids(shared);
    }
    let has_other_process = slot.other_is_running();
    limits.apply(has_other_process);
    if has_other_process {
        host.set_other_process(true);
    }
    spawn_local(limits.follow_other_process(slot, has_other_process, host.clone()));
    if let Some(listener) = operators {
        let address = listener.local_addr().ok().or(node.admin);
        info!(address = address.map(tracing::field::display), "listening for operators");
        let configuration = Box::new(move || source_status.current());
        spawn_local(Admin::new(host.clone(), server.clone(), configuration, discovery.clone()).run(listener));
    }
    spawn_local(host.clone().follow_cordon_file());
    let reported_server = server.clone();
    spawn_local(async move {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            host.log_counts();
            reported_server.log_counts();
            memory::log(memory_bytes);
            discovery.log_status();
            if let Some(ledger) = &ledger {
                ledger.report();
            }
            fronts.iter().for_each(RunningFront::report);
        }
    });
    server
}
