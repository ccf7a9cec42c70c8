//! Exports estimates and state that outlive the process, and restores them at the next start. The host
//! decides how far to trust a snapshot of some age, by the sample count of each estimate.

use crate::api::{BackendId, ClassId, Config, Estimate, KindEstimates, Micros, Snapshot, Time, WarmupSpend};
use crate::backend_health::BackendHealth;
use crate::backend_table::BackendTable;
use crate::estimates::Estimates;
use crate::estimators::MovingAverage;
use crate::outlier::restore_ejection;

/// Maximum number of slots by which the work sent within the overload window is exported. One entry per tick
/// would be too many numbers: 80,000 per second for 200 backends at a tick of 5 ms.
const SLOTS: u64 = 8;

fn export(average: &MovingAverage) -> Estimate {
    Estimate { value: average.value, samples: average.count }
}

/// Converts an exported mean; returns `None` unless the mean and its sample count are positive and finite, as
/// a file may contain anything.
fn import(estimate: Estimate) -> Option<MovingAverage> {
    let is_valid = |number: f64| number > 0.0 && number.is_finite();
    let both_valid = is_valid(estimate.value) && is_valid(estimate.samples);
    both_valid.then_some(MovingAverage { value: estimate.value, count: estimate.samples })
}

/// Replaces a mean that has no samples by an exported one.
fn restore(current: &mut MovingAverage, exported: Estimate) {
    if current.count > 0.0 {
        return;
    }
    if let Some(average) = import(exported) {
        *current = average;
    }
}

/// Takes a snapshot at `now`. Visits each backend once.
pub(crate) fn take_snapshot(
    now: Time, config: &Config, estimates: &Estimates, backends: &BackendTable,
) -> Snapshot {
    let mut snapshot = Snapshot {
        overall_latency: export(&estimates.overall_latency),
        class_latency: export_class_latency(estimates),
        kinds: Vec::with_capacity(estimates.kinds.len()),
        ejected: Vec::new(),
        warmup_spend: Vec::new(),
    };
    for (id, kind) in &estimates.kinds {
        let exported =
            KindEstimates { latency: export(&kind.latency), measured_rate: export(&kind.measured_rate) };
        snapshot.kinds.push((*id, exported));
    }
    for (&id, backend) in &backends.by_id {
        if backend.ejection.until.is_some() {
            let consecutive_ejections = u32::try_from(backend.ejection.consecutive_ejections).unwrap_or(0);
            snapshot.ejected.push((id, consecutive_ejections));
        }
        if is_warming_up(now, config, backend) {
            export_sent_work(now, config.slow_start.overload_window, id, backend, &mut snapshot.warmup_spend);
        }
    }
    snapshot
}

fn export_class_latency(estimates: &Estimates) -> Vec<(ClassId, Estimate)> {
    let classes = estimates.classes.iter().enumerate();
    classes.map(|(class, stats)| (ClassId(class), export(&stats.latency))).collect()
}

/// Returns whether the backend was in slow start when the current overload window began.
fn is_warming_up(now: Time, config: &Config, backend: &BackendHealth) -> bool {
    let window_start = now - config.slow_start.overload_window;
    backend.entry.started_at.is_some_and(|at| window_start - at < config.slow_start.duration)
}

/// Exports the work sent to one backend, summed by slot. Entries are visited newest first, so that each slot
/// has the time of its newest entry: work that expired too early would allow too much.
fn export_sent_work(
    now: Time, window: Micros, id: BackendId, backend: &BackendHealth, exported: &mut Vec<WarmupSpend>,
) {
    let mut last_slot = None;
    for sent in backend.sent_work.newest_first(now, window) {
        let ago = now - sent.at;
        let slot = (ago.0 * SLOTS).checked_div(window.0);
        match exported.last_mut().filter(|_| last_slot == Some(slot)) {
            Some(last) => last.work += sent.work,
            None => exported.push(WarmupSpend { backend: id, ago, work: sent.work }),
        }
        last_slot = Some(slot);
    }
}

/// Restores the snapshot of an earlier process, except for estimates that already have samples. Ejected
/// backends begin on probation, and the work sent before counts against the warm-up budget of its backend.
pub(crate) fn restore_snapshot(
    now: Time, config: &Config, snapshot: &Snapshot, estimates: &mut Estimates, backends: &mut BackendTable,
) {
    restore_estimates(snapshot, estimates);
    for (id, consecutive_ejections) in &snapshot.ejected {
        if let Some(backend) = backends.by_id.get_mut(id) {
            restore_ejection(backend, now, *consecutive_ejections);
        }
    }
    for spend in &snapshot.warmup_spend {
        let is_valid =
            spend.ago < config.slow_start.overload_window && spend.work > 0.0 && spend.work.is_finite();
        if !is_valid {
            continue;
        }
        if let Some(backend) = backends.by_id.get_mut(&spend.backend) {
            backend.sent_work.restore(now - spend.ago, spend.work);
        }
    }
}

fn restore_estimates(snapshot: &Snapshot, estimates: &mut Estimates) {
    restore(&mut estimates.overall_latency, snapshot.overall_latency);
    // The work of a class is its latency relative to the overall latency; neither is of use without the
    // other.
    if estimates.overall_latency.count > 0.0 {
        for (id, exported) in &snapshot.class_latency {
            if let Some(class) = estimates.classes.get_mut(id.0) {
                restore(&mut class.latency, *exported);
            }
        }
    }
    for (id, exported) in &snapshot.kinds {
        let kind = estimates.kinds.entry(*id).or_default();
        restore(&mut kind.latency, exported.latency);
        restore(&mut kind.measured_rate, exported.measured_rate);
    }
}
