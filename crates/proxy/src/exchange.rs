//! One request and its answer on a connection.

use crate::attempt::judge;
use crate::body::{stuck, BoxError, Outgoing, Upload, MOST, WHOLE};
use crate::body_budget::BodyReservation;
use crate::stall_timeouts::StallTimeouts;
use crate::stream::Stream;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use lotusdeck_policy::Outcome;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::task::Poll;
use std::time::Duration;

/// The largest head, to which hyper holds a connection's buffer.
const MAX_HEAD: usize = 32 * 1024;

/// The connection under one exchange: hyper's future for it, which has to be polled.
pub(crate) type Driver = http1::Connection<Stream, Outgoing>;
/// The answer ended where it said that it would, and not a byte came behind it. hyper starts anew with every
/// request and gives back what it had read too much, so that nothing left from one answer can pass for the next.
pub(crate) fn clean(stream: &Stream, conn: Driver) -> bool {
    stream.mark_idle();
    conn.into_parts().read_buf.is_empty() && !stream.has_unread_data()
}

/// Why no whole answer came: all of these may have run.
pub(crate) enum Broken {
    /// What came is no answer to anything: too long, cut short, or nothing that can be read.
    Spoilt,
    /// The connection ended.
    Ended,
}

/// An answer, whole or with the rest of its body still to come.
pub(crate) struct Reply {
    pub head: Parts,
    pub read: Bytes,
    pub rest: Option<Incoming>,
    pub conn: Driver,
    pub sender: http1::SendRequest<Outgoing>,
}
/// One request and its answer.
pub(crate) async fn exchange(
    stream: &Stream, request: Request<Outgoing>, early: &AtomicBool, upload: Option<&Rc<Upload>>,
    mut kept: BodyReservation, pauses: StallTimeouts,
) -> Result<Reply, Broken> {
    let shaken = http1::Builder::new().max_buf_size(MAX_HEAD).handshake(stream.clone()).await;
    let (mut sender, mut conn) = shaken.map_err(|_| Broken::Ended)?;
    let work = async {
        let broken = |e: hyper::Error| if e.is_parse() { Broken::Spoilt } else { Broken::Ended };
        let (head, mut body) = sender.send_request(request).await.map_err(broken)?.into_parts();
        // Two ways to tell where it ends may differ.
        let told = [CONTENT_LENGTH, TRANSFER_ENCODING].map(|name| head.headers.contains_key(name));
        if told == [true, true] || body.size_hint().lower() > MOST {
            return Err(Broken::Spoilt);
        }
        let large = body.size_hint().lower() > WHOLE as u64;
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(broken)?.into_data() else { continue };
            read.extend_from_slice(&data);
            let kept = kept.grow(data.len());
            let flows = large || read.len() > WHOLE || !kept && head.status == StatusCode::OK;
            if flows && judge(&head) != Outcome::Success {
                return Err(Broken::Spoilt);
            }
            if flows && !body.is_end_stream() {
                return Ok((head, read.freeze(), Some(body)));
            }
        }
        Ok((head, read.freeze(), None))
    };
    let (head, read, rest) = tokio::select! {
        biased;
        done = driven(&mut conn, work) => done.unwrap_or(Err(Broken::Ended))?,
        _ = stalled(stream, early, pauses.answer_stall) => return Err(Broken::Spoilt),
        _ = unread(stream, upload, pauses.backend_stall) => return Err(Broken::Ended),
    };
    Ok(Reply { head, read, rest, conn, sender })
}

/// Ends when an answer has begun and goes no further: what was noise from the start, never ends its head or is
/// shorter than it says would hold its request to the deadline. Answers of status 1xx are no such beginning.
async fn stalled(stream: &Stream, early: &AtomicBool, gap: Duration) {
    loop {
        stream.wait_for_first_byte().await;
        stuck(gap, || stream.bytes_received()).await;
        if !early.swap(false, Relaxed) {
            return;
        }
        stream.mark_idle();
    }
}

/// Ends when a backend takes no more of a request's body, though the client gives more.
async fn unread(stream: &Stream, upload: Option<&Rc<Upload>>, most: Duration) {
    match upload {
        Some(upload) if !upload.whole() => {
            stuck(most, || stream.bytes_sent() + upload.read()).await;
            if upload.whole() {
                std::future::pending().await // its time runs now: the module's deadline ends it
            }
        }
        _ => std::future::pending().await,
    }
}
/// Runs `work` to its end while driving the connection that it is on. `None`: the connection ended first.
/// hyper does not tell `work` of that end by itself as long as the connection's future is kept: a wait for
/// the sender to be ready again would last for ever after an answer with which the backend closed.
pub(crate) async fn driven<T>(
    conn: &mut http1::Connection<
        Stream,
        impl hyper::body::Body<Data = Bytes, Error: Into<BoxError>> + 'static,
    >,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    let mut over = false;
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(done));
        }
        if over {
            return Poll::Ready(None);
        }
        if std::pin::Pin::new(&mut *conn).poll(cx).is_ready() {
            over = true;
            cx.waker().wake_by_ref(); // once more for what it brought before it ended
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}
