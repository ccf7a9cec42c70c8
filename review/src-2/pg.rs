//! Stand-ins for a PostgreSQL server and its clients ("Frontend/Backend Protocol", version 3).

use crate::common::now;
use crate::crypto;
use crate::note;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const USER: &str = "ann";
pub const PASSWORD: &str = "do re mi";
pub const DATABASE: &str = "scores";

/// A statement that a server has run.
#[derive(Clone, Debug)]
pub struct Executed {
    pub session: i32,
    pub text: String,
    /// Whether it ran to its end.
    pub completed: bool,
}

/// What a server did, and how it is disturbed.
#[derive(Default)]
pub struct ServerState {
    pub executed: Mutex<Vec<Executed>>,
    /// The cancel flags of the sessions.
    cancels: Mutex<HashMap<i32, Arc<AtomicBool>>>,
    /// Whether the server dies when a client ends a COPY.
    pub dies_at_copy_done: AtomicBool,
    /// How late new connections come up that begin with a CancelRequest, ms.
    pub cancel_delay_ms: AtomicU64,
    /// How many times slower the server runs, in tenths; 0 as usual.
    pub slow_tenths: AtomicU64,
    sessions: AtomicU64,
    is_dead: AtomicBool,
    /// The connections that are open, which a death resets.
    open: Mutex<Vec<TcpStream>>,
}

impl ServerState {
    pub fn texts(&self) -> Vec<String> {
        let executed = self.executed.lock().unwrap();
        executed.iter().filter(|statement| statement.completed).map(|statement| statement.text.clone()).collect()
    }

    /// Ends all connections at once, as the death of the process does.
    fn die(&self, name: &str) {
        note!("{name}: the process dies");
        self.is_dead.store(true, SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

pub struct PgServer {
    pub address: SocketAddr,
    pub name: &'static str,
    pub state: Arc<ServerState>,
}

impl PgServer {
    pub fn start(name: &'static str) -> std::io::Result<PgServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(ServerState::default());
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.is_dead.load(SeqCst) {
                    continue; // the connection is closed at once
                }
                let state = shared.clone();
                std::thread::spawn(move || {
                    if let Ok(copy) = stream.try_clone() {
                        state.open.lock().unwrap().push(copy);
                    }
                    let _ = Session::serve(name, stream, &state);
                });
            }
        });
        Ok(PgServer { address, name, state })
    }
}

