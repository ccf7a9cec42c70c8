//! Overload: whether all proxies together have too much in flight.

use crate::api::{Config, Time};
use crate::estimators::RateEstimator;

/// Attempts that all proxies together keep in flight on one backend: a shared processor at four fifths of its
/// capacity has four on average; more only makes each of them later.
pub(crate) const TARGET_IN_FLIGHT_PER_BACKEND: f64 = 4.0;
/// Multiple of the target beyond which first attempts within quota are rejected. With load / (1 - load) in
/// flight that is a load of six sevenths.
const NORMAL_LIMIT: f64 = 1.5;
/// The same for requests of low priority: a load of two thirds.
const LOW_PRIORITY_LIMIT: f64 = 0.5;
/// Memory of the load, in seconds: where a proxy alone has no room to count, some ten of its own requests.
pub(crate) const LOAD_MEMORY_S: f64 = 5.0;
/// Memory of this proxy's part of the fleet's load, in seconds: shorter ones oscillate, as all proxies act on
/// one old number.
const FLEET_LOAD_MEMORY_S: f64 = 30.0;

/// What all proxies have in flight and what this one has, where the others report.
struct FleetLoadEstimate {
    fleet: RateEstimator,
    own: RateEstimator,
}

/// Estimates the load of the fleet.
pub(crate) struct OverloadDetector {
    /// This proxy's attempts in flight.
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

    /// So many attempts of this proxy were in flight since the last call.
    pub(crate) fn record_own(&mut self, now: Time, in_flight: f64) {
        self.own_load.add_level(now, in_flight);
    }

    /// The other proxies reported what they have in flight.
    pub(crate) fn record_fleet(&mut self, now: Time, others: f64, own: f64) {
        self.fleet_load.fleet.add_level(now, others + own);
        self.fleet_load.own.add_level(now, own);
    }

    /// All proxies together have too much in flight for a request of such priority. The others count as doing
    /// like this one, or as they reported. A rejection at once does no harm; waiting here would not help.
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
