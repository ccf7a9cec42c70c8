//! The scale rig: its experiments, the fit, the capacity page, and a short run with stand-ins only.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use lotusdeck_testbed::scale::capacity;
use lotusdeck_testbed::scale::experiment::{AxisKind, ScaleExperiment};
use lotusdeck_testbed::scale::fit::Fit;
use lotusdeck_testbed::scale::record::{Measurements, Metric, Record};
use lotusdeck_testbed::scale::{events_hash, measure_axes, Rig};
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

const SMALL: &str = r#"
name = "small"
about = "A walk of seconds, without processes of the program"
seed = 5
repeats = 1
[[axis]]
of = "proxies"
steps = [4, 8, 16, 32]
[[axis]]
of = "members"
steps = [4, 8, 16, 32]
[base]
backends = 100
[churn]
rest_s = 0.3
restarts = 3
restarts_per_s = 6.0
groups = [5, 20]
"#;

/// Every experiment in the repository is valid and has at least four steps on each axis.
#[test]
fn every_scale_experiment_is_valid() {
    let folder = root().join("crates/testbed/scale");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let experiment = ScaleExperiment::load(&path).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(path.file_stem().unwrap().to_str().unwrap(), experiment.name);
        assert!(experiment.axis.iter().all(|axis| axis.steps.len() >= 4), "{}", experiment.name);
        count += 1;
    }
    assert!(count >= 4, "{count} experiments");
}

/// The same seed gives the same events, and another seed gives others.
#[test]
fn the_same_seed_gives_the_same_events() {
    let of = |seed: u64| {
        let text = SMALL.replace("seed = 5", &format!("seed = {seed}"));
        events_hash(&ScaleExperiment::parse("small", &text).unwrap())
    };
    assert_eq!(of(5), of(5));
    assert_ne!(of(5), of(6));
    assert_eq!(of(5), 0x9a8dc56f0e845f52, "these events are the same on every machine");
}

/// The fit recovers a known law from its points, and its residual gives the deviation of points from the law.
#[test]
fn the_fit_recovers_a_known_law() {
    let points = |deviation: f64| -> Vec<(f64, f64)> {
        let law = |x: f64| 3.0 * x.powf(1.5);
        let signs = [1.0, -1.0, -1.0, 1.0];
        let xs = [10.0, 100.0, 1_000.0, 10_000.0];
        xs.iter().zip(signs).map(|(x, sign)| (*x, law(*x) * (1.0 + deviation).powf(sign))).collect()
    };
    let exact = Fit::from_points(&points(0.0)).unwrap();
    assert!((exact.power - 1.5).abs() < 1e-9 && (exact.factor - 3.0).abs() < 1e-6, "{exact:?}");
    assert!(exact.residual < 1e-9 && (exact.at(100.0) - 3_000.0).abs() < 1e-3, "{exact:?}");
    // Four points, each off by ten percent, and two parameters: the logarithm of the residual ratio is
    // sqrt(4 / 2) times that of 1.1.
    let deviating = Fit::from_points(&points(0.1)).unwrap();
    assert!((deviating.residual - (1.1f64.powf(2f64.sqrt()) - 1.0)).abs() < 1e-9, "{deviating:?}");
    assert!(Fit::from_points(&points(0.0)[..2]).is_none(), "two points do not determine a residual");
    assert!(Fit::from_points(&[(1.0, 0.0), (2.0, -1.0), (3.0, 1.0), (4.0, 2.0)]).is_none(), "no logarithm");
    assert!(Fit::from_points(&[(5.0, 1.0), (5.0, 2.0), (5.0, 3.0)]).is_none(), "a single x");
}

/// An error names the file, the key, the value and the range.
#[test]
fn errors_name_key_value_and_range() {
    let cases = [
        ("repeats = 1", "repeats = 0", "bad: repeats: expected from 1 to 50, got 0"),
        ("[4, 8, 16, 32]", "[4, 8, 16]", "bad: axis[0].steps (their number): expected from 4 to 12, got 3"),
        ("[4, 8, 16, 32]", "[4, 8, 8, 32]", "bad: axis[0].steps[2]: expected from 9 to 4000, got 8"),
        ("[4, 8, 16, 32]", "[4, 8, 16, 5000]", "bad: axis[0].steps[3]: expected from 17 to 4000, got 5000"),
        ("rest_s = 0.3", "rest_s = 0.0", "bad: churn.rest_s: expected from 0.2 to 120, got 0"),
        ("rest_s = 0.3", "rest_s = nan", "bad: churn.rest_s: expected from 0.2 to 120, got NaN"),
        ("[5, 20]", "[5, 0]", "bad: churn.groups[1]: expected from 1 to 70000, got 0"),
        ("backends = 100", "backends = 0", "bad: base.backends: expected from 1 to 70000, got 0"),
        ("name = \"small\"", "name = \"a/b\"", "bad: name: expected letters, digits and hyphens, got a/b"),
        ("restarts = 3", "restart = 3", "unknown field `restart`"),
        ("of = \"proxies\"", "of = \"proxy\"", "unknown variant `proxy`"),
        ("seed = 5", "", "missing field `seed`"),
    ];
    for (from, to, expected) in cases {
        assert!(SMALL.contains(from), "{from}");
        let fault = ScaleExperiment::parse("bad", &SMALL.replacen(from, to, 1)).unwrap_err().to_string();
        assert!(fault.starts_with("bad: ") && fault.contains(expected), "{to}: {fault}");
    }
}

