//! What the stand-ins saw. Verdicts and figures are drawn from these alone, never from the proxy's own words.

use crate::world::discovery::Status;
use lotusdeck_policy::{Micros, Time};
use serde::Serialize;
use std::fmt;

/// One try of a client: the arrival and the number of the try, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId {
    /// Index of the arrival in the plan.
    pub arrival: u32,
    /// Number of the try.
    pub no: u32,
}

impl TryId {
    /// The id that the client gives it.
    pub fn parse(text: &[u8]) -> Option<TryId> {
        let text = std::str::from_utf8(text).ok().filter(|t| t.len() == 16)?;
        let part = |range: std::ops::Range<usize>| u32::from_str_radix(&text[range], 16).ok();
        Some(TryId { arrival: part(0..8)?, no: part(8..16)? })
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
    /// Its answer was written.
    Served,
    /// It was turned away unseen.
    TurnedAway,
    /// The proxy gave it up.
    Withdrawn,
    /// The process died.
    Died,
}

/// One thing that a stand-in saw.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "saw", rename_all = "snake_case")]
pub enum Observation {
    /// A client wrote the last byte of a request; it said that it waits so many microseconds.
    Asked { id: TryId, proxy: usize, left: u64 },
    /// A client could not connect or write.
    Unreached { id: TryId, proxy: usize },
    /// A whole answer came. `own`: a served one's body is what a backend made for this request.
    Answered { id: TryId, status: u16, retry_after: Option<f64>, own: bool },
    /// The connection ended before a whole answer. `reused`: it had served others before; `begun`: some of it came.
    Broke { id: TryId, reused: bool, begun: bool },
    /// The client stopped waiting.
    Left { id: TryId },
    /// Bytes came behind a whole answer.
    Extra { id: TryId },
    /// A backend has the whole of a request.
    Began { id: TryId, backend: usize },
    /// It is over there.
    Ended { id: TryId, backend: usize, how: RequestEnd },
    /// A backend was sent what no client sent in this form.
    Foreign { backend: usize, text: String },
    /// Discovery told a proxy.
    Told { proxy: usize, backend: usize, status: Status },
    /// Operators' call was answered yes.
    Cordoned { proxy: usize, backend: usize, out: bool },
    /// A proxy was killed, told to stop, or takes clients.
    Proxy { proxy: usize, turn: ProxyEvent },
    /// The worst that a cold backend was sent, and what it bears.
    Pressure { backend: usize, sent: f64, bears: f64 },
    /// A relay did what an injury says, on a connection to that backend.
    Injured { backend: usize, injury: usize },
    /// Something of the plan happened.
    Act { text: String },
}

/// A turn in a proxy's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxyEvent {
    /// It takes clients.
    Ready,
    /// It was told to stop.
    Stopping,
    /// It was killed.
    Killed,
}

/// What was seen, and when, from the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Record {
    /// When.
    #[serde(serialize_with = "micros")]
    pub at: Time,
    /// What.
    #[serde(flatten)]
    pub what: Observation,
}

fn micros<S: serde::Serializer>(at: &Time, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_u64(at.0)
}

impl Record {
    /// The try that it is about.
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

/// The span from `from` on, as text for people.
pub fn seconds(at: Time) -> String {
    format!("{:.3} s", at.0 as f64 / 1e6)
}

/// The body that a backend makes for a request: so many bytes that say whose it is.
pub fn body(id: TryId, bytes: usize) -> Vec<u8> {
    let name = id.to_string();
    name.bytes().cycle().take(bytes.max(name.len())).collect()
}

/// How long after its deadline a client still listens, to see a late answer.
pub const LISTEN_ON: Micros = Micros(400_000);

#[cfg(test)]
mod tests;
