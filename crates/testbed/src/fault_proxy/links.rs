//! Injects faults into the datagrams between the proxies of a fleet, separately for each link. Each member has
//! one socket here, whose address it gives the others as its own. The faults of a datagram are drawn by seed,
//! link and its number on that link, and do not depend on the order in which links are used.

use crate::world::rng::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// Longest datagram that is forwarded, bytes.
const MAX_DATAGRAM: usize = 65_536;

/// The faults of a link; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Part of the datagrams that is lost, from 0 to 1; 1 cuts the link.
    pub loss: f64,
    /// Part of the datagrams that arrives twice.
    pub doubled: f64,
    /// Delay of each datagram, ms, ...
    pub delay_ms: f64,
    /// ... and upper bound of a random delay in addition, ms.
    pub jitter_ms: f64,
}

/// A link that loses every datagram.
pub const CUT: Link = Link { loss: 1.0, doubled: 0.0, delay_ms: 0.0, jitter_ms: 0.0 };

#[derive(Default)]
struct State {
    /// The members by the address at which they listen.
    members: HashMap<SocketAddr, usize>,
    member_addresses: Vec<Option<SocketAddr>>,
    links: HashMap<(usize, usize), Link>,
    /// Numbers of forwarded and lost datagrams, by link.
    counts: HashMap<(usize, usize), (u64, u64)>,
}

/// The links between the members of a fleet.
pub struct Links {
    /// The address that each member gives the others as its own.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    _stop: oneshot::Sender<()>,
}

impl Links {
    /// Listens for `members` members on a thread of its own, which ends when the value is dropped.
    ///
    /// # Errors
    /// Fails if a socket cannot be opened or the runtime not be created.
    pub fn start(members: usize, seed: u64) -> std::io::Result<Links> {
        let state = State { member_addresses: vec![None; members], ..State::default() };
        let state = Arc::new(Mutex::new(state));
        let bind = |_| {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            Ok((socket.local_addr()?, socket))
        };
        let sockets = (0..members).map(bind).collect::<std::io::Result<Vec<_>>>()?;
        let addresses = sockets.iter().map(|s| s.0).collect();
        let (stop, stopped) = oneshot::channel();
        let thread_state = state.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async {
                for (to, (_, socket)) in sockets.into_iter().enumerate() {
                    match UdpSocket::from_std(socket) {
                        Ok(socket) => {
                            drop(tokio::task::spawn_local(forward(socket, to, thread_state.clone(), seed)))
                        }
                        Err(e) => eprintln!("links: {e}"),
                    }
                }
                let _ = stopped.await;
            });
        });
        Ok(Links { addresses, state, _stop: stop })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets the address at which a member listens from now on.
    pub fn set_member_address(&self, number: usize, at: SocketAddr) {
        let mut state = self.state();
        state.members.retain(|_, n| *n != number);
        state.members.insert(at, number);
        if let Some(address) = state.member_addresses.get_mut(number) {
            *address = Some(at);
        }
    }

    /// Sets the faults of the link from one member to another.
    pub fn set(&self, from: usize, to: usize, link: Link) {
        self.state().links.insert((from, to), link);
    }

    /// Sets the faults of every link.
    pub fn set_all(&self, link: Link) {
        let n = self.addresses.len();
        (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).for_each(|(a, b)| self.set(a, b, link));
    }

    /// Returns the numbers of forwarded and lost datagrams from one member to another.
    pub fn count(&self, from: usize, to: usize) -> (u64, u64) {
        self.state().counts.get(&(from, to)).copied().unwrap_or_default()
    }
}

/// Forwards the datagrams for one member.
async fn forward(socket: UdpSocket, to: usize, state: Arc<Mutex<State>>, seed: u64) {
    let socket = Rc::new(socket);
    let mut buffer = vec![0; MAX_DATAGRAM];
    // A receive error reports an earlier send to a member that is down.
    loop {
        let Ok((n, sender)) = socket.recv_from(&mut buffer).await else { continue };
        let (copies, address) = {
            let mut state = state.lock().unwrap_or_else(|e| e.into_inner());
            let Some(from) = state.members.get(&sender).copied() else { continue };
            let Some(address) = state.member_addresses.get(to).copied().flatten() else { continue };
            let link = state.links.get(&(from, to)).copied().unwrap_or_default();
            let count = state.counts.entry((from, to)).or_default();
            let mut rng = Rng::new(seed, &format!("links/{from}/{to}/{}", count.0 + count.1));
            let lost = rng.unit() < link.loss;
            let copies = 1 + usize::from(rng.unit() < link.doubled);
            let delay = |rng: &mut Rng| link.delay_ms + link.jitter_ms * rng.unit();
            let copies: Vec<f64> = (0..copies).filter(|_| !lost).map(|_| delay(&mut rng)).collect();
            *count = (count.0 + u64::from(!lost), count.1 + u64::from(lost));
            (copies, address)
        };
        for delay_ms in copies {
            let (socket, bytes) = (socket.clone(), buffer[..n].to_vec());
            tokio::task::spawn_local(async move {
                if delay_ms > 0.0 {
                    tokio::time::sleep(Duration::from_secs_f64(delay_ms / 1e3)).await;
                }
                let _ = socket.send_to(&bytes, address).await;
            });
        }
    }
}

#[cfg(test)]
mod tests;
