//! The axis of backends: the memory and processor time that a real proxy needs for a list of each length, and
//! the time until a change is in force at real and hollow proxies.

use super::directory::Follower;
use super::document::Size;
use super::events;
use super::experiment::AxisPlan;
use super::process::Process;
use super::record::{quantile, Measurements, Metric};
use super::stand_ins::{HollowProxies, StandIns};
use super::{Rig, ScaleRunError};
use std::time::Duration;

/// Time to settle after a list was received, before memory and processor time are read.
const SETTLE: Duration = Duration::from_millis(500);
/// Length of the list for the floor: a proxy without any backend would not serve.
const FLOOR_BACKENDS: usize = 1;

/// Measures all steps of the axis in interleaved repetitions.
///
/// # Errors
/// Fails if a process or socket cannot be opened, or if a follower is too late.
pub async fn measure_axis(
    rig: &Rig<'_>, axis: &AxisPlan, measurements: &mut Measurements,
) -> Result<(), ScaleRunError> {
    let mut floors = Floors::default();
    for repeat in 0..rig.experiment.repeats {
        floors.add(rig).await?;
        for step in &axis.steps {
            rig.print(&format!("{} {step}, repetition {}\n", axis.of.name(), repeat + 1));
            let mut note = |metric, value| measurements.add(axis.of, metric, *step, value);
            measure(rig, *step, &mut note).await?;
        }
    }
    measurements.floor(axis.of, Metric::MemoryBytes, quantile(&mut floors.memory, 0.5));
    measurements.floor(axis.of, Metric::WholeListProcessorSeconds, quantile(&mut floors.processor, 0.5));
    Ok(())
}

/// Memory and processor time of a process that knows one backend.
#[derive(Default)]
struct Floors {
    memory: Vec<f64>,
    processor: Vec<f64>,
}

impl Floors {
    async fn add(&mut self, rig: &Rig<'_>) -> Result<(), ScaleRunError> {
        let base = &rig.experiment.base;
        let stand_ins = StandIns::start(FLOOR_BACKENDS, base.zones, rig.experiment.discovery.clone()).await?;
        let process = start_listed(rig, &stand_ins).await?;
        self.memory.push(process.memory() as f64);
        self.processor.push(process.processor_time().as_secs_f64());
        process.end().await;
        Ok(())
    }
}

/// Starts a real process and waits until it has its list and has settled.
async fn start_listed(rig: &Rig<'_>, stand_ins: &StandIns) -> Result<Process, ScaleRunError> {
    let base = &rig.experiment.base;
    let size =
        Size { tenants: base.tenants, routes: base.routes, zones: base.zones, proxies: base.proxies.max(1) };
    let process = Process::start(rig.program, &rig.folder, size, stand_ins.discovery).await?;
    stand_ins.wait_listed(Follower::Real, 1).await?;
    tokio::time::sleep(SETTLE).await;
    Ok(process)
}

async fn measure(
    rig: &Rig<'_>, step: usize, note: &mut impl FnMut(Metric, f64),
) -> Result<(), ScaleRunError> {
    let (base, churn) = (&rig.experiment.base, &rig.experiment.churn);
    let stand_ins = StandIns::start(step, base.zones, rig.experiment.discovery.clone()).await?;
    let process = start_listed(rig, &stand_ins).await?;
    note(Metric::ReadySeconds, process.ready.as_secs_f64());
    note(Metric::MemoryBytes, process.memory() as f64);
    note(Metric::WholeListProcessorSeconds, process.processor_time().as_secs_f64());
    let whole = stand_ins.counters().await?.whole;
    note(Metric::WholeListBytes, whole.bytes as f64 / whole.calls.max(1) as f64);
    let rest = Duration::from_secs_f64(churn.rest_s);
    let before = process.processor_time();
    tokio::time::sleep(rest).await;
    let resting = (process.processor_time() - before).as_secs_f64() / rest.as_secs_f64();
    note(Metric::RestProcessorShare, resting);

    let _hollow = HollowProxies::start(base.proxies, stand_ins.hollow)?;
    stand_ins.wait_listed(Follower::Hollow, base.proxies).await?;
    stand_ins.in_force().await?;
    let events = events::restarts(churn, step, rig.experiment.seed);
    let (before, began) = (process.processor_time(), tokio::time::Instant::now());
    stand_ins.play(&events).await;
    tokio::time::sleep(SETTLE).await;
    let used = (process.processor_time() - before).as_secs_f64();
    let per_change = (used - resting * began.elapsed().as_secs_f64()) / events.len() as f64;
    note(Metric::LineProcessorSeconds, per_change);
    let in_force = stand_ins.in_force().await?;
    let of = |kind: Follower| -> Vec<f64> {
        in_force.iter().filter(|(follower, _)| *follower == kind).map(|(_, age)| age.as_secs_f64()).collect()
    };
    let (mut real, mut hollow) = (of(Follower::Real), of(Follower::Hollow));
    note(Metric::RealInForceP50Seconds, quantile(&mut real, 0.5));
    note(Metric::RealInForceP99Seconds, quantile(&mut real, 0.99));
    note(Metric::HollowInForceP50Seconds, quantile(&mut hollow, 0.5));
    note(Metric::HollowInForceP99Seconds, quantile(&mut hollow, 0.99));
    process.end().await;
    Ok(())
}