/// Hollow proxies get every line and every change, and their cost grows linearly with their number, as the
/// protocol implies.
#[test]
fn a_small_run_counts_calls_and_lines_of_the_protocol() {
    let experiment = ScaleExperiment::parse("small", SMALL).unwrap();
    let folder = std::env::temp_dir().join(format!("lotusdeck-scale-{}", std::process::id()));
    let rig = Rig { experiment: &experiment, program: Path::new("no program is needed"), folder };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let series = runtime.block_on(measure_axes(&rig)).unwrap();
    let of = |axis: AxisKind, metric: Metric| {
        let found = series.iter().find(|series| (series.axis, series.metric) == (axis, metric));
        found.unwrap_or_else(|| panic!("{metric:?} by {axis:?}"))
    };
    // Each of the three stages of a restart takes one call and one line for each follower.
    for metric in [Metric::RestartCalls, Metric::RestartLines] {
        for point in &of(AxisKind::Proxies, metric).points {
            assert_eq!(point.median(), 3.0 * point.x, "{metric:?}");
        }
    }
    for metric in [Metric::RestartBytes, Metric::GroupBytes, Metric::LargestGroupBytes] {
        let fit = of(AxisKind::Proxies, metric).fit.unwrap();
        assert!((fit.power - 1.0).abs() < 0.01 && fit.residual < 0.01, "{metric:?}: {fit:?}");
    }
    let talk = of(AxisKind::Members, Metric::TalkBytesPerSecond);
    let membership = of(AxisKind::Members, Metric::MembershipBytesPerSecond);
    for (talk, membership) in talk.points.iter().zip(&membership.points) {
        assert!(talk.median() > membership.median() && membership.median() > 0.0, "{talk:?} {membership:?}");
    }
}

/// Generates the tables of a folder with one record, in which the processor time of a reload grows with the
/// square of the number of tenants and of routes.
fn tables(label: &str, factor: f64) -> String {
    let mut measurements = Measurements::default();
    for (axis, steps) in [(AxisKind::Tenants, [100, 1_000, 10_000]), (AxisKind::Routes, [10, 100, 1_000])] {
        for step in steps {
            let seconds = factor * (step as f64).powi(2);
            // An outlier in one of three repetitions does not change the median.
            for value in [seconds, seconds, 50.0 * seconds] {
                measurements.add(axis, Metric::ReloadProcessorSeconds, step, value);
            }
        }
    }
    let record = Record {
        label: label.into(),
        commit: "0123456789".into(),
        date: "2026-12-02".into(),
        command: "lotusdeck-testbed scale small.toml".into(),
        experiment: ScaleExperiment::parse("small", SMALL).unwrap(),
        events: "00".into(),
        series: measurements.finish(),
    };
    let folder = std::env::temp_dir().join(format!("lotusdeck-capacity-{label}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::copy(root().join("docs/capacity/target.toml"), folder.join("target.toml")).unwrap();
    std::fs::write(folder.join("small.json"), serde_json::to_string(&record).unwrap()).unwrap();
    let tables = capacity::block(&folder).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    tables
}

/// A cost over its budget is bold, as is its ratio, and is ranked; a cost within its budget is not.
#[test]
fn costs_over_budget_are_bold_and_ranked() {
    // 34,000 and 16,000 squared at 1e-9 s, 1,600 times a day: 2.61 % of a core, of 1.1 %.
    let over = tables("over", 1e-9);
    assert!(
        over.contains("| proxy | processor time of reloads | **2.61 %** | 1.10 % | **2.38 x** | 16.0 x |"),
        "{over}"
    );
    let ranking =
        ["1. **831 x** proxy: pause of all requests", "2. **2.61 x** proxy: part of the day in such pauses"];
    assert!(ranking.iter().all(|rank| over.contains(rank)), "{over}");
    assert!(over.contains("3. **2.38 x** proxy: processor time of reloads (2.61 %)"), "{over}");
    assert!(over.contains("| 1.00e-9 | 2.00 | 0 % |"), "{over}");
    let within = tables("within", 1e-13);
    assert!(
        within.contains("| proxy | processor time of reloads | 0.00 % | 1.10 % | 2e-4 x | 16.0 x |"),
        "{within}"
    );
    assert!(within.contains("None."), "{within}");
}

/// A value measured at the target itself is used in place of the fitted law.
#[test]
fn a_measured_step_overrides_the_law() {
    let mut measurements = Measurements::default();
    [(10, 15.0), (20, 25.0), (40, 45.0), (80, 95.0)]
        .into_iter()
        .for_each(|(step, value)| measurements.add(AxisKind::Backends, Metric::MemoryBytes, step, value));
    measurements.floor(AxisKind::Backends, Metric::MemoryBytes, 5.0);
    let series = &measurements.finish()[0];
    assert_eq!(series.above_floor(80.0), Some(90.0));
    let law = series.above_floor(160.0).unwrap();
    assert!((170.0..190.0).contains(&law) && series.extrapolated(160.0) == 2.0, "{law}");
}

/// The page matches its records: `lotusdeck-testbed capacity` was run after the last measurement.
#[test]
fn the_capacity_page_agrees_with_its_records() {
    let page = std::fs::read_to_string(root().join("docs/CAPACITY.md")).unwrap();
    let block = capacity::block(&root().join("docs/capacity")).unwrap();
    let made = capacity::with_block(&page, &block).unwrap();
    assert!(made == page, "run `cargo run -p lotusdeck-testbed -- capacity`");
    assert!(capacity::with_block("no markers", &block).is_err());
}
