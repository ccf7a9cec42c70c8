//! The backend list in discovery's JSON form, and what its lines say, whole or in part.

use lotusdeck_core::{Endpoint, EndpointUpdate, PartialEndpoint};
use lotusdeck_policy::settings::EndpointRecord;
use lotusdeck_policy::{Backend, BackendState, CellId, Time};
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::collections::HashMap;
use std::time::Duration;
use tracing::warn;

/// Lines of a list or of its changes at most, three times the 11,000 of the largest list that is planned for. Each takes
/// some 1.6 KB while it is read, all of them 54 MB.
pub const MOST_LINES: usize = 32_768;

/// A list, or the changes to one. Entries are read one by one, so that a bad one spoils no other.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EndpointList {
    #[serde(rename = "index")]
    pub version: u64,
    pub snapshot: bool,
    #[serde(deserialize_with = "lines")]
    pub endpoints: Vec<Value>,
}

/// The lines of a list; one that is too long is refused before it takes the memory that requests need.
fn lines<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Value>, D::Error> {
    struct Lines;
    impl<'de> Visitor<'de> for Lines {
        type Value = Vec<Value>;
        fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            write!(f, "an array of {MOST_LINES} entries at most")
        }
        fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Vec<Value>, A::Error> {
            let mut lines = Vec::new();
            while let Some(line) = from.next_element()? {
                if lines.len() == MOST_LINES {
                    return Err(A::Error::invalid_length(MOST_LINES + 1, &self));
                }
                lines.push(line);
            }
            Ok(lines)
        }
    }
    from.deserialize_seq(Lines)
}

#[derive(Deserialize)]
struct Entry {
    name: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u64,
    status: String,
    #[serde(default)]
    since_ms: f64,
}

fn state(status: &str) -> Option<BackendState> {
    match status {
        "SERVING" => Some(BackendState::Ready),
        "DRAINING" => Some(BackendState::Draining),
        "DELETED" => Some(BackendState::Removed),
        _ => None,
    }
}

fn leaves(state: BackendState) -> bool {
    state != BackendState::Ready
}

impl Entry {
    fn read(value: &Value) -> Result<Endpoint, String> {
        let e = Entry::deserialize(value).map_err(|e| e.to_string())?;
        let state = state(&e.status)
            .ok_or_else(|| format!("status: expected SERVING, DRAINING or DELETED, got {:?}", e.status))?;
        let address = e.address.parse();
        let address = address.map_err(|_| format!("address: expected IP:port, got {:?}", e.address))?;
        let booted = (e.since_ms > 0.0).then_some(Time((e.since_ms * 1e3) as u64));
        let entry = Backend { cell: CellId(e.group), state, started_at: booted, ..Backend::default() };
        // The name is the same at every proxy; the address may not be.
        let row = EndpointRecord::new(&e.name, &e.address, &e.zone, &e.kind, entry);
        Ok(Endpoint { name: e.name, address, state, row })
    }

    /// What can be told of an entry that is not understood whole: whom it names, and whether that one leaves. Any
    /// other word of it is not believed.
    fn part(value: &Value) -> Option<PartialEndpoint> {
        let text = |key| value.get(key).and_then(Value::as_str);
        let leaving = text("status").and_then(state).filter(|s| leaves(*s));
        Some(PartialEndpoint { name: text("name")?.into(), state: leaving })
    }
}

impl EndpointList {
    /// What to ask discovery for: the changes after a version, for which it may wait so long, or the full list.
    pub(crate) fn request_target(changes_after: Option<u64>, max_wait: Duration) -> String {
        match changes_after {
            None => "/api/targets".into(),
            Some(version) => format!("/api/targets?after={version}&wait_ms={}", max_wait.as_millis()),
        }
    }

    /// What it says. Of entries that are not understood whole one is logged, with their number, as a list may be
    /// long; a word that a backend leaves is taken from them all the same, and else they change nothing. Where a
    /// whole list names one twice, the word that it leaves goes first; in changes the last word counts.
    pub fn to_update(&self) -> EndpointUpdate {
        let mut news = EndpointUpdate::default();
        let (mut skipped, mut sample) = (0, None);
        for (at, value) in self.endpoints.iter().enumerate() {
            match Entry::read(value) {
                Ok(entry) => news.complete.push(entry),
                Err(e) => {
                    skipped += 1;
                    sample.get_or_insert_with(|| format!("endpoints[{at}]: {e}: {value:.200}"));
                    news.partial.extend(Entry::part(value));
                }
            }
        }
        if let Some(sample) = sample {
            warn!(skipped, first = format!("{sample:.400}"), "discovery entries skipped");
        }
        if self.snapshot {
            news.partial.extend(contradicted(&news.complete));
        }
        news
    }

    /// The list together with what it says.
    pub fn parse(self) -> ParsedEndpointList {
        let news = self.to_update();
        ParsedEndpointList { list: self, update: news }
    }
}

/// A list, and what it says.
pub struct ParsedEndpointList {
    /// As discovery sent it.
    pub list: EndpointList,
    /// What was understood of it.
    pub update: EndpointUpdate,
}

impl ParsedEndpointList {
    /// Of what it says only who leaves: all that can be believed of changes to a list that is not held.
    pub fn into_departures(self) -> EndpointUpdate {
        let left =
            |e: Endpoint| leaves(e.state).then_some(PartialEndpoint { name: e.name, state: Some(e.state) });
        let entries = self.update.complete.into_iter().filter_map(left);
        let partial = entries.chain(self.update.partial.into_iter().filter(|p| p.state.is_some())).collect();
        EndpointUpdate { complete: Vec::new(), partial }
    }
}

/// The leaving words of names that stand more than once in a whole list.
fn contradicted(entries: &[Endpoint]) -> Vec<PartialEndpoint> {
    let mut states: HashMap<&str, (usize, Option<BackendState>)> = HashMap::with_capacity(entries.len());
    for e in entries {
        let (times, leaving) = states.entry(&e.name).or_default();
        *times += 1;
        *leaving = leaving.or(Some(e.state).filter(|s| leaves(*s)));
    }
    let twice = states.into_iter().filter(|(_, (times, _))| *times > 1);
    let twice = twice.inspect(|(name, (times, _))| warn!(name, times, "discovery names one more than once"));
    twice
        .filter_map(|(name, (_, state))| Some(PartialEndpoint { name: name.into(), state: Some(state?) }))
        .collect()
}
