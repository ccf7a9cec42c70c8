//! A client's connection and the state of its current transaction: forwards messages in both directions between the
//! client and a server.

use crate::io::{drain, fill};
use crate::statements::{
    awaits_replies, Direction, Interrupted, PreparedStatements, SessionEnd, MAX_PREPARED_STATEMENTS,
};
use crate::track::ConnectionTracker;
use crate::upstream::Upstream;
use crate::wire::{CancelKey, Forwarder, WireError};
use bytes::{BufMut, Bytes, BytesMut};
use lotusdeck_core::socket_state;
use lotusdeck_policy::Outcome;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The server connection to which a CancelRequest for a transaction is addressed.
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
    pub to_server: RefCell<Forwarder>,
    /// The position within the messages to the client.
    pub to_client: RefCell<Forwarder>,
    /// The state of the server connection in the current transaction.
    pub tracker: Cell<ConnectionTracker>,
    /// The client's prepared statements.
    pub statements: RefCell<PreparedStatements>,
    /// Whether bytes of the current transaction were forwarded to a server.
    pub sent: Cell<bool>,
    /// Whether that server was lost.
    pub server_lost: Cell<bool>,
    /// Whether no connection to some server could be had for the current transaction.
    pub connect_failed: Cell<bool>,
    /// The only message of the transaction, if it may be sent again while no part of its answer has been forwarded to
    /// the client.
    pub replay: RefCell<Option<Bytes>>,
    /// Whether the client has sent Terminate while replies are pending.
    has_terminated: Cell<bool>,
    /// Number of bytes of the current transaction that were taken from the input.
    taken_bytes: Cell<usize>,
    /// Whether part of an answer was forwarded to the client.
    pub answer_started: Cell<bool>,
    /// Why the session ends.
    pub session_end: Cell<Option<SessionEnd>>,
    /// Notified when `session_end` is set while a transaction is in flight.
    pub ended: Notify,
    /// Notified when no ReadyForQuery is pending any more.
    answered: Notify,
    /// Where the client's CancelRequests are forwarded; `None` outside a transaction.
    pub cancel_target: Cell<Option<CancelTarget>>,
}

impl Client {
    pub(crate) fn new(tcp: TcpStream, input: BytesMut) -> Rc<Client> {
        Rc::new(Client {
            tcp,
            input: RefCell::new(input),
            output: RefCell::default(),
            to_server: RefCell::default(),
            to_client: RefCell::default(),
            tracker: Cell::default(),
            statements: RefCell::default(),
            sent: Cell::new(false),
            server_lost: Cell::new(false),
            connect_failed: Cell::new(false),
            replay: RefCell::default(),
            has_terminated: Cell::new(false),
            taken_bytes: Cell::new(0),
            answer_started: Cell::new(false),
            session_end: Cell::new(None),
            ended: Notify::new(),
            answered: Notify::new(),
            cancel_target: Cell::new(None),
        })
    }

    /// Returns whether the client has disconnected, and ends its session then. Called right before the first byte of a
    /// transaction is sent: nothing is read from a client while it waits for a server, and the end of its stream may
    /// follow unread bytes.
    pub(crate) fn has_disconnected(&self) -> bool {
        let has_disconnected = socket_state::is_closed_by_peer(&self.tcp);
        if has_disconnected {
            self.end_session(SessionEnd::ClientLeft);
        }
        has_disconnected
    }

    /// Makes the session withdraw its request and end.
    fn end_session(&self, reason: SessionEnd) {
        self.session_end.set(Some(reason));
        self.ended.notify_one();
    }

    /// Forwards the bytes received from the client to the server connection's output buffer. Returns why the session
    /// ends, if it does.
    fn forward_to_server(&self, upstream: &Upstream) -> Option<SessionEnd> {
        let (mut forwarder, mut tracker) = (self.to_server.borrow_mut(), self.tracker.get());
        let (mut from, mut to) = (self.input.borrow_mut(), upstream.output.borrow_mut());
        let mut server = upstream.statements.borrow_mut();
        let mut direction = Direction {
            forwarder: &mut forwarder,
            tracker: &mut tracker,
            from: &mut from,
            to: &mut to,
            server: &mut server,
        };
        let forwarded = self.statements.borrow_mut().forward_to_server(&mut direction);
        self.tracker.set(tracker);
        let (moved, reason) = match forwarded {
            Ok(moved) => (moved, None),
            Err(Interrupted { taken, reason }) => (taken, Some(reason)),
        };
        self.sent.set(self.sent.get() || moved > 0);
        // Only the first message is kept, so a transaction with more cannot be sent again.
        self.taken_bytes.set(self.taken_bytes.get() + moved);
        let exceeds_replay = self.replay.borrow().as_ref().is_some_and(|r| r.len() < self.taken_bytes.get());
        if exceeds_replay {
            self.replay.take();
        }
        reason
    }

