//! The endpoint list in discovery's JSON form, and the decoding of its entries, completely or in part. Discovery's
//! paths, keys and status words appear in this module only.

use lotusdeck_core::{Endpoint, EndpointUpdate, PartialEndpoint};
use lotusdeck_policy::settings::EndpointRecord;
use lotusdeck_policy::{Backend, BackendState, CellId, Time};
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::collections::HashMap;
use std::time::Duration;
use thiserror::Error;
use tracing::warn;

/// Maximum number of entries of a list or of its changes: three times the 11,000 of the largest list planned for. Each
/// takes some 1.6 KB while it is parsed, all of them 54 MB.
pub const MAX_ENTRIES: usize = 32_768;

/// A full list, or the changes to one. Entries are decoded one by one, so that an invalid one does not affect the
/// others.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EndpointList {
    /// Discovery's version of the list.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether it is a full list; otherwise it contains changes.
    pub snapshot: bool,
    /// The entries as discovery sent them.
    #[serde(deserialize_with = "bounded_entries")]
    pub endpoints: Vec<Value>,
}

/// Deserializes the entries of a list; rejects one that is too long before it takes up the memory that requests need.
fn bounded_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Value>, D::Error> {
    struct EntriesVisitor;
    impl<'de> Visitor<'de> for EntriesVisitor {
        type Value = Vec<Value>;
        fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            write!(f, "an array of {MAX_ENTRIES} entries at most")
        }
        fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<Value>, A::Error> {
            let mut entries = Vec::new();
            while let Some(entry) = sequence.next_element()? {
                if entries.len() == MAX_ENTRIES {
                    return Err(A::Error::invalid_length(MAX_ENTRIES + 1, &self));
                }
                entries.push(entry);
            }
            Ok(entries)
        }
    }
    deserializer.deserialize_seq(EntriesVisitor)
}

/// An entry of the list on the wire.
#[derive(Deserialize)]
struct WireEndpoint {
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

/// Why an entry cannot be decoded.
#[derive(Debug, Error)]
enum EntryError {
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    #[error("status: expected SERVING, DRAINING or DELETED, got {0:?}")]
    Status(String),
    #[error("address: expected IP:port, got {0:?}")]
    Address(String),
}

const REMOVED: &str = "DELETED";

fn parse_state(status: &str) -> Option<BackendState> {
    match status {
        "SERVING" => Some(BackendState::Ready),
        "DRAINING" => Some(BackendState::Draining),
        REMOVED => Some(BackendState::Removed),
        _ => None,
    }
}

/// Returns whether a backend in this state departs: it is draining or removed.
fn is_departing(state: BackendState) -> bool {
    state != BackendState::Ready
}

/// Returns the name in an entry, even if the rest of it is invalid.
pub(crate) fn entry_name(entry: &Value) -> Option<&str> {
    entry.get("name").and_then(Value::as_str)
}

fn entry_status(entry: &Value) -> Option<&str> {
    entry.get("status").and_then(Value::as_str)
}

/// Returns whether an entry marks its backend as removed, even if the rest of it is invalid.
pub(crate) fn is_removal(entry: &Value) -> bool {
    entry_status(entry) == Some(REMOVED)
}

fn parse_entry(entry: &Value) -> Result<Endpoint, EntryError> {
    let wire = WireEndpoint::deserialize(entry)?;
    let Some(state) = parse_state(&wire.status) else { return Err(EntryError::Status(wire.status)) };
    let Ok(address) = wire.address.parse() else { return Err(EntryError::Address(wire.address)) };
    let started_at = (wire.since_ms > 0.0).then_some(Time((wire.since_ms * 1e3) as u64));
    let backend = Backend { cell: CellId(wire.group), state, started_at, ..Backend::default() };
    // The shared order key derives from the name, which is the same at every proxy; the address may not be.
    let row = EndpointRecord::new(&wire.name, &wire.address, &wire.zone, &wire.kind, backend);
    Ok(Endpoint { name: wire.name, address, state, row })
}

/// Decodes an entry that is invalid in part: the name of its backend, and its state if it departs. Nothing else in it
/// is trusted.
fn parse_partial_entry(entry: &Value) -> Option<PartialEndpoint> {
    let departing = entry_status(entry).and_then(parse_state).filter(|state| is_departing(*state));
    Some(PartialEndpoint { name: entry_name(entry)?.into(), state: departing })
}

impl EndpointList {
    /// Returns the request target for the changes since a version, for which discovery may wait up to `max_wait`, or
    /// for the full list.
    pub(crate) fn request_target(changes_after: Option<u64>, max_wait: Duration) -> String {
        match changes_after {
            None => "/api/targets".into(),
            Some(version) => format!("/api/targets?after={version}&wait_ms={}", max_wait.as_millis()),
        }
    }

