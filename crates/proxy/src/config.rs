//! `NODE_CONFIG`: what this proxy is told at its start.

use crate::discovery::List;
use lotusdeck_policy::settings::Settings;
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Everything that the program starts with.
pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call; nowhere if absent.
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that all processes of the proxy may hold.
    pub memory: usize,
    /// The list as this proxy last had it.
    pub known: List,
    pub settings: Settings,
    pub file: InForce,
}

/// Why there is no usable configuration.
#[derive(Debug)]
pub enum NodeError {
    Unset,
    Unreadable(String, std::io::Error),
    Malformed(String, serde_json::Error),
    Settings(String),
    Missing(String),
    Admin(String),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Unset => write!(f, "NODE_CONFIG is not set: expected the path of the configuration"),
            NodeError::Unreadable(path, e) => write!(f, "cannot read NODE_CONFIG {path}: {e}"),
            NodeError::Malformed(path, e) => write!(f, "NODE_CONFIG {path}: {e}"),
            NodeError::Settings(text) => write!(f, "settings: {text}"),
            NodeError::Missing(key) => write!(f, "{key}: missing, though the file in force has it"),
            NodeError::Admin(text) => write!(f, "NODE_ADMIN_ADDR: expected address:port, got {text:?}"),
        }
    }
}

impl std::error::Error for NodeError {}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    admin_addr: Option<SocketAddr>,
    seed: Value,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: List,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// The file in force, and where it lies.
pub struct InForce(Value);

/// What a new file may change while the program runs.
pub struct Change {
    pub discovery: SocketAddr,
    pub settings: Settings,
}

impl InForce {
    /// The file as it is now, whole: where anything is wrong with it nothing of it is taken.
    pub fn reread(&mut self) -> Result<Change, NodeError> {
        let (path, text) = text()?;
        let new = serde_json::from_str(&text).map_err(|e| NodeError::Malformed(path.clone(), e))?;
        if let Some(key) = missing(&self.0, &new, "") {
            return Err(NodeError::Missing(key));
        }
        let file = File::deserialize(&new).map_err(|e| NodeError::Malformed(path, e))?;
        let settings = Settings::read(&file.settings).map_err(NodeError::Settings)?;
        self.0 = new;
        Ok(Change { discovery: file.discovery, settings })
    }
}

/// Keys that the settings may do without.
const OPTIONAL: [&str; 2] = ["family_info", "fleet"];

/// The first key that `old` has and `new` has not. A file that was cut or half edited may still parse and hold
/// all that this program reads; the others who read it would miss the rest.
fn missing(old: &Value, new: &Value, path: &str) -> Option<String> {
    let keys = old.as_object()?.iter().filter(|(key, _)| !OPTIONAL.contains(&key.as_str()));
    keys.into_iter().find_map(|(key, old)| {
        let path = format!("{path}{}{key}", if path.is_empty() { "" } else { "." });
        match new.get(key) {
            Some(new) => missing(old, new, &path),
            None => Some(path),
        }
    })
}

fn text() -> Result<(String, String), NodeError> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| NodeError::Unset)?;
    let text = std::fs::read_to_string(&path).map_err(|e| NodeError::Unreadable(path.clone(), e))?;
    Ok((path, text))
}

/// The environment's word goes before the file's: it is the process's own, the file may be shared.
fn admin(file: Option<SocketAddr>) -> Result<Option<SocketAddr>, NodeError> {
    match std::env::var("NODE_ADMIN_ADDR") {
        Ok(text) if !text.is_empty() => text.parse().map(Some).map_err(|_| NodeError::Admin(text)),
        _ => Ok(file),
    }
}

impl Node {
    /// What the files in `$TMPDIR` begin with that this proxy shares with its successor: no other proxy's.
    pub fn state(&self) -> PathBuf {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
        let own: String = format!("{}-{}", self.name, self.listen).chars().map(plain).collect();
        std::env::temp_dir().join(format!("lotusdeck-{own}"))
    }

    pub fn read() -> Result<Node, NodeError> {
        let (path, text) = text()?;
        let whole: Value = serde_json::from_str(&text).map_err(|e| NodeError::Malformed(path.clone(), e))?;
        let file = File::deserialize(&whole).map_err(|e| NodeError::Malformed(path, e))?;
        let settings = Settings::read(&file.settings).map_err(NodeError::Settings)?;
        let hex = file.seed.as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
        let seed = hex.or(file.seed.as_u64());
        let bad_seed = || NodeError::Settings("seed: expected a number or up to 16 hex digits".into());
        Ok(Node {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            admin: admin(file.admin_addr)?,
            seed: seed.ok_or_else(bad_seed)?,
            sockets: file.limits.sockets.max(64),
            memory: file.limits.memory_mb << 20,
            known: file.known,
            settings,
            file: InForce(whole),
        })
    }
}
