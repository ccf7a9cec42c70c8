//! Restores the state that a proxy starts with: the platform's endpoint list or its own saved one, whichever is newer
//! and trusted, and the estimates if the confidence in them is sufficient. A file that is not used is logged in one
//! line with the reason, and the proxy starts as it would without the file.

use super::files::{ReadEndpoints, StateFileError, StateLocation, ENDPOINTS, ESTIMATES};
use super::{now_ms, to_millis};
use crate::operator::StateSection;
use lotusdeck_proxy::endpoint_list::EndpointList;
use lotusdeck_state::{choose_endpoint_source, Age, AgeWeighting, Confidence, EndpointSource, Estimates};
use std::collections::HashMap;
use std::time::Duration;
use tracing::{info, warn};

/// The state that a proxy starts with.
pub(crate) struct InitialState {
    /// The platform's endpoint list or the saved one.
    pub endpoints: EndpointList,
    /// The saved estimates, discounted by their age; `None` if nothing remains of them.
    pub estimates: Option<Estimates>,
}

/// Reads the state files. `window` is the window in which work sent to a backend that warms up counts.
pub(crate) fn restore(
    section: &StateSection, location: &StateLocation, platform_list: EndpointList, window: Duration,
) -> InitialState {
    let now_ms = now_ms();
    let chosen = choose_endpoints(section, location, platform_list, now_ms);
    let weighting = AgeWeighting {
        now_ms,
        half_life_ms: to_millis(section.half_life),
        window_ms: to_millis(window),
        write_interval_ms: to_millis(section.write_interval),
    };
    let estimates = restore_estimates(location, &chosen.list, weighting);
    let endpoints = if chosen.is_saved { with_cold_backends(chosen.list, now_ms) } else { chosen.list };
    InitialState { endpoints, estimates }
}

fn restore_estimates(
    location: &StateLocation, endpoints: &EndpointList, weighting: AgeWeighting,
) -> Option<Estimates> {
    let saved: Estimates = match location.read(ESTIMATES) {
        Ok(saved) => saved,
        Err(StateFileError::Missing) => return None,
        Err(error) => {
            let path = location.path(ESTIMATES);
            warn!(path = %path.display(), %error, "estimates not restored; starting without them");
            return None;
        }
    };
    let started_ms: HashMap<&str, u64> = endpoints.endpoints.iter().filter_map(backend_start).collect();
    let age = Age::of(saved.written_ms, weighting.now_ms);
    let estimates = saved.discounted(weighting, |name| started_ms.get(name).copied());
    let samples = estimates.overall_latency.samples;
    if samples <= 0.0 {
        warn!(?age, "estimates not restored: too old, of unknown age, or empty");
        return None;
    }
    let kinds = estimates.kinds.len();
    let ejected = estimates.ejected.len();
    let spent = estimates.warmup_spend.len();
    info!(?age, samples, kinds, ejected, spent, "estimates restored");
    Some(estimates)
}

/// Returns the name of an entry of the list, and when its backend started in ms since the Unix epoch; 0, a time long
/// ago, if the list does not contain it.
fn backend_start(entry: &serde_json::Value) -> Option<(&str, u64)> {
    let name = entry.get("name")?.as_str()?;
    let started_ms = entry.get("since_ms").and_then(serde_json::Value::as_f64).unwrap_or(0.0);
    Some((name, started_ms as u64))
}

/// The endpoint list to start with.
struct ChosenEndpoints {
    list: EndpointList,
    /// Whether it is the saved one.
    is_saved: bool,
}

fn choose_endpoints(
    section: &StateSection, location: &StateLocation, platform_list: EndpointList, now_ms: u64,
) -> ChosenEndpoints {
    let from_platform = |list| ChosenEndpoints { list, is_saved: false };
    let path = location.path(ENDPOINTS);
    let ReadEndpoints { saved, list } = match location.read_endpoints() {
        Ok(read) => read,
        Err(StateFileError::Missing) => {
            info!(path = %path.display(), "no saved endpoint list");
            return from_platform(platform_list);
        }
        Err(error) => {
            warn!(path = %path.display(), %error, "endpoint list not restored; starting without it");
            return from_platform(platform_list);
        }
    };
    let age = Age::of(saved.written_ms, now_ms);
    let confidence = Confidence::at_age(age, to_millis(section.half_life));
    let index = saved.index;
    let entries = list.endpoints.len();
    match choose_endpoint_source(index, confidence, platform_list.version, platform_list.endpoints.len()) {
        EndpointSource::SavedEndpoints => {
            let confidence = confidence.0;
            info!(index, entries, ?age, confidence, known = platform_list.version, "endpoint list restored");
            ChosenEndpoints { list, is_saved: true }
        }
        EndpointSource::PlatformEndpoints => {
            info!(
                index,
                known = platform_list.version,
                "saved endpoint list not used: the platform's is as new"
            );
            from_platform(platform_list)
        }
        EndpointSource::Untrusted(confidence) => {
            let confidence = confidence.0;
            warn!(index, ?age, confidence, "endpoint list not restored: too old or of unknown age");
            from_platform(platform_list)
        }
    }
}

/// Returns the saved list with the start of every backend set to now. The saved list is used if the platform provides
/// nothing newer, as after a power loss of the platform, when the backends are likely to have restarted as well. Each
/// backend has a slow start until discovery reports when it really started (docs/recovery.md).
pub(super) fn with_cold_backends(mut list: EndpointList, now_ms: u64) -> EndpointList {
    for entry in list.endpoints.iter_mut().filter_map(|entry| entry.as_object_mut()) {
        entry.insert("since_ms".into(), now_ms.into());
    }
    list
}
