//! Serves one client connection, and closes it when it is idle for too long or is evicted to make room.

use crate::answer_body::AnswerBody;
use crate::client::{Client, IDLE_TIMEOUT};
use crate::front_state::FrontState;
use crate::request_guards::BusyConnection;
use crate::request_handler::RequestHandler;
use crate::timer::Timer;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// The largest head of a request, in bytes: hyper limits the buffer of a connection to it.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long a client may leave its answer unread before its connection is cut.
const ANSWER_READ_TIMEOUT: Duration = Duration::from_secs(20);
/// The delay before a connection with an open request is checked again.
const BUSY_CHECK_DELAY: Duration = Duration::from_millis(500);
/// The delay before a connection that timed out with unread bytes is checked again: the next turn of the event loop
/// reads them.
const UNREAD_CHECK_DELAY: Duration = Duration::from_millis(20);
/// How long a connection that was asked to close may stay open before it is cut: its client does not read.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What to do with a connection whose timer has expired.
#[derive(Debug)]
enum TimerAction {
    Cut,
    CheckAgainAt(Instant),
    /// Close it after the answer that is being sent, if there is one.
    CloseGracefully {
        /// When to check the connection again.
        check_again_at: Instant,
    },
}

/// Returns what to do with a connection whose timer has expired, and logs it if the connection is to close.
fn check_timeout(client: &Client) -> TimerAction {
    let action = timer_action(client);
    if !matches!(action, TimerAction::CheckAgainAt(_)) {
        debug!(client = client.id.0, ?action, "connection timed out");
    }
    action
}

fn timer_action(client: &Client) -> TimerAction {
    let now = Instant::now();
    let times_out_at = client.times_out_at(now);
    if times_out_at > now {
        return TimerAction::CheckAgainAt(times_out_at);
    }
    if client.is_busy.get() {
        if client.is_streaming.get() && client.stream.write_blocked_for(now) >= ANSWER_READ_TIMEOUT {
            return TimerAction::Cut; // the client does not read its answer
        }
        return TimerAction::CheckAgainAt(now + BUSY_CHECK_DELAY);
    }
    if client.stream.has_kernel_bytes() {
        return TimerAction::CheckAgainAt(now + UNREAD_CHECK_DELAY);
    }
    if client.stream.message_started_at().is_some() || !client.has_sent_request() {
        return TimerAction::Cut; // no complete head has arrived
    }
    TimerAction::CloseGracefully { check_again_at: now + CLOSE_TIMEOUT }
}

/// What to do with a connection that is asked to close.
#[derive(Debug)]
enum CloseAction {
    Cut,
    CloseGracefully,
    /// Answer the request that has just arrived; its answer then closes the connection.
    AwaitAnswer,
}

/// Returns what to do with a connection that is asked to close, and logs it.
fn close_action(client: &Client) -> CloseAction {
    let action = choose_close_action(client);
    debug!(client = client.id.0, evicted = client.is_closing(), ?action, "connection is to close");
    action
}

fn choose_close_action(client: &Client) -> CloseAction {
    // A connection without any request is cut at once. A first request that arrives meanwhile goes unanswered,
    // which is why new connections are given time before they are closed. Unread bytes may be a request.
    let has_nothing_to_answer = client.is_closing() && !client.has_sent_request() && !client.is_busy.get();
    if has_nothing_to_answer && !client.stream.has_kernel_bytes() || client.is_silent(Instant::now()) {
        return CloseAction::Cut;
    }
    if client.is_busy.get() || !client.stream.has_unread_data() {
        return CloseAction::CloseGracefully;
    }
    CloseAction::AwaitAnswer
}

async fn answer(
    handler: &RequestHandler, front: &Rc<FrontState>, client: &Rc<Client>, request: Request<Incoming>,
) -> Response<AnswerBody> {
    client.is_busy.set(true);
    let version = request.version();
    let mut answer = handler.handle(client, request).await;
    answer.body_mut().set_client(&client.stream, version);
    // Busy until the end of an answer that is streamed, and until the rest of the request was read.
    let busy = Rc::new(BusyConnection { front: front.clone(), client: client.clone() });
    if let Some(upload) = client.unread_upload.take() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        upload.discard_rest(busy.clone());
    }
    answer.body_mut().hold_until_end(busy);
    answer
}

/// Serves a client connection until it ends.
pub(crate) async fn serve(handler: &RequestHandler, front: &Rc<FrontState>, client: &Rc<Client>) {
    let service =
        service_fn(|request| async { Ok::<_, Infallible>(answer(handler, front, client, request).await) });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES).timer(Timer).header_read_timeout(None);
    let mut connection = pin!(builder.serve_connection(client.stream.clone(), service));
    let mut cut_timer = pin!(tokio::time::sleep(Duration::MAX));
    let mut timer = pin!(tokio::time::sleep(IDLE_TIMEOUT));
    loop {
        tokio::select! {
            biased; // read received bytes before closing a connection as idle
            _ = connection.as_mut() => return,
            () = cut_timer.as_mut(), if client.is_closing() && !client.is_busy.get() => return,
            () = timer.as_mut() => match check_timeout(client) {
                TimerAction::Cut => return,
                TimerAction::CheckAgainAt(at) => timer.as_mut().reset(at),
                TimerAction::CloseGracefully { check_again_at } => {
                    connection.as_mut().graceful_shutdown();
                    timer.as_mut().reset(check_again_at);
                }
            },
            () = client.close_requested.notified() => {
                if client.is_closing() {
                    cut_timer.as_mut().reset(Instant::now() + CLOSE_TIMEOUT);
                }
                match close_action(client) {
                    CloseAction::Cut => return,
                    CloseAction::CloseGracefully => connection.as_mut().graceful_shutdown(),
                    CloseAction::AwaitAnswer => {}
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
