//! Operators' calls: HTTP/1.1 on an address of their own, one call per connection.

use crate::answer_body::{plain_answer, AnswerBody};
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

/// Callers at a time. Beyond it the oldest goes: a call is over within milliseconds, so that one is silent.
pub const MAX_CONCURRENT_CALLS: usize = 12;
/// A call is over after this time, whole or not.
const PATIENCE: Duration = Duration::from_secs(2);
/// The longest id of a backend that a call may name.
const MAX_ID: usize = 256;
const MAX_HEAD: usize = 8 * 1024;

/// Why a call is answered with a no.
enum No {
    Unknown,
    Path,
    Method(&'static str),
    Empty,
    TooLong,
    Body,
    NotReady,
    Storage(CordonError),
}

impl No {
    fn answer(self) -> Response<AnswerBody> {
        match self {
            No::Unknown => plain_answer(StatusCode::NOT_FOUND, "no such backend\n"),
            No::Path => plain_answer(StatusCode::NOT_FOUND, "no such call\n"),
            No::Method(allow) => {
                let mut answer = plain_answer(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
                answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
                answer
            }
            No::Empty => plain_answer(StatusCode::BAD_REQUEST, "expected the id of a backend as the body\n"),
            No::TooLong => plain_answer(StatusCode::PAYLOAD_TOO_LARGE, "the id is too long\n"),
            No::Body => plain_answer(StatusCode::BAD_REQUEST, "the id cannot be read\n"),
            No::NotReady => plain_answer(StatusCode::SERVICE_UNAVAILABLE, "takes no clients\n"),
            No::Storage(_) => plain_answer(StatusCode::INTERNAL_SERVER_ERROR, "could not be saved\n"),
        }
    }
}

/// How this proxy follows a source of configuration.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ConfigurationStatus {
    /// Where the source is.
    pub source: String,
    /// The version held, as `EPOCH-NUMBER`.
    pub version: Option<String>,
    /// `empty`, `current`, `refusing` or `cut off`.
    #[serde(rename = "standing")]
    pub state: &'static str,
    /// The later version that is refused here.
    #[serde(rename = "refused")]
    pub rejected_version: Option<String>,
    /// At most so long ago the version held was the source's latest, ms.
    pub age_ms: Option<u64>,
}

/// Tells it; `None` where no source is followed.
pub type ConfigurationStatusSource = Box<dyn Fn() -> Option<ConfigurationStatus>>;

/// The operators' side of the proxy.
pub struct Admin {
    host: Rc<Host>,
    server: Rc<Server>,
    configuration: ConfigurationStatusSource,
    /// Those whose calls are not over, the oldest first.
    callers: RefCell<VecDeque<(u64, AbortHandle)>>,
}

impl Admin {
    pub fn new(host: Rc<Host>, server: Rc<Server>, configuration: ConfigurationStatusSource) -> Rc<Admin> {
        Rc::new(Admin { host, server, configuration, callers: RefCell::default() })
    }

    /// Takes calls for as long as the program runs.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut next = 0;
        loop {
            match listener.accept().await {
                Ok((tcp, _)) => {
                    next += 1;
                    self.take_in(next, tcp);
                }
                Err(e) => {
                    warn!("operators' listener: {e}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    fn take_in(self: &Rc<Self>, number: u64, tcp: TcpStream) {
        let admin = self.clone();
        let task = tokio::task::spawn_local(async move {
            let service = service_fn(|request| async { Ok::<_, Infallible>(admin.answer(request).await) });
            let mut builder = http1::Builder::new();
            builder.keep_alive(false).half_close(true).max_buf_size(MAX_HEAD).timer(Timer);
            let call = builder.header_read_timeout(PATIENCE).serve_connection(Stream::new(tcp), service);
            let _ = tokio::time::timeout(PATIENCE, call).await; // a caller that leaves early is no news
            admin.callers.borrow_mut().retain(|c| c.0 != number);
        });
        let mut callers = self.callers.borrow_mut();
        callers.push_back((number, task.abort_handle()));
        if callers.len() > MAX_CONCURRENT_CALLS {
            callers.pop_front().into_iter().for_each(|(_, oldest)| oldest.abort());
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let called = format!("{} {}", request.method(), request.uri().path());
        self.call(request).await.unwrap_or_else(|no| {
            let reason = if let No::Storage(e) = &no { e.to_string() } else { String::new() };
            let answer = no.answer();
            let call = format!("{called:.120}");
            warn!(call, status = answer.status().as_u16(), reason, "operator refused");
            answer
        })
    }

    /// All that this process knows and does, as one document.
    fn status(&self) -> Result<Response<AnswerBody>, No> {
        #[derive(serde::Serialize)]
        struct Document {
            accepting: bool,
            clients: usize,
            configuration: Option<ConfigurationStatus>,
            #[serde(flatten)]
            core: lotusdeck_core::Status,
        }
        let (accepting, clients) = (self.server.is_accepting(), self.server.client_count());
        let (configuration, core) = ((self.configuration)(), self.host.status());
        let document = Document { accepting, clients, configuration, core };
        let text = serde_json::to_vec_pretty(&document).map_err(|_| No::Path)?;
        let mut answer = plain_answer(StatusCode::OK, "");
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        *answer.body_mut() = AnswerBody::Buffered(Some(text.into()));
        Ok(answer)
    }

    async fn call(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, No> {
        let out = match request.uri().path() {
            "/admin/health" if request.method() != Method::GET => return Err(No::Method("GET")),
            "/admin/health" if self.server.is_accepting() => return Ok(plain_answer(StatusCode::OK, "ok\n")),
            "/admin/health" => return Err(No::NotReady),
            "/admin/status" if request.method() != Method::GET => return Err(No::Method("GET")),
            "/admin/status" => return self.status(),
            "/admin/cordon" => true,
            "/admin/uncordon" => false,
            _ => return Err(No::Path),
        };
        if request.method() != Method::PUT {
            return Err(No::Method("PUT"));
        }
        let body = Limited::new(request.into_body(), MAX_ID).collect().await;
        let body = body.map_err(|e| if e.is::<hyper::Error>() { No::Body } else { No::TooLong })?.to_bytes();
        let id = std::str::from_utf8(&body).map_err(|_| No::Body)?.trim();
        if id.is_empty() {
            return Err(No::Empty);
        }
        if !self.host.knows_backend(id) {
            return Err(No::Unknown);
        }
        let changed = self.host.set_cordon(id, out).await.map_err(No::Storage)?;
        let call = if out { "cordon" } else { "uncordon" };
        info!(call, backend = id, changed, "operator call taken");
        Ok(plain_answer(StatusCode::OK, "ok\n"))
    }
}
