//! A discovery service whose answers the test provides.

use super::message::Message;
use super::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::Duration;

/// A discovery service. Passes the request line of each call to the test, which sends back a status and a body. With
/// status 0 the text is written unchanged, and further texts may follow for the same call.
pub(crate) struct DiscoveryServer {
    pub address: SocketAddr,
    calls: mpsc::Receiver<(String, mpsc::Sender<(u16, String)>)>,
}

impl DiscoveryServer {
    pub(crate) fn start() -> DiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (call_sender, calls) = mpsc::channel();
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                let call_sender: mpsc::Sender<_> = call_sender.clone();
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(tcp.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut reader) {
                        let (answer_sender, answers) = mpsc::channel::<(u16, String)>();
                        if call_sender.send((message.start_line, answer_sender)).is_err() {
                            return;
                        }
                        let (status, body) = loop {
                            match answers.recv() {
                                Ok((0, raw)) if tcp.write_all(raw.as_bytes()).is_ok() => {}
                                Ok((0, _)) | Err(_) => return,
                                Ok(answer) => break answer,
                            }
                        };
                        let length = body.len();
                        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n");
                        if tcp.write_all((head + &body).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        DiscoveryServer { address, calls }
    }

    /// Waits for the next call; returns its request line and the sender for its answer.
    pub(crate) fn next_call(&self) -> (String, mpsc::Sender<(u16, String)>) {
        self.try_next_call(TEST_TIMEOUT).expect("a call to discovery")
    }

    /// Waits for the next call; returns `None` if there is none within `time`.
    pub(crate) fn try_next_call(&self, time: Duration) -> Option<(String, mpsc::Sender<(u16, String)>)> {
        self.calls.recv_timeout(time).ok()
    }
}
