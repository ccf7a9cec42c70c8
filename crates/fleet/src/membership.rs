//! Who of the fleet is there, as this proxy sees it: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnation
//! numbers, by the `foca` crate. Members are known by their position in the fleet, so that there are never more than
//! the fleet's size, whatever a stranger sends.

use bytes::{Buf, BufMut};
use foca::{AccumulatingRuntime, Codec, Config, Foca, Header, Member, NoCustomBroadcast, OwnedNotification};
use foca::{PeriodicParams, PostcardCodec, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// Bytes of a datagram at most, under an Ethernet's 1,500 with headers and this crate's own.
pub const MAX_PACKET_BYTES: usize = 1_400;
/// How often a proxy that sees nobody calls at those it was told of, and one that sees some calls at one taken for
/// dead: a healed partition is found within some of these.
const CALL_EVERY: Duration = Duration::from_secs(1);

/// A proxy of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its place in the fleet, from 0: the platform's own number for it.
    pub proxy_index: u32,
    /// Rises with each start of the process and each return after it was taken for dead.
    pub generation: u64,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// A proxy of the fleet that a new one announces itself to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its place in the fleet.
    pub proxy_index: u32,
    /// Where it is reached.
    pub address: SocketAddr,
}

impl foca::Identity for Identity {
    type Addr = u32;

    fn renew(&self) -> Option<Identity> {
        Some(Identity { generation: self.generation + 1, ..self.clone() })
    }

    fn addr(&self) -> u32 {
        self.proxy_index
    }

    fn win_addr_conflict(&self, adversary: &Identity) -> bool {
        self.generation > adversary.generation
    }
}

/// Postcard, and no member past the fleet's size.
struct Checked {
    size: u32,
}

/// Why bytes are no member's word.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// They cannot be read.
    #[error(transparent)]
    Bytes(#[from] postcard::Error),
    /// A position that the fleet does not have.
    #[error("position {proxy_index} in a fleet of {fleet_size}")]
    ProxyIndexOutOfRange {
        /// Of the datagram.
        proxy_index: u32,
        /// Proxies of this fleet.
        fleet_size: u32,
    },
}

impl Checked {
    fn fits(&self, id: &Identity) -> Result<(), CodecError> {
        (id.proxy_index < self.size)
            .then_some(())
            .ok_or(CodecError::ProxyIndexOutOfRange { proxy_index: id.proxy_index, fleet_size: self.size })
    }
}

impl Codec<Identity> for Checked {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<(), CodecError> {
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, CodecError> {
        let header: Header<Identity> = PostcardCodec.decode_header(buf)?;
        self.fits(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<(), CodecError> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>, CodecError> {
        let member: Member<Identity> = PostcardCodec.decode_member(buf)?;
        self.fits(member.id())?;
        Ok(member)
    }
}

/// Why a datagram of the membership protocol is not taken.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct MembershipError(foca::Error);

/// The members that are taken for alive, and the protocol that keeps them so.
pub struct Membership {
    foca: Foca<Identity, Checked, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Identity>,
    timers: BTreeMap<(Duration, u64), Timer<Identity>>,
    timer: u64,
    seeds: Vec<Seed>,
    call_at: Duration,
    live_members: BTreeMap<u32, Identity>,
    generation: u64,
}

impl Membership {
    /// `seeds` are positions and addresses to call at; this one's own place among them is passed over. `seed` is of
    /// the random choice whom to probe.
    pub fn new(own: Identity, size: NonZeroU32, seeds: Vec<Seed>, seed: u64) -> Membership {
        let some =
            |frequency, n| NonZeroUsize::new(n).map(|num_members| PeriodicParams { frequency, num_members });
        // The crate's own settings for a LAN (one probe a second, answered within half of it) but for how soon a
        // healed partition is found.
        let config = Config {
            max_packet_size: NonZeroUsize::new(MAX_PACKET_BYTES).unwrap_or(NonZeroUsize::MIN),
            periodic_announce_to_down_members: some(CALL_EVERY, 2),
            ..Config::new_lan(size)
        };
        let seeds = seeds.into_iter().filter(|seed| seed.proxy_index != own.proxy_index).collect();
        let checked = Checked { size: size.get() };
        Membership {
            foca: Foca::new(own, config, SmallRng::seed_from_u64(seed), checked),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer: 0,
            seeds,
            call_at: Duration::ZERO,
            live_members: BTreeMap::new(),
            generation: 0,
        }
    }

    /// This proxy, as the others know it.
    pub fn identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// The others that are taken for alive, by position.
    pub fn live_members(&self) -> &BTreeMap<u32, Identity> {
        &self.live_members
    }

    /// Rises with each change of the view.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Bytes that another sent.
    ///
    /// # Errors
    /// They make no sense; nothing changed.
    pub fn receive(&mut self, now: Duration, data: &[u8]) -> Result<(), MembershipError> {
        let told = self.foca.handle_data(data, &mut self.runtime).map_err(MembershipError);
        self.heed(now);
        told
    }

    /// Does what is due. When to call next is [`Membership::next`].
    pub fn tick(&mut self, now: Duration) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            // An error is of a probe that was late by more than its cycle, as after a pause: the next one goes on.
            let _ = self.foca.handle_timer(entry.remove(), &mut self.runtime);
            self.heed(now);
        }
        if now >= self.call_at {
            self.call_at = now + CALL_EVERY;
            // Those that were told of and are not seen: at the start, and where all were lost.
            let unseen = |seed: &&Seed| !self.live_members.contains_key(&seed.proxy_index);
            let calls: Vec<_> = self.seeds.iter().filter(unseen).copied().collect();
            for Seed { proxy_index, address } in calls {
                let _ =
                    self.foca.announce(Identity { proxy_index, generation: 0, address }, &mut self.runtime);
            }
            self.heed(now);
        }
    }

    /// When to call [`Membership::tick`].
    pub fn next_tick_at(&self) -> Duration {
        self.timers.first_key_value().map_or(self.call_at, |(at, _)| at.0.min(self.call_at))
    }

    /// The next datagram that has to go out.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, bytes::Bytes)> {
        self.runtime.to_send().map(|(to, data)| (to.address, data))
    }

    fn heed(&mut self, now: Duration) {
        while let Some((after, event)) = self.runtime.to_schedule() {
            self.timer += 1;
            self.timers.insert((now + after, self.timer), event);
        }
        while let Some(news) = self.runtime.to_notify() {
            let changed = match news {
                OwnedNotification::MemberUp(id) => self.live_members.insert(id.proxy_index, id).is_none(),
                OwnedNotification::MemberDown(id) => self.live_members.remove(&id.proxy_index).is_some(),
                OwnedNotification::Rename(_, id) => {
                    let known = self.live_members.contains_key(&id.proxy_index);
                    if known {
                        self.live_members.insert(id.proxy_index, id);
                    }
                    known
                }
                _ => false,
            };
            self.generation += u64::from(changed);
        }
    }
}
