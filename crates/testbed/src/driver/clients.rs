//! Clients on sockets. They start arrivals at their planned times, however earlier ones go, make tries while they
//! have patience, and distribute them over the proxies.

use super::wire::Connection;
use super::{Clock, Log};
use crate::experiment::Effect;
use crate::record::{body, Observation, TryId, LISTEN_ON};
use crate::world::dispatcher::RequestDispatcher;
use crate::world::plan::Plan;
use hdrhistogram::Histogram;
use lotusdeck_policy::{Micros, Time};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout_at;

/// Longest idle time of a connection that is reused; proxies close idle ones after two seconds.
const MAX_IDLE: Micros = Micros(1_500_000);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

struct Front {
    address: SocketAddr,
    idle: Vec<(Time, Connection, TryId)>,
    /// Time until which it gets no requests, after it could not be reached.
    shunned: Time,
}

/// The clients of a run.
pub struct Clients {
    plan: Arc<Plan>,
    clock: Clock,
    log: Log,
    fronts: RefCell<Vec<Front>>,
    dispatcher: RefCell<RequestDispatcher>,
    open: Cell<usize>,
    idle: Notify,
    /// Delay of first tries behind their planned time, in microseconds.
    late: RefCell<Histogram<u64>>,
}

/// The result of a try, for its client.
enum TryOutcome {
    Served,
    /// Holds the advised pause before another try, in seconds.
    Refused(Option<f64>),
    Failed,
    /// The proxy could not be reached: the request was not sent.
    Unreached,
    Left,
}

impl Clients {
    /// Creates the clients of the proxies at these addresses.
    pub fn new(plan: Arc<Plan>, clock: Clock, log: Log, proxies: &[SocketAddr]) -> Rc<Clients> {
        let front = |address: &SocketAddr| Front { address: *address, idle: Vec::new(), shunned: Time(0) };
        let late = Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("bounds in order");
        let dispatcher = RequestDispatcher::new(proxies.len(), plan.experiment.clients.skew, plan.seed);
        Rc::new(Clients {
            plan,
            clock,
            log,
            fronts: RefCell::new(proxies.iter().map(front).collect()),
            dispatcher: RefCell::new(dispatcher),
            open: Cell::new(0),
            idle: Notify::new(),
            late: RefCell::new(late),
        })
    }

    /// Starts all arrivals, waits until all have ended, and returns the delays of first tries.
    pub async fn play(self: Rc<Self>) -> Histogram<u64> {
        for (n, arrival) in self.plan.arrivals.iter().enumerate() {
            if arrival.at > self.clock.now() {
                tokio::time::sleep_until(self.clock.instant(arrival.at)).await;
            }
            let late = self.clock.now() - arrival.at;
            self.late.borrow_mut().saturating_record(late.0.max(1));
            self.open.set(self.open.get() + 1);
            let clients = self.clone();
            tokio::task::spawn_local(async move {
                clients.run_arrival(n as u32).await;
                clients.open.set(clients.open.get() - 1);
                clients.idle.notify_one();
            });
        }
        while self.open.get() > 0 {
            self.idle.notified().await;
        }
        self.late.borrow().clone()
    }

    /// Makes the tries of one arrival.
    async fn run_arrival(&self, arrival: u32) {
        let planned = &self.plan.arrivals[arrival as usize];
        let class = &self.plan.experiment.class[planned.class];
        let client_settings = &self.plan.experiment.clients;
        let deadline = planned.at + Micros::from_secs(class.deadline_ms / 1e3);
        let leaves_at = planned.at + planned.patience;
        for no in 0..client_settings.tries {
            let id = TryId { arrival, no };
            let mut pause = client_settings.pause_ms / 1e3;
            match self.make_try(id, deadline, leaves_at.min(deadline)).await {
                TryOutcome::Served | TryOutcome::Left => return,
                TryOutcome::Refused(advice) => pause = advice.unwrap_or(pause),
                TryOutcome::Unreached => {}
                TryOutcome::Failed if class.effect == Effect::Free => {}
                TryOutcome::Failed => return,
            }
            let next_try_at = self.clock.now() + Micros::from_secs(pause);
            if next_try_at >= leaves_at {
                return;
            }
            tokio::time::sleep_until(self.clock.instant(next_try_at)).await;
        }
    }

