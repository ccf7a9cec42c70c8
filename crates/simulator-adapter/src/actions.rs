//! Writes the actions of the decision module as lines.

use crate::instance::Instance;
use lotusdeck_policy::Action;
use serde_json::{json, Value};
use std::io::Write;

/// Adds a line to the reply.
pub(crate) fn write_line(reply: &mut Vec<u8>, value: &Value) {
    let _ = writeln!(reply, "{value}"); // a write to memory cannot fail
}

/// Adds the line of an action to the reply. Instance names and backend addresses were checked to need no JSON
/// escapes, so that the frequent lines are formatted directly.
pub(crate) fn write_action(name: &str, instance: &Instance, action: &Action, reply: &mut Vec<u8>) {
    let _ = match action {
        Action::Dispatch { request, backend } => {
            let address = instance.address(*backend);
            writeln!(reply, "[\"HAND_OFF\",\"{name}\",\"{:016x}\",\"{address}\",0]", request.0)
        }
        Action::Reject { request, retry_after } => {
            writeln!(reply, "[\"BOUNCE\",\"{name}\",\"{:016x}\",{}]", request.0, retry_after.0)
        }
        Action::Fail { request } => writeln!(reply, "[\"LOSE\",\"{name}\",\"{:016x}\"]", request.0),
        Action::Cancel { request, attempt } | Action::Replace { request, attempt } => {
            writeln!(reply, "[\"RECALL\",\"{name}\",\"{:016x}\",{}]", request.0, attempt.0)
        }
        Action::SetTimer { token, after } => {
            writeln!(reply, "[\"AFTER\",\"{name}\",{},{}]", token.0, after.0)
        }
        Action::WatchEndpoints => writeln!(reply, "[\"FOLLOW\",\"{name}\",true]"),
        Action::Log(text) => writeln!(reply, "{}", json!(["WRITE_LOG", name, text])),
    };
}
