//! The configuration file: its form, and the file that is active.

use super::error::NodeConfigError;
use super::keys::Keys;
use super::outline::SettingsOutline;
use crate::endpoint_list::EndpointList;
use lotusdeck_policy::settings::Settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The serialized form of the file, without its settings.
#[derive(Deserialize)]
pub(super) struct WireFile {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    #[serde(default)]
    pub admin_addr: Option<SocketAddr>,
    seed: Value,
    #[serde(default)]
    pub limits: WireLimits,
    #[serde(default)]
    pub known: EndpointList,
}

impl WireFile {
    /// Returns the seed, which the file gives as a number or in hex digits.
    pub(super) fn seed(&self) -> Option<u64> {
        let hex = self.seed.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
        hex.or(self.seed.as_u64())
    }
}

#[derive(Deserialize)]
#[serde(default)]
pub(super) struct WireLimits {
    pub sockets: usize,
    pub memory_mb: usize,
}

impl Default for WireLimits {
    fn default() -> WireLimits {
        WireLimits { sockets: 1024, memory_mb: 192 }
    }
}

/// The content of a file that was read and checked.
pub(super) struct ReadFile {
    pub wire: WireFile,
    pub settings: Settings,
    pub active: ActiveConfigFile,
}

/// Reads and checks a file. `active` is the active file, whose keys the new one must have.
pub(super) fn read_file(path: &Path, active: Option<&ActiveConfigFile>) -> Result<ReadFile, NodeConfigError> {
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(source) => return Err(NodeConfigError::Unreadable { file, source }),
    };
    let malformed = |source| NodeConfigError::Malformed { file: file.clone(), source };
    let document: Value = serde_json::from_str(&text).map_err(malformed)?;
    if let Some(key) = active.and_then(|active| active.keys.first_missing_in(&document)) {
        return Err(NodeConfigError::Missing(key));
    }
    let wire = WireFile::deserialize(&document).map_err(malformed)?;
    // Borrowed rather than copied, as the settings may be large.
    let settings = document.get("settings");
    let settings = settings.ok_or_else(|| malformed(serde::de::Error::missing_field("settings")))?;
    let active = ActiveConfigFile {
        path: path.to_path_buf(),
        keys: Arc::new(Keys::of(&document)),
        outline: SettingsOutline::of(settings),
    };
    Ok(ReadFile { wire, settings: Settings::read(settings)?, active })
}

/// The active file: its path, its keys, and the outline of its settings.
#[derive(Clone)]
pub struct ActiveConfigFile {
    path: PathBuf,
    keys: Arc<Keys>,
    outline: SettingsOutline,
}

/// What a new file may change while the program runs.
pub struct ConfigChange {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Everything else that may change.
    pub settings: Settings,
    /// The file that the change was read from, which becomes the active one when the change is applied.
    pub file: ActiveConfigFile,
}

impl ActiveConfigFile {
    /// Returns the outline of the file's settings.
    pub fn outline(&self) -> SettingsOutline {
        self.outline.clone()
    }

    /// Reads the file again; nothing is returned if any part of it is invalid.
    ///
    /// # Errors
    /// Returns the first fault in the file.
    pub fn reread(&self) -> Result<ConfigChange, NodeConfigError> {
        let read = read_file(&self.path, Some(self))?;
        Ok(ConfigChange { discovery: read.wire.discovery, settings: read.settings, file: read.active })
    }
}
