//! The eviction order, on real connections from which bytes are read only where a test reads them.

use super::*;
use crate::eviction_order::{SILENT_CONNECTION_AGE, STALLED_HEAD_AGE};
use hyper::rt::{Read, ReadBuf};
use std::future::poll_fn;
use std::io::Write;
use std::net::TcpStream as Peer;
use std::pin::Pin;
use std::time::Duration;
use tokio::net::TcpStream;

/// The limit on open connections in these tests.
const MAX_CLIENTS: usize = 1000;

/// The open connections, and the listener that accepts the clients' ends of them.
struct ClientTable {
    clients: Clients,
    listener: std::net::TcpListener,
}

impl ClientTable {
    fn new() -> ClientTable {
        ClientTable {
            clients: Clients::default(),
            listener: std::net::TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    async fn connect(&self) -> (Rc<Client>, Peer) {
        let tcp = TcpStream::connect(self.listener.local_addr().unwrap()).await.unwrap();
        let counts = self.clients.counts.clone();
        let stream = crate::stream::Stream::new(tcp);
        let client = Rc::new(Client::new(self.clients.next_id(), stream, counts));
        self.clients.insert(client.clone());
        (client, self.listener.accept().unwrap().0)
    }

    /// Opens a connection that has been served and waits for its next request.
    async fn connect_served(&self) -> (Rc<Client>, Peer) {
        let (client, peer) = self.connect().await;
        client.record_valid_request();
        client.idle_since.set(Instant::now());
        self.clients.record_answered(&client);
        (client, peer)
    }

    fn evict_next(&self) -> Option<ClientId> {
        match self.clients.choose_evicted(Instant::now(), MAX_CLIENTS) {
            EvictionChoice::Evicted(client) => Some(client.id),
            EvictionChoice::NoneEligible => None,
            EvictionChoice::Unfinished => panic!("a few connections need only one turn"),
        }
    }
}

/// Reads from a connection, as the event loop does when bytes have arrived.
async fn read(client: &Client) {
    let mut stream = client.stream.clone();
    let mut storage = [0; 64];
    let mut buffer = ReadBuf::new(&mut storage);
    poll_fn(|cx| Pin::new(&mut stream).poll_read(cx, buffer.unfilled())).await.unwrap();
}

/// Sends part of a head, and returns when the kernel has it on the proxy's side.
async fn send_part(client: &Client, peer: &mut Peer) {
    peer.write_all(b"GET /a HTTP/1.1\r\nHo").unwrap();
    while !client.stream.has_kernel_bytes() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test(start_paused = true)]
async fn silent_connections_are_evicted_before_idle_clients_and_the_youngest_last() {
    let table = ClientTable::new();
    let (between, _a) = table.connect_served().await;
    let (partial, mut b) = table.connect().await;
    send_part(&partial, &mut b).await;
    read(&partial).await;
    let (silent, _c) = table.connect().await;
    tokio::time::advance(STALLED_HEAD_AGE).await;
    let (young, _d) = table.connect().await;
    let order: Vec<Option<ClientId>> = (0..5).map(|_| table.evict_next()).collect();
    let expected = [Some(silent.id), Some(partial.id), Some(between.id), Some(young.id), None];
    assert_eq!(order, expected);
    assert_eq!(
        (table.clients.counts.total(), table.clients.len()),
        (0, 4),
        "asked to close, but not ended yet"
    );
}

#[tokio::test(start_paused = true)]
async fn a_connection_with_bytes_unread_or_a_request_open_is_never_chosen() {
    let table = ClientTable::new();
    let (unread, mut a) = table.connect_served().await;
    let (busy, _b) = table.connect_served().await;
    tokio::time::advance(STALLED_HEAD_AGE).await;
    send_part(&unread, &mut a).await;
    busy.is_busy.set(true);
    assert_eq!(table.evict_next(), None);
    // Once its bytes are read and no more arrive, the connection is evicted after `STALLED_HEAD_AGE`. The answer on
    // the other one has ended meanwhile.
    read(&unread).await;
    busy.is_busy.set(false);
    busy.idle_since.set(Instant::now());
    table.clients.record_answered(&busy);
    tokio::time::advance(STALLED_HEAD_AGE).await;
    assert_eq!([table.evict_next(), table.evict_next()], [Some(unread.id), Some(busy.id)]);
}

#[tokio::test(start_paused = true)]
async fn a_head_that_makes_progress_is_spared_and_a_stalled_one_is_evicted() {
    let table = ClientTable::new();
    let (slow, mut a) = table.connect().await;
    let (stalled, mut b) = table.connect().await;
    for (client, peer) in [(&slow, &mut a), (&stalled, &mut b)] {
        send_part(client, peer).await;
        read(client).await;
    }
    tokio::time::advance(STALLED_HEAD_AGE / 2).await;
    send_part(&slow, &mut a).await;
    read(&slow).await;
    tokio::time::advance(STALLED_HEAD_AGE / 2).await;
    assert_eq!([table.evict_next(), table.evict_next()], [Some(stalled.id), None]);
}

#[tokio::test(start_paused = true)]
async fn many_stalled_connections_are_evicted_by_one_check_each() {
    let table = ClientTable::new();
    let mut connections = Vec::new();
    for _ in 0..200 {
        let (client, mut peer) = table.connect().await;
        send_part(&client, &mut peer).await;
        read(&client).await;
        connections.push((client, peer));
    }
    tokio::time::advance(STALLED_HEAD_AGE + Duration::from_millis(1)).await;
    for (client, _) in &connections {
        assert_eq!(table.evict_next(), Some(client.id), "the one that stopped first");
    }
    // Each got a rank twice: when it was accepted, and when it was found to have sent part of a head.
    assert_eq!(table.clients.reclassified.get(), 400);
}

#[tokio::test(start_paused = true)]
async fn counts_follow_first_requests_evictions_and_ends() {
    let table = ClientTable::new();
    let (active, _a) = table.connect_served().await;
    let (silent, _b) = table.connect().await;
    let counts = || {
        (
            table.clients.counts.total(),
            table.clients.counts.with_request(),
            table.clients.counts.without_request(),
        )
    };
    assert_eq!(counts(), (2, 1, 1));
    tokio::time::advance(SILENT_CONNECTION_AGE).await;
    assert_eq!(table.evict_next(), Some(silent.id));
    assert_eq!(counts(), (1, 1, 0));
    silent.record_valid_request(); // its request arrives too late: it is counted as closing once
    table.clients.remove(&silent);
    table.clients.remove(&active);
    assert_eq!(counts(), (0, 0, 0));
    table.clients.record_answered(&active); // an answer that ends after its connection adds no rank
    assert_eq!((table.clients.len(), table.evict_next()), (0, None));
}
