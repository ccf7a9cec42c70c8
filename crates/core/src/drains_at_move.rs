//! The backends that drained when discovery moved to another address. A list that is older than the one before the
//! move may still report them as ready.

use lotusdeck_policy::{Backend, BackendState, Time};
use std::collections::HashMap;

/// The backends that drained when discovery moved, by name, with the start of their process.
#[derive(Default)]
pub(crate) struct DrainsAtMove(HashMap<String, Option<Time>>);

impl DrainsAtMove {
    /// Records that a backend drains while discovery moves.
    pub(crate) fn record(&mut self, name: &str, backend: &Backend) {
        self.0.insert(name.to_owned(), backend.started_at);
    }

    /// Forgets all of them, as a full list that is not older than the move was received.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Forgets a backend, as an entry that is not older than the move was received.
    pub(crate) fn forget(&mut self, name: &str) {
        self.0.remove(name);
    }

    /// Returns the state of a backend that an entry older than the move reports: one that drained and has not been
    /// restarted since is not ready.
    pub(crate) fn state_by_older_entry(&self, name: &str, entry: &Backend) -> BackendState {
        let drained = self.0.get(name).is_some_and(|started_at| *started_at == entry.started_at);
        if drained && entry.state == BackendState::Ready {
            return BackendState::Draining;
        }
        entry.state
    }
}
