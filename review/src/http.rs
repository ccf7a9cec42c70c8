//! Stand-ins for backends and discovery, and a client, in HTTP/1.1.

use crate::lab::Result;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The head of a message and its body.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message whose body has a `Content-Length` or none; `None` at the end of the stream.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let start = read_line(from).filter(|line| !line.is_empty())?;
        let mut headers = Vec::new();
        loop {
            let line = read_line(from)?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let mut message = Message { start, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        message.body.resize(length, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_string())
}

fn answer(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn serve(port: &str, respond: impl Fn(&Message) -> String + Clone + Send + 'static) {
    let listener = TcpListener::bind(format!("127.0.0.1:{port}")).expect("the port is free");
    for tcp in listener.incoming().map_while(std::result::Result::ok) {
        let respond = respond.clone();
        std::thread::spawn(move || {
            let _ = tcp.set_nodelay(true);
            let mut input = BufReader::new(tcp.try_clone().expect("a descriptor is free"));
            let mut tcp = tcp;
            while let Some(request) = Message::read(&mut input) {
                if tcp.write_all(respond(&request).as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// A backend: runs each request that has an id, and answers 200. It prints each request that it ran.
pub fn run_backend(name: &str, port: &str) {
    let name = name.to_string();
    serve(port, move |request| match request.header("x-correlation-id") {
        Some(id) => {
            println!("ran {id} {}", request.target());
            answer("200 OK", &format!("{name} ran {id}"))
        }
        None => answer("404 Not Found", ""),
    });
}

/// Discovery: one list that never changes. A watch is answered with no changes when its wait is over.
pub fn run_discovery(port: &str, list: &str) {
    let list = list.to_string();
    serve(port, move |request| {
        let parameter = |name: &str| {
            let query = request.target().split('?').nth(1)?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        if parameter("after") == Some(1) {
            std::thread::sleep(Duration::from_millis(parameter("wait_ms").unwrap_or(0).min(60_000)));
            return answer("200 OK", r#"{"index":1,"snapshot":false,"endpoints":[]}"#);
        }
        answer("200 OK", &format!(r#"{{"index":1,"snapshot":true,"endpoints":[{list}]}}"#))
    });
}

/// Returns the entry of a backend in discovery's list.
pub fn endpoint(name: &str, address: SocketAddr) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"room","type":"small","group":1,"status":"SERVING","weight":1.0,"since_ms":0}}"#
    )
}

/// A client's connection.
pub struct HttpClient {
    tcp: TcpStream,
    input: BufReader<TcpStream>,
}

impl HttpClient {
    pub fn connect(address: SocketAddr) -> Result<HttpClient> {
        let connect = || {
            let tcp = TcpStream::connect(address)?;
            tcp.set_nodelay(true)?;
            tcp.set_read_timeout(Some(Duration::from_secs(10)))?;
            let input = BufReader::new(tcp.try_clone()?);
            Ok(HttpClient { tcp, input })
        };
        connect().map_err(|error: std::io::Error| error.to_string())
    }

    /// Sends a request and returns the answer; `None` if the connection ended.
    pub fn ask(&mut self, request: &str) -> Option<Message> {
        self.tcp.write_all(request.as_bytes()).ok()?;
        Message::read(&mut self.input)
    }
}

/// Returns whether a proxy says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut client) = HttpClient::connect(address) else { return false };
    client.ask("GET /-/ready HTTP/1.1\r\nHost: proxy\r\n\r\n").is_some_and(|answer| answer.status() == 200)
}
