//! Tests of the pool on real connections.

use super::*;
use crate::attempt::{AttemptId, AttemptTerms, Destination};
use crate::forwarded_request::{ForwardedHead, ForwardedRequest};
use crate::header_block::HeaderBlock;
use crate::upload::RequestBody;
use bytes::Bytes;
use hyper::{Method, Uri};
use lotusdeck_core::ConnectionPools;
use lotusdeck_policy::{AttemptNo, Micros, RequestId};
use std::io::{Read, Write};

fn pool(max_connections: usize) -> Rc<ConnectionPool> {
    let (connect_timeout, idle_timeout) = (Micros(5_000_000), Micros(60_000_000));
    let network =
        NetworkSettings { connect_timeout, idle_timeout, max_retry_after: None, deadlines: Vec::new() };
    let pool =
        Rc::new(ConnectionPool::new(&network, BodyBudget::new(1 << 20), SharedStallTimeouts::default()));
    pool.set_connection_limit(max_connections);
    pool
}

fn request() -> ForwardedRequest {
    let uri = Uri::from_static("/pay/k");
    ForwardedRequest {
        head: ForwardedHead { method: Method::POST, uri, headers: HeaderBlock::default() },
        body: RequestBody::Buffered(Bytes::from_static(b"cash")),
    }
}

fn terms() -> AttemptTerms {
    let deadline = Instant::now() + Duration::from_secs(20);
    let id = AttemptId { request: RequestId(1), attempt: AttemptNo(0) };
    let report_progress = Rc::new(|_| ());
    AttemptTerms { id, deadline, answer_by: deadline, early_answer: Rc::default(), report_progress }
}

/// Guards against a request that is sent to a backend that began to drain while the connection was being established.
#[tokio::test]
async fn a_backend_that_drains_while_connecting_is_sent_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (pool, address) = (pool(4), listener.local_addr().unwrap());
    let to = Destination { backend: BackendId(0), address };
    let closed_gate = Box::new(|| false);
    let withheld = pool.attempt(to, &request(), terms(), std::future::ready(true), closed_gate).await;
    assert_eq!(withheld.outcome, Outcome::NeverSent);
    let open_gate = Box::new(|| true);
    let unjournaled = pool.attempt(to, &request(), terms(), std::future::ready(false), open_gate).await;
    assert_eq!(unjournaled.outcome, Outcome::NeverSent, "the attempt is not in the journal");
    let mut peer = listener.accept().unwrap().0;
    drop(pool);
    let mut received = Vec::new();
    peer.read_to_end(&mut received).unwrap();
    assert!(received.is_empty(), "{received:?}");
}

/// Guards against a request that must not run twice being sent on an idle connection that the backend closed while the
/// journal was writing.
#[tokio::test]
async fn an_idle_connection_is_checked_when_it_is_reused() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (pool, address) = (pool(4), listener.local_addr().unwrap());
    pool.retain_backends(&HashSet::from([BackendId(0)]));
    pool.return_idle(BackendId(0), pool.connect(address).await.ok().unwrap());
    let idle_peer = listener.accept().unwrap().0;
    let backend = std::thread::spawn(move || {
        let mut peer = listener.accept().unwrap().0;
        let mut buffer = [0; 512];
        let mut read = 0;
        while !buffer[..read].ends_with(b"cash") {
            read += peer.read(&mut buffer[read..]).unwrap();
        }
        peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    });
    tokio::time::sleep(REUSE_DELAY).await;
    let journaled = async {
        drop(idle_peer);
        true
    };
    let result = pool
        .attempt(
            Destination { backend: BackendId(0), address },
            &request(),
            terms(),
            journaled,
            Box::new(|| true),
        )
        .await;
    assert_eq!(result.outcome, Outcome::Success);
    backend.join().unwrap();
}

/// Guards against a failure at the connection limit that is attributed to the backend, and against one although an idle
/// connection could be closed.
#[tokio::test]
async fn at_the_connection_limit_an_idle_connection_is_closed_for_a_new_one() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (pool, address) = (pool(1), listener.local_addr().unwrap());
    let busy = pool.connect(address).await.ok().unwrap();
    let refused = pool.connect(address).await.err();
    assert_eq!((refused, pool.open_connections()), (Some(Outcome::NeverSent), 1));
    pool.retain_backends(&HashSet::from([BackendId(0)]));
    pool.return_idle(BackendId(0), busy);
    let other = pool.connect(address).await;
    assert!(other.is_ok() && pool.open_connections() == 1);
    drop(other);
    assert_eq!(pool.open_connections(), 0);
}
