//! Attempts: one request to one backend.

use crate::answer_body::{stream_answer, AnswerBody};
use crate::answer_outcome::outcome_of;
use crate::body_buffer::BodyBuffer;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::exchange::{exchange, is_clean_after_answer, BackendAnswer, ExchangeContext, ExchangeError};
use crate::exchange_counts::increment;
use crate::forwarded_request::ForwardedRequest;
use crate::hop_by_hop::strip_hop_by_hop;
use crate::relay::{AnswerRelay, FrameLimits};
use crate::stream::{SendGate, Stream};
use crate::upload::Upload;
use hyper::body::{Body, Incoming};
use hyper::ext::on_informational;
use hyper::header::CONNECTION;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Version};
use lotusdeck_core::{AnswerProgress, EarlyAnswer};
use lotusdeck_policy::{AttemptNo, BackendId, Outcome, RequestId};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use tokio::time::Instant;
use tracing::debug;

/// Number of headers that are added to those of an answer.
const ADDED_HEADERS: usize = 3;
/// Number of headers that a map may have room for whatever it holds.
const MAX_SPARE_HEADERS: usize = 24;

/// A backend and its address.
#[derive(Clone, Copy)]
pub(crate) struct Destination {
    pub backend: BackendId,
    pub address: SocketAddr,
}

/// Identifies an attempt in the log.
#[derive(Clone, Copy)]
pub(crate) struct AttemptId {
    pub request: RequestId,
    pub attempt: AttemptNo,
}

/// The terms that an attempt observes: its times, and whether it may still be withdrawn.
pub(crate) struct AttemptTerms {
    pub id: AttemptId,
    /// When the client gives up.
    pub deadline: Instant,
    /// When an answer that has begun is passed on at the latest.
    pub answer_by: Instant,
    /// Whether the answer is passed on before it is complete.
    pub early_answer: Rc<EarlyAnswer>,
    /// Reports the pauses of the answer.
    pub report_progress: Rc<dyn Fn(AnswerProgress)>,
}

/// The answer of a successful attempt.
pub(crate) struct ServedAnswer {
    pub headers: HeaderMap,
    pub body: AnswerBody,
}

/// The result of an attempt.
pub(crate) struct AttemptResult {
    pub outcome: Outcome,
    /// The status of the answer, if one was received.
    pub status: Option<u16>,
    /// The answer, if the attempt succeeded.
    pub answer: Option<ServedAnswer>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, status: None, answer: None }
    }
}

/// An attempt whose exchange has ended.
#[derive(Clone, Copy)]
struct SentAttempt {
    id: AttemptId,
    backend: BackendId,
    /// Whether the last byte of the request was written.
    is_written: bool,
    /// When its client gives up.
    deadline: Instant,
}

/// A connection for an attempt, and whether the journal allows the attempt to be sent.
struct AttemptConnection {
    connection: Result<PooledConnection, Outcome>,
    is_journaled: bool,
}

