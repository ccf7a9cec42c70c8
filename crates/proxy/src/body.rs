//! Bodies: kept whole where they are small, passed on frame by frame where they are not.

use crate::body_budget::{BodyBudget, BodyReservation};
use crate::fault::Fault;
use crate::stream::Stream;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::{Instant, Sleep};

/// A body of so many bytes is kept whole: it can be sent again.
pub const WHOLE: usize = 64 * 1024;
/// The largest body on either side.
pub const MOST: u64 = 32 * 1024 * 1024;
/// After this time a body comes at the least rate, in bytes a second: an eighth of the slowest client's.
const GRACE: Duration = Duration::from_secs(2);
const LEAST_RATE: f64 = 8192.0;

pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A client's body as it goes on to backends.
pub enum Payload {
    Whole(Bytes),
    Flow(Rc<Upload>),
}

/// A body of which a part is still with the client.
pub struct Upload {
    /// What was read before the first attempt: kept until the rest is touched.
    first: RefCell<Bytes>,
    rest: RefCell<Option<Incoming>>,
    length: Option<u64>,
    read: Cell<u64>,
    begun: Instant,
    touched: Cell<bool>,
    whole: Cell<bool>,
    fault: Cell<Option<Fault>>,
    /// Told when it is whole or at fault.
    over: Notify,
    client: Stream,
    /// Its client may rest for so long.
    stall: Duration,
}

/// Reads the body up to its end, or until it is too much to keep.
pub async fn gather(
    mut body: Incoming, length: Option<u64>, client: &Stream, budget: &BodyBudget, stall: Duration,
) -> Result<(Payload, BodyReservation), Fault> {
    let mut kept = budget.reserve();
    let (begun, mut read) = (Instant::now(), BytesMut::new());
    loop {
        let frame = match tokio::time::timeout(stall, body.frame()).await {
            Err(_) => return Err(Fault::Slow),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(Fault::Body),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue }; // trailers concern nobody behind this proxy
        read.extend_from_slice(&data);
        if !in_time(begun, read.len() as u64) {
            return Err(Fault::Slow);
        }
        if length.is_some_and(|n| n == read.len() as u64) {
            break;
        }
        if !kept.grow(data.len()) || read.len() > WHOLE {
            let (first, read) = (RefCell::new(read.clone().freeze()), Cell::new(read.len() as u64));
            let (rest, client, over) = (RefCell::new(Some(body)), client.clone(), Notify::new());
            let (touched, whole, fault) = (Cell::new(false), Cell::new(false), Cell::new(None));
            let upload =
                Upload { first, rest, length, read, begun, touched, whole, fault, over, client, stall };
            return Ok((Payload::Flow(Rc::new(upload)), kept));
        }
    }
    // A client waits for its answer before it sends more: this one's length is wrong or hides a request.
    if client.has_excess_bytes(read.len() as u64) {
        return Err(Fault::Length);
    }
    Ok((Payload::Whole(read.freeze()), kept))
}

fn in_time(begun: Instant, read: u64) -> bool {
    begun.elapsed() < GRACE + Duration::from_secs_f64(read as f64 / LEAST_RATE)
}

impl Payload {
    /// No other attempt can send it.
    pub fn spent(&self) -> bool {
        matches!(self, Payload::Flow(upload) if upload.spent())
    }

    /// What is still coming of it.
    pub fn flow(&self) -> Option<&Rc<Upload>> {
        match self {
            Payload::Whole(_) => None,
            Payload::Flow(upload) => Some(upload),
        }
    }
}

impl Upload {
    /// Part of it is gone: no other attempt can send it.
    pub fn spent(&self) -> bool {
        self.touched.get()
    }

    /// Bytes that have come of it.
    pub fn read(&self) -> u64 {
        self.read.get()
    }

    /// Its last byte has come and was passed on.
    pub fn whole(&self) -> bool {
        self.whole.get()
    }