fn put(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

fn read_exact(stream: &mut TcpStream, length: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn read_message(stream: &mut TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let head = read_exact(stream, 5)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    Ok((head[0], read_exact(stream, length.saturating_sub(4))?))
}

fn text_at(body: &[u8], from: usize) -> String {
    let text = body.get(from..).unwrap_or_default().split(|byte| *byte == 0).next().unwrap_or_default();
    String::from_utf8_lossy(text).into_owned()
}

/// Returns a statement without the comments and spaces in front of it, in lower case.
fn bare(text: &str) -> String {
    let mut text = text.trim_start();
    loop {
        text = if let Some(rest) = text.strip_prefix("--") {
            rest.split_once('\n').map_or("", |(_, rest)| rest)
        } else if let Some(rest) = text.strip_prefix("/*") {
            rest.split_once("*/").map_or("", |(_, rest)| rest)
        } else {
            return text.trim_end().trim_end_matches(';').to_ascii_lowercase();
        }
        .trim_start();
    }
}

/// What a statement ended with.
enum Done {
    /// Rows of one column, and the tag.
    Rows(Vec<String>, String),
    Cancelled,
    CopyIn,
}

struct Session<'a> {
    server: &'static str,
    number: i32,
    stream: TcpStream,
    state: &'a ServerState,
    cancel: Arc<AtomicBool>,
    search_path: String,
    status: u8,
    named: HashMap<String, String>,
    portal: String,
}

impl Session<'_> {
    fn serve(server: &'static str, mut stream: TcpStream, state: &Arc<ServerState>) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let length = u32::from_be_bytes(read_exact(&mut stream, 4)?.try_into().unwrap()) as usize;
            let body = read_exact(&mut stream, length.saturating_sub(4))?;
            let code = i32::from_be_bytes([body[0], body[1], body[2], body[3]]);
            match code {
                80877102 => {
                    let process = i32::from_be_bytes([body[4], body[5], body[6], body[7]]);
                    note!("{server}: a connection with a CancelRequest for session {process} comes up");
                    std::thread::sleep(Duration::from_millis(state.cancel_delay_ms.load(SeqCst)));
                    note!("{server}: CancelRequest for session {process} takes effect");
                    if let Some(flag) = state.cancels.lock().unwrap().get(&process) {
                        flag.store(true, SeqCst);
                    }
                    return Ok(());
                }
                80877103 | 80877104 => stream.write_all(b"N")?,
                _ => break,
            }
        }
        let number = state.sessions.fetch_add(1, SeqCst) as i32 + 1;
        let cancel = Arc::new(AtomicBool::new(false));
        state.cancels.lock().unwrap().insert(number, cancel.clone());
        note!("{server}: session {number} begins");
        let mut out = Vec::new();
        put(&mut out, b'R', &[0; 4]);
        put(&mut out, b'S', b"server_version\x0015.0\0");
        put(&mut out, b'K', &[number.to_be_bytes(), 77i32.to_be_bytes()].concat());
        put(&mut out, b'Z', b"I");
        stream.write_all(&out)?;
        let mut session = Session {
            server,
            number,
            stream,
            state,
            cancel,
            search_path: "public".into(),
            status: b'I',
            named: HashMap::new(),
            portal: String::new(),
        };
        let ended = session.run();
        let _ = session.stream.shutdown(std::net::Shutdown::Both);
        note!("{server}: session {number} ends");
        ended
    }

    fn run(&mut self) -> std::io::Result<()> {
        let mut is_skipping = false;
        let mut is_copying = false;
        let mut is_simple_copy = false;
        let mut copied = 0;
        loop {
            let (kind, body) = read_message(&mut self.stream)?;
            let mut out = Vec::new();
            if is_skipping && !matches!(kind, b'S' | b'X' | b'Q') {
                continue;
            }
            if is_copying && matches!(kind, b'S' | b'H') {
                note!("{}: session {}: a Sync among rows is ignored", self.server, self.number);
                continue;
            }
            match kind {
                b'X' => return Ok(()),
                b'Q' => {
                    is_skipping = false;
                    for text in text_at(&body, 0).split(';').filter(|text| !text.trim().is_empty()) {
                        match self.execute(text) {
                            Done::Rows(rows, tag) => {
                                if !rows.is_empty() {
                                    put(&mut out, b'T', ROW_DESCRIPTION);
                                }
                                put_rows(&mut out, &rows, &tag);
                            }
                            Done::Cancelled => {
                                put_error(&mut out, "57014", "canceling statement due to user request");
                                break;
                            }
                            Done::CopyIn => {
                                put(&mut out, b'G', &[0, 0, 1, 0, 0]);
                                (is_copying, is_simple_copy, copied) = (true, true, 0);
                            }
                        }
                    }
                    if !is_copying {
                        put(&mut out, b'Z', &[self.status]);
                    }
                }
                b'P' => {
                    let name = text_at(&body, 0);
                    let text = text_at(&body, name.len() + 1);
                    self.named.insert(name, text);
                    put(&mut out, b'1', b"");
                }
                b'B' => {
                    let portal = text_at(&body, 0);
                    let name = text_at(&body, portal.len() + 1);
                    match self.named.get(&name) {
                        Some(text) => {
                            self.portal.clone_from(text);
                            put(&mut out, b'2', b"");
                        }
                        None => {
                            put_error(&mut out, "26000", "no such statement");
                            is_skipping = true;
                        }
                    }
                }
                b'D' => put(&mut out, b'n', b""),
                b'C' => put(&mut out, b'3', b""),
                b'E' => match self.execute(&self.portal.clone()) {
                    Done::Rows(rows, tag) => put_rows(&mut out, &rows, &tag),
                    Done::Cancelled => {
                        put_error(&mut out, "57014", "canceling statement due to user request");
                        is_skipping = true;
                    }
                    Done::CopyIn => {
                        put(&mut out, b'G', &[0, 0, 1, 0, 0]);
                        (is_copying, is_simple_copy, copied) = (true, false, 0);
                    }
                },
                b'S' => {
                    is_skipping = false;
                    put(&mut out, b'Z', &[self.status]);
                }
                b'd' => copied += 1,
                b'c' if is_copying => {
                    is_copying = false;
                    note!("{}: session {}: CopyDone after {copied} rows", self.server, self.number);
                    if self.state.dies_at_copy_done.swap(false, SeqCst) {
                        self.state.die(self.server);
                        return Ok(());
                    }
                    self.record("copy", true);
                    put(&mut out, b'C', format!("COPY {copied}\0").as_bytes());
                    if is_simple_copy {
                        put(&mut out, b'Z', &[self.status]);
                    }
                }
                _ => {}
            }
            self.stream.write_all(&out)?;
        }
    }

    fn record(&self, text: &str, completed: bool) {
        let how = if completed { "ran" } else { "was cancelled:" };
        note!("{}: session {}: {how} {text:?}", self.server, self.number);
        let executed = Executed { session: self.number, text: text.into(), completed };
        self.state.executed.lock().unwrap().push(executed);
    }

    fn execute(&mut self, text: &str) -> Done {
        let words = bare(text);
        note!("{}: session {}: begins {text:?}", self.server, self.number);
        if words.starts_with("copy") {
            return Done::CopyIn;
        }
        if let Some(seconds) = words.split("pg_sleep(").nth(1).and_then(|rest| rest.split(')').next()) {
            let factor = match self.state.slow_tenths.load(SeqCst) {
                0 => 1.0,
                tenths => tenths as f64 / 10.0,
            };
            let until = Instant::now() + Duration::from_secs_f64(seconds.parse().unwrap_or(0.0) * factor);
            self.cancel.store(false, SeqCst);
            while Instant::now() < until {
                if self.cancel.swap(false, SeqCst) {
                    self.record(text, false);
                    return Done::Cancelled;
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        }
        let first = words.split_whitespace().next().unwrap_or_default().to_string();
        let (rows, tag) = match first.as_str() {
            "begin" | "start" => {
                self.status = b'T';
                (vec![], "BEGIN".to_string())
            }
            "commit" | "rollback" => {
                self.status = b'I';
                (vec![], first.to_ascii_uppercase())
            }
            "set" => {
                if let Some((_, value)) = words.split_once("search_path") {
                    let value = value.trim_start_matches([' ', '=']).trim_start_matches("to ");
                    self.search_path = value.trim().into();
                }
                (vec![], "SET".into())
            }
            "insert" => (vec![], "INSERT 0 1".into()),
            // A row says which statement it answers, and in which schema that found its table.
            _ => (vec![format!("{} [search_path {}]", words, self.search_path)], "SELECT 1".into()),
        };
        self.record(text, true);
        Done::Rows(rows, tag)
    }
}

/// One text column named "c".
const ROW_DESCRIPTION: &[u8] = b"\0\x01c\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0";

fn put_rows(out: &mut Vec<u8>, rows: &[String], tag: &str) {
    for row in rows {
        let mut body = vec![0, 1];
        body.extend((row.len() as u32).to_be_bytes());
        body.extend(row.as_bytes());
        put(out, b'D', &body);
    }
    put(out, b'C', format!("{tag}\0").as_bytes());
}

fn put_error(out: &mut Vec<u8>, code: &str, text: &str) {
    put(out, b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes());
}

/// The answer to one Query or Sync: all messages up to ReadyForQuery.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub rows: Vec<String>,
    pub tags: Vec<String>,
    /// SQLSTATE and message of an error.
    pub error: Option<String>,
    /// Whether ReadyForQuery came; without it the connection has ended or nothing came in time.
    pub is_ready: bool,
    /// Whether the connection has ended.
    pub has_ended: bool,
}

