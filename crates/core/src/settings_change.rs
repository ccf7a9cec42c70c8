//! A change of settings: prepared on another thread, then applied by the event loop in one step.

use lotusdeck_policy::settings::{IdsInUse, Names, Settings, SettingsMerge};
use lotusdeck_policy::{Config, ReassignedIds};
use std::sync::Arc;
use thiserror::Error;

/// A copy of the active settings, for merging new ones on another thread.
pub struct ActiveSettings {
    pub(crate) settings: Arc<Settings>,
    pub(crate) names: Names,
    pub(crate) in_use: IdsInUse,
}

/// New settings that use the ids of the active ones, ready to be applied.
pub struct PreparedSettings {
    /// The names that they were merged with: they can be applied only while these names are the active ones.
    pub(crate) merged_with: Names,
    pub(crate) settings: Arc<Settings>,
    /// A copy for the balancer, which owns its configuration.
    pub(crate) config: Box<Config>,
    pub(crate) reassigned: ReassignedIds,
    /// A description of what changes, for the log.
    pub(crate) difference: String,
}

impl ActiveSettings {
    /// Merges new settings with these. The time is proportional to the number of names: not to be called on the
    /// event loop.
    pub fn prepare(self, new: Settings) -> PreparedSettings {
        let SettingsMerge { settings, reassigned } =
            self.settings.merge_successor(new, &self.names, &self.in_use);
        PreparedSettings {
            merged_with: self.names,
            config: Box::new(settings.config.clone()),
            difference: self.settings.difference(&settings),
            settings: Arc::new(settings),
            reassigned,
        }
    }
}

/// The error returned if other settings were applied, or an endpoint list added names, since the merge. The merge
/// has to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the active settings or names have changed since the merge")]
pub struct Outdated;
