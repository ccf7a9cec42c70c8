//! Plays power losses and restarts of several real proxy processes behind the fault proxy, without state and with
//! lists kept on disk (docs/recovery.md). Each seed is played in both modes before the next one.

use crate::driver::run::{play, Outcome};
use crate::experiment::{Experiment, ExperimentError};
use crate::record::Observation;
use crate::report::figures::Figures;
use crate::session::{self, SessionError};
use crate::world::discovery::Status;
use crate::world::plan::Plan;
use lotusdeck_policy::Time;
use std::collections::HashMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;

/// The experiment without troubles that every script adds its troubles to.
const BASE_EXPERIMENT: &str = include_str!("../experiments/first-look.toml");
/// When the power fails, s; the five seconds before it give the steady worth.
const LOSS_S: f64 = 6.0;
/// Seconds played after the last restart; the last window of [`PlayResult::worth`] ends 30 s after it.
const AFTER_S: f64 = 30.0;
/// How long discovery is down after the loss, s; longer than every restart, so that kept lists matter.
const DISCOVERY_DOWN_S: f64 = 6.0;
/// The most plays of one seed and mode. A play is repeated if it is void because the machine was too busy for the
/// schedule.
const MAX_PLAYS: usize = 3;

/// A scenario of failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Script {
    /// Every proxy and backend dies at once; proxies are back within one second, discovery six seconds after the loss.
    PowerLoss,
    /// As `power-loss`, and a quarter of the backends drain and leave while discovery is down. The kept lists still
    /// contain them, until discovery is back and reports them.
    Gone,
    /// Half of the proxies are killed twice in five seconds while discovery is down; the backends stay up.
    RestartTwice,
    /// Every backend restarts, and while they are cold every proxy is killed twice, two seconds apart; discovery stays
    /// up. The cold budget of a backend that a process has spent must not be spent again by its successor.
    RestartCold,
}

/// Whether proxies keep their state across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StateMode {
    /// No state is kept.
    Blank,
    /// State is kept on disk by `[state]` in the operator file, written every 200 ms.
    Kept,
}

/// Arguments of the `fleet` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Scenario of failures.
    #[arg(long, value_enum, default_value_t = Script::PowerLoss)]
    pub script: Script,
    /// Number of proxy processes, 3 to 30.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(3..=30))]
    pub processes: u16,
    /// Seeds, each played blank and with kept lists.
    #[arg(long, value_delimiter = ',', default_values_t = [7, 8, 9])]
    pub seeds: Vec<u64>,
    /// Program of the proxy; by default the lotusdeck beside this program, which is built first under `cargo run`.
    #[arg(long)]
    pub proxy: Option<PathBuf>,
    /// Folder for the plays and the figures.
    #[arg(long, default_value = "lab-runs/fleet")]
    pub out: PathBuf,
}

