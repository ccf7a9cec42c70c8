//! One transaction: forwards messages in both directions between a client and the server that the core chose, until the
//! server connection is idle.

use crate::io::{drain, fill};
use crate::statements::{Direction, Interrupted, PreparedStatements, SessionEnd, MAX_PREPARED};
use crate::track::Track;
use crate::upstream::{Servers, Upstream};
use crate::wire::{CancelKey, Forwarder, WireError};
use bytes::{BufMut, Bytes, BytesMut};
use lotusdeck_core::{socket_state, AttemptContext, AttemptFuture, Exchange};
use lotusdeck_policy::{AttemptNo, Outcome};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Where a CancelRequest for a transaction is sent.
#[derive(Clone, Copy)]
pub(crate) struct CancelTarget {
    pub server: SocketAddr,
    pub key: CancelKey,
}

/// A client's connection and the state of its current transaction.
pub(crate) struct Client {
    pub tcp: TcpStream,
    /// Bytes received and not yet forwarded.
    pub input: RefCell<BytesMut>,
    /// Bytes to be written.
    pub output: RefCell<BytesMut>,
    /// The position within the messages from the client.
    pub up: RefCell<Forwarder>,
    /// The position within the messages to the client.
    pub down: RefCell<Forwarder>,
    pub track: Cell<Track>,
    /// The client's prepared statements.
    pub statements: RefCell<PreparedStatements>,
    /// Whether bytes of the current transaction were forwarded to a server.
    pub sent: Cell<bool>,
    /// Whether that server was lost.
    pub lost: Cell<bool>,
    /// The only message of the transaction, if it may be sent again: as long as the client has received no part of the
    /// answer.
    pub replay: RefCell<Option<Bytes>>,
    /// Whether the client has sent Terminate while replies are pending.
    farewell: Cell<bool>,
    /// Number of bytes of the current transaction that were taken from the input.
    taken: Cell<usize>,
    /// Whether part of an answer was forwarded to the client.
    answered: Cell<bool>,
    /// Why the session ends.
    pub over: Cell<Option<SessionEnd>>,
    /// Notified when `over` is set while a transaction is in flight.
    pub ended: Notify,
    /// Where the client's CancelRequests are forwarded; `None` outside a transaction.
    pub at: Cell<Option<CancelTarget>>,
}

impl Client {
    pub(crate) fn new(tcp: TcpStream, input: BytesMut) -> Rc<Client> {
        Rc::new(Client {
            tcp,
            input: RefCell::new(input),
            output: RefCell::default(),
            up: RefCell::default(),
            down: RefCell::default(),
            track: Cell::default(),
            statements: RefCell::default(),
            sent: Cell::new(false),
            lost: Cell::new(false),
            replay: RefCell::default(),
            farewell: Cell::new(false),
            taken: Cell::new(0),
            answered: Cell::new(false),
            over: Cell::new(None),
            ended: Notify::new(),
            at: Cell::new(None),
        })
    }

    /// Returns whether the client has disconnected, and ends its session then. Called right before the first byte of a
    /// transaction is sent: nothing is read from a client while it waits for a server, and the end of its stream may
    /// follow unread bytes.
    fn has_left(&self) -> bool {
        let has_left = socket_state::is_closed_by_peer(&self.tcp);
        if has_left {
            self.end(SessionEnd::ClientLeft);
        }
        has_left
    }

    /// Makes the session withdraw its request and end.
    fn end(&self, why: SessionEnd) {
        self.over.set(Some(why));
        self.ended.notify_one();
    }

    /// Forwards the bytes received from the client to the server connection's output buffer. Returns why the session
    /// ends, if it does.
    fn pass_up(&self, upstream: &Upstream) -> Option<SessionEnd> {
        let (mut forwarder, mut track) = (self.up.borrow_mut(), self.track.get());
        let (mut from, mut to) = (self.input.borrow_mut(), upstream.output.borrow_mut());
        let mut prepared = upstream.prepared.borrow_mut();
        let mut link = Direction {
            forwarder: &mut forwarder,
            track: &mut track,
            from: &mut from,
            to: &mut to,
            prepared: &mut prepared,
        };
        let forwarded = self.statements.borrow_mut().forward_to_server(&mut link);
        self.track.set(track);
        let (moved, why) = match forwarded {
            Ok(moved) => (moved, None),
            Err(Interrupted { taken, reason }) => (taken, Some(reason)),
        };
        self.sent.set(self.sent.get() || moved > 0);
        // Only the first message is kept, so a transaction with more cannot be sent again.
        self.taken.set(self.taken.get() + moved);
        let beyond = self.replay.borrow().as_ref().is_some_and(|r| r.len() < self.taken.get());
        if beyond {
            self.replay.take();
        }
        why
    }

    /// Forwards the bytes received from the server to the client's output buffer.
    fn pass_down(&self, upstream: &Upstream) -> Result<(), WireError> {
        let (mut forwarder, mut track) = (self.down.borrow_mut(), self.track.get());
        let (mut from, mut to) = (upstream.input.borrow_mut(), self.output.borrow_mut());
        let mut prepared = upstream.prepared.borrow_mut();
        let mut link = Direction {
            forwarder: &mut forwarder,
            track: &mut track,
            from: &mut from,
            to: &mut to,
            prepared: &mut prepared,
        };
        let passed = self.statements.borrow_mut().forward_to_client(&mut link);
        self.track.set(track);
        self.answered.set(self.answered.get() || !to.is_empty());
        passed
    }

