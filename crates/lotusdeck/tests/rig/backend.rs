//! Backends with prepared replies, which report connections and requests to the test.

use super::message::Message;
use super::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::time::Duration;

/// How a backend replies to a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Answers with a status, a header line (or none, if empty) and a body.
    Answer(u16, &'static str, String),
    /// Answers with a status and a body, and closes the connection without a `Connection: close` header.
    AnswerAndClose(u16, String),
    /// Writes these texts, each in a separate segment, and leaves the connection open.
    Pieces(Vec<String>),
    /// Writes these texts, each in a separate segment, and closes the connection.
    PiecesAndClose(Vec<String>),
    /// Writes these texts, each after a pause.
    Timed(Vec<(Duration, String)>),
    /// Writes these texts, each after a pause, and closes the connection.
    TimedAndClose(Vec<(Duration, String)>),
    /// Writes the first text, and the second once the gate opens.
    Paused(String, Arc<Gate>, String),
    /// Closes the connection after the whole request, without an answer.
    Reset,
    /// Sends nothing; the connection stays open until the proxy closes it.
    Silence,
    /// Answers 200 once the gate opens.
    Gate(Arc<Gate>),
    /// Closes the connection once the gate opens, without an answer.
    GateReset(Arc<Gate>),
}

pub(crate) fn ok(body: &str) -> Reply {
    Reply::Answer(200, "", body.into())
}

/// Blocks every thread that waits for it until it is opened.
#[derive(Debug, Default)]
pub(crate) struct Gate(Mutex<bool>, Condvar);

impl Gate {
    pub(crate) fn open(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }
    pub(crate) fn wait(&self) {
        let _ = self.1.wait_timeout_while(self.0.lock().unwrap(), TEST_TIMEOUT, |open| !*open).unwrap();
    }
}

#[derive(Debug)]
pub(crate) enum BackendEvent {
    Connected,
    Request(Message),
    /// A connection was closed by either side.
    Closed,
}

pub(crate) struct BackendServer {
    pub address: SocketAddr,
    pub events: mpsc::Receiver<BackendEvent>,
    pub connections: Arc<AtomicU32>,
    pub requests: Arc<AtomicU32>,
    /// Requests whose [`Reply`] is complete.
    pub answered: Arc<AtomicU32>,
}

impl BackendServer {
    /// Starts a backend whose reply depends on how many requests came before.
    pub(crate) fn start(reply: impl Fn(u32) -> Reply + Send + Sync + 'static) -> BackendServer {
        BackendServer::listen(move |number, _| reply(number))
    }

    /// Starts a backend whose reply depends on the request.
    pub(crate) fn by_request(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> BackendServer {
        BackendServer::listen(move |_, request| reply(request))
    }

    fn listen(reply: impl Fn(u32, &Message) -> Reply + Send + Sync + 'static) -> BackendServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (event_sender, events) = mpsc::channel();
        let (connections, requests) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let answered = Arc::new(AtomicU32::new(0));
        let done = answered.clone();
        let (opened, count, reply) = (connections.clone(), requests.clone(), Arc::new(reply));
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                opened.fetch_add(1, Ordering::SeqCst);
                let _ = event_sender.send(BackendEvent::Connected);
                let (event_sender, count, reply) = (event_sender.clone(), count.clone(), reply.clone());
                let done = done.clone();
                std::thread::spawn(move || serve_connection(tcp, &event_sender, [&count, &done], &*reply));
            }
        });
        BackendServer { address, events, connections, requests, answered }
    }

    /// Waits for the next request.
    pub(crate) fn next_request(&self) -> Message {
        loop {
            if let BackendEvent::Request(message) =
                self.events.recv_timeout(TEST_TIMEOUT).expect("a request at the backend")
            {
                return message;
            }
        }
    }

    /// Waits until a connection ends.
    pub(crate) fn wait_for_close(&self) {
        while !matches!(
            self.events.recv_timeout(TEST_TIMEOUT).expect("a closed connection"),
            BackendEvent::Closed
        ) {}
    }

    pub(crate) fn count(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve_connection(
    tcp: TcpStream, event_sender: &mpsc::Sender<BackendEvent>, [count, answered]: [&AtomicU32; 2],
    reply: &dyn Fn(u32, &Message) -> Reply,
) {
    let mut reader = BufReader::new(tcp.try_clone().unwrap());
    let mut out = tcp;
    while let Some(message) = Message::read(&mut reader) {
        let number = count.fetch_add(1, Ordering::SeqCst);
        let reply = reply(number, &message);
        let _ = event_sender.send(BackendEvent::Request(message));
        let keep_open = write_reply(&mut out, reply);
        answered.fetch_add(1, Ordering::SeqCst);
        if !keep_open {
            break;
        }
    }
    let _ = event_sender.send(BackendEvent::Closed);
}

/// Writes an answer with a status, a header line (or none, if empty) and a body; returns whether it was written.
fn write_answer(out: &mut TcpStream, status: u16, header: &str, body: &str) -> bool {
    let line = if header.is_empty() { String::new() } else { format!("{header}\r\n") };
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\n{line}Content-Length: {length}\r\n\r\n{body}");
    out.write_all(text.as_bytes()).is_ok()
}

/// Writes texts, each after its pause; returns whether all were written.
fn write_timed(out: &mut TcpStream, pieces: &[(Duration, String)]) -> bool {
    pieces.iter().all(|(pause, piece)| {
        std::thread::sleep(*pause);
        out.write_all(piece.as_bytes()).is_ok()
    })
}

/// Carries out a reply and returns whether the connection stays open.
fn write_reply(out: &mut TcpStream, reply: Reply) -> bool {
    match reply {
        Reply::Answer(status, header, body) => write_answer(out, status, header, &body),
        Reply::AnswerAndClose(status, body) => {
            write_answer(out, status, "", &body);
            let _ = out.shutdown(std::net::Shutdown::Both);
            false
        }
        Reply::Pieces(pieces) => {
            out.set_nodelay(true).unwrap();
            pieces.iter().all(|piece| out.write_all(piece.as_bytes()).is_ok())
        }
        Reply::PiecesAndClose(pieces) => {
            out.set_nodelay(true).unwrap();
            pieces.iter().for_each(|piece| drop(out.write_all(piece.as_bytes())));
            false
        }
        Reply::Paused(first, gate, rest) => {
            let first_sent = out.write_all(first.as_bytes()).is_ok();
            gate.wait();
            first_sent && out.write_all(rest.as_bytes()).is_ok()
        }
        Reply::Timed(pieces) => write_timed(out, &pieces),
        Reply::TimedAndClose(pieces) => {
            write_timed(out, &pieces);
            false
        }
        Reply::Reset => false,
        Reply::Silence => true,
        Reply::GateReset(gate) => {
            gate.wait();
            false
        }
        Reply::Gate(gate) => {
            gate.wait();
            write_answer(out, 200, "", "gated")
        }
    }
}

/// A bound port without a listener: connections to it are refused until this is dropped.
pub(crate) struct RefusingPort(socket2::Socket);

impl RefusingPort {
    pub(crate) fn new() -> RefusingPort {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        RefusingPort(socket)
    }
    pub(crate) fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap().as_socket().unwrap()
    }
}
