//! Clients in a soak run. Each has a connection on which it sends one request after another for as long as the
//! connection stays open, until the process is killed.

use super::bodies;
use super::plan::{SlowCrowd, SlowCrowdKind, SoakPlan};
use super::records::{Class, ClientRecord, Outcome, Recorder};
use crate::driver::wire::{Connection, ReadEvent};
use crate::record::{body, TryId};
use crate::world::rng::Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long after its deadline a client waits for a late answer.
const LISTEN_ON: Duration = Duration::from_millis(1_500);
/// The pause before another connection is tried.
const RECONNECT_PAUSE: Duration = Duration::from_millis(60);
/// The longest pause between two requests of a client, in seconds.
const MAX_PAUSE_S: f64 = 0.15;
/// Share of requests whose client leaves early.
const LEAVING_SHARE: f64 = 0.05;
/// Share of requests of the class that must not be repeated.
const ORDER_SHARE: f64 = 0.3;
/// Time limit for a client of a crowd to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Clients of a crowd of slow ones, as a share of the proxy's descriptors: the platform's clients hold a third at most.
const SLOW_CROWD_SHARE: f64 = 0.3;
/// How long the clients of a crowd stay.
const SLOW_CROWD_STAY: Duration = Duration::from_millis(2_500);
/// Length of an order's body, in bytes.
const ORDER_BYTES: usize = 100;

/// The clients of a run.
pub struct Clients {
    plan: Rc<SoakPlan>,
    recorder: Rc<Recorder>,
    next_id: Cell<u32>,
    /// Whether new connections are given to each proxy.
    pub admitted: RefCell<Vec<bool>>,
}

/// A request that is about to be sent.
struct NewRequest {
    id: TryId,
    class: Class,
    deadline: Duration,
    leaves_after: Option<Duration>,
}

impl NewRequest {
    fn bytes(&self) -> Vec<u8> {
        let left = self.deadline.as_secs_f64();
        let (method, path, sent) = match self.class {
            Class::Read => ("GET", "read", Vec::new()),
            Class::Order => ("POST", "order", body(self.id, ORDER_BYTES)),
        };
        let length = match sent.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        let head = format!(
            "{method} /{path}/k1 HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: {}\r\nX-Time-Left: {left}\r\n{length}\r\n",
            self.id
        );
        [head.as_bytes(), &sent].concat()
    }
}

impl Clients {
    /// Creates the clients.
    pub fn new(plan: Rc<SoakPlan>, recorder: Rc<Recorder>) -> Rc<Clients> {
        let admitted = RefCell::new(vec![true; plan.proxies]);
        Rc::new(Clients { plan, recorder, next_id: Cell::new(0), admitted })
    }

    /// Sends requests to a proxy until the run ends.
    pub async fn run(self: Rc<Self>, number: usize, proxy: usize, address: SocketAddr) {
        let mut rng = Rng::new(self.plan.seed, &format!("client {number}"));
        while self.recorder.now() < self.plan.duration {
            let is_admitted = self.admitted.borrow()[proxy];
            let connected = if is_admitted { TcpStream::connect(address).await.ok() } else { None };
            match connected {
                Some(tcp) => self.use_connection(&mut rng, proxy, Connection::new(tcp)).await,
                None => tokio::time::sleep(RECONNECT_PAUSE).await,
            }
        }
    }

    /// Sends requests with large bodies or long answers to a proxy until the run ends.
    pub async fn send_bodies(self: Rc<Self>, number: usize, proxy: usize, address: SocketAddr) {
        let mut rng = Rng::new(self.plan.seed, &format!("bodies {proxy} {number}"));
        while self.recorder.now() < self.plan.duration {
            let is_admitted = self.admitted.borrow()[proxy];
            if is_admitted {
                let id = self.next_id();
                bodies::ask(&self.plan, &self.recorder, &mut rng, id, proxy, address).await;
            }
            tokio::time::sleep(Duration::from_secs_f64(MAX_PAUSE_S * 2.0 * rng.unit())).await;
        }
    }

    fn next_id(&self) -> TryId {
        self.next_id.set(self.next_id.get() + 1);
        TryId { arrival: self.next_id.get(), no: 0 }
    }

