//! Overload detection: whether all proxies together have too much in flight.

use crate::api::{Config, Time};
use crate::estimators::RateEstimator;

/// Target of attempts in flight on one backend, over all proxies: a processor-sharing server at four fifths
/// of its capacity has four on average, and more of them only add latency.
pub(crate) const TARGET_IN_FLIGHT_PER_BACKEND: f64 = 4.0;
/// Multiple of the target beyond which first attempts within quota are rejected. With load / (1 - load)
/// attempts in flight, it corresponds to a load of six sevenths.
const NORMAL_LIMIT: f64 = 1.5;
/// The same multiple for requests of low priority: a load of two thirds.
const LOW_PRIORITY_LIMIT: f64 = 0.5;
/// Time constant of the load estimate, in seconds. If a proxy has too few attempts in flight to estimate the
/// load from their number alone, it covers some ten of its requests.
pub(crate) const LOAD_MEMORY_S: f64 = 5.0;
/// Time constant of the estimate of this proxy's part of the fleet's load, in seconds. Shorter ones
/// oscillate, as all proxies react to the same outdated number.
const FLEET_LOAD_MEMORY_S: f64 = 30.0;

/// The attempts in flight of all proxies and of this one, updated when the other proxies report.
struct FleetLoadEstimate {
    fleet: RateEstimator,
    own: RateEstimator,
}

/// Estimates the load of the fleet.
pub(crate) struct OverloadDetector {
    /// Attempts of this proxy in flight.
    own_load: RateEstimator,
    fleet_load: FleetLoadEstimate,
}

impl OverloadDetector {
    pub(super) fn new() -> OverloadDetector {
        OverloadDetector {
            own_load: RateEstimator::new(LOAD_MEMORY_S),
            fleet_load: FleetLoadEstimate {
                fleet: RateEstimator::new(FLEET_LOAD_MEMORY_S),
                own: RateEstimator::new(FLEET_LOAD_MEMORY_S),
            },
        }
    }

    /// Records that `in_flight` attempts of this proxy were in flight since the last call.
    pub(crate) fn record_own(&mut self, now: Time, in_flight: f64) {
        self.own_load.add_level(now, in_flight);
    }

    /// Records the attempts in flight that the other proxies report, and those of this proxy at that time.
    pub(crate) fn record_fleet(&mut self, now: Time, others: f64, own: f64) {
        self.fleet_load.fleet.add_level(now, others + own);
        self.fleet_load.own.add_level(now, own);
    }

    /// Returns whether all proxies together have too much in flight for a request of the given priority. The
    /// load of the other proxies is taken from their reports, or else assumed to equal that of this one. An
    /// immediate rejection is harmless, whereas waiting in the queue would not help.
    pub(super) fn is_overloaded(&self, config: &Config, readiness: f64, is_low_priority: bool) -> bool {
        let proxies = f64::from(config.proxy_count);
        let multiple = if is_low_priority { LOW_PRIORITY_LIMIT } else { NORMAL_LIMIT };
        let limit = TARGET_IN_FLIGHT_PER_BACKEND * multiple;
        let fleet = self.fleet_load.fleet.per_s();
        let own = self.fleet_load.own.per_s().filter(|own| *own > 0.0);
        let ratio = fleet.zip(own).map_or(proxies, |(fleet, own)| fleet / own);
        proxies > TARGET_IN_FLIGHT_PER_BACKEND
            && self.own_load.per_s().unwrap_or(0.0) * ratio > limit * readiness
    }
}
