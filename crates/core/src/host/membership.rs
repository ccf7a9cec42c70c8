//! Which backends there are and which of them operators have taken out: lists and cordons.

use super::{Host, LOG_TARGET};
use crate::cordon::{CordonError, FILE_CHECK_INTERVAL};
use crate::registry::EndpointUpdate;
use lotusdeck_policy::{BackendId, Event, ListUpdate};
use std::collections::HashSet;
use std::rc::Rc;
use tracing::info;

impl Host {
    /// News of the list.
    pub fn update_endpoints(self: &Rc<Self>, update: ListUpdate, news: impl Into<EndpointUpdate>) {
        let backends = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let holds: HashSet<BackendId> = s.attempts.values().map(|open| open.backend).collect();
            s.registry.update(update, news.into(), &mut s.names, &holds, |name| self.cordon.contains(name))
        };
        self.apply_cordons();
        self.handle_event(Event::EndpointsUpdated { update, backends });
    }

    /// Whether the list has or had a backend of that id.
    pub fn knows_backend(&self, id: &str) -> bool {
        self.state.borrow().registry.knows(id) || self.cordon.contains(id)
    }

    /// An operator takes a backend out or gives it back; whether that changed anything.
    pub async fn set_cordon(self: &Rc<Self>, id: &str, out: bool) -> Result<bool, CordonError> {
        let changed = self.cordon.set(id, out).await;
        self.apply_cordons();
        changed
    }

    /// Follows what another process of this proxy is told, for as long as the program runs.
    pub async fn follow_cordon_file(self: Rc<Self>) {
        loop {
            tokio::time::sleep(FILE_CHECK_INTERVAL).await;
            if self.cordon.refresh() {
                info!(target: LOG_TARGET, cordoned = self.cordon.count(), "cordons changed by another process");
                self.apply_cordons();
            }
        }
    }

    /// Keeps connections only to backends that may be sent requests, and tells the module of a change.
    fn apply_cordons(self: &Rc<Self>) {
        let banned = {
            let mut s = self.state.borrow_mut();
            let usable = s.registry.usable(|name| self.cordon.contains(name));
            self.pools.iter().for_each(|lines| lines.retain_backends(&usable));
            s.registry.cordon_change(|name| self.cordon.contains(name))
        };
        if let Some(backends) = banned {
            self.handle_event(Event::Cordoned { backends });
        }
    }
}
