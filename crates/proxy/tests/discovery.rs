//! The client of discovery, without the rest of the program.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests panic on unexpected results")]

use lotusdeck_core::cordon::Cordon;
use lotusdeck_core::{Clock, Host, OptionalServices};
use lotusdeck_policy::settings::{Names, NetworkSettings, Settings};
use lotusdeck_policy::{Balancer, Config, DiscoveryMode, Micros};
use lotusdeck_proxy::discovery::{self, DiscoveryMonitor, Phase};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const SECOND: Micros = Micros(1_000_000);
/// Upper bound of each wait, which ends a test that would otherwise hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a host whose balancer never requests a poll, as it expects lists to be pushed.
fn host_that_requests_no_poll() -> Rc<Host> {
    let config = Config::example();
    assert_eq!(config.discovery, DiscoveryMode::Push);
    let network = NetworkSettings {
        connect_timeout: SECOND,
        idle_timeout: SECOND,
        max_retry_after: None,
        deadlines: vec![SECOND],
    };
    let settings = Settings { config: config.clone(), names: Names::default(), network };
    let cordon = Cordon::load(&std::env::temp_dir().join("lotusdeck-no-such-proxy"));
    let balancer = Balancer::new(config, 1).unwrap();
    Host::new(balancer, settings, Clock::new(), Vec::new(), cordon, OptionalServices::default())
}

/// Waits for the next connection and the first bytes on it.
async fn next_call(listener: &TcpListener) -> TcpStream {
    let call = async {
        let (tcp, _) = listener.accept().await.unwrap();
        tcp.readable().await.unwrap();
        tcp
    };
    tokio::time::timeout(TEST_TIMEOUT, call).await.expect("a call to discovery")
}

/// Guards against a proxy that polls no more because a poll is not requested: neither the first one nor those after a
/// failure.
#[tokio::test]
async fn discovery_is_polled_even_if_no_poll_is_requested() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mode = DiscoveryMode::Subscribe { poll_within: Micros(10_000_000) };
        let (_sender, target) = watch::channel((listener.local_addr().unwrap(), mode));
        let monitor = Rc::new(DiscoveryMonitor::default());
        let client = discovery::watch(host_that_requests_no_poll(), monitor.clone(), target, 1, None);
        tokio::task::spawn_local(client);
        for failed_polls in 0..3 {
            let call = next_call(&listener).await;
            let status = monitor.status();
            assert_eq!((status.phase, status.failed_polls), (Phase::Polling, failed_polls));
            drop(call); // closes the connection without an answer
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