    async fn make_try(&self, id: TryId, deadline: Time, leaves_at: Time) -> TryOutcome {
        let planned = &self.plan.arrivals[id.arrival as usize];
        let class = &self.plan.experiment.class[planned.class];
        let proxy = self.next_proxy();
        let (mut connection, reused) = match self.connect(proxy).await {
            Some(got) => got,
            None => {
                self.log.add(Observation::Unreached { id, proxy });
                self.fronts.borrow_mut()[proxy].shunned =
                    self.clock.now() + Micros::from_secs(self.plan.experiment.clients.shun_ms / 1e3);
                return TryOutcome::Unreached;
            }
        };
        let left = deadline - self.clock.now();
        let repeat = if id.no > 0 { "X-Repeat: 1\r\n" } else { "" };
        let (method, sent) = match class.effect {
            Effect::Free => ("GET", Vec::new()),
            Effect::SingleShot => ("POST", body(id, class.body_bytes)),
        };
        let length =
            if sent.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", sent.len()) };
        let mut request = format!(
            "{method} /{}/k{} HTTP/1.1\r\nHost: fleet\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {:.3}\r\n{repeat}{length}\r\n",
            class.name,
            planned.key,
            left.secs()
        )
        .into_bytes();
        request.extend_from_slice(&sent);
        if connection.write(&request).await.is_err() {
            self.log.add(Observation::Unreached { id, proxy });
            return TryOutcome::Unreached;
        }
        self.log.add(Observation::Asked { id, proxy, left: left.0 });
        // An impatient client leaves when its patience ends; all others listen beyond the deadline, to see late
        // answers.
        let until = if leaves_at < deadline { leaves_at } else { deadline + LISTEN_ON };
        let answer = match timeout_at(self.clock.instant(until), connection.answer()).await {
            Err(_) => {
                self.log.add(Observation::Left { id });
                return TryOutcome::Left;
            }
            Ok(Err(_)) => {
                self.log.add(Observation::Broke { id, reused, begun: connection.ahead() });
                return TryOutcome::Failed;
            }
            Ok(Ok(answer)) => answer,
        };
        let own = answer.body == body(id, class.answer_bytes);
        self.log.add(Observation::Answered {
            id,
            status: answer.status,
            retry_after: answer.retry_after,
            own,
        });
        if connection.ahead() {
            self.log.add(Observation::Extra { id });
        } else if !answer.close {
            self.fronts.borrow_mut()[proxy].idle.push((self.clock.now(), connection, id));
        }
        match answer.status {
            200 => TryOutcome::Served,
            429 | 503 => TryOutcome::Refused(answer.retry_after),
            _ => TryOutcome::Failed,
        }
    }

    /// Returns the proxy for the next try, skipping shunned ones unless all are.
    fn next_proxy(&self) -> usize {
        let (fronts, now) = (self.fronts.borrow(), self.clock.now());
        self.dispatcher.borrow_mut().next(|p| fronts[p].shunned > now)
    }

    async fn connect(&self, proxy: usize) -> Option<(Connection, bool)> {
        loop {
            let idle = self.fronts.borrow_mut()[proxy].idle.pop();
            let Some((since, mut connection, last)) = idle else { break };
            match connection.poll_read() {
                None if self.clock.now() - since < MAX_IDLE => return Some((connection, true)),
                Some(super::wire::ReadEvent::Bytes) => self.log.add(Observation::Extra { id: last }),
                _ => {}
            }
        }
        let address = self.fronts.borrow()[proxy].address;
        let tcp = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        Some((Connection::new(tcp), false))
    }
}
