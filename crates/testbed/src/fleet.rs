//! The fleet rig: several real processes of the program, behind the lab's relay, lose power or restart together, once
//! blank and once with the lists that they kept on disk (docs/recovery.md); seeds in turn, both ways interleaved.

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

/// The calm fleet that every script injures.
const BASE: &str = include_str!("../experiments/first-look.toml");
/// When the power fails, s: five seconds of calm before, so that the steady worth is known.
const LOSS_S: f64 = 6.0;
/// Seconds played after the last restart: the last window ends 30 s after it.
const AFTER_S: f64 = 30.0;
/// How long discovery answers nothing after the loss, s: longer than every restart, so that kept lists matter.
const DISCOVERY_DOWN_S: f64 = 6.0;
/// Plays of one seed and way that the machine may spoil by being too busy for the lab's schedule.
const TRIES: usize = 3;

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Script {
    /// Every proxy and backend at once; proxies back within one second, discovery six seconds after the loss.
    PowerLoss,
    /// The same, and a quarter of the backends drain and leave while discovery is down: the kept lists still name
    /// them, and discovery tells of them once it is back.
    Gone,
    /// Half of the proxies are killed twice in five seconds while discovery is down; the backends stay up.
    RestartTwice,
    /// Every backend starts anew, and while they are cold every proxy is killed twice, two seconds apart; discovery
    /// stays up. What each process sent a cold backend is spent budget that the next one must not spend again.
    RestartCold,
}

/// Blank, as today, or with kept lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// No state outlives a process.
    Blank,
    /// `[state]` in the operator file, written every 200 ms.
    Kept,
}

/// Play a script on a fleet of real processes, blank and with kept lists.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// What fails.
    #[arg(long, value_enum, default_value_t = Script::PowerLoss)]
    pub script: Script,
    /// Processes of the program, 3 to 30.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(3..=30))]
    pub processes: u16,
    /// Seeds, each played both ways in turn.
    #[arg(long, value_delimiter = ',', default_values_t = [7, 8, 9])]
    pub seeds: Vec<u64>,
    /// The lotusdeck to play; the one beside this program, or the one that cargo builds, where absent.
    #[arg(long)]
    pub proxy: Option<PathBuf>,
    /// Where the plays' folders and the figures go.
    #[arg(long, default_value = "lab-runs/fleet")]
    pub out: PathBuf,
}

/// A script on a fleet of `processes`, one way, with `after_s` seconds played after the last restart.
///
/// # Errors
/// None for the scripts here; the experiment's own checks stand.
pub fn experiment(
    script: Script, way: Way, processes: usize, after_s: f64,
) -> Result<Experiment, ExperimentError> {
    let mut troubles = String::new();
    let mut kill = |proxy: usize, at_s: f64, for_s: f64| {
        let _ = writeln!(
            troubles,
            "{{ at_s = {at_s}, what = \"kill-proxy\", proxy = {proxy}, for_s = {for_s} }},"
        );
    };
    // Restarts spread over one second, in fifths, so that no two neighbours start together.
    let spread = |proxy: usize| 0.5 + (proxy % 5) as f64 * 0.125;
    match script {
        Script::RestartCold => (0..processes).for_each(|p| {
            kill(p, LOSS_S + 1.5, spread(p) - 0.3);
            kill(p, LOSS_S + 3.5, spread(p) - 0.3);
        }),
        Script::PowerLoss | Script::Gone => (0..processes).for_each(|p| kill(p, LOSS_S, spread(p))),
        Script::RestartTwice => (0..processes / 2).for_each(|p| {
            kill(p, LOSS_S, spread(p));
            kill(p, LOSS_S + 5.0, spread(p));
        }),
    }
    if script != Script::RestartTwice {
        let _ = writeln!(troubles, "{{ at_s = {LOSS_S}, what = \"kill\", part = 1.0, for_s = 1.0 }},");
    }
    if script == Script::Gone {
        let _ = writeln!(troubles, "{{ at_s = {}, what = \"drain\", part = 0.25 }},", LOSS_S + 2.0);
    }
    let down = match script {
        Script::RestartTwice => DISCOVERY_DOWN_S + 5.0,
        Script::RestartCold => 0.0,
        Script::PowerLoss | Script::Gone => DISCOVERY_DOWN_S,
    };
    if down > 0.0 {
        let _ = writeln!(troubles, "{{ at_s = {LOSS_S}, what = \"discovery-down\", for_s = {down} }},");
    }
    let operator = match way {
        Way::Blank => String::new(),
        Way::Kept => {
            "operator = \"\"\"\n[state]\nfolder = \"{folder}/state\"\nevery_ms = 200\n\"\"\"\n".into()
        }
    };
    let name = format!("fleet-{}-{}", script.as_str(), way.as_str());
    let text = format!(
        "name = \"{name}\"\nduration_s = {}\nproxies = {processes}\ndiscovery = {{ handed = false }}\n{operator}\
         trouble = [\n{troubles}]\ninjury = [\n\
         {{ way = \"down\", part = 0.3, after_ms = 0, do = {{ latency = {{ ms = 3, jitter_ms = 3 }} }} }},\n\
         {{ way = \"down\", part = 0.05, message = 2, place = \"start\", do = \"reset\" }},\n]\n",
        last_restart(script, processes) + after_s
    );
    let mut whole: toml::Table = BASE.parse().map_err(|e| ExperimentError::Malformed(name.clone(), e))?;
    whole.extend(text.parse::<toml::Table>().map_err(|e| ExperimentError::Malformed(name.clone(), e))?);
    Experiment::of_table(&name, whole)
}

