//! Relaying of large answers, read from the backend as fast as the client accepts them.

use crate::attempt::AttemptId;
use crate::body::MAX_BODY_BYTES;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::exchange::{is_clean_after_answer, Driver};
use crate::exchange_counts::increment;
use crate::outgoing_body::OutgoingBody;
use crate::stream::Stream;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use lotusdeck_policy::BackendId;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::debug;

/// Relays the rest of a large answer, and returns the connection to the pool if it is clean afterwards.
pub(crate) struct AnswerRelay {
    pub pool: Rc<ConnectionPool>,
    pub id: AttemptId,
    pub backend: BackendId,
    pub connection: PooledConnection,
    /// Whether the head of the answer leaves the connection open.
    pub is_reusable: bool,
    /// Bytes of the body that were read before the relay starts.
    pub bytes_read: u64,
    pub limits: FrameLimits,
    /// Receives the frames, and `None` at the end.
    pub client: mpsc::Sender<Option<Bytes>>,
}

/// Why an answer that was being passed on broke off.
#[derive(Debug)]
enum RelayError {
    /// The client disconnected.
    ClientLeft,
    /// The backend sent nothing for the longest pause.
    BackendSilent,
    /// The backend's connection ended, or what it sent is malformed.
    BackendEnded,
    /// The body exceeds the largest one.
    TooLong,
}

/// How long a backend may pause within an answer that is passed on while its client's time is not over, if the pause goes
/// on after that time.
const MAX_PAUSE_ACROSS_DEADLINE: Duration = Duration::from_secs(2);
/// How long after its client's time an answer that pauses then ends at the earliest: while it is not lost yet.
const LATE_END: Duration = Duration::from_millis(400);

/// Limits of the time until the next frame of an answer.
pub(crate) struct FrameLimits {
    /// The longest pause of an answer that is still being passed on after its client's time.
    pub max_pause: Duration,
    /// When the client's time is over.
    pub deadline: Instant,
    /// How long the backend may stay silent, counted from its last byte, if the answer is passed on amid a pause.
    pub silent_until: Option<Instant>,
}

impl FrameLimits {
    /// Returns when the frame that is awaited from now on has to arrive. A client is owed the end of an answer whose backend
    /// fell silent in its time; one that comes on after that time is a slow one.
    fn next_frame_by(&mut self) -> Instant {
        let now = Instant::now();
        let silent_until = self.silent_until.take();
        if silent_until.is_none() && now >= self.deadline {
            return now + self.max_pause;
        }
        let silent_until = silent_until.unwrap_or(now + MAX_PAUSE_ACROSS_DEADLINE.min(self.max_pause));
        silent_until.max(self.deadline + LATE_END)
    }
}

impl AnswerRelay {
    pub(crate) async fn run(
        self, mut driver: Driver, sender: http1::SendRequest<OutgoingBody>, rest: Incoming,
    ) {
        let AnswerRelay { pool, id, backend, connection, is_reusable, bytes_read, limits, client } = self;
        let mut work = pin!(forward_rest(&client, rest, bytes_read, limits));
        let mut has_connection_ended = false;
        let driven_work = poll_fn(|cx| {
            has_connection_ended = has_connection_ended || Pin::new(&mut driver).poll(cx).is_ready();
            work.as_mut().poll(cx)
        });
        let forwarded = tokio::select! {
            forwarded = driven_work => forwarded,
            () = client.closed() => Err(RelayError::ClientLeft),
        };
        if let Err(error) = forwarded {
            increment(&pool.exchange_counts.answers_broken_off);
            log_broken_off(id, backend, &connection.stream, &error);
            return;
        }
        drop(sender);
        let _ = client.send(None).await;
        if is_reusable && !has_connection_ended && is_clean_after_answer(&connection.stream, driver) {
            pool.return_idle(backend, connection);
        }
    }
}

fn log_broken_off(id: AttemptId, backend: BackendId, stream: &Stream, error: &RelayError) {
    debug!(
        request = id.request.0,
        attempt = id.attempt.0,
        backend = backend.0,
        ?error,
        bytes_received = stream.bytes_received(),
        silent_ms = stream.last_read_at().elapsed().as_millis() as u64,
        "answer broke off"
    );
}

/// Passes the rest of the body on to the client. `bytes_read` is the number of bytes of the body that were read before.
///
/// # Errors
/// Returns why not all of it was passed on.
async fn forward_rest(
    client: &mpsc::Sender<Option<Bytes>>, mut rest: Incoming, mut bytes_read: u64, mut limits: FrameLimits,
) -> Result<(), RelayError> {
    loop {
        // The next frame is read once there is room for it, so that each answer has one frame waiting at most.
        let permit = client.reserve().await.map_err(|_| RelayError::ClientLeft)?;
        let data = match tokio::time::timeout_at(limits.next_frame_by(), rest.frame()).await {
            Ok(None) => return Ok(()),
            Err(_) => return Err(RelayError::BackendSilent),
            Ok(Some(Err(_))) => return Err(RelayError::BackendEnded),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(), // empty: trailers
        };
        bytes_read += data.len() as u64;
        if bytes_read > MAX_BODY_BYTES {
            return Err(RelayError::TooLong);
        }
        permit.send(Some(data));
    }
}
