//! How much a saved list is worth by its age, and whether it or the platform's is taken at a start.
//!
//! The curve: backends come and go, and where each outlives a list for a time drawn without memory (a Poisson
//! process of replacements, the usual model of churn), an entry of age `a` still holds with chance
//! `exp(-a / L)` for a mean life `L`, that is `2^(-a / h)` for the half-life `h = L ln 2`. The operator sets `h`;
//! a list is taken while at least a quarter of it is expected to hold (two half-lives), as a failed attempt at a
//! gone backend costs one connection refused and its ejection, while a blank start serves nobody until discovery
//! answers. Whatever is taken is only what was true before: the first whole list from discovery replaces it.

#[cfg(test)]
mod tests;

/// A saved list's age, as the clocks tell it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Age {
    /// Milliseconds since it was written.
    Known(u64),
    /// Written later than now by more than the slack: the clock was stepped back, and its age cannot be told.
    Future(u64),
}

/// Clocks of one machine read a moment apart may disagree by this much (ms) without being stepped.
const SLACK_MS: u64 = 1_000;
/// A list is taken while this share of it is expected to hold: two half-lives.
const FLOOR: f64 = 0.25;

impl Age {
    /// Of a state written at `written_ms` read at `now_ms`, both by the wall clock.
    pub fn of(written_ms: u64, now_ms: u64) -> Age {
        match written_ms.checked_sub(now_ms) {
            Some(ahead) if ahead > SLACK_MS => Age::Future(ahead),
            _ => Age::Known(now_ms.saturating_sub(written_ms)),
        }
    }
}

/// The expected share of a list's entries that still hold, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Confidence(pub f64);

impl Confidence {
    /// At `age` for a half-life of `half_life_ms`; nothing for an age that cannot be told.
    pub fn at_age(age: Age, half_life_ms: u64) -> Confidence {
        match age {
            Age::Known(ms) => Confidence((-(ms as f64) / half_life_ms.max(1) as f64).exp2()),
            Age::Future(_) => Confidence(0.0),
        }
    }

    /// Worth taking.
    pub fn is_sufficient(self) -> bool {
        self.0 >= FLOOR
    }
}

/// Which list a proxy begins with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointSource {
    /// Its own saved list: newer than the platform's.
    SavedEndpoints,
    /// The list that the platform hands over, perhaps empty: none saved, or the saved one is not newer.
    Known,
    /// The platform's, as the saved one is too old or of unknown age.
    Untrusted(Confidence),
}

/// Between a saved list of version `saved` at `trust` and the platform's of version `known` with `entries`.
/// Versions are discovery's: the higher is newer, so long as discovery did not begin anew, and either list is
/// replaced by its first whole answer.
pub fn choose(saved: u64, trust: Confidence, known: u64, entries: usize) -> EndpointSource {
    if !trust.is_sufficient() {
        EndpointSource::Untrusted(trust)
    } else if entries == 0 || saved > known {
        EndpointSource::SavedEndpoints
    } else {
        EndpointSource::Known
    }
}
