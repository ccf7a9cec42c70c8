//! The program in the testbed: short runs with faults, judged only by what the stand-ins observed.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use lotusdeck_testbed::campaign;
use lotusdeck_testbed::driver::run::{play, Outcome};
use lotusdeck_testbed::experiment::Experiment;
use lotusdeck_testbed::fleet::{self, Script, StateMode};
use lotusdeck_testbed::ledger;
use lotusdeck_testbed::oracle::Violation;
use lotusdeck_testbed::report::figures::Figures;
use lotusdeck_testbed::virtual_time;
use lotusdeck_testbed::virtual_time::policy_choice::PolicyChoice;
use lotusdeck_testbed::world::plan::Plan;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const SHORT: &str = r#"
    name = "short"
    seed = 11
    duration_s = 4.0
    proxies = 2
    load = { rps = 150.0 }
    class = [
      { name = "read", effect = "free", share = 3.0, aim_ms = 400, deadline_ms = 1500, work_ms = 8 },
      { name = "order", effect = "single_shot", share = 1.0, aim_ms = 400, deadline_ms = 1500, work_ms = 8 },
    ]
    kind = [{ name = "small", count = 6 }, { name = "big", count = 2, cores = 2.0 }]
    discovery = { lag_ms = 100, detect_ms = 500 }
    trouble = [
      { at_s = 1.0, what = "kill", part = 0.25, for_s = 1.5 },
      { at_s = 1.2, what = "cordon", kind = "big", for_s = 1.0 },
      { at_s = 1.5, what = "drain", part = 0.2 },
      { at_s = 2.0, what = "kill-proxy", proxy = 1, for_s = 0.5 },
      { at_s = 2.5, what = "reload", proxy = 0 },
    ]
"#;

/// Serializes runs of real processes: several share the machine's cores, and a proxy that waits for a core answers
/// late, which must not count against it.
fn lock_runs() -> MutexGuard<'static, ()> {
    static RUNS: Mutex<()> = Mutex::new(());
    RUNS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays an experiment on sockets, with one seed after the other, until `judge` reaches a verdict. If the machine is
/// too busy for the testbed's own schedule, `judge` returns that as an error instead. Returns the verdict and the
/// seed that was played.
fn first_verdict<T>(
    experiment: &Experiment, seeds: Range<u64>, name: &str,
    judge: impl Fn(&Arc<Plan>, &Outcome) -> Result<T, String>,
) -> (u64, T) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_lotusdeck"));
    for seed in seeds.clone() {
        let plan = Arc::new(Plan::draw(experiment, seed));
        let folder = std::env::temp_dir().join(format!("lotusdeck-{name}-{}-{seed}", std::process::id()));
        let outcome = runtime.block_on(play(plan.clone(), program, &folder, &|_| {})).unwrap();
        match judge(&plan, &outcome) {
            Ok(verdict) => return (seed, verdict),
            Err(why) => println!("{name} seed {seed}: {why}"),
        }
    }
    panic!("{name}: the testbed was late with each of the seeds {seeds:?}: no verdict");
}

/// Returns the figures of a run and the rules that it broke, or the reason why the run is void.
fn valid_figures(plan: &Plan, outcome: &Outcome) -> Result<(Figures, Vec<Violation>), String> {
    let (figures, broken) = Figures::compute(plan, outcome);
    match figures.void {
        Some(why) => Err(why),
        None => Ok((figures, broken)),
    }
}

/// All rules hold through killed backends, drains, cordons, a killed proxy and a reload. A machine too busy for the
/// testbed's own schedule gives no verdict, so the run is repeated with another seed.
#[test]
fn all_oracles_hold_through_a_short_run_of_troubles() {
    let _lock = lock_runs();
    let experiment = Experiment::parse("short", SHORT).unwrap();
    let seeds = experiment.seed..experiment.seed + 3;
    let (seed, (figures, broken)) =
        first_verdict(&experiment, seeds, "lab", |plan, outcome| valid_figures(plan, outcome));
    assert_eq!(broken, [], "seed {seed}");
    let served = figures.whole.in_time + figures.whole.late;
    assert!(served * 2 > figures.whole.arrivals, "seed {seed}: {:?}", figures.whole);
    let reached = figures.classes.iter().all(|c| c.earned > 0.0);
    assert!(reached, "seed {seed}: every class is served");
}

/// Scripts that once broke a rule, and some that a campaign draws, break none. Each is played up to three times, as
/// the machine may be too busy for a verdict. The output shows how many got a verdict; at least one must.
#[test]
fn saved_and_drawn_scripts_of_campaigns_hold() {
    let _lock = lock_runs();
    let saved = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/regressions");
    let files =
        std::fs::read_dir(saved).map(|dir| dir.map(|entry| entry.unwrap().path()).collect::<Vec<_>>());
    let mut all: Vec<Experiment> =
        files.unwrap_or_default().iter().map(|f| Experiment::load(f).unwrap()).collect();
    all.extend([3, 8, 11, 19].map(|seed| campaign::experiment(seed).unwrap()));
    let program = Path::new(env!("CARGO_BIN_EXE_lotusdeck"));
    let verdict = |e: &Experiment| {
        let folder =
            std::env::temp_dir().join(format!("lotusdeck-campaign-{}-{}", std::process::id(), e.seed));
        (0..3).find_map(|_| campaign::run_and_check(e, program, &folder).unwrap().broken)
    };
    let verdicts: Vec<_> = std::thread::scope(|scope| {
        let plays: Vec<_> = all.iter().map(|e| scope.spawn(move || verdict(e))).collect();
        plays.into_iter().map(|play| play.join().unwrap()).collect()
    });
    let judged = verdicts.iter().flatten().count();
    println!("{judged} of {} scripts judged", all.len());
    for (e, (broken, report)) in all.iter().zip(&verdicts).filter_map(|(e, v)| Some((e, v.as_ref()?))) {
        assert_eq!(*broken, [], "{} seed {}:\n{report}", e.name, e.seed);
    }
    assert!(judged > 0, "the testbed was late in every run: no verdict");
}