impl ConnectionPool {
    /// Sends `request` to a backend and waits for the answer, or for its first bytes if it is large. `gate` is checked
    /// right before the first byte is written: the backend may have begun to drain, or the client may have
    /// disconnected, while the connection was being established.
    pub(crate) async fn attempt(
        self: &Rc<Self>, to: Destination, request: &ForwardedRequest, terms: AttemptTerms,
        journaled: impl Future<Output = bool>, gate: SendGate,
    ) -> AttemptResult {
        let AttemptConnection { connection, is_journaled } = self.connect_attempt(to, journaled).await;
        let connection = match connection {
            Ok(connection) => connection,
            Err(outcome) => return outcome.into(),
        };
        let time_left = terms.deadline.saturating_duration_since(Instant::now());
        if !is_journaled || time_left.is_zero() || request.body.is_consumed() {
            self.return_idle(to.backend, connection); // nothing was sent on it
            return Outcome::NeverSent.into();
        }
        let mut outgoing = request.for_attempt(time_left, &connection.stream);
        let informational = Arc::new(AtomicBool::new(false));
        let informational_seen = informational.clone();
        on_informational(&mut outgoing, move |_| informational_seen.store(true, Relaxed));
        let length = outgoing.body().size_hint().exact();
        let stream = &connection.stream;
        stream.begin_request(length, gate);
        let upload = request.body.upload();
        let context = ExchangeContext {
            informational: &informational,
            upload,
            buffer: BodyBuffer::new(&self.body_budget),
            timeouts: self.stall_timeouts.get(),
            counts: &self.exchange_counts,
            answer_by: terms.answer_by,
            early_answer: &terms.early_answer,
            report_progress: &*terms.report_progress,
        };
        let answer = exchange(stream, outgoing, context).await;
        let sent = SentAttempt {
            id: terms.id,
            backend: to.backend,
            is_written: is_request_written(stream, length, upload),
            deadline: terms.deadline,
        };
        self.attempt_result(sent, connection, answer)
    }

    /// Returns the result of an attempt whose exchange has ended.
    fn attempt_result(
        self: &Rc<Self>, sent: SentAttempt, connection: PooledConnection,
        answer: Result<BackendAnswer, ExchangeError>,
    ) -> AttemptResult {
        if let Err(error) = &answer {
            self.record_exchange_error(sent, &connection.stream, error);
        }
        if connection.stream.is_request_withheld() {
            self.return_idle(sent.backend, connection);
            return Outcome::NeverSent.into();
        }
        if !sent.is_written {
            return outcome_of_partial_request(answer.as_ref().ok()).into();
        }
        match answer {
            Ok(answer) => self.finish_attempt(sent, connection, answer),
            Err(ExchangeError::InvalidAnswer) => Outcome::Error.into(),
            Err(ExchangeError::ConnectionEnded | ExchangeError::UploadStalled) => Outcome::Reset.into(),
        }
    }

    /// Counts and logs why an exchange ended without an answer.
    fn record_exchange_error(&self, sent: SentAttempt, stream: &Stream, error: &ExchangeError) {
        match error {
            ExchangeError::UploadStalled => increment(&self.exchange_counts.uploads_stalled),
            ExchangeError::InvalidAnswer => increment(&self.exchange_counts.answers_invalid),
            ExchangeError::ConnectionEnded => {}
        }
        debug!(
            request = sent.id.request.0,
            attempt = sent.id.attempt.0,
            backend = sent.backend.0,
            ?error,
            is_written = sent.is_written,
            bytes_sent = stream.bytes_sent(),
            bytes_received = stream.bytes_received(),
            silent_ms = stream.last_read_at().elapsed().as_millis() as u64,
            "exchange ended without an answer"
        );
    }

    /// Returns a connection for the attempt, and the journal's decision on it. If no connection is idle, a new one is
    /// opened before waiting for the journal. An idle one is taken and checked only after that wait, as it may be
    /// closed in the meantime.
    async fn connect_attempt(
        &self, to: Destination, journaled: impl Future<Output = bool>,
    ) -> AttemptConnection {
        let new_connection =
            if self.has_idle(to.backend) { None } else { Some(self.connect(to.address).await) };
        let is_journaled = journaled.await;
        let idle_connection = || self.take_idle(to.backend, to.address).map(Ok);
        let connection = match new_connection.or_else(idle_connection) {
            Some(connection) => connection,
            None => self.connect(to.address).await,
        };
        AttemptConnection { connection, is_journaled }
    }

