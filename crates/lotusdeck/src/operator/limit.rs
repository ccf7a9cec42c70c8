//! `[[limit]]`: limits that apply to the whole fleet.

use super::arrays::{parse_array, Expectation};
use super::Fault;
use serde::Deserialize;
use std::collections::HashSet;

/// The maximum number of limits. Each has a quota and a row in the status, and ten times per lease duration the event
/// loop iterates over all of them, which takes 0.4 ms at this number.
pub(super) const MAX_LIMITS: usize = 4_096;
/// The maximum rate, in requests per second over the whole fleet.
const MAX_RATE_PER_S: f64 = 1e9;
/// The maximum burst, in ms of the rate.
const MAX_BURST_MS: u64 = 60_000;

/// A section `[[limit]]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LimitSection {
    /// The limit's name in the log and the status.
    pub name: String,
    /// The class that it applies to; all classes if absent.
    #[serde(default)]
    pub class: Option<String>,
    /// The tenant that it applies to; all tenants, and requests without a tenant, if absent.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Requests per second, over the whole fleet.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
    /// Requests in flight, over the whole fleet.
    #[serde(default)]
    pub in_flight: Option<u32>,
    /// The burst that a quota may accumulate while it is not used, in ms of its rate.
    #[serde(default = "default_burst_ms")]
    pub burst_ms: u64,
}

fn default_burst_ms() -> u64 {
    200
}

impl LimitSection {
    /// Returns the message of the first fault in the section.
    fn fault(&self) -> Option<&'static str> {
        let is_rate_valid = self.rate_per_s.is_none_or(|rate| rate > 0.0 && rate <= MAX_RATE_PER_S);
        let has_limit = self.rate_per_s.is_some() || self.in_flight.is_some();
        Expectation::first_failed(&[
            Expectation { is_met: !self.name.is_empty(), message: "name: expected some text" },
            Expectation { is_met: has_limit, message: "expected rate_per_s, in_flight or both" },
            Expectation {
                is_met: is_rate_valid,
                message: "rate_per_s: expected a number above 0, 1e9 at most",
            },
            Expectation { is_met: self.in_flight != Some(0), message: "in_flight: expected 1 at least" },
            Expectation { is_met: self.burst_ms <= MAX_BURST_MS, message: "burst_ms: expected 0 to 60000" },
        ])
    }
}

/// Parses all limits in the text of an operator file.
///
/// # Errors
/// The first fault, and its offset.
pub(super) fn parse(text: &str) -> Result<Vec<LimitSection>, Fault> {
    #[derive(Deserialize)]
    struct File {
        #[serde(default)]
        limit: Vec<toml::Spanned<LimitSection>>,
    }
    let file: File = parse_array(text, "limit")?;
    let mut limits = Vec::new();
    let mut names = HashSet::new();
    for spanned in file.limit {
        let offset = spanned.span().start;
        let limit = spanned.into_inner();
        let fault = |message: &str| Fault { offset, message: format!("limit: {message}") };
        if let Some(message) = limit.fault() {
            return Err(fault(message));
        }
        if !names.insert(limit.name.clone()) {
            return Err(fault("name: each may be there once"));
        }
        if names.len() > MAX_LIMITS {
            return Err(fault(&format!("expected {MAX_LIMITS} limits at most")));
        }
        limits.push(limit);
    }
    Ok(limits)
}