/// Builds the experiment of a script with `processes` proxies, in one mode, that ends `after_s` seconds after the last
/// restart.
///
/// # Errors
/// The experiment does not parse or fails a check; neither happens with the scripts here.
pub fn experiment(
    script: Script, mode: StateMode, processes: usize, after_s: f64,
) -> Result<Experiment, ExperimentError> {
    let mut troubles = String::new();
    let mut kill = |proxy: usize, at_s: f64, for_s: f64| {
        let _ = writeln!(
            troubles,
            "{{ at_s = {at_s}, what = \"kill-proxy\", proxy = {proxy}, for_s = {for_s} }},"
        );
    };
    // Downtimes of 0.5 s to 1 s in five steps, so that processes next to each other in number do not start together.
    let downtime_s = |proxy: usize| 0.5 + (proxy % 5) as f64 * 0.125;
    match script {
        Script::RestartCold => (0..processes).for_each(|p| {
            kill(p, LOSS_S + 1.5, downtime_s(p) - 0.3);
            kill(p, LOSS_S + 3.5, downtime_s(p) - 0.3);
        }),
        Script::PowerLoss | Script::Gone => (0..processes).for_each(|p| kill(p, LOSS_S, downtime_s(p))),
        Script::RestartTwice => (0..processes / 2).for_each(|p| {
            kill(p, LOSS_S, downtime_s(p));
            kill(p, LOSS_S + 5.0, downtime_s(p));
        }),
    }
    if script != Script::RestartTwice {
        let _ = writeln!(troubles, "{{ at_s = {LOSS_S}, what = \"kill\", part = 1.0, for_s = 1.0 }},");
    }
    if script == Script::Gone {
        let _ = writeln!(troubles, "{{ at_s = {}, what = \"drain\", part = 0.25 }},", LOSS_S + 2.0);
    }
    let discovery_down_s = match script {
        Script::RestartTwice => DISCOVERY_DOWN_S + 5.0,
        Script::RestartCold => 0.0,
        Script::PowerLoss | Script::Gone => DISCOVERY_DOWN_S,
    };
    if discovery_down_s > 0.0 {
        let _ = writeln!(
            troubles,
            "{{ at_s = {LOSS_S}, what = \"discovery-down\", for_s = {discovery_down_s} }},"
        );
    }
    let operator = match mode {
        StateMode::Blank => String::new(),
        StateMode::Kept => {
            "operator = \"\"\"\n[state]\nfolder = \"{folder}/state\"\nevery_ms = 200\n\"\"\"\n".into()
        }
    };
    let name = format!("fleet-{}-{}", script.as_str(), mode.as_str());
    let text = format!(
        "name = \"{name}\"\nduration_s = {}\nproxies = {processes}\ndiscovery = {{ handed = false }}\n{operator}\
         trouble = [\n{troubles}]\ninjury = [\n\
         {{ way = \"down\", part = 0.3, after_ms = 0, do = {{ latency = {{ ms = 3, jitter_ms = 3 }} }} }},\n\
         {{ way = \"down\", part = 0.05, message = 2, place = \"start\", do = \"reset\" }},\n]\n",
        last_restart(script, processes) + after_s
    );
    let mut table: toml::Table =
        BASE_EXPERIMENT.parse().map_err(|e| ExperimentError::Malformed(name.clone(), e))?;
    table.extend(text.parse::<toml::Table>().map_err(|e| ExperimentError::Malformed(name.clone(), e))?);
    Experiment::from_table(&name, table)
}

/// Returns when the last proxy is back, s.
pub fn last_restart(script: Script, processes: usize) -> f64 {
    let latest = LOSS_S + 0.5 + (processes.min(5) - 1) as f64 * 0.125;
    match script {
        Script::RestartTwice => latest + 5.0,
        Script::RestartCold => latest + 3.2,
        Script::PowerLoss | Script::Gone => latest,
    }
}

impl Script {
    fn as_str(self) -> &'static str {
        match self {
            Script::PowerLoss => "power-loss",
            Script::Gone => "gone",
            Script::RestartTwice => "restart-twice",
            Script::RestartCold => "restart-cold",
        }
    }
}

impl StateMode {
    fn as_str(self) -> &'static str {
        match self {
            StateMode::Blank => "blank",
            StateMode::Kept => "kept",
        }
    }
}

/// The figures of one play.
#[derive(Clone, Debug, serde::Serialize)]
pub struct PlayResult {
    /// Seed of the plan.
    pub seed: u64,
    /// Worth earned over worth asked, of arrivals due in seconds 0 to 1, 1 to 5 and 5 to 30 after the last restart.
    pub worth: [f64; 3],
    /// Worth earned over worth asked, of arrivals due in the five seconds before the loss.
    pub steady: f64,
    /// Seconds from the last restart to the first of three seconds in a row at 90 % of steady or more; `None` if
    /// never.
    pub to_ninety_s: Option<f64>,
    /// Number of cold backends that were sent more than they can take in a window, over all proxies.
    pub cold_over: usize,
    /// The most work that a cold backend was sent in a window of the cold budget, over all proxies, as a part of what
    /// it can take in that window.
    pub cold_peak: f64,
    /// Number of violations of rules, over all oracles.
    pub broken: usize,
    /// The first violation, as text.
    pub first_broken: Option<String>,
    /// The longest time, ms, between discovery reporting to a proxy that a backend drains or is gone and a later
    /// request of that proxy to the backend.
    pub drain_heeded_ms: Option<f64>,
}

