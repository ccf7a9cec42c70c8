//! `[[postgres]]` of the operator file, and the fronts that it asks for.

use crate::operator::Fault;
use lotusdeck_core::cordon::Cordon;
use lotusdeck_core::{Clock, ConnectionPools, Endpoint, Host, OptionalServices};
use lotusdeck_policy::settings::{EndpointRecord, Names, Settings};
use lotusdeck_policy::{
    Backend, BackendState, Balancer, Class, ClassId, ConfigError, DiscoveryMode, ListUpdate, Micros,
    SideEffects, ZoneId,
};
use lotusdeck_postgres::classes::Rule;
use lotusdeck_postgres::scram::{ScramError, Verifier};
use lotusdeck_postgres::{Front, FrontSettings, Login, Servers, User, SPARE};
use lotusdeck_proxy::discovery;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::watch;
use tracing::{info, info_span};

/// One front.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Spec {
    /// Where clients connect: a loopback address.
    pub listen: SocketAddr,
    /// Where the list of servers comes from, in the same form as for HTTP; or else `server`.
    #[serde(default)]
    pub discovery: Option<SocketAddr>,
    /// The servers.
    #[serde(default)]
    pub server: Vec<ServerSpec>,
    /// Databases that clients may ask for.
    pub databases: Vec<String>,
    /// Who may come.
    pub user: Vec<UserSpec>,
    /// Who this proxy is to servers.
    pub login: LoginSpec,
    /// Connections to all servers together.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Clients at once.
    #[serde(default = "clients")]
    pub clients: usize,
    /// Classes by rule, the first that fits; what none fits must never run twice.
    #[serde(default)]
    pub class: Vec<ClassSpec>,
    /// A transaction is late after this time, ms.
    #[serde(default = "aim")]
    pub aim_ms: u64,
    /// ... and ended after this one, ms.
    #[serde(default = "deadline")]
    pub deadline_ms: u64,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServerSpec {
    /// Its id, which `cordon` takes.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What sort of machine it is.
    #[serde(default)]
    pub kind: String,
}

/// Who may come.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UserSpec {
    /// The role.
    pub name: String,
    /// What PostgreSQL stores of its password (`pg_authid.rolpassword`).
    pub verifier: Stored,
}

/// A class, and what is of it: all that is named has to fit.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClassSpec {
    /// A single statement outside a transaction may be said again while nothing of its answer went to the client.
    #[serde(default)]
    pub repeatable: bool,
    /// As for the front, where another holds.
    #[serde(default)]
    pub aim_ms: Option<u64>,
    /// As for the front, where another holds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Worth against the others, in hundredths: 100 where absent.
    #[serde(default)]
    pub worth_percent: Option<u32>,
    /// The role.
    #[serde(default)]
    pub user: Option<String>,
    /// The database.
    #[serde(default)]
    pub database: Option<String>,
    /// `application_name` of the start-up packet.
    #[serde(default)]
    pub application_name: Option<String>,
    /// The text of a comment that the statement begins with.
    #[serde(default)]
    pub comment: Option<String>,
    /// What the statement begins with.
    #[serde(default)]
    pub prefix: Option<String>,
}

/// A verifier as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct Stored(Verifier);

impl TryFrom<String> for Stored {
    type Error = ScramError;
    fn try_from(text: String) -> Result<Stored, ScramError> {
        Verifier::parse(&text).map(Stored)
    }
}

/// Who this proxy is to servers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoginSpec {
    /// The role.
    pub user: String,
    /// The database.
    pub database: String,
    /// A file whose first line is the password.
    #[serde(default)]
    pub password_file: Option<PathBuf>,
}

fn connections() -> usize {
    40
}
fn clients() -> usize {
    200
}
fn aim() -> u64 {
    1_000
}
fn deadline() -> u64 {
    30_000
}

/// All of them, from the text of an operator file.
///
/// # Errors
/// The first thing that is wrong, and where.
pub(crate) fn read(text: &str) -> Result<Vec<Spec>, Fault> {
    #[derive(Deserialize)]
    struct File {
        #[serde(default)]
        postgres: Vec<toml::Spanned<Spec>>,
    }
    let file: File = toml::from_str(text).map_err(|e| Fault {
        at: e.span().map_or(0, |s| s.start),
        text: format!("postgres: {}", e.message()),
    })?;
    let mut out = Vec::new();
    for spec in file.postgres {
        let at = spec.span().start;
        let spec = spec.into_inner();
        if let Some(wrong) = spec.fault() {
            return Err(Fault { at, text: format!("postgres: {wrong}") });
        }
        out.push(spec);
    }
    Ok(out)
}

