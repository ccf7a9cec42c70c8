//! Clients: the listener, their connections, and the graceful shutdown.

use crate::answer::Answered;
use crate::body::AnswerBody;
use crate::body_budget::BodyBudget;
use crate::client::{Client, IDLE_PATIENCE};
use crate::clients::{Choice, Clients};
use crate::connection_pool::ConnectionPool;
use crate::queueing_delay::{self, AcceptQueue};
use crate::stream::Stream;
use crate::timer::Timer;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use lotusdeck_core::{to_duration, Host};
use lotusdeck_policy::*;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tracing::{info, warn};

/// A process is killed so long after SIGTERM and the longest deadline, of which no more than this counts.
const GRACE: Duration = Duration::from_millis(700);
const MOST_STAY: Duration = Duration::from_secs(3);
/// After SIGTERM new connections go on coming for up to 0.4 s.
const LINGER: Duration = Duration::from_millis(500);
/// Kept before the end for the last answers' way out.
const FLUSH: Duration = Duration::from_millis(100);
const BACKLOG: u32 = 1024;
/// Connections accepted before the event loop goes on to what else is due. The discovery watch and the clients that are
/// kept wait behind these at most; accepting takes some 20 us a connection, so that 16 of them take well under a
/// millisecond.
const ACCEPTS_A_TURN: u32 = 16;
/// A client that takes nothing of its answer for so long takes no more.
const READ_PATIENCE: Duration = Duration::from_secs(20);
/// A connection with an open request is looked at again after this time.
const BUSY_LOOK: Duration = Duration::from_millis(500);
/// A connection whose time is over while something lies unread on it is looked at again after this time: the next turn
/// of the loop reads it.
const UNREAD_LOOK: Duration = Duration::from_millis(20);
/// The largest head, to which hyper holds a connection's buffer.
const MAX_HEAD: usize = 16 * 1024;
/// A connection that was told to end and has not is cut after this time: its client reads nothing.
const CLOSE_PATIENCE: Duration = Duration::from_secs(1);
/// Lines about a failing listener come no faster.
const ACCEPT_LOG: Micros = Micros(1_000_000);

/// Whether a place becomes free where all are taken.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Room {
    /// A connection was told to end.
    Soon,
    /// Requests are open or on their way on all connections.
    None,
    /// The search has to go on in another turn of the event loop.
    Unknown,
}

/// The listener's side of the proxy: client connections and the requests on them.
pub struct Server {
    pub(crate) host: Rc<Host>,
    pub(crate) pool: Rc<ConnectionPool>,
    pub(crate) max: Cell<usize>,
    over: Cell<usize>,
    pub(crate) budget: BodyBudget,
    pub(crate) clients: Clients,
    /// The ids of the requests that are open.
    pub(crate) ids: RefCell<HashSet<HeaderValue>>,
    is_accepting: Cell<bool>,
    /// Where clients wait until they are accepted.
    queue: AcceptQueue,
    pub(crate) stopping: Cell<bool>,
    /// When the program may be killed, once it was told to stop.
    pub(crate) end: Cell<Option<tokio::time::Instant>>,
    left: Notify,
    told: Cell<Time>,
    /// Accepted, let go of to make room, and turned away since the last report.
    accepted: Cell<u64>,
    evicted: Cell<u64>,
    pub(crate) faults: Cell<u64>,
}

pub fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart comes back while old connections still linger
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

impl Server {
    /// A server that accepts nobody yet.
    pub fn new(host: Rc<Host>, pool: Rc<ConnectionPool>, budget: BodyBudget) -> Rc<Server> {
        let (clients, ids) = (Clients::default(), RefCell::default());
        let (stopping, left, told) = (Cell::new(false), Notify::new(), Cell::default());
        let (accepted, evicted, faults) = (Cell::new(0), Cell::new(0), Cell::new(0));
        let accepting = Cell::new(false);
        Rc::new(Server {
            host,
            pool,
            max: Cell::new(0),
            over: Cell::new(0),
            budget,
            clients,
            ids,
            is_accepting: accepting,
            queue: AcceptQueue::new(),
            stopping,
            end: Cell::default(),
            left,
            told,
            accepted,
            evicted,
            faults,
        })
    }

