//! A session at the lab: an experiment played so many times, its results in a folder.

use crate::driver::run::{self, RunError};
use crate::experiment::{Experiment, ExperimentError};
use crate::fault_proxy::script::ScriptError;
use crate::oracle::{timeline, MAX_LISTED};
use crate::report::figures::Figures;
use crate::report::{page, table};
use crate::virtual_time::policy_choice::PolicyChoice;
use crate::virtual_time::{self, VirtualError};
use crate::world::plan::Plan;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

/// Why a session failed.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The experiment is at fault.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// The run is.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A file is.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// Results that cannot be read.
    #[error("{0}: {1}")]
    Results(String, serde_json::Error),
    /// The run in virtual time is.
    #[error(transparent)]
    Virtual(#[from] VirtualError),
    /// The relay's script is at fault.
    #[error(transparent)]
    Script(#[from] ScriptError),
    /// A scale experiment is at fault.
    #[error(transparent)]
    ScaleExperiment(crate::scale::experiment::ScaleError),
    /// A run of a scale experiment is.
    #[error("{0}")]
    Scale(Box<crate::scale::ScaleRunError>),
    /// There is no proxy to play.
    #[error("no proxy: {0}")]
    Program(String),
}

/// How to play.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Another seed than the experiment's.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Play it so many times, each with the next seed.
    #[arg(long, default_value_t = 1)]
    pub repeat: u32,
    /// Where the results go.
    #[arg(long, default_value = "lab-runs")]
    pub out: PathBuf,
    /// In virtual time: the decision module itself, without processes and sockets.
    #[arg(long = "virtual")]
    pub virtual_time: bool,
    /// Another policy than the product's, in virtual time only.
    #[arg(long, value_enum, default_value_t = PolicyChoice::Halb, requires = "virtual_time")]
    pub policy: PolicyChoice,
    /// The lotusdeck to play; the one beside this program, or the one that cargo builds, where absent.
    #[arg(long)]
    pub proxy: Option<PathBuf>,
}

/// The experiment that a first-time reader sees.
pub fn demo() -> Result<Experiment, ExperimentError> {
    Experiment::parse("demo.toml", include_str!("../experiments/demo.toml"))
}

/// The proxy's program: under `cargo run` the one of this very tree, built now.
pub fn program(asked: Option<&Path>) -> Result<PathBuf, SessionError> {
    if let Some(path) = asked {
        return Ok(path.to_path_buf());
    }
    let own = std::env::current_exe().map_err(|e| SessionError::Program(e.to_string()))?;
    let beside = own.with_file_name("lotusdeck");
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = std::process::Command::new(cargo);
        build.args(["build", "--quiet", "-p", "lotusdeck"]);
        build.args((own.parent().is_some_and(|p| p.ends_with("release"))).then_some("--release"));
        match build.status() {
            Ok(status) if status.success() => {}
            Ok(status) => return Err(SessionError::Program(format!("cargo build ended with {status}"))),
            Err(e) => return Err(SessionError::Program(e.to_string())),
        }
    }
    if beside.exists() {
        return Ok(beside);
    }
    Err(SessionError::Program(format!(
        "{} is not there: build it, or name one with --proxy",
        beside.display()
    )))
}

/// Writes to standard output; whoever reads it may have left, which is no fault.
pub fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

fn file<T>(path: &Path, done: std::io::Result<T>) -> Result<T, SessionError> {
    done.map_err(|e| SessionError::File(path.display().to_string(), e))
}

