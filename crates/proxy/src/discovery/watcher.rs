//! Follows discovery, and applies what it answers to the list in place.

use super::pacing::{backoff, spread, LONG_POLL_WAIT};
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
use tracing::{info, warn};

/// The list in place, across moves of discovery.
pub(super) struct EndpointWatcher {
    host: Rc<Host>,
    /// The version in place; `None` where the full list has to be asked for.
    version: Cell<Option<u64>>,
    /// When the list in place is compared with a full one: discovery may count versions otherwise at its new address.
    full_list_due: Cell<Option<Instant>>,
    /// The version in place when discovery moved, until its new address has reached it.
    version_at_move: Cell<Option<u64>>,
    /// How often discovery has moved.
    moves: Cell<u32>,
    /// Discovery has answered at its present address.
    has_answered: Cell<bool>,
    /// Where every list applied goes on to, where lists are saved across restarts.
    sink: Option<EndpointListSink>,
}

impl EndpointWatcher {
    pub(super) fn new(
        host: Rc<Host>, version: Option<u64>, sink: Option<EndpointListSink>,
    ) -> EndpointWatcher {
        EndpointWatcher {
            host,
            version: Cell::new(version),
            full_list_due: Cell::default(),
            version_at_move: Cell::default(),
            moves: Cell::default(),
            has_answered: Cell::default(),
            sink,
        }
    }

    /// Ends when the policy wants discovery polled.
    pub(super) async fn poll_requested(&self) {
        self.host.watch_requested().await;
    }

    /// Discovery has another address, or another way to give its lists.
    pub(super) fn discovery_moved(&self, mode: DiscoveryMode) {
        self.moves.set(self.moves.get() + 1);
        self.has_answered.set(false);
        self.record_last_version(self.version.get());
        match mode {
            DiscoveryMode::Push => self.version.set(None),
            DiscoveryMode::Subscribe { poll_within } => {
                // Spread evenly over the proxies, as their first polls could not be.
                let position = spread(self.host.settings().config.proxy_index);
                let delay = to_duration(poll_within.times(1.0 + 2.0 * position));
                self.full_list_due.set(Some(Instant::now() + delay));
            }
        }
    }

    /// The last version that the address which discovery has left told.
    fn record_last_version(&self, version: Option<u64>) {
        self.version_at_move.set(self.version_at_move.get().max(version));
        self.host.discovery_moved();
    }

    /// Follows one address of discovery for ever, from the version in place on.
    pub(super) async fn follow(self: &Rc<Self>, mode: DiscoveryMode, polls: &mut DiscoveryPolls) {
        let mut idle_connection = None;
        let mut failures = 0u32;
        // A poll that the policy wants, or after a failure, is answered once, by what was missed; only what follows
        // waits.
        let mut max_wait = if mode == DiscoveryMode::Push { LONG_POLL_WAIT } else { Duration::ZERO };
        loop {
            if polls.is_empty() {
                polls.open(idle_connection.take(), self.next_request(max_wait));
            }
            let CompletedPoll { request, connection, answer } = polls.next_completed(&self.version).await;
            match answer {
                Ok(received) => {
                    if failures > 0 {
                        info!(version = received.list.version, "discovery is back");
                    }
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
                    failures += 1;
                    if failures == 1 {
                        warn!(%error, "discovery failed");
                    }
                    self.reschedule_full_list(request.full, false, mode);
                    max_wait = Duration::ZERO;
                    if polls.is_empty() {
                        self.wait_after_failure(mode, failures).await;
                    }
                }
            }
        }
    }

    /// What to ask for next, where discovery may wait so long with its answer.
    fn next_request(&self, max_wait: Duration) -> PollRequest {
        let left = self.full_list_due.get().map(|due| due.saturating_duration_since(Instant::now()));
        PollRequest {
            known_version: self.version.get(),
            full: left.is_some_and(|left| left.is_zero()),
            max_wait: left.map_or(max_wait, |left| max_wait.min(left)),
        }
    }

    /// A list came, or a poll failed. Where the full list was requested to compare with it and did not come, changes
    /// come first, and the comparison some time later.
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

    /// The backoff after a failed poll, with no other in flight.
    async fn wait_after_failure(&self, mode: DiscoveryMode, failures: u32) {
        match mode {
            DiscoveryMode::Push => tokio::time::sleep(backoff(failures)).await,
            DiscoveryMode::Subscribe { .. } => {
                self.host.discard_watch_request(); // while the poll was silent the policy may have wanted another
                self.host.update_endpoints(ListUpdate::Failed, Vec::new());
                self.host.watch_requested().await; // the policy says when to poll again
            }
        }
    }

    /// Applies an answer; where it is invalid there is a pause before the next poll.
    async fn apply_or_back_off(&self, request: PollRequest, received: ParsedEndpointList) {
        if !self.apply(request, received) {
            warn!("discovery answered with changes to a poll for the full list");
            tokio::time::sleep(backoff(1)).await;
        }
    }

    /// Applies an answer. False: it is invalid, as changes to no list at all.
    fn apply(&self, request: PollRequest, received: ParsedEndpointList) -> bool {
        let known_version = self.version.get();
        let new_version = received.list.version;
        // Another poll was answered since this one was opened: a list that is no newer says nothing.
        if known_version != request.known_version && known_version.is_some_and(|known| new_version <= known) {
            return true;
        }
        // Changes after a newer list than the answer's: discovery has started again, so ask for the full list.
        let is_gap =
            !received.list.snapshot && request.changes_after().is_none_or(|after| new_version < after);
        self.version.set((!is_gap).then_some(new_version));
        if is_gap {
            // Whoever leaves by its word gets nothing until then: the notification itself is certain.
            self.host.update_endpoints(ListUpdate::Changes, received.into_departures());
            return request.changes_after().is_some();
        }
        self.publish(received);
        true
    }

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

    /// Lets a poll go on in parallel to what follows, to its end.
    pub(super) fn finish_in_background(self: &Rc<Self>, poll: DiscoveryPoll) {
        let watcher = self.clone();
        let moves = self.moves.get();
        tokio::task::spawn_local(async move {
            let CompletedPoll { request, connection: _connection, answer: Ok(received) } =
                poll.completion.await
            else {
                return;
            };
            if moves == watcher.moves.get() {
                watcher.apply_late_answer(request, received);
            } else {
                watcher.apply_answer_of_old_address(received);
            }
        });
    }

    /// Applies the answer to a poll that was in flight in parallel to an answered one. Where it is newer than the list
    /// in place and follows that one, it is applied; otherwise only its departures are trusted.
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

    /// Applies what the address that discovery has left had written by then, or writes until it ends the poll. Where
    /// the new address has answered since, with an older version, only the departures are trusted.
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
            return;
        }
        self.version.set(known_version.map(|_| new_version));
        self.publish(received);
        self.record_last_version(Some(new_version));
    }
}