impl Spec {
    fn fault(&self) -> Option<&'static str> {
        let twice = |n: usize| self.server[..n].iter().any(|s| s.name == self.server[n].name);
        let sound = |c: &ClassSpec| {
            let (aim, deadline) =
                (c.aim_ms.unwrap_or(self.aim_ms), c.deadline_ms.unwrap_or(self.deadline_ms));
            (1..=deadline).contains(&aim) && deadline <= 86_400_000 && c.worth_percent != Some(0)
        };
        let tests = [
            (
                self.class.iter().all(sound),
                "class: expected aim_ms from 1 to deadline_ms, and a worth above 0",
            ),
            (self.listen.ip().is_loopback(), "listen: expected a loopback address"),
            (
                self.discovery.is_some() == self.server.is_empty(),
                "expected either discovery or [[postgres.server]]",
            ),
            (!(0..self.server.len()).any(twice), "server.name: each may be there once"),
            (!self.databases.is_empty(), "databases: expected one at least"),
            (!self.user.is_empty(), "user: expected one at least"),
            ((1..=100_000).contains(&self.connections), "connections: expected 1 to 100000"),
            ((1..=100_000).contains(&self.clients), "clients: expected 1 to 100000"),
            ((1..=self.deadline_ms).contains(&self.aim_ms), "aim_ms: expected 1 to deadline_ms"),
            (self.deadline_ms <= 86_400_000, "deadline_ms: expected a day at most"),
        ];
        tests.into_iter().find(|t| !t.0).map(|t| t.1)
    }

    /// Which class is whose.
    fn rules(&self) -> Vec<Rule> {
        let rule = |(n, c): (usize, &ClassSpec)| Rule {
            class: ClassId(n),
            user: c.user.clone(),
            database: c.database.clone(),
            application: c.application_name.clone(),
            comment: c.comment.clone(),
            prefix: c.prefix.clone(),
        };
        self.class.iter().enumerate().map(rule).collect()
    }

    /// Descriptors that it may take.
    pub(crate) fn descriptors(&self) -> usize {
        self.clients + SPARE + self.connections
    }

    /// The module's settings: the classes, a last one that must never run twice, and all else as the node has it.
    fn settings(&self, node: &Settings) -> Settings {
        let class = |c: Option<&ClassSpec>| Class {
            latency_objective: Micros(c.and_then(|c| c.aim_ms).unwrap_or(self.aim_ms) * 1000),
            objective_per_work_hint: 0.0,
            side_effects: if c.is_some_and(|c| c.repeatable) {
                SideEffects::None
            } else {
                SideEffects::NonIdempotent
            },
            priority_weight: f64::from(c.and_then(|c| c.worth_percent).unwrap_or(100)) / 100.0,
            late_value_factor: 0.5,
            retired: false,
        };
        let all = || self.class.iter().map(Some).chain([None]);
        let mut out = Settings { names: Names::default(), ..node.clone() };
        (out.config.classes, out.config.tenants, out.config.zone) =
            (all().map(class).collect(), Vec::new(), ZoneId(0));
        // Two attempts of one transaction would share one client's streams.
        (out.config.cross_zone_cost, out.config.allow_hedging) = (0.0, false);
        if self.discovery.is_none() {
            out.config.discovery = DiscoveryMode::Push;
        }
        let deadline = |c: Option<&ClassSpec>| c.and_then(|c| c.deadline_ms).unwrap_or(self.deadline_ms);
        out.network.deadlines = all().map(|c| Micros(deadline(c) * 1000)).collect();
        out
    }
}

/// Why a front does not run.
#[derive(Debug, Error)]
pub(crate) enum PostgresError {
    /// The password cannot be read.
    #[error("postgres: password_file {0}: {1}")]
    Password(PathBuf, std::io::Error),
    /// The address is taken, or there are no random numbers.
    #[error("postgres: {0}: {1}")]
    Start(SocketAddr, std::io::Error),
    /// The module does not take its settings.
    #[error("postgres: {0}")]
    Unsound(#[from] ConfigError),
}

/// A front that runs.
pub(crate) struct Running {
    at: SocketAddr,
    front: Rc<Front>,
    host: Rc<Host>,
    servers: Rc<Servers>,
}

impl Running {
    /// One line on it since the last.
    pub(crate) fn report(&self) {
        info_span!("postgres", at = %self.at).in_scope(|| {
            self.host.log_counts();
            info!(clients = self.front.clients(), servers = self.servers.open(), "sessions");
        });
    }

