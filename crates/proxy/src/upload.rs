//! A client's body: buffered completely if it is small, and relayed frame by frame otherwise.

use crate::body::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::body_budget::BodyBudget;
use crate::body_buffer::BodyBuffer;
use crate::body_pause::BodyPauseLimit;
use crate::invalid_request::InvalidRequest;
use crate::stream::{LastByte, Stream};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use lotusdeck_core::to_duration;
use lotusdeck_policy::Micros;
use std::any::Any;
use std::cell::{Cell, Ref, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a body may take in addition to the time that the minimum rate allows for the bytes that have arrived.
const RATE_GRACE: Duration = Duration::from_secs(2);
/// The minimum rate of a body, in bytes per second: an eighth of the slowest client's.
const MIN_BYTES_PER_SECOND: f64 = 8192.0;

/// How often an upload is checked for whether its client still writes.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A client's body as it is sent to backends.
pub(crate) enum RequestBody {
    /// All of it was read.
    Buffered(Bytes),
    /// Part of it was not read before the first attempt.
    Streamed(Rc<Upload>),
}

impl RequestBody {
    /// Returns whether part of it was passed on and dropped, so that no other attempt can send it.
    pub(crate) fn is_consumed(&self) -> bool {
        matches!(self, RequestBody::Streamed(upload) if upload.is_consumed())
    }

    /// Returns the upload of a streamed body.
    pub(crate) fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => Some(upload),
        }
    }
}

/// A body of which part was not read before the first attempt.
pub(crate) struct Upload {
    /// What was read before the first attempt; dropped when more is read.
    buffered: RefCell<Bytes>,
    remaining: RefCell<Option<Incoming>>,
    length: Option<u64>,
    bytes_read: Cell<u64>,
    started_at: Instant,
    is_consumed: Cell<bool>,
    is_complete: Cell<bool>,
    fault: Cell<Option<InvalidRequest>>,
    /// Notified when the body is complete or a fault was found.
    ended: Notify,
    client: Stream,
    pause_limit: BodyPauseLimit,
}

/// Reads the body to its end, or until it is too large to buffer. `length` is its length in bytes, if the head gives
/// it.
///
/// # Errors
/// Returns why it is not the body of a valid request.
pub(crate) async fn buffer_body(
    mut body: Incoming, length: Option<u64>, client: &Stream, budget: &BodyBudget,
    pause_limit: &BodyPauseLimit,
) -> Result<RequestBody, InvalidRequest> {
    let started_at = Instant::now();
    let mut buffered = BodyBuffer::new(budget);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = pause_limit.clone().exceeded() => return Err(InvalidRequest::BodyTimeout),
        };
        let frame = match frame {
            None => break,
            Some(Err(_)) => return Err(InvalidRequest::Body),
            Some(Ok(frame)) => frame,
        };
        let Ok(data) = frame.into_data() else { continue }; // trailers are not passed on
        buffered.push(&data);
        drop(data); // so that the connection's buffer can be used again
        if !is_fast_enough(started_at, buffered.len() as u64) {
            return Err(InvalidRequest::BodyTimeout);
        }
        if length.is_some_and(|length| length == buffered.len() as u64) {
            break;
        }
        if !buffered.is_within_budget() || buffered.len() > MAX_BUFFERED_BYTES {
            let pause_limit = pause_limit.clone();
            let upload =
                Upload::new(buffered.freeze(), body, length, client.clone(), started_at, pause_limit);
            return Ok(RequestBody::Streamed(Rc::new(upload)));
        }
    }
    // A client waits for its answer before it sends more: with excess bytes the length is wrong or hides a request.
    if client.has_excess_bytes(buffered.len() as u64) {
        return Err(InvalidRequest::Length);
    }
    Ok(RequestBody::Buffered(buffered.freeze()))
}

fn is_fast_enough(started_at: Instant, bytes_read: u64) -> bool {
    started_at.elapsed() < RATE_GRACE + Duration::from_secs_f64(bytes_read as f64 / MIN_BYTES_PER_SECOND)
}

impl Upload {
    fn new(
        buffered: Bytes, remaining: Incoming, length: Option<u64>, client: Stream, started_at: Instant,
        pause_limit: BodyPauseLimit,
    ) -> Upload {
        Upload {
            bytes_read: Cell::new(buffered.len() as u64),
            buffered: RefCell::new(buffered),
            remaining: RefCell::new(Some(remaining)),
            length,
            started_at,
            is_consumed: Cell::new(false),
            is_complete: Cell::new(false),
            fault: Cell::new(None),
            ended: Notify::new(),
            client,
            pause_limit,
        }
    }

