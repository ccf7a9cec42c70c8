//! Discovery: the watch that keeps the backend list up to date.
//!
//! What discovery has counts as notified 6 s after it could be reached, whatever became of the polls before. Between
//! that moment and the poll that is answered there may lie one that stays silent and one that is refused, in either
//! order, and the answer itself may be slow:
//!
//! ```text
//! silence + pause + answer <= 2 s + 1.2 s + 2.5 s = 5.7 s
//! ```
//!
//! - `silence`: a poll on which nothing comes gets another in parallel after 2 s, a long poll 0.5 s after its wait. It
//!   is kept, as it may only wait its turn at a slow discovery, where whoever gives it up goes to the end of the queue.
//! - `pause`: a poll that failed (a refused or broken connection, an answer other than 200, an invalid answer) is
//!   followed by the next after a pause that doubles with each failure in a row, up to 1.2 s with jitter. Where an
//!   older poll is still in flight the next follows 1 s after the one that failed was opened.
//! - `answer`: each of the two newest polls has twice the 2 s of silence before it makes way for another.
//!
//! A discovery that needs longer than that for the polls of all proxies answers each proxy's first poll in its turn;
//! docs/crossings.md has the times for fleets of 1 to 900 proxies.

mod dialer;
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
use polls::DiscoveryPolls;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch::Receiver;
use watcher::EndpointWatcher;

/// Takes every list that was applied, after it was applied.
pub type EndpointListSink = Box<dyn Fn(EndpointList)>;

/// Keeps the list up to date for as long as the program runs, from the version `known_version` on. When discovery
/// moves the new address is polled at once; polls in flight at the old address go on in parallel to their end, as
/// they may have been answered already.
///
/// Where lists are polled, the new address is asked for the changes since the version in place, and for the full list
/// some time later. Hundreds of proxies move together: with a full list each, they waited for theirs for up to 9 s,
/// and what they were not notified of counts as notified after 4 s (docs/scale.md). Where a `sink` is given, every
/// list applied goes on to it.
pub async fn watch(
    host: Rc<Host>, mut address_and_mode: Receiver<(SocketAddr, DiscoveryMode)>, known_version: u64,
    sink: Option<EndpointListSink>,
) {
    // Answers of a local agent cost nothing: begin with the full list.
    let is_polled = address_and_mode.borrow().1 != DiscoveryMode::Push;
    let watcher = Rc::new(EndpointWatcher::new(host, is_polled.then_some(known_version), sink));
    let dialer = Rc::new(Dialer::default());
    dialer.refill();
    let mut first_poll_requested = false;
    loop {
        let (address, mode) = *address_and_mode.borrow_and_update();
        if let DiscoveryMode::Subscribe { .. } = mode {
            if !std::mem::replace(&mut first_poll_requested, true) {
                watcher.poll_requested().await;
            }
        }
        let mut polls = DiscoveryPolls::new(address, dialer.clone());
        tokio::select! {
            () = watcher.follow(mode, &mut polls) => {}
            Ok(()) = address_and_mode.changed() => {
                polls.into_in_flight().into_iter().for_each(|poll| watcher.finish_in_background(poll));
                watcher.discovery_moved(address_and_mode.borrow().1);
            }
        }
    }
}