impl std::fmt::Display for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let end = match (self.is_ready, self.has_ended) {
            (true, _) => "ready",
            (_, true) => "connection ended",
            _ => "nothing more",
        };
        write!(f, "rows {:?}, tags {:?}, error {:?}, {end}", self.rows, self.tags, self.error)
    }
}

pub struct PgClient {
    stream: TcpStream,
    pub name: &'static str,
    pub process: i32,
    pub secret: i32,
    address: SocketAddr,
}

fn io(error: std::io::Error) -> String {
    error.to_string()
}

impl PgClient {
    /// Connects and logs in with SCRAM-SHA-256.
    pub fn connect(name: &'static str, address: SocketAddr) -> Result<PgClient, String> {
        let mut stream = TcpStream::connect(address).map_err(io)?;
        stream.set_nodelay(true).map_err(io)?;
        stream.set_read_timeout(Some(Duration::from_secs(20))).map_err(io)?;
        let mut start = 196608u32.to_be_bytes().to_vec();
        start.extend(format!("user\0{USER}\0database\0{DATABASE}\0application_name\0{name}\0\0").bytes());
        let mut packet = (start.len() as u32 + 4).to_be_bytes().to_vec();
        packet.extend(start);
        stream.write_all(&packet).map_err(io)?;
        let nonce = crypto::base64(&crypto::sha256(format!("{name}{}", now().as_nanos()).as_bytes())[..18]);
        let first_bare = format!("n=,r={nonce}");
        let mut client = PgClient { stream, name, process: 0, secret: 0, address };
        loop {
            let (kind, body) = read_message(&mut client.stream).map_err(io)?;
            match kind {
                b'R' => {
                    let code = u32::from_be_bytes([body[0], body[1], body[2], body[3]]);
                    match code {
                        0 | 12 => {}
                        10 => {
                            let first = format!("n,,{first_bare}");
                            let mut message = b"SCRAM-SHA-256\0".to_vec();
                            message.extend((first.len() as u32).to_be_bytes());
                            message.extend(first.bytes());
                            client.send(&[(b'p', message)])?;
                        }
                        11 => {
                            let server_first = String::from_utf8_lossy(&body[4..]).into_owned();
                            let last = client_final(&first_bare, &server_first)?;
                            client.send(&[(b'p', last.into_bytes())])?;
                        }
                        other => return Err(format!("login asks for {other}")),
                    }
                }
                b'K' => {
                    client.process = i32::from_be_bytes(body[0..4].try_into().unwrap());
                    client.secret = i32::from_be_bytes(body[4..8].try_into().unwrap());
                }
                b'E' => return Err(format!("login refused: {}", error_text(&body))),
                b'Z' => return Ok(client),
                _ => {}
            }
        }
    }

