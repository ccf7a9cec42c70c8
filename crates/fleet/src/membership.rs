//! The live members of the fleet as this proxy sees them. The protocol is SWIM (Das, Gupta, Motivala 2002) with
//! suspicion and incarnation numbers, implemented by the `foca` crate.

mod codec;
mod identity;

use codec::BoundedCodec;
use foca::{AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;
use thiserror::Error;

pub use identity::{Identity, Seed};

/// Maximum size of a packet. With this crate's header and the lower layers' headers it stays below the 1,500 bytes of
/// an Ethernet frame.
pub const MAX_PACKET_BYTES: usize = 1_400;
/// Interval at which a proxy announces itself to seeds that are not among its live members and to members declared
/// dead. The end of a partition is detected within a few intervals.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of members declared dead to which a proxy announces itself per interval.
const ANNOUNCED_DEAD_MEMBERS: usize = 2;

/// Error returned when a packet of the membership protocol is rejected.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct MembershipError(foca::Error);

/// Orders timers by due time, then by creation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due_at: Duration,
    number: u64,
}

/// The live members and the protocol that detects failures.
pub struct Membership {
    foca: Foca<Identity, BoundedCodec, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Identity>,
    timers: BTreeMap<TimerKey, Timer<Identity>>,
    last_timer_number: u64,
    seeds: Vec<Seed>,
    next_announcement_at: Duration,
    live_members: BTreeMap<u32, Identity>,
    generation: u64,
}

impl Membership {
    /// Creates the membership of the proxy `own`, which announces itself to `seeds`, except to itself if it is one of
    /// them. `rng_seed` seeds the random choice of members to probe.
    pub fn new(own: Identity, fleet_size: NonZeroU32, seeds: Vec<Seed>, rng_seed: u64) -> Membership {
        let seeds = seeds.into_iter().filter(|seed| seed.proxy_index != own.proxy_index).collect();
        let rng = SmallRng::seed_from_u64(rng_seed);
        let codec = BoundedCodec::new(fleet_size.get());
        Membership {
            foca: Foca::new(own, config(fleet_size), rng, codec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            last_timer_number: 0,
            seeds,
            next_announcement_at: Duration::ZERO,
            live_members: BTreeMap::new(),
            generation: 0,
        }
    }

    /// Returns the identity of this proxy as the others know it.
    pub fn identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// Returns the live members other than this proxy, by index.
    pub fn live_members(&self) -> &BTreeMap<u32, Identity> {
        &self.live_members
    }

    /// Returns a counter that increases with each change of the live members.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Handles a packet from another member.
    ///
    /// # Errors
    /// The packet is not valid. Nothing changes if its header or one of its members cannot be decoded.
    pub fn receive(&mut self, now: Duration, packet: &[u8]) -> Result<(), MembershipError> {
        let result = self.foca.handle_data(packet, &mut self.runtime).map_err(MembershipError);
        self.apply_events(now);
        result
    }

    /// Runs the timers that are due. Call this at [`Membership::next_tick_at`].
    pub fn tick(&mut self, now: Duration) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().due_at <= now) {
            // A probe fails if it is late by more than its cycle, as after a pause of the process. The next probe
            // is not affected.
            let _ = self.foca.handle_timer(entry.remove(), &mut self.runtime);
            self.apply_events(now);
        }
        if now >= self.next_announcement_at {
            self.next_announcement_at = now + ANNOUNCE_INTERVAL;
            self.announce_to_missing_seeds();
            self.apply_events(now);
        }
    }

    /// Announces this proxy to the seeds that are not live members, to join the fleet at the start and to rejoin it
    /// after all members were lost.
    fn announce_to_missing_seeds(&mut self) {
        for Seed { proxy_index, address } in self.seeds.iter().copied() {
            if !self.live_members.contains_key(&proxy_index) {
                let seed = Identity { proxy_index, generation: 0, address };
                // A packet that cannot be encoded is treated like a lost one: the next announcement replaces it.
                let _ = self.foca.announce(seed, &mut self.runtime);
            }
        }
    }

    /// Returns when [`Membership::tick`] is due.
    pub fn next_tick_at(&self) -> Duration {
        self.timers
            .first_key_value()
            .map_or(self.next_announcement_at, |(key, _)| key.due_at.min(self.next_announcement_at))
    }

    /// Removes and returns the next packet to send, with its destination.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, bytes::Bytes)> {
        self.runtime.to_send().map(|(to, packet)| (to.address, packet))
    }

    /// Schedules the timers and applies the notifications that the protocol has issued.
    fn apply_events(&mut self, now: Duration) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_timer_number += 1;
            self.timers.insert(TimerKey { due_at: now + after, number: self.last_timer_number }, timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            let is_change = self.apply_notification(notification);
            self.generation += u64::from(is_change);
        }
    }

    /// Applies a notification. Returns whether the live members have changed.
    fn apply_notification(&mut self, notification: OwnedNotification<Identity>) -> bool {
        match notification {
            OwnedNotification::MemberUp(member) => {
                self.live_members.insert(member.proxy_index, member).is_none()
            }
            OwnedNotification::MemberDown(member) => self.live_members.remove(&member.proxy_index).is_some(),
            OwnedNotification::Rename(_, member) => {
                let Some(known) = self.live_members.get_mut(&member.proxy_index) else { return false };
                *known = member;
                true
            }
            _ => false,
        }
    }
}

/// Returns foca's settings for a LAN (one probe a second, to be answered within half a second), with announcements to
/// members declared dead at the interval of this module.
fn config(fleet_size: NonZeroU32) -> Config {
    let announcements = NonZeroUsize::new(ANNOUNCED_DEAD_MEMBERS)
        .map(|num_members| PeriodicParams { frequency: ANNOUNCE_INTERVAL, num_members });
    Config {
        max_packet_size: NonZeroUsize::new(MAX_PACKET_BYTES).unwrap_or(NonZeroUsize::MIN),
        periodic_announce_to_down_members: announcements,
        ..Config::new_lan(fleet_size)
    }
}