/// A port that is in use is reported before anything starts.
#[test]
fn a_taken_port_is_named() {
    let _lock = lock_runs();
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let port = taken.local_addr().unwrap().port();
    let text = SHORT.replace("proxies = 2", &format!("proxies = 1\nbase_port = {port}"));
    let text = text.split("trouble = [").next().unwrap();
    let plan = Arc::new(Plan::draw(&Experiment::parse("short", text).unwrap(), 1));
    let folder = std::env::temp_dir().join(format!("lotusdeck-testbed-{}-taken", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_lotusdeck"));
    let fault = runtime.block_on(play(plan, program, &folder, &|_| {})).err().unwrap().to_string();
    assert!(fault.contains(&format!("127.0.0.1:{port} is taken")), "{fault}");
}

/// The two drivers run the same model: on a small fleet without faults, the fractions of the worth that they earn
/// differ by at most 0.05, and so do their attempts per request.
#[test]
fn virtual_time_and_sockets_earn_nearly_the_same() {
    let _lock = lock_runs();
    let text = SHORT.split("trouble = [").next().unwrap();
    let experiment = Experiment::parse("short", text).unwrap();
    let (seed, (real, played)) = first_verdict(&experiment, 31..34, "near", |plan, outcome| {
        let (real, _) = valid_figures(plan, outcome)?;
        Ok((real, Figures::compute(plan, &virtual_time::play(plan, PolicyChoice::Halb).unwrap()).0))
    });
    let difference = (real.whole.earned_part() - played.whole.earned_part()).abs();
    assert!(
        difference <= 0.05,
        "seed {seed}: {} on sockets, {} in virtual time",
        real.whole.earned_part(),
        played.whole.earned_part()
    );
    assert!((real.attempts - played.attempts).abs() <= 0.05, "{} and {}", real.attempts, played.attempts);
}

/// After twenty kills at random moments under load, the ledger's answers are never wrong.
#[test]
fn the_ledger_is_never_wrong_after_kills() {
    let _lock = lock_runs();
    for mode in ["process", "power"] {
        let plan = Arc::new(Plan::draw(&ledger::experiment(10, 250.0, 3, mode).unwrap(), 3));
        let folder = std::env::temp_dir().join(format!("lotusdeck-soak-{}-{mode}", std::process::id()));
        let program = Path::new(env!("CARGO_BIN_EXE_lotusdeck"));
        let (_, compared, _) = ledger::play(&plan, program, &folder, &|_| {}).unwrap();
        assert!(compared.wrong.is_empty(), "{mode}: {:?}", compared.wrong);
        assert!(compared.certain > 200, "{mode}: {compared:?}");
    }
}

/// An experiment that needs more descriptors than there can be is refused before anything starts.
#[test]
fn too_many_descriptors_are_refused_before_the_start() {
    let text = SHORT.split("trouble = [").next().unwrap().to_string() + "limits = { sockets = 1000000000 }";
    let plan = Arc::new(Plan::draw(&Experiment::parse("short", &text).unwrap(), 1));
    let folder = std::env::temp_dir().join(format!("lotusdeck-testbed-{}-many", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_lotusdeck"));
    let fault = runtime.block_on(play(plan, program, &folder, &|_| {})).err().unwrap().to_string();
    assert!(
        fault.contains("4000000000 descriptors") || fault.contains("descriptors and this process"),
        "{fault}"
    );
    assert!(!folder.exists(), "nothing was started");
}

/// The fleet rig's loss of power on four processes behind a fault proxy that delays and resets answers: proxies and
/// backends fail at the same time, discovery fails for six seconds, and the platform provides no list. With saved
/// lists the proxies serve while discovery is still down, without them they do not; every rule holds in both cases,
/// and no cold backend is overloaded.
#[test]
fn a_fleet_that_loses_power_serves_at_once_from_saved_lists() {
    let _lock = lock_runs();
    let restart_s = fleet::last_restart(Script::PowerLoss, 4);
    let worth = |mode: StateMode| {
        let experiment = fleet::experiment(Script::PowerLoss, mode, 4, 5.0).unwrap();
        let (seed, back) = first_verdict(&experiment, 7..10, &format!("power-{mode:?}"), |plan, outcome| {
            fleet::evaluate(plan, outcome, restart_s).ok_or_else(|| "the testbed was late".to_string())
        });
        println!("{mode:?} seed {seed}: {back:?}");
        assert_eq!((back.broken, back.cold_over), (0, 0), "{mode:?} seed {seed}");
        back.worth[1]
    };
    let (kept, blank) = (worth(StateMode::Kept), worth(StateMode::Blank));
    assert!(kept > 0.3 && blank < 0.15, "seconds 1 to 5 after the restart: kept {kept:.3}, blank {blank:.3}");
}
