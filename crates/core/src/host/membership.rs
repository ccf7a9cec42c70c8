//! Applies endpoint lists and the operators' cordons to the registry and the balancer.

use super::{Host, LOG_TARGET};
use crate::cordon::{CordonError, FILE_CHECK_INTERVAL};
use crate::registry::EndpointUpdate;
use lotusdeck_policy::{BackendId, Event, ListUpdate};
use std::collections::HashSet;
use std::rc::Rc;
use tracing::info;

impl Host {
    /// Applies an endpoint list or the changes to one.
    pub fn update_endpoints(self: &Rc<Self>, update: ListUpdate, endpoints: impl Into<EndpointUpdate>) {
        let backends = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let in_flight: HashSet<BackendId> =
                state.attempts.values().map(|attempt| attempt.backend).collect();
            let is_cordoned = |name: &str| self.cordon.contains(name);
            state.registry.update(update, endpoints.into(), &mut state.active.names, &in_flight, is_cordoned)
        };
        self.apply_cordons();
        self.handle_event(Event::EndpointsUpdated { update, backends });
    }

    /// Records that discovery moved to another address: lists older than the move do not end the draining of
    /// backends that drain now.
    pub fn discovery_moved(&self) {
        self.state.borrow_mut().registry.record_move();
    }

    /// Returns whether the list contains or recently contained a backend of that id, or a backend of that id is
    /// cordoned.
    pub fn knows_backend(&self, id: &str) -> bool {
        self.state.borrow().registry.knows(id) || self.cordon.contains(id)
    }

    /// Cordons a backend or lifts its cordon; returns whether that changed anything.
    ///
    /// # Errors
    /// Returns an error if the change could not be saved; it has not taken effect then.
    pub async fn set_cordon(self: &Rc<Self>, id: &str, cordoned: bool) -> Result<bool, CordonError> {
        let changed = self.cordon.set(id, cordoned).await;
        self.apply_cordons();
        changed
    }

    /// Applies the changes that another process of this proxy makes to the cordon file. Never returns.
    pub async fn follow_cordon_file(self: Rc<Self>) {
        loop {
            tokio::time::sleep(FILE_CHECK_INTERVAL).await;
            if self.cordon.refresh() {
                info!(target: LOG_TARGET, cordoned = self.cordon.count(), "cordons changed by another process");
                self.apply_cordons();
            }
        }
    }

    /// Keeps connections only to usable backends, and notifies the balancer if the set of cordoned backends changed.
    fn apply_cordons(self: &Rc<Self>) {
        let changed = {
            let mut state = self.state.borrow_mut();
            let usable = state.registry.usable(|name| self.cordon.contains(name));
            self.pools.iter().for_each(|pools| pools.retain_backends(&usable));
            state.registry.cordon_change(|name| self.cordon.contains(name))
        };
        if let Some(backends) = changed {
            self.handle_event(Event::Cordoned { backends });
        }
    }
}
