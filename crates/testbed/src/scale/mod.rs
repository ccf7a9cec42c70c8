//! The scale rig: measures real processes of the program next to hollow proxies and stand-in backends while one
//! axis of size grows step by step towards a target, so that costs at the target can be extrapolated from the
//! measured slopes.

pub mod backends;
pub mod capacity;
pub mod directory;
pub mod document;
pub mod events;
pub mod experiment;
pub mod fit;
pub mod hollow;
pub mod load;
pub mod process;
pub mod proxies;
pub mod record;
pub mod rows;
pub mod settings;
pub mod stand_ins;
pub mod talk;
pub mod target;

use crate::report::plot;
use crate::session::{print, program, SessionError};
use experiment::{AxisKind, ScaleError, ScaleExperiment};
use process::ProcessError;
use record::{Measurements, Record};
use std::path::{Path, PathBuf};
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};

/// Measure how costs grow along axes of size, and print the slopes.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// A scale experiment, as `crates/testbed/scale/settings.toml`.
    pub experiment: PathBuf,
    /// Label in the names of the records, to tell apart runs of one experiment on different code.
    #[arg(long, default_value = "before")]
    pub label: String,
    /// The lotusdeck binary to measure; by default the one in the folder of this program.
    #[arg(long)]
    pub proxy: Option<PathBuf>,
    /// Folder for records and plots.
    #[arg(long, default_value = "docs/capacity")]
    pub out: PathBuf,
    /// Folder for the files of the measured processes.
    #[arg(long, default_value = "lab-runs/scale")]
    pub folder: PathBuf,
}

/// Why a scale experiment failed.
#[derive(Debug, Error)]
pub enum ScaleRunError {
    /// The experiment is invalid.
    #[error(transparent)]
    Experiment(#[from] ScaleError),
    /// A process failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A file, thread or socket could not be opened or started.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A thread of the rig has ended.
    #[error("a thread of the rig has ended")]
    Thread,
    /// A signal interrupted the run.
    #[error("interrupted: nothing is written")]
    Interrupted,
    /// Followers did not receive a list or a change in time.
    #[error("too late: {0}")]
    Late(String),
    /// The limit of file descriptors could not be raised.
    #[error(transparent)]
    Descriptors(#[from] crate::driver::run::RunError),
    /// Generated settings were not accepted.
    #[error("settings: {0}")]
    Settings(String),
    /// The program was not found, or its results cannot be written.
    #[error("{0}")]
    Session(Box<SessionError>),
    /// A record cannot be read or written.
    #[error("{0}: {1}")]
    Record(String, serde_json::Error),
    /// The capacity page cannot be generated from the records.
    #[error("{0}")]
    Page(String),
}

impl From<ScaleRunError> for SessionError {
    fn from(error: ScaleRunError) -> SessionError {
        match error {
            ScaleRunError::Experiment(fault) => SessionError::ScaleExperiment(fault),
            other => SessionError::Scale(Box::new(other)),
        }
    }
}

/// What the measurements of all axes share.
pub struct Rig<'a> {
    /// The experiment.
    pub experiment: &'a ScaleExperiment,
    /// The program to measure.
    pub program: &'a Path,
    /// Folder for the files of its processes.
    pub folder: PathBuf,
}

impl Rig<'_> {
    fn print(&self, text: &str) {
        print(text);
    }
}

/// Runs an experiment, prints its table, and writes its record and plot.
///
/// # Errors
/// Fails if the experiment is invalid or cannot be run, or if its results cannot be written.
pub fn main(args: &Args) -> Result<(), ScaleRunError> {
    let experiment = ScaleExperiment::load(&args.experiment)?;
    let session = |error| ScaleRunError::Session(Box::new(error));
    let program = program(args.proxy.as_deref()).map_err(session)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let rig = Rig { experiment: &experiment, program: &program, folder: args.folder.join(&experiment.name) };
    // Read before the run, as the checkout may change while the experiment runs.
    let commit = commit();
    let date = output_of("date", &["+%Y-%m-%d"]);
    let series = runtime.block_on(interruptible(&rig))?;
    let record = Record {
        label: args.label.clone(),
        commit,
        date,
        command: format!("lotusdeck-testbed scale {} --label {}", args.experiment.display(), args.label),
        events: format!("{:016x}", events_hash(&experiment)),
        experiment,
        series,
    };
    print(&record.table());
    write(&record, &args.out)?;
    Ok(())
}

