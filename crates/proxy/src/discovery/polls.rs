//! The polls in flight at one address of discovery.

use super::dialer::{Dialer, IdleConnection};
use super::monitor::DiscoveryMonitor;
use super::pacing::EXTRA_POLL_DELAY;
use super::poll::{CompletedPoll, DiscoveryPoll, PollRequest};
use super::schedule::{extra_poll_at, superseded, PollProgress};
use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// The polls in flight at one address of discovery.
pub(super) struct DiscoveryPolls {
    address: SocketAddr,
    dialer: Rc<Dialer>,
    monitor: Rc<DiscoveryMonitor>,
    /// Oldest first.
    in_flight: Vec<DiscoveryPoll>,
    /// When the newest poll was opened.
    last_opened_at: Instant,
}

impl DiscoveryPolls {
    pub(super) fn new(
        address: SocketAddr, dialer: Rc<Dialer>, monitor: Rc<DiscoveryMonitor>,
    ) -> DiscoveryPolls {
        DiscoveryPolls { address, dialer, monitor, in_flight: Vec::new(), last_opened_at: Instant::now() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns whether any of them requests the full list.
    pub(super) fn any_full(&self) -> bool {
        self.in_flight.iter().any(|poll| poll.request.full)
    }

    pub(super) fn into_in_flight(self) -> Vec<DiscoveryPoll> {
        self.in_flight
    }

    /// Removes all of them and returns them.
    pub(super) fn drain(&mut self) -> std::vec::Drain<'_, DiscoveryPoll> {
        self.in_flight.drain(..)
    }

    pub(super) fn open(&mut self, connection: Option<IdleConnection>, request: PollRequest) {
        self.last_opened_at = Instant::now();
        let number = self.monitor.record_poll(&request);
        let poll = DiscoveryPoll::open(number, connection, self.dialer.clone(), self.address, request);
        self.in_flight.push(poll);
    }

    /// Waits until one of them has ended, and removes it.
    async fn first_completed(&mut self) -> CompletedPoll {
        poll_fn(|cx| {
            let ready = |(index, poll): (usize, &mut DiscoveryPoll)| match poll.completion.as_mut().poll(cx) {
                Poll::Ready(completed) => Some((index, completed)),
                Poll::Pending => None,
            };
            let Some((index, completed)) = self.in_flight.iter_mut().enumerate().find_map(ready) else {
                return Poll::Pending;
            };
            drop(self.in_flight.remove(index));
            Poll::Ready(completed)
        })
        .await
    }

    fn progress(&self) -> Vec<PollProgress> {
        self.in_flight.iter().map(DiscoveryPoll::progress).collect()
    }

    /// Returns when another poll is due in parallel.
    fn extra_poll_at(&self, known_version: Option<u64>) -> Option<Instant> {
        extra_poll_at(&self.progress(), self.last_opened_at, known_version.is_some())
    }

    /// Opens another poll in parallel, for the changes since `known_version`. Drops an older one if all slots are
    /// taken.
    fn open_extra(&mut self, known_version: Option<u64>) {
        let progress = self.progress();
        if let [only] = progress[..] {
            info!(poll = %only.delay_reason(), "discovery does not answer, another poll is opened");
        }
        if let Some(index) = superseded(&progress) {
            drop(self.in_flight.remove(index));
        }
        self.open(None, PollRequest { known_version, full: false, max_wait: Duration::ZERO });
    }

    /// Waits until one of them has ended, and removes it. Meanwhile opens others in parallel as they become due, each
    /// for the changes since the version known at that time.
    pub(super) async fn next_completed(&mut self, known_version: &Cell<Option<u64>>) -> CompletedPoll {
        loop {
            // While no further poll may be opened, check again after a delay.
            let next_check = self.extra_poll_at(known_version.get());
            let next_check = next_check.unwrap_or_else(|| Instant::now() + EXTRA_POLL_DELAY);
            tokio::select! {
                biased;
                completed = self.first_completed() => return completed,
                () = tokio::time::sleep_until(next_check) => {}
            }
            // Data received meanwhile may have postponed it.
            if self.extra_poll_at(known_version.get()).is_some_and(|due| due <= Instant::now()) {
                self.open_extra(known_version.get());
            }
        }
    }
}