/// Computes the figures of a play; `None` if it is void.
pub fn evaluate(plan: &Plan, outcome: &Outcome, restart_s: f64) -> Option<PlayResult> {
    let (figures, broken) = Figures::compute(plan, outcome);
    if figures.void.is_some() {
        return None;
    }
    let worth_between = |from: f64, to: f64| {
        let seconds = figures.seconds.get(from as usize..(to as usize).min(figures.seconds.len()))?;
        let asked: f64 = seconds.iter().map(|s| s.asked).sum();
        (asked > 0.0).then(|| seconds.iter().map(|s| s.earned).sum::<f64>() / asked)
    };
    let at = restart_s.ceil();
    let worth =
        [(0.0, 1.0), (1.0, 5.0), (5.0, 30.0)].map(|(a, b)| worth_between(at + a, at + b).unwrap_or(0.0));
    let steady = worth_between(LOSS_S - 5.0, LOSS_S).unwrap_or(0.0);
    let is_recovered = |s: usize| worth_between(s as f64, s as f64 + 1.0).is_some_and(|w| w >= 0.9 * steady);
    let first =
        (at as usize..figures.seconds.len().saturating_sub(2)).find(|&s| (s..s + 3).all(is_recovered));
    let cold_over = figures.broken.iter().filter(|(name, _)| name == "cold budget kept").map(|b| b.1).sum();
    Some(PlayResult {
        seed: plan.seed,
        worth,
        steady,
        to_ninety_s: first.map(|s| s as f64 - restart_s),
        cold_over,
        cold_peak: cold_peak(outcome),
        broken: broken.len(),
        first_broken: broken.first().map(|b| format!("{}: {}", b.oracle, b.text)),
        drain_heeded_ms: drain_heeded(outcome),
    })
}

fn cold_peak(outcome: &Outcome) -> f64 {
    let part = |w: &Observation| match *w {
        Observation::Pressure { sent, bears, .. } if bears > 0.0 => sent / bears,
        _ => 0.0,
    };
    outcome.records.iter().map(|r| part(&r.what)).fold(0.0, f64::max)
}

/// Returns the longest time, ms, between discovery reporting to a proxy that a backend no longer serves and a later
/// request of that proxy to the backend; 0 if no request followed, `None` if discovery never reported such a backend.
fn drain_heeded(outcome: &Outcome) -> Option<f64> {
    let mut sender = HashMap::new();
    let mut not_serving_since: HashMap<(usize, usize), Time> = HashMap::new();
    let mut longest: Option<f64> = None;
    for r in &outcome.records {
        match r.what {
            Observation::Asked { id, proxy, .. } => {
                sender.insert(id, proxy);
            }
            Observation::Told { proxy, backend, status } if status != Status::Serving => {
                not_serving_since.entry((proxy, backend)).or_insert(r.at);
                longest = longest.or(Some(0.0));
            }
            Observation::Told { proxy, backend, .. } => {
                not_serving_since.remove(&(proxy, backend));
            }
            Observation::Began { id, backend } => {
                let since = sender.get(&id).and_then(|p| not_serving_since.get(&(*p, backend)));
                if let Some(since) = since {
                    let ms = (r.at - *since).0 as f64 / 1e3;
                    longest = Some(longest.map_or(ms, |longest_ms| longest_ms.max(ms)));
                }
            }
            _ => {}
        }
    }
    longest
}

