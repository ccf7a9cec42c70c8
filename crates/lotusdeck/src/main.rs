//! lotusdeck: a reverse proxy that chooses the backend of each request.

mod admin;
mod check;
mod configuration;
mod fleet;
mod ledger;
mod ledger_journal;
mod logging;
mod operator;
mod postgres;
mod serve;
mod state;

use clap::{CommandFactory, Parser, Subcommand};
use std::process::ExitCode;

/// The exit code for wrong usage and for invalid input.
const EXIT_INVALID_INPUT: u8 = 2;

/// A reverse proxy for fleets of servers. Exit codes: 0 done, 1 failed, 2 wrong usage or refused input.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one proxy in the foreground.
    Serve(serve::Args),
    /// Tell all that is wrong with node configurations (JSON) and operator files (TOML).
    Check(check::Args),
    /// Call a running proxy.
    Admin(admin::Args),
    /// Read the journal of requests that must never run twice.
    Ledger(ledger::Args),
    /// Print a completion script.
    Completions {
        /// For this shell.
        shell: clap_complete::Shell,
    },
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve(args) => serve::main(args),
        Command::Check(args) => check::main(&args),
        Command::Admin(args) => admin::main(&args),
        Command::Ledger(args) => ledger::main(&args),
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "lotusdeck", &mut script);
            print(&String::from_utf8_lossy(&script));
            ExitCode::SUCCESS
        }
    }
}

/// Writes to standard output. Ignores errors, as the reader may have closed it.
fn print(text: &str) {
    use std::io::Write;
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

#[cfg(test)]
mod tests;
