//! The axis of proxies: what hollow followers cost discovery without changes, at restarts of single backends,
//! and when a rack or a zone leaves and returns.

use super::directory::{Counters, Follower};
use super::events;
use super::experiment::AxisPlan;
use super::record::{quantile, Measurements, Metric};
use super::stand_ins::{HollowProxies, StandIns};
use super::{Rig, ScaleRunError};
use crate::driver::run::raise_descriptor_limit;
use crate::world::discovery::Status;
use std::time::Duration;
use tokio::time::Instant;

/// Hollow proxies per thread; more threads than processors would add noise.
const PROXIES_PER_THREAD: usize = 400;
/// Descriptors in addition to the two of each follower's connection.
const OTHER_DESCRIPTORS: usize = 256;
/// Time to wait until the last answers of a stage are counted.
const SETTLE: Duration = Duration::from_millis(500);

/// Measures all steps of the axis in interleaved repetitions.
///
/// # Errors
/// Fails if a socket or thread cannot be opened or started, or if followers are too late.
pub async fn measure_axis(
    rig: &Rig<'_>, axis: &AxisPlan, measurements: &mut Measurements,
) -> Result<(), ScaleRunError> {
    let max_proxies = axis.steps.iter().copied().max().unwrap_or(0);
    raise_descriptor_limit(2 * max_proxies + OTHER_DESCRIPTORS)?;
    for repeat in 0..rig.experiment.repeats {
        for step in &axis.steps {
            rig.print(&format!("{} {step}, repetition {}\n", axis.of.name(), repeat + 1));
            let mut note = |metric, value| measurements.add(axis.of, metric, *step, value);
            measure(rig, *step, &mut note).await?;
        }
    }
    Ok(())
}

async fn measure(
    rig: &Rig<'_>, step: usize, note: &mut impl FnMut(Metric, f64),
) -> Result<(), ScaleRunError> {
    let (base, churn) = (&rig.experiment.base, &rig.experiment.churn);
    let stand_ins = StandIns::start(base.backends, base.zones, rig.experiment.discovery.clone()).await?;
    let began = Instant::now();
    let mut threads = Vec::new();
    for first in (0..step).step_by(PROXIES_PER_THREAD) {
        threads.push(HollowProxies::start(PROXIES_PER_THREAD.min(step - first), stand_ins.hollow)?);
    }
    stand_ins.wait_listed(Follower::Hollow, step).await?;
    note(Metric::AllHaveListSeconds, began.elapsed().as_secs_f64());

    let resting = counters_during(&stand_ins, async {
        tokio::time::sleep(Duration::from_secs_f64(churn.rest_s)).await;
        Ok(())
    })
    .await?;
    note(Metric::RestBytesPerSecond, resting.bytes() as f64 / churn.rest_s);
    note(Metric::RestCallsPerSecond, resting.calls() as f64 / churn.rest_s);

    stand_ins.in_force().await?;
    let events = events::restarts(churn, base.backends, rig.experiment.seed);
    let restarting = counters_during(&stand_ins, async {
        stand_ins.play(&events).await;
        Ok(())
    })
    .await?;
    let per_restart = |total: u64| total as f64 / churn.restarts as f64;
    note(Metric::RestartBytes, per_restart(restarting.changes.bytes));
    note(Metric::RestartCalls, per_restart(restarting.changes.calls));
    note(Metric::RestartLines, per_restart(restarting.changes.lines));
    let mut ages: Vec<f64> = stand_ins.in_force().await?.iter().map(|(_, age)| age.as_secs_f64()).collect();
    note(Metric::HollowInForceP50Seconds, quantile(&mut ages, 0.5));
    note(Metric::HollowInForceP99Seconds, quantile(&mut ages, 0.99));

    if let Some(count) = churn.groups.first() {
        note(Metric::GroupBytes, measure_group(rig, &stand_ins, *count, step).await?.bytes);
    }
    if let Some(count) = churn.groups.last() {
        let largest = measure_group(rig, &stand_ins, *count, step).await?;
        note(Metric::LargestGroupBytes, largest.bytes);
        note(Metric::GroupInForceSeconds, largest.in_force_s);
    }
    Ok(())
}

/// The cost of a group of backends that left and returned.
struct Group {
    bytes: f64,
    in_force_s: f64,
}

async fn measure_group(
    rig: &Rig<'_>, stand_ins: &StandIns, count: usize, followers: usize,
) -> Result<Group, ScaleRunError> {
    let backends = events::group(count, rig.experiment.base.backends, rig.experiment.seed);
    let mut slowest = 0.0;
    let counters = counters_during(stand_ins, async {
        for status in [Status::Deleted, Status::Serving] {
            stand_ins.in_force().await?;
            stand_ins.change(events::status_changes(&backends, status));
            let ages = stand_ins.wait_in_force(followers).await?;
            slowest = ages.iter().map(Duration::as_secs_f64).fold(slowest, f64::max);
        }
        Ok(())
    })
    .await?;
    Ok(Group { bytes: counters.changes.bytes as f64, in_force_s: slowest })
}

/// Returns the counters of discovery for the time that `meanwhile` takes and a pause for the last answers.
async fn counters_during(
    stand_ins: &StandIns, meanwhile: impl std::future::Future<Output = Result<(), ScaleRunError>>,
) -> Result<Counters, ScaleRunError> {
    let before = stand_ins.counters().await?;
    meanwhile.await?;
    tokio::time::sleep(SETTLE).await;
    Ok(stand_ins.counters().await?.since(before))
}
