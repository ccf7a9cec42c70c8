//! Attempts: one request to one backend.

use crate::body::{inflow, AnswerBody, Outgoing, Payload};
use crate::connection_pool::ConnectionPool;
use crate::exchange::{clean, exchange, Broken};
use crate::relay::Relay;
use crate::stream::{SendGate, Stream};
use crate::strip_hop_by_hop;
use hyper::body::Body;
use hyper::ext::on_informational;
use hyper::header::CONNECTION;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri, Version};
use lotusdeck_core::{AttemptContext, AttemptFuture, Exchange};
use lotusdeck_policy::{AttemptNo, BackendId, Outcome};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A client's request as it goes on to backends.
pub struct Call {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Payload,
}

/// A served answer.
pub struct Served {
    pub headers: HeaderMap,
    pub body: AnswerBody,
}

/// How an attempt ended.
pub(crate) struct Ended {
    pub outcome: Outcome,
    /// Of its answer, where one came.
    pub status: Option<u16>,
    /// The answer, where it was served.
    pub served: Option<Served>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended { outcome, status: None, served: None }
    }
}

/// A client's request under way: the core sends it, and the front fetches the answer that was served.
pub struct HttpWork {
    pool: Rc<ConnectionPool>,
    call: Call,
    /// Whose request it is.
    client: Stream,
    /// Told where the client was found to have left when something was about to be sent for it.
    pub(crate) left: Rc<Notify>,
    served: RefCell<Vec<(AttemptNo, Served)>>,
    statuses: RefCell<Vec<(AttemptNo, u16)>>,
}

impl HttpWork {
    /// Of a request that was read; attempts go out on the pool's connections.
    pub fn new(pool: Rc<ConnectionPool>, call: Call, client: Stream) -> Rc<HttpWork> {
        let (served, statuses, left) = (RefCell::default(), RefCell::default(), Rc::default());
        Rc::new(HttpWork { pool, call, client, left, served, statuses })
    }

    /// Asked at the first byte of an attempt. The end of a client may be hidden from hyper, which reads no further
    /// behind bytes that follow a request, and may have come while this process was doing something else.
    fn gate(&self, leg: AttemptContext) -> SendGate {
        let (client, left) = (self.client.clone(), self.left.clone());
        Box::new(move || {
            let gone = client.is_closed_by_peer();
            if gone {
                left.notify_one();
            }
            !gone && leg.may_send()
        })
    }

    /// Its path as the client wrote it.
    pub fn path(&self) -> &str {
        self.call.uri.path()
    }

    /// The answer of an attempt that was served; it can be fetched once.
    pub fn fetch(&self, attempt: AttemptNo) -> Option<Served> {
        let mut served = self.served.borrow_mut();
        let at = served.iter().position(|s| s.0 == attempt)?;
        Some(served.swap_remove(at).1)
    }
}

impl Exchange for HttpWork {
    fn send_attempt(self: Rc<Self>, leg: AttemptContext) -> AttemptFuture {
        Box::pin(async move {
            let (attempt, to, deadline) = (leg.attempt, (leg.backend, leg.address), leg.deadline);
            let cleared = leg.journaled();
            let ended = self.pool.attempt(to, &self.call, deadline, cleared, self.gate(leg)).await;
            self.statuses.borrow_mut().extend(ended.status.map(|s| (attempt, s)));
            self.served.borrow_mut().extend(ended.served.map(|s| (attempt, s)));
            ended.outcome
        })
    }

    fn body_consumed(&self) -> bool {
        self.call.body.spent()
    }

    fn answer_status(&self, attempt: AttemptNo) -> Option<u16> {
        self.statuses.borrow().iter().find(|s| s.0 == attempt).map(|s| s.1)
    }
}

