//! One request and its answer on a connection.

use crate::answer_outcome::outcome_of;
use crate::answer_pauses::PauseWatch;
use crate::body::{BoxError, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::body_buffer::BodyBuffer;
use crate::exchange_counts::ExchangeCounts;
use crate::outgoing_body::OutgoingBody;
use crate::stall_timeouts::{wait_for_stall, StallTimeouts};
use crate::stream::Stream;
use crate::upload::Upload;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use lotusdeck_core::{AnswerLength, AnswerProgress, EarlyAnswer};
use lotusdeck_policy::Outcome;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// Largest head of an answer in bytes, enforced by limiting hyper's read buffer.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// hyper's future of the connection, which has to be polled for an exchange to make progress.
pub(crate) type Driver = http1::Connection<Stream, OutgoingBody>;

/// Returns whether the answer ended where it declared and no byte followed it. hyper starts without state for every
/// request and returns the bytes it has read in excess, so that nothing left from one answer can be taken for the
/// next.
pub(crate) fn is_clean_after_answer(stream: &Stream, driver: Driver) -> bool {
    stream.mark_idle();
    driver.into_parts().read_buf.is_empty() && !stream.has_unread_data()
}

/// Why there is no complete answer; in each case the request may have run.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The answer is invalid: too long, cut short or malformed.
    InvalidAnswer,
    /// The backend stopped reading the request.
    UploadStalled,
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

/// An answer, complete or with the rest of its body still to be received.
pub(crate) struct BackendAnswer {
    pub head: Parts,
    /// The part of the body received so far.
    pub buffered: Bytes,
    /// The rest of the body, if it is not complete.
    pub rest: Option<Incoming>,
    pub driver: Driver,
    pub sender: http1::SendRequest<OutgoingBody>,
}

/// The head of an answer and the part of its body that was read.
struct ReadAnswer {
    head: Parts,
    buffered: Bytes,
    rest: Option<Incoming>,
}

/// What an exchange takes into account besides its request.
pub(crate) struct ExchangeContext<'a> {
    /// Set by the caller once an answer of status 1xx was received.
    pub informational: &'a AtomicBool,
    /// The upload of the request's body, if that is not buffered completely.
    pub upload: Option<&'a Rc<Upload>>,
    /// The buffer for the answer, or for the beginning of a large one.
    pub buffer: BodyBuffer,
    pub timeouts: StallTimeouts,
    pub counts: &'a ExchangeCounts,
    /// When an answer that has begun is passed on at the latest, if it may be a large one.
    pub answer_by: Instant,
    /// Whether the answer is passed on before it is complete.
    pub early_answer: &'a EarlyAnswer,
    /// Reports the pauses of the answer.
    pub report_progress: &'a dyn Fn(AnswerProgress),
}

/// Sends a request and reads its answer, or only the first bytes of a large one.
pub(crate) async fn exchange(
    stream: &Stream, request: Request<OutgoingBody>, context: ExchangeContext<'_>,
) -> Result<BackendAnswer, ExchangeError> {
    let ExchangeContext { upload, buffer, timeouts, early_answer, .. } = context;
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream.clone()).await;
    let (mut sender, mut driver) = handshake.map_err(|_| ExchangeError::ConnectionEnded)?;
    let work = send_and_read(&mut sender, request, buffer, early_answer);
    let pauses = PauseWatch {
        stream,
        informational: context.informational,
        pause: timeouts.answer_pause,
        silence: timeouts.answer_silence,
        early_answer,
        report: context.report_progress,
        counts: context.counts,
    };
    let answer = tokio::select! {
        biased;
        done = drive_until_done(&mut driver, work) => done.unwrap_or(Err(ExchangeError::ConnectionEnded))?,
        never = pauses.run() => match never {},
        never = early_answer.request_at(context.answer_by) => match never {},
        () = upload_stalled(stream, upload, timeouts.backend_stall) => {
            return Err(ExchangeError::UploadStalled)
        }
    };
    let ReadAnswer { head, buffered, rest } = answer;
    Ok(BackendAnswer { head, buffered, rest, driver, sender })
}

async fn send_and_read(
    sender: &mut http1::SendRequest<OutgoingBody>, request: Request<OutgoingBody>, mut buffered: BodyBuffer,
    early_answer: &EarlyAnswer,
) -> Result<ReadAnswer, ExchangeError> {
    let (head, mut body) = sender.send_request(request).await?.into_parts();
    // The two headers may disagree on where the body ends.
    let has_both = head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING);
    if has_both || body.size_hint().lower() > MAX_BODY_BYTES {
        return Err(ExchangeError::InvalidAnswer);
    }
    let is_declared_large = body.size_hint().lower() > MAX_BUFFERED_BYTES as u64;
    if let Some(length) = length_if_passed_on_early(&head, &body) {
        early_answer.record_begun(length);
    }
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = early_answer.due() => {
                return Ok(ReadAnswer { head, buffered: buffered.freeze(), rest: Some(body) });
            }
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame?.into_data() else { continue };
        buffered.push(&data);
        drop(data); // so that the connection's buffer can be used again
        let is_too_long = buffered.len() > MAX_BUFFERED_BYTES;
        let is_streamed = is_too_long || !buffered.is_within_budget() && head.status == StatusCode::OK;
        if (is_streamed || is_declared_large) && outcome_of(&head) != Outcome::Success {
            return Err(ExchangeError::InvalidAnswer);
        }
        if is_streamed && !body.is_end_stream() {
            return Ok(ReadAnswer { head, buffered: buffered.freeze(), rest: Some(body) });
        }
    }
    Ok(ReadAnswer { head, buffered: buffered.freeze(), rest: None })
}

/// Returns what is known of the length of an answer whose beginning may be passed on although it is short so far: a
/// success that may be long. A short one has to be complete in its client's time, so that its beginning is of no use.
fn length_if_passed_on_early(head: &Parts, body: &Incoming) -> Option<AnswerLength> {
    let length = match body.size_hint().exact() {
        None => AnswerLength::Unknown,
        Some(bytes) if bytes > MAX_BUFFERED_BYTES as u64 => AnswerLength::Large,
        Some(_) => return None,
    };
    (outcome_of(head) == Outcome::Success).then_some(length)
}

/// Waits until no byte of a request's body was read from the client or written to the backend for `timeout`, while the
/// client waits to write more. The backend has then stopped accepting the body. Where the client may have written all of it,
/// only its time ends the wait, and where it has not sent more, its own pause does.
async fn upload_stalled(stream: &Stream, upload: Option<&Rc<Upload>>, timeout: Duration) {
    let Some(upload) = upload.filter(|upload| !upload.is_complete()) else {
        return std::future::pending().await;
    };
    loop {
        wait_for_stall(timeout, || stream.bytes_sent() + upload.bytes_read()).await;
        if upload.is_complete() {
            std::future::pending::<()>().await; // from now on only the request's deadline ends the wait
        }
        if upload.waits_for_backend() {
            return;
        }
    }
}

/// Runs `work` to its end while driving the connection that it uses. Returns `None` if the connection ended first.
/// hyper does not notify `work` of that as long as the connection's future is kept: after an answer with which the
/// backend closed the connection, waiting for the sender to be ready again would never end.
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
            cx.waker().wake_by_ref(); // poll `work` again for data received before the end
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}
