//! The command line of the testbed.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used,
    reason = "not all code meets these lints yet"
)]

use clap::{Parser, Subcommand};
use lotusdeck_testbed::driver;
use lotusdeck_testbed::experiment::Experiment;
use lotusdeck_testbed::report::compare;
use lotusdeck_testbed::report::figures::Figures;
use lotusdeck_testbed::session::{self, Options, SessionError};
use lotusdeck_testbed::{
    campaign, crowd_cost, duel, fault_proxy, fleet, ledger, overhead, paper, postgres, scale, soak, swings,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Plays real lotusdeck processes against a stand-in fleet on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    what: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a built-in experiment of half a minute, with a failure half-way; prints a table and writes a page.
    Demo {
        #[command(flatten)]
        options: Options,
    },
    /// Play an experiment.
    Run {
        /// An experiment file.
        experiment: PathBuf,
        #[command(flatten)]
        options: Options,
    },
    /// Print what an experiment would do, without playing it.
    Plan {
        /// An experiment file.
        experiment: PathBuf,
        /// Seed to use in place of the file's.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Measure what a proxy costs: direct, through a plain relay and through lotusdeck, interleaved.
    Overhead(overhead::Args),
    /// Measure what a new connection costs a proxy whose connections are all taken by clients that sent part of a
    /// head.
    CrowdCost(crowd_cost::Args),
    /// Compare several policies on the same arrivals and troubles, in virtual time.
    Duel(duel::Args),
    /// Measure whether many proxies oscillate together: how much the kinds' shares vary, beyond chance.
    Swings(swings::Args),
    /// Reproduce the paper's table and plot, by formula and simulated.
    Paper(paper::Args),
    /// Kill a proxy repeatedly under load, and compare its ledger with what the backends saw.
    LedgerSoak(ledger::Soak),
    /// Write through a proxy to PostgreSQL servers that die, and compare the reported results with what was committed.
    PgSoak(postgres::Soak),
    /// Measure what the PostgreSQL front costs: direct, through a plain relay and through lotusdeck, interleaved; and
    /// idle clients.
    PgOverhead(postgres::Cost),
    /// Measure how fast the ledger is written and read back, next to bare writes of the same disk.
    LedgerBench(ledger::Bench),
    /// Play power losses and restarts of several proxy processes, blank and with kept lists (docs/recovery.md).
    Fleet(fleet::Args),
    /// Reload, shut down and kill proxies in series while discovery moves and fails (docs/testbed.md).
    Soak(soak::Args),
    /// Search for faults that break a rule: draw them from seeds, play them, and shrink those that break one.
    Campaign(campaign::Args),
    /// Relay connections and inject faults by a script (docs/fault-proxy.md); ends when its standard input is closed.
    Relay(fault_proxy::Args),
    /// Measure what a relay without faults adds: direct and through it, interleaved; and idle connections.
    RelayCost(fault_proxy::cost::Args),
    /// Copy bytes between sockets: the baseline of `overhead`.
    #[command(hide = true)]
    PlainRelay {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Addresses to forward connections to, in turn.
        #[arg(long, required = true)]
        to: Vec<SocketAddr>,
    },
    /// Measure real and hollow processes along axes of size, and print slopes (docs/CAPACITY.md).
    Scale(scale::Args),
    /// Write the tables of docs/CAPACITY.md from the records of `scale`, or check that they agree.
    Capacity(scale::capacity::Args),
    /// Compare two folders of results.
    Compare {
        /// The first folder.
        a: PathBuf,
        /// The second folder.
        b: PathBuf,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().what) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("lotusdeck-testbed: {e}");
            ExitCode::from(
                if matches!(
                    e,
                    SessionError::Experiment(_) | SessionError::Script(_) | SessionError::ScaleExperiment(_)
                ) {
                    2
                } else {
                    1
                },
            )
        }
    }
}

/// Runs a command. Returns whether all of its rules held and its figures are valid.
fn run(what: Command) -> Result<bool, SessionError> {
    match what {
        Command::Demo { options } => session::play(&session::demo()?, &options),
        Command::Run { experiment, options } => session::play(&Experiment::load(&experiment)?, &options),
        Command::Plan { experiment, seed } => {
            session::print(&session::outline(&Experiment::load(&experiment)?, seed));
            Ok(true)
        }
        Command::Overhead(args) => overhead::main(&args).map(|()| true),
        Command::CrowdCost(args) => crowd_cost::main(&args).map(|()| true),
        Command::Duel(args) => duel::main(&args).map(|()| true),
        Command::Swings(args) => swings::main(&args).map(|()| true),
        Command::Paper(args) => paper::main(&args).map(|()| true),
        Command::LedgerSoak(args) => ledger::soak(&args),
        Command::PgSoak(args) => postgres::main(&args),
        Command::PgOverhead(args) => postgres::cost(&args).map(|()| true),
        Command::LedgerBench(args) => ledger::bench(&args).map(|()| true),
        Command::Soak(args) => soak::main(&args),
        Command::Campaign(args) => campaign::main(&args),
        Command::Fleet(args) => fleet::main(&args),
        Command::Scale(args) => scale::main(&args).map(|()| true).map_err(SessionError::from),
        Command::Capacity(args) => scale::capacity::main(&args).map_err(SessionError::from),
        Command::Relay(args) => fault_proxy::main(&args).map(|()| true),
        Command::RelayCost(args) => fault_proxy::cost::main(&args).map(|()| true),
        Command::PlainRelay { listen, to } => {
            let io_error = |e| SessionError::File(listen.to_string(), e);
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io_error)?;
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, driver::relay::run(listen, to)).map_err(io_error)?;
            Ok(true)
        }
        Command::Compare { a, b } => {
            let read = |folder: &Path| -> Result<Vec<Figures>, SessionError> { session::figures(folder) };
            let (a, b) = (read(&a)?, read(&b)?);
            session::print(&compare::compare(&a, &b));
            let void_runs = a.iter().chain(&b).filter(|f| f.void.is_some()).count();
            if void_runs > 0 {
                session::print(&format!("{void_runs} void runs are left out\n"));
            }
            Ok(true)
        }
    }
}
