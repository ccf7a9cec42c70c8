//! `lotusdeck ledger`: reads the ledger folders of one or more proxies, running or crashed, and shows which requests
//! were sent to which backends.

mod format;

use crate::print;
use clap::{Subcommand, ValueEnum};
use lotusdeck_ledger::{AttemptOutcome, Folder, History, Ledger, Request, SendState};
use std::path::PathBuf;
use std::process::ExitCode;

/// The arguments of `lotusdeck ledger`.
#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Requests that fit all that is asked for.
    Query {
        #[command(flatten)]
        filter: Filter,
        /// A table for people, JSON lines, or comma-separated values.
        #[arg(long, value_enum, default_value_t = Format::Table)]
        format: Format,
        /// Ledger folders; several proxies' may be read together.
        #[arg(required = true)]
        folders: Vec<PathBuf>,
    },
    /// Tell what is damaged or missing; exit code 1 where anything is.
    Verify {
        /// Ledger folders.
        #[arg(required = true)]
        folders: Vec<PathBuf>,
    },
    /// All requests as JSON lines.
    Export {
        /// Ledger folders.
        #[arg(required = true)]
        folders: Vec<PathBuf>,
    },
}

#[derive(Clone, clap::Args)]
struct Filter {
    /// Of this correlation id.
    #[arg(long)]
    id: Option<String>,
    /// Concerning this.
    #[arg(long)]
    key: Option<String>,
    /// Sent to this backend, for all one can tell.
    #[arg(long)]
    backend: Option<String>,
    /// Taken at this time or later, in Unix seconds by the proxies' clocks.
    #[arg(long)]
    since: Option<f64>,
    /// Taken before this time.
    #[arg(long)]
    until: Option<f64>,
    /// Clocks may be apart by so much, s: it widens --since and --until.
    #[arg(long, default_value_t = 1.0)]
    skew: f64,
    /// Of this state.
    #[arg(long, value_enum)]
    state: Option<State>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum State {
    NeverSent,
    Sent,
    PossiblySent,
}

impl State {
    fn of(request: &Request) -> State {
        match request.send_state() {
            SendState::NeverSent => State::NeverSent,
            SendState::Sent => State::Sent,
            SendState::PossiblySent => State::PossiblySent,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Table,
    Json,
    Csv,
}

impl Filter {
    fn matches(&self, request: &Request) -> bool {
        self.matches_name(request)
            && self.backend.as_ref().is_none_or(|backend| may_have_reached(request, backend))
            && self.matches_time(request)
            && self.state.is_none_or(|state| state == State::of(request))
    }

    /// Returns whether the request has the id and the key that are asked for.
    fn matches_name(&self, request: &Request) -> bool {
        self.id.as_ref().is_none_or(|id| *id == request.id)
            && self.key.as_ref().is_none_or(|key| *key == request.key)
    }

    /// Returns the filter with its names as records keep them.
    fn truncated(&self) -> Filter {
        let truncate = |name: &Option<String>| name.as_deref().map(Ledger::truncate_text);
        Filter {
            id: truncate(&self.id),
            key: truncate(&self.key),
            backend: truncate(&self.backend),
            ..self.clone()
        }
    }

    /// Returns whether the request was received in the range of time, which the clock skew widens. A request whose time
    /// is lost always matches.
    fn matches_time(&self, request: &Request) -> bool {
        let Some(taken_ms) = request.taken_at else { return true };
        let taken_s = taken_ms as f64 / 1e3;
        self.since.is_none_or(|since| taken_s >= since - self.skew)
            && self.until.is_none_or(|until| taken_s < until + self.skew)
    }
}

fn may_have_reached(request: &Request, backend: &str) -> bool {
    request
        .attempts
        .iter()
        .any(|attempt| attempt.backend == backend && attempt.outcome != AttemptOutcome::NeverSent)
}

/// Reads the folders and runs the command. Exit codes: 0 for success, 1 if `verify` finds damage, 2 if a folder
/// cannot be read.
pub(crate) fn main(args: &Args) -> ExitCode {
    let (folders, id) = match &args.command {
        Command::Query { folders, filter, .. } => (folders, filter.truncated().id),
        Command::Verify { folders } | Command::Export { folders } => (folders, None),
    };
    let mut history = History::default();
    for folder in folders {
        let name = folder.display().to_string();
        let read = Folder::existing(folder).and_then(|disk| history.add(&name, &disk, id.as_deref()));
        if let Err(error) = read {
            eprintln!("lotusdeck: {name}: {error}");
            return ExitCode::from(crate::EXIT_INVALID_INPUT);
        }
    }
    match &args.command {
        Command::Query { filter, format, .. } => query(&history, filter, *format),
        Command::Export { .. } => {
            for request in &history.requests() {
                print(&format::json(request));
            }
            warn_if_incomplete(&history, &history.faults);
        }
        Command::Verify { .. } => return verify(&history),
    }
    ExitCode::SUCCESS
}

fn query(history: &History, filter: &Filter, format: Format) {
    let filter = &filter.truncated();
    let mut found = history.requests();
    found.retain(|request| filter.matches(request));
    found.sort_by_key(|request| request.taken_at);
    if format == Format::Csv {
        print(format::CSV_HEADER);
    }
    for request in &found {
        print(&match format {
            Format::Table => format::table(request),
            Format::Json => format::json(request),
            Format::Csv => format::csv(request),
        });
    }
    if format != Format::Table {
        warn_if_incomplete(history, &history.faults);
        return;
    }
    if found.is_empty() {
        print_none_found(history, filter);
    }
    for fault in &history.faults {
        print(&format!("note: {fault}\n"));
    }
    warn_if_incomplete(history, &[]);
}

/// Prints to the standard error stream why requests may be missing, as the output alone does not show it. `faults` are
/// those that the output does not contain.
fn warn_if_incomplete(history: &History, faults: &[String]) {
    if history.is_complete() {
        return;
    }
    eprintln!("lotusdeck: records may be missing: nothing is proved of requests that are not listed");
    for message in faults.iter().chain(&history.notes) {
        eprintln!("lotusdeck: {message}");
    }
}

/// Prints what it means that no request matches. A request that was never sent has no record under its name, whatever
/// else is asked for.
fn print_none_found(history: &History, filter: &Filter) {
    let named = history.requests().into_iter().filter(|request| filter.matches_name(request)).count();
    if named > 0 {
        let verb = if named == 1 { "does" } else { "do" };
        print(&format!(
            "none: no record fits all filters; {named} {verb} without --backend, --since, --until and --state\n"
        ));
        return;
    }
    if !history.is_complete() {
        print("none: no record of such a request, but records may be missing: nothing is proved\n");
        return;
    }
    print("none: no record of such a request, and none is missing: it was never sent\n");
    for folder in &history.folders {
        let started_at = folder.started_at.map_or("an unknown time".into(), format::seconds);
        print(&format!("note: {}: records since {started_at}, and of no earlier request\n", folder.name));
    }
}

fn verify(history: &History) -> ExitCode {
    let requests = history.requests();
    let uncertain = requests.iter().filter(|request| request.send_state() == SendState::PossiblySent).count();
    let segments = history.segments_read;
    print(&format!("{segments} segments, {} requests, {uncertain} possibly sent\n", requests.len()));
    for fault in &history.faults {
        print(&format!("{fault}\n"));
    }
    warn_if_incomplete(history, &[]);
    if !history.faults.is_empty() {
        return ExitCode::FAILURE;
    }
    print("nothing is damaged\n");
    ExitCode::SUCCESS
}
