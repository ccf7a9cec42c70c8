//! Tests of the checks before the first byte of an attempt, and of the cleanup after requests and backends.

use super::actions::ATTEMPT_HANDLERS;
use super::attempts::SendCondition;
use super::state::AttemptKey;
use super::{Answer, Host, OptionalServices};
use crate::cordon::Cordon;
use crate::exchange::{AttemptContext, AttemptFuture, Exchange};
use crate::registry::Endpoint;
use crate::{AnswerLength, Clock};
use lotusdeck_policy::settings::{EndpointRecord, Names, NetworkSettings, Settings};
use lotusdeck_policy::{
    Arrival, AttemptNo, Backend, BackendId, BackendState, Balancer, ClassId, Config, KeyScope, ListUpdate,
    Micros, Outcome, RequestId, SideEffects, Time,
};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot::Receiver;

/// An exchange whose attempts stay in flight until they are given up.
struct NeverAnswered;

impl Exchange for NeverAnswered {
    fn send_attempt(self: Rc<Self>, _: AttemptContext) -> AttemptFuture {
        Box::pin(std::future::pending())
    }
    fn body_consumed(&self) -> bool {
        false
    }
    fn attempt_uses_client(&self) -> bool {
        false
    }
    fn answer_status(&self, _: AttemptNo) -> Option<u16> {
        None
    }
}

/// An exchange that keeps the contexts of its attempts, which stay in flight until they are given up.
#[derive(Default)]
struct KeepsContexts(RefCell<Vec<AttemptContext>>);

impl Exchange for KeepsContexts {
    fn send_attempt(self: Rc<Self>, context: AttemptContext) -> AttemptFuture {
        self.0.borrow_mut().push(context);
        Box::pin(std::future::pending())
    }
    fn body_consumed(&self) -> bool {
        false
    }
    fn attempt_uses_client(&self) -> bool {
        false
    }
    fn answer_status(&self, _: AttemptNo) -> Option<u16> {
        None
    }
}

const SECOND: Micros = Micros(1_000_000);
const MINUTE: Micros = Micros(60_000_000);
const PORT: u16 = 9;
const OTHER_PORT: u16 = 10;