/// Measures all axes, and stops at SIGINT and SIGTERM together with all processes and threads that it started.
async fn interruptible(rig: &Rig<'_>) -> Result<Vec<record::Series>, ScaleRunError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        series = measure_axes(rig) => series,
        _ = terminate.recv() => Err(ScaleRunError::Interrupted),
        _ = interrupt.recv() => Err(ScaleRunError::Interrupted),
    }
}

/// Measures all axes of an experiment.
///
/// # Errors
/// Fails if a process, thread or socket cannot be started, or if followers are too late.
pub async fn measure_axes(rig: &Rig<'_>) -> Result<Vec<record::Series>, ScaleRunError> {
    let mut measurements = Measurements::default();
    for axis in &rig.experiment.axis {
        match axis.of {
            AxisKind::Tenants | AxisKind::Routes => {
                settings::measure_axis(rig, axis, &mut measurements).await?
            }
            AxisKind::Backends => backends::measure_axis(rig, axis, &mut measurements).await?,
            AxisKind::Proxies => proxies::measure_axis(rig, axis, &mut measurements).await?,
            AxisKind::Members => talk::measure_axis(rig, axis, &mut measurements),
        }
    }
    Ok(measurements.finish())
}

/// Returns the hash of all events of an experiment.
pub fn events_hash(experiment: &ScaleExperiment) -> u64 {
    let steps = experiment.axis.iter().filter(|axis| axis.of == AxisKind::Backends);
    let max_backends =
        steps.flat_map(|axis| axis.steps.iter().copied()).max().unwrap_or(experiment.base.backends);
    events::hash(&experiment.churn, max_backends, experiment.seed)
}

fn write(record: &Record, folder: &Path) -> Result<(), ScaleRunError> {
    std::fs::create_dir_all(folder)?;
    let name = format!("{}-{}", record.experiment.name, record.label);
    let path = folder.join(format!("{name}.json"));
    let text = serde_json::to_string_pretty(record)
        .map_err(|error| ScaleRunError::Record(path.display().to_string(), error))?;
    std::fs::write(&path, text + "\n")?;
    print(&format!("record: {}\n", path.display()));
    let fields = record.fields();
    if !fields.is_empty() {
        let plot_path = folder.join(format!("{name}.svg"));
        plot::write(&fields, &plot_path).map_err(|error| ScaleRunError::Session(Box::new(error)))?;
    }
    Ok(())
}

/// Git path specifications of the program's sources, without the testbed and tests.
const PROGRAM_PATHS: [&str; 3] = ["crates", ":!crates/testbed", ":!crates/*/tests/*"];

/// Returns the last commit that touched the program, with the suffix `-changed` if the checkout differs from it.
fn commit() -> String {
    let last = ["log", "-1", "--abbrev=10", "--format=%h", "--"];
    let commit = output_of("git", &[last.as_slice(), PROGRAM_PATHS.as_slice()].concat());
    let changes = ["status", "--porcelain", "--"];
    let changed = output_of("git", &[changes.as_slice(), PROGRAM_PATHS.as_slice()].concat());
    if changed.is_empty() {
        commit
    } else {
        commit + "-changed"
    }
}

/// Returns the trimmed output of a command, or `unknown` if it fails.
fn output_of(command: &str, arguments: &[&str]) -> String {
    let output = std::process::Command::new(command).args(arguments).output();
    let text = output.ok().filter(|output| output.status.success()).map(|output| output.stdout);
    text.map_or("unknown".into(), |text| String::from_utf8_lossy(&text).trim().to_string())
}
