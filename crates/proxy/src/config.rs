//! The node configuration, which the proxy reads from its file at the start. The keys of that file appear in `file`,
//! `outline` and `keys` only.

mod error;
mod file;
mod keys;
mod outline;

use crate::endpoint_list::EndpointList;
pub use error::NodeConfigError;
use file::read_file;
pub use file::{ActiveConfigFile, ConfigChange};
use lotusdeck_policy::settings::Settings;
pub use outline::SettingsOutline;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Minimum number of descriptors that a proxy works with: a lower limit in its file is raised to this.
const MIN_DESCRIPTORS: usize = 64;

/// The configuration that the program starts with.
pub struct NodeConfig {
    /// The proxy's name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address at which operators connect, if any.
    pub admin: Option<SocketAddr>,
    /// The seed of the policy's random numbers.
    pub seed: u64,
    /// Maximum number of descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Maximum memory that all processes of the proxy together may use, in bytes.
    pub memory_bytes: usize,
    /// The endpoint list as this proxy last received it.
    pub cached_endpoints: EndpointList,
    /// The settings of the policy and the network.
    pub settings: Settings,
    /// The file that the configuration was read from.
    pub active_file: ActiveConfigFile,
}

impl NodeConfig {
    /// Returns the path prefix of the files in `$TMPDIR` that this proxy shares with its successor, and with no other
    /// proxy.
    pub fn state_path_prefix(&self) -> PathBuf {
        let to_path_char = |character: char| if character.is_ascii_alphanumeric() { character } else { '-' };
        let instance: String = format!("{}-{}", self.name, self.listen).chars().map(to_path_char).collect();
        std::env::temp_dir().join(format!("lotusdeck-{instance}"))
    }

    /// Reads and checks the file. `admin` overrides the address for operators in the file, as several proxies may
    /// share one file.
    ///
    /// # Errors
    /// Returns the first fault in the file; `lotusdeck check` lists all of them.
    pub fn read(path: &Path, admin: Option<SocketAddr>) -> Result<NodeConfig, NodeConfigError> {
        let read = read_file(path, None)?;
        let seed = read.wire.seed();
        let file = read.wire;
        Ok(NodeConfig {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            admin: admin.or(file.admin_addr),
            seed: seed.ok_or(NodeConfigError::Seed)?,
            max_descriptors: file.limits.sockets.max(MIN_DESCRIPTORS),
            memory_bytes: file.limits.memory_mb << 20,
            cached_endpoints: file.known,
            settings: read.settings,
            active_file: read.active,
        })
    }
}
