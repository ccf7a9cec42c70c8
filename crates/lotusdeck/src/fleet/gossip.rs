//! Datagrams to and from the other proxies of the fleet.

use super::Fleet;
use lotusdeck_core::Host;
use lotusdeck_fleet::wire::MAX_DATAGRAM_BYTES;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, sleep_until};
use tracing::{debug, info, warn};

/// The interval between attempts to bind an address that another process of this proxy still holds, as during an
/// upgrade, and the pause after a failed receive.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum number of datagrams that are read before other tasks run.
const MAX_DATAGRAMS_AT_ONCE: usize = 64;
/// The interval at which the balancer receives the load of the other proxies; they report it at the same interval.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The first rejected datagram is logged, and then one in this many, so that a foreign sender cannot flood the log.
const REJECTED_LOG_INTERVAL: u64 = 1_000;

impl Fleet {
    /// Exchanges datagrams with the other proxies for as long as the program runs. Without an address it maintains only
    /// this proxy's own quotas.
    pub(crate) async fn run(self: Rc<Self>, listen: Option<SocketAddr>, host: Rc<Host>) {
        let socket = match listen {
            Some(address) => Some(self.bind(address).await),
            None => None,
        };
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut membership_generation = 0;
        let mut next_load_report_at = Duration::ZERO;
        loop {
            let now = self.now();
            if socket.is_some() && now >= next_load_report_at {
                next_load_report_at = now + LOAD_REPORT_INTERVAL;
                self.exchange_load(now, &host);
            }
            self.node.borrow_mut().tick(now);
            self.send_queued(socket.as_ref());
            self.log_membership(&mut membership_generation);
            let next_tick = self.started_at + self.node.borrow().next_tick_at();
            let next_tick = tokio::time::Instant::from_std(next_tick);
            match &socket {
                Some(socket) => self.receive_until(next_tick, socket, &mut buffer).await,
                None => sleep_until(next_tick).await,
            }
        }
    }

    /// Passes this proxy's load to the node, which reports it to the others, and their load to the balancer.
    fn exchange_load(&self, now: Duration, host: &Rc<Host>) {
        let own = host.attempts_in_flight();
        self.node.borrow_mut().set_in_flight(u32::try_from(own).unwrap_or(u32::MAX));
        // Without any report, each other proxy is assumed to have the same load as this one, as without an exchange.
        let estimated = own as f64 * f64::from(self.other_proxies);
        let others = self.node.borrow().others_in_flight(now).unwrap_or(estimated);
        host.set_fleet_load(others);
    }

    fn log_membership(&self, logged_generation: &mut u64) {
        let node = self.node.borrow();
        let generation = node.membership().generation();
        if *logged_generation != generation {
            *logged_generation = generation;
            let members = node.membership().live_members().len();
            info!(members, "fleet membership changed");
        }
    }

    async fn receive_until(&self, deadline: tokio::time::Instant, socket: &UdpSocket, buffer: &mut [u8]) {
        tokio::select! {
            () = sleep_until(deadline) => {}
            readable = socket.readable() => {
                if let Err(error) = readable {
                    warn!(%error, "fleet receive failed");
                    sleep(RETRY_INTERVAL).await;
                }
                self.receive(socket, buffer);
            }
        }
    }

    async fn bind(&self, address: SocketAddr) -> UdpSocket {
        let mut has_warned = false;
        loop {
            match UdpSocket::bind(address).await {
                Ok(socket) => {
                    let address = socket.local_addr().unwrap_or(address);
                    info!(%address, "fleet listening");
                    return socket;
                }
                Err(error) if !has_warned => {
                    has_warned = true;
                    warn!(%address, %error, "fleet address in use; only this proxy's own quotas until it is free");
                }
                Err(_) => {}
            }
            // Until then quotas are maintained, and datagrams to be sent are dropped.
            self.node.borrow_mut().tick(self.now());
            self.send_queued(None);
            sleep(RETRY_INTERVAL).await;
        }
    }

    fn receive(&self, socket: &UdpSocket, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_AT_ONCE {
            let Ok((length, from)) = socket.try_recv_from(buffer) else { return };
            let received = self.node.borrow_mut().receive(self.now(), &buffer[..length]);
            if let Err(error) = received {
                let before = self.undecodable_datagrams.get();
                self.undecodable_datagrams.set(before + 1);
                if before.is_multiple_of(REJECTED_LOG_INTERVAL) {
                    warn!(%from, %error, rejected = before + 1, "fleet datagram rejected");
                }
            }
            self.send_queued(Some(socket));
        }
    }

    /// Sends the datagrams that the node has queued, or drops them if there is no socket.
    fn send_queued(&self, socket: Option<&UdpSocket>) {
        while let Some((to, bytes)) = self.next_datagram() {
            if let Some(Err(error)) = socket.map(|socket| socket.try_send_to(&bytes, to)) {
                debug!(%to, %error, "fleet datagram not sent"); // the protocol tolerates lost datagrams
            }
        }
    }

    fn next_datagram(&self) -> Option<(SocketAddr, Vec<u8>)> {
        self.node.borrow_mut().next_datagram()
    }
}
