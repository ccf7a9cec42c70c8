//! `[[postgres]]`: fronts for PostgreSQL clients.

use super::arrays::{parse_array, Expectation};
use super::Fault;
use lotusdeck_postgres::scram::{ScramError, Verifier};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The maximum deadline, a day, ms.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// The maximum number of clients of a front, and of connections to its servers.
const MAX_CONNECTIONS: usize = 100_000;

/// A section `[[postgres]]`: one front.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PostgresSection {
    /// The address for clients; must be a loopback address.
    pub listen: SocketAddr,
    /// The address of discovery for the list of servers, which has the same form as for HTTP. Either this or `servers`
    /// is set.
    #[serde(default)]
    pub discovery: Option<SocketAddr>,
    /// The servers, if there is no discovery.
    #[serde(default, rename = "server")]
    pub servers: Vec<ServerSection>,
    /// Databases that clients may connect to.
    pub databases: Vec<String>,
    /// The users who may connect.
    #[serde(rename = "user")]
    pub users: Vec<UserSection>,
    /// How this proxy logs in to servers.
    pub login: LoginSection,
    /// Connections to all servers together.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Clients connected at once.
    #[serde(default = "default_clients")]
    pub clients: usize,
    /// Classes and their rules; the first that matches a statement applies. Statements that match none are
    /// non-idempotent.
    #[serde(default, rename = "class")]
    pub classes: Vec<ClassSection>,
    /// The latency objective of a transaction, ms.
    #[serde(default = "default_objective_ms", rename = "aim_ms")]
    pub objective_ms: u64,
    /// The time after which a transaction is ended, ms.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServerSection {
    /// Its id, which `cordon` takes.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its kind of machine.
    #[serde(default)]
    pub kind: String,
}

/// A user who may connect.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UserSection {
    /// The role.
    pub name: String,
    /// The verifier of its password, as PostgreSQL stores it (`pg_authid.rolpassword`).
    pub verifier: StoredVerifier,
}

/// A class, and the rule for its statements: everything that is set must match.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClassSection {
    /// Whether a single statement outside a transaction may be retried while nothing of its answer has been sent to the
    /// client.
    #[serde(default, rename = "repeatable")]
    pub is_idempotent: bool,
    /// The latency objective, if it differs from that of the front, ms.
    #[serde(default, rename = "aim_ms")]
    pub objective_ms: Option<u64>,
    /// The deadline, if it differs from that of the front, ms.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Priority weight relative to the other classes, in hundredths; 100 if absent.
    #[serde(default, rename = "worth_percent")]
    pub weight_percent: Option<u32>,
    /// The role of the client.
    #[serde(default)]
    pub user: Option<String>,
    /// The database of the client.
    #[serde(default)]
    pub database: Option<String>,
    /// `application_name` of the start-up packet.
    #[serde(default)]
    pub application_name: Option<String>,
    /// The text of a comment at the start of the statement.
    #[serde(default)]
    pub comment: Option<String>,
    /// The text that the statement begins with.
    #[serde(default)]
    pub prefix: Option<String>,
}

/// A SCRAM verifier as PostgreSQL stores it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct StoredVerifier(pub Verifier);

impl TryFrom<String> for StoredVerifier {
    type Error = ScramError;
    fn try_from(text: String) -> Result<StoredVerifier, ScramError> {
        Verifier::parse(&text).map(StoredVerifier)
    }
}

/// How this proxy logs in to servers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoginSection {
    /// The role.
    pub user: String,
    /// The database.
    pub database: String,
    /// A file whose first line is the password.
    #[serde(default)]
    pub password_file: Option<PathBuf>,
}

fn default_connections() -> usize {
    40
}

fn default_clients() -> usize {
    200
}

fn default_objective_ms() -> u64 {
    1_000
}

fn default_deadline_ms() -> u64 {
    30_000
}

/// Parses all fronts in the text of an operator file.
///
/// # Errors
/// The first fault, and its offset.
pub(super) fn parse(text: &str) -> Result<Vec<PostgresSection>, Fault> {
    #[derive(Deserialize)]
    struct File {
        #[serde(default)]
        postgres: Vec<toml::Spanned<PostgresSection>>,
    }
    let file: File = parse_array(text, "postgres")?;
    let mut sections = Vec::new();
    for spanned in file.postgres {
        let offset = spanned.span().start;
        let section = spanned.into_inner();
        if let Some(message) = section.fault() {
            return Err(Fault { offset, message: format!("postgres: {message}") });
        }
        sections.push(section);
    }
    Ok(sections)
}

impl PostgresSection {
    /// Returns the message of the first fault in the section.
    fn fault(&self) -> Option<&'static str> {
        let connections = 1..=MAX_CONNECTIONS;
        Expectation::first_failed(&[
            Expectation {
                is_met: self.classes.iter().all(|class| self.is_class_valid(class)),
                message: "class: expected aim_ms from 1 to deadline_ms, and a worth above 0",
            },
            Expectation {
                is_met: self.listen.ip().is_loopback(),
                message: "listen: expected a loopback address",
            },
            Expectation {
                is_met: self.discovery.is_some() == self.servers.is_empty(),
                message: "expected either discovery or [[postgres.server]]",
            },
            Expectation { is_met: self.has_unique_servers(), message: "server.name: each may be there once" },
            Expectation { is_met: !self.databases.is_empty(), message: "databases: expected one at least" },
            Expectation { is_met: !self.users.is_empty(), message: "user: expected one at least" },
            Expectation {
                is_met: connections.contains(&self.connections),
                message: "connections: expected 1 to 100000",
            },
            Expectation {
                is_met: connections.contains(&self.clients),
                message: "clients: expected 1 to 100000",
            },
            Expectation {
                is_met: (1..=self.deadline_ms).contains(&self.objective_ms),
                message: "aim_ms: expected 1 to deadline_ms",
            },
            Expectation {
                is_met: self.deadline_ms <= MAX_DEADLINE_MS,
                message: "deadline_ms: expected a day at most",
            },
        ])
    }

    fn is_class_valid(&self, class: &ClassSection) -> bool {
        let objective_ms = class.objective_ms.unwrap_or(self.objective_ms);
        let deadline_ms = class.deadline_ms.unwrap_or(self.deadline_ms);
        (1..=deadline_ms).contains(&objective_ms)
            && deadline_ms <= MAX_DEADLINE_MS
            && class.weight_percent != Some(0)
    }

    fn has_unique_servers(&self) -> bool {
        let is_repeated = |index: usize| {
            self.servers[..index].iter().any(|earlier| earlier.name == self.servers[index].name)
        };
        !(0..self.servers.len()).any(is_repeated)
    }
}
