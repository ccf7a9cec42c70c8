//! Start-up: creates everything that must exist before the first client is served. Start-up fails at the first part that
//! cannot be created.

use super::connection_limits::left_for_http;
use super::error::ServeError;
use crate::fleet::Fleet;
use crate::ledger_journal::LedgerJournal;
use crate::operator::{OperatorFile, StateSection};
use crate::postgres::{self, RunningFront};
use crate::state::{self, InitialState, StateLocation, StateWriter};
use lotusdeck_core::cordon::Cordon;
use lotusdeck_core::{to_duration, Clock, ConnectionPools, FleetLimiter, Host, Journal, OptionalServices};
use lotusdeck_policy::settings::Settings;
use lotusdeck_policy::{Balancer, DiscoveryMode, ListUpdate};
use lotusdeck_proxy::body_budget::BodyBudget;
use lotusdeck_proxy::config::{ActiveConfigFile, NodeConfig, NodeConfigError};
use lotusdeck_proxy::connection_pool::ConnectionPool;
use lotusdeck_proxy::process_slot::ProcessSlot;
use lotusdeck_proxy::server;
use lotusdeck_proxy::stall_timeouts::SharedStallTimeouts;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tracing::info;

/// The divisor of the memory limit that yields the memory for buffered bodies of one process. Up to two processes of a
/// proxy run at a time.
const BODY_MEMORY_DIVISOR: usize = 8;

/// What the running proxy needs of the node configuration besides its settings.
pub(super) struct NodeIdentity {
    /// The proxy's name.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address for operators, if there is one.
    pub admin: Option<SocketAddr>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// How discovery is queried.
    pub discovery_mode: DiscoveryMode,
    /// The seed of this proxy's random choices, which differs between proxies.
    pub seed: u64,
    /// The memory limit of all processes of this proxy, in bytes.
    pub memory_bytes: usize,
    /// The node configuration file in force.
    pub file: ActiveConfigFile,
}

/// The version and size of the endpoint list that the proxy uses until the first one from discovery.
pub(super) struct InitialList {
    /// Its version.
    pub version: u64,
    /// The number of endpoints in it.
    pub endpoints: usize,
}

/// The parts of a proxy, ready to be run.
pub(super) struct Parts {
    /// The name, addresses and other identity of this proxy.
    pub node: NodeIdentity,
    /// The host of the balancer.
    pub host: Rc<Host>,
    /// Connections to backends.
    pub pool: Rc<ConnectionPool>,
    /// Memory for buffered bodies.
    pub body_budget: BodyBudget,
    /// The timeouts of `[http]` in force.
    pub stall_timeouts: SharedStallTimeouts,
    /// The slot of this process, which shows whether another process of this proxy runs.
    pub slot: ProcessSlot,
    /// The ledger, if the operator file names a folder for it.
    pub ledger: Option<Rc<LedgerJournal>>,
    /// The PostgreSQL fronts, which are already running.
    pub fronts: Rc<Vec<RunningFront>>,
    /// Fleet-wide limits and the exchange with other proxies, if the operator file sets any.
    pub fleet: Option<Rc<Fleet>>,
    /// Writes the state files, if the operator file names a folder for them.
    pub state_writer: Option<StateWriter>,
    /// The endpoint list that the proxy starts with.
    pub initial_list: InitialList,
    /// Descriptors for HTTP.
    pub descriptors: usize,
}

/// The state to start with, and the writer of the state files if the operator file names a folder.
struct OpenedState {
    initial: InitialState,
    writer: Option<StateWriter>,
}

fn open_state(section: &StateSection, node: &mut NodeConfig) -> Result<OpenedState, ServeError> {
    let platform_list = std::mem::take(&mut node.cached_endpoints);
    let Some(folder) = &section.folder else {
        let initial = InitialState { endpoints: platform_list, estimates: None };
        return Ok(OpenedState { initial, writer: None });
    };
    let location = StateLocation::new(section, folder, &node.name);
    let window = to_duration(node.settings.config.slow_start.overload_window);
    let initial = state::restore(section, &location, platform_list, window);
    let writer = StateWriter::start(location, section.write_interval, &initial.endpoints)
        .map_err(ServeError::State)?;
    Ok(OpenedState { initial, writer: Some(writer) })
}

fn load_cordon(node: &NodeConfig) -> Cordon {
    let cordon = Cordon::load(&node.state_path_prefix());
    if cordon.count() > 0 {
        info!(cordoned = cordon.count(), "cordoned backends restored");
    }
    cordon
}

