//! The endpoint list.

use super::id::{BackendId, CellId, KindId, ZoneId};
use super::time::Time;

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// The backend.
    pub id: BackendId,
    /// A hash of its name, the same at every proxy, by which backends are ordered.
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
    /// It may be sent new requests.
    Ready,
    /// It is sent no new requests, and completes those in flight.
    Draining,
    /// It is sent nothing, as it has left the list.
    #[default]
    Removed,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries that changed.
    Changes,
    /// The full list; backends that are not in it have left.
    Full,
    /// The full list from before a restart, possibly outdated.
    Cached,
    /// Nothing: the poll or the subscription failed, and the current list stays valid.
    Failed,
}
