//! The active settings and their replacement.

use super::Host;
use crate::id_usage::IdGuard;
use crate::settings_change::{ActiveSettings, Outdated, PreparedSettings};
use lotusdeck_policy::settings::Settings;
use lotusdeck_policy::{ClassId, Event, TenantId};
use std::rc::Rc;
use std::sync::Arc;

impl Host {
    /// Returns the settings that apply to a request that arrives now.
    pub fn settings(&self) -> Arc<Settings> {
        self.state.borrow().active.settings.clone()
    }

    /// Returns a copy of the state that new settings are merged with on another thread.
    pub fn active_settings(&self) -> ActiveSettings {
        let state = self.state.borrow();
        let mut in_use = self.id_usage.ids_in_use();
        in_use.classes.extend(state.balancer.classes_in_use());
        ActiveSettings { settings: state.active.settings.clone(), names: state.active.names.clone(), in_use }
    }

    /// Applies new settings in one step, and returns a description of what changed, for the log. The time depends on
    /// the number of names only for the data that the balancer stores by id.
    ///
    /// # Errors
    /// Returns an error if they were not merged with the active settings.
    pub fn apply_settings(self: &Rc<Self>, new: PreparedSettings) -> Result<String, Outdated> {
        {
            let mut state = self.state.borrow_mut();
            if !state.active.names.is_same_revision(&new.merged_with) {
                return Err(Outdated);
            }
            self.pools.iter().for_each(|pools| pools.apply_settings(&new.settings.network));
            state.active.number += 1;
            state.active.names = new.settings.names.clone();
            state.active.settings = new.settings;
        }
        self.handle_event(Event::ConfigApplied { config: new.config, reassigned: new.reassigned });
        Ok(new.difference)
    }

    /// Prevents ids obtained from [`Host::settings`] for a request that is being read from being reassigned by later
    /// settings, until the returned guard is dropped. Must be called before other settings are applied.
    pub fn hold_ids(&self, class: ClassId, tenant: Option<TenantId>) -> IdGuard {
        self.id_usage.reserve(class, tenant)
    }
}