/// When the last proxy is back, s.
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

impl Way {
    fn as_str(self) -> &'static str {
        match self {
            Way::Blank => "blank",
            Way::Kept => "kept",
        }
    }
}

/// What one play showed.
#[derive(Clone, Debug, serde::Serialize)]
pub struct PlayResult {
    /// Its seed.
    pub seed: u64,
    /// Worth earned of worth asked, of what was due in seconds 0 to 1, 1 to 5 and 5 to 30 after the last restart.
    pub worth: [f64; 3],
    /// Worth of what was due in the five seconds before the loss.
    pub steady: f64,
    /// Seconds from the last restart to the first of three seconds in a row at 90 % of steady or more; `None` if
    /// never.
    pub to_ninety_s: Option<f64>,
    /// Windows in which a cold backend was sent more than it bears, over all proxies.
    pub cold_over: usize,
    /// The most that a backend was sent in a fall window while it was cold, over all proxies, as a part of what it
    /// bears then.
    pub cold_peak: f64,
    /// Rules broken, all oracles.
    pub broken: usize,
    /// The first of them, in words.
    pub first_broken: Option<String>,
    /// Of sends to a backend after discovery told that proxy it drains or is gone, the latest, ms after the telling.
    pub drain_heeded_ms: Option<f64>,
}

