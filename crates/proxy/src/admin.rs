//! The operators' calls: HTTP/1.1 on an address of their own, one call per connection.

use crate::answer_body::{plain_answer, AnswerBody};
use crate::discovery::{DiscoveryMonitor, DiscoveryStatus};
use crate::server::Server;
use crate::stream::Stream;
use crate::timer::Timer;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use lotusdeck_core::cordon::CordonError;
use lotusdeck_core::Host;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tracing::{info, warn};

/// Maximum number of calls in flight. A further call aborts the oldest one: calls end within milliseconds, so the
/// caller of the oldest has probably stalled.
pub const MAX_CONCURRENT_CALLS: usize = 12;
/// How long a call may take before it is aborted.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest backend id that a call may contain, in bytes.
const MAX_ID_BYTES: usize = 256;
/// The largest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The reason for which a call is rejected.
enum RejectedCall {
    UnknownBackend,
    Path,
    Method(&'static str),
    EmptyBody,
    TooLong,
    Body,
    NotReady,
    Storage(CordonError),
}

impl RejectedCall {
    fn answer(self) -> Response<AnswerBody> {
        match self {
            RejectedCall::UnknownBackend => plain_answer(StatusCode::NOT_FOUND, "no such backend\n"),
            RejectedCall::Path => plain_answer(StatusCode::NOT_FOUND, "no such call\n"),
            RejectedCall::Method(allow) => {
                let mut answer = plain_answer(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
                answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
                answer
            }
            RejectedCall::EmptyBody => {
                plain_answer(StatusCode::BAD_REQUEST, "expected the id of a backend as the body\n")
            }
            RejectedCall::TooLong => plain_answer(StatusCode::PAYLOAD_TOO_LARGE, "the id is too long\n"),
            RejectedCall::Body => plain_answer(StatusCode::BAD_REQUEST, "the id cannot be read\n"),
            RejectedCall::NotReady => plain_answer(StatusCode::SERVICE_UNAVAILABLE, "takes no clients\n"),
            RejectedCall::Storage(_) => {
                plain_answer(StatusCode::INTERNAL_SERVER_ERROR, "could not be saved\n")
            }
        }
    }
}

/// The state of this proxy's configuration, compared with its source.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ConfigurationStatus {
    /// The address of the source.
    pub source: String,
    /// The active version, as `EPOCH-NUMBER`.
    pub version: Option<String>,
    /// The state: `empty`, `current`, `refusing` or `cut off`.
    #[serde(rename = "standing")]
    pub state: &'static str,
    /// A later version that this proxy has rejected.
    #[serde(rename = "refused")]
    pub rejected_version: Option<String>,
    /// An upper bound on the time since the active version was the source's latest, in ms.
    pub age_ms: Option<u64>,
}

/// A function that returns the current status, or `None` if there is no source.
pub type ConfigurationStatusSource = Box<dyn Fn() -> Option<ConfigurationStatus>>;

/// Answers the operators' calls.
pub struct Admin {
    host: Rc<Host>,
    server: Rc<Server>,
    configuration: ConfigurationStatusSource,
    discovery: Rc<DiscoveryMonitor>,
    /// The calls in flight, the oldest first.
    calls: RefCell<VecDeque<CallInFlight>>,
}

/// A call in flight.
struct CallInFlight {
    number: u64,
    task: AbortHandle,
}

impl Admin {
    /// Creates the handler of calls about `host` and `server`; `configuration` returns the status of the
    /// configuration source, and `discovery` that of the client of discovery.
    pub fn new(
        host: Rc<Host>, server: Rc<Server>, configuration: ConfigurationStatusSource,
        discovery: Rc<DiscoveryMonitor>,
    ) -> Rc<Admin> {
        Rc::new(Admin { host, server, configuration, discovery, calls: RefCell::default() })
    }

