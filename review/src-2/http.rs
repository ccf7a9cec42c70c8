//! Stand-ins for HTTP backends, discovery and clients, as the protocol page describes them.

use crate::common::now;
use crate::note;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; `None` at the end of the connection before one.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    if read_line(reader, &mut message.first_line)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if read_line(reader, &mut line)? == 0 {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof));
        }
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().into()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            read_line(reader, &mut line)?;
            let length = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            let mut end = String::new();
            read_line(reader, &mut end)?;
            if length == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length").and_then(|value| value.parse().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Reads a line without its end; returns the number of bytes read.
fn read_line(reader: &mut impl BufRead, line: &mut String) -> std::io::Result<usize> {
    let mut bytes = Vec::new();
    let count = reader.read_until(b'\n', &mut bytes)?;
    while matches!(bytes.last(), Some(b'\n' | b'\r')) {
        bytes.pop();
    }
    line.push_str(&String::from_utf8_lossy(&bytes));
    Ok(count)
}

/// What a backend does with a request.
pub enum Action {
    /// Answers 200 after this time.
    Serve(Duration),
    /// Runs it and never answers; the connection stays open.
    Hang,
    /// Answers 200 with a body of this length, in one write.
    Large(usize),
    /// Begins the same answer; the connection is reset behind the first bytes of the body.
    LargeThenReset { length: usize, sent: usize },
}

/// A request that began at a backend.
#[derive(Clone, Debug)]
pub struct Begun {
    pub backend: &'static str,
    pub id: String,
    pub path: String,
    /// When its last byte arrived.
    pub at: Duration,
}

static IS_QUIET: AtomicBool = AtomicBool::new(false);

/// Sets whether the requests at backends are left out of the record.
pub fn set_quiet(is_quiet: bool) {
    IS_QUIET.store(is_quiet, SeqCst);
}

pub type Behaviour = Arc<dyn Fn(&Message) -> Action + Send + Sync>;

pub struct Backend {
    pub name: &'static str,
    pub address: SocketAddr,
    pub begun: Arc<Mutex<Vec<Begun>>>,
    /// Number of connections accepted.
    pub accepted: Arc<AtomicU64>,
    listener: TcpListener,
    /// Whether new connections do not come up for the present.
    is_late: Arc<AtomicBool>,
    fillers: Mutex<Vec<TcpStream>>,
}

impl Backend {
    /// Starts a backend. With `keeps_alive` false it ends each connection with its answer.
    pub fn start(name: &'static str, keeps_alive: bool, behaviour: Behaviour) -> std::io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let begun = Arc::new(Mutex::new(Vec::new()));
        let (accepted, is_late) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let backend = Backend {
            name,
            address,
            begun: begun.clone(),
            accepted: accepted.clone(),
            listener: listener.try_clone()?,
            is_late: is_late.clone(),
            fillers: Mutex::default(),
        };
        std::thread::spawn(move || loop {
            if is_late.load(SeqCst) {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            }
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            accepted.fetch_add(1, SeqCst);
            let (begun, behaviour) = (begun.clone(), behaviour.clone());
            std::thread::spawn(move || {
                let _ = serve(name, stream, keeps_alive, &begun, &behaviour);
            });
        });
        Ok(backend)
    }

    /// New connections do not come up from now on: the queue of the listening socket is full, so that the kernel answers
    /// no further SYN.
    pub fn hold_connections(&self) {
        self.is_late.store(true, SeqCst);
        std::thread::sleep(Duration::from_millis(5));
        crate::common::set_backlog(&self.listener, 0);
        let mut fillers = self.fillers.lock().unwrap();
        for _ in 0..4 {
            if let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(20)) {
                fillers.push(stream);
            }
        }
        note!("{}: new connections do not come up", self.name);
    }

    /// New connections come up again; those that wait do so at the kernel's next try, one second after the first.
    pub fn release_connections(&self) {
        self.fillers.lock().unwrap().clear();
        crate::common::set_backlog(&self.listener, 128);
        self.is_late.store(false, SeqCst);
        note!("{}: new connections come up", self.name);
    }
}

