//! The two state files of one proxy: their paths, and how they are read and written.

use super::now_ms;
use crate::operator::StateSection;
use lotusdeck_proxy::endpoint_list::EndpointList;
use lotusdeck_state::{decode, encode, Estimates, Persisted, ReadError, SavedEndpoints};
use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// File extension of the endpoint list.
pub(super) const ENDPOINTS: &str = "state";
/// File extension of the estimates.
pub(super) const ESTIMATES: &str = "learned";

/// Why a state file is not used.
#[derive(Debug, Error)]
pub(super) enum StateFileError {
    /// The file does not exist.
    #[error("the file does not exist")]
    Missing,
    /// The file cannot be read.
    #[error("cannot read: {0}")]
    Io(#[source] std::io::Error),
    /// The file is damaged or has another format.
    #[error(transparent)]
    Format(#[from] ReadError),
    /// The file was written at another site.
    #[error("kept for site {written:?}, this is {own:?}")]
    Site {
        /// The site in the file.
        written: String,
        /// The site of the operator file.
        own: String,
    },
    /// The file was written by another proxy.
    #[error("kept by proxy {0:?}")]
    Proxy(String),
    /// The endpoint list in the file does not have the expected form.
    #[error("invalid endpoint list: {0}")]
    List(#[source] serde_json::Error),
}

/// Returns a file name for the proxy's name: replaces characters that are unsafe in a path, and removes leading dots.
pub(super) fn file_name(proxy: &str) -> String {
    let is_safe = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let name: String = proxy.chars().map(|c| if is_safe(c) { c } else { '_' }).collect();
    name.trim_start_matches('.').to_string()
}

/// An endpoint list, and the content of the file that it was read from.
pub(super) struct ReadEndpoints {
    pub saved: SavedEndpoints,
    pub list: EndpointList,
}

/// The location of one proxy's state files.
#[derive(Clone)]
pub(crate) struct StateLocation {
    pub(super) folder: PathBuf,
    site: String,
    proxy: String,
}

impl StateLocation {
    /// Creates the location of the state of the proxy named `proxy`.
    pub(crate) fn new(section: &StateSection, folder: &Path, proxy: &str) -> StateLocation {
        StateLocation { folder: folder.into(), site: section.site.clone(), proxy: proxy.into() }
    }

    /// Returns the path of the file with the given extension.
    pub(super) fn path(&self, extension: &str) -> PathBuf {
        self.folder.join(format!("{}.{extension}", file_name(&self.proxy)))
    }

    /// Reads a file, and verifies its format, its site and its proxy.
    pub(super) fn read<T: Persisted>(&self, extension: &str) -> Result<T, StateFileError> {
        let bytes = std::fs::read(self.path(extension)).map_err(|error| match error.kind() {
            ErrorKind::NotFound => StateFileError::Missing,
            _ => StateFileError::Io(error),
        })?;
        let saved: T = decode(&bytes)?;
        let (site, proxy) = saved.origin();
        if site != self.site {
            return Err(StateFileError::Site { written: site.into(), own: self.site.clone() });
        }
        if proxy != self.proxy {
            return Err(StateFileError::Proxy(proxy.into()));
        }
        Ok(saved)
    }

    /// Reads the endpoint list.
    pub(super) fn read_endpoints(&self) -> Result<ReadEndpoints, StateFileError> {
        let saved: SavedEndpoints = self.read(ENDPOINTS)?;
        let list = serde_json::from_slice(&saved.list).map_err(StateFileError::List)?;
        Ok(ReadEndpoints { saved, list })
    }

    /// Writes a file atomically: a temporary file is written, synced, and renamed over the old one.
    fn write<T: Persisted>(&self, extension: &str, saved: &T) -> std::io::Result<()> {
        let path = self.path(extension);
        let temporary = self.path(&format!("{extension}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(&encode(saved))?;
        file.sync_all()?;
        std::fs::rename(&temporary, &path)?;
        // The rename is durable only after the folder is synced.
        File::open(&self.folder).and_then(|folder| folder.sync_all())
    }

    /// Writes the file of the endpoint list.
    pub(super) fn write_endpoints(&self, list: &EndpointList) -> std::io::Result<()> {
        let body = serde_json::to_vec(list).map_err(std::io::Error::other)?;
        let saved = SavedEndpoints {
            site: self.site.clone(),
            proxy: self.proxy.clone(),
            written_ms: now_ms(),
            index: list.version,
            list: body,
        };
        self.write(ENDPOINTS, &saved)
    }

    /// Writes the file of the estimates.
    pub(super) fn write_estimates(&self, estimates: Estimates) -> std::io::Result<()> {
        let estimates = Estimates { site: self.site.clone(), proxy: self.proxy.clone(), ..estimates };
        self.write(ESTIMATES, &estimates)
    }
}
