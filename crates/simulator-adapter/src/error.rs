//! The errors that end the adapter.

use serde_json::Value;
use std::io;
use thiserror::Error;

/// An error that ends the adapter before the end of its input.
#[derive(Debug, Error)]
pub(crate) enum RunError {
    /// The input could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// The line, counted from 1.
        line: u64,
        /// The error of the system call.
        source: io::Error,
    },
    /// A line is invalid.
    #[error("line {line}: {source}")]
    Message {
        /// The line, counted from 1.
        line: u64,
        /// The fault in the line.
        source: WireError,
    },
    /// A reply could not be written.
    #[error("reply after line {line}: {source}")]
    Reply {
        /// The line that completed the reply, counted from 1.
        line: u64,
        /// The error of the system call.
        source: io::Error,
    },
}

/// A fault in a line.
#[derive(Debug, Error)]
pub(crate) enum WireError {
    /// The line is not JSON.
    #[error("expected a JSON array: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is JSON, but not an array.
    #[error("expected a JSON array")]
    NotAnArray,
    /// The first element is not a string.
    #[error("expected a message name first")]
    NoMessageName,
    /// No message has that name.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// The message has too many or too few values.
    #[error("{message}: expected {expected} values, got {got}")]
    ValueCount {
        /// The message's name.
        message: String,
        /// The number of values of that message.
        expected: usize,
        /// The number of values in the line.
        got: usize,
    },
    /// The message came outside a turn: no `TICK` precedes it.
    #[error("{0}: expected TICK first")]
    NoTick(String),
    /// A value is of another type or out of range.
    #[error("{message}: value {index}: expected {expected}, got {got}")]
    Value {
        /// The message's name.
        message: String,
        /// The index of the value after the name, from 0.
        index: usize,
        /// The valid values.
        expected: &'static str,
        /// The value that was found.
        got: Value,
    },
    /// An entry of an endpoint list is invalid.
    #[error("list entry {entry}: expected {expected}")]
    Endpoint {
        /// The entry.
        entry: Value,
        /// What was expected in it.
        expected: &'static str,
    },
}
