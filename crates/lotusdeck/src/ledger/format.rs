//! Formats the requests of a ledger as a table, as JSON lines and as comma-separated values.

use lotusdeck_ledger::{Attempt, AttemptOutcome, Request, SendState};
use std::fmt::Write;

/// The header line of comma-separated values.
pub(super) const CSV_HEADER: &str =
    "proxy,taken_ms,id,class,key,state,attempt,backend,address,sent_ms,fate\n";

fn outcome_name(outcome: AttemptOutcome) -> String {
    match outcome {
        AttemptOutcome::NeverSent => "never sent".into(),
        AttemptOutcome::Answered(status) => format!("sent, answered {status}"),
        AttemptOutcome::Unanswered => "sent, ended without an answer".into(),
        AttemptOutcome::PossiblySent => "possibly sent".into(),
    }
}

fn state_name(request: &Request) -> &'static str {
    match request.send_state() {
        SendState::NeverSent => "never sent",
        SendState::Sent => "sent",
        SendState::PossiblySent => "possibly sent",
    }
}

/// Returns the state's name in JSON and comma-separated values, with hyphens instead of spaces.
fn state_slug(request: &Request) -> String {
    state_name(request).replace(' ', "-")
}

/// Formats milliseconds as seconds with three decimals.
pub(super) fn seconds(ms: u64) -> String {
    format!("{}.{:03}", ms / 1000, ms % 1000)
}

/// Formats a line for the request and one for each attempt, and a note if records of attempts may be missing.
pub(super) fn table(request: &Request) -> String {
    let id = if request.id.is_empty() { "(id lost)" } else { &request.id };
    let taken = request.taken_at.map_or("(time lost)".into(), seconds);
    let Request { class, key, proxy, .. } = request;
    let state = state_name(request);
    let mut out = format!("{id}  {class}/{key}  at {proxy}, taken {taken}: {state}\n");
    for attempt in &request.attempts {
        let Attempt { number, backend, address, .. } = attempt;
        let sent = seconds(attempt.sent_at);
        let outcome = outcome_name(attempt.outcome);
        let _ = writeln!(out, "  {number}: {backend} at {address}, {sent}: {outcome}");
    }
    if request.is_uncertain {
        out.push_str("  records that may tell of further attempts are missing\n");
    }
    out
}

/// Formats one JSON object and a newline.
pub(super) fn json(request: &Request) -> String {
    let mut value = serde_json::to_value(request).unwrap_or_default();
    if let Some(object) = value.as_object_mut() {
        object.insert("state".into(), state_slug(request).into());
    }
    format!("{value}\n")
}

/// Formats a field of comma-separated values, with quotes if it needs them (RFC 4180).
fn csv_field(text: &str) -> String {
    if text.contains([',', '"', '\n', '\r']) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.into()
    }
}

/// Formats a line for each attempt, or one line if the request has none.
pub(super) fn csv(request: &Request) -> String {
    let taken_ms = request.taken_at.map_or(String::new(), |taken| taken.to_string());
    let request_fields = [
        csv_field(&request.proxy),
        taken_ms,
        csv_field(&request.id),
        csv_field(&request.class),
        csv_field(&request.key),
        state_slug(request),
    ];
    let request_fields = request_fields.join(",");
    if request.attempts.is_empty() {
        return format!("{request_fields},,,,,\n");
    }
    let line = |attempt: &Attempt| {
        let backend = csv_field(&attempt.backend);
        let address = csv_field(&attempt.address);
        let outcome = csv_field(&outcome_name(attempt.outcome));
        format!("{request_fields},{},{backend},{address},{},{outcome}\n", attempt.number, attempt.sent_at)
    };
    request.attempts.iter().map(line).collect()
}
