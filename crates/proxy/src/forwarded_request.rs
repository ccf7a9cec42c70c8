//! A client's request as it is forwarded to backends.

use crate::header_block::HeaderBlock;
use crate::outgoing_body::OutgoingBody;
use crate::stream::Stream;
use crate::upload::RequestBody;
use hyper::{Method, Request, Uri};
use std::time::Duration;

/// Number of headers that are added to those that are forwarded.
const ADDED_HEADERS: usize = 3;

/// The head of a request as it is forwarded to backends. It shares no memory with the buffer that it was read from.
pub(crate) struct ForwardedHead {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderBlock,
}

/// A client's request as it is forwarded to backends.
pub(crate) struct ForwardedRequest {
    pub head: ForwardedHead,
    pub body: RequestBody,
}

impl ForwardedRequest {
    /// Builds the request of one attempt on the connection `backend`, which announces `time_left` to the backend.
    pub(crate) fn for_attempt(&self, time_left: Duration, backend: &Stream) -> Request<OutgoingBody> {
        let mut outgoing = Request::new(OutgoingBody::new(&self.body, backend.clone()));
        *outgoing.method_mut() = self.head.method.clone();
        *outgoing.uri_mut() = self.head.uri.clone();
        *outgoing.headers_mut() = self.head.headers.to_map(ADDED_HEADERS);
        if let Ok(seconds) = format!("{:.3}", time_left.as_secs_f64()).parse() {
            outgoing.headers_mut().insert("x-time-left", seconds);
        }
        outgoing
    }
}
