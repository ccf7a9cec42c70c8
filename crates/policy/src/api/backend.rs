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
    /// Its state in the list.
    pub state: BackendState,
    /// When its process started; `None` means long ago.
    pub started_at: Option<Time>,
}

/// Which requests a backend may receive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// It may receive new requests.
    Ready,
    /// It receives no new requests and completes those in flight.
    Draining,
    /// It was removed from the list and receives no requests.
    #[default]
    Removed,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries that changed.
    Changes,
    /// The full list; backends that are not in it are removed.
    Full,
    /// The full list from before a restart, possibly outdated.
    Cached,
    /// Nothing: the poll or the subscription failed, and the current list stays valid.
    Failed,
}
