//! Control over the order of events: connections that are not established, waits for the states of the kernel's
//! sockets, and a stopped program.
#![allow(dead_code)]

use super::{Client, Message, Proxy, TEST_TIMEOUT};
use std::io::BufRead;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Socket states as /proc/net/tcp writes them (proc(5)).
pub(crate) const ESTABLISHED: &str = "01";
pub(crate) const SYN_SENT: &str = "02";
pub(crate) const LISTEN: &str = "0A";

/// Waits until `done` returns true; panics with `what` if it never does.
pub(crate) fn wait_until(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::yield_now();
    }
}

/// Returns the lines of /proc/net/tcp whose port in `column` (1: local, 2: remote) is that of the address.
pub(crate) fn kernel_sockets(column: usize, of: SocketAddr) -> Vec<Vec<String>> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X}", of.port());
    let fields = table.lines().skip(1).map(|line| line.split_whitespace().map(String::from).collect());
    fields.filter(|fields: &Vec<String>| fields[column].ends_with(&port)).collect()
}

/// Returns a client that has received an answer and keeps its connection open.
pub(crate) fn kept_client(proxy: &Proxy) -> Client {
    let mut client = proxy.client();
    assert_eq!(client.ask("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    client
}

/// Stops the program with SIGSTOP and waits until it has stopped.
pub(crate) fn stop_process(proxy: &Proxy) {
    proxy.signal("STOP");
    let stat = format!("/proc/{}/stat", proxy.child.id());
    wait_until("the program is stopped", || std::fs::read_to_string(&stat).unwrap().contains(") T "));
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Disconnect {
    /// It closes its socket.
    Close,
    /// It shuts down its sending side. The platform's clients do so only by closing, so the proxy does not assume
    /// that the client waits for an answer.
    ShutdownWrite,
    /// It resets the connection.
    Reset,
}

/// Disconnects a client and returns once the proxy's socket has left ESTABLISHED, which may take a while on a busy
/// machine. Returns the client if only its sending side was shut down, so that the connection stays open.
pub(crate) fn disconnect(client: Client, how: Disconnect) -> Option<Client> {
    let tcp = client.0.get_ref();
    let (own, proxy) = (tcp.local_addr().unwrap(), tcp.peer_addr().unwrap());
    let open_client = match how {
        Disconnect::Close => {
            drop(client);
            None
        }
        Disconnect::ShutdownWrite => {
            tcp.shutdown(std::net::Shutdown::Write).unwrap();
            Some(client)
        }
        Disconnect::Reset => {
            socket2::SockRef::from(tcp).set_linger(Some(Duration::ZERO)).unwrap();
            drop(client);
            None
        }
    };
    let port = format!(":{:04X}", own.port());
    let is_established = |fields: &Vec<String>| fields[2].ends_with(&port) && fields[3] == ESTABLISHED;
    wait_until("the proxy's socket has left ESTABLISHED", || {
        !kernel_sockets(1, proxy).iter().any(is_established)
    });
    open_client
}

pub(crate) const DISCONNECTS: [Disconnect; 3] =
    [Disconnect::Close, Disconnect::ShutdownWrite, Disconnect::Reset];

/// A listener with a full accept queue: connections to it are not established until the queue is emptied.
pub(crate) struct FullListener {
    listener: socket2::Socket,
    fillers: Vec<TcpStream>,
}

impl FullListener {
    pub(crate) fn new() -> FullListener {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(1).unwrap();
        let mut full = FullListener { listener, fillers: Vec::new() };
        // Uses the kernel's table, as a connection that is not established after some time may only be slow.
        let end = Instant::now() + TEST_TIMEOUT;
        while full.queued() <= 1 {
            assert!(Instant::now() < end, "the accept queue does not fill");
            full.fillers.extend(TcpStream::connect_timeout(&full.address(), TEST_TIMEOUT));
        }
        full
    }
    /// Returns how many connections wait to be accepted, which the kernel reports as the receive queue of a listening
    /// socket. While they are more than the backlog given to `listen`, it drops the SYN of any other.
    pub(crate) fn queued(&self) -> u32 {
        let listening = kernel_sockets(1, self.address()).into_iter().find(|fields| fields[3] == LISTEN);
        let listening = listening.expect("a listening socket");
        u32::from_str_radix(listening[4].split(':').nth(1).unwrap(), 16).unwrap()
    }
    /// Waits until a connection to the listener is being established (SYN_SENT).
    pub(crate) fn wait_for_connect(&self) {
        let at = self.address();
        wait_until("a connection is being established", || {
            kernel_sockets(2, at).iter().any(|fields| fields[3] == SYN_SENT)
        });
    }
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap().as_socket().unwrap()
    }
    /// Accepts and drops the filler connections, and returns the next other connection.
    pub(crate) fn accept_other(&self) -> std::io::BufReader<TcpStream> {
        let is_filler = |at: SocketAddr| self.fillers.iter().any(|f| f.local_addr().unwrap() == at);
        loop {
            let tcp: TcpStream = self.listener.accept().unwrap().0.into();
            if !tcp.peer_addr().is_ok_and(is_filler) {
                tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                return std::io::BufReader::new(tcp);
            }
        }
    }
    /// Returns the first request on any connection, and skips connections that were abandoned without a byte.
    pub(crate) fn first_request(&self) -> Message {
        loop {
            let mut peer = self.accept_other();
            if !peer.fill_buf().unwrap_or_default().is_empty() {
                return Message::read(&mut peer).expect("a complete request");
            }
        }
    }
}
