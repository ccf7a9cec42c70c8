//! Settings that follow upon those in force: merged apart from the event loop, then put in force in one step.

use lotusdeck_policy::settings::{IdsInUse, Names, Settings, SettingsMerge};
use lotusdeck_policy::{Config, ReassignedIds};
use std::sync::Arc;
use thiserror::Error;

/// What is in force, as another thread needs it to merge new settings with.
pub struct ActiveSettings {
    pub(crate) settings: Arc<Settings>,
    pub(crate) names: Names,
    pub(crate) in_use: IdsInUse,
}

/// New settings under the numbers of those in force, ready to be put in force.
pub struct PreparedSettings {
    /// The names with which they were merged.
    pub(crate) merged_with: Names,
    pub(crate) settings: Arc<Settings>,
    /// For the module, which owns its own.
    pub(crate) config: Box<Config>,
    pub(crate) reassigned: ReassignedIds,
    /// What changes, in words.
    pub(crate) difference: String,
}

impl ActiveSettings {
    /// Merges `new` with these. Takes time in proportion to the number of names: not for the event loop.
    pub fn prepare(self, new: Settings) -> PreparedSettings {
        let SettingsMerge { settings, reassigned: renewed } =
            self.settings.merge_successor(new, &self.names, &self.in_use);
        PreparedSettings {
            merged_with: self.names,
            config: Box::new(settings.config.clone()),
            difference: self.settings.difference(&settings),
            settings: Arc::new(settings),
            reassigned: renewed,
        }
    }
}

/// Other settings have come into force since, or a list has brought other names: the merge is to be made anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("other settings or names have come into force meanwhile")]
pub struct Outdated;