    /// Prepares the answer for the client, and returns the connection to the pool if the answer is complete.
    fn finish_attempt(
        self: &Rc<Self>, sent: SentAttempt, connection: PooledConnection, mut answer: BackendAnswer,
    ) -> AttemptResult {
        let backend = sent.backend;
        self.record_answer(backend);
        let outcome = outcome_of(&answer.head);
        let status = Some(answer.head.status.as_u16());
        let is_reusable = leaves_connection_open(&answer.head);
        strip_hop_by_hop(&mut answer.head.headers);
        answer.head.headers.remove("x-backend-load");
        let headers = without_spare_room(std::mem::take(&mut answer.head.headers));
        let body = match answer.rest.take() {
            None => {
                if is_reusable && is_clean_after_answer(&connection.stream, answer.driver) {
                    self.return_idle(backend, connection);
                }
                AnswerBody::Buffered(Some(answer.buffered).filter(|bytes| !bytes.is_empty()))
            }
            Some(rest) => {
                increment(&self.exchange_counts.answers_streamed);
                self.relay(sent, connection, is_reusable, answer, rest)
            }
        };
        let answer = (outcome == Outcome::Success).then_some(ServedAnswer { headers, body });
        AttemptResult { outcome, status, answer }
    }

    /// Spawns a task that relays the rest of a large answer, and returns the body that yields it.
    fn relay(
        self: &Rc<Self>, sent: SentAttempt, connection: PooledConnection, is_reusable: bool,
        answer: BackendAnswer, rest: Incoming,
    ) -> AnswerBody {
        let bytes_read = answer.buffered.len() as u64;
        let length = rest.size_hint().exact().map(|left| left + bytes_read);
        debug!(
            request = sent.id.request.0,
            attempt = sent.id.attempt.0,
            backend = sent.backend.0,
            bytes_read,
            ?length,
            "answer passed on before its end"
        );
        let timeouts = self.stall_timeouts.get();
        let last_read_at = connection.stream.last_read_at();
        let has_paused = last_read_at.elapsed() >= timeouts.answer_pause;
        let limits = FrameLimits {
            max_pause: timeouts.relayed_answer_stall,
            deadline: sent.deadline,
            silent_until: has_paused.then(|| last_read_at + timeouts.answer_silence),
        };
        let (client, streamed) = stream_answer(answer.buffered, length);
        let relay = AnswerRelay {
            pool: self.clone(),
            id: sent.id,
            backend: sent.backend,
            connection,
            is_reusable,
            bytes_read,
            limits,
            client,
        };
        tokio::task::spawn_local(relay.run(answer.driver, answer.sender, rest));
        AnswerBody::Streamed { answer: streamed, guards: Vec::new() }
    }
}

/// Returns the headers in a map of their own size. hyper reads an answer into the map of its request, which has room for as
/// many headers as that had, and keeps the map for the client's connection.
fn without_spare_room(headers: HeaderMap) -> HeaderMap {
    if headers.capacity() <= MAX_SPARE_HEADERS {
        return headers;
    }
    let mut fitting = HeaderMap::with_capacity(headers.keys_len() + ADDED_HEADERS);
    fitting.extend(headers);
    fitting
}

/// Returns whether the last byte of a request was written. The number of bytes on the wire is not known for a chunked
/// body, so its last byte counts as written once it was passed to hyper.
fn is_request_written(stream: &Stream, length: Option<u64>, upload: Option<&Rc<Upload>>) -> bool {
    let is_given_to_hyper = length.is_none() && upload.is_some_and(|upload| upload.is_complete());
    stream.is_request_written() || is_given_to_hyper
}

/// Returns the outcome of an attempt whose last byte was not written: a backend never begins before it has that byte.
fn outcome_of_partial_request(answer: Option<&BackendAnswer>) -> Outcome {
    match answer.map(|answer| outcome_of(&answer.head)) {
        Some(Outcome::Rejected) => Outcome::Rejected,
        _ => Outcome::ConnectFailed,
    }
}

/// Returns whether the connection can take another request, according to the head of its answer.
fn leaves_connection_open(head: &Parts) -> bool {
    let closes = head.headers.get_all(CONNECTION).iter().any(|value| value != "keep-alive");
    head.version == Version::HTTP_11 && !head.status.is_informational() && !closes
}
