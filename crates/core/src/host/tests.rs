//! What is asked at the first byte of an attempt, and what is left of a request and a backend that are over.

use super::{Host, OptionalServices};
use crate::cordon::Cordon;
use crate::exchange::{AttemptContext, AttemptFuture, Exchange};
use crate::registry::Endpoint;
use crate::Clock;
use lotusdeck_policy::settings::{EndpointRecord, Names, NetworkSettings, Settings};
use lotusdeck_policy::{
    Arrival, AttemptNo, Backend, BackendId, BackendState, Balancer, ClassId, Config, ListUpdate, Micros,
    RequestId, SideEffects,
};
use std::net::SocketAddr;
use std::rc::Rc;

/// A request that stays out until it is given up.
struct Endless;

impl Exchange for Endless {
    fn send_attempt(self: Rc<Self>, _: AttemptContext) -> AttemptFuture {
        Box::pin(std::future::pending())
    }
    fn body_consumed(&self) -> bool {
        false
    }
    fn answer_status(&self, _: AttemptNo) -> Option<u16> {
        None
    }
}

/// Each thing that may change while a connection comes up stops the send: the list, the request's end,
/// and the end of the time in which a keyed repeat is dropped.
#[tokio::test]
async fn the_first_byte_waits_for_list_request_and_window() {
    let second = Micros(1_000_000);
    let settings = Settings {
        config: Config::example(),
        names: Names::default(),
        network: NetworkSettings {
            connect_timeout: second,
            idle_timeout: second,
            max_retry_after: Some(second),
            deadlines: vec![second],
        },
    };
    let balancer = Balancer::new(Config::example(), 1).unwrap();
    let none = std::env::temp_dir().join("lotusdeck-no-such-proxy");
    let host = Host::new(
        balancer,
        settings,
        Clock::new(),
        Vec::new(),
        Cordon::load(&none),
        OptionalServices::default(),
    );
    let at = |state, port: u16| {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let row =
            EndpointRecord::new("b", &address.to_string(), "", "", Backend { state, ..Backend::default() });
        vec![Endpoint { name: "b".into(), address, state, row }]
    };
    let news = |state| at(state, 9);
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            host.update_endpoints(ListUpdate::Changes, news(BackendState::Ready));
            let arrival = Arrival {
                request: RequestId(0),
                class: ClassId(0),
                tenant: None,
                time_left: Micros(60_000_000),
                work_hint: None,
                is_client_retry: false,
                body_incomplete: false,
            };
            let (id, _wait) = host.submit(arrival, Rc::new(Endless), SideEffects::None, || unreachable!());
            let (now, b) = (host.clock.now(), (BackendId(0), SocketAddr::from(([127, 0, 0, 1], 9))));
            assert!(host.may_send(id, b, None) && host.may_send(id, b, Some(now + Micros(60_000_000))));
            assert!(!host.may_send(id, b, Some(now)), "the window is over");
            assert!(!host.may_send(RequestId(99), b, None), "the request is over");
            host.update_endpoints(ListUpdate::Changes, at(BackendState::Ready, 10));
            assert!(!host.may_send(id, b, None), "the backend is elsewhere, and another may be there");
            host.update_endpoints(ListUpdate::Changes, news(BackendState::Ready));
            assert!(host.may_send(id, b, None));
            host.update_endpoints(ListUpdate::Changes, news(BackendState::Draining));
            assert!(!host.may_send(id, b, None), "the backend drains");
            host.client_disconnected(id);
            assert!(host.state.borrow().attempts.is_empty(), "nothing is out for a client that left");
            host.update_endpoints(ListUpdate::Changes, news(BackendState::Removed));
            let s = host.state.borrow();
            assert!(s.registry.is_empty(), "one that is gone is forgotten");
        })
        .await;
}
