//! Reads entries of the endpoint lists.

use crate::error::WireError;
use lotusdeck_policy::settings::EndpointRecord;
use lotusdeck_policy::{Backend, BackendState, CellId, Time};
use serde_json::Value;
use std::collections::HashMap;

/// Endpoint lists by the numbers under which `VIEW` lines refer to them.
pub(crate) type EndpointLists = HashMap<u64, Vec<EndpointRecord>>;

/// Number of values of an entry, which are in this order: zone, cell, kind, address, state, weight, start
/// time.
const ENTRY_VALUES: usize = 7;
const ZONE: usize = 0;
const CELL: usize = 1;
const KIND: usize = 2;
const ADDRESS: usize = 3;
const STATE: usize = 4;
const STARTED_AT: usize = 6;

/// Reads one entry.
///
/// # Errors
/// Returns an error if the entry has another number of values, or if one of them is invalid.
pub(crate) fn read_endpoint(entry: &Value) -> Result<EndpointRecord, WireError> {
    let unexpected = |expected| WireError::Endpoint { entry: entry.clone(), expected };
    let values = entry.as_array().filter(|values| values.len() == ENTRY_VALUES);
    let values = values.ok_or_else(|| unexpected("an array of 7 values"))?;
    let text = |index: usize, expected| values[index].as_str().ok_or_else(|| unexpected(expected));
    let address = text(ADDRESS, "an address")?;
    if address.is_empty() || !address.bytes().all(needs_no_escape) {
        return Err(unexpected("a plain address"));
    }
    let state = match text(STATE, "IN, LAME or OUT")? {
        "IN" => BackendState::Ready,
        "LAME" => BackendState::Draining,
        "OUT" => BackendState::Removed,
        _ => return Err(unexpected("IN, LAME or OUT")),
    };
    let started_at = match &values[STARTED_AT] {
        Value::Null => None,
        value => Some(value.as_u64().ok_or_else(|| unexpected("a start time or null"))?),
    };
    let cell = values[CELL].as_u64().ok_or_else(|| unexpected("a cell number"))?;
    let backend = Backend {
        cell: CellId(cell),
        state,
        started_at: started_at.filter(|micros| *micros > 0).map(Time),
        ..Backend::default()
    };
    Ok(EndpointRecord::new(address, address, text(ZONE, "a zone")?, text(KIND, "a kind")?, backend))
}

/// Returns whether JSON writes the byte unescaped, as addresses are written into lines without escaping.
fn needs_no_escape(byte: u8) -> bool {
    byte.is_ascii_graphic() && byte != b'"' && byte != b'\\'
}
