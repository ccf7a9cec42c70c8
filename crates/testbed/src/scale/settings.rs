//! The axes of tenants and routes: what the size of the settings costs a proxy in memory, at start, at a
//! reload, and for each request.

use super::document::{self, Size};
use super::experiment::{AxisKind, AxisPlan};
use super::load::{self, LoadResult, Requests};
use super::process::Process;
use super::record::{quantile, Measurements, Metric};
use super::stand_ins::StandIns;
use super::{Rig, ScaleRunError};
use crate::driver::run::thread;
use lotusdeck_policy::settings::{IdsInUse, Names, Settings};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Look-ups that are timed together, as a single one costs little more than reading the clock.
const LOOKUPS: u32 = 1_000;
/// Time to settle after the start, before memory is read.
const SETTLE: Duration = Duration::from_millis(300);
/// Duration of a load before the first window, which opens connections.
const WARM_UP: Duration = Duration::from_millis(500);
/// Part of the window that passes before the reload.
const RELOAD_AFTER: f64 = 0.25;

/// Measures all steps of one axis, tenants or routes, in interleaved repetitions.
///
/// # Errors
/// Fails if a process or socket cannot be opened, or if generated settings are not accepted.
pub async fn measure_axis(
    rig: &Rig<'_>, axis: &AxisPlan, measurements: &mut Measurements,
) -> Result<(), ScaleRunError> {
    let base = &rig.experiment.base;
    let stand_ins = StandIns::start(base.backends, base.zones, rig.experiment.discovery.clone()).await?;
    let mut floors = Vec::new();
    for repeat in 0..rig.experiment.repeats {
        floors.push(floor(rig, &stand_ins).await?);
        for step in &axis.steps {
            rig.print(&format!("{} {step}, repetition {}\n", axis.of.name(), repeat + 1));
            let size = size(rig, axis.of, *step);
            let mut note = |metric, value| measurements.add(axis.of, metric, *step, value);
            measure_in_process(size, &mut note)?;
            measure_process(rig, &stand_ins, size, &mut note).await?;
        }
    }
    let floor = quantile(&mut floors, 0.5);
    measurements.floor(axis.of, Metric::MemoryBytes, floor);
    measurements.floor(axis.of, Metric::ReloadedMemoryBytes, floor);
    Ok(())
}

fn size(rig: &Rig<'_>, kind: AxisKind, step: usize) -> Size {
    let base = &rig.experiment.base;
    let size =
        Size { tenants: base.tenants, routes: base.routes, zones: base.zones, proxies: base.proxies.max(1) };
    match kind {
        AxisKind::Routes => Size { routes: step, ..size },
        _ => Size { tenants: step, ..size },
    }
}

/// Measures the memory of a process with no tenants and one route.
async fn floor(rig: &Rig<'_>, stand_ins: &StandIns) -> Result<f64, ScaleRunError> {
    let size = Size { tenants: 0, routes: 1, ..size(rig, AxisKind::Tenants, 0) };
    let process = Process::start(rig.program, &rig.folder, size, stand_ins.discovery).await?;
    tokio::time::sleep(SETTLE).await;
    let memory = process.memory() as f64;
    process.end().await;
    Ok(memory)
}

/// Measures the cost of reading settings, merging them with their predecessor and looking up names in this process.
fn measure_in_process(size: Size, note: &mut impl FnMut(Metric, f64)) -> Result<(), ScaleRunError> {
    let (old, new) = (document::settings(size, 0), document::settings(size, 1));
    let read = |value| Settings::read(value).map_err(|faults| ScaleRunError::Settings(faults.to_string()));
    let first = read(&old)?;
    let began = Instant::now();
    let second = read(&new)?;
    note(Metric::ReadSeconds, began.elapsed().as_secs_f64());
    let began = Instant::now();
    let merged = first.merge_successor(second, &first.names, &IdsInUse::default()).settings;
    note(Metric::SucceedSeconds, began.elapsed().as_secs_f64());
    note(Metric::LookupSeconds, lookup(size, &merged.names));
    Ok(())
}

/// Measures the look-ups of one request for the last tenant and the last route, s.
fn lookup(size: Size, names: &Names) -> f64 {
    let tenant = document::tenant(size.tenants.saturating_sub(1));
    let route = document::route(size.routes - 1);
    let began = Instant::now();
    for _ in 0..LOOKUPS {
        black_box(names.tenant(black_box(&tenant)));
        black_box(names.class(black_box(&route)));
    }
    began.elapsed().as_secs_f64() / f64::from(LOOKUPS)
}

async fn measure_process(
    rig: &Rig<'_>, stand_ins: &StandIns, size: Size, note: &mut impl FnMut(Metric, f64),
) -> Result<(), ScaleRunError> {
    let mut process = Process::start(rig.program, &rig.folder, size, stand_ins.discovery).await?;
    note(Metric::ReadySeconds, process.ready.as_secs_f64());
    tokio::time::sleep(SETTLE).await;
    note(Metric::MemoryBytes, process.memory() as f64);
    note(Metric::DocumentBytes, process.document_bytes()? as f64);
    let load = &rig.experiment.load;
    let requests = Requests {
        to: process.address(),
        rate_per_s: load.rate_per_s,
        window: Duration::from_secs_f64(load.window_s),
        route: size.routes - 1,
        tenant: size.tenants.saturating_sub(1),
    };
    window(Requests { window: WARM_UP, ..requests }, async { Ok(()) }).await?;
    let before = process.processor_time();
    let (quiet, ()) = window(requests, async { Ok(()) }).await?;
    let between = process.processor_time();
    process.write_next_settings()?;
    let (busy, reload) = window(requests, async {
        tokio::time::sleep(requests.window.mul_f64(RELOAD_AFTER)).await;
        Ok(process.reload().await?)
    })
    .await?;
    let after = process.processor_time();
    note(Metric::ReloadSeconds, reload.as_secs_f64());
    let (quiet_used, busy_used) = (between - before, after - between);
    note(Metric::ReloadProcessorSeconds, busy_used.saturating_sub(quiet_used).as_secs_f64());
    note(Metric::ReloadedMemoryBytes, process.memory() as f64);
    let quiet_metrics = [Metric::QuietP50Seconds, Metric::QuietP99Seconds, Metric::QuietLongestSeconds];
    note_latency(&quiet, quiet_metrics, note);
    let busy_metrics = [Metric::ReloadP50Seconds, Metric::ReloadP99Seconds, Metric::ReloadLongestSeconds];
    note_latency(&busy, busy_metrics, note);
    note(Metric::Failed, (quiet.failed + busy.failed) as f64);
    process.end().await;
    Ok(())
}

fn note_latency(result: &LoadResult, metrics: [Metric; 3], note: &mut impl FnMut(Metric, f64)) {
    let values = [result.p50_us, result.p99_us, result.longest_us];
    metrics.into_iter().zip(values).for_each(|(metric, us)| note(metric, us / 1e6));
}

/// Sends a window of load from a thread of its own while `meanwhile` runs, and returns the results of both.
async fn window<T>(
    requests: Requests, meanwhile: impl std::future::Future<Output = Result<T, ScaleRunError>>,
) -> Result<(LoadResult, T), ScaleRunError> {
    let sent = thread("load", move || load::send(requests))?;
    let (result, meanwhile) = tokio::join!(sent, meanwhile);
    Ok((result.map_err(|_| ScaleRunError::Thread)?, meanwhile?))
}
