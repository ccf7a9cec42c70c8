//! The outline of settings, against which later settings are checked.

use super::error::NodeConfigError;
use super::keys::Keys;
use lotusdeck_policy::settings::Settings;
use serde_json::{Map, Value};

/// Keys of the settings that differ for each proxy: they always come from its own file, wherever the other settings
/// come from.
const OWN_KEYS: [&str; 3] = ["my_zone", "position", "group_size"];
/// Keys of the settings with named entries: entries may be added and removed, so an outline omits them.
const NAMED_KEYS: [&str; 2] = ["profiles", "customers"];

/// Settings without their named entries: a few hundred bytes against which later settings are checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsOutline {
    keys: Map<String, Value>,
}

impl SettingsOutline {
    pub(super) fn of(settings: &Value) -> SettingsOutline {
        let members = settings.as_object().into_iter().flatten();
        let retained = members.filter(|(key, _)| !NAMED_KEYS.contains(&key.as_str()));
        SettingsOutline { keys: retained.map(|(key, value)| (key.clone(), value.clone())).collect() }
    }

    /// Returns this outline with the proxy's own keys taken from another one.
    pub fn with_own_keys(&self, file: &SettingsOutline) -> SettingsOutline {
        let mut outline = self.clone();
        file.copy_own_keys(&mut outline.keys);
        outline
    }

    fn copy_own_keys(&self, settings: &mut Map<String, Value>) {
        for key in OWN_KEYS {
            match self.keys.get(key) {
                Some(value) => settings.insert(key.into(), value.clone()),
                None => settings.remove(key),
            };
        }
    }

    /// Reads settings that come from elsewhere than the file, with this proxy's own keys in them. Nothing is returned
    /// if any part is invalid or a key of this outline is missing.
    ///
    /// # Errors
    /// Returns the first fault in the settings.
    pub fn read_successor(
        &self, mut settings: Value,
    ) -> Result<(Settings, SettingsOutline), NodeConfigError> {
        if let Some(members) = settings.as_object_mut() {
            self.copy_own_keys(members);
        }
        if let Some(key) = Keys::of_members(self.keys.iter()).first_missing_in(&settings) {
            return Err(NodeConfigError::Missing(key));
        }
        let read = Settings::read(&settings)?;
        Ok((read, SettingsOutline::of(&settings)))
    }
}