fn serve(
    name: &'static str, stream: TcpStream, keeps_alive: bool, begun: &Mutex<Vec<Begun>>, behaviour: &Behaviour,
) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("x-correlation-id").unwrap_or_default().to_string();
        let path = request.path().to_string();
        if !IS_QUIET.load(SeqCst) {
            note!("{name}: runs {id} {path}");
        }
        begun.lock().unwrap().push(Begun { backend: name, id: id.clone(), path, at: now() });
        match behaviour(&request) {
            Action::Serve(after) => {
                std::thread::sleep(after);
                let body = format!("answer to {id} by {name}");
                let connection = if keeps_alive { "keep-alive" } else { "close" };
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(head.as_bytes()).is_err() {
                    note!("{name}: the connection of {id} has ended before its answer");
                    return Ok(());
                }
                if !keeps_alive {
                    return Ok(());
                }
            }
            Action::Hang => {
                let _ = reader.read(&mut [0; 1]);
                return Ok(());
            }
            Action::Large(length) => {
                let _ = stream.write_all(&large_answer(length, length));
            }
            Action::LargeThenReset { length, sent } => {
                stream.write_all(&large_answer(length, sent))?;
                note!("{name}: the connection of {id} is reset after {sent} of {length} bytes");
                crate::common::set_linger_zero(&stream);
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Returns an answer of `length` bytes, with only the first `sent` of its body.
fn large_answer(length: usize, sent: usize) -> Vec<u8> {
    let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    answer.extend((0..sent).map(|position| b'a' + (position % 26) as u8));
    answer
}

/// Discovery: one list, which only grows newer.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    /// Starts discovery with a list of backends that serve.
    pub fn start(backends: &[&Backend]) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let entries = entries(backends);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let entries = entries.clone();
                std::thread::spawn(move || {
                    let _ = serve_lists(stream, &entries);
                });
            }
        });
        Ok(Discovery { address })
    }
}

fn serve_lists(mut stream: TcpStream, entries: &str) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader)? {
        let query = |name: &str| {
            let value = request.path().split(['?', '&']).find_map(|part| part.strip_prefix(name));
            value.and_then(|value| value.parse::<u64>().ok())
        };
        let text = match query("after=") {
            Some(version) if version >= LIST_VERSION => {
                // Nothing newer ever exists: the wait passes.
                std::thread::sleep(Duration::from_millis(query("wait_ms=").unwrap_or(0).min(60_000)));
                format!("{{\"index\":{LIST_VERSION},\"snapshot\":false,\"endpoints\":[]}}")
            }
            _ => whole_list(entries),
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        stream.write_all((head + &text).as_bytes())?;
    }
    Ok(())
}

const LIST_VERSION: u64 = 41;

fn entries(backends: &[&Backend]) -> String {
    let entry = |backend: &&Backend| {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"thamel","type":"mid-2c","group":0,"status":"SERVING","weight":1.0,"since_ms":0}}"#,
            backend.name, backend.address
        )
    };
    backends.iter().map(entry).collect::<Vec<String>>().join(",")
}

fn whole_list(entries: &str) -> String {
    format!("{{\"index\":{LIST_VERSION},\"snapshot\":true,\"endpoints\":[{entries}]}}")
}

/// The figures of a deployment that the cases choose; all others are those of the example in the wire page.
pub struct Settings {
    /// The classes, as JSON objects.
    pub profiles: Vec<String>,
    pub parallel_tries: bool,
    /// Whether the site allows that attempts are cancelled.
    pub cancel: bool,
    pub dial_timeout_us: u64,
}

/// Returns a class. `effect` holds further keys for one that is guarded.
pub fn profile(name: &str, aim_us: u64, deadline_us: u64, effect: &str, gain: f64) -> String {
    format!(
        r#"{{"aim_us":{aim_us},"deadline_us":{deadline_us},{effect},"gain":{gain:.1},"late_worth":0.0,"name":"{name}","stream":false}}"#
    )
}

pub const FREE: &str = r#""effect":"free","key_scope":"all","window_us":5000000"#;
pub const SINGLE_SHOT: &str = r#""effect":"single_shot","key_scope":"all","window_us":5000000"#;

/// The three classes of the site.
pub fn site_profiles() -> Vec<String> {
    vec![
        profile("page-preview", 250_000, 500_000, FREE, 1.0),
        profile("part-extract", 1_000_000, 2_000_000, FREE, 1.0),
        profile("print-order", 1_500_000, 4_000_000, SINGLE_SHOT, 8.0),
    ]
}