    /// This process takes clients.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }

    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// So many connections are kept, and so many more until each has its answer. Those that are beyond it leave
    /// when they are idle.
    pub fn set_client_limits(&self, max: usize, over: usize) {
        self.max.set(max);
        self.over.set(over);
        while self.clients.staying() > max && self.make_room() != Room::None {}
    }

    /// One line on clients and connections since the last.
    pub fn log_counts(&self) {
        info!(
            clients = self.client_count(),
            unproven = self.clients.unproven(),
            accepted = self.accepted.take(),
            evicted = self.evicted.take(),
            filed = self.clients.filings.take(),
            turned_away = self.faults.take(),
            upstreams = self.pool.open_connections(),
            connects = self.pool.take_connects(),
            "clients"
        );
    }

    /// Accepts until told to stop, then answers what it has taken and returns. With an inherited listener the
    /// queue outlives this process and is left to the next; an own one is emptied, as it ends with this one.
    pub async fn run(self: Rc<Self>, listener: TcpListener, inherited: bool, stop: impl Future<Output = ()>) {
        let mut stop = pin!(stop);
        self.is_accepting.set(true);
        let mut accepts = 0;
        loop {
            tokio::select! {
                _ = self.accept(&listener) => {}
                _ = &mut stop => break,
            }
            accepts += 1;
            if accepts % ACCEPTS_A_TURN == 0 {
                queueing_delay::yield_to_poll().await;
            }
        }
        self.is_accepting.set(false);
        let told = tokio::time::Instant::now();
        // Past the longest deadline nothing is owed any more; a client that holds a connection open with half
        // of a request does not keep the program.
        let settings = self.host.settings();
        let longest = to_duration(settings.network.deadlines.iter().max().copied().unwrap_or_default());
        let end = told + longest + GRACE;
        self.end.set(Some(told + longest.min(MOST_STAY) + GRACE - FLUSH));
        if inherited {
            drop(listener);
        } else {
            // Kept connections go on as well for that time: clients that lost theirs may find no other proxy.
            self.empty(listener, told + LINGER).await;
        }
        self.stopping.set(true);
        while self.client_count() > 0 && tokio::time::Instant::now() < end {
            // Told again and again: one whose request had just arrived is not closed at the first time.
            self.clients.for_each(|c| c.close.notify_one());
            let _ = tokio::time::timeout(Duration::from_millis(20), self.left.notified()).await;
        }
    }