    /// Forwards the bytes received from the server to the client's output buffer.
    fn forward_to_client(&self, upstream: &Upstream) -> Result<(), WireError> {
        let (mut forwarder, mut tracker) = (self.to_client.borrow_mut(), self.tracker.get());
        let (mut from, mut to) = (upstream.input.borrow_mut(), self.output.borrow_mut());
        let mut server = upstream.statements.borrow_mut();
        let mut direction = Direction {
            forwarder: &mut forwarder,
            tracker: &mut tracker,
            from: &mut from,
            to: &mut to,
            server: &mut server,
        };
        let forwarded = self.statements.borrow_mut().forward_to_client(&mut direction);
        self.tracker.set(tracker);
        self.answer_started.set(self.answer_started.get() || !to.is_empty());
        forwarded
    }

    /// Resets the state for a new transaction, whose message `replay` may be sent again.
    pub(crate) fn begin_transaction(&self, replay: Option<Bytes>) {
        let flags = [&self.sent, &self.server_lost, &self.connect_failed, &self.answer_started];
        flags.into_iter().for_each(|flag| flag.set(false));
        self.taken_bytes.set(0);
        self.replay.replace(replay);
    }

    /// Puts the transaction's message back in front of the input if it was sent to a server that was lost and may be
    /// sent again.
    pub(crate) fn rewind(&self) {
        let message = self.replay.borrow().clone().filter(|_| self.sent.get() && !self.answer_started.get());
        if let Some(message) = message {
            let rest = self.input.take();
            let mut input = BytesMut::with_capacity(message.len() + rest.len());
            input.put_slice(&message);
            input.put_slice(&rest);
            self.input.replace(input);
            self.tracker.set(ConnectionTracker::default());
            [&self.sent, &self.server_lost].into_iter().for_each(|flag| flag.set(false));
            self.taken_bytes.set(0);
            *self.to_server.borrow_mut() = Forwarder::default();
            *self.to_client.borrow_mut() = Forwarder::default();
        }
    }

    /// Returns whether another client may use the server connection.
    pub(crate) fn is_reusable(&self, upstream: &Upstream) -> bool {
        !self.statements.borrow().has_session_state
            && upstream.statements.borrow().named_count() <= MAX_PREPARED_STATEMENTS
    }

    /// Returns whether the transaction has ended and both streams are at a message boundary, with no bytes buffered
    /// on the server's side.
    fn is_idle(&self, upstream: &Upstream) -> bool {
        let is_mid_message =
            !self.to_server.borrow().is_at_boundary() || !self.to_client.borrow().is_at_boundary();
        let has_buffered_bytes = !upstream.input.borrow().is_empty() || !upstream.output.borrow().is_empty();
        self.tracker.get().is_idle() && !is_mid_message && !has_buffered_bytes
    }

    /// Returns whether the client's next messages wait until what was forwarded is answered.
    fn awaits_replies(&self, upstream: &Upstream) -> bool {
        self.to_server.borrow().is_at_boundary()
            && awaits_replies(&upstream.statements.borrow(), &self.tracker.get())
    }

    /// Forwards the client's messages to the server; never returns.
    pub(crate) async fn forward_requests(&self, upstream: &Upstream) -> Outcome {
        loop {
            let reason = self.forward_to_server(upstream);
            if drain(&upstream.output, &upstream.tcp).await.is_err() {
                // The server may have sent an error before it closed the connection: the other direction reads it and
                // ends the attempt.
                std::future::pending::<()>().await;
            }
            if let Some(reason) = reason {
                // A Terminate after unanswered statements takes effect once they are answered.
                self.has_terminated
                    .set(reason == SessionEnd::ClientLeft && self.tracker.get().pending_ready() > 0);
                if !self.has_terminated.get() {
                    self.end_session(reason);
                }
                std::future::pending::<()>().await; // the session withdraws the request, which drops this future
            }
            if self.awaits_replies(upstream) {
                self.answered.notified().await;
                continue;
            }
            if !matches!(fill(&self.tcp, &self.input).await, Ok(1..)) {
                self.end_session(SessionEnd::ClientLeft);
                std::future::pending::<()>().await;
            }
        }
    }

    /// Forwards the server's messages to the client; returns the outcome once the transaction ends or the server is
    /// lost. Calls `on_first_part` when the first part of the answer is forwarded.
    pub(crate) async fn forward_answers(&self, upstream: &Upstream, on_first_part: impl Fn()) -> Outcome {
        loop {
            if !matches!(fill(&upstream.tcp, &upstream.input).await, Ok(1..)) {
                self.server_lost.set(true);
                return Outcome::Reset;
            }
            let had_started = self.answer_started.get();
            let forwarded = self.forward_to_client(upstream);
            if self.answer_started.get() && !had_started {
                on_first_part();
            }
            if drain(&self.output, &self.tcp).await.is_err() {
                self.end_session(SessionEnd::ClientLeft);
                std::future::pending::<()>().await;
            }
            if forwarded.is_err() {
                self.server_lost.set(true);
                return Outcome::Error;
            }
            if self.is_idle(upstream) {
                return Outcome::Success;
            }
            if self.tracker.get().pending_ready() == 0 {
                self.answered.notify_one();
            }
            if self.has_terminated.get() && self.tracker.get().pending_ready() == 0 {
                self.end_session(SessionEnd::ClientLeft);
            }
        }
    }
}