    /// Resets the state for a new transaction, whose message `replay` may be sent again.
    pub(crate) fn begin(&self, replay: Option<Bytes>) {
        [&self.sent, &self.lost, &self.answered].into_iter().for_each(|flag| flag.set(false));
        self.taken.set(0);
        self.replay.replace(replay);
    }

    /// Puts the transaction's message back in front of the input if it was sent to a server that was lost and may be
    /// sent again.
    fn rewind(&self) {
        let again = self.replay.borrow().clone().filter(|_| self.sent.get() && !self.answered.get());
        if let Some(again) = again {
            let behind = self.input.take();
            let mut input = BytesMut::with_capacity(again.len() + behind.len());
            input.put_slice(&again);
            input.put_slice(&behind);
            self.input.replace(input);
            self.track.set(Track::default());
            [&self.sent, &self.lost].into_iter().for_each(|flag| flag.set(false));
            self.taken.set(0);
            *self.up.borrow_mut() = Forwarder::default();
            *self.down.borrow_mut() = Forwarder::default();
        }
    }

    /// Returns whether another client may use the server connection.
    fn leaves_clean(&self, upstream: &Upstream) -> bool {
        !self.statements.borrow().is_tainted && upstream.prepared.borrow().len() <= MAX_PREPARED
    }

    /// Returns whether the transaction has ended and both streams are at a message boundary, with no bytes buffered
    /// on the server's side.
    fn idle(&self, upstream: &Upstream) -> bool {
        let cut = !self.up.borrow().is_at_boundary() || !self.down.borrow().is_at_boundary();
        let waiting = !upstream.input.borrow().is_empty() || !upstream.output.borrow().is_empty();
        self.track.get().is_idle() && !cut && !waiting
    }

    /// Forwards the client's messages to the server; never returns.
    async fn upward(&self, upstream: &Upstream) -> Outcome {
        loop {
            let why = self.pass_up(upstream);
            if drain(&upstream.output, &upstream.tcp).await.is_err() {
                // The server may have sent an error before it closed the connection: the other direction reads it and
                // ends the attempt.
                std::future::pending::<()>().await;
            }
            if let Some(why) = why {
                // A Terminate that follows unanswered statements takes effect once they are answered.
                self.farewell.set(why == SessionEnd::ClientLeft && self.track.get().pending_ready() > 0);
                if !self.farewell.get() {
                    self.end(why);
                }
                std::future::pending::<()>().await; // the session withdraws the request, which drops this future
            }
            if !matches!(fill(&self.tcp, &self.input).await, Ok(1..)) {
                self.end(SessionEnd::ClientLeft);
                std::future::pending::<()>().await;
            }
        }
    }

    /// Forwards the server's messages to the client; returns the outcome once the transaction ends or the server is
    /// lost.
    async fn downward(&self, upstream: &Upstream) -> Outcome {
        loop {
            if !matches!(fill(&upstream.tcp, &upstream.input).await, Ok(1..)) {
                self.lost.set(true);
                return Outcome::Reset;
            }
            let passed = self.pass_down(upstream);
            if drain(&self.output, &self.tcp).await.is_err() {
                self.end(SessionEnd::ClientLeft);
                std::future::pending::<()>().await;
            }
            if passed.is_err() {
                self.lost.set(true);
                return Outcome::Error;
            }
            if self.idle(upstream) {
                return Outcome::Success;
            }
            if self.farewell.get() && self.track.get().pending_ready() == 0 {
                self.end(SessionEnd::ClientLeft);
            }
        }
    }
}

/// A transaction in flight.
pub(crate) struct Transaction {
    pub client: Rc<Client>,
    pub servers: Rc<Servers>,
}

impl Exchange for Transaction {
    fn send_attempt(self: Rc<Self>, leg: AttemptContext) -> AttemptFuture {
        Box::pin(async move {
            self.client.rewind();
            let upstream = match self.servers.take(leg.backend, leg.address).await {
                Ok(upstream) => upstream,
                Err(outcome) => return outcome,
            };
            let may_send = leg.journaled().await && !self.client.sent.get() && leg.may_send();
            if !may_send || self.client.has_left() {
                self.servers.put(leg.backend, upstream);
                return Outcome::NeverSent;
            }
            self.client.at.set(Some(CancelTarget { server: upstream.to, key: upstream.cancel_key }));
            self.client.statements.borrow_mut().begin_transaction();
            let outcome = tokio::select! {
                biased;
                outcome = self.client.downward(&upstream) => outcome,
                outcome = self.client.upward(&upstream) => outcome,
            };
            self.client.at.set(None);
            if outcome == Outcome::Success && self.client.leaves_clean(&upstream) {
                self.servers.put(leg.backend, upstream);
            }
            outcome
        })
    }

    /// Returns whether bytes were sent that are not kept for another attempt. Only a single statement of a class
    /// without side effects is kept, until part of its answer was forwarded.
    fn body_consumed(&self) -> bool {
        self.client.sent.get() && (self.client.answered.get() || self.client.replay.borrow().is_none())
    }

    fn answer_status(&self, _: AttemptNo) -> Option<u16> {
        None
    }
}
