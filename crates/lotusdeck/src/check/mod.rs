//! `lotusdeck check`: reports all faults in configuration files at once.

mod location;
mod node;
#[cfg(test)]
mod tests;

use crate::operator::{OperatorFile, KEYS};
use crate::print;
use location::{position, Position};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The arguments of `lotusdeck check`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Node configurations (.json) and operator files (.toml).
    #[arg(required_unless_present = "keys")]
    files: Vec<PathBuf>,
    /// List every key of the operator file, with its range and default.
    #[arg(long)]
    keys: bool,
}

/// A fault in a file. Findings are ordered by position.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Finding {
    position: Position,
    message: String,
}

/// Checks the files; prints one line for each fault, and one for each file without faults.
pub(crate) fn main(args: &Args) -> ExitCode {
    if args.keys {
        print_keys();
    }
    let mut all_valid = true;
    for file in &args.files {
        let name = file.display();
        match check(file) {
            Ok(kind) => print(&format!("{name}: a sound {kind}\n")),
            Err(findings) => {
                all_valid = false;
                for Finding { position, message } in findings {
                    print(&format!("{name}:{}:{}: {message}\n", position.line, position.column));
                }
            }
        }
    }
    if all_valid {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(crate::EXIT_INVALID_INPUT)
    }
}

fn print_keys() {
    for key in &KEYS {
        let path = key.path;
        let expected = key.value_type.expected();
        let default = key.value_type.default();
        let description = key.description;
        print(&format!("{path}: {expected}, default {default}: {description}\n"));
    }
}

/// Checks a file, and returns its kind in words if it has no fault.
fn check(file: &Path) -> Result<&'static str, Vec<Finding>> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        let message = format!("cannot be read: {error}");
        vec![Finding { position: Position::default(), message }]
    })?;
    if file.extension().is_some_and(|extension| extension == "toml") {
        return check_operator_file(&text);
    }
    let findings = node::check(&text);
    if findings.is_empty() {
        return Ok("node configuration");
    }
    Err(findings)
}

fn check_operator_file(text: &str) -> Result<&'static str, Vec<Finding>> {
    let Err(faults) = OperatorFile::parse(text) else { return Ok("operator file") };
    let finding = |fault: crate::operator::Fault| Finding {
        position: position(text, fault.offset),
        message: fault.message,
    };
    Err(faults.into_iter().map(finding).collect())
}
