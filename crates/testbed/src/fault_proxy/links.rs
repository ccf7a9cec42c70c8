//! Datagrams between the proxies of a fleet, injured link by link: each member has one socket here, which it gives the
//! others as its address. What happens to a datagram is drawn by seed, link and its number on that link, never by the
//! order in which links are used.

use crate::world::rng::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// The longest datagram that is carried.
const MOST: usize = 65_536;

/// What a link does to what is sent over it; nothing by default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// The part that is lost, from 0 to 1; 1 is a cut.
    pub loss: f64,
    /// The part that comes twice.
    pub doubled: f64,
    /// Each takes so long, ms, ...
    pub delay_ms: f64,
    /// ... and up to so much more.
    pub jitter_ms: f64,
}

/// A link that carries nothing.
pub const CUT: Link = Link { loss: 1.0, doubled: 0.0, delay_ms: 0.0, jitter_ms: 0.0 };

#[derive(Default)]
struct Wires {
    /// Where each member really listens, as it told.
    members: HashMap<SocketAddr, usize>,
    places: Vec<Option<SocketAddr>>,
    links: HashMap<(usize, usize), Link>,
    /// Datagrams sent, by link: passed and lost.
    counts: HashMap<(usize, usize), (u64, u64)>,
}

/// The links between so many members.
pub struct Links {
    /// What each member gives the others as its address.
    pub addresses: Vec<SocketAddr>,
    wires: Arc<Mutex<Wires>>,
    _stop: oneshot::Sender<()>,
}

impl Links {
    /// Listens for `members` of them, on a thread of its own that ends with this.
    ///
    /// # Errors
    /// No sockets are to be had.
    pub fn start(members: usize, seed: u64) -> std::io::Result<Links> {
        let wires = Wires { places: vec![None; members], ..Wires::default() };
        let wires = Arc::new(Mutex::new(wires));
        let bind = |_| {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            Ok((socket.local_addr()?, socket))
        };
        let sockets = (0..members).map(bind).collect::<std::io::Result<Vec<_>>>()?;
        let addresses = sockets.iter().map(|s| s.0).collect();
        let (stop, stopped) = oneshot::channel();
        let theirs = wires.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async {
                for (to, (_, socket)) in sockets.into_iter().enumerate() {
                    match UdpSocket::from_std(socket) {
                        Ok(socket) => drop(tokio::task::spawn_local(carry(socket, to, theirs.clone(), seed))),
                        Err(e) => eprintln!("links: {e}"),
                    }
                }
                let _ = stopped.await;
            });
        });
        Ok(Links { addresses, wires, _stop: stop })
    }

    fn wires(&self) -> MutexGuard<'_, Wires> {
        self.wires.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A member listens there from now on.
    pub fn set_member_address(&self, number: usize, at: SocketAddr) {
        let mut wires = self.wires();
        wires.members.retain(|_, n| *n != number);
        wires.members.insert(at, number);
        if let Some(place) = wires.places.get_mut(number) {
            *place = Some(at);
        }
    }

    /// What the link from one member to another does from now on.
    pub fn set(&self, from: usize, to: usize, link: Link) {
        self.wires().links.insert((from, to), link);
    }

    /// What every link does from now on.
    pub fn set_all(&self, link: Link) {
        let n = self.addresses.len();
        (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).for_each(|(a, b)| self.set(a, b, link));
    }

    /// Datagrams that one member sent to another: passed on, and lost.
    pub fn count(&self, from: usize, to: usize) -> (u64, u64) {
        self.wires().counts.get(&(from, to)).copied().unwrap_or_default()
    }
}

/// Passes on what comes for one member.
async fn carry(socket: UdpSocket, to: usize, wires: Arc<Mutex<Wires>>, seed: u64) {
    let socket = Rc::new(socket);
    let mut buffer = vec![0; MOST];
    // An error is of an earlier send that found nobody there: a member that is dead.
    loop {
        let Ok((n, sender)) = socket.recv_from(&mut buffer).await else { continue };
        let (copies, place) = {
            let mut wires = wires.lock().unwrap_or_else(|e| e.into_inner());
            let Some(from) = wires.members.get(&sender).copied() else { continue };
            let Some(place) = wires.places.get(to).copied().flatten() else { continue };
            let link = wires.links.get(&(from, to)).copied().unwrap_or_default();
            let count = wires.counts.entry((from, to)).or_default();
            let mut rng = Rng::new(seed, &format!("links/{from}/{to}/{}", count.0 + count.1));
            let lost = rng.unit() < link.loss;
            let copies = 1 + usize::from(rng.unit() < link.doubled);
            let delay = |rng: &mut Rng| link.delay_ms + link.jitter_ms * rng.unit();
            let copies: Vec<f64> = (0..copies).filter(|_| !lost).map(|_| delay(&mut rng)).collect();
            *count = (count.0 + u64::from(!lost), count.1 + u64::from(lost));
            (copies, place)
        };
        for delay_ms in copies {
            let (socket, bytes) = (socket.clone(), buffer[..n].to_vec());
            tokio::task::spawn_local(async move {
                if delay_ms > 0.0 {
                    tokio::time::sleep(Duration::from_secs_f64(delay_ms / 1e3)).await;
                }
                let _ = socket.send_to(&bytes, place).await;
            });
        }
    }
}

#[cfg(test)]
mod tests;
