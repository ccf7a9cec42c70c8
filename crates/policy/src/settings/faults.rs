//! Faults in settings, by key.

/// A fault in one key of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The path of the key, such as `rules.cold_from` or `profiles[2].name`.
    pub key: String,
    /// What was expected of the value.
    pub expected: String,
    /// The value that was found; `None` if the key is missing.
    pub got: Option<String>,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Fault { key, expected, got } = self;
        match got {
            Some(got) => write!(f, "{key}: expected {expected}, got {got}"),
            None => write!(f, "{key}: missing, expected {expected}"),
        }
    }
}

/// All faults in the settings, in the order of reading; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0.split_first() {
            None => Ok(()),
            Some((first, [])) => write!(f, "{first}"),
            Some((first, rest)) => write!(f, "{first} (and {} more faults)", rest.len()),
        }
    }
}

impl std::error::Error for Faults {}