    /// Why it is no request.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.get()
    }

    /// Until it is whole, or is found to be no request.
    pub async fn over(&self) -> Result<(), Fault> {
        loop {
            let told = self.over.notified();
            match self.fault.get() {
                Some(fault) => return Err(fault),
                None if self.whole.get() => return Ok(()),
                None => told.await,
            }
        }
    }

    fn end(&self, fault: Option<Fault>) {
        self.fault.set(fault);
        self.whole.set(fault.is_none());
        self.over.notify_waiters();
    }

    /// What the client still sends after its answer is read and forgotten: an answer that meets bytes nobody
    /// reads would be lost on its way.
    pub fn drain(&self) {
        let Some(mut rest) = self.rest.take() else { return };
        let (mut read, begun, stall) = (self.read.get(), self.begun, self.stall);
        tokio::task::spawn_local(async move {
            while let Ok(Some(Ok(frame))) = tokio::time::timeout(stall, rest.frame()).await {
                read += frame.data_ref().map_or(0, |d| d.len() as u64);
                if read > MOST || !in_time(begun, read) {
                    return;
                }
            }
        });
    }

    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        let mut rest = self.rest.borrow_mut();
        let Some(body) = rest.as_mut().filter(|_| !self.whole.get()) else { return Poll::Ready(None) };
        let data = loop {
            match ready!(Pin::new(&mut *body).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => break Some(data),
                    Err(_trailers) => {}
                },
                Some(Err(_)) => return Poll::Ready(Some(Err(Fault::Body))),
                None => break None,
            }
        };
        self.touched.set(true);
        self.first.take();
        let read = self.read.get() + data.as_ref().map_or(0, |d| d.len() as u64);
        self.read.set(read);
        let last = data.is_none() || self.length == Some(read);
        let fault = match self.length {
            _ if read > MOST => Some(Fault::TooLong),
            Some(length) if last && read != length => Some(Fault::Length),
            _ if last && self.client.has_excess_bytes(read) => Some(Fault::Length),
            _ if !last && !in_time(self.begun, read) => Some(Fault::Slow),
            _ => None,
        };
        match fault {
            Some(fault) => Poll::Ready(Some(Err(fault))),
            None => {
                if last {
                    self.end(None);
                }
                Poll::Ready(data.map(Ok))
            }
        }
    }
}

/// One attempt's copy of a payload, as hyper sends it.
pub struct Outgoing {
    first: Option<Bytes>,
    rest: Option<Rc<Upload>>,
    /// Runs while the client is waited for.
    stall: Option<Pin<Box<Sleep>>>,
    length: Option<u64>,
}

impl Outgoing {
    pub fn new(payload: &Payload) -> Outgoing {
        let (first, rest, length) = match payload {
            Payload::Whole(bytes) => (bytes.clone(), None, Some(bytes.len() as u64)),
            Payload::Flow(upload) => (upload.first.borrow().clone(), Some(upload.clone()), upload.length),
        };
        Outgoing { first: Some(first).filter(|f| !f.is_empty()), rest, stall: None, length }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(first) = self.first.take() {
            self.length = self.length.map(|n| n - first.len() as u64);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(upload) = self.rest.clone() else { return Poll::Ready(None) };
        let got = match upload.poll_rest(cx) {
            Poll::Ready(got) => got,
            Poll::Pending => {
                let wait = || Box::pin(tokio::time::sleep(upload.stall));
                ready!(self.stall.get_or_insert_with(wait).as_mut().poll(cx));
                Some(Err(Fault::Slow))
            }
        };
        self.stall = None;
        Poll::Ready(match got {
            Some(Ok(data)) => {
                self.length = self.length.map(|n| n.saturating_sub(data.len() as u64));
                Some(Ok(Frame::data(data)))
            }
            Some(Err(fault)) => {
                upload.end(Some(fault));
                Some(Err("the client's body is no whole one".into()))
            }
            None => None,
        })
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.as_ref().is_none_or(|r| r.whole())
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Where an answer's frames go in, and the body that they come out of: one frame lies between them.
/// `None` is the end; without it the answer broke off.
pub fn inflow(first: Bytes, length: Option<u64>) -> (mpsc::Sender<Option<Bytes>>, Inflow) {
    let (into, rest) = mpsc::channel(1);
    (into, Inflow { first: Some(first), rest, left: length })
}

/// An answer that is still coming.
pub struct Inflow {
    first: Option<Bytes>,
    rest: mpsc::Receiver<Option<Bytes>>,
    left: Option<u64>,
}

impl Inflow {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let data = match self.first.take() {
            Some(first) => first,
            None => match ready!(self.rest.poll_recv(cx)) {
                Some(Some(data)) => data,
                Some(None) => return Poll::Ready(None),
                None => return Poll::Ready(Some(Err("the backend's answer broke off".into()))),
            },
        };
        self.left = self.left.map(|n| n.saturating_sub(data.len() as u64));
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

/// The body of an answer to a client.
pub enum AnswerBody {
    Whole(Option<Bytes>),
    /// With what is to be dropped at its end.
    Flow(Inflow, Option<Box<dyn std::any::Any>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            AnswerBody::Flow(flow, _) => flow.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_none(),
            AnswerBody::Flow(flow, _) => flow.left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            AnswerBody::Flow(flow, _) => flow.left.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// Runs out when nothing has moved on the stream for so long, by the count that is looked at.
pub async fn stuck(patience: Duration, count: impl Fn() -> u64) {
    let mut seen = count();
    loop {
        pin!(tokio::time::sleep(patience)).await;
        match count() {
            now if now == seen => return,
            now => seen = now,
        }
    }
}
