//! What the host tells of itself: the regular line on its counts, and the status for operators.

use super::state::State;
use super::{Host, LOG_TARGET};
use crate::status::{BackendStatus, KindStatus, Status};
use lotusdeck_policy::{BackendState, BackendView, KindView};
use tracing::info;

impl Host {
    /// One line on what went on since the last.
    pub fn log_counts(&self) {
        let mut s = self.state.borrow_mut();
        let counts = std::mem::take(&mut s.counts);
        s.counts_before += counts;
        info!(
            target: LOG_TARGET,
            requests = counts.requests,
            served = counts.served,
            refused = counts.rejected,
            failed = counts.failed,
            overdue = counts.timed_out,
            gone = counts.client_disconnects,
            attempts = counts.attempts,
            full = counts.attempts_rejected,
            errors = counts.attempts_with_error_answer,
            resets = counts.attempts_reset,
            unconnected = counts.attempts_not_connected,
            unsent = counts.attempts_not_sent,
            open = s.requests.len(),
            lag_us = self.timers.lag().0,
            "requests"
        );
    }

    /// All that is known and done at this moment.
    pub fn status(&self) -> Status {
        let s = self.state.borrow();
        let mut counts = s.counts_before;
        counts += s.counts;
        Status {
            settings_generation: s.generation,
            open_requests: s.requests.len(),
            open_attempts: s.attempts.len(),
            timer_lag_us: self.timers.lag().0,
            counts,
            ledger: self.services.journal.as_ref().map(|journal| journal.status()),
            fleet: self.services.fleet_limiter.as_ref().map(|gate| gate.status()),
            kinds: s.balancer.kinds().map(|kind| kind_status(&s, kind)).collect(),
            backends: s.balancer.backends().filter_map(|backend| backend_status(&s, backend)).collect(),
        }
    }
}

fn kind_status(s: &State, kind: KindView) -> KindStatus {
    KindStatus {
        name: s.names.kind(kind.id).into(),
        readiness: kind.readiness,
        service_rate_rps: kind.service_rate,
        traffic_share: kind.traffic_share,
    }
}

/// `None` for a backend that the list has forgotten.
fn backend_status(s: &State, backend: BackendView) -> Option<BackendStatus> {
    let known = s.registry.get(backend.id)?;
    Some(BackendStatus {
        name: known.name.clone(),
        address: known.address.to_string(),
        state: state_name(backend.state),
        cordoned: backend.cordoned,
        kind: s.names.kind(backend.kind).into(),
        readiness: backend.readiness,
        traffic_share: backend.traffic_share,
        in_flight: backend.in_flight,
        in_flight_limit: backend.in_flight_limit,
        error_rate: backend.error_rate,
        ejected: backend.ejected_until.is_some(),
    })
}

fn state_name(state: BackendState) -> &'static str {
    match state {
        BackendState::Ready => "ready",
        BackendState::Draining => "draining",
        BackendState::Removed => "gone",
    }
}
