//! The endpoint list.

use super::id::{BackendId, CellId, KindId, ZoneId};
use super::time::Time;

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// The backend.
    pub id: BackendId,
    /// A hash of its name, the same at every proxy: it orders the backends.
    pub order_key: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind.
    pub kind: KindId,
    /// What it may be sent.
    pub state: BackendState,
    /// When its process started; `None` means long ago.
    pub started_at: Option<Time>,
}

/// What a backend may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// New requests.
    Ready,
    /// Nothing new: it completes what it has in flight.
    Draining,
    /// Nothing: it has left the list.
    #[default]
    Removed,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries that changed.
    Changes,
    /// The full list; backends that are absent have left it.
    Full,
    /// The full list as it was before a restart, perhaps out of date.
    Cached,
    /// The poll or the subscription failed; the present list stays.
    Failed,
}
