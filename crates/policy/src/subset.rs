//! Subsetting: in a large fleet of proxies each keeps connections to a part of the backends only.

use crate::api::Config;

/// Proxies that share a backend, where there are more. Each may have one request there whatever the others
/// do, which is twice the target together; twenty would keep a slow backend overloaded. The load of so many
/// evens out to a third of one's.
const PROXIES_PER_BACKEND: f64 = 8.0;
/// The fractional part of the golden ratio: its multiples are spread evenly over a circle.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// This proxy's position in an order of all proxies, from 0 up to their number, evenly spread; each order key
/// has an order of its own.
pub(crate) fn subset_position(config: &Config, order_key: u64) -> f64 {
    let proxies = f64::from(config.proxy_count);
    let offset = (order_key % u64::from(config.proxy_count)) as f64;
    (f64::from(config.proxy_index) * GOLDEN_RATIO_FRACTION + offset / proxies).fract() * proxies
}

/// This proxy's subset, as a window on a circle of circumference 1 on which the backends of a kind lie by
/// their traffic share. All proxies have windows of one width at evenly spread positions, so that together
/// they cover every backend by its share.
pub(crate) struct SubsetWindow {
    start: f64,
    pub width: f64,
}

impl SubsetWindow {
    /// The window among `backends`, of which `reachable` get a part of this proxy's traffic.
    pub(crate) fn new(config: &Config, backends: usize, reachable: f64) -> SubsetWindow {
        let proxies = f64::from(config.proxy_count);
        SubsetWindow {
            width: (PROXIES_PER_BACKEND / proxies * backends as f64 / reachable.max(1.0)).min(1.0),
            start: subset_position(config, 0) / proxies,
        }
    }

    /// The length of the arc from `from` to `to` that lies inside the window.
    pub(crate) fn overlap(&self, from: f64, to: f64) -> f64 {
        let overlap_at = |start: f64| (to.min(start + self.width) - from.max(start)).max(0.0);
        overlap_at(self.start) + overlap_at(self.start - 1.0)
    }
}
