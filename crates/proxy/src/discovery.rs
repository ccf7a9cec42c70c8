//! Discovery: the watch that keeps the endpoint list up to date.
//!
//! A change counts as notified 6 s after discovery had it and could be reached, even if earlier polls failed. Between
//! that moment and the poll that is answered there can be one silent poll and one refused poll, in either order, and
//! the answer itself can be slow:
//!
//! ```text
//! silence + pause + answer <= 2 s + 1.2 s + 2.5 s = 5.7 s
//! ```
//!
//! - `silence`: when nothing is received on a poll, another one is opened in parallel, after 2 s or, for a long poll,
//!   0.5 s after its wait. The silent poll is kept: it may be queued at a slow discovery, where a poll that is given
//!   up and repeated starts at the end of the queue.
//! - `pause`: after a failed poll (a refused or broken connection, an answer other than 200, an invalid answer) the
//!   next one follows after a backoff that doubles with each consecutive failure, up to 1.2 s including jitter. Where
//!   an older poll is still in flight, the next is opened 1 s after the failed one was opened. Where the policy decides
//!   on the backoff, the poll follows after 1.3 s even if the policy does not request it.
//! - `answer`: each of the two newest polls has twice the silence timeout of 2 s before it is dropped in favor of
//!   another one.
//!
//! A discovery that takes longer than that for the polls of all proxies still answers each proxy's first poll in
//! queue order; docs/crossings.md lists the times for fleets of 1 to 900 proxies.

mod dialer;
mod monitor;
mod pacing;
mod poll;
mod polls;
mod progress;
mod schedule;
mod watcher;

use crate::endpoint_list::EndpointList;
use dialer::Dialer;
use lotusdeck_core::Host;
use lotusdeck_policy::DiscoveryMode;
pub use monitor::{DiscoveryMonitor, DiscoveryStatus, Phase};
use polls::DiscoveryPolls;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch::Receiver;
use watcher::EndpointWatcher;

/// Receives every list after it was applied.
pub type EndpointListSink = Box<dyn Fn(EndpointList)>;

/// Keeps the endpoint list up to date, starting from the version `known_version`. Never returns. When discovery moves,
/// the new address is polled at once; polls in flight at the old address are completed in parallel, as they may already
/// have been answered.
///
/// Where lists are polled, the new address is first asked for the changes since the current version, and later for the
/// full list. All proxies move at the same time: when hundreds of them requested the full list at once, some received
/// it only after 9 s, while a change counts as notified after 4 s (docs/scale.md). Every list applied is passed to
/// `sink`, if there is one, and what happens is recorded in `monitor`.
pub async fn watch(
    host: Rc<Host>, monitor: Rc<DiscoveryMonitor>,
    mut address_and_mode: Receiver<(SocketAddr, DiscoveryMode)>, known_version: u64,
    sink: Option<EndpointListSink>,
) {
    // A full list is cheap where a local agent pushes lists, so start with one.
    let is_polled = address_and_mode.borrow().1 != DiscoveryMode::Push;
    let watcher =
        Rc::new(EndpointWatcher::new(host, monitor.clone(), is_polled.then_some(known_version), sink));
    let dialer = Rc::new(Dialer::default());
    dialer.refill();
    let mut first_poll_requested = false;
    loop {
        let (address, mode) = *address_and_mode.borrow_and_update();
        monitor.record_address(address);
        if let DiscoveryMode::Subscribe { .. } = mode {
            if !std::mem::replace(&mut first_poll_requested, true) {
                watcher.poll_requested().await;
            }
        }
        let mut polls = DiscoveryPolls::new(address, dialer.clone(), monitor.clone());
        tokio::select! {
            () = watcher.follow(mode, &mut polls) => {}
            Ok(()) = address_and_mode.changed() => {
                polls.into_in_flight().into_iter().for_each(|poll| watcher.finish_in_background(poll));
                watcher.discovery_moved(address_and_mode.borrow().1);
            }
        }
    }
}
