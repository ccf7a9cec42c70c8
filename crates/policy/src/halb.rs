//! HALB (heterogeneity-aware load balancing): the formula for the traffic share of each kind of machine.

/// Part of the total service rate below which the arrival rate counts as zero.
const NEGLIGIBLE_LOAD: f64 = 1e-6;

/// Returns the traffic shares that minimize the mean latency, with each kind modelled as M/G/1
/// processor-sharing servers and no negative share. `kinds` holds for each kind the number of ready backends
/// and the service rate of one of them, in requests per second; `rate` is the arrival rate over all proxies.
/// Without a rate, the ready backends share evenly. All shares are zero if no backend is ready.
pub fn halb_shares(kinds: &[(f64, f64)], rate: Option<f64>) -> Vec<f64> {
    let Some(rate) = rate else { return split_by_count(kinds, |_| true) };
    let mut live = kinds.to_vec();
    loop {
        let mut weighted_roots = 0.0;
        let mut total_rate = 0.0;
        for (ready, service_rate) in &live {
            weighted_roots += ready * service_rate.sqrt();
            total_rate += ready * service_rate;
        }
        if rate <= total_rate * NEGLIGIBLE_LOAD || total_rate <= 0.0 {
            // In the limit of no load, the fastest kind takes all traffic.
            let fastest = live.iter().filter(|kind| kind.0 > 0.0).map(|kind| kind.1).fold(0.0, f64::max);
            return split_by_count(kinds, |service_rate| service_rate == fastest);
        }
        let flow = |(ready, service_rate): &(f64, f64)| {
            ready * service_rate - ready * service_rate.sqrt() * (total_rate - rate) / weighted_roots
        };
        let flows: Vec<f64> = live.iter().map(flow).collect();
        if flows.iter().all(|flow| *flow >= 0.0) {
            return flows.iter().map(|flow| flow / rate).collect();
        }
        // Kinds that are too slow for this load get nothing; the others share it.
        for (kind, flow) in live.iter_mut().zip(&flows) {
            if *flow <= 0.0 {
                kind.0 = 0.0;
            }
        }
    }
}

/// Returns the shares in proportion to the number of ready backends, among the kinds whose service rate is
/// selected.
fn split_by_count(kinds: &[(f64, f64)], is_selected: impl Fn(f64) -> bool) -> Vec<f64> {
    let total: f64 = kinds.iter().filter(|kind| is_selected(kind.1)).map(|kind| kind.0).sum();
    let share = |kind: &(f64, f64)| if is_selected(kind.1) && total > 0.0 { kind.0 / total } else { 0.0 };
    kinds.iter().map(share).collect()
}