    /// Accepts and answers calls until the program ends.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut next_number = 0;
        loop {
            match listener.accept().await {
                Ok((tcp, _)) => {
                    next_number += 1;
                    self.serve_call(next_number, tcp);
                }
                Err(error) => {
                    warn!(%error, "operators' listener failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn serve_call(self: &Rc<Self>, number: u64, tcp: TcpStream) {
        let admin = self.clone();
        let task = tokio::task::spawn_local(async move {
            let service = service_fn(|request| async { Ok::<_, Infallible>(admin.answer(request).await) });
            let mut builder = http1::Builder::new();
            builder.keep_alive(false).half_close(true).max_buf_size(MAX_HEAD_BYTES).timer(Timer);
            let call = builder.header_read_timeout(CALL_TIMEOUT).serve_connection(Stream::new(tcp), service);
            let _ = tokio::time::timeout(CALL_TIMEOUT, call).await; // fails if the caller disconnects early
            admin.calls.borrow_mut().retain(|call| call.number != number);
        });
        let mut calls = self.calls.borrow_mut();
        calls.push_back(CallInFlight { number, task: task.abort_handle() });
        if calls.len() > MAX_CONCURRENT_CALLS {
            if let Some(oldest) = calls.pop_front() {
                oldest.task.abort();
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let method_and_path = format!("{} {}", request.method(), request.uri().path());
        self.call(request).await.unwrap_or_else(|rejected| {
            let reason = match &rejected {
                RejectedCall::Storage(error) => error.to_string(),
                _ => String::new(),
            };
            let answer = rejected.answer();
            let call = format!("{method_and_path:.120}");
            warn!(call, status = answer.status().as_u16(), reason, "operator refused");
            answer
        })
    }

    /// Returns the state of this process as one JSON document.
    fn status(&self) -> Result<Response<AnswerBody>, RejectedCall> {
        #[derive(serde::Serialize)]
        struct Document {
            accepting: bool,
            clients: usize,
            configuration: Option<ConfigurationStatus>,
            discovery: DiscoveryStatus,
            #[serde(flatten)]
            core: lotusdeck_core::Status,
        }
        let document = Document {
            accepting: self.server.is_accepting(),
            clients: self.server.client_count(),
            configuration: (self.configuration)(),
            discovery: self.discovery.status(),
            core: self.host.status(),
        };
        let text = serde_json::to_vec_pretty(&document).map_err(|_| RejectedCall::Path)?;
        let mut answer = plain_answer(StatusCode::OK, "");
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        *answer.body_mut() = AnswerBody::Buffered(Some(text.into()));
        Ok(answer)
    }

    async fn call(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, RejectedCall> {
        let is_get = request.method() == Method::GET;
        let is_cordoned = match request.uri().path() {
            "/admin/health" | "/admin/status" if !is_get => return Err(RejectedCall::Method("GET")),
            "/admin/health" if self.server.is_accepting() => return Ok(plain_answer(StatusCode::OK, "ok\n")),
            "/admin/health" => return Err(RejectedCall::NotReady),
            "/admin/status" => return self.status(),
            "/admin/cordon" => true,
            "/admin/uncordon" => false,
            _ => return Err(RejectedCall::Path),
        };
        if request.method() != Method::PUT {
            return Err(RejectedCall::Method("PUT"));
        }
        let body = Limited::new(request.into_body(), MAX_ID_BYTES).collect().await;
        let body = body.map_err(|error| {
            if error.is::<hyper::Error>() {
                RejectedCall::Body
            } else {
                RejectedCall::TooLong
            }
        })?;
        let body = body.to_bytes();
        let id = std::str::from_utf8(&body).map_err(|_| RejectedCall::Body)?.trim();
        if id.is_empty() {
            return Err(RejectedCall::EmptyBody);
        }
        if !self.host.knows_backend(id) {
            return Err(RejectedCall::UnknownBackend);
        }
        let changed = self.host.set_cordon(id, is_cordoned).await.map_err(RejectedCall::Storage)?;
        let call = if is_cordoned { "cordon" } else { "uncordon" };
        info!(call, backend = id, changed, "operator call taken");
        Ok(plain_answer(StatusCode::OK, "ok\n"))
    }
}