fn start_fronts(
    operator: &OperatorFile, node: &NodeConfig, clock: Clock,
) -> Result<Vec<RunningFront>, ServeError> {
    let mut fronts = Vec::new();
    for section in &operator.postgres {
        fronts.push(postgres::start(section, &node.settings, node.seed, clock, &node.state_path_prefix())?);
    }
    Ok(fronts)
}

impl Parts {
    /// Creates the parts.
    ///
    /// # Errors
    /// A part cannot be created.
    pub(super) async fn new(operator: &OperatorFile, mut node: NodeConfig) -> Result<Parts, ServeError> {
        let OpenedState { initial, writer } = open_state(&operator.state, &mut node)?;
        let cordon = load_cordon(&node);
        let clock = Clock::new();
        let body_budget = BodyBudget::new(node.memory_bytes / BODY_MEMORY_DIVISOR);
        let stall_timeouts = SharedStallTimeouts::new(operator.http.into());
        let slot = ProcessSlot::acquire(&node.state_path_prefix()).await;
        let pool =
            Rc::new(ConnectionPool::new(&node.settings.network, body_budget.clone(), stall_timeouts.clone()));
        let balancer =
            Balancer::new(node.settings.config.clone(), node.seed).map_err(NodeConfigError::OutOfRange)?;
        let ledger =
            LedgerJournal::start(&operator.ledger, &node.name, node.seed).map_err(ServeError::Ledger)?;
        let descriptors = left_for_http(node.max_descriptors, &operator.postgres)?;
        let fronts = Rc::new(start_fronts(operator, &node, clock)?);
        let fleet = Fleet::new(&operator.fleet, &operator.limits, &node.settings, node.seed)?;
        let services = OptionalServices {
            journal: ledger.clone().map(|ledger| ledger as Rc<dyn Journal>),
            fleet_limiter: fleet.clone().map(|fleet| fleet as Rc<dyn FleetLimiter>),
        };
        let pools: Vec<Rc<dyn ConnectionPools>> = vec![pool.clone()];
        let (node, settings) = split_node(node);
        let host = Host::new(balancer, settings, clock, pools, cordon, services);
        let initial_list = restore(&host, &initial);
        let state_writer = writer;
        Ok(Parts {
            node,
            host,
            pool,
            body_budget,
            stall_timeouts,
            slot,
            ledger,
            fronts,
            fleet,
            state_writer,
            initial_list,
            descriptors,
        })
    }
}

/// Splits the node configuration into the settings, which the host takes, and the rest.
fn split_node(node: NodeConfig) -> (NodeIdentity, Settings) {
    let identity = NodeIdentity {
        name: node.name,
        listen: node.listen,
        admin: node.admin,
        discovery: node.discovery,
        discovery_mode: node.settings.config.discovery,
        seed: node.seed,
        memory_bytes: node.memory_bytes,
        file: node.active_file,
    };
    (identity, node.settings)
}

/// Applies the initial endpoint list and the estimates from before the restart, before any request is served.
fn restore(host: &Rc<Host>, initial: &InitialState) -> InitialList {
    host.update_endpoints(ListUpdate::Cached, initial.endpoints.to_update());
    if let Some(estimates) = &initial.estimates {
        host.restore_estimates(estimates);
    }
    InitialList { version: initial.endpoints.version, endpoints: initial.endpoints.endpoints.len() }
}

/// The sockets that clients and operators connect to.
pub(super) struct Listeners {
    /// For clients.
    pub clients: TcpListener,
    /// Whether the clients' listener was handed over by another process.
    pub is_inherited: bool,
    /// For operators, if they have an address.
    pub operators: Option<TcpListener>,
}

impl Listeners {
    /// Opens the listeners. An inherited one becomes the clients' listener.
    ///
    /// # Errors
    /// An address cannot be listened on.
    pub(super) fn open(
        inherited: Option<std::net::TcpListener>, clients: SocketAddr, operators: Option<SocketAddr>,
    ) -> Result<Listeners, ServeError> {
        let failed = |purpose, address| move |source| ServeError::Listen { purpose, address, source };
        let is_inherited = inherited.is_some();
        let listener = match inherited {
            Some(listener) => TcpListener::from_std(listener),
            None => server::listen(clients),
        };
        let clients = listener.map_err(failed("for clients", clients))?;
        let operators = match operators {
            Some(address) => Some(server::listen(address).map_err(failed("for operators", address))?),
            None => None,
        };
        Ok(Listeners { clients, is_inherited, operators })
    }
}