    /// Goes on accepting while the front still sends new clients, then takes all that the queue holds: what the
    /// kernel has accepted is owed an answer.
    async fn empty(self: &Rc<Self>, listener: TcpListener, until: tokio::time::Instant) {
        let mut linger = pin!(tokio::time::sleep_until(until));
        loop {
            tokio::select! {
                _ = self.accept(&listener) => {}
                _ = &mut linger => break,
            }
        }
        if let Ok(listener) = listener.into_std() {
            while let Ok((stream, _)) = listener.accept() {
                let tcp = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                tcp.into_iter().for_each(|tcp| self.take_in(tcp, self.queue.earliest_arrival()));
            }
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        while self.client_count() >= self.max.get() + self.over.get() {
            if self.clients.staying() > self.max.get() && self.make_room() == Room::Unknown {
                queueing_delay::yield_to_poll().await;
                continue;
            }
            // Those that were told to leave have to be given the time: telling more makes no room sooner.
            let _ = tokio::time::timeout(Duration::from_millis(20), self.left.notified()).await;
        }
        match self.queue.accept(listener).await {
            Ok((tcp, since)) => self.take_in(tcp, since),
            Err(e) => {
                // Out of descriptors, or a client that left in the queue: never the end of the program.
                let made_room = self.make_room() == Room::Soon || self.pool.close_longest_idle();
                let now = self.host.clock.now();
                if now - self.told.get() >= ACCEPT_LOG {
                    self.told.set(now);
                    warn!(error = %e, clients = self.client_count(), upstreams = self.pool.open_connections(), "accept failed");
                }
                if !made_room || e.kind() != std::io::ErrorKind::ConnectionAborted {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// Tells the connection that is closed first to end. See `clients`.
    fn make_room(&self) -> Room {
        match self.clients.choose_leaving(tokio::time::Instant::now(), self.max.get()) {
            Choice::Leaves(client) => {
                self.evicted.set(self.evicted.get() + 1);
                client.close.notify_one();
                Room::Soon
            }
            Choice::Nobody => Room::None,
            Choice::Unfinished => Room::Unknown,
        }
    }

    /// Keeps a connection that can have waited in the queue since then.
    fn take_in(self: &Rc<Self>, tcp: TcpStream, queued: std::time::Instant) {
        if self.clients.staying() >= self.max.get() {
            self.make_room();
        }
        self.accepted.set(self.accepted.get() + 1);
        let (stream, population) = (Stream::accepted(tcp, queued), self.clients.population.clone());
        let client = Rc::new(Client::new(self.clients.next_id(), stream, population));
        self.clients.insert(client.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            server.serve(&client).await;
            server.clients.remove(&client);
            server.left.notify_one();
        });
    }

    async fn serve(self: &Rc<Self>, client: &Rc<Client>) {
        let service = service_fn(|request| async {
            client.busy.set(true);
            let mut answer = self.answer(client, request).await;
            let done = Answered { server: self.clone(), client: client.clone() };
            if let AnswerBody::Flow(_, until) = answer.body_mut() {
                *until = Some(Box::new(done)); // it is busy until the last byte is on its way
            }
            Ok::<_, Infallible>(answer)
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD).timer(Timer).header_read_timeout(None);
        let mut conn = pin!(builder.serve_connection(client.stream.clone(), service));
        let mut cut = pin!(tokio::time::sleep(Duration::MAX));
        let mut due = pin!(tokio::time::sleep(IDLE_PATIENCE));
        let mut seen = (0, client.accepted);
        loop {
            tokio::select! {
                biased; // what has come is read before a connection is closed for its silence
                _ = conn.as_mut() => return,
                _ = cut.as_mut(), if client.is_leaving() && !client.busy.get() => return,
                _ = due.as_mut() => {
                    let now = tokio::time::Instant::now();
                    let (next, moved) = (client.due(now), client.stream.bytes_sent());
                    if seen.0 != moved || !client.flowing.get() {
                        seen = (moved, now);
                    }
                    if next > now {
                        due.as_mut().reset(next);
                    } else if client.busy.get() {
                        if now - seen.1 >= READ_PATIENCE {
                            return; // it reads nothing
                        }
                        due.as_mut().reset(now + BUSY_LOOK);
                    } else if client.stream.has_kernel_bytes() {
                        due.as_mut().reset(now + UNREAD_LOOK);
                    } else if client.stream.message_started_at().is_some() || !client.is_proven() {
                        return; // no whole head came
                    } else {
                        conn.as_mut().graceful_shutdown();
                        due.as_mut().reset(now + CLOSE_PATIENCE);
                    }
                }
                _ = client.close.notified() => {
                    if client.is_leaving() {
                        cut.as_mut().reset(tokio::time::Instant::now() + CLOSE_PATIENCE);
                    }
                    // A first request that comes while its connection is closed goes unanswered, so that the young ones
                    // are given their time; what lies unread may be a request.
                    let none_owed = client.is_leaving() && !client.is_proven() && !client.busy.get();
                    if none_owed && !client.stream.has_kernel_bytes() || client.asks_nothing(tokio::time::Instant::now()) {
                        return;
                    }
                    // A request that has just come is answered first; `answer` then ends the connection.
                    if client.busy.get() || !client.stream.has_unread_data() {
                        conn.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}
