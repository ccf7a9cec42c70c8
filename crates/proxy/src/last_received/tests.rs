use super::time_since_last_data;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The resolution of the kernel's clock.
const RESOLUTION: Duration = Duration::from_millis(11);

#[test]
fn time_counts_from_the_last_data_also_before_the_connection_is_accepted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let before = Instant::now();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.write_all(b"GET /a HTTP/1.1\r\nHo").unwrap();
    // The data lies in the queue for a time that exceeds the resolution by far.
    while before.elapsed() < 10 * RESOLUTION {
        std::thread::yield_now();
    }
    let written_before = Instant::now();
    let (mut accepted, _) = listener.accept().unwrap();
    let age = time_since_last_data(&accepted).unwrap();
    assert!(age + RESOLUTION >= written_before - before && age <= before.elapsed() + RESOLUTION, "{age:?}");
    let before = Instant::now();
    peer.write_all(b"st").unwrap();
    accepted.read_exact(&mut [0; 20]).unwrap();
    let age = time_since_last_data(&accepted).unwrap();
    assert!(age <= before.elapsed() + RESOLUTION, "{age:?}");
}

#[test]
fn a_socket_that_is_not_tcp_has_no_time() {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    assert_eq!(time_since_last_data(&socket), None);
}