    /// Sessions end: idle ones now, the others with their transactions.
    pub(crate) fn stop(&self) {
        self.front.stop();
    }
}

/// Starts a front beside the others of this node.
///
/// # Errors
/// Where it cannot run: nothing of it does then.
pub(crate) fn start(
    spec: &Spec, node: &Settings, seed: u64, clock: Clock, state: &Path,
) -> Result<Running, PostgresError> {
    let password = spec.login.password_file.as_ref().map(|path| {
        let text = std::fs::read_to_string(path).map_err(|e| PostgresError::Password(path.clone(), e))?;
        Ok::<_, PostgresError>(text.lines().next().unwrap_or_default().to_string())
    });
    let login = Login {
        user: spec.login.user.clone(),
        database: spec.login.database.clone(),
        password: password.transpose()?,
    };
    let settings = spec.settings(node);
    let mode = settings.config.discovery;
    let servers = Servers::new(login, &settings.network, spec.connections);
    let balancer = Balancer::new(settings.config.clone(), seed)?;
    let lines: Vec<Rc<dyn ConnectionPools>> = vec![servers.clone()];
    let host = Host::new(balancer, settings, clock, lines, Cordon::load(state), OptionalServices::default());
    let io = |e| PostgresError::Start(spec.listen, e);
    let listener = lotusdeck_proxy::server::listen(spec.listen).map_err(io)?;
    let at = listener.local_addr().unwrap_or(spec.listen);
    let users = spec.user.iter().map(|u| User { name: u.name.clone(), verifier: u.verifier.0.clone() });
    let told = FrontSettings {
        databases: spec.databases.clone(),
        users: users.collect(),
        clients: spec.clients,
        rules: spec.rules(),
    };
    let front = Front::new(host.clone(), servers.clone(), told).map_err(io)?;
    tokio::task::spawn_local(host.clone().run_timers());
    tokio::task::spawn_local(host.clone().follow_cordon_file());
    match spec.discovery {
        Some(from) => {
            let (moved, discovery) = watch::channel((from, mode));
            let host = host.clone();
            tokio::task::spawn_local(async move {
                let _moves = moved; // for as long as it is followed
                discovery::watch(host, discovery, 0, None).await;
            });
        }
        None => {
            let line = |s: &ServerSpec| {
                let entry = Backend { state: BackendState::Ready, ..Backend::default() };
                let row = EndpointRecord::new(&s.name, &s.address.to_string(), "", &s.kind, entry);
                Endpoint { name: s.name.clone(), address: s.address, state: BackendState::Ready, row }
            };
            host.update_endpoints(ListUpdate::Full, spec.server.iter().map(line).collect::<Vec<_>>());
        }
    }
    tokio::task::spawn_local(front.clone().run(listener));
    info!(address = %at, servers = spec.server.len(), users = spec.user.len(), "takes postgres clients");
    Ok(Running { at, front, host, servers })
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = r#"
[[postgres]]
listen = "127.0.0.1:6432"
databases = ["scores"]
user = [{ name = "ann", verifier = "SCRAM-SHA-256$4096:c2FsdA==$BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=:BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=" }]
login = { user = "deck", database = "scores" }
server = [{ name = "pg-1", address = "127.0.0.1:5433" }]
"#;

    #[test]
    fn fronts_are_read_and_faults_have_a_place() {
        let specs = read(TEXT).unwrap();
        assert!(specs.len() == 1 && specs[0].connections == 40 && specs[0].deadline_ms == 30_000);
        assert_eq!(read("[http]\n"), Ok(Vec::new()));
        for (from, to, told) in [
            ("127.0.0.1:6432", "0.0.0.0:6432", "loopback"),
            ("server = [{ name = \"pg-1\", address = \"127.0.0.1:5433\" }]", "", "either discovery"),
            ("SCRAM-SHA-256$4096", "md5", "expected SCRAM-SHA-256"),
            ("databases = [\"scores\"]", "databases = []", "one at least"),
            ("databases", "databaess", "databaess"),
        ] {
            let fault = read(&TEXT.replace(from, to)).unwrap_err();
            assert!(fault.text.contains(told), "{}", fault.text);
        }
        let wrong = TEXT.replace("deck\"", "deck\", pass = 1");
        let fault = read(&wrong).unwrap_err();
        assert!(wrong[fault.at..].starts_with("pass"), "at {}: {}", fault.at, fault.text);
    }
}
