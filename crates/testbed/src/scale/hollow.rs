//! Hollow proxies: they poll discovery like a real proxy, parse and store every line, and serve no requests.
//! Hundreds to thousands of them share a process.

use crate::world::discovery::Status;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time that a long poll waits for changes, as in a real proxy.
const WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed call.
const BACKOFF: Duration = Duration::from_millis(200);
/// Longest list that is read, bytes, as in a real proxy.
const MAX_LIST: usize = 4 * 1024 * 1024;
/// Largest number of headers of an answer.
const MAX_HEADERS: usize = 16;

/// Why a call failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    #[error("invalid answer from discovery: {0}")]
    Unreadable(String),
}

#[derive(Deserialize)]
struct List<'a> {
    index: u64,
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<Entry<'a>>,
}

#[derive(Deserialize)]
struct Entry<'a> {
    name: &'a str,
    status: &'a str,
}

/// The stored list: the state of each backend by the hash of its name.
#[derive(Default)]
struct Held(HashMap<u64, Status>);

impl Held {
    fn apply(&mut self, list: &List<'_>) {
        if list.snapshot {
            self.0.clear();
        }
        for entry in &list.endpoints {
            let name = xxhash_rust::xxh3::xxh3_64(entry.name.as_bytes());
            match entry.status {
                "SERVING" => self.0.insert(name, Status::Serving),
                "DRAINING" => self.0.insert(name, Status::Draining),
                _ => self.0.remove(&name),
            };
        }
    }
}

/// Polls discovery until the future is dropped.
pub async fn follow(discovery: SocketAddr) {
    let mut held = Held::default();
    loop {
        // The error needs no handling: after a pause the next connection polls again.
        let _ = follow_connection(discovery, &mut held).await;
        tokio::time::sleep(BACKOFF).await;
    }
}

async fn follow_connection(discovery: SocketAddr, held: &mut Held) -> Result<(), CallError> {
    let mut tcp = TcpStream::connect(discovery).await?;
    tcp.set_nodelay(true)?;
    let mut target = String::from("/api/targets");
    loop {
        let request = format!("GET {target} HTTP/1.1\r\nhost: {discovery}\r\n\r\n");
        tcp.write_all(request.as_bytes()).await?;
        let body = read_answer(&mut tcp).await?;
        let list: List<'_> =
            serde_json::from_slice(&body).map_err(|error| CallError::Unreadable(error.to_string()))?;
        held.apply(&list);
        target = format!("/api/targets?after={}&wait_ms={}", list.index, WAIT.as_millis());
    }
}

async fn read_answer(tcp: &mut TcpStream) -> Result<Vec<u8>, CallError> {
    let mut text = Vec::with_capacity(1024);
    let (head, length) = loop {
        if let Some(read) = parse_head(&text)? {
            break read;
        }
        read_more(tcp, &mut text).await?;
    };
    if length > MAX_LIST {
        return Err(CallError::Unreadable(format!("a list of {length} bytes")));
    }
    text.reserve((head + length).saturating_sub(text.len()));
    while text.len() < head + length {
        read_more(tcp, &mut text).await?;
    }
    Ok(text.split_off(head))
}

async fn read_more(tcp: &mut TcpStream, text: &mut Vec<u8>) -> Result<(), CallError> {
    match tcp.read_buf(text).await? {
        0 => Err(CallError::Unreadable("the connection ended".into())),
        _ => Ok(()),
    }
}

/// Returns the lengths of head and body, or `None` if the head is incomplete.
fn parse_head(text: &[u8]) -> Result<Option<(usize, usize)>, CallError> {
    let unreadable = |what: &str| CallError::Unreadable(what.into());
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let parsed = answer.parse(text).map_err(|error| unreadable(&error.to_string()))?;
    let httparse::Status::Complete(head) = parsed else { return Ok(None) };
    if answer.code != Some(200) {
        return Err(unreadable("not 200"));
    }
    let length = answer.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|header| std::str::from_utf8(header.value).ok()?.parse().ok());
    Ok(Some((head, length.ok_or_else(|| unreadable("no length"))?)))
}
