//! The request body of one attempt, as hyper sends it.

use crate::body::BoxError;
use crate::invalid_request::InvalidRequest;
use crate::stream::Stream;
use crate::upload::{RequestBody, Upload};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// One attempt's copy of a client's request body.
pub(crate) struct OutgoingBody {
    buffered: Option<Bytes>,
    upload: Option<Rc<Upload>>,
    /// Runs while waiting for data from the client.
    pause_timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
    /// Bytes still to be sent, if the length is known.
    bytes_left: Option<u64>,
    /// The connection to the backend.
    backend: Stream,
    /// The number of flushes of that connection when the last frame was returned.
    flushes_before_frame: Option<u64>,
}

impl OutgoingBody {
    /// Creates the copy for an attempt on the connection `backend`.
    pub(crate) fn new(body: &RequestBody, backend: Stream) -> OutgoingBody {
        let (buffered, upload, length) = match body {
            RequestBody::Buffered(bytes) => (bytes.clone(), None, Some(bytes.len() as u64)),
            RequestBody::Streamed(upload) => {
                (upload.buffered().clone(), Some(upload.clone()), upload.length())
            }
        };
        let buffered = Some(buffered).filter(|bytes| !bytes.is_empty());
        OutgoingBody {
            buffered,
            upload,
            pause_timer: None,
            bytes_left: length,
            backend,
            flushes_before_frame: None,
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        // One frame at a time is in hyper's queue, however slowly the backend reads.
        if let Some(count) = self.flushes_before_frame {
            ready!(self.backend.poll_flushed(count, cx));
        }
        if let Some(buffered) = self.buffered.take() {
            self.flushes_before_frame = Some(self.backend.flush_count());
            self.bytes_left = self.bytes_left.map(|left| left - buffered.len() as u64);
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Some(upload) = self.upload.clone() else { return Poll::Ready(None) };
        let data = match upload.poll_data(cx) {
            Poll::Ready(data) => data,
            Poll::Pending => {
                let timer = self.pause_timer.get_or_insert_with(|| Box::pin(upload.pause_exceeded()));
                ready!(timer.as_mut().poll(cx));
                Some(Err(InvalidRequest::BodyTimeout))
            }
        };
        self.pause_timer = None;
        self.flushes_before_frame = Some(self.backend.flush_count());
        Poll::Ready(match data {
            Some(Ok(data)) => {
                self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(data.len() as u64));
                Some(Ok(Frame::data(data)))
            }
            Some(Err(fault)) => {
                upload.end(Some(fault));
                Some(Err("the client's body is not complete".into()))
            }
            None => None,
        })
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.upload.as_ref().is_none_or(|upload| upload.is_complete())
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes_left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
