//! The node configuration: what this proxy is told at its start.

use crate::list::List;
use lotusdeck_policy::settings::{Faults, Settings};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

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
    pub file: FileInForce,
}

/// Why there is no usable configuration.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is no JSON, or not of this form.
    #[error("{0}: {1}")]
    Malformed(String, serde_json::Error),
    /// Its settings are at fault.
    #[error("settings: {0}")]
    Settings(#[from] Faults),
    /// The module does not take them.
    #[error("settings: {0}")]
    Unsound(#[from] lotusdeck_policy::ConfigError),
    /// The seed is no number.
    #[error("seed: expected a number or up to 16 hex digits")]
    Seed,
    /// A key that the file in force has.
    #[error("{0}: missing, though what is in force has it")]
    Missing(String),
}

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

/// The file in force: where it lies, and the keys that it has.
#[derive(Clone)]
pub struct FileInForce {
    path: PathBuf,
    keys: Arc<Keys>,
    outline: Outline,
}

/// The keys of an object and of the objects in it, without any value: tens of thousands of entries in its arrays take
/// no room here.
#[derive(Default)]
struct Keys(BTreeMap<String, Keys>);

impl Keys {
    fn of(value: &Value) -> Keys {
        let object = value.as_object().into_iter().flatten();
        Keys(object.map(|(key, value)| (key.clone(), Keys::of(value))).collect())
    }

    /// The first key that these have and `new` has not. A file that was cut or half edited may still parse and hold
    /// all that this program reads; the others who read it would miss the rest.
    fn missing(&self, new: &Value, path: &str) -> Option<String> {
        let keys = self.0.iter().filter(|(key, _)| !OPTIONAL.contains(&key.as_str()));
        keys.into_iter().find_map(|(key, inside)| {
            let path = format!("{path}{}{key}", if path.is_empty() { "" } else { "." });
            match new.get(key) {
                Some(new) => inside.missing(new, &path),
                None => Some(path),
            }
        })
    }
}

/// Keys of the settings that the platform tells each proxy: they come from its own file, wherever the others are from.
pub const OWN_KEYS: [&str; 3] = ["my_zone", "position", "group_size"];
/// Keys of the settings whose entries have names: which there are may change, and an outline leaves them out.
const NAMED_KEYS: [&str; 2] = ["profiles", "customers"];

/// Settings without their named entries: what it takes to check their successors, in a few hundred bytes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outline(Map<String, Value>);

impl Outline {
    fn of(settings: &Value) -> Outline {
        let keys = settings.as_object().into_iter().flatten();
        let kept = keys.filter(|(key, _)| !NAMED_KEYS.contains(&key.as_str()));
        Outline(kept.map(|(key, value)| (key.clone(), value.clone())).collect())
    }

    /// The same with another proxy file's own keys.
    pub fn with_own(&self, file: &Outline) -> Outline {
        let mut outline = self.clone();
        file.put_own(&mut outline.0);
        outline
    }

    fn keys(&self) -> Keys {
        Keys(self.0.iter().map(|(key, value)| (key.clone(), Keys::of(value))).collect())
    }

    fn put_own(&self, settings: &mut Map<String, Value>) {
        for key in OWN_KEYS {
            match self.0.get(key) {
                Some(value) => drop(settings.insert(key.into(), value.clone())),
                None => drop(settings.remove(key)),
            }
        }
    }

    /// Reads settings that come from elsewhere than the file, under this proxy's own keys; nothing is taken where any
    /// part is at fault, or lacks a key that these have.
    ///
    /// # Errors
    /// The first thing that is wrong with them.
    pub fn succeed(&self, mut settings: Value) -> Result<(Settings, Outline), NodeError> {
        settings.as_object_mut().into_iter().for_each(|settings| self.put_own(settings));
        if let Some(key) = self.keys().missing(&settings, "") {
            return Err(NodeError::Missing(key));
        }
        let read = Settings::read(&settings)?;
        Ok((read, Outline::of(&settings)))
    }
}

/// What a new file may change while the program runs.
pub struct Change {
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// All else that may change.
    pub settings: Settings,
    /// What it was read from: the file in force once the change is taken.
    pub file: FileInForce,
}

impl FileInForce {
    fn of(path: PathBuf, whole: &Value, settings: &Value) -> FileInForce {
        FileInForce { path, keys: Arc::new(Keys::of(whole)), outline: Outline::of(settings) }
    }

    /// Of its settings.
    pub fn outline(&self) -> Outline {
        self.outline.clone()
    }

    /// The file as it is now, whole: where anything is wrong with it nothing of it is taken.
    ///
    /// # Errors
    /// The first thing that is wrong with it.
    pub fn reread(&self) -> Result<Change, NodeError> {
        let (path, text) = text(&self.path)?;
        let new = serde_json::from_str(&text).map_err(|e| NodeError::Malformed(path.clone(), e))?;
        if let Some(key) = self.keys.missing(&new, "") {
            return Err(NodeError::Missing(key));
        }
        let (file, settings) = parts(&new).map_err(|e| NodeError::Malformed(path, e))?;
        let in_force = FileInForce::of(self.path.clone(), &new, settings);
        let settings = Settings::read(settings)?;
        Ok(Change { discovery: file.discovery, settings, file: in_force })
    }
}

/// Keys that the settings may do without.
const OPTIONAL: [&str; 2] = ["family_info", "fleet"];

/// What a file says, and its settings in it: no copy, as they may be large.
fn parts(whole: &Value) -> Result<(File, &Value), serde_json::Error> {
    let file = File::deserialize(whole)?;
    let settings = whole.get("settings").ok_or_else(|| serde::de::Error::missing_field("settings"))?;
    Ok((file, settings))
}

fn text(path: &Path) -> Result<(String, String), NodeError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| NodeError::Unreadable(name.clone(), e))?;
    Ok((name, text))
}

impl Node {
    /// What the files in `$TMPDIR` begin with that this proxy shares with its successor: no other proxy's.
    pub fn state(&self) -> PathBuf {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
        let own: String = format!("{}-{}", self.name, self.listen).chars().map(plain).collect();
        std::env::temp_dir().join(format!("lotusdeck-{own}"))
    }

    /// Reads and checks the file. `admin`: where operators call whatever the file says, as the file may be shared.
    ///
    /// # Errors
    /// The first thing that is wrong with it; `lotusdeck check` tells all.
    pub fn read(path: &Path, admin: Option<SocketAddr>) -> Result<Node, NodeError> {
        let at = path.to_path_buf();
        let (path, text) = text(path)?;
        let whole: Value = serde_json::from_str(&text).map_err(|e| NodeError::Malformed(path.clone(), e))?;
        let (file, settings) = parts(&whole).map_err(|e| NodeError::Malformed(path, e))?;
        let in_force = FileInForce::of(at, &whole, settings);
        let settings = Settings::read(settings)?;
        let hex = file.seed.as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
        let seed = hex.or(file.seed.as_u64());
        Ok(Node {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            admin: admin.or(file.admin_addr),
            seed: seed.ok_or(NodeError::Seed)?,
            sockets: file.limits.sockets.max(64),
            memory: file.limits.memory_mb << 20,
            known: file.known,
            settings,
            file: in_force,
        })
    }
}
