//! What is invalid in settings, key by key.

/// What is invalid in one key of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, as `rules.cold_from` or `profiles[2].name`.
    pub key: String,
    /// What was expected of it.
    pub expected: String,
    /// The value found there; `None` where there is none.
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

/// All that is invalid in the settings, in the order of reading; never empty.
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
