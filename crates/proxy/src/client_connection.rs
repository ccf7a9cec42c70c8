//! Serves one client connection to its end, and closes it when it is silent for too long or has to make room.

use crate::answer_body::AnswerBody;
use crate::client::{Client, IDLE_TIMEOUT};
use crate::front_state::FrontState;
use crate::request_guards::BusyConnection;
use crate::request_handler::RequestHandler;
use crate::timer::Timer;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The largest head of a request, to which hyper holds a connection's buffer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// A client that takes nothing of its answer for so long takes no more.
const ANSWER_READ_TIMEOUT: Duration = Duration::from_secs(20);
/// A connection with an open request is checked again after this time.
const BUSY_CHECK_DELAY: Duration = Duration::from_millis(500);
/// A connection that timed out while something lies unread on it is checked again after this time: the next turn of the
/// event loop reads it.
const UNREAD_CHECK_DELAY: Duration = Duration::from_millis(20);
/// A connection that was told to close and has not is cut after this time: its client reads nothing.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What becomes of a connection whose timer has run out.
enum TimerAction {
    Cut,
    CheckAgainAt(Instant),
    /// Close it behind the answer that is on its way, if there is one.
    CloseGracefully {
        /// When it is checked again.
        check_again_at: Instant,
    },
}

/// How much of its answers a client has taken.
struct SendProgress {
    bytes_sent: u64,
    /// When that was last different, or nothing was to be sent.
    since: Instant,
}

impl SendProgress {
    /// What becomes of a connection now that its timer has run out.
    fn check(&mut self, client: &Client) -> TimerAction {
        let now = Instant::now();
        let times_out_at = client.times_out_at(now);
        let bytes_sent = client.stream.bytes_sent();
        if self.bytes_sent != bytes_sent || !client.is_streaming.get() {
            self.bytes_sent = bytes_sent;
            self.since = now;
        }
        if times_out_at > now {
            return TimerAction::CheckAgainAt(times_out_at);
        }
        if client.is_busy.get() {
            if now - self.since >= ANSWER_READ_TIMEOUT {
                return TimerAction::Cut; // its client reads nothing
            }
            return TimerAction::CheckAgainAt(now + BUSY_CHECK_DELAY);
        }
        if client.stream.has_kernel_bytes() {
            return TimerAction::CheckAgainAt(now + UNREAD_CHECK_DELAY);
        }
        if client.stream.message_started_at().is_some() || !client.has_sent_request() {
            return TimerAction::Cut; // no complete head came
        }
        TimerAction::CloseGracefully { check_again_at: now + CLOSE_TIMEOUT }
    }
}

/// What becomes of a connection that is asked to close.
enum CloseAction {
    Cut,
    CloseGracefully,
    /// A request that has just come is answered first; its answer then closes the connection.
    AwaitAnswer,
}

fn close_action(client: &Client) -> CloseAction {
    // A first request that comes while its connection is closed goes unanswered, so that the young ones are given their
    // time; what lies unread may be a request.
    let owes_nothing = client.is_closing() && !client.has_sent_request() && !client.is_busy.get();
    if owes_nothing && !client.stream.has_kernel_bytes() || client.is_silent(Instant::now()) {
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
    let mut answer = handler.handle(client, request).await;
    let busy = BusyConnection { front: front.clone(), client: client.clone() };
    answer.body_mut().hold_until_end(busy); // the connection is busy until the last byte is on its way
    answer
}

/// Serves a client connection to its end.
pub(crate) async fn serve(handler: &RequestHandler, front: &Rc<FrontState>, client: &Rc<Client>) {
    let service =
        service_fn(|request| async { Ok::<_, Infallible>(answer(handler, front, client, request).await) });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES).timer(Timer).header_read_timeout(None);
    let mut connection = pin!(builder.serve_connection(client.stream.clone(), service));
    let mut cut_timer = pin!(tokio::time::sleep(Duration::MAX));
    let mut timer = pin!(tokio::time::sleep(IDLE_TIMEOUT));
    let mut progress = SendProgress { bytes_sent: 0, since: client.accepted_at };
    loop {
        tokio::select! {
            biased; // what has come is read before a connection is closed for its silence
            _ = connection.as_mut() => return,
            () = cut_timer.as_mut(), if client.is_closing() && !client.is_busy.get() => return,
            () = timer.as_mut() => match progress.check(client) {
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
