//! Reads lines that are events of one simulated proxy.

use crate::endpoints::EndpointLists;
use crate::error::WireError;
use crate::fields::Fields;
use crate::instance::Instance;
use lotusdeck_policy::{Arrival, AttemptEnd, Event, ListUpdate, Micros, TenantId, TimerToken};
use serde_json::Value;

/// Flag of a `JOB_IN` line: the line contains the expected work.
const HAS_WORK_HINT: u64 = 1;
/// Flag of a `JOB_IN` line: the client marks the request as a retry.
const IS_CLIENT_RETRY: u64 = 2;

/// Reads the event of a line; returns `None` for messages about features that this proxy does not have.
///
/// # Errors
/// Returns an error if a value is invalid or names something unknown.
pub(crate) fn read_event(
    fields: &Fields, instance: &mut Instance, lists: &EndpointLists,
) -> Result<Option<Event>, WireError> {
    let event = match fields.message {
        "VIEW" => read_endpoint_update(fields, instance, lists)?,
        "JOB_IN" => Event::Request(read_arrival(fields, instance)?),
        "ESTABLISHED" => Event::StreamStarted { request: fields.request(1)?, attempt: fields.attempt(2)? },
        "RETURNED" => Event::AttemptEnded(read_attempt_end(fields)?),
        "VANISHED" => Event::ClientDisconnected { request: fields.request(1)? },
        "TIMEOUT_FIRED" => Event::Timer { token: TimerToken(fields.unsigned(1, "a token")?) },
        // MEMO and STATUS_BACK: this proxy sends no messages to other proxies and no probes, so neither is
        // ever received.
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn read_endpoint_update(
    fields: &Fields, instance: &mut Instance, lists: &EndpointLists,
) -> Result<Event, WireError> {
    let update = match fields.text(3, "a list kind")? {
        "incr" => ListUpdate::Changes,
        "total" => ListUpdate::Full,
        "warm_copy" => ListUpdate::Cached,
        "lost" => ListUpdate::Failed,
        _ => return Err(fields.unexpected(3, "incr, total, warm_copy or lost")),
    };
    let mut backends = Vec::new();
    if update != ListUpdate::Failed {
        let number = fields.unsigned(1, "a roster number")?;
        let list = lists.get(&number).ok_or_else(|| fields.unexpected(1, "a known roster number"))?;
        for record in list {
            let id = instance.backend_id(&record.address);
            backends.push(instance.names.resolve(record, id));
        }
    }
    Ok(Event::EndpointsUpdated { update, backends })
}

fn read_arrival(fields: &Fields, instance: &Instance) -> Result<Arrival, WireError> {
    let flags = fields.values[6].as_u64().unwrap_or(0);
    let has_work_hint = flags & HAS_WORK_HINT == HAS_WORK_HINT;
    let request = fields.request(1)?;
    let time_left = fields.micros(3, "the time left in microseconds")?;
    let tenant = read_tenant(fields, instance)?;
    let class = instance.names.class(fields.text(7, "a class")?);
    Ok(Arrival {
        request,
        class: class.ok_or_else(|| fields.unexpected(7, "a known class"))?,
        tenant,
        time_left,
        work_hint: fields.values[2].as_u64().filter(|_| has_work_hint).map(Micros),
        is_client_retry: flags & IS_CLIENT_RETRY == IS_CLIENT_RETRY,
        body_incomplete: false,
    })
}

fn read_tenant(fields: &Fields, instance: &Instance) -> Result<Option<TenantId>, WireError> {
    let Value::String(name) = &fields.values[5] else { return Ok(None) };
    let tenant = instance.names.tenant(name);
    tenant.map(Some).ok_or_else(|| fields.unexpected(5, "a known tenant"))
}

fn read_attempt_end(fields: &Fields) -> Result<AttemptEnd, WireError> {
    fields.text(3, "a backend")?;
    Ok(AttemptEnd {
        request: fields.request(1)?,
        attempt: fields.attempt(2)?,
        outcome: fields.outcome(4)?,
        latency: fields.micros(5, "a time in microseconds")?,
        request_answered: fields.flag(6, "true or false")?,
        body_consumed: false,
    })
}
