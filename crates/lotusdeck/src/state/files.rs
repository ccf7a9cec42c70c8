//! The two state files of one proxy: where they lie, and how they are read and written.

use super::now_ms;
use crate::operator::StateSection;
use lotusdeck_proxy::endpoint_list::EndpointList;
use lotusdeck_state::{decode, encode, Estimates, Persisted, ReadError, SavedEndpoints};
use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The file name's extension for the endpoint list.
pub(super) const ENDPOINTS: &str = "state";
/// The file name's extension for the estimates.
pub(super) const ESTIMATES: &str = "learned";

/// Why a state file is not used.
#[derive(Debug, Error)]
pub(super) enum StateFileError {
    /// There is none.
    #[error("none kept yet")]
    Missing,
    /// The system does not give it.
    #[error("cannot read: {0}")]
    Io(#[source] std::io::Error),
    /// It is damaged or of another format.
    #[error(transparent)]
    Format(#[from] ReadError),
    /// Another site wrote it.
    #[error("kept for site {written:?}, this is {own:?}")]
    Site {
        /// The site in the file.
        written: String,
        /// The site of the operator file.
        own: String,
    },
    /// Another proxy wrote it.
    #[error("kept by proxy {0:?}")]
    Proxy(String),
    /// The endpoint list in it is not of the expected form.
    #[error("the list in it: {0}")]
    List(#[source] serde_json::Error),
}

/// A file name of the proxy's name: a name may hold what a path must not.
pub(super) fn file_name(proxy: &str) -> String {
    let is_safe = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let name: String = proxy.chars().map(|c| if is_safe(c) { c } else { '_' }).collect();
    name.trim_start_matches('.').to_string()
}

/// An endpoint list that was read, and what the file says of it.
pub(super) struct ReadEndpoints {
    pub saved: SavedEndpoints,
    pub list: EndpointList,
}

/// Where the state of one proxy lies.
#[derive(Clone)]
pub(crate) struct StateLocation {
    pub(super) folder: PathBuf,
    site: String,
    proxy: String,
}

impl StateLocation {
    /// `proxy` is the name of this proxy.
    pub(crate) fn new(section: &StateSection, folder: &Path, proxy: &str) -> StateLocation {
        StateLocation { folder: folder.into(), site: section.site.clone(), proxy: proxy.into() }
    }

    /// The file with that extension.
    pub(super) fn path(&self, extension: &str) -> PathBuf {
        self.folder.join(format!("{}.{extension}", file_name(&self.proxy)))
    }

    /// What a file holds, checked whole.
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

    /// The endpoint list.
    pub(super) fn read_endpoints(&self) -> Result<ReadEndpoints, StateFileError> {
        let saved: SavedEndpoints = self.read(ENDPOINTS)?;
        let list = serde_json::from_slice(&saved.list).map_err(StateFileError::List)?;
        Ok(ReadEndpoints { saved, list })
    }

    /// Writes whole or not at all: a temporary file, synced, is put in place of the old one.
    fn write<T: Persisted>(&self, extension: &str, saved: &T) -> std::io::Result<()> {
        let path = self.path(extension);
        let temporary = self.path(&format!("{extension}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(&encode(saved))?;
        file.sync_all()?;
        std::fs::rename(&temporary, &path)?;
        // The rename is durable only once the folder is.
        File::open(&self.folder).and_then(|folder| folder.sync_all())
    }

    /// Writes an endpoint list.
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

    /// Writes estimates.
    pub(super) fn write_estimates(&self, estimates: Estimates) -> std::io::Result<()> {
        let estimates = Estimates { site: self.site.clone(), proxy: self.proxy.clone(), ..estimates };
        self.write(ESTIMATES, &estimates)
    }
}
