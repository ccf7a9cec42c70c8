//! One transaction: bytes pass both ways between a client and the server that the core chose, until the server says that
//! it is idle.

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

/// A client's connection, and how far its streams have come.
pub(crate) struct Client {
    pub tcp: TcpStream,
    /// What came and was not passed on yet, and what is to be written.
    pub input: RefCell<BytesMut>,
    pub output: RefCell<BytesMut>,
    /// Where its messages to servers, and theirs to it, are cut at this moment.
    pub up: RefCell<Forwarder>,
    pub down: RefCell<Forwarder>,
    pub track: Cell<Track>,
    /// Its prepared statements.
    pub statements: RefCell<PreparedStatements>,
    /// Bytes of the present transaction have gone to a server, and that was lost.
    pub sent: Cell<bool>,
    pub lost: Cell<bool>,
    /// The only message of a transaction that may be said again as long as nothing of its answer went to the client.
    pub replay: RefCell<Option<Bytes>>,
    /// It has said farewell behind what is still out.
    farewell: Cell<bool>,
    /// Bytes of it that a server has, and whether something of an answer went to the client.
    taken: Cell<usize>,
    answered: Cell<bool>,
    /// It has left, or says what it cannot say.
    pub over: Cell<Option<SessionEnd>>,
    pub ended: Notify,
    /// Where a CancelRequest of its would go.
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

    /// Asked right before the first byte of a transaction: nothing is read of a client while it waits for a server, and
    /// its end may lie behind bytes that are still to be read.
    fn has_left(&self) -> bool {
        let has_left = socket_state::is_closed_by_peer(&self.tcp);
        if has_left {
            self.end(SessionEnd::ClientLeft);
        }
        has_left
    }

    fn end(&self, why: SessionEnd) {
        self.over.set(Some(why));
        self.ended.notify_one();
    }

    /// What the client has said goes on to its server, as far as it may.
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
        // Whatever follows the one message is not kept.
        self.taken.set(self.taken.get() + moved);
        let beyond = self.replay.borrow().as_ref().is_some_and(|r| r.len() < self.taken.get());
        if beyond {
            self.replay.take();
        }
        why
    }

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

    /// A transaction begins.
    pub(crate) fn begin(&self, replay: Option<Bytes>) {
        [&self.sent, &self.lost, &self.answered].into_iter().for_each(|flag| flag.set(false));
        self.taken.set(0);
        self.replay.replace(replay);
    }

    /// What went to a server that was lost is there to be sent again, where that may be.
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

    /// The connection may serve another client.
    fn leaves_clean(&self, upstream: &Upstream) -> bool {
        !self.statements.borrow().is_tainted && upstream.prepared.borrow().len() <= MAX_PREPARED
    }

    fn idle(&self, upstream: &Upstream) -> bool {
        let cut = !self.up.borrow().is_at_boundary() || !self.down.borrow().is_at_boundary();
        let waiting = !upstream.input.borrow().is_empty() || !upstream.output.borrow().is_empty();
        self.track.get().is_idle() && !cut && !waiting
    }

    async fn upward(&self, upstream: &Upstream) -> Outcome {
        loop {
            let why = self.pass_up(upstream);
            if drain(&upstream.output, &upstream.tcp).await.is_err() {
                // Its last words may still say why: the other direction ends with them.
                std::future::pending::<()>().await;
            }
            if let Some(why) = why {
                // A farewell behind statements that are out holds once these are answered.
                self.farewell.set(why == SessionEnd::ClientLeft && self.track.get().pending_ready() > 0);
                if !self.farewell.get() {
                    self.end(why);
                }
                std::future::pending::<()>().await; // the session withdraws the request
            }
            if !matches!(fill(&self.tcp, &self.input).await, Ok(1..)) {
                self.end(SessionEnd::ClientLeft);
                std::future::pending::<()>().await;
            }
        }
    }

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

/// A transaction under way.
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

    /// What has gone to a server is not kept for another, but for a single statement that is declared safe.
    fn body_consumed(&self) -> bool {
        self.client.sent.get() && (self.client.answered.get() || self.client.replay.borrow().is_none())
    }

    fn answer_status(&self, _: AttemptNo) -> Option<u16> {
        None
    }
}
