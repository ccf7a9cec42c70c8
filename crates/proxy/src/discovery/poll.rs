//! One poll of discovery: its request, its answer, and when either is given up.

use super::dialer::{Dialer, IdleConnection};
use super::monitor::PollNumber;
use super::progress::Progress;
use super::schedule::PollProgress;
use crate::endpoint_list::{EndpointList, ParsedEndpointList};
use crate::exchange::drive_until_done;
use crate::stream::Stream;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::Request;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Largest answer in bytes. A list of 11,000 backends, the largest planned for, has 1.5 MB at 136 bytes a line, or 11
/// MB at 1 KB a line when indented and with long names. [`MAX_ENTRIES`](crate::endpoint_list::MAX_ENTRIES) limits the
/// number of entries.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Largest answer in bytes that is parsed on the event loop, which takes 2 ms during which no request is handled.
/// Longer ones are parsed on a thread of their own: 11,000 lines take 14 to 21 ms.
const MAX_INLINE_PARSE_BYTES: usize = 256 * 1024;

/// Why a poll returned no list.
#[derive(Debug, Error)]
pub(super) enum PollError {
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("call broken: {0}")]
    Http(#[from] hyper::Error),
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("answered {0}")]
    Status(u16),
    #[error("answer not understood: {0}")]
    Json(serde_json::Error),
    #[error("answer longer than {MAX_ANSWER_BYTES} bytes")]
    TooLong,
    #[error("parsing the answer was aborted: {0}")]
    Parser(tokio::task::JoinError),
    #[error("connection ended")]
    Ended,
    #[error("silent")]
    Silent,
}

/// What a poll requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PollRequest {
    /// The version of the current list when the poll was opened.
    pub known_version: Option<u64>,
    /// Whether the full list is requested, regardless of the known version.
    pub full: bool,
    /// How long discovery may wait for changes.
    pub max_wait: Duration,
}

impl PollRequest {
    /// Returns the version since which changes are requested; `None` if the answer has to be the full list.
    pub(super) fn changes_after(&self) -> Option<u64> {
        self.known_version.filter(|_| !self.full)
    }

    /// Returns how long discovery may take to begin its answer; it does not wait before it sends a full list.
    fn answer_delay(&self) -> Duration {
        self.changes_after().map_or(Duration::ZERO, |_| self.max_wait)
    }
}

/// The result of a poll.
pub(super) struct CompletedPoll {
    pub number: PollNumber,
    pub request: PollRequest,
    /// The connection, if it can be reused.
    pub connection: Option<IdleConnection>,
    pub answer: Result<ParsedEndpointList, PollError>,
}

/// A poll in flight. The proxy counts as notified of whatever discovery has written, whether it was read or not, so a
/// poll is dropped before its end only to make room for another one.
pub(super) struct DiscoveryPoll {
    pub request: PollRequest,
    progress: Rc<Progress>,
    pub completion: Pin<Box<dyn Future<Output = CompletedPoll>>>,
}

impl DiscoveryPoll {
    pub(super) fn open(
        number: PollNumber, connection: Option<IdleConnection>, dialer: Rc<Dialer>, address: SocketAddr,
        request: PollRequest,
    ) -> DiscoveryPoll {
        let progress = Rc::new(Progress::new(request.answer_delay()));
        let shared_progress = progress.clone();
        let completion = Box::pin(async move {
            let mut connection = connection;
            let answer = tokio::select! {
                biased;
                answer = exchange(&mut connection, &dialer, address, request, &shared_progress) => answer,
                () = shared_progress.timeout() => Err(PollError::Silent),
            };
            if answer.is_err() {
                drop(connection.take());
                dialer.refill();
            }
            CompletedPoll { number, request, connection, answer }
        });
        DiscoveryPoll { request, progress, completion }
    }

    pub(super) fn progress(&self) -> PollProgress {
        self.progress.get()
    }
}

async fn exchange(
    idle: &mut Option<IdleConnection>, dialer: &Dialer, address: SocketAddr, poll: PollRequest,
    progress: &Progress,
) -> Result<ParsedEndpointList, PollError> {
    let mut connection = match idle.take() {
        Some(connection) if connection.is_usable() => connection,
        _ => {
            let tcp = dialer.dial(address).await.map_err(PollError::Connect)?;
            let (sender, driver) = http1::handshake(Stream::new(tcp)).await?;
            IdleConnection { sender, driver }
        }
    };
    let target = EndpointList::request_target(poll.changes_after(), poll.max_wait);
    let request = Request::get(target).header("host", address.to_string()).body(Empty::<Bytes>::new())?;
    let IdleConnection { sender, driver } = &mut connection;
    let answer = async {
        sender.ready().await?;
        let answer = sender.send_request(request).await?;
        progress.record_received();
        let status = answer.status().as_u16();
        Ok((status, read_body(answer.into_body(), progress).await?))
    };
    let (status, body) = drive_until_done(driver, answer).await.unwrap_or(Err(PollError::Ended))?;
    *idle = Some(connection);
    if status != 200 {
        return Err(PollError::Status(status));
    }
    parse(body).await
}

/// Reads the complete body; rejects one that is declared too long without reading it.
async fn read_body(mut body: Incoming, progress: &Progress) -> Result<Bytes, PollError> {
    let mut read = BytesMut::new();
    if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
        return Err(PollError::TooLong);
    }
    while let Some(frame) = body.frame().await {
        progress.record_received();
        let Ok(data) = frame?.into_data() else { continue };
        if read.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(PollError::TooLong);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}

/// Parses the answer, on a thread of its own if it is long.
async fn parse(body: Bytes) -> Result<ParsedEndpointList, PollError> {
    let parse = |body: &[u8]| serde_json::from_slice(body).map(EndpointList::parse).map_err(PollError::Json);
    if body.len() <= MAX_INLINE_PARSE_BYTES {
        return parse(&body);
    }
    let parsed = tokio::task::spawn_blocking(move || parse(&body)).await;
    parsed.map_err(PollError::Parser)?
}