    /// Decodes the entries. An entry that cannot be decoded completely can still drain or remove its backend, but
    /// changes nothing else; only the first such entry is logged, with their number, as a list may be long. If a full
    /// list names a backend more than once, an entry that drains or removes it takes precedence; in changes the last
    /// entry does.
    pub fn to_update(&self) -> EndpointUpdate {
        let mut update = EndpointUpdate::default();
        let mut skipped = 0;
        let mut first_skipped = None;
        for (position, entry) in self.endpoints.iter().enumerate() {
            match parse_entry(entry) {
                Ok(endpoint) => update.complete.push(endpoint),
                Err(error) => {
                    skipped += 1;
                    first_skipped
                        .get_or_insert_with(|| format!("endpoints[{position}]: {error}: {entry:.200}"));
                    update.partial.extend(parse_partial_entry(entry));
                }
            }
        }
        if let Some(first) = first_skipped {
            warn!(skipped, first = format!("{first:.400}"), "discovery entries skipped");
        }
        if self.snapshot {
            update.partial.extend(departures_of_duplicates(&update.complete));
        }
        update
    }

    /// Decodes the entries and returns them together with the list.
    pub fn parse(self) -> ParsedEndpointList {
        let update = self.to_update();
        ParsedEndpointList { list: self, update }
    }
}

/// A list and its decoded entries.
pub struct ParsedEndpointList {
    /// The list as discovery sent it.
    pub list: EndpointList,
    /// The decoded entries.
    pub update: EndpointUpdate,
}

impl ParsedEndpointList {
    /// Returns the number of entries by which a backend departs.
    pub(crate) fn departures(&self) -> usize {
        let complete = self.update.complete.iter().filter(|endpoint| is_departing(endpoint.state)).count();
        complete + self.update.partial.iter().filter(|entry| entry.state.is_some()).count()
    }

    /// Returns only the departures: all that can be trusted of changes to a list other than the current one.
    pub fn into_departures(self) -> EndpointUpdate {
        let departure = |endpoint: Endpoint| {
            is_departing(endpoint.state)
                .then_some(PartialEndpoint { name: endpoint.name, state: Some(endpoint.state) })
        };
        let complete = self.update.complete.into_iter().filter_map(departure);
        let partial = self.update.partial.into_iter().filter(|entry| entry.state.is_some());
        EndpointUpdate { partial: complete.chain(partial).collect(), ..EndpointUpdate::default() }
    }
}

/// How often a full list names a backend, and the state in which it departs according to any of these entries.
#[derive(Default)]
struct Occurrences {
    count: usize,
    departing: Option<BackendState>,
}

/// Returns the departures of backends that a full list names more than once.
fn departures_of_duplicates(endpoints: &[Endpoint]) -> Vec<PartialEndpoint> {
    let mut by_name: HashMap<&str, Occurrences> = HashMap::with_capacity(endpoints.len());
    for endpoint in endpoints {
        let occurrences = by_name.entry(&endpoint.name).or_default();
        occurrences.count += 1;
        occurrences.departing =
            occurrences.departing.or(Some(endpoint.state).filter(|state| is_departing(*state)));
    }
    let mut departures = Vec::new();
    for (name, occurrences) in by_name {
        if occurrences.count < 2 {
            continue;
        }
        warn!(name, times = occurrences.count, "discovery names one more than once");
        if let Some(state) = occurrences.departing {
            departures.push(PartialEndpoint { name: name.into(), state: Some(state) });
        }
    }
    departures
}
