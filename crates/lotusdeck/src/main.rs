//! lotusdeck: a reverse proxy that chooses where each request goes.
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
    reason = "not revised yet"
)]

mod admin;
mod check;
mod configuration;
mod fleet;
mod journaling;
mod ledger;
mod locate;
mod logging;
mod operator;
mod postgres;
mod serve;
mod state;

use clap::{CommandFactory, Parser, Subcommand};
use std::process::ExitCode;

/// The command line was wrong or what was given is refused.
const REFUSED: u8 = 2;

/// A reverse proxy for fleets of servers. Exit codes: 0 done, 1 failed, 2 wrong usage or refused input.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    what: Command,
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
    match Cli::parse().what {
        Command::Serve(args) => serve::main(args),
        Command::Check(args) => check::main(&args),
        Command::Admin(args) => admin::main(&args),
        Command::Ledger(args) => ledger::main(&args),
        Command::Completions { shell } => {
            let mut out = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "lotusdeck", &mut out);
            say(&String::from_utf8_lossy(&out));
            ExitCode::SUCCESS
        }
    }
}

/// Writes to standard output; whoever reads it may have left, which is no fault.
fn say(text: &str) {
    use std::io::Write;
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_is_sound() {
        Cli::command().debug_assert();
    }
}
