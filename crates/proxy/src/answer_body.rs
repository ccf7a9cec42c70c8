//! The body of an answer to a client.

use crate::body::BoxError;
use crate::request_ids::RequestFate;
use crate::stream::Stream;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode, Version};
use std::any::Any;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// Creates the body of an answer that is still being received, and the sender that feeds it. The channel holds one
/// frame. Sending `None` ends the body; if the sender is dropped without it, the body ends with an error. `length` is
/// that of the whole body in bytes, if known.
pub(crate) fn stream_answer(
    first: Bytes, length: Option<u64>,
) -> (mpsc::Sender<Option<Bytes>>, StreamedAnswer) {
    let (sender, rest) = mpsc::channel(1);
    (
        sender,
        StreamedAnswer {
            first: Some(first),
            rest,
            bytes_left: length,
            client: None,
            resets_connection: false,
            flushes_before_frame: None,
            fate: None,
        },
    )
}

/// Creates an answer with a status and a text.
pub(crate) fn plain_answer(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Buffered(Some(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    response
}

/// The body of an answer that is still being received.
pub(crate) struct StreamedAnswer {
    first: Option<Bytes>,
    rest: mpsc::Receiver<Option<Bytes>>,
    bytes_left: Option<u64>,
    /// The connection that the answer is written to, once it is known.
    client: Option<Stream>,
    /// The record of the request, until the end of the answer.
    fate: Option<Rc<RequestFate>>,
    /// Whether the connection is reset if it closes before the end of the answer.
    resets_connection: bool,
    /// The number of flushes of that connection when the last frame was returned, or before the first one.
    flushes_before_frame: Option<u64>,
}

impl StreamedAnswer {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        // One frame at a time is in hyper's queue, however slowly the client reads.
        if self.flushes_before_frame.is_some() {
            ready!(self.poll_written(cx));
        }
        let data = match self.first.take() {
            Some(first) => first,
            None => match ready!(self.rest.poll_recv(cx)) {
                Some(Some(data)) => data,
                Some(None) => {
                    self.record_end();
                    return Poll::Ready(None);
                }
                None => {
                    ready!(self.poll_written(cx));
                    return Poll::Ready(Some(Err("the backend's answer broke off".into())));
                }
            },
        };
        self.flushes_before_frame = self.client.as_ref().map(Stream::flush_count);
        self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(data.len() as u64));
        if self.bytes_left == Some(0) {
            self.record_end();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Returns whether the end of its connection is all that tells a client of this version where the answer ends.
    fn ends_with_connection(&self, version: Version) -> bool {
        version < Version::HTTP_11 && self.bytes_left.is_none()
    }

    /// Records that the client has got the whole answer.
    fn record_end(&mut self) {
        if let Some(client) = self.client.as_ref().filter(|_| self.resets_connection) {
            client.reset_on_close(false);
        }
        if let Some(fate) = self.fate.take() {
            fate.record_served();
        }
    }

    /// Polls until the head and the frames returned so far are written to the client. When the body fails, hyper
    /// closes the connection and drops what it still buffers, which may be all of the answer.
    fn poll_written(&mut self, cx: &Context<'_>) -> Poll<()> {
        let Some(client) = &self.client else { return Poll::Ready(()) };
        let flushes = *self.flushes_before_frame.get_or_insert_with(|| client.flush_count());
        client.poll_flushed(flushes, cx)
    }
}

/// The body of an answer to a client.
pub(crate) enum AnswerBody {
    /// The whole body.
    Buffered(Option<Bytes>),
    /// A body that is still being received.
    Streamed {
        /// The frames.
        answer: StreamedAnswer,
        /// Resources held for the request, dropped together with the body.
        guards: Vec<Box<dyn Any>>,
    },
}

impl AnswerBody {
    /// Sets the connection that the answer is written to, in this version of HTTP. If the answer breaks off, the connection
    /// ends only after everything received before has been written, and is reset where its end would be taken for that of
    /// the answer.
    pub(crate) fn set_client(&mut self, client: &Stream, version: Version) {
        if let AnswerBody::Streamed { answer, .. } = self {
            answer.client = Some(client.clone());
            answer.resets_connection = answer.ends_with_connection(version);
            if answer.resets_connection {
                client.reset_on_close(true);
            }
        }
    }

    /// Records that the client has got the answer: at its last byte if it is streamed, and now otherwise, unless the client
    /// has left. Nothing depends on it for a request that may be repeated.
    pub(crate) fn record_served(&mut self, fate: Rc<RequestFate>, client: &Stream) {
        match self {
            _ if fate.is_repeatable() => {}
            AnswerBody::Streamed { answer, .. } => answer.fate = Some(fate),
            AnswerBody::Buffered(_) if client.is_closed_by_peer() => {}
            AnswerBody::Buffered(_) => fate.record_served(),
        }
    }

    /// Keeps a resource of the request until the end of the answer if that is streamed; otherwise drops it.
    pub(crate) fn hold_until_end(&mut self, guard: impl Any) {
        if let AnswerBody::Streamed { guards, .. } = self {
            guards.push(Box::new(guard));
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match &mut *self {
            AnswerBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            AnswerBody::Streamed { answer, .. } => answer.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Buffered(bytes) => bytes.is_none(),
            AnswerBody::Streamed { answer, .. } => answer.bytes_left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Streamed { answer, .. } => {
                answer.bytes_left.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

#[cfg(test)]
mod tests;