    /// Plays a crowd of slow clients, which stay for some seconds.
    pub async fn slow_crowd(self: Rc<Self>, crowd: SlowCrowd, address: SocketAddr) {
        self.recorder.wait_until(crowd.at).await;
        let mut open = Vec::new();
        let clients = (self.plan.descriptors() as f64 * SLOW_CROWD_SHARE) as usize;
        for _ in 0..clients {
            let Ok(Ok(tcp)) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
                continue;
            };
            let _ = tcp.try_write(self.slow_bytes(crowd.kind).as_bytes());
            open.push(tcp);
        }
        let end = self.recorder.now() + SLOW_CROWD_STAY;
        let mut buffer = [0; 2_000];
        while self.recorder.now() < end {
            tokio::time::sleep(Duration::from_millis(100)).await;
            open.iter().for_each(|tcp| drop(tcp.try_read(&mut buffer)));
        }
    }

    /// Returns what a client of a crowd sends.
    fn slow_bytes(&self, kind: SlowCrowdKind) -> String {
        let id = self.next_id();
        let head = |line: &str| format!("{line} HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: {id}\r\n");
        match kind {
            SlowCrowdKind::ShortFields => {
                head("GET /read/k1") + &(0..1_500).map(|n| format!("a{n}:\r\n")).collect::<String>()
            }
            SlowCrowdKind::HalfRequests => {
                head("POST /order/k1") + "Content-Length: 1000000\r\n\r\n" + &"x".repeat(150_000)
            }
            SlowCrowdKind::SlowReaders => head("GET /read/long/1000000/250000/1") + "\r\n",
        }
    }

    fn new_request(&self, rng: &mut Rng) -> NewRequest {
        let id = self.next_id();
        let class = if rng.unit() < ORDER_SHARE { Class::Order } else { Class::Read };
        let deadline = match class {
            Class::Read => self.plan.read_deadline,
            Class::Order => self.plan.order_deadline,
        };
        let leaves = rng.unit() < LEAVING_SHARE;
        let leaves_after = leaves.then(|| Duration::from_secs_f64(0.1 * rng.unit()));
        NewRequest { id, class, deadline, leaves_after }
    }

    /// Sends requests on a connection until it ends, its client leaves or the run ends.
    async fn use_connection(&self, rng: &mut Rng, proxy: usize, mut connection: Connection) {
        let mut reused = false;
        while self.recorder.now() < self.plan.duration {
            let request = self.new_request(rng);
            if connection.write(&request.bytes()).await.is_err() {
                return; // closed between two requests
            }
            let sent_at = self.recorder.now();
            let (outcome, stays_open) = self.outcome(&mut connection, &request).await;
            let (id, class) = (request.id, request.class);
            self.recorder.add_request(ClientRecord { id, proxy, class, sent_at, reused, outcome });
            reused = true;
            if !stays_open {
                return;
            }
            let pause = Duration::from_secs_f64(MAX_PAUSE_S * rng.unit());
            let ended = tokio::time::timeout(pause, connection.wait_read()).await;
            if ended == Ok(ReadEvent::End) {
                return;
            }
        }
    }

    /// Waits for the outcome of a request. Returns it, and whether the connection stays open.
    async fn outcome(&self, connection: &mut Connection, request: &NewRequest) -> (Outcome, bool) {
        let patience = request.leaves_after.unwrap_or(request.deadline + LISTEN_ON);
        let answer = tokio::time::timeout(patience, connection.answer()).await;
        let at = self.recorder.now();
        match answer {
            Ok(Ok(answer)) => (Outcome::Answered { status: answer.status, at }, !answer.close),
            Ok(Err(_)) => (Outcome::Closed { at }, false),
            Err(_) if request.leaves_after.is_some() => (Outcome::Left { at }, false),
            Err(_) => (Outcome::Unanswered, false),
        }
    }
}

/// Opens idle connections to a proxy that never send anything, and holds them until the run ends.
pub async fn crowd(recorder: Rc<Recorder>, until: Duration, proxy: SocketAddr, connections: usize) {
    let mut open = Vec::new();
    for _ in 0..connections {
        if let Ok(Ok(tcp)) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(proxy)).await {
            open.push(tcp);
        }
    }
    recorder.wait_until(until).await;
}
