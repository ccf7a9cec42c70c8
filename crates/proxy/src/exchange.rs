//! One request and its answer on a connection.

use crate::answer_outcome::outcome_of;
use crate::body::{BoxError, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::body_budget::BodyReservation;
use crate::outgoing_body::OutgoingBody;
use crate::stall_timeouts::{wait_for_stall, StallTimeouts};
use crate::stream::Stream;
use crate::upload::Upload;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use lotusdeck_policy::Outcome;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::task::Poll;
use std::time::Duration;

/// The largest head of an answer, to which hyper holds a connection's buffer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// hyper's future of the connection under one exchange, which has to be polled.
pub(crate) type Driver = http1::Connection<Stream, OutgoingBody>;

/// The answer ended where it said that it would, and not a byte came behind it. hyper starts afresh with every request
/// and gives back what it had read too much, so that nothing left from one answer can pass for the next.
pub(crate) fn is_clean_after_answer(stream: &Stream, driver: Driver) -> bool {
    stream.mark_idle();
    driver.into_parts().read_buf.is_empty() && !stream.has_unread_data()
}

/// Why no complete answer came: in each case the request may have run.
pub(crate) enum ExchangeError {
    /// What came is no valid answer: too long, cut short, or malformed.
    InvalidAnswer,
    /// The connection ended.
    ConnectionEnded,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> ExchangeError {
        if error.is_parse() {
            ExchangeError::InvalidAnswer
        } else {
            ExchangeError::ConnectionEnded
        }
    }
}

/// An answer, complete or with the rest of its body still to come.
pub(crate) struct BackendAnswer {
    pub head: Parts,
    /// What has come of the body.
    pub buffered: Bytes,
    /// What is still to come.
    pub rest: Option<Incoming>,
    pub driver: Driver,
    pub sender: http1::SendRequest<OutgoingBody>,
}

/// What was read of an answer.
struct ReadAnswer {
    head: Parts,
    buffered: Bytes,
    rest: Option<Incoming>,
}

/// Sends a request and reads its answer, of a large one no more than the first bytes. `informational`: set where an
/// answer of status 1xx has come.
pub(crate) async fn exchange(
    stream: &Stream, request: Request<OutgoingBody>, informational: &AtomicBool, upload: Option<&Rc<Upload>>,
    reservation: BodyReservation, timeouts: StallTimeouts,
) -> Result<BackendAnswer, ExchangeError> {
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream.clone()).await;
    let (mut sender, mut driver) = handshake.map_err(|_| ExchangeError::ConnectionEnded)?;
    let work = send_and_read(&mut sender, request, reservation);
    let answer = tokio::select! {
        biased;
        done = drive_until_done(&mut driver, work) => done.unwrap_or(Err(ExchangeError::ConnectionEnded))?,
        () = answer_stalled(stream, informational, timeouts.answer_stall) => {
            return Err(ExchangeError::InvalidAnswer)
        }
        () = upload_stalled(stream, upload, timeouts.backend_stall) => {
            return Err(ExchangeError::ConnectionEnded)
        }
    };
    let ReadAnswer { head, buffered, rest } = answer;
    Ok(BackendAnswer { head, buffered, rest, driver, sender })
}

async fn send_and_read(
    sender: &mut http1::SendRequest<OutgoingBody>, request: Request<OutgoingBody>,
    mut reservation: BodyReservation,
) -> Result<ReadAnswer, ExchangeError> {
    let (head, mut body) = sender.send_request(request).await?.into_parts();
    // Two ways to tell where it ends may differ.
    let has_both = head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING);
    if has_both || body.size_hint().lower() > MAX_BODY_BYTES {
        return Err(ExchangeError::InvalidAnswer);
    }
    let is_declared_large = body.size_hint().lower() > MAX_BUFFERED_BYTES as u64;
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        buffered.extend_from_slice(&data);
        let is_reserved = reservation.grow(data.len());
        let is_streamed = is_declared_large
            || buffered.len() > MAX_BUFFERED_BYTES
            || !is_reserved && head.status == StatusCode::OK;
        if is_streamed && outcome_of(&head) != Outcome::Success {
            return Err(ExchangeError::InvalidAnswer);
        }
        if is_streamed && !body.is_end_stream() {
            return Ok(ReadAnswer { head, buffered: buffered.freeze(), rest: Some(body) });
        }
    }
    Ok(ReadAnswer { head, buffered: buffered.freeze(), rest: None })
}

/// Ends when an answer has begun and makes no progress: one that is malformed from the start, never ends its head or is
/// shorter than it says would otherwise hold its request to the deadline. Answers of status 1xx are no such beginning.
async fn answer_stalled(stream: &Stream, informational: &AtomicBool, timeout: Duration) {
    loop {
        stream.wait_for_first_byte().await;
        wait_for_stall(timeout, || stream.bytes_received()).await;
        if !informational.swap(false, Relaxed) {
            return;
        }
        stream.mark_idle();
    }
}

/// Ends when a backend takes no more of a request's body, though the client sends more.
async fn upload_stalled(stream: &Stream, upload: Option<&Rc<Upload>>, timeout: Duration) {
    let Some(upload) = upload.filter(|upload| !upload.is_complete()) else {
        return std::future::pending().await;
    };
    wait_for_stall(timeout, || stream.bytes_sent() + upload.bytes_read()).await;
    if upload.is_complete() {
        std::future::pending::<()>().await; // the deadline of the request runs now and ends it
    }
}

/// Runs `work` to its end while driving the connection that it is on. `None`: the connection ended first. hyper does not
/// tell `work` of that end by itself as long as the connection's future is kept: a wait for the sender to be ready again
/// would last for ever after an answer with which the backend closed.
pub(crate) async fn drive_until_done<T>(
    driver: &mut http1::Connection<Stream, impl Body<Data = Bytes, Error: Into<BoxError>> + 'static>,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    let mut has_ended = false;
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(done));
        }
        if has_ended {
            return Poll::Ready(None);
        }
        if Pin::new(&mut *driver).poll(cx).is_ready() {
            has_ended = true;
            cx.waker().wake_by_ref(); // once more for what it brought before it ended
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}
