//! One transaction: bytes pass both ways between a client and the server that the core chose, until the server says that
//! it is idle.

use crate::carry::{Carry, Over, MAX_PREPARED};
use crate::track::Track;
use crate::upstream::{drain, fill, Servers, Upstream};
use crate::wire::{Pieces, WireError};
use bytes::BytesMut;
use lotusdeck_core::{Leg, Sending, Work};
use lotusdeck_policy::{AttemptNo, Outcome};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A client's connection, and how far its streams have come.
pub(crate) struct Client {
    pub tcp: TcpStream,
    /// What came and was not passed on yet, and what is to be written.
    pub input: RefCell<BytesMut>,
    pub output: RefCell<BytesMut>,
    /// Where its messages to servers, and theirs to it, are cut at this moment.
    pub up: RefCell<Pieces>,
    pub down: RefCell<Pieces>,
    pub track: Cell<Track>,
    /// Its prepared statements.
    pub carry: RefCell<Carry>,
    /// Bytes of the present transaction have gone to a server, and that was lost.
    pub sent: Cell<bool>,
    pub lost: Cell<bool>,
    /// It has left, or says what it cannot say.
    pub over: Cell<Option<Over>>,
    pub ended: Notify,
    /// Where a CancelRequest of its would go.
    pub at: Cell<Option<(SocketAddr, (i32, i32))>>,
}

impl Client {
    pub fn new(tcp: TcpStream, input: BytesMut) -> Rc<Client> {
        Rc::new(Client {
            tcp,
            input: RefCell::new(input),
            output: RefCell::default(),
            up: RefCell::default(),
            down: RefCell::default(),
            track: Cell::default(),
            carry: RefCell::default(),
            sent: Cell::new(false),
            lost: Cell::new(false),
            over: Cell::new(None),
            ended: Notify::new(),
            at: Cell::new(None),
        })
    }

    fn end(&self, why: Over) {
        self.over.set(Some(why));
        self.ended.notify_one();
    }

    /// What the client has said goes on to its server, as far as it may.
    fn pass_up(&self, upstream: &Upstream) -> Option<Over> {
        let (mut pieces, mut track) = (self.up.borrow_mut(), self.track.get());
        let (mut from, mut to) = (self.input.borrow_mut(), upstream.output.borrow_mut());
        let mut prepared = upstream.prepared.borrow_mut();
        let passed = self.carry.borrow_mut().up(&mut pieces, &mut track, &mut from, &mut to, &mut prepared);
        self.track.set(track);
        let (moved, why) = passed.map_or_else(|(moved, why)| (moved, Some(why)), |moved| (moved, None));
        self.sent.set(self.sent.get() || moved > 0);
        why
    }

    fn pass_down(&self, upstream: &Upstream) -> Result<(), WireError> {
        let (mut pieces, mut track) = (self.down.borrow_mut(), self.track.get());
        let (mut from, mut to) = (upstream.input.borrow_mut(), self.output.borrow_mut());
        let mut prepared = upstream.prepared.borrow_mut();
        let passed = self.carry.borrow_mut().down(&mut pieces, &mut track, &mut from, &mut to, &mut prepared);
        self.track.set(track);
        passed
    }

    /// The connection may serve another client.
    fn leaves_clean(&self, upstream: &Upstream) -> bool {
        !self.carry.borrow().tainted && upstream.prepared.borrow().len() <= MAX_PREPARED
    }

    fn idle(&self, upstream: &Upstream) -> bool {
        let cut = !self.up.borrow().at_boundary() || !self.down.borrow().at_boundary();
        let waiting = !upstream.input.borrow().is_empty() || !upstream.output.borrow().is_empty();
        self.track.get().idle() && !cut && !waiting
    }

    async fn upward(&self, upstream: &Upstream) -> Outcome {
        loop {
            let why = self.pass_up(upstream);
            if drain(&upstream.output, &upstream.tcp).await.is_err() {
                // Its last words may still say why: the other direction ends with them.
                std::future::pending::<()>().await;
            }
            if let Some(why) = why {
                self.end(why);
                std::future::pending::<()>().await; // the session withdraws the request
            }
            if !matches!(fill(&self.tcp, &self.input).await, Ok(1..)) {
                self.end(Over::Left);
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
                self.end(Over::Left);
                std::future::pending::<()>().await;
            }
            if passed.is_err() {
                self.lost.set(true);
                return Outcome::Error;
            }
            if self.idle(upstream) {
                return Outcome::Ok;
            }
        }
    }
}

/// A transaction under way.
pub(crate) struct Transaction {
    pub client: Rc<Client>,
    pub servers: Rc<Servers>,
}

impl Work for Transaction {
    fn attempt(self: Rc<Self>, leg: Leg) -> Sending {
        Box::pin(async move {
            let upstream = match self.servers.take(leg.backend, leg.address).await {
                Ok(upstream) => upstream,
                Err(outcome) => return outcome,
            };
            if !leg.cleared().await || self.spent() || !leg.may_send() {
                self.servers.put(leg.backend, upstream);
                return Outcome::NeverSent;
            }
            self.client.at.set(Some((upstream.to, upstream.key)));
            self.client.carry.borrow_mut().begin();
            let outcome = tokio::select! {
                biased;
                outcome = self.client.downward(&upstream) => outcome,
                outcome = self.client.upward(&upstream) => outcome,
            };
            self.client.at.set(None);
            if outcome == Outcome::Ok && self.client.leaves_clean(&upstream) {
                self.servers.put(leg.backend, upstream);
            }
            outcome
        })
    }

    /// What has gone to a server is not kept for another.
    fn spent(&self) -> bool {
        self.client.sent.get()
    }

    fn status(&self, _: AttemptNo) -> Option<u16> {
        None
    }
}