    pub fn send(&mut self, messages: &[(u8, Vec<u8>)]) -> Result<(), String> {
        let mut out = Vec::new();
        messages.iter().for_each(|(kind, body)| put(&mut out, *kind, body));
        self.stream.write_all(&out).map_err(io)
    }

    pub fn send_query(&mut self, text: &str) -> Result<(), String> {
        note!("client {}: sends Query {text:?}", self.name);
        self.send(&[(b'Q', format!("{text}\0").into_bytes())])
    }

    pub fn query(&mut self, text: &str) -> Result<Reply, String> {
        self.send_query(text)?;
        Ok(self.reply(Duration::from_secs(20)))
    }

    /// Reads one message; `None` at the end of the connection or if nothing comes within `limit`.
    pub fn message(&mut self, limit: Duration) -> (Option<(u8, Vec<u8>)>, bool) {
        let _ = self.stream.set_read_timeout(Some(limit));
        match read_message(&mut self.stream) {
            Ok(message) => (Some(message), false),
            Err(error) => {
                let is_silent =
                    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut);
                (None, !is_silent)
            }
        }
    }

    /// Reads the messages up to the next ReadyForQuery.
    pub fn reply(&mut self, limit: Duration) -> Reply {
        let mut reply = Reply::default();
        loop {
            let (message, has_ended) = self.message(limit);
            let Some((kind, body)) = message else {
                reply.has_ended = has_ended;
                break;
            };
            match kind {
                b'D' => reply.rows.push(String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into()),
                b'C' => reply.tags.push(text_at(&body, 0)),
                b'E' => reply.error = Some(error_text(&body)),
                b'Z' => {
                    reply.is_ready = true;
                    break;
                }
                _ => {}
            }
        }
        note!("client {}: gets {reply}", self.name);
        reply
    }

    /// Returns what a CancelRequest for this session needs.
    pub fn canceller(&self) -> Canceller {
        Canceller { name: self.name, address: self.address, process: self.process, secret: self.secret }
    }
}

/// Sends a CancelRequest for a session.
pub struct Canceller {
    name: &'static str,
    address: SocketAddr,
    process: i32,
    secret: i32,
}

impl Canceller {
    pub fn send(&self) -> Result<(), String> {
        note!("client {}: sends a CancelRequest for its session", self.name);
        let mut stream = TcpStream::connect(self.address).map_err(io)?;
        let packet =
            [16i32.to_be_bytes(), 80877102i32.to_be_bytes(), self.process.to_be_bytes(), self.secret.to_be_bytes()];
        stream.write_all(&packet.concat()).map_err(io)?;
        // The connection is closed without an answer.
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let _ = stream.read(&mut [0; 1]);
        Ok(())
    }
}

