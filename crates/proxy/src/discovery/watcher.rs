//! Polls discovery and applies its answers to the current list.

use super::monitor::{DiscoveryMonitor, ListSource};
use super::pacing::{backoff, evenly_spread, LONG_POLL_WAIT, MAX_REQUEST_WAIT};
use super::poll::{CompletedPoll, DiscoveryPoll, PollRequest};
use super::polls::DiscoveryPolls;
use super::EndpointListSink;
use crate::endpoint_list::ParsedEndpointList;
use lotusdeck_core::{to_duration, Host};
use lotusdeck_policy::{DiscoveryMode, ListUpdate};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// Keeps the current list up to date, also when discovery moves to another address.
pub(super) struct EndpointWatcher {
    host: Rc<Host>,
    monitor: Rc<DiscoveryMonitor>,
    /// The version of the current list; `None` if the full list has to be requested.
    version: Cell<Option<u64>>,
    /// When the full list is requested to replace the current one: discovery may number its versions differently at its
    /// new address.
    full_list_due: Cell<Option<Instant>>,
    /// The current version when discovery moved, until its new address has reached it.
    version_at_move: Cell<Option<u64>>,
    /// How often discovery has moved.
    moves: Cell<u32>,
    /// Whether discovery has answered at its present address.
    has_answered: Cell<bool>,
    /// Receives every list applied, if lists are saved across restarts.
    sink: Option<EndpointListSink>,
}

impl EndpointWatcher {
    pub(super) fn new(
        host: Rc<Host>, monitor: Rc<DiscoveryMonitor>, version: Option<u64>, sink: Option<EndpointListSink>,
    ) -> EndpointWatcher {
        EndpointWatcher {
            host,
            monitor,
            version: Cell::new(version),
            full_list_due: Cell::default(),
            version_at_move: Cell::default(),
            moves: Cell::default(),
            has_answered: Cell::default(),
            sink,
        }
    }

    /// Waits until the policy requests a poll of discovery, but no longer than `MAX_REQUEST_WAIT`: without a poll the
    /// proxy would follow no further change.
    pub(super) async fn poll_requested(&self) {
        if tokio::time::timeout(MAX_REQUEST_WAIT, self.host.watch_requested()).await.is_err() {
            warn!("no poll of discovery was requested in time, polling anyway");
        }
    }

    /// Handles a change of discovery's address or of its mode.
    pub(super) fn discovery_moved(&self, mode: DiscoveryMode) {
        self.moves.set(self.moves.get() + 1);
        self.has_answered.set(false);
        self.record_last_version(self.version.get());
        match mode {
            DiscoveryMode::Push => self.version.set(None),
            DiscoveryMode::Subscribe { poll_within } => {
                // The first polls after a move all come at once; the requests for full lists are spread evenly over
                // the fleet.
                let position = evenly_spread(self.host.settings().config.proxy_index);
                let delay = to_duration(poll_within.times(1.0 + 2.0 * position));
                self.full_list_due.set(Some(Instant::now() + delay));
            }
        }
    }

    /// Records the last version received from discovery's previous address.
    fn record_last_version(&self, version: Option<u64>) {
        self.version_at_move.set(self.version_at_move.get().max(version));
        self.host.discovery_moved();
    }

    /// Polls one address of discovery, starting from the current version. Never returns.
    pub(super) async fn follow(self: &Rc<Self>, mode: DiscoveryMode, polls: &mut DiscoveryPolls) {
        let mut idle_connection = None;
        let mut failures = 0u32;
        // A poll that the policy requested, or one after a failure, is answered at once with the changes that were
        // missed; only the polls after it wait for changes.
        let mut max_wait = if mode == DiscoveryMode::Push { LONG_POLL_WAIT } else { Duration::ZERO };
        loop {
            if polls.is_empty() {
                polls.open(idle_connection.take(), self.next_request(max_wait));
            }
            let CompletedPoll { number, request, connection, answer } =
                polls.next_completed(&self.version).await;
            match answer {
                Ok(received) => {
                    self.monitor.record_list(number, ListSource::Poll, &received);
                    failures = 0;
                    max_wait = LONG_POLL_WAIT;
                    idle_connection = connection;
                    self.has_answered.set(true);
                    let full_requested = request.full || polls.any_full();
                    self.reschedule_full_list(full_requested, received.list.snapshot, mode);
                    polls.drain().for_each(|poll| self.finish_in_background(poll));
                    self.apply_or_back_off(request, received).await;
                }
                Err(error) => {
                    self.monitor.record_failure(number, &error);
                    failures += 1;
                    self.reschedule_full_list(request.full, false, mode);
                    max_wait = Duration::ZERO;
                    if polls.is_empty() {
                        self.wait_after_failure(mode, failures).await;
                    }
                }
            }
        }
    }

    /// Returns the next request, which lets discovery wait up to `max_wait` before it answers.
    fn next_request(&self, max_wait: Duration) -> PollRequest {
        let time_left = self.full_list_due.get().map(|due| due.saturating_duration_since(Instant::now()));
        PollRequest {
            known_version: self.version.get(),
            full: time_left.is_some_and(|time_left| time_left.is_zero()),
            max_wait: time_left.map_or(max_wait, |time_left| max_wait.min(time_left)),
        }
    }

