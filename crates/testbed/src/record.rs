//! The records of what the stand-ins observed. Verdicts and figures are derived from these alone, never from what the
//! proxy reports about itself.

use crate::world::discovery::Status;
use lotusdeck_policy::{Micros, Time};
use serde::Serialize;
use std::fmt;

/// Identifies one try of a client, by its arrival and the number of the try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId {
    /// Index of the arrival in the plan.
    pub arrival: u32,
    /// Number of the try, from 0.
    pub no: u32,
}

impl TryId {
    /// Parses an id as clients send it: two hexadecimal numbers of 8 digits each. Returns `None` for other text.
    pub fn parse(text: &[u8]) -> Option<TryId> {
        let text = std::str::from_utf8(text).ok().filter(|t| t.len() == 16)?;
        let parse_hex = |range: std::ops::Range<usize>| u32::from_str_radix(&text[range], 16).ok();
        Some(TryId { arrival: parse_hex(0..8)?, no: parse_hex(8..16)? })
    }
}

impl fmt::Display for TryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}{:08x}", self.arrival, self.no)
    }
}

impl Serialize for TryId {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

/// How a request ended at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// The backend wrote its answer.
    Served,
    /// The backend rejected it without processing.
    TurnedAway,
    /// The proxy cancelled it.
    Withdrawn,
    /// The backend's process died.
    Died,
}

/// An event that a stand-in observed.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "saw", rename_all = "snake_case")]
pub enum Observation {
    /// A client wrote the last byte of a request. `left`: the time that it said it waits, in microseconds.
    Asked { id: TryId, proxy: usize, left: u64 },
    /// A client could not connect or write.
    Unreached { id: TryId, proxy: usize },
    /// A client received a whole answer. `own`: its body is the one that a backend makes for this request; only
    /// meaningful for answers that a backend sent.
    Answered { id: TryId, status: u16, retry_after: Option<f64>, own: bool },
    /// The connection ended before a whole answer. `reused`: it had served other requests before; `begun`: part of the
    /// answer was received.
    Broke { id: TryId, reused: bool, begun: bool },
    /// The client stopped waiting.
    Left { id: TryId },
    /// A client received bytes after a whole answer.
    Extra { id: TryId },
    /// A backend received the whole of a request.
    Began { id: TryId, backend: usize },
    /// A request ended at a backend.
    Ended { id: TryId, backend: usize, how: RequestEnd },
    /// A backend received something that no client sent in this form.
    Foreign { backend: usize, text: String },
    /// Discovery sent a proxy the status of a backend.
    Told { proxy: usize, backend: usize, status: Status },
    /// A proxy accepted an operator's call that cordons a backend (`out`) or lifts the cordon.
    Cordoned { proxy: usize, backend: usize, out: bool },
    /// A proxy changed its state.
    Proxy { proxy: usize, turn: ProxyEvent },
    /// The work sent to a cold backend and what it can take, core-seconds, in the window with the highest ratio of
    /// the two.
    Pressure { backend: usize, sent: f64, bears: f64 },
    /// A relay injected a fault into a connection to that backend.
    Injured { backend: usize, injury: usize },
    /// An act of the plan was carried out.
    Act { text: String },
}

/// A change of a proxy's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxyEvent {
    /// It accepts clients.
    Ready,
    /// It received the signal to stop.
    Stopping,
    /// It was killed.
    Killed,
}

/// An observation and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Record {
    /// The time since the start of the run.
    #[serde(serialize_with = "micros")]
    pub at: Time,
    /// The observation.
    #[serde(flatten)]
    pub what: Observation,
}

fn micros<S: serde::Serializer>(at: &Time, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_u64(at.0)
}

impl Record {
    /// Returns the try that the observation belongs to, if any.
    pub fn id(&self) -> Option<TryId> {
        match &self.what {
            Observation::Asked { id, .. }
            | Observation::Unreached { id, .. }
            | Observation::Answered { id, .. }
            | Observation::Broke { id, .. }
            | Observation::Left { id }
            | Observation::Extra { id }
            | Observation::Began { id, .. }
            | Observation::Ended { id, .. } => Some(*id),
            _ => None,
        }
    }
}

/// Formats a time in seconds, for reports.
pub fn seconds(at: Time) -> String {
    format!("{:.3} s", at.0 as f64 / 1e6)
}

/// Builds the body that a backend answers a request with: the request's id, repeated up to `bytes` but at least once.
pub fn body(id: TryId, bytes: usize) -> Vec<u8> {
    let name = id.to_string();
    name.bytes().cycle().take(bytes.max(name.len())).collect()
}

/// The time after its deadline for which a client keeps listening, to observe a late answer.
pub const LISTEN_ON: Micros = Micros(400_000);

#[cfg(test)]
mod tests;
