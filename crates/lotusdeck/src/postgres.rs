//! Fronts for PostgreSQL clients, one for each `[[postgres]]` section of the operator file.

use crate::operator::{ClassSection, PostgresSection, ServerSection};
use lotusdeck_core::cordon::Cordon;
use lotusdeck_core::{Clock, ConnectionPools, Endpoint, Host, OptionalServices};
use lotusdeck_policy::settings::{EndpointRecord, Names, Settings};
use lotusdeck_policy::{
    Backend, BackendState, Balancer, Class, ClassId, ConfigError, DiscoveryMode, ListUpdate, Micros,
    SideEffects, ZoneId,
};
use lotusdeck_postgres::classes::Rule;
use lotusdeck_postgres::{Front, FrontSettings, Login, Servers, User, MAX_EXCESS_CLIENTS};
use lotusdeck_proxy::discovery::{self, DiscoveryMonitor};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tracing::{info, info_span};

/// The value of an answer after its latency objective, as a fraction of the value of one within it.
const LATE_VALUE_FACTOR: f64 = 0.5;
/// The priority weight of a class that sets none, in hundredths.
const DEFAULT_WEIGHT_PERCENT: u32 = 100;

/// Why a front cannot start.
#[derive(Debug, Error)]
pub(crate) enum PostgresError {
    /// The password file cannot be read.
    #[error("postgres: password_file {path}: {source}")]
    Password {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The address cannot be listened on, or the system provides no random numbers.
    #[error("postgres: {address}: {source}")]
    Start {
        /// The address for clients.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The balancer rejects the settings of the front.
    #[error("postgres: {0}")]
    Settings(#[from] ConfigError),
}

/// A running front.
pub(crate) struct RunningFront {
    address: SocketAddr,
    front: Rc<Front>,
    host: Rc<Host>,
    servers: Rc<Servers>,
    /// The monitor of the client of discovery, if the servers are listed by discovery.
    discovery: Option<Rc<DiscoveryMonitor>>,
}

impl RunningFront {
    /// Logs the counts since the last report, and the clients and server connections that are open.
    pub(crate) fn report(&self) {
        info_span!("postgres", at = %self.address).in_scope(|| {
            self.host.log_counts();
            info!(clients = self.front.clients(), servers = self.servers.open_connections(), "sessions");
            if let Some(discovery) = &self.discovery {
                discovery.log_status();
            }
        });
    }

    /// Starts draining: idle sessions end now, the others once they have no transaction open.
    pub(crate) fn stop(&self) {
        self.front.stop();
    }
}

/// Returns how many file descriptors a front may use.
pub(crate) fn descriptors(section: &PostgresSection) -> usize {
    section.clients + MAX_EXCESS_CLIENTS + section.connections
}

/// Starts the front of a section. The path of the node's cordon file begins with `state_path_prefix`.
///
/// # Errors
/// The front cannot start; in that case none of its tasks has been spawned.
pub(crate) fn start(
    section: &PostgresSection, node: &Settings, seed: u64, clock: Clock, state_path_prefix: &Path,
) -> Result<RunningFront, PostgresError> {
    let login = login(section)?;
    let settings = balancer_settings(section, node);
    let discovery_mode = settings.config.discovery;
    let servers = Servers::new(login, &settings.network, section.connections);
    let balancer = Balancer::new(settings.config.clone(), seed)?;
    let pools: Vec<Rc<dyn ConnectionPools>> = vec![servers.clone()];
    let host = Host::new(
        balancer,
        settings,
        clock,
        pools,
        Cordon::load(state_path_prefix),
        OptionalServices::default(),
    );
    let listening = ListeningFront::open(section, &host, &servers)?;
    spawn_local(host.clone().run_timers());
    spawn_local(host.clone().follow_cordon_file());
    let discovery = match section.discovery {
        Some(address) => Some(follow_discovery(&host, address, discovery_mode)),
        None => {
            let endpoints: Vec<Endpoint> = section.servers.iter().map(endpoint).collect();
            host.update_endpoints(ListUpdate::Full, endpoints);
            None
        }
    };
    let ListeningFront { listener, address, front } = listening;
    spawn_local(front.clone().run(listener));
    let server_count = section.servers.len();
    info!(%address, servers = server_count, users = section.users.len(), "postgres listening");
    Ok(RunningFront { address, front, host, servers, discovery })
}

/// A front, and the listener whose clients it will serve.
struct ListeningFront {
    listener: TcpListener,
    address: SocketAddr,
    front: Rc<Front>,
}

impl ListeningFront {
    fn open(
        section: &PostgresSection, host: &Rc<Host>, servers: &Rc<Servers>,
    ) -> Result<ListeningFront, PostgresError> {
        let failed = |source| PostgresError::Start { address: section.listen, source };
        let listener = lotusdeck_proxy::server::listen(section.listen).map_err(failed)?;
        let address = listener.local_addr().unwrap_or(section.listen);
        let users = section
            .users
            .iter()
            .map(|user| User { name: user.name.clone(), verifier: user.verifier.0.clone() });
        let settings = FrontSettings {
            databases: section.databases.clone(),
            users: users.collect(),
            max_clients: section.clients,
            rules: class_rules(section),
        };
        let front = Front::new(host.clone(), servers.clone(), settings).map_err(failed)?;
        Ok(ListeningFront { listener, address, front })
    }
}

/// Starts to follow discovery, and returns the monitor of its client.
fn follow_discovery(host: &Rc<Host>, address: SocketAddr, mode: DiscoveryMode) -> Rc<DiscoveryMonitor> {
    let (sender, receiver) = watch::channel((address, mode));
    let host = host.clone();
    let monitor = Rc::new(DiscoveryMonitor::default());
    let watch_monitor = monitor.clone();
    spawn_local(async move {
        let _sender = sender; // keeps the channel open; the address does not change
        discovery::watch(host, watch_monitor, receiver, 0, None).await;
    });
    monitor
}

fn login(section: &PostgresSection) -> Result<Login, PostgresError> {
    let password = match &section.login.password_file {
        Some(path) => Some(read_password(path)?),
        None => None,
    };
    let user = section.login.user.clone();
    let database = section.login.database.clone();
    Ok(Login { user, database, password })
}

/// Returns the first line of the file; an empty password if the file is empty.
fn read_password(path: &Path) -> Result<String, PostgresError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| PostgresError::Password { path: path.into(), source })?;
    Ok(text.lines().next().unwrap_or_default().to_string())
}

fn endpoint(server: &ServerSection) -> Endpoint {
    let backend = Backend { state: BackendState::Ready, ..Backend::default() };
    let row = EndpointRecord::new(&server.name, &server.address.to_string(), "", &server.kind, backend);
    Endpoint { name: server.name.clone(), address: server.address, state: BackendState::Ready, row }
}

/// Returns the rules that assign statements to the section's classes.
fn class_rules(section: &PostgresSection) -> Vec<Rule> {
    let rule = |(index, class): (usize, &ClassSection)| Rule {
        class: ClassId(index),
        user: class.user.clone(),
        database: class.database.clone(),
        application: class.application_name.clone(),
        comment: class.comment.clone(),
        prefix: class.prefix.clone(),
    };
    section.classes.iter().enumerate().map(rule).collect()
}

/// Derives the balancer's settings from the node's. The classes are those of the section and a last, non-idempotent
/// one for statements that match no rule.
fn balancer_settings(section: &PostgresSection, node: &Settings) -> Settings {
    let classes = || section.classes.iter().map(Some).chain([None]);
    let mut settings = Settings { names: Names::default(), ..node.clone() };
    settings.config.classes = classes().map(|class| balancer_class(section, class)).collect();
    settings.config.tenants = Vec::new();
    settings.config.zone = ZoneId(0);
    settings.config.goal.cross_zone_cost = 0.0;
    // A hedged attempt of a transaction would share the client's streams with the first.
    settings.config.attempts.allow_hedging = false;
    if section.discovery.is_none() {
        settings.config.discovery = DiscoveryMode::Push;
    }
    let deadline_ms =
        |class: Option<&ClassSection>| class.and_then(|c| c.deadline_ms).unwrap_or(section.deadline_ms);
    settings.network.deadlines = classes().map(|class| Micros(deadline_ms(class) * 1000)).collect();
    settings
}

/// Converts a class to the balancer's type; `None` is the class of statements that match no rule.
fn balancer_class(section: &PostgresSection, class: Option<&ClassSection>) -> Class {
    let objective_ms = class.and_then(|class| class.objective_ms).unwrap_or(section.objective_ms);
    let is_idempotent = class.is_some_and(|class| class.is_idempotent);
    let weight_percent = class.and_then(|class| class.weight_percent).unwrap_or(DEFAULT_WEIGHT_PERCENT);
    Class {
        latency_objective: Micros(objective_ms * 1000),
        objective_per_work_hint: 0.0,
        side_effects: if is_idempotent { SideEffects::None } else { SideEffects::NonIdempotent },
        priority_weight: f64::from(weight_percent) / 100.0,
        late_value_factor: LATE_VALUE_FACTOR,
        retired: false,
    }
}