fn host() -> Rc<Host> {
    let settings = Settings {
        config: Config::example(),
        names: Names::default(),
        network: NetworkSettings {
            connect_timeout: SECOND,
            idle_timeout: SECOND,
            max_retry_after: Some(SECOND),
            deadlines: vec![SECOND],
        },
    };
    let balancer = Balancer::new(Config::example(), 1).unwrap();
    let cordon = Cordon::load(&std::env::temp_dir().join("lotusdeck-no-such-proxy"));
    Host::new(balancer, settings, Clock::new(), Vec::new(), cordon, OptionalServices::default())
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Changes the state and the port of the only backend on the list.
fn change_backend(host: &Rc<Host>, state: BackendState, port: u16) {
    let address = address(port);
    let backend = Backend { state, ..Backend::default() };
    let row = EndpointRecord::new("b", &address.to_string(), "", "", backend);
    let endpoint = Endpoint { name: "b".into(), address, state, row };
    host.update_endpoints(ListUpdate::Changes, vec![endpoint]);
}

fn submit(host: &Rc<Host>) -> (RequestId, Receiver<Answer>) {
    submit_to(host, Rc::new(NeverAnswered), SideEffects::None)
}

fn submit_to(
    host: &Rc<Host>, exchange: Rc<dyn Exchange>, side_effects: SideEffects,
) -> (RequestId, Receiver<Answer>) {
    let arrival = Arrival {
        request: RequestId(0),
        class: ClassId(0),
        tenant: None,
        time_left: MINUTE,
        work_hint: None,
        is_client_retry: false,
        body_incomplete: false,
    };
    host.submit(arrival, exchange, side_effects, || unreachable!())
}

/// Returns whether an attempt of this request may be sent to the backend at `PORT`.
fn may_send(host: &Host, request: RequestId, send_by: Option<Time>) -> bool {
    host.may_send(&SendCondition { request, backend: BackendId(0), address: address(PORT), send_by })
}

/// Guards against an attempt that is sent although, while its connection was being established, the endpoint list or
/// the request changed or the idempotency window ended, and against state that remains after its request or backend was
/// removed.
#[tokio::test]
async fn attempt_is_sent_only_while_list_request_and_idempotency_window_allow_it() {
    let check = async {
        let host = host();
        change_backend(&host, BackendState::Ready, PORT);
        let (id, _answer) = submit(&host);
        let now = host.clock.now();
        assert!(may_send(&host, id, None) && may_send(&host, id, Some(now + MINUTE)));
        assert!(!may_send(&host, id, Some(now)), "the idempotency window is over");
        assert!(!may_send(&host, RequestId(99), None), "the request is over");
        change_backend(&host, BackendState::Ready, OTHER_PORT);
        assert!(!may_send(&host, id, None), "the backend moved, and another may listen at its old address");
        change_backend(&host, BackendState::Ready, PORT);
        assert!(may_send(&host, id, None));
        change_backend(&host, BackendState::Draining, PORT);
        assert!(!may_send(&host, id, None), "the backend drains");
        host.client_disconnected(id);
        assert!(
            host.state.borrow().attempts.is_empty(),
            "no attempt stays in flight after the client disconnected"
        );
        change_backend(&host, BackendState::Removed, PORT);
        assert!(host.state.borrow().registry.is_empty(), "a removed backend is forgotten");
    };
    tokio::task::LocalSet::new().run_until(check).await;
}

/// Guards against a retry that is sent after the idempotency window, where it would run twice, because its earlier
/// attempt was withdrawn by the balancer: that attempt may have run as much as one that ended by itself.
#[tokio::test]
async fn a_retry_after_a_withdrawn_attempt_is_sent_only_within_the_idempotency_window() {
    let check = async {
        for (window, is_within) in [(Micros(0), false), (MINUTE, true)] {
            let host = host();
            change_backend(&host, BackendState::Ready, PORT);
            let exchange = Rc::new(KeepsContexts::default());
            let side_effects = SideEffects::IdempotencyKey { scope: KeyScope::All, window };
            let (request, _answer) = submit_to(&host, exchange.clone(), side_effects);
            tokio::task::yield_now().await;
            assert!(exchange.0.borrow()[0].may_send(), "no attempt was sent before the first");
            let now = host.clock.now();
            let withdrawn = AttemptKey { request, attempt: AttemptNo(0) };
            let end = host.cancel_attempt(&mut host.state.borrow_mut(), now, withdrawn);
            assert!(end.is_some(), "the attempt was in flight");
            host.dispatch(&mut host.state.borrow_mut(), now, request, BackendId(0), ATTEMPT_HANDLERS);
            tokio::task::yield_now().await;
            assert_eq!(exchange.0.borrow()[1].may_send(), is_within, "a window of {window:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(check).await;
}

/// Guards against an answer that is cut off while its backend writes it, because the balancer takes its attempt for
/// lost.
#[tokio::test]
async fn an_attempt_whose_answer_has_begun_is_not_withdrawn_while_its_request_is_open() {
    let check = async {
        for has_begun in [false, true] {
            let host = host();
            change_backend(&host, BackendState::Ready, PORT);
            let exchange = Rc::new(KeepsContexts::default());
            let (request, _answer) = submit_to(&host, exchange.clone(), SideEffects::None);
            tokio::task::yield_now().await;
            if has_begun {
                exchange.0.borrow()[0].early_answer.record_begun(AnswerLength::Unknown);
            }
            let now = host.clock.now();
            let attempt = AttemptKey { request, attempt: AttemptNo(0) };
            let end = host.withdraw_attempt(&mut host.state.borrow_mut(), now, attempt);
            assert_eq!(end.is_none(), has_begun);
            host.client_disconnected(request);
            assert_eq!(host.attempts_in_flight(), 0, "the request is over");
        }
    };
    tokio::task::LocalSet::new().run_until(check).await;
}

/// Guards against a final answer of the balancer that comes before the answer that its backend is writing, and against a
/// request that ends with neither.
#[tokio::test]
async fn a_request_that_is_given_up_ends_with_the_answer_that_has_begun_or_else_with_its_own() {
    let check = async {
        for (outcome, expected) in
            [(Outcome::Success, Answer::Served(AttemptNo(0))), (Outcome::Reset, Answer::Failed)]
        {
            let host = host();
            change_backend(&host, BackendState::Ready, PORT);
            let exchange = Rc::new(KeepsContexts::default());
            let (request, mut answer) = submit_to(&host, exchange.clone(), SideEffects::None);
            tokio::task::yield_now().await;
            let defer =
                || host.defer_to_answer_under_way(&mut host.state.borrow_mut(), request, Answer::Failed);
            assert!(!defer(), "no answer has begun");
            exchange.0.borrow()[0].early_answer.record_begun(AnswerLength::Unknown);
            assert!(defer());
            assert!(answer.try_recv().is_err(), "the answer that has begun is awaited");
            host.attempt_ended(AttemptKey { request, attempt: AttemptNo(0) }, outcome);
            assert_eq!(answer.try_recv(), Ok(expected));
        }
    };
    tokio::task::LocalSet::new().run_until(check).await;
}

/// Guards against a pause after a failed poll that ends at once because the balancer requested a watch during the
/// poll.
#[tokio::test]
async fn watch_request_before_the_failed_poll_does_not_end_the_pause() {
    let host = host();
    host.watch_request.notify_one();
    host.discard_watch_request();
    let mut requested = std::pin::pin!(host.watch_requested());
    let is_ready = std::future::poll_fn(|cx| std::task::Poll::Ready(requested.as_mut().poll(cx).is_ready()));
    assert!(!is_ready.await, "an earlier watch request must not count");
    host.watch_request.notify_one();
    requested.await;
}
