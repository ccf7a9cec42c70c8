//! Tests of the pool on real connections.

use super::*;
use crate::attempt::{Destination, ForwardedRequest};
use crate::upload::RequestBody;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use lotusdeck_core::ConnectionPools;
use lotusdeck_policy::Micros;
use std::io::{Read, Write};

fn pool(max: usize) -> Rc<ConnectionPool> {
    let (connect_timeout, conn_idle) = (Micros(5_000_000), Micros(60_000_000));
    let network = NetworkSettings {
        connect_timeout,
        idle_timeout: conn_idle,
        max_retry_after: None,
        deadlines: Vec::new(),
    };
    let pool =
        Rc::new(ConnectionPool::new(&network, BodyBudget::new(1 << 20), SharedStallTimeouts::default()));
    pool.set_connection_limit(max);
    pool
}

fn request() -> ForwardedRequest {
    let uri = Uri::from_static("/pay/k");
    ForwardedRequest {
        method: Method::POST,
        uri,
        headers: HeaderMap::new(),
        body: RequestBody::Buffered(Bytes::from_static(b"cash")),
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// The backend begins to drain while the connection is being established: no byte is sent on it.
#[tokio::test]
async fn a_backend_that_drains_while_connecting_is_sent_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (pool, to) = (pool(4), listener.local_addr().unwrap());
    let to = Destination { backend: BackendId(0), address: to };
    let closed = Box::new(|| false);
    let ended = pool.attempt(to, &request(), soon(), std::future::ready(true), closed).await;
    assert_eq!(ended.outcome, Outcome::NeverSent);
    let open = Box::new(|| true);
    let unsafe_to_send = pool.attempt(to, &request(), soon(), std::future::ready(false), open).await;
    assert_eq!(unsafe_to_send.outcome, Outcome::NeverSent, "not written down yet");
    let mut peer = listener.accept().unwrap().0;
    drop(pool);
    let mut got = Vec::new();
    peer.read_to_end(&mut got).unwrap();
    assert!(got.is_empty(), "{got:?}");
}

/// The backend closes an idle connection while the journal writes: a request that must not run twice is sent on
/// another one.
#[tokio::test]
async fn an_idle_connection_is_checked_when_it_is_reused() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (pool, to) = (pool(4), listener.local_addr().unwrap());
    pool.retain_backends(&HashSet::from([BackendId(0)]));
    pool.return_idle(BackendId(0), pool.connect(to).await.ok().unwrap());
    let kept = listener.accept().unwrap().0;
    let answers = std::thread::spawn(move || {
        let mut peer = listener.accept().unwrap().0;
        let mut got = [0; 512];
        let mut read = 0;
        while !got[..read].ends_with(b"cash") {
            read += peer.read(&mut got[read..]).unwrap();
        }
        peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    });
    tokio::time::sleep(REUSE_DELAY).await;
    let cleared = async {
        drop(kept);
        true
    };
    let ended = pool
        .attempt(
            Destination { backend: BackendId(0), address: to },
            &request(),
            soon(),
            cleared,
            Box::new(|| true),
        )
        .await;
    assert_eq!(ended.outcome, Outcome::Success);
    answers.join().unwrap();
}

/// At the limit the failure is not attributed to the backend, and an idle connection to another backend is closed
/// first.
#[tokio::test]
async fn at_the_connection_limit_an_idle_connection_is_closed_for_a_new_one() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (pool, to) = (pool(1), listener.local_addr().unwrap());
    let busy = pool.connect(to).await.ok().unwrap();
    let refused = pool.connect(to).await.err();
    assert_eq!((refused, pool.open_connections()), (Some(Outcome::NeverSent), 1));
    pool.retain_backends(&HashSet::from([BackendId(0)]));
    pool.return_idle(BackendId(0), busy);
    let other = pool.connect(to).await;
    assert!(other.is_ok() && pool.open_connections() == 1);
    drop(other);
    assert_eq!(pool.open_connections(), 0);
}
