//! The scale rig: real processes of the program beside hollow proxies and backends, walked along one axis at a time
//! up to the size of a target, so that costs at the target are worked out from measured slopes.

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
use crate::session::{program, say, SessionError};
use experiment::{AxisKind, ScaleError, ScaleExperiment};
use process::ProcessError;
use record::{Gathered, Record};
use std::path::{Path, PathBuf};
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};

/// Walk axes of size and print slopes.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// A scale experiment, as `crates/testbed/scale/settings.toml`.
    pub experiment: PathBuf,
    /// Sets runs of one experiment on different code apart in names of records.
    #[arg(long, default_value = "before")]
    pub label: String,
    /// The lotusdeck to measure; the one beside this program where absent.
    #[arg(long)]
    pub proxy: Option<PathBuf>,
    /// Where records and plots go.
    #[arg(long, default_value = "docs/capacity")]
    pub out: PathBuf,
    /// Where processes keep their files.
    #[arg(long, default_value = "lab-runs/scale")]
    pub folder: PathBuf,
}

/// Why a scale experiment failed.
#[derive(Debug, Error)]
pub enum ScaleRunError {
    /// The experiment is at fault.
    #[error(transparent)]
    Experiment(#[from] ScaleError),
    /// A process is.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A file, thread or socket cannot be had.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A thread of the rig has ended.
    #[error("a thread of the rig has ended")]
    Thread,
    /// A signal ended it.
    #[error("interrupted: nothing is written")]
    Interrupted,
    /// Followers did not get what they wait for.
    #[error("too late: {0}")]
    Late(String),
    /// Descriptors cannot be had.
    #[error(transparent)]
    Descriptors(#[from] crate::driver::run::RunError),
    /// Generated settings were not accepted.
    #[error("settings: {0}")]
    Settings(String),
    /// No program, or its results cannot be written.
    #[error("{0}")]
    Session(Box<SessionError>),
    /// A record cannot be read or written.
    #[error("{0}: {1}")]
    Record(String, serde_json::Error),
    /// The page of capacity cannot be made from the records.
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

/// What all axes share.
pub struct Rig<'a> {
    /// The experiment.
    pub experiment: &'a ScaleExperiment,
    /// The program.
    pub program: &'a Path,
    /// Where its processes keep files.
    pub folder: PathBuf,
}

impl Rig<'_> {
    fn say(&self, text: &str) {
        say(text);
    }
}

/// Plays an experiment, prints its table, and writes its record and plot.
///
/// # Errors
/// The experiment is at fault, or what it needs cannot be had.
pub fn main(args: &Args) -> Result<(), ScaleRunError> {
    let experiment = ScaleExperiment::load(&args.experiment)?;
    let session = |error| ScaleRunError::Session(Box::new(error));
    let program = program(args.proxy.as_deref()).map_err(session)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let rig = Rig { experiment: &experiment, program: &program, folder: args.folder.join(&experiment.name) };
    // Before the run: what is checked out may change while it goes on.
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
    say(&record.table());
    write(&record, &args.out)?;
    Ok(())
}

/// Ends at SIGINT and SIGTERM, and with it all processes and threads that it started.
async fn interruptible(rig: &Rig<'_>) -> Result<Vec<record::Series>, ScaleRunError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        series = walk(rig) => series,
        _ = terminate.recv() => Err(ScaleRunError::Interrupted),
        _ = interrupt.recv() => Err(ScaleRunError::Interrupted),
    }
}

/// Walks all axes of an experiment.
///
/// # Errors
/// What it needs cannot be had.
pub async fn walk(rig: &Rig<'_>) -> Result<Vec<record::Series>, ScaleRunError> {
    let mut gathered = Gathered::default();
    for axis in &rig.experiment.axis {
        match axis.of {
            AxisKind::Tenants | AxisKind::Routes => settings::walk(rig, axis, &mut gathered).await?,
            AxisKind::Backends => backends::walk(rig, axis, &mut gathered).await?,
            AxisKind::Proxies => proxies::walk(rig, axis, &mut gathered).await?,
            AxisKind::Members => talk::walk(rig, axis, &mut gathered),
        }
    }
    Ok(gathered.finish())
}

/// The hash of all events of an experiment.
pub fn events_hash(experiment: &ScaleExperiment) -> u64 {
    let steps = experiment.axis.iter().filter(|axis| axis.of == AxisKind::Backends);
    let most = steps.flat_map(|axis| axis.steps.iter().copied()).max().unwrap_or(experiment.base.backends);
    events::hash(&experiment.churn, most, experiment.seed)
}

fn write(record: &Record, folder: &Path) -> Result<(), ScaleRunError> {
    std::fs::create_dir_all(folder)?;
    let name = format!("{}-{}", record.experiment.name, record.label);
    let path = folder.join(format!("{name}.json"));
    let text = serde_json::to_string_pretty(record)
        .map_err(|error| ScaleRunError::Record(path.display().to_string(), error))?;
    std::fs::write(&path, text + "\n")?;
    say(&format!("record: {}\n", path.display()));
    let fields = record.fields();
    if !fields.is_empty() {
        let drawing = folder.join(format!("{name}.svg"));
        plot::write(&fields, &drawing).map_err(|error| ScaleRunError::Session(Box::new(error)))?;
    }
    Ok(())
}

/// What the program is made of, of all that is checked out: not the lab, nor tests.
const PROGRAM: [&str; 3] = ["crates", ":!crates/testbed", ":!crates/*/tests/*"];

/// The last commit that touched the program, marked where it was changed since.
fn commit() -> String {
    let last = ["log", "-1", "--abbrev=10", "--format=%h", "--"];
    let commit = output_of("git", &[last.as_slice(), PROGRAM.as_slice()].concat());
    let changes = ["status", "--porcelain", "--"];
    let changed = output_of("git", &[changes.as_slice(), PROGRAM.as_slice()].concat());
    if changed.is_empty() {
        commit
    } else {
        commit + "-changed"
    }
}

/// What a command prints on one line; `unknown` where it fails.
fn output_of(command: &str, arguments: &[&str]) -> String {
    let output = std::process::Command::new(command).args(arguments).output();
    let text = output.ok().filter(|output| output.status.success()).map(|output| output.stdout);
    text.map_or("unknown".into(), |text| String::from_utf8_lossy(&text).trim().to_string())
}
