//! Subsetting: in a large fleet of proxies, each proxy sends, and keeps connections, to only a part of the
//! backends.

use crate::api::Config;

/// Number of proxies that share a backend in a larger fleet of proxies. Each may have one request in flight
/// there regardless of the others, which together is twice the target; twenty would keep a slow backend
/// overloaded. The relative variation of the load of eight proxies is about a third of that of one.
const PROXIES_PER_BACKEND: f64 = 8.0;
/// The fractional part of the golden ratio: its multiples are spread evenly over a circle.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Returns this proxy's position in an order of all proxies, from 0 up to their number. Positions are evenly
/// spread, and each order key has its own order.
pub(crate) fn subset_position(config: &Config, order_key: u64) -> f64 {
    let proxies = f64::from(config.proxy_count);
    let offset = (order_key % u64::from(config.proxy_count)) as f64;
    (f64::from(config.proxy_index) * GOLDEN_RATIO_FRACTION + offset / proxies).fract() * proxies
}

/// This proxy's subset: a window on a circle of circumference 1, on which each backend of a kind is an arc as
/// long as its traffic share. The windows of all proxies have the same width and evenly spread positions, so
/// that together they cover every backend in proportion to its share.
pub(crate) struct SubsetWindow {
    start: f64,
    pub width: f64,
}

impl SubsetWindow {
    /// Creates the window for a fleet of `backends`, of which `reachable` get a part of this proxy's traffic.
    pub(crate) fn new(config: &Config, backends: usize, reachable: f64) -> SubsetWindow {
        let proxies = f64::from(config.proxy_count);
        SubsetWindow {
            width: (PROXIES_PER_BACKEND / proxies * backends as f64 / reachable.max(1.0)).min(1.0),
            start: subset_position(config, 0) / proxies,
        }
    }

    /// Returns the length of the part of the arc from `from` to `to` that lies within the window.
    pub(crate) fn overlap(&self, from: f64, to: f64) -> f64 {
        let overlap_at = |start: f64| (to.min(start + self.width) - from.max(start)).max(0.0);
        overlap_at(self.start) + overlap_at(self.start - 1.0)
    }
}