fn client_final(first_bare: &str, server_first: &str) -> Result<String, String> {
    let field = |name: &str| {
        server_first.split(',').find_map(|part| part.strip_prefix(name)).ok_or(format!("no {name} in the challenge"))
    };
    let (nonce, salt, iterations) = (field("r=")?, crypto::unbase64(field("s=")?), field("i=")?);
    let iterations = iterations.parse().map_err(|_| "iterations".to_string())?;
    let keys = crypto::scram_keys(PASSWORD.as_bytes(), &salt, iterations);
    let without_proof = format!("c=biws,r={nonce}");
    let auth = format!("{first_bare},{server_first},{without_proof}");
    let signature = crypto::hmac(&keys.stored_key, auth.as_bytes());
    let proof: Vec<u8> = keys.client_key.iter().zip(signature).map(|(key, byte)| key ^ byte).collect();
    Ok(format!("{without_proof},p={}", crypto::base64(&proof)))
}

fn error_text(body: &[u8]) -> String {
    let field = |code: u8| {
        let found = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&code));
        found.map(|field| String::from_utf8_lossy(&field[1..]).into_owned()).unwrap_or_default()
    };
    format!("{} {} {}", field(b'S'), field(b'C'), field(b'M'))
}

/// Returns a section `[[postgres]]` of the operator file.
pub fn operator_section(listen: u16, servers: &[&PgServer], connections: u32) -> String {
    let servers: Vec<String> = servers
        .iter()
        .map(|server| format!("{{ name = \"{}\", address = \"{}\", kind = \"small\" }}", server.name, server.address))
        .collect();
    format!(
        "[[postgres]]\nlisten = \"127.0.0.1:{listen}\"\ndatabases = [\"{DATABASE}\"]\n\
         user = [{{ name = \"{USER}\", verifier = \"{}\" }}]\n\
         login = {{ user = \"deck\", database = \"{DATABASE}\" }}\nserver = [{}]\nconnections = {connections}\n",
        crypto::verifier(PASSWORD.as_bytes()),
        servers.join(", ")
    )
}

/// A proxy with a PostgreSQL front and its servers.
pub struct PgRig {
    pub proxy: crate::common::Proxy,
    pub front: SocketAddr,
    pub log: std::path::PathBuf,
    _tmp: crate::common::TempFolder,
}

impl PgRig {
    /// Starts the proxy with the settings of the site; `more` is added to the section `[[postgres]]`.
    pub fn start(case: &str, servers: &[&PgServer], connections: u32, more: &str) -> Result<PgRig, String> {
        PgRig::start_with(case, servers, connections, more, true)
    }

    /// The same; `cancel` is whether the site allows that attempts are cancelled.
    pub fn start_with(
        case: &str, servers: &[&PgServer], connections: u32, more: &str, cancel: bool,
    ) -> Result<PgRig, String> {
        use crate::common::{free_port, Launch, Proxy, TempFolder};
        let tmp = TempFolder::create(case)?;
        let backend = crate::http::Backend::start(
            "s-1",
            true,
            Arc::new(|_| crate::http::Action::Serve(Duration::from_millis(10))),
        )
        .map_err(io)?;
        let discovery = crate::http::Discovery::start(&[&backend]).map_err(io)?;
        let settings = crate::http::Settings {
            profiles: crate::http::site_profiles(),
            parallel_tries: true,
            cancel,
            dial_timeout_us: 120_000,
        };
        let (listen, admin, front) = (free_port()?, free_port()?, free_port()?);
        let config =
            crate::http::node_config(listen, admin, discovery.address, &[&backend], &settings, 0x8c1f30d27a5be964);
        let config = tmp.file("config.json", &config)?;
        let operator = tmp.file("operator.toml", &(operator_section(front, servers, connections) + more))?;
        let log = tmp.0.join("proxy.log");
        let launch = Launch {
            name: "n0",
            config: &config,
            operator: Some(&operator),
            tmp: &tmp.folder("tmp")?,
            log: &log,
        };
        let proxy = Proxy::start(&launch)?;
        crate::http::wait_ready(crate::http::loopback(listen)).inspect_err(|_| crate::common::record_log(&log, 10))?;
        Ok(PgRig { proxy, front: crate::http::loopback(front), log, _tmp: tmp })
    }
}