/// The figures of a play that counts, or `None` where the machine spoilt it.
pub fn evaluate(plan: &Plan, outcome: &Outcome, restart_s: f64) -> Option<PlayResult> {
    let (figures, broken) = Figures::of(plan, outcome);
    if figures.void.is_some() {
        return None;
    }
    let part = |from: f64, to: f64| {
        let seconds = figures.seconds.get(from as usize..(to as usize).min(figures.seconds.len()))?;
        let asked: f64 = seconds.iter().map(|s| s.asked).sum();
        (asked > 0.0).then(|| seconds.iter().map(|s| s.earned).sum::<f64>() / asked)
    };
    let at = restart_s.ceil();
    let worth = [(0.0, 1.0), (1.0, 5.0), (5.0, 30.0)].map(|(a, b)| part(at + a, at + b).unwrap_or(0.0));
    let steady = part(LOSS_S - 5.0, LOSS_S).unwrap_or(0.0);
    let good = |s: usize| part(s as f64, s as f64 + 1.0).is_some_and(|w| w >= 0.9 * steady);
    let first = (at as usize..figures.seconds.len().saturating_sub(2)).find(|&s| (s..s + 3).all(good));
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

/// The latest send to a backend after discovery had told the sending proxy that it no longer serves, ms after; 0
/// where it was told and nothing followed, `None` where discovery never told of such a backend.
fn drain_heeded(outcome: &Outcome) -> Option<f64> {
    let mut sender = HashMap::new();
    let mut barred: HashMap<(usize, usize), Time> = HashMap::new();
    let mut latest: Option<f64> = None;
    for r in &outcome.records {
        match r.what {
            Observation::Asked { id, proxy, .. } => {
                sender.insert(id, proxy);
            }
            Observation::Told { proxy, backend, status } if status != Status::Serving => {
                barred.entry((proxy, backend)).or_insert(r.at);
                latest = latest.or(Some(0.0));
            }
            Observation::Told { proxy, backend, .. } => {
                barred.remove(&(proxy, backend));
            }
            Observation::Began { id, backend } => {
                let since = sender.get(&id).and_then(|p| barred.get(&(*p, backend)));
                if let Some(since) = since {
                    let ms = (r.at - *since).0 as f64 / 1e3;
                    latest = Some(latest.map_or(ms, |l| l.max(ms)));
                }
            }
            _ => {}
        }
    }
    latest
}

/// Plays every seed both ways, prints each play and the medians, and writes them; whether every rule held.
pub fn main(args: &Args) -> Result<bool, SessionError> {
    let program = session::program(args.proxy.as_deref())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| SessionError::File("event loop".into(), e))?;
    let processes = usize::from(args.processes);
    let restart_s = last_restart(args.script, processes);
    let mut all: HashMap<&'static str, Vec<PlayResult>> = HashMap::new();
    for &seed in &args.seeds {
        for way in [Way::Blank, Way::Kept] {
            let experiment = experiment(args.script, way, processes, AFTER_S)?;
            let plan = Arc::new(Plan::draw(&experiment, seed));
            let mut judged = None;
            for attempt in 0..TRIES {
                let folder = args.out.join(format!("{}-seed-{seed}-{attempt}", experiment.name));
                let outcome = runtime.block_on(play(plan.clone(), &program, &folder, &|_| {}))?;
                judged = evaluate(&plan, &outcome, restart_s);
                if judged.is_some() {
                    break;
                }
                session::say(&format!("{} seed {seed}: the machine was too busy; again\n", experiment.name));
            }
            let Some(judged) = judged else { continue };
            session::say(&format!("{:<6} {}\n", way.as_str(), line(&judged)));
            all.entry(way.as_str()).or_default().push(judged);
        }
    }
    let mut text = format!(
        "{} on {processes} processes, seeds {:?}; medians, but cold peak and cold over: the most of a play, broken: of all plays\nway    {}\n",
        args.script.as_str(),
        args.seeds,
        HEAD
    );
    for way in [Way::Blank, Way::Kept] {
        if let Some(plays) = all.get(way.as_str()) {
            let _ = writeln!(text, "{:<6} {}", way.as_str(), line(&median(plays)));
        }
    }
    session::say(&text);
    let path = args.out.join(format!("{}-{processes}.json", args.script.as_str()));
    let json = serde_json::to_string_pretty(&all)
        .map_err(|e| SessionError::Results(path.display().to_string(), e))?;
    std::fs::write(&path, json).map_err(|e| SessionError::File(path.display().to_string(), e))?;
    session::say(&format!("figures: {}\n", path.display()));
    let played = all.values().map(Vec::len).sum::<usize>();
    Ok(played == 2 * args.seeds.len() && all.values().flatten().all(|r| r.broken == 0))
}

const HEAD: &str = "seed  0-1 s  1-5 s  5-30 s  steady  to 90 %  cold peak  cold over  broken  drain heeded";

fn line(r: &PlayResult) -> String {
    let ninety = r.to_ninety_s.map_or("never".into(), |s| format!("{s:.1} s"));
    let drain = r.drain_heeded_ms.map_or("-".into(), |ms| format!("{ms:.0} ms"));
    format!(
        "{:>4}  {:.3}  {:.3}  {:.3}   {:.3}  {ninety:>7}  {:>9.2}  {:>9}  {:>6}  {drain:>12}",
        r.seed, r.worth[0], r.worth[1], r.worth[2], r.steady, r.cold_peak, r.cold_over, r.broken
    )
}

/// The median of each figure on its own, the highest cold peak and the most cold windows over of any play, and all rules broken; the seed is 0.
fn median(plays: &[PlayResult]) -> PlayResult {
    let mid = |mut v: Vec<f64>| {
        v.sort_by(f64::total_cmp);
        v.get(v.len() / 2).copied().unwrap_or(0.0)
    };
    // A play that never came back counts as the longest.
    let ninety = mid(plays.iter().map(|r| r.to_ninety_s.unwrap_or(f64::INFINITY)).collect());
    PlayResult {
        seed: 0,
        worth: [0, 1, 2].map(|i| mid(plays.iter().map(|r| r.worth[i]).collect())),
        steady: mid(plays.iter().map(|r| r.steady).collect()),
        to_ninety_s: ninety.is_finite().then_some(ninety),
        cold_over: plays.iter().map(|r| r.cold_over).max().unwrap_or(0),
        cold_peak: plays.iter().map(|r| r.cold_peak).fold(0.0, f64::max),
        broken: plays.iter().map(|r| r.broken).sum(),
        first_broken: plays.iter().find_map(|r| r.first_broken.clone()),
        drain_heeded_ms: plays.iter().filter_map(|r| r.drain_heeded_ms).max_by(f64::total_cmp),
    }
}
