//! The body of an answer to a client.

use crate::body::BoxError;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use std::any::Any;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// Creates the body of an answer that is still being received, and the sender that feeds it. The channel holds one
/// frame. Sending `None` ends the body; if the sender is dropped without it, the body ends with an error. `length` is
/// that of the whole body in bytes, if known.
pub(crate) fn stream_answer(
    first: Bytes, length: Option<u64>,
) -> (mpsc::Sender<Option<Bytes>>, StreamedAnswer) {
    let (sender, rest) = mpsc::channel(1);
    (sender, StreamedAnswer { first: Some(first), rest, bytes_left: length })
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
}

impl StreamedAnswer {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let data = match self.first.take() {
            Some(first) => first,
            None => match ready!(self.rest.poll_recv(cx)) {
                Some(Some(data)) => data,
                Some(None) => return Poll::Ready(None),
                None => return Poll::Ready(Some(Err("the backend's answer broke off".into()))),
            },
        };
        self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(data.len() as u64));
        Poll::Ready(Some(Ok(Frame::data(data))))
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
