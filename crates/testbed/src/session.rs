//! Plays an experiment one or more times and writes the results to a folder.

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

/// The errors of the testbed's commands.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The experiment is invalid.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A run failed.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A file or folder could not be read or written; with its path.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// Results could not be written as JSON or parsed; with the path of their file.
    #[error("{0}: {1}")]
    Results(String, serde_json::Error),
    /// A run in virtual time failed.
    #[error(transparent)]
    Virtual(#[from] VirtualError),
    /// The fault proxy's script is invalid.
    #[error(transparent)]
    Script(#[from] ScriptError),
    /// A scale experiment is invalid.
    #[error(transparent)]
    ScaleExperiment(crate::scale::experiment::ScaleError),
    /// A run of a scale experiment failed.
    #[error("{0}")]
    Scale(Box<crate::scale::ScaleRunError>),
    /// The proxy's program was not found or could not be built.
    #[error("no proxy: {0}")]
    Program(String),
}

/// Options of the commands that play an experiment.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Seed to use in place of the experiment's.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Number of runs, each with the next seed.
    #[arg(long, default_value_t = 1)]
    pub repeat: u32,
    /// Folder for the results.
    #[arg(long, default_value = "lab-runs")]
    pub out: PathBuf,
    /// Run in virtual time: only the decision module, without processes and sockets.
    #[arg(long = "virtual")]
    pub virtual_time: bool,
    /// Policy to use in place of the product's; in virtual time only.
    #[arg(long, value_enum, default_value_t = PolicyChoice::Halb, requires = "virtual_time")]
    pub policy: PolicyChoice,
    /// Program of the proxy; by default the lotusdeck beside this program, which is built first under `cargo run`.
    #[arg(long)]
    pub proxy: Option<PathBuf>,
}

/// Returns the built-in experiment of the `demo` command.
pub fn demo() -> Result<Experiment, ExperimentError> {
    Experiment::parse("demo.toml", include_str!("../experiments/demo.toml"))
}

/// Returns the path of the proxy's program: `requested`, or the lotusdeck beside this program. Under `cargo run` the
/// latter is built first, with the same profile.
pub fn program(requested: Option<&Path>) -> Result<PathBuf, SessionError> {
    if let Some(path) = requested {
        return Ok(path.to_path_buf());
    }
    let own_path = std::env::current_exe().map_err(|e| SessionError::Program(e.to_string()))?;
    let beside = own_path.with_file_name("lotusdeck");
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = std::process::Command::new(cargo);
        build.args(["build", "--quiet", "-p", "lotusdeck"]);
        build.args((own_path.parent().is_some_and(|p| p.ends_with("release"))).then_some("--release"));
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

/// Writes to standard output. Errors are ignored: the reader may have closed its end of the pipe.
pub fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// Adds the path to an I/O error.
fn with_path<T>(path: &Path, done: std::io::Result<T>) -> Result<T, SessionError> {
    done.map_err(|e| SessionError::File(path.display().to_string(), e))
}

/// Plays an experiment and writes its results. Returns whether every oracle held and no run was void.
pub fn play(experiment: &Experiment, options: &Options) -> Result<bool, SessionError> {
    let program = match options.virtual_time {
        true => PathBuf::new(),
        false => program(options.proxy.as_deref())?,
    };
    let folder = options.out.join(&experiment.name);
    with_path(&folder, std::fs::create_dir_all(&folder))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = with_path(Path::new("event loop"), runtime)?;
    let first_seed = options.seed.unwrap_or(experiment.seed);
    let (mut all_figures, mut all_passed) = (Vec::new(), true);
    for n in 0..u64::from(options.repeat) {
        let plan = Arc::new(Plan::draw(experiment, first_seed + n));
        let run_folder = folder.join(format!("seed-{}", plan.seed));
        if run_folder.exists() {
            with_path(&run_folder, std::fs::remove_dir_all(&run_folder))?;
        }
        with_path(&run_folder, std::fs::create_dir_all(&run_folder))?;
        print(&format!(
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
            false => runtime.block_on(run::play(plan.clone(), &program, &run_folder, &progress))?,
        };
        bar.finish_and_clear();
        let (figures, broken) = Figures::compute(&plan, &outcome);
        print(&table::table(&figures, &stretches(&plan)));
        let violations: Vec<String> = broken
            .iter()
            .take(MAX_LISTED)
            .map(|b| {
                let timeline = b.id.map(|id| timeline(&plan, &outcome.records, id)).unwrap_or_default();
                format!("{}: {}\n{timeline}", b.oracle, b.text)
            })
            .collect();
        violations.iter().for_each(|s| print(s));
        let events = run_folder.join("events.jsonl");
        let mut writer = std::io::BufWriter::new(with_path(&events, std::fs::File::create(&events))?);
        for record in &outcome.records {
            let line = serde_json::to_string(record);
            let line = line.map_err(|e| SessionError::Results(events.display().to_string(), e))?;
            with_path(&events, writeln!(writer, "{line}"))?;
        }
        with_path(&events, writer.flush())?;
        let html = run_folder.join("page.html");
        with_path(&html, std::fs::write(&html, page::page(&plan, &figures, &outcome.samples, &violations)))?;
        print(&format!("page: {}\n", html.display()));
        all_passed &= figures.broken.is_empty() && figures.void.is_none();
        all_figures.push(figures);
        if outcome.cut.is_some() {
            break;
        }
    }
    let summary = folder.join("summary.json");
    let text = serde_json::to_string_pretty(&all_figures);
    let text = text.map_err(|e| SessionError::Results(summary.display().to_string(), e))?;
    with_path(&summary, std::fs::write(&summary, text))?;
    print(&format!("figures: {}\n", summary.display()));
    Ok(all_passed)
}

/// Splits a run into named stretches at the acts of its plan. An act less than 1 s after the start of a stretch begins
/// no new one, but renames it.
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

/// Describes what an experiment would do, without playing it.
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

/// Reads the figures of all runs from a folder of results.
pub fn figures(folder: &Path) -> Result<Vec<Figures>, SessionError> {
    let path = folder.join("summary.json");
    let text = with_path(&path, std::fs::read_to_string(&path))?;
    serde_json::from_str(&text).map_err(|e| SessionError::Results(path.display().to_string(), e))
}
