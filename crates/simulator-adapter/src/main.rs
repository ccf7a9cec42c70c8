//! Runs the decision module behind the simulator's wire protocol: lines of JSON on standard input and output,
//! with one [`lotusdeck_policy::Balancer`] for each simulated proxy. It only translates between lines and
//! events or actions; the module makes every decision.
#![forbid(unsafe_code)]

mod actions;
mod adapter;
mod endpoints;
mod error;
mod events;
mod fields;
mod instance;

use adapter::{Adapter, Reply};
use error::RunError;
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    let output = std::io::stdout().lock();
    match run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lotusdeck-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers lines until the input ends.
///
/// # Errors
/// Returns an error if a line cannot be read or is invalid, or if a reply cannot be written.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), RunError> {
    let mut adapter = Adapter::default();
    let mut text = String::new();
    let mut output_lines = Vec::new();
    let mut line = 0;
    loop {
        text.clear();
        line += 1;
        let length = input.read_line(&mut text).map_err(|source| RunError::Read { line, source })?;
        if length == 0 {
            return Ok(());
        }
        let reply = adapter
            .handle_line(text.trim_end(), &mut output_lines)
            .map_err(|source| RunError::Message { line, source })?;
        if reply == Reply::Complete {
            let written = output.write_all(&output_lines).and_then(|()| output.flush());
            written.map_err(|source| RunError::Reply { line, source })?;
            output_lines.clear();
        }
    }
}
