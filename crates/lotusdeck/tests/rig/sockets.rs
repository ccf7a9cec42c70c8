//! Orders forced by the kernel's own table of sockets: connections that do not come up, ends that have arrived, a
//! program that is held still.
#![allow(dead_code)]

use super::{Client, Message, Proxy, PATIENCE};
use std::io::BufRead;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How the kernel's table of sockets (proc(5), /proc/net/tcp) tells states.
pub(crate) const ESTABLISHED: &str = "01";
pub(crate) const SYN_SENT: &str = "02";
pub(crate) const LISTEN: &str = "0A";

/// Waits for what the kernel does by itself.
pub(crate) fn until(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::yield_now();
    }
}

/// The kernel's table of sockets: the lines whose own or other port, by the column, is that of the address.
pub(crate) fn kernel_sockets(column: usize, of: SocketAddr) -> Vec<Vec<String>> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X}", of.port());
    let fields = table.lines().skip(1).map(|line| line.split_whitespace().map(String::from).collect());
    fields.filter(|fields: &Vec<String>| fields[column].ends_with(&port)).collect()
}

/// A client that was answered on the connection that it keeps.
pub(crate) fn kept(proxy: &Proxy) -> Client {
    let mut client = proxy.client();
    assert_eq!(client.ask("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    client
}

/// Holds the program still, and waits until it is.
pub(crate) fn hold(proxy: &Proxy) {
    proxy.signal("STOP");
    let stat = format!("/proc/{}/stat", proxy.child.id());
    until("it stops", || std::fs::read_to_string(&stat).unwrap().contains(") T "));
}

/// How a client goes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Leaves {
    /// It closes.
    Closes,
    /// It ends its sending, which the platform's clients do by closing: nobody is taken to wait for an answer.
    EndsSending,
    /// Its machine sends a reset.
    Resets,
}

/// Returns once the kernel has heard of it at the proxy's end, which on a busy machine takes its time. The connection is
/// held on to where only its sending has ended.
pub(crate) fn leave(client: Client, how: Leaves) -> Option<Client> {
    let tcp = client.0.get_ref();
    let (own, proxy) = (tcp.local_addr().unwrap(), tcp.peer_addr().unwrap());
    let kept = match how {
        Leaves::Closes => {
            drop(client);
            None
        }
        Leaves::EndsSending => {
            tcp.shutdown(std::net::Shutdown::Write).unwrap();
            Some(client)
        }
        Leaves::Resets => {
            socket2::SockRef::from(tcp).set_linger(Some(Duration::ZERO)).unwrap();
            drop(client);
            None
        }
    };
    let port = format!(":{:04X}", own.port());
    let stands = |fields: &Vec<String>| fields[2].ends_with(&port) && fields[3] == ESTABLISHED;
    until("the proxy's end hears of it", || !kernel_sockets(1, proxy).iter().any(stands));
    kept
}

pub(crate) const WAYS: [Leaves; 3] = [Leaves::Closes, Leaves::EndsSending, Leaves::Resets];

/// A listener to which connections do not come up until its queue is emptied.
pub(crate) struct Unreached {
    listener: socket2::Socket,
    fillers: Vec<TcpStream>,
}

impl Unreached {
    pub(crate) fn new() -> Unreached {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(1).unwrap();
        let mut unreached = Unreached { listener, fillers: Vec::new() };
        // Full by the kernel's own count: one that does not come up in some time may only be slow to.
        let end = Instant::now() + PATIENCE;
        while unreached.queued() <= 1 {
            assert!(Instant::now() < end, "the queue does not fill");
            unreached.fillers.extend(TcpStream::connect_timeout(&unreached.address(), PATIENCE));
        }
        unreached
    }
    /// Connections that wait to be accepted: what the kernel tells as the listening socket's queue of bytes read. It
    /// drops the first segment of others while there are more than `listen` was told.
    pub(crate) fn queued(&self) -> u32 {
        let own = kernel_sockets(1, self.address()).into_iter().find(|fields| fields[3] == LISTEN);
        let own = own.expect("a listening socket");
        u32::from_str_radix(own[4].split(':').nth(1).unwrap(), 16).unwrap()
    }
    /// Waits until a connection to it is being made and has not come up.
    pub(crate) fn called(&self) {
        let at = self.address();
        until("a connection on its way", || kernel_sockets(2, at).iter().any(|fields| fields[3] == SYN_SENT));
    }
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap().as_socket().unwrap()
    }
    /// Takes the fillers out of the way; the next connection that was held back.
    pub(crate) fn reached(&self) -> std::io::BufReader<TcpStream> {
        let fills = |at: SocketAddr| self.fillers.iter().any(|f| f.local_addr().unwrap() == at);
        loop {
            let tcp: TcpStream = self.listener.accept().unwrap().0.into();
            if !tcp.peer_addr().is_ok_and(fills) {
                tcp.set_read_timeout(Some(PATIENCE)).unwrap();
                return std::io::BufReader::new(tcp);
            }
        }
    }
    /// The first request that comes, on whichever connection; one that is closed with not a byte on it was given up.
    pub(crate) fn first_request(&self) -> Message {
        loop {
            let mut peer = self.reached();
            if !peer.fill_buf().unwrap_or_default().is_empty() {
                return Message::read(&mut peer).expect("a whole request");
            }
        }
    }
}
