//! The script of a relay: its routes, and the faults on them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// Why a script cannot be run.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The file is not valid TOML or not a script; the error says where.
    #[error("{0}: {1}")]
    Malformed(String, toml::de::Error),
    /// A value is invalid.
    #[error("{0}: expected {1}")]
    Value(String, &'static str),
}

/// A fault script: routes and the faults on them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Seed of all random draws.
    #[serde(default)]
    pub seed: u64,
    /// The routes of the relay.
    pub route: Vec<Route>,
}

/// A route through the relay: a listener and its destination.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, which identifies it in random draws and records.
    pub name: String,
    /// Address to listen on; with port 0 the kernel picks the port.
    pub listen: SocketAddr,
    /// Address of the destination.
    pub to: SocketAddr,
    /// Protocol of the byte stream.
    #[serde(default)]
    pub frame: Framing,
    /// The faults; those at the same place happen in this order.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// How messages are found in the byte stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Framing {
    /// No messages are recognized.
    #[default]
    None,
    /// HTTP/1.1 (RFC 9112).
    Http,
    /// The PostgreSQL protocol, version 3.
    Postgres,
}

/// The direction that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the end that connected.
    Up,
    /// To the end that connected.
    Down,
}

/// A place in a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// Before the first byte.
    #[default]
    Start,
    /// After the head, which is up to the empty line in HTTP, and type and length in a PostgreSQL message.
    Body,
    /// In the middle of a body of declared length.
    Middle,
    /// Before the line with the size of a chunk.
    Chunk,
    /// After the last byte.
    End,
}

/// A fault: on which connections it happens, when, and what it does.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Connections of the route that it is limited to, counted from 0.
    #[serde(default)]
    pub connections: Option<Vec<u64>>,
    /// Part of these connections, drawn by the seed.
    #[serde(default = "all")]
    pub part: f64,
    /// The direction.
    pub way: Direction,
    /// Happens after this number of bytes of the direction ...
    #[serde(default)]
    pub after_bytes: Option<u64>,
    /// ... or after a number drawn uniformly from `after_bytes` to this one.
    #[serde(default)]
    pub until_bytes: Option<u64>,
    /// Happens at this message of the direction, counted from 1.
    #[serde(default)]
    pub message: Option<u64>,
    /// The place in the message.
    #[serde(default)]
    pub place: Option<Place>,
    /// Happens at this time after the connection was accepted.
    #[serde(default)]
    pub after_ms: Option<u64>,
    /// Happens when this word is given by another fault or by a caller.
    #[serde(default)]
    pub on: Option<String>,
    /// Word to give when the fault happens.
    #[serde(default)]
    pub gives: Option<String>,
    /// The effect.
    #[serde(rename = "do")]
    pub what: FaultKind,
}

/// The effect of a fault.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Holds back everything after the place once, for this time.
    Stall { ms: u64 },
    /// Delays each piece from then on by `ms`, and by a random time up to `jitter_ms` more.
    Latency {
        ms: u64,
        #[serde(default)]
        jitter_ms: u64,
    },
    /// Limits the rate from then on.
    Bandwidth { bytes_per_s: u64 },
    /// Sends the bytes from then on in pieces of this size.
    Split { bytes: usize },
    /// Sends pieces that arrive within this time as one.
    Merge { ms: u64 },
    /// Drops everything in this direction, without any sign to the ends.
    Hang,
    /// Drops everything in both directions.
    Blackhole,
    /// Reads nothing for this time, so that the sender's window closes.
    Unread { ms: u64 },
    /// Closes this direction in an orderly way, and leaves the other open.
    HalfClose,
    /// Closes the connections to both ends in an orderly way.
    Cut,
    /// Resets the connections to both ends.
    Reset,
    /// Sends the next bytes twice.
    Repeat { bytes: usize },
    /// Inverts all bits of the next bytes.
    Flip { bytes: usize },
    /// Sends these bytes in addition.
    Insert { text: String },
    /// Sends these bytes in place of the same number of bytes.
    Replace { text: String },
}

/// Largest number of bytes that a fault may change or send twice, as they are held until all have arrived.
pub const MAX_CHANGED_BYTES: usize = 1 << 20;

fn all() -> f64 {
    1.0
}

impl Script {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Returns the first error with its place.
    pub fn load(path: &Path) -> Result<Script, ScriptError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ScriptError::Unreadable(name.clone(), e))?;
        Script::read(&text, &name)
    }

    /// Parses and checks a text; errors name `name` as its source.
    ///
    /// # Errors
    /// Returns the first error with its place.
    pub fn read(text: &str, name: &str) -> Result<Script, ScriptError> {
        let script: Script = toml::from_str(text).map_err(|e| ScriptError::Malformed(name.into(), e))?;
        script.check(name)?;
        Ok(script)
    }

    /// Checks all values.
    ///
    /// # Errors
    /// Returns the first invalid value with its place.
    pub fn check(&self, name: &str) -> Result<(), ScriptError> {
        let mut names = BTreeSet::new();
        for (r, route) in self.route.iter().enumerate() {
            let at = |rest: &str| format!("{name}: route[{r}].{rest}");
            let expect = |good: bool, rest: &str, what| match good {
                true => Ok(()),
                false => Err(ScriptError::Value(at(rest), what)),
            };
            expect(names.insert(&route.name), "name", "a name that no other route has")?;
            expect(route.listen.ip().is_loopback(), "listen", "an address on loopback")?;
            expect(route.to.ip().is_loopback(), "to", "an address on loopback")?;
            for (f, fault) in route.fault.iter().enumerate() {
                let key = |key: &str| format!("fault[{f}].{key}");
                expect((0.0..=1.0).contains(&fault.part), &key("part"), "a part from 0 to 1")?;
                let byte = fault.after_bytes.is_some();
                let triggers = [byte, fault.message.is_some(), fault.after_ms.is_some(), fault.on.is_some()];
                let count = triggers.iter().filter(|w| **w).count();
                expect(count == 1, &key("after_bytes"), "one of after_bytes, message, after_ms and on")?;
                let span =
                    fault.until_bytes.is_none_or(|until| fault.after_bytes.is_some_and(|b| b <= until));
                expect(span, &key("until_bytes"), "at least after_bytes, which has to stand beside it")?;
                let framed = fault.message.is_none() || route.frame != Framing::None;
                expect(framed, &key("message"), "a route whose frame is told")?;
                expect(fault.message != Some(0), &key("message"), "a number from 1 on")?;
                let placed = fault.place.is_none() || fault.message.is_some();
                expect(placed, &key("place"), "message beside it")?;
                let size = match &fault.what {
                    FaultKind::Split { bytes } | FaultKind::Repeat { bytes } | FaultKind::Flip { bytes } => {
                        *bytes
                    }
                    FaultKind::Replace { text } | FaultKind::Insert { text } => text.len(),
                    FaultKind::Bandwidth { bytes_per_s } => usize::from(*bytes_per_s > 0),
                    _ => 1,
                };
                expect((1..=MAX_CHANGED_BYTES).contains(&size), &key("do"), "1 to 1,048,576 bytes")?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
