//! Handles a request: reads and validates it, submits it to the core and returns the answer.

use crate::answer_body::{plain_answer, AnswerBody};
use crate::body_budget::BodyBudget;
use crate::body_pause::BodyPauseLimit;
use crate::client::Client;
use crate::connection_pool::ConnectionPool;
use crate::exchange_counts::increment;
use crate::forwarded_request::{ForwardedHead, ForwardedRequest};
use crate::front_state::FrontState;
use crate::header_block::HeaderBlock;
use crate::hop_by_hop::strip_hop_by_hop;
use crate::http_exchange::HttpExchange;
use crate::invalid_request::InvalidRequest;
use crate::request::{
    correlation_labels, requested_class, requested_tenant, stays_in_class, validate, ClientHints,
};
use crate::request_guards::UnansweredRequest;
use crate::request_ids::{RequestIds, ReservedId};
use crate::shared_ids::SharedIds;
use crate::upload::{buffer_body, Upload};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use lotusdeck_core::{Answer, Host, RequestLabels};
use lotusdeck_policy::{Arrival, Micros, RequestId, SideEffects, Time};
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::debug;

/// Handles the requests of all clients.
pub(crate) struct RequestHandler {
    host: Rc<Host>,
    pool: Rc<ConnectionPool>,
    body_budget: BodyBudget,
    front: Rc<FrontState>,
    ids: Rc<RequestIds>,
}

/// The time limits of a request.
struct RequestTime {
    /// The time allowed from its last byte on.
    allowed: Micros,
    /// The time left from now on.
    left: Micros,
    deadline: Time,
}

/// A request that was submitted to the core and waits for its answer.
struct SubmittedRequest {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    exchange: Rc<HttpExchange>,
    /// The upload of its body, if the body is not buffered completely.
    upload: Option<Rc<Upload>>,
    time: RequestTime,
}

impl RequestHandler {
    pub(crate) fn new(
        host: Rc<Host>, pool: Rc<ConnectionPool>, body_budget: BodyBudget, front: Rc<FrontState>,
    ) -> RequestHandler {
        RequestHandler { host, pool, body_budget, front, ids: Rc::default() }
    }

    /// Shares the ids of requests from now on with the other process of an upgrade.
    pub(crate) fn share_ids(&self, shared: SharedIds) {
        self.ids.share(shared);
    }