    /// Returns what was read before the first attempt.
    pub(crate) fn buffered(&self) -> Ref<'_, Bytes> {
        self.buffered.borrow()
    }

    /// Returns the length of the body in bytes, if the head gives it.
    pub(crate) fn length(&self) -> Option<u64> {
        self.length
    }

    /// Waits until a pause of the client that begins now is too long.
    pub(crate) fn pause_exceeded(&self) -> impl Future<Output = ()> + use<> {
        self.pause_limit.clone().exceeded()
    }

    /// Returns whether part of it was passed on and dropped, so that no other attempt can send it.
    pub(crate) fn is_consumed(&self) -> bool {
        self.is_consumed.get()
    }

    /// Returns how many of its bytes have been read.
    pub(crate) fn bytes_read(&self) -> u64 {
        self.bytes_read.get()
    }

    /// Returns whether its last byte was read and passed on.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    /// Returns why it is not the body of a valid request, if it is not.
    pub(crate) fn fault(&self) -> Option<InvalidRequest> {
        self.fault.get()
    }

    /// Waits until it is complete or found to be invalid.
    pub(crate) async fn completed(&self) -> Result<(), InvalidRequest> {
        loop {
            let ended = self.ended.notified();
            match self.fault.get() {
                Some(fault) => return Err(fault),
                None if self.is_complete.get() => return Ok(()),
                None => ended.await,
            }
        }
    }

    /// Waits until the client may have waited for its answer for all of its time, although part of the body is unread as
    /// the backend does not take it. `time_left` returns what is left of that time if the last byte was written at
    /// the earliest at the given time.
    ///
    /// # Errors
    /// The client paused for too long.
    pub(crate) async fn overdue(
        &self, time_left: impl Fn(std::time::Instant) -> Micros,
    ) -> Result<(), InvalidRequest> {
        loop {
            let until_check = match self.client.last_byte(self.length) {
                LastByte::Written { since } => to_duration(time_left(since)).min(WRITE_CHECK_INTERVAL),
                LastByte::NotArrived if self.has_paused_for_too_long() => {
                    return Err(InvalidRequest::BodyTimeout);
                }
                LastByte::NotArrived | LastByte::Unwritten => WRITE_CHECK_INTERVAL,
            };
            if until_check.is_zero() {
                return Ok(());
            }
            tokio::time::sleep(until_check).await;
        }
    }

    fn has_paused_for_too_long(&self) -> bool {
        self.pause_limit.is_exceeded_by(self.client.last_read_at().elapsed())
    }

    /// Returns whether the client cannot have written all of it, since too little of it is read.
    pub(crate) fn waits_for_backend(&self) -> bool {
        self.client.last_byte(self.length) == LastByte::Unwritten
    }

    /// Ends the upload with a fault, or as complete if there is none.
    pub(crate) fn end(&self, fault: Option<InvalidRequest>) {
        self.fault.set(fault);
        self.is_complete.set(fault.is_none());
        self.ended.notify_waiters();
    }

    /// Reads and drops what the client still sends after its answer: if those bytes stayed unread, the answer could
    /// be lost on its way. Drops `connection_guard` at the end of the body, or where its client stops sending.
    pub(crate) fn discard_rest(&self, connection_guard: impl Any) {
        let Some(mut remaining) = self.remaining.take() else { return };
        let mut bytes_read = self.bytes_read.get();
        let started_at = self.started_at;
        let pause_limit = self.pause_limit.clone();
        tokio::task::spawn_local(async move {
            let _guard = connection_guard;
            loop {
                let frame = tokio::select! {
                    biased;
                    frame = remaining.frame() => frame,
                    () = pause_limit.clone().exceeded() => return,
                };
                let Some(Ok(frame)) = frame else { return };
                bytes_read += frame.data_ref().map_or(0, |data| data.len() as u64);
                if bytes_read > MAX_BODY_BYTES || !is_fast_enough(started_at, bytes_read) {
                    return;
                }
            }
        });
    }

    /// Polls for the next data of the body; returns `None` at its end.
    pub(crate) fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, InvalidRequest>>> {
        let mut remaining = self.remaining.borrow_mut();
        let Some(body) = remaining.as_mut().filter(|_| !self.is_complete.get()) else {
            return Poll::Ready(None);
        };
        let data = match ready!(poll_nonempty_data(body, cx)) {
            Some(Err(fault)) => return Poll::Ready(Some(Err(fault))),
            Some(Ok(data)) => Some(data),
            None => None,
        };
        self.is_consumed.set(true);
        self.buffered.take();
        let bytes_read = self.bytes_read.get() + data.as_ref().map_or(0, |data| data.len() as u64);
        self.bytes_read.set(bytes_read);
        let is_last = data.is_none() || self.length == Some(bytes_read);
        if let Err(fault) = self.check_progress(bytes_read, is_last) {
            return Poll::Ready(Some(Err(fault)));
        }
        if is_last {
            self.end(None);
        }
        Poll::Ready(data.map(Ok))
    }

    fn check_progress(&self, bytes_read: u64, is_last: bool) -> Result<(), InvalidRequest> {
        if bytes_read > MAX_BODY_BYTES {
            return Err(InvalidRequest::TooLong);
        }
        if is_last && self.length.is_some_and(|length| bytes_read != length) {
            return Err(InvalidRequest::Length);
        }
        if is_last && self.client.has_excess_bytes(bytes_read) {
            return Err(InvalidRequest::Length);
        }
        if !is_last && !is_fast_enough(self.started_at, bytes_read) {
            return Err(InvalidRequest::BodyTimeout);
        }
        Ok(())
    }
}

/// Polls for the next data that is not empty; returns `None` at the end. Trailers are not passed on.
fn poll_nonempty_data(
    body: &mut Incoming, cx: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, InvalidRequest>>> {
    loop {
        match ready!(Pin::new(&mut *body).poll_frame(cx)) {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if data.is_empty() => {}
                Ok(data) => return Poll::Ready(Some(Ok(data))),
                Err(_trailers) => {}
            },
            Some(Err(_)) => return Poll::Ready(Some(Err(InvalidRequest::Body))),
            None => return Poll::Ready(None),
        }
    }
}