impl ConnectionPool {
    /// Sends `call` to a backend and waits for the answer, or for its first bytes where it is large. `gate` is asked
    /// at the moment of the first byte: the backend may have begun to drain, or the client have left, while the
    /// connection came up.
    pub(crate) async fn attempt(
        self: &Rc<Self>, (id, to): (BackendId, SocketAddr), call: &Call, deadline: Instant,
        cleared: impl Future<Output = bool>, gate: SendGate,
    ) -> Ended {
        // A kept connection is looked at when it is used: it may be closed while the journal writes.
        let fresh = match self.has_idle(id) {
            true => None,
            false => Some(self.connect(to).await),
        };
        let cleared = cleared.await;
        let taken = || self.take_idle(id, to).map(Ok);
        let c = match fresh.or_else(taken) {
            Some(connected) => connected,
            None => self.connect(to).await,
        };
        let c = match c {
            Ok(c) => c,
            Err(outcome) => return outcome.into(),
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if !cleared || left.is_zero() || call.body.spent() {
            self.return_idle(id, c); // an unused connection stays warm
            return Outcome::NeverSent.into();
        }
        let mut request = Request::new(Outgoing::new(&call.body));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        if let Ok(text) = format!("{:.3}", left.as_secs_f64()).parse() {
            request.headers_mut().insert("x-time-left", text);
        }
        let early = Arc::new(AtomicBool::new(false));
        let seen = early.clone();
        on_informational(&mut request, move |_| seen.store(true, Relaxed));
        let length = request.body().size_hint().exact();
        c.stream.begin_request(length, gate);
        let upload = call.body.flow();
        let ended = exchange(
            &c.stream,
            request,
            &early,
            upload,
            self.body_budget.reserve(),
            self.stall_timeouts.get(),
        )
        .await;
        if c.stream.is_request_withheld() {
            self.return_idle(id, c);
            return Outcome::NeverSent.into();
        }
        // Where chunks hide what is on its way the last byte counts as written once it was given away.
        let given = length.is_none() && upload.is_some_and(|u| u.whole());
        let heard = ended.as_ref().is_ok_and(|e| judge(&e.head) == Outcome::Rejected);
        if !c.stream.is_request_written() && !given {
            let outcome = if heard { Outcome::Rejected } else { Outcome::ConnectFailed };
            return outcome.into(); // the backend begins with the last byte, and never before it
        }
        let mut reply = match ended {
            Ok(reply) => reply,
            Err(Broken::Spoilt) => return Outcome::Error.into(),
            Err(Broken::Ended) => return Outcome::Reset.into(),
        };
        self.record_answer(id);
        let outcome = judge(&reply.head);
        let status = Some(reply.head.status.as_u16());
        let close = reply.head.headers.get_all(CONNECTION).iter().any(|v| v != "keep-alive");
        let goes_on =
            reply.head.version == Version::HTTP_11 && !reply.head.status.is_informational() && !close;
        strip_hop_by_hop(&mut reply.head.headers);
        reply.head.headers.remove("x-backend-load");
        let headers = reply.head.headers;
        let body = match reply.rest {
            None => {
                if goes_on && clean(&c.stream, reply.conn) {
                    self.return_idle(id, c);
                }
                AnswerBody::Whole(Some(reply.read).filter(|b| !b.is_empty()))
            }
            Some(rest) => {
                let length = rest.size_hint().exact().map(|n| n + reply.read.len() as u64);
                let (into, flow) = inflow(reply.read.clone(), length);
                let back = Relay {
                    pool: self.clone(),
                    id,
                    c,
                    goes_on,
                    read: reply.read.len() as u64,
                    silence: self.stall_timeouts.get().relayed_answer_stall,
                    into,
                };
                tokio::task::spawn_local(back.run(reply.conn, reply.sender, rest));
                AnswerBody::Flow(flow, None)
            }
        };
        Ended { outcome, status, served: (outcome == Outcome::Success).then_some(Served { headers, body }) }
    }
}

/// What an answer says. Whatever the protocol does not list may have run.
pub(crate) fn judge(answer: &Parts) -> Outcome {
    let unprocessed = answer.headers.get("x-unprocessed").is_some_and(|v| v == "1");
    match answer.status {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Rejected,
        _ => Outcome::Error,
    }
}
