//! `lotusdeck ledger`: what was sent where, read from the folders of one or more proxies, running or crashed.

use crate::say;
use clap::{Subcommand, ValueEnum};
use lotusdeck_ledger::{Fate, Folder, History, Request, Verdict};
use std::fmt::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// What to read, and how.
#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Requests that fit all that is asked for.
    Query {
        #[command(flatten)]
        wanted: Wanted,
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

#[derive(clap::Args)]
struct Wanted {
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

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Table,
    Json,
    Csv,
}

impl Wanted {
    fn fits(&self, r: &Request) -> bool {
        let seconds = r.taken_at.map(|t| t as f64 / 1e3);
        let sent = |b: &String| r.attempts.iter().any(|a| a.backend == *b && a.fate != Fate::NeverSent);
        let state = match r.verdict() {
            Verdict::NeverSent => State::NeverSent,
            Verdict::Sent => State::Sent,
            Verdict::PossiblySent => State::PossiblySent,
        };
        self.id.as_ref().is_none_or(|id| *id == r.id)
            && self.key.as_ref().is_none_or(|key| *key == r.key)
            && self.backend.as_ref().is_none_or(sent)
            // One whose time is lost may lie anywhere.
            && self.since.is_none_or(|at| seconds.is_none_or(|s| s >= at - self.skew))
            && self.until.is_none_or(|at| seconds.is_none_or(|s| s < at + self.skew))
            && self.state.is_none_or(|wanted| wanted == state)
    }
}

/// Exit codes: 0 read, 1 damage found by `verify`, 2 a folder that cannot be read.
pub(crate) fn main(args: &Args) -> ExitCode {
    let (folders, id) = match &args.what {
        What::Query { folders, wanted, .. } => (folders, wanted.id.as_deref()),
        What::Verify { folders } | What::Export { folders } => (folders, None),
    };
    let mut history = History::default();
    for folder in folders {
        let name = folder.display().to_string();
        let read = Folder::existing(folder).and_then(|disk| history.add(&name, &disk, id));
        if let Err(e) = read {
            eprintln!("lotusdeck: {name}: {e}");
            return ExitCode::from(crate::REFUSED);
        }
    }
    match &args.what {
        What::Query { wanted, format, .. } => query(&history, wanted, *format),
        What::Export { .. } => history.requests().iter().for_each(|r| say(&json(r))),
        What::Verify { .. } => return verify(&history),
    }
    ExitCode::SUCCESS
}

fn query(history: &History, wanted: &Wanted, format: Format) {
    let mut found = history.requests();
    found.retain(|r| wanted.fits(r));
    found.sort_by_key(|r| r.taken_at);
    if format == Format::Csv {
        say("proxy,taken_ms,id,class,key,state,attempt,backend,address,sent_ms,fate\n");
    }
    for r in &found {
        say(&match format {
            Format::Table => table(r),
            Format::Json => json(r),
            Format::Csv => csv(r),
        });
    }
    if found.is_empty() && format == Format::Table {
        say(match history.certain() {
            true => "none: no record of such a request, and none is missing: it was never sent\n",
            false => "none: no record of such a request, but records may be missing: nothing is proved\n",
        });
    }
    if format == Format::Table {
        history.faults.iter().for_each(|f| say(&format!("note: {f}\n")));
    }
}

fn verify(history: &History) -> ExitCode {
    let requests = history.requests();
    let uncertain = requests.iter().filter(|r| r.verdict() == Verdict::PossiblySent).count();
    let read = history.segments_read;
    say(&format!("{read} segments, {} requests, {uncertain} possibly sent\n", requests.len()));
    history.faults.iter().for_each(|f| say(&format!("{f}\n")));
    if history.faults.is_empty() {
        say("nothing is damaged\n");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn fate(fate: Fate) -> String {
    match fate {
        Fate::NeverSent => "never sent".into(),
        Fate::Answered(status) => format!("sent, answered {status}"),
        Fate::Unanswered => "sent, ended without an answer".into(),
        Fate::PossiblySent => "possibly sent".into(),
    }
}

fn state(r: &Request) -> &'static str {
    match r.verdict() {
        Verdict::NeverSent => "never sent",
        Verdict::Sent => "sent",
        Verdict::PossiblySent => "possibly sent",
    }
}

fn table(r: &Request) -> String {
    let time = |ms: u64| format!("{}.{:03}", ms / 1000, ms % 1000);
    let id = if r.id.is_empty() { "(id lost)" } else { &r.id };
    let taken = r.taken_at.map_or("(time lost)".into(), time);
    let mut out = format!("{id}  {}/{}  at {}, taken {taken}: {}\n", r.class, r.key, r.proxy, state(r));
    for a in &r.attempts {
        let _ = writeln!(
            out,
            "  {}: {} at {}, {}: {}",
            a.number,
            a.backend,
            a.address,
            time(a.sent_at),
            fate(a.fate)
        );
    }
    if r.is_uncertain {
        out.push_str("  records that may tell of further attempts are missing\n");
    }
    out
}

fn json(r: &Request) -> String {
    let mut value = serde_json::to_value(r).unwrap_or_default();
    if let Some(object) = value.as_object_mut() {
        object.insert("state".into(), state(r).replace(' ', "-").into());
    }
    format!("{value}\n")
}

/// A field of comma-separated values (RFC 4180).
fn field(text: &str) -> String {
    if text.contains([',', '"', '\n', '\r']) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.into()
    }
}

fn csv(r: &Request) -> String {
    let taken = r.taken_at.map_or(String::new(), |t| t.to_string());
    let own =
        [field(&r.proxy), taken, field(&r.id), field(&r.class), field(&r.key), state(r).replace(' ', "-")];
    let own = own.join(",");
    if r.attempts.is_empty() {
        return format!("{own},,,,,\n");
    }
    let row = |a: &lotusdeck_ledger::Attempt| {
        format!(
            "{own},{},{},{},{},{}\n",
            a.number,
            field(&a.backend),
            field(&a.address),
            a.sent_at,
            field(&fate(a.fate))
        )
    };
    r.attempts.iter().map(row).collect()
}
