//! A large answer on its way: read from the backend as fast as the client takes it.

use crate::body::{Outgoing, MOST};
use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::exchange::{clean, Driver};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use lotusdeck_policy::BackendId;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::debug;

/// Passes the rest of a large answer on, as fast as both sides go, and keeps the connection if it is clean after.
pub(crate) struct Relay {
    pub pool: Rc<ConnectionPool>,
    pub id: BackendId,
    pub c: PooledConnection,
    pub goes_on: bool,
    pub read: u64,
    /// It may rest for so long.
    pub silence: Duration,
    pub into: mpsc::Sender<Option<Bytes>>,
}

impl Relay {
    pub(crate) async fn run(
        self, mut conn: Driver, sender: http1::SendRequest<Outgoing>, mut rest: Incoming,
    ) {
        let mut read = self.read;
        let mut work = pin!(async {
            loop {
                let data = match tokio::time::timeout(self.silence, rest.frame()).await {
                    Ok(None) => return true,
                    Err(_) | Ok(Some(Err(_))) => return false,
                    Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(), // empty: trailers
                };
                read += data.len() as u64;
                if read > MOST || self.into.send(Some(data)).await.is_err() {
                    return false;
                }
            }
        });
        let mut over = false;
        let all = poll_fn(|cx| {
            over = over || std::pin::Pin::new(&mut conn).poll(cx).is_ready();
            work.as_mut().poll(cx)
        });
        let whole = tokio::select! {
            whole = all => whole,
            _ = self.into.closed() => false, // its client left
        };
        if !whole {
            debug!(backend = self.id.0, "an answer broke off");
            return;
        }
        drop(sender);
        let _ = self.into.send(None).await;
        if self.goes_on && !over && clean(&self.c.stream, conn) {
            self.pool.return_idle(self.id, self.c);
        }
    }
}
