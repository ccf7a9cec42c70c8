//! A client's HTTP request in progress: the core sends its attempts, and the front takes the answer of the one that
//! succeeded.

use crate::answer_body::AnswerBody;
use crate::attempt::{AttemptId, AttemptTerms, Destination, ServedAnswer};
use crate::connection_pool::ConnectionPool;
use crate::forwarded_request::ForwardedRequest;
use crate::request_ids::RequestFate;
use crate::stream::{SendGate, Stream};
use crate::upload::Upload;
use lotusdeck_core::{AttemptContext, AttemptFuture, Exchange};
use lotusdeck_policy::AttemptNo;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// The most unread bytes behind a request with which its client counts as connected.
const MAX_BYTES_BEHIND_REQUEST: u64 = 16 * 1024;

/// A client's request in progress.
pub(crate) struct HttpExchange {
    pool: Rc<ConnectionPool>,
    request: ForwardedRequest,
    /// The connection to the client that sent the request.
    client: Stream,
    /// Notified when an attempt is about to be sent and the client is found to have disconnected.
    client_disconnected: Rc<Notify>,
    fate: Rc<RequestFate>,
    answers: RefCell<Vec<AttemptAnswer>>,
    statuses: RefCell<Vec<AttemptStatus>>,
}

/// The answer of a successful attempt.
struct AttemptAnswer {
    attempt: AttemptNo,
    answer: ServedAnswer,
}

/// The status of an attempt's answer.
struct AttemptStatus {
    attempt: AttemptNo,
    status: u16,
}

impl HttpExchange {
    /// Creates the exchange of a request that was read; its attempts use the pool's connections.
    pub(crate) fn new(
        pool: Rc<ConnectionPool>, request: ForwardedRequest, client: Stream, fate: Rc<RequestFate>,
    ) -> Rc<HttpExchange> {
        Rc::new(HttpExchange {
            pool,
            request,
            client,
            client_disconnected: Rc::default(),
            fate,
            answers: RefCell::default(),
            statuses: RefCell::default(),
        })
    }

    /// Returns the gate that is checked right before the first byte of an attempt. hyper may not have noticed that the
    /// client has disconnected: it does not read past bytes that follow a request, and the client may have closed while
    /// this process was busy. `is_sent` is set when the attempt may be sent.
    fn send_gate(&self, context: AttemptContext, is_sent: Rc<Cell<bool>>) -> SendGate {
        let client = self.client.clone();
        let client_disconnected = self.client_disconnected.clone();
        let upload = self.request.body.upload().cloned();
        let fate = self.fate.clone();
        Box::new(move || {
            let is_disconnected = client.may_be_closed_by_peer(max_unread(upload.as_deref()));
            if is_disconnected {
                client_disconnected.notify_one();
            }
            let may_send = !is_disconnected && context.may_send();
            if may_send && !is_sent.replace(true) {
                fate.record_sent();
            }
            may_send
        })
    }

    /// Waits until an attempt is about to be sent and the client is found to have disconnected.
    pub(crate) async fn client_disconnected(&self) {
        self.client_disconnected.notified().await;
    }

    /// Records that the client gets this answer of an attempt.
    pub(crate) fn record_served(&self, answer: &mut AnswerBody) {
        answer.record_served(self.fate.clone(), &self.client);
    }

    /// Returns the path as the client wrote it.
    pub(crate) fn path(&self) -> &str {
        self.request.head.uri.path()
    }

    /// Returns the answer of a successful attempt; it can be taken once.
    pub(crate) fn take_answer(&self, attempt: AttemptNo) -> Option<ServedAnswer> {
        let mut answers = self.answers.borrow_mut();
        let index = answers.iter().position(|answer| answer.attempt == attempt)?;
        Some(answers.swap_remove(index).answer)
    }
}

/// Returns the number of unread bytes with which a client counts as connected. Behind more, the end of its connection may
/// still be in its kernel. A client that uses its connection as the protocol has it sends nothing behind its request.
fn max_unread(upload: Option<&Upload>) -> u64 {
    match upload {
        Some(upload) if !upload.is_complete() => u64::MAX,
        _ => MAX_BYTES_BEHIND_REQUEST,
    }
}

impl Exchange for HttpExchange {
    fn send_attempt(self: Rc<Self>, context: AttemptContext) -> AttemptFuture {
        Box::pin(async move {
            let attempt = context.attempt;
            let to = Destination { backend: context.backend, address: context.address };
            let attempt_terms = AttemptTerms {
                id: AttemptId { request: context.request, attempt },
                deadline: context.deadline,
                answer_by: context.answer_by,
                early_answer: context.early_answer.clone(),
                report_progress: context.report_progress.clone(),
            };
            let journaled = context.journaled();
            let is_sent = Rc::new(Cell::new(false));
            let gate = self.send_gate(context, is_sent.clone());
            let result = self.pool.attempt(to, &self.request, attempt_terms, journaled, gate).await;
            if is_sent.get() && result.outcome.never_ran() {
                self.fate.record_never_ran();
            }
            let status = result.status.map(|status| AttemptStatus { attempt, status });
            self.statuses.borrow_mut().extend(status);
            let answer = result.answer.map(|answer| AttemptAnswer { attempt, answer });
            self.answers.borrow_mut().extend(answer);
            result.outcome
        })
    }

    fn body_consumed(&self) -> bool {
        self.request.body.is_consumed()
    }

    /// An attempt has a connection of its own; it uses the client's while it still reads the request's body.
    fn attempt_uses_client(&self) -> bool {
        self.request.body.upload().is_some_and(|upload| !upload.is_complete())
    }

    fn answer_status(&self, attempt: AttemptNo) -> Option<u16> {
        self.statuses.borrow().iter().find(|status| status.attempt == attempt).map(|status| status.status)
    }
}