/// Returns a node configuration.
pub fn node_config(
    listen: u16, admin: u16, discovery: SocketAddr, backends: &[&Backend], settings: &Settings, seed: u64,
) -> String {
    let known = whole_list(&entries(backends));
    let profiles = settings.profiles.join(",");
    let Settings { parallel_tries, cancel, dial_timeout_us, .. } = settings;
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:{listen}","discovery":"{discovery}","admin_addr":"127.0.0.1:{admin}",
"seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{{
"blend":{{"whole":0.55,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.15}},"callers":{{"marks_retry":false}},
"costs":{{"connection":0.06,"cross_zone":0.03,"discovery":0.0,"handshake":0.06,"late_fail":0.041,"moves":0.0,
"origin":0.0,"peer":0.0,"probe":0.013,"waste":0.055}},"customers":[],"discovery":"subscribe","family":"proxy",
"family_info":{{"warm_keys":true}},"granularity_us":5000,"group_size":1,"kinds":["big-2c","mid-2c","small-1c"],"layer":0,
"limits":{{"cancel":{cancel},"conn_idle_us":15000000,"cpu_us_per_request":0.0,"cpu_us_per_s":800000,
"dial_timeout_us":{dial_timeout_us},"max_attempts":4,"max_retry_after_us":2000000,"max_streams":1,"open_cap":20000,
"parallel_tries":{parallel_tries},"peers":false,"probes":true,"retry_after":true}},"my_zone":"thamel",
"over_share_worth":0.1,"position":0,"profiles":[{profiles}],"report":{{"fields":["rps","err_rps","waiting"],"how":"on_probe"}},
"rules":{{"answer_slack_us":20000,"cold_from":0.32,"fall_multiple":4.0,"must_ask_in_us":10000000,"ramp_time_us":8900000,
"stop_sending_within_us":500000,"tip_after_us":2000000}},"tiers":["render-nodes"],"value_by":"request",
"weight_source":"off","zones":["thamel","patan","bhaktapur"]}}}}"#
    )
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum Answer {
    Whole { status: u16, body: String },
    /// The connection ended without a whole answer.
    Ended(String),
    /// No answer came in time.
    Silence,
}

/// How a connection has ended that was closed with no byte of an answer.
pub const NO_BYTE: &str = "closed with no byte of an answer";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("{:016x}", 0x5e1f_0000_0000_0000u64 + NEXT_ID.fetch_add(1, SeqCst))
}

/// A client of the proxy, which sends one request at a time and keeps its connection.
pub struct HttpClient {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    /// Whether each request and answer is written to the record.
    pub is_recorded: bool,
}

impl HttpClient {
    pub fn new(address: SocketAddr) -> HttpClient {
        HttpClient { address, connection: None, is_recorded: true }
    }

    /// Sends a request and waits for its answer, up to `limit`.
    pub fn ask(&mut self, id: &str, method: &str, path: &str, time_left: f64, more: &str, limit: Duration) -> Answer {
        let body = if method == "POST" { "order" } else { "" };
        let length = if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\n\
             X-Time-Left: {time_left:.3}\r\n{more}{length}\r\n{body}"
        );
        if self.is_recorded {
            note!("client: sends {id} {method} {path}, {time_left:.3} s left");
        }
        let sent = Instant::now();
        let answer = match self.exchange(&text, limit) {
            Ok(Some(message)) => {
                if message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    self.connection = None;
                }
                let body = String::from_utf8_lossy(&message.body).into_owned();
                Answer::Whole { status: message.status(), body }
            }
            Ok(None) => Answer::Ended(NO_BYTE.into()),
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                Answer::Silence
            }
            Err(error) => Answer::Ended(error.to_string()),
        };
        if !matches!(answer, Answer::Whole { .. }) {
            self.connection = None;
        }
        if self.is_recorded {
            let text = format!("{answer:.120?}");
            let text: String = text.chars().take(160).collect();
            note!("client: {id} after {:.3} s: {text}", sent.elapsed().as_secs_f64());
        }
        answer
    }

    fn exchange(&mut self, text: &str, limit: Duration) -> std::io::Result<Option<Message>> {
        if self.connection.is_none() {
            let stream = TcpStream::connect(self.address)?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        let Some(reader) = self.connection.as_mut() else { return Ok(None) };
        reader.get_ref().set_read_timeout(Some(limit))?;
        reader.get_mut().write_all(text.as_bytes())?;
        read_message(reader)
    }
}

/// Waits until the proxy takes clients.
pub fn wait_ready(address: SocketAddr) -> Result<(), String> {
    let is_ready = || {
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        if stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n").is_err() {
            return false;
        }
        matches!(read_message(&mut BufReader::new(stream)), Ok(Some(message)) if message.status() == 200)
    };
    if crate::common::wait_until(Duration::from_secs(10), is_ready) {
        Ok(())
    } else {
        Err("the proxy is not ready within 10 s".into())
    }
}

/// A wake-up that several threads wait for.
#[derive(Default)]
pub struct Gate(Mutex<bool>, Condvar);

impl Gate {
    pub fn open(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }

    pub fn wait(&self) {
        let mut is_open = self.0.lock().unwrap();
        while !*is_open {
            is_open = self.1.wait(is_open).unwrap();
        }
    }
}

pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