    /// Updates when the full list is due, after a list was received or a poll failed. If the full list was requested
    /// and not received, changes are requested first, and the full list again after `poll_within`.
    fn reschedule_full_list(&self, full_requested: bool, full_received: bool, mode: DiscoveryMode) {
        if full_received {
            self.full_list_due.set(None);
            return;
        }
        let DiscoveryMode::Subscribe { poll_within } = mode else { return };
        if full_requested {
            self.full_list_due.set(Some(Instant::now() + to_duration(poll_within)));
        }
    }

    /// Waits for the backoff after a failed poll, with no other poll in flight.
    async fn wait_after_failure(&self, mode: DiscoveryMode, failures: u32) {
        match mode {
            DiscoveryMode::Push => {
                let pause = backoff(failures);
                self.monitor.record_back_off(Some(pause));
                tokio::time::sleep(pause).await;
            }
            DiscoveryMode::Subscribe { .. } => {
                self.monitor.record_back_off(None);
                self.host.discard_watch_request(); // the policy may have requested another while the poll was silent
                self.host.update_endpoints(ListUpdate::Failed, Vec::new());
                self.poll_requested().await;
            }
        }
    }

    /// Applies an answer; if it is invalid, waits before the next poll.
    async fn apply_or_back_off(&self, request: PollRequest, received: ParsedEndpointList) {
        if !self.apply(request, received) {
            warn!("discovery answered with changes to a poll for the full list");
            tokio::time::sleep(backoff(1)).await;
        }
    }

    /// Applies an answer. Returns false if it is invalid: changes in answer to a request for the full list.
    fn apply(&self, request: PollRequest, received: ParsedEndpointList) -> bool {
        let known_version = self.version.get();
        let new_version = received.list.version;
        // Another poll was answered since this one was opened: ignore a list that is not newer.
        if known_version != request.known_version && known_version.is_some_and(|known| new_version <= known) {
            return true;
        }
        // Changes in answer to a request for the full list, or older than the version they were requested from
        // (discovery has restarted): the full list has to be requested.
        let is_gap =
            !received.list.snapshot && request.changes_after().is_none_or(|after| new_version < after);
        self.version.set((!is_gap).then_some(new_version));
        if is_gap {
            // Until then the backends that depart according to the answer receive no requests, as a departure is
            // certain.
            self.host.update_endpoints(ListUpdate::Changes, received.into_departures());
            return request.changes_after().is_some();
        }
        self.publish(received);
        true
    }

    /// Applies a list, marked if it is older than the last move of discovery, and passes it to the sink.
    fn publish(&self, ParsedEndpointList { list, mut update }: ParsedEndpointList) {
        update.predates_move = self.version_at_move.get().is_some_and(|version| list.version < version);
        if !update.predates_move {
            self.version_at_move.set(None);
        }
        let kind = if list.snapshot { ListUpdate::Full } else { ListUpdate::Changes };
        self.host.update_endpoints(kind, update);
        if let Some(sink) = &self.sink {
            sink(list);
        }
    }

    /// Completes a poll in the background, and applies its answer.
    pub(super) fn finish_in_background(self: &Rc<Self>, poll: DiscoveryPoll) {
        let watcher = self.clone();
        let moves = self.moves.get();
        tokio::task::spawn_local(async move {
            let CompletedPoll { number, request, connection: _connection, answer: Ok(received) } =
                poll.completion.await
            else {
                return;
            };
            if moves == watcher.moves.get() {
                watcher.monitor.record_list(number, ListSource::LatePoll, &received);
                watcher.apply_late_answer(request, received);
            } else {
                watcher.monitor.record_list(number, ListSource::EarlierAddress, &received);
                watcher.apply_answer_of_old_address(received);
            }
        });
    }

    /// Applies the answer of a poll that was in flight when another one was answered. An answer that is no newer than
    /// the current list is ignored; if it is newer but does not follow that list, only its departures are applied.
    fn apply_late_answer(&self, request: PollRequest, received: ParsedEndpointList) {
        let known_version = self.version.get();
        let new_version = received.list.version;
        if known_version.is_some_and(|known| new_version <= known) {
            return;
        }
        let follows =
            |known| request.changes_after().is_some_and(|after| after <= known && after <= new_version);
        if received.list.snapshot || known_version.is_some_and(follows) {
            self.apply(request, received);
        } else {
            self.host.update_endpoints(ListUpdate::Changes, received.into_departures());
        }
    }

    /// Applies an answer from discovery's previous address, written before the move or until that address ends the
    /// poll. Only its departures are applied if it does not follow the current list or if the new address has answered
    /// since; in the latter case it is ignored unless it is newer.
    fn apply_answer_of_old_address(&self, received: ParsedEndpointList) {
        let known_version = self.version.get();
        let new_version = received.list.version;
        let has_answered = self.has_answered.get();
        if has_answered && known_version.is_some_and(|known| new_version <= known) {
            return;
        }
        let follows = received.list.snapshot || known_version.is_none_or(|known| new_version >= known);
        if has_answered || !follows {
            self.host.update_endpoints(ListUpdate::Changes, received.into_departures());
            // An older list of the present address does not undo them.
            self.record_last_version(Some(new_version));
            return;
        }
        self.version.set(known_version.map(|_| new_version));
        self.publish(received);
        self.record_last_version(Some(new_version));
    }
}
