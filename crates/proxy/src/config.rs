//! The node configuration: what this proxy is told at its start. The keys of its file are named in `file`, `outline` and
//! `keys` only.

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

/// A proxy needs so many descriptors, whatever its file says.
const MIN_DESCRIPTORS: usize = 64;

/// Everything that the program starts with.
pub struct NodeConfig {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Where operators connect; nowhere if absent.
    pub admin: Option<SocketAddr>,
    /// The seed of the policy's random draws.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that all processes of the proxy may hold, in bytes.
    pub memory_bytes: usize,
    /// The list as this proxy last had it.
    pub cached_endpoints: EndpointList,
    /// The settings of the policy and the network.
    pub settings: Settings,
    /// The file that it was read from.
    pub active_file: ActiveConfigFile,
}

impl NodeConfig {
    /// The beginning of the paths of the files in `$TMPDIR` that this proxy shares with its successor, and with no other
    /// proxy.
    pub fn state_path_prefix(&self) -> PathBuf {
        let to_plain = |symbol: char| if symbol.is_ascii_alphanumeric() { symbol } else { '-' };
        let own: String = format!("{}-{}", self.name, self.listen).chars().map(to_plain).collect();
        std::env::temp_dir().join(format!("lotusdeck-{own}"))
    }

    /// Reads and checks the file. `admin`: where operators connect whatever the file says, as the file may be shared.
    ///
    /// # Errors
    /// The first thing that is wrong with it; `lotusdeck check` lists all.
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
