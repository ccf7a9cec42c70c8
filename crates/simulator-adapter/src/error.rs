//! Why the adapter stops.

use serde_json::Value;
use std::io;
use thiserror::Error;

/// Why the conversation with the simulator ended before its input did.
#[derive(Debug, Error)]
pub(crate) enum RunError {
    /// The input could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// The line, counted from 1.
        line: u64,
        /// What the system said.
        source: io::Error,
    },
    /// A line was not understood.
    #[error("line {line}: {source}")]
    Message {
        /// The line, counted from 1.
        line: u64,
        /// What was wrong with it.
        source: WireError,
    },
    /// A reply could not be written.
    #[error("reply after line {line}: {source}")]
    Reply {
        /// The line that completed the reply, counted from 1.
        line: u64,
        /// What the system said.
        source: io::Error,
    },
}

/// What is wrong with a line.
#[derive(Debug, Error)]
pub(crate) enum WireError {
    /// It is not JSON.
    #[error("expected a JSON array: {0}")]
    NotJson(#[from] serde_json::Error),
    /// It is JSON of another type.
    #[error("expected a JSON array")]
    NotAnArray,
    /// Its first element is no text.
    #[error("expected a message name first")]
    NoMessageName,
    /// No message has that name.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// It has too many or too few values.
    #[error("{message}: expected {expected} values, got {got}")]
    ValueCount {
        /// The message's name.
        message: String,
        /// How many values that message has.
        expected: usize,
        /// How many there are.
        got: usize,
    },
    /// It came before the clock was told.
    #[error("{0}: expected TICK first")]
    NoTick(String),
    /// One of its values is of another type or out of range.
    #[error("{message}: value {index}: expected {expected}, got {got}")]
    Value {
        /// The message's name.
        message: String,
        /// The value's index behind the name, from 0.
        index: usize,
        /// What that value is meant to be.
        expected: &'static str,
        /// What stands there.
        got: Value,
    },
    /// An entry of an endpoint list is not understood.
    #[error("list entry {entry}: expected {expected}")]
    Endpoint {
        /// The entry.
        entry: Value,
        /// What was expected in it.
        expected: &'static str,
    },
}