    /// Answers a request.
    pub(crate) async fn handle(
        &self, client: &Rc<Client>, request: Request<Incoming>,
    ) -> Response<AnswerBody> {
        let mut is_invalid = false;
        let mut answer = match request.uri().path() {
            "/-/ready" => plain_answer(StatusCode::OK, "ready\n"),
            _ => self.forward(client, request).await.unwrap_or_else(|fault| {
                self.front.invalid_requests.set(self.front.invalid_requests.get() + 1);
                debug!(client = client.id.0, ?fault, "request invalid");
                is_invalid = true; // the next bytes may not begin a request
                let (status, text) = fault.answer();
                plain_answer(status, text)
            }),
        };
        client.is_streaming.set(matches!(answer.body(), AnswerBody::Streamed { .. }));
        if is_invalid || self.front.is_stopping.get() || self.front.is_near_limit() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// Returns what is left of `allowed`, which began when the client wrote its request's last byte at the time `since`,
    /// and of the time until the program ends, by which every accepted request has to be answered.
    fn time_left(&self, allowed: Micros, since: std::time::Instant) -> Micros {
        let elapsed = since.elapsed().as_micros() as u64;
        let left = Micros(allowed.0.saturating_sub(elapsed));
        let Some(deadline) = self.front.shutdown_deadline.get() else { return left };
        let until_end = deadline.saturating_duration_since(tokio::time::Instant::now());
        left.min(Micros(until_end.as_micros() as u64))
    }

    /// Returns the time limits of a request, which count from its last byte. While its body is still arriving they
    /// are provisional.
    fn request_time(&self, time_left: Micros, client: &Client) -> RequestTime {
        let allowed = Micros(time_left.0.saturating_sub(self.host.reply_margin().0));
        let left = self.time_left(allowed, client.stream.last_read_written_at());
        RequestTime { allowed, left, deadline: self.host.clock.now() + left }
    }

    /// Returns the limit on a client's pauses within its body.
    fn pause_limit(&self) -> BodyPauseLimit {
        let longest = self.pool.stall_timeouts.get().upload_stall;
        BodyPauseLimit::new(longest, self.front.clone(), self.body_budget.clone())
    }

    async fn forward(
        &self, client: &Client, request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, InvalidRequest> {
        let (head, body) = request.into_parts();
        let settings = self.host.settings(); // kept until the request ends, even if new settings arrive
        let class = requested_class(&settings.names, head.uri.path())?;
        let tenant = requested_tenant(&settings.names, &head.headers);
        let _held_ids = self.host.hold_ids(class, tenant);
        if !stays_in_class(head.uri.path()) {
            return Err(InvalidRequest::Path);
        }
        let side_effects = settings.config.classes[class.0].side_effects;
        let max_time = settings.network.deadlines[class.0];
        let valid = validate(&head, &body, client.stream.has_content_length(), side_effects, max_time)?;
        let hints = ClientHints::read(&head.headers);
        let head = forwarded_head(head)?;
        let pause_limit = self.pause_limit();
        let body = buffer_body(body, valid.length, &client.stream, &self.body_budget, &pause_limit).await?;
        let time = self.request_time(valid.time_left, client);
        let arrival = Arrival {
            request: RequestId(0),
            class,
            tenant,
            time_left: time.left,
            work_hint: hints.work,
            is_client_retry: hints.is_retry,
            body_incomplete: body.upload().is_some(),
        };
        let upload = body.upload().cloned();
        let forwarded = ForwardedRequest { head, body };
        let reserved_id = self.ids.reserve(valid.id, side_effects == SideEffects::None)?;
        let exchange =
            HttpExchange::new(self.pool.clone(), forwarded, client.stream.clone(), reserved_id.fate());
        let labels = labels_of(reserved_id.id().clone(), exchange.clone());
        client.record_valid_request();
        let (id, answer) = self.host.submit(arrival, exchange.clone(), side_effects, labels);
        debug!(request = id.0, correlation_id = ?reserved_id.id(), client = client.id.0, "request accepted");
        let submitted = SubmittedRequest { id, answer, exchange: exchange.clone(), upload, time };
        let answer = self.wait_for_answer(submitted, client).await?;
        Ok(to_response(answer, &exchange, settings.network.max_retry_after, reserved_id))
    }

    /// Waits until the body of a request is complete or its time is over, and returns its deadline. `allowed` is the time
    /// from its last byte on.
    ///
    /// # Errors
    /// The body is invalid.
    async fn deadline_after_upload(
        &self, id: RequestId, upload: &Upload, allowed: Micros, client: &Client,
    ) -> Result<Time, InvalidRequest> {
        tokio::select! {
            biased;
            completed = upload.completed() => completed?,
            overdue = upload.overdue(|since| self.time_left(allowed, since)) => {
                overdue?;
                increment(&self.pool.exchange_counts.uploads_overdue);
                debug!(request = id.0, bytes_read = upload.bytes_read(), "the time of an upload is over");
                return Ok(self.host.clock.now());
            }
        }
        let left = self.time_left(allowed, client.stream.last_read_written_at());
        self.host.body_received(id, left);
        Ok(self.host.clock.now() + left)
    }

    /// Waits for the core's answer; returns `None` if the core drops the request without one.
    async fn wait_for_answer(
        &self, submitted: SubmittedRequest, client: &Client,
    ) -> Result<Option<Answer>, InvalidRequest> {
        let SubmittedRequest { id, answer, exchange, upload, time } = submitted;
        if upload.is_some() {
            increment(&self.pool.exchange_counts.uploads_streamed);
        }
        let mut unanswered = UnansweredRequest::new(&self.host, id);
        let mut answer = pin!(answer);
        let deadline_passed = async {
            let deadline = match &upload {
                Some(upload) => self.deadline_after_upload(id, upload, time.allowed, client).await?,
                None => time.deadline,
            };
            tokio::time::sleep_until(self.host.clock.instant(deadline)).await;
            Ok::<_, InvalidRequest>(())
        };
        let answer = tokio::select! {
            biased;
            answer = answer.as_mut() => answer,
            // The guard notifies the core.
            () = exchange.client_disconnected() => return Err(InvalidRequest::ClientDisconnected),
            passed = deadline_passed => {
                passed?; // the body is invalid: the guard notifies the core that no client waits
                self.host.deadline_expired(id);
                answer.await
            }
        };
        if let Some(fault) = upload.as_ref().and_then(|upload| upload.fault()) {
            unanswered.mark_answered();
            return Err(fault); // even if the attempt that the fault ended has a result
        }
        if let Some(upload) = upload.filter(|upload| !upload.is_complete()) {
            client.unread_upload.set(Some(upload));
        }
        unanswered.mark_answered();
        Ok(answer.ok())
    }
}

/// Returns a function that builds the labels of a request if the journal needs them.
fn labels_of(id: HeaderValue, exchange: Rc<HttpExchange>) -> impl FnOnce() -> RequestLabels {
    move || correlation_labels(&id, exchange.path())
}

/// Copies what is forwarded of a head, so that the buffer that it was read from can be used for the body.
///
/// # Errors
/// The target has no path.
fn forwarded_head(mut head: Parts) -> Result<ForwardedHead, InvalidRequest> {
    strip_hop_by_hop(&mut head.headers);
    let origin_form = head.uri.path_and_query().map(|target| target.as_str().parse());
    let uri = origin_form.and_then(Result::ok).ok_or(InvalidRequest::Target)?;
    Ok(ForwardedHead { method: head.method, uri, headers: HeaderBlock::new(&head.headers) })
}

/// Builds the response to a client. The id is in use until its last byte.
fn to_response(
    answer: Option<Answer>, exchange: &HttpExchange, max_retry_after: Option<Micros>, id: ReservedId,
) -> Response<AnswerBody> {
    match answer {
        Some(Answer::Served(attempt)) => match exchange.take_answer(attempt) {
            Some(mut served) => {
                exchange.record_served(&mut served.body);
                let mut response = Response::new(served.body);
                *response.headers_mut() = served.headers;
                response.body_mut().hold_until_end(id);
                response
            }
            None => plain_answer(StatusCode::BAD_GATEWAY, "failed\n"),
        },
        Some(Answer::Rejected(retry_after)) => {
            let mut response = plain_answer(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
            let seconds = max_retry_after.map(|longest| retry_after.min(longest).secs());
            if let Some(Ok(text)) = seconds.map(|seconds| format!("{seconds:.3}").parse()) {
                response.headers_mut().insert(RETRY_AFTER, text);
            }
            response
        }
        Some(Answer::Failed) => plain_answer(StatusCode::BAD_GATEWAY, "failed\n"),
        Some(Answer::TimedOut) | None => plain_answer(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
    }
}