/// Plays an experiment and writes its results; whether all rules held and all figures count.
pub fn play(experiment: &Experiment, options: &Options) -> Result<bool, SessionError> {
    let program = match options.virtual_time {
        true => PathBuf::new(),
        false => program(options.proxy.as_deref())?,
    };
    let folder = options.out.join(&experiment.name);
    file(&folder, std::fs::create_dir_all(&folder))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = file(Path::new("event loop"), runtime)?;
    let first = options.seed.unwrap_or(experiment.seed);
    let (mut all, mut good) = (Vec::new(), true);
    for n in 0..u64::from(options.repeat) {
        let plan = Arc::new(Plan::draw(experiment, first + n));
        let place = folder.join(format!("seed-{}", plan.seed));
        if place.exists() {
            file(&place, std::fs::remove_dir_all(&place))?;
        }
        file(&place, std::fs::create_dir_all(&place))?;
        say(&format!(
            "{}: seed {}, plan {:016x}: {} arrivals in {} s, {} backends, {} proxies\n",
            experiment.name,
            plan.seed,
            plan.hash,
            plan.arrivals.len(),
            experiment.duration_s,
            plan.fleet.len(),
            experiment.proxies
        ));
        let bar = ProgressBar::new((experiment.duration_s * 1e3) as u64);
        let style = "{bar:40} {elapsed} {msg}";
        bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
        let progress = |at: lotusdeck_policy::Time| {
            bar.set_position(at.0 / 1000);
            if let Some((_, act)) = plan.acts.iter().rev().find(|a| a.0 <= at) {
                bar.set_message(run::describe_act(&plan, act));
            }
        };
        let outcome = match options.virtual_time {
            true => virtual_time::play(&plan, options.policy)?,
            false => runtime.block_on(run::play(plan.clone(), &program, &place, &progress))?,
        };
        bar.finish_and_clear();
        let (figures, broken) = Figures::of(&plan, &outcome);
        say(&table::table(&figures, &stretches(&plan)));
        let stories: Vec<String> = broken
            .iter()
            .take(MAX_LISTED)
            .map(|b| {
                let timeline = b.id.map(|id| timeline(&plan, &outcome.records, id)).unwrap_or_default();
                format!("{}: {}\n{timeline}", b.oracle, b.text)
            })
            .collect();
        stories.iter().for_each(|s| say(s));
        let events = place.join("events.jsonl");
        let mut to = std::io::BufWriter::new(file(&events, std::fs::File::create(&events))?);
        for record in &outcome.records {
            let line = serde_json::to_string(record);
            let line = line.map_err(|e| SessionError::Results(events.display().to_string(), e))?;
            file(&events, writeln!(to, "{line}"))?;
        }
        file(&events, to.flush())?;
        let html = place.join("page.html");
        file(&html, std::fs::write(&html, page::page(&plan, &figures, &outcome.samples, &stories)))?;
        say(&format!("page: {}\n", html.display()));
        good &= figures.broken.is_empty() && figures.void.is_none();
        all.push(figures);
        if outcome.cut.is_some() {
            break;
        }
    }
    let summary = folder.join("summary.json");
    let text = serde_json::to_string_pretty(&all);
    let text = text.map_err(|e| SessionError::Results(summary.display().to_string(), e))?;
    file(&summary, std::fs::write(&summary, text))?;
    say(&format!("figures: {}\n", summary.display()));
    Ok(good)
}

/// The parts of a run between its troubles.
fn stretches(plan: &Plan) -> Vec<(String, f64, f64)> {
    let (end, mut out) = (plan.experiment.duration_s, Vec::new());
    let (mut name, mut from) = ("before any trouble".to_string(), 0.0);
    for (at, act) in &plan.acts {
        let at = at.0 as f64 / 1e6;
        if at >= from + 1.0 {
            out.push((std::mem::take(&mut name), from, at.min(end)));
            from = at;
        }
        name = run::describe_act(plan, act).split(':').next().unwrap_or_default().to_string();
    }
    out.push((name, from, end));
    out.retain(|s| s.2 > s.1);
    out
}

/// What an experiment would do.
pub fn outline(experiment: &Experiment, seed: Option<u64>) -> String {
    let plan = Plan::draw(experiment, seed.unwrap_or(experiment.seed));
    let mut out = format!(
        "{}: {}\nplan {:016x} of seed {}: {} arrivals in {} s, {} backends with {:.1} standard cores, {} proxies\n",
        experiment.name,
        experiment.about,
        plan.hash,
        plan.seed,
        plan.arrivals.len(),
        experiment.duration_s,
        plan.fleet.len(),
        experiment.capacity(),
        experiment.proxies
    );
    for (at, act) in &plan.acts {
        out.push_str(&format!("{:>8.2} s  {}\n", at.0 as f64 / 1e6, run::describe_act(&plan, act)));
    }
    out
}

/// The figures in a folder of results.
pub fn figures(folder: &Path) -> Result<Vec<Figures>, SessionError> {
    let path = folder.join("summary.json");
    let text = file(&path, std::fs::read_to_string(&path))?;
    serde_json::from_str(&text).map_err(|e| SessionError::Results(path.display().to_string(), e))
}
