//! Reports the state of the host: the regular log line with its counts, and the status for operators.

use super::state::State;
use super::{Host, LOG_TARGET};
use crate::status::{BackendStatus, KindStatus, Status};
use lotusdeck_policy::{BackendState, BackendView, KindView};
use tracing::info;

impl Host {
    /// Logs the counts since the last call.
    pub fn log_counts(&self) {
        let mut state = self.state.borrow_mut();
        let counts = std::mem::take(&mut state.counts);
        state.logged_counts += counts;
        info!(
            target: LOG_TARGET,
            requests = counts.requests,
            served = counts.served,
            rejected = counts.rejected,
            failed = counts.failed,
            timed_out = counts.timed_out,
            client_disconnects = counts.client_disconnects,
            attempts = counts.attempts,
            attempts_rejected = counts.attempts_rejected,
            attempts_with_error_answer = counts.attempts_with_error_answer,
            attempts_reset = counts.attempts_reset,
            attempts_not_connected = counts.attempts_not_connected,
            attempts_not_sent = counts.attempts_not_sent,
            open_requests = state.requests.len(),
            timer_lag_us = self.timers.lag().0,
            "requests"
        );
    }

    /// Returns the current state of the whole process.
    pub fn status(&self) -> Status {
        let state = self.state.borrow();
        let mut counts = state.logged_counts;
        counts += state.counts;
        let backends = state.balancer.backends();
        Status {
            settings_generation: state.active.number,
            open_requests: state.requests.len(),
            open_attempts: state.attempts.len(),
            timer_lag_us: self.timers.lag().0,
            counts,
            ledger: self.services.journal.as_ref().map(|journal| journal.status()),
            fleet: self.services.fleet_limiter.as_ref().map(|limiter| limiter.status()),
            kinds: state.balancer.kinds().map(|kind| kind_status(&state, kind)).collect(),
            backends: backends.filter_map(|backend| backend_status(&state, backend)).collect(),
        }
    }
}

fn kind_status(state: &State, kind: KindView) -> KindStatus {
    KindStatus {
        name: state.active.names.kind(kind.id).into(),
        readiness: kind.readiness,
        service_rate_rps: kind.service_rate,
        traffic_share: kind.traffic_share,
    }
}

/// Describes a backend; returns `None` if the registry does not know it.
fn backend_status(state: &State, backend: BackendView) -> Option<BackendStatus> {
    let known = state.registry.get(backend.id)?;
    Some(BackendStatus {
        name: known.name.clone(),
        address: known.address.to_string(),
        state: state_name(backend.state),
        cordoned: backend.cordoned,
        kind: state.active.names.kind(backend.kind).into(),
        readiness: backend.readiness,
        traffic_share: backend.traffic_share,
        in_flight: backend.in_flight,
        in_flight_limit: backend.in_flight_limit,
        error_rate: backend.error_rate,
        ejected: backend.ejected_until.is_some(),
    })
}

/// Returns the state's name in the status document.
fn state_name(state: BackendState) -> &'static str {
    match state {
        BackendState::Ready => "ready",
        BackendState::Draining => "draining",
        BackendState::Removed => "gone",
    }
}
