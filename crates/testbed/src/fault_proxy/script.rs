//! What a relay is told: routes, and the faults on them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// Why a script cannot be played.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is no TOML, or not of this form; the text says where.
    #[error("{0}: {1}")]
    Malformed(String, toml::de::Error),
    /// A value makes no sense.
    #[error("{0}: expected {1}")]
    Value(String, &'static str),
}

/// Routes and what happens on them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Seed of all draws.
    #[serde(default)]
    pub seed: u64,
    /// Where connections come in and go on to.
    pub route: Vec<Route>,
}

/// One way through the relay.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name: draws and records go by it.
    pub name: String,
    /// Where it listens; port 0 lets the kernel pick.
    pub listen: SocketAddr,
    /// Where its connections go on to.
    pub to: SocketAddr,
    /// What the bytes are.
    #[serde(default)]
    pub frame: Framing,
    /// What happens, in the order in which equal places are met.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// How messages are told apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Framing {
    /// Not at all.
    #[default]
    None,
    /// HTTP/1.1 (RFC 9112).
    Http,
    /// The PostgreSQL protocol, version 3.
    Postgres,
}

/// The direction that a fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// From whoever connected.
    Up,
    /// To them.
    Down,
}

/// A place in a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// Before its first byte.
    #[default]
    Start,
    /// Behind its head: an empty line of HTTP, type and length of a PostgreSQL message.
    Body,
    /// In the middle of a body whose length is told.
    Middle,
    /// Before the line that gives a chunk's size.
    Chunk,
    /// Behind its last byte.
    End,
}

/// One fault: on which connections, when, and what.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Only on these connections of the route, counted from 0.
    #[serde(default)]
    pub connections: Option<Vec<u64>>,
    /// On this part of them, drawn by the seed.
    #[serde(default = "all")]
    pub part: f64,
    /// Which direction.
    pub way: Way,
    /// After so many bytes of it.
    #[serde(default)]
    pub after_bytes: Option<u64>,
    /// ... or up to this many, drawn evenly from `after_bytes` on.
    #[serde(default)]
    pub until_bytes: Option<u64>,
    /// At this message of it, counted from 1.
    #[serde(default)]
    pub message: Option<u64>,
    /// Where in the message.
    #[serde(default)]
    pub place: Option<Place>,
    /// So long after the connection came.
    #[serde(default)]
    pub after_ms: Option<u64>,
    /// When this word is given, by another fault or by a caller.
    #[serde(default)]
    pub on: Option<String>,
    /// The word that is given when this one happens.
    #[serde(default)]
    pub gives: Option<String>,
    /// What happens.
    #[serde(rename = "do")]
    pub what: What,
}

/// What a fault does.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Everything behind the place waits so long, once.
    Stall { ms: u64 },
    /// From then on each piece that comes is late by so much, and by up to so much more.
    Latency {
        ms: u64,
        #[serde(default)]
        jitter_ms: u64,
    },
    /// From then on no more than this passes.
    Bandwidth { bytes_per_s: u64 },
    /// From then on pieces of this size go out one by one.
    Split { bytes: usize },
    /// Pieces that come within this time go out as one.
    Merge { ms: u64 },
    /// Nothing of this direction passes any more, and nobody is told.
    Hang,
    /// Nothing passes in either direction any more.
    Blackhole,
    /// The relay reads nothing for so long: the sender's window closes.
    Unread { ms: u64 },
    /// This direction ends in order, the other goes on.
    HalfClose,
    /// Both ends see an orderly end.
    Cut,
    /// Both ends see a reset.
    Reset,
    /// The next bytes go out twice.
    Repeat { bytes: usize },
    /// The next bytes go out with all bits turned.
    Flip { bytes: usize },
    /// These bytes go out beside what was sent.
    Insert { text: String },
    /// These bytes go out in place of as many.
    Replace { text: String },
}

/// Bytes that one fault may change or send twice: they are held until all are there.
pub const MOST_CHANGED: usize = 1 << 20;

fn all() -> f64 {
    1.0
}

impl Script {
    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn load(path: &Path) -> Result<Script, ScriptError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ScriptError::Unreadable(name.clone(), e))?;
        Script::read(&text, &name)
    }

    /// Reads a text; `name` is what faults in it are told under.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn read(text: &str, name: &str) -> Result<Script, ScriptError> {
        let script: Script = toml::from_str(text).map_err(|e| ScriptError::Malformed(name.into(), e))?;
        script.check(name)?;
        Ok(script)
    }

    /// The first value that makes no sense.
    ///
    /// # Errors
    /// It, with its place.
    pub fn check(&self, name: &str) -> Result<(), ScriptError> {
        let mut names = BTreeSet::new();
        for (r, route) in self.route.iter().enumerate() {
            let at = |rest: &str| format!("{name}: route[{r}].{rest}");
            let wants = |good: bool, rest: &str, what| match good {
                true => Ok(()),
                false => Err(ScriptError::Value(at(rest), what)),
            };
            wants(names.insert(&route.name), "name", "a name that no other route has")?;
            wants(route.listen.ip().is_loopback(), "listen", "an address on loopback")?;
            wants(route.to.ip().is_loopback(), "to", "an address on loopback")?;
            for (f, fault) in route.fault.iter().enumerate() {
                let key = |key: &str| format!("fault[{f}].{key}");
                wants((0.0..=1.0).contains(&fault.part), &key("part"), "a part from 0 to 1")?;
                let byte = fault.after_bytes.is_some();
                let whens = [byte, fault.message.is_some(), fault.after_ms.is_some(), fault.on.is_some()];
                let count = whens.iter().filter(|w| **w).count();
                wants(count == 1, &key("after_bytes"), "one of after_bytes, message, after_ms and on")?;
                let span =
                    fault.until_bytes.is_none_or(|until| fault.after_bytes.is_some_and(|b| b <= until));
                wants(span, &key("until_bytes"), "at least after_bytes, which has to stand beside it")?;
                let framed = fault.message.is_none() || route.frame != Framing::None;
                wants(framed, &key("message"), "a route whose frame is told")?;
                wants(fault.message != Some(0), &key("message"), "a number from 1 on")?;
                let placed = fault.place.is_none() || fault.message.is_some();
                wants(placed, &key("place"), "message beside it")?;
                let size = match &fault.what {
                    What::Split { bytes } | What::Repeat { bytes } | What::Flip { bytes } => *bytes,
                    What::Replace { text } | What::Insert { text } => text.len(),
                    What::Bandwidth { bytes_per_s } => usize::from(*bytes_per_s > 0),
                    _ => 1,
                };
                wants((1..=MOST_CHANGED).contains(&size), &key("do"), "1 to 1,048,576 bytes")?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