/// Plays every seed in both modes, prints each play and the medians, and writes all plays to a file. Returns whether
/// every play counted and every rule held.
pub fn main(args: &Args) -> Result<bool, SessionError> {
    let program = session::program(args.proxy.as_deref())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| SessionError::File("event loop".into(), e))?;
    let processes = usize::from(args.processes);
    let restart_s = last_restart(args.script, processes);
    let mut all: HashMap<&'static str, Vec<PlayResult>> = HashMap::new();
    for &seed in &args.seeds {
        for mode in [StateMode::Blank, StateMode::Kept] {
            let experiment = experiment(args.script, mode, processes, AFTER_S)?;
            let plan = Arc::new(Plan::draw(&experiment, seed));
            let mut result = None;
            for attempt in 0..MAX_PLAYS {
                let folder = args.out.join(format!("{}-seed-{seed}-{attempt}", experiment.name));
                let outcome = runtime.block_on(play(plan.clone(), &program, &folder, &|_| {}))?;
                result = evaluate(&plan, &outcome, restart_s);
                if result.is_some() {
                    break;
                }
                session::print(&format!(
                    "{} seed {seed}: the machine was too busy; again\n",
                    experiment.name
                ));
            }
            let Some(result) = result else { continue };
            session::print(&format!("{:<6} {}\n", mode.as_str(), format_row(&result)));
            all.entry(mode.as_str()).or_default().push(result);
        }
    }
    let mut text = format!(
        "{} on {processes} processes, seeds {:?}; medians, but cold peak and cold over: the most of a play, broken: of all plays\nway    {}\n",
        args.script.as_str(),
        args.seeds,
        HEADER
    );
    for mode in [StateMode::Blank, StateMode::Kept] {
        if let Some(plays) = all.get(mode.as_str()) {
            let _ = writeln!(text, "{:<6} {}", mode.as_str(), format_row(&median(plays)));
        }
    }
    session::print(&text);
    let path = args.out.join(format!("{}-{processes}.json", args.script.as_str()));
    let json = serde_json::to_string_pretty(&all)
        .map_err(|e| SessionError::Results(path.display().to_string(), e))?;
    std::fs::write(&path, json).map_err(|e| SessionError::File(path.display().to_string(), e))?;
    session::print(&format!("figures: {}\n", path.display()));
    let played = all.values().map(Vec::len).sum::<usize>();
    Ok(played == 2 * args.seeds.len() && all.values().flatten().all(|r| r.broken == 0))
}

const HEADER: &str =
    "seed  0-1 s  1-5 s  5-30 s  steady  to 90 %  cold peak  cold over  broken  drain heeded";

fn format_row(r: &PlayResult) -> String {
    let to_ninety = r.to_ninety_s.map_or("never".into(), |s| format!("{s:.1} s"));
    let drain = r.drain_heeded_ms.map_or("-".into(), |ms| format!("{ms:.0} ms"));
    format!(
        "{:>4}  {:.3}  {:.3}  {:.3}   {:.3}  {to_ninety:>7}  {:>9.2}  {:>9}  {:>6}  {drain:>12}",
        r.seed, r.worth[0], r.worth[1], r.worth[2], r.steady, r.cold_peak, r.cold_over, r.broken
    )
}

/// Summarises plays: the median of each figure, but the maximum of `cold_over`, `cold_peak` and `drain_heeded_ms`, the
/// sum of `broken`, and 0 as the seed.
fn median(plays: &[PlayResult]) -> PlayResult {
    let median_of = |mut v: Vec<f64>| {
        v.sort_by(f64::total_cmp);
        v.get(v.len() / 2).copied().unwrap_or(0.0)
    };
    // A play that never reached 90 % counts as the longest.
    let to_ninety_s = median_of(plays.iter().map(|r| r.to_ninety_s.unwrap_or(f64::INFINITY)).collect());
    PlayResult {
        seed: 0,
        worth: [0, 1, 2].map(|i| median_of(plays.iter().map(|r| r.worth[i]).collect())),
        steady: median_of(plays.iter().map(|r| r.steady).collect()),
        to_ninety_s: to_ninety_s.is_finite().then_some(to_ninety_s),
        cold_over: plays.iter().map(|r| r.cold_over).max().unwrap_or(0),
        cold_peak: plays.iter().map(|r| r.cold_peak).fold(0.0, f64::max),
        broken: plays.iter().map(|r| r.broken).sum(),
        first_broken: plays.iter().find_map(|r| r.first_broken.clone()),
        drain_heeded_ms: plays.iter().filter_map(|r| r.drain_heeded_ms).max_by(f64::total_cmp),
    }
}
