//! Confidence in a saved endpoint list by its age, and the choice between that list and the platform's at the start.
//!
//! Backends are replaced over time. If replacements are a Poisson process, the usual model of churn, an entry of age
//! `a` is still valid with probability `exp(-a / L)` for a mean lifetime `L`, which is `2^(-a / h)` for the half-life
//! `h = L ln 2`. The operator sets `h`. A list is used while at least a quarter of it is expected to be valid (two
//! half-lives): an attempt at a removed backend costs a refused connection and the backend's ejection, while a proxy
//! that starts without a list cannot serve requests until discovery answers. The first full list from discovery
//! replaces either.

#[cfg(test)]
mod tests;

/// The age of a saved file by the wall clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Age {
    /// Milliseconds since the file was written.
    Known(u64),
    /// The time of writing is this many milliseconds in the future: the clock was stepped back, so the age is unknown.
    Future(u64),
}

/// Maximum difference in ms between two readings of one machine's clock that is not considered a step of the clock.
const CLOCK_TOLERANCE_MS: u64 = 1_000;
/// Minimum confidence at which a list or estimates are used; reached after two half-lives.
const MIN_CONFIDENCE: f64 = 0.25;

impl Age {
    /// Returns the age at `now_ms` of a file written at `written_ms`, both by the wall clock in ms since 1970.
    pub fn of(written_ms: u64, now_ms: u64) -> Age {
        match written_ms.checked_sub(now_ms) {
            Some(ahead_ms) if ahead_ms > CLOCK_TOLERANCE_MS => Age::Future(ahead_ms),
            _ => Age::Known(now_ms.saturating_sub(written_ms)),
        }
    }
}

/// The expected fraction of a list's entries that are still valid, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Confidence(pub f64);

impl Confidence {
    /// Returns the confidence at `age` with a half-life of `half_life_ms`; 0 if the age is unknown.
    pub fn at_age(age: Age, half_life_ms: u64) -> Confidence {
        match age {
            Age::Known(age_ms) => Confidence((-(age_ms as f64) / half_life_ms.max(1) as f64).exp2()),
            Age::Future(_) => Confidence(0.0),
        }
    }

    /// Returns whether the confidence is high enough to use a list or estimates.
    pub fn is_sufficient(self) -> bool {
        self.0 >= MIN_CONFIDENCE
    }
}

/// The endpoint list that a proxy starts with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointSource {
    /// The saved list: it is newer than the platform's, or the platform's is empty.
    SavedEndpoints,
    /// The platform's list: the saved one is not newer.
    PlatformEndpoints,
    /// The platform's list: the confidence in the saved one is insufficient.
    Untrusted(Confidence),
}

/// Chooses between a saved list of version `saved_version` and the platform's of version `platform_version` with
/// `platform_entries` entries.
///
/// Discovery assigns the versions. The higher one is newer, unless discovery was reset. Its first full answer replaces
/// either list.
pub fn choose_endpoint_source(
    saved_version: u64, confidence: Confidence, platform_version: u64, platform_entries: usize,
) -> EndpointSource {
    if !confidence.is_sufficient() {
        EndpointSource::Untrusted(confidence)
    } else if platform_entries == 0 || saved_version > platform_version {
        EndpointSource::SavedEndpoints
    } else {
        EndpointSource::PlatformEndpoints
    }
}
