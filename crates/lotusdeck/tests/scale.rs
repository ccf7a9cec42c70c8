//! The scale rig with the real program: every metric of its axes is measured, and no request fails meanwhile.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use lotusdeck_testbed::scale::experiment::{AxisKind, ScaleExperiment};
use lotusdeck_testbed::scale::record::{Metric, Series};
use lotusdeck_testbed::scale::{measure_axes, Rig};
use std::path::Path;

const SMALL: &str = r#"
name = "small"
about = "A walk of seconds around the real program"
seed = 5
repeats = 1
[[axis]]
of = "tenants"
steps = [10, 20, 40, 80]
[[axis]]
of = "backends"
steps = [10, 20, 40, 80]
[base]
backends = 1
proxies = 3
[load]
rate_per_s = 50.0
window_s = 0.6
[churn]
rest_s = 0.2
restarts = 2
restarts_per_s = 5.0
groups = []
"#;

fn measured(series: &[Series], axis: AxisKind, metric: Metric) -> Vec<f64> {
    let found = series.iter().find(|series| (series.axis, series.metric) == (axis, metric));
    let found = found.unwrap_or_else(|| panic!("{metric:?} by {axis:?} is not measured"));
    found.points.iter().map(|point| point.median()).collect()
}

#[test]
fn a_small_walk_measures_the_real_program() {
    let experiment = ScaleExperiment::parse("small", SMALL).unwrap();
    let folder = std::env::temp_dir().join(format!("lotusdeck-scale-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_lotusdeck"));
    let rig = Rig { experiment: &experiment, program, folder: folder.clone() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let series = runtime.block_on(measure_axes(&rig)).unwrap();
    let settings = [Metric::ReadSeconds, Metric::ReloadSeconds, Metric::QuietP99Seconds, Metric::MemoryBytes];
    let backends = [Metric::MemoryBytes, Metric::RealInForceP99Seconds, Metric::HollowInForceP99Seconds];
    let all = settings.map(|metric| (AxisKind::Tenants, metric));
    for (axis, metric) in all.into_iter().chain(backends.map(|metric| (AxisKind::Backends, metric))) {
        let values = measured(&series, axis, metric);
        assert!(values.len() == 4 && values.iter().all(|value| *value > 0.0), "{metric:?}: {values:?}");
    }
    assert_eq!(measured(&series, AxisKind::Tenants, Metric::Failed), [0.0; 4], "requests without an answer");
    let bytes = measured(&series, AxisKind::Tenants, Metric::DocumentBytes);
    assert!(bytes.windows(2).all(|pair| pair[0] < pair[1]), "{bytes:?}");
    std::fs::remove_dir_all(folder).unwrap();
}
