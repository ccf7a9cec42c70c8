//! A large answer on its way: read from the backend as fast as the client takes it.

use crate::body::MAX_BODY_BYTES;
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::exchange::{is_clean_after_answer, Driver};
use crate::outgoing_body::OutgoingBody;
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
use tracing::debug;

/// Passes the rest of a large answer on, as fast as both sides go, and pools the connection if it is clean afterwards.
pub(crate) struct AnswerRelay {
    pub pool: Rc<ConnectionPool>,
    pub backend: BackendId,
    pub connection: PooledConnection,
    /// By its head the answer leaves the connection open.
    pub is_reusable: bool,
    /// Bytes of the body that were read before.
    pub bytes_read: u64,
    /// The backend may pause for so long.
    pub max_pause: Duration,
    /// Takes the frames, and `None` at the end.
    pub client: mpsc::Sender<Option<Bytes>>,
}

impl AnswerRelay {
    pub(crate) async fn run(
        self, mut driver: Driver, sender: http1::SendRequest<OutgoingBody>, rest: Incoming,
    ) {
        let AnswerRelay { pool, backend, connection, is_reusable, bytes_read, max_pause, client } = self;
        let mut work = pin!(pass_on(&client, rest, bytes_read, max_pause));
        let mut has_connection_ended = false;
        let driven_work = poll_fn(|cx| {
            has_connection_ended = has_connection_ended || Pin::new(&mut driver).poll(cx).is_ready();
            work.as_mut().poll(cx)
        });
        let is_complete = tokio::select! {
            is_complete = driven_work => is_complete,
            () = client.closed() => false, // its client left
        };
        if !is_complete {
            debug!(backend = backend.0, "an answer broke off");
            return;
        }
        drop(sender);
        let _ = client.send(None).await;
        if is_reusable && !has_connection_ended && is_clean_after_answer(&connection.stream, driver) {
            pool.return_idle(backend, connection);
        }
    }
}

/// Whether all of the answer was passed on. `bytes_read`: of its body before.
async fn pass_on(
    client: &mpsc::Sender<Option<Bytes>>, mut rest: Incoming, mut bytes_read: u64, max_pause: Duration,
) -> bool {
    loop {
        let data = match tokio::time::timeout(max_pause, rest.frame()).await {
            Ok(None) => return true,
            Err(_) | Ok(Some(Err(_))) => return false,
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(), // empty: trailers
        };
        bytes_read += data.len() as u64;
        if bytes_read > MAX_BODY_BYTES || client.send(Some(data)).await.is_err() {
            return false;
        }
    }
}
