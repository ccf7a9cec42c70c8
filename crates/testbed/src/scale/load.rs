//! A bounded open-loop load on one proxy: each request has a scheduled time from which its latency is measured,
//! so that a pause of the proxy shows in every request that was due during it.

use super::document;
use crate::driver::wire::Connection;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Connections over which the requests are distributed: more than are ever busy without a pause.
const CONNECTIONS: usize = 8;
/// Time after the end of the window for requests that were due during a pause; the rest counts as failed.
const GRACE: Duration = Duration::from_secs(45);
/// Upper bound of the recorded latencies, us.
const MAX_LATENCY_US: u64 = 200_000_000;

/// The requests to send.
#[derive(Clone, Copy, Debug)]
pub struct Requests {
    /// The address to send to.
    pub to: SocketAddr,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Duration of the load.
    pub window: Duration,
    /// Number of the route.
    pub route: usize,
    /// Number of the tenant.
    pub tenant: usize,
}

/// The results of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadResult {
    /// Median latency, us.
    pub p50_us: f64,
    /// 99th percentile of the latency, us.
    pub p99_us: f64,
    /// Longest latency, us.
    pub longest_us: f64,
    /// Requests that were not served.
    pub failed: u64,
}

struct Window {
    requests: Requests,
    began: Instant,
    total: u64,
    next: Cell<u64>,
    latency: RefCell<Histogram<u64>>,
    failed: Cell<u64>,
}

/// Sends all requests, and returns the latencies and failures.
pub async fn send(requests: Requests) -> LoadResult {
    let total = (requests.rate_per_s * requests.window.as_secs_f64()).ceil() as u64;
    let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds in order");
    let window = Rc::new(Window {
        requests,
        began: Instant::now(),
        total,
        next: Cell::new(0),
        latency: latency.into(),
        failed: Cell::new(0),
    });
    let senders: Vec<_> =
        (0..CONNECTIONS).map(|_| tokio::task::spawn_local(window.clone().send_in_turn())).collect();
    for sender in senders {
        let _ = sender.await;
    }
    let latency = window.latency.borrow();
    LoadResult {
        p50_us: latency.value_at_quantile(0.5) as f64,
        p99_us: latency.value_at_quantile(0.99) as f64,
        longest_us: latency.max() as f64,
        failed: window.failed.get(),
    }
}

impl Window {
    async fn send_in_turn(self: Rc<Self>) {
        let mut connection = None;
        while self.next.get() < self.total {
            let number = self.next.replace(self.next.get() + 1);
            let due = self.began + Duration::from_secs_f64(number as f64 / self.requests.rate_per_s);
            tokio::time::sleep_until(due).await;
            let end = self.began + self.requests.window + GRACE;
            let served = tokio::time::timeout_at(end, self.send_request(&mut connection, number)).await;
            if served.unwrap_or(false) {
                self.latency.borrow_mut().saturating_record(due.elapsed().as_micros() as u64);
            } else {
                self.failed.set(self.failed.get() + 1);
                connection = None;
            }
        }
    }

    /// Sends one request, and returns whether it was served.
    async fn send_request(&self, kept: &mut Option<Connection>, number: u64) -> bool {
        let Requests { to, route, tenant, .. } = self.requests;
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => match TcpStream::connect(to).await {
                Ok(tcp) => Connection::new(tcp),
                Err(_) => return false,
            },
        };
        let request = format!(
            "GET /{}/key-{number} HTTP/1.1\r\nHost: scale\r\nX-Correlation-Id: {number:016x}\r\n\
             X-Time-Left: 60.000\r\nX-Account: {}\r\n\r\n",
            document::route(route),
            document::tenant(tenant),
        );
        if connection.write(request.as_bytes()).await.is_err() {
            return false;
        }
        let Ok(answer) = connection.answer().await else { return false };
        if !answer.close {
            *kept = Some(connection);
        }
        answer.status == 200
    }
}
