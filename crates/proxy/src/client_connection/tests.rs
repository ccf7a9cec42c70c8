//! When a connection to a client that is sent a large answer is cut.

use super::*;
use crate::stream::Stream;
use hyper::rt::Write as _;
use std::future::poll_fn;
use std::io::Read as _;
use std::pin::Pin;
use std::task::Poll;
use tokio::net::TcpStream;

const LONG_PAUSE: Duration = Duration::from_secs(30);

/// Returns a client to which a large answer is being sent, and its end of the connection.
async fn streaming_client() -> (Rc<Client>, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let clients = crate::clients::Clients::default();
    let client = Rc::new(Client::new(clients.next_id(), Stream::new(tcp), clients.counts.clone()));
    clients.insert(client.clone());
    client.record_valid_request();
    client.is_busy.set(true);
    client.is_streaming.set(true);
    (client, listener.accept().unwrap().0)
}

/// Writes to the client until it would have to read first.
async fn write_until_blocked(client: &Client) {
    let mut stream = client.stream.clone();
    loop {
        let written = poll_fn(|cx| Poll::Ready(Pin::new(&mut stream).poll_write(cx, &[0; 65_536]))).await;
        match written {
            Poll::Ready(written) => assert!(written.unwrap() > 0),
            Poll::Pending => return,
        }
        tokio::task::yield_now().await;
    }
}

/// Guards against a sound answer that is cut off as unread by its client, since its backend paused for long.
#[tokio::test(start_paused = true)]
async fn the_pauses_of_a_backend_do_not_count_as_those_of_its_client() {
    let (client, _peer) = streaming_client().await;
    assert!(matches!(timer_action(&client), TimerAction::CheckAgainAt(_)));
    tokio::time::advance(LONG_PAUSE).await;
    assert!(matches!(timer_action(&client), TimerAction::CheckAgainAt(_)));
}

#[tokio::test(start_paused = true)]
async fn a_client_that_does_not_read_its_answer_is_cut() {
    let (client, mut peer) = streaming_client().await;
    write_until_blocked(&client).await;
    tokio::time::advance(ANSWER_READ_TIMEOUT - BUSY_CHECK_DELAY).await;
    assert!(matches!(timer_action(&client), TimerAction::CheckAgainAt(_)));
    let mut part = vec![0; 8 << 20];
    let mut stream = client.stream.clone();
    while poll_fn(|cx| Poll::Ready(Pin::new(&mut stream).poll_write(cx, &[0; 65_536]))).await.is_pending() {
        assert!(peer.read(&mut part).unwrap() > 0);
        tokio::task::yield_now().await;
    }
    write_until_blocked(&client).await;
    tokio::time::advance(ANSWER_READ_TIMEOUT - BUSY_CHECK_DELAY).await;
    assert!(matches!(timer_action(&client), TimerAction::CheckAgainAt(_)), "it has read meanwhile");
    tokio::time::advance(BUSY_CHECK_DELAY).await;
    assert!(matches!(timer_action(&client), TimerAction::Cut));
}
