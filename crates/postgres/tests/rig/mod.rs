//! A stand-in for PostgreSQL servers, and a front that uses several of them.

#![allow(dead_code)]

use bytes::{BufMut, BytesMut};
use lotusdeck_core::cordon::Cordon;
use lotusdeck_core::{Clock, Endpoint, Host, OptionalServices};
use lotusdeck_policy::settings::{EndpointRecord, Names, NetworkSettings, Settings};
use lotusdeck_policy::*;
use lotusdeck_postgres::classes::Rule;
use lotusdeck_postgres::scram::Verifier;
use lotusdeck_postgres::wire::{message, opening, put, Message, Opening};
use lotusdeck_postgres::{Front, FrontSettings, Login, Servers, User};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::LocalSet;

/// The time of a transaction that no test lets expire.
pub(crate) const LONG_DEADLINE: Micros = Micros(20_000_000);
/// The time of a transaction that expires in a test.
pub(crate) const SHORT_DEADLINE: Micros = Micros(1_000_000);

/// Runs a test whose tasks stay on one thread.
pub(crate) async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

thread_local! {
    /// Whether one of this test's stand-ins has received `die once` and closed the connection.
    static DIED: Cell<bool> = const { Cell::new(false) };
}

/// What a stand-in has received and done.
#[derive(Default)]
pub(crate) struct Seen {
    /// The statements, in the order in which they were executed.
    pub statements: RefCell<Vec<String>>,
    /// The texts that were parsed successfully.
    pub parsed: RefCell<Vec<String>>,
    pub logins: RefCell<usize>,
    /// Bytes of rows that clients copied in.
    pub copied_bytes: RefCell<usize>,
    /// Bytes sent in answer to `pour`.
    pub poured_bytes: RefCell<usize>,
    /// Notified when the client of `pour` has not read for 500 ms.
    pub stalled: Notify,
    /// Makes the session in copy-in mode close its connection.
    pub close_copying_session: Notify,
    /// Makes the session that runs `slow` answer it, and the one that runs `half` send the rest of its rows.
    pub finish_slow: Notify,
    /// Whether statements other than `half` are answered by the end of their connection.
    pub is_failing: Cell<bool>,
    /// Notified when a connection has ended.
    pub ended: Notify,
    /// Process ids and secrets of the CancelRequests.
    pub cancels: RefCell<Vec<(i32, i32)>>,
    /// Notified when a CancelRequest has arrived.
    pub cancelled: Notify,
}

/// Starts a stand-in. On `die` it closes the connection without an answer, on `halt` after CommandComplete, and on
/// `copy and die` at CopyDone; it never answers `stall`, and `slow` only once the test allows it. Of the rows of `half` it
/// sends the first at once and the second once the test allows it.
pub(crate) async fn stand_in() -> (SocketAddr, Rc<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, seen) = (listener.local_addr().unwrap(), Rc::new(Seen::default()));
    let record = seen.clone();
    tokio::task::spawn_local(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let record = record.clone();
            tokio::task::spawn_local(async move {
                session(tcp, record.clone()).await;
                record.ended.notify_one();
            });
        }
    });
    (address, seen)
}

async fn session(mut tcp: TcpStream, seen: Rc<Seen>) {
    let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
    loop {
        match opening(&mut input).unwrap() {
            Some(Opening::Cancel(key)) => {
                seen.cancels.borrow_mut().push((key.process_id, key.secret));
                return seen.cancelled.notify_one();
            }
            Some(Opening::Start { .. }) => break,
            Some(_) => tcp.write_all(b"N").await.unwrap(),
            None => {
                if tcp.read_buf(&mut input).await.unwrap_or(0) == 0 {
                    return;
                }
            }
        }
    }
    *seen.logins.borrow_mut() += 1;
    let number = *seen.logins.borrow() as i32;
    put(&mut out, b'R', &[0; 4]);
    put(&mut out, b'S', b"server_version\09.6.1\0");
    put(&mut out, b'K', &[number.to_be_bytes(), 77i32.to_be_bytes()].concat());
    put(&mut out, b'Z', b"I");
    let (mut status, mut text, mut skip_until_sync) = (b'I', String::new(), false);
    // The message that began the COPY which is in progress.
    let mut copying_since: Option<u8> = None;
    let mut named: HashMap<String, String> = HashMap::new();
    loop {
        if tcp.write_all(&out).await.is_err() {
            return;
        }
        out.clear();
        let Some(Message { kind, body }) = message(&mut input, 1 << 20).unwrap() else {
            let read = tokio::select! {
                read = tcp.read_buf(&mut input) => read.unwrap_or(0),
                _ = seen.close_copying_session.notified(), if copying_since.is_some() => 0,
            };
            if read == 0 {
                return;
            }
            continue;
        };
        let first_text =
            |b: &[u8]| String::from_utf8_lossy(b.split(|b| *b == 0).next().unwrap_or(b"")).into_owned();
        if skip_until_sync && !matches!(kind, b'Q' | b'S') || copying_since.is_some() && kind == b'S' {
            continue;
        }
        let ended_copy = if kind == b'd' { None } else { copying_since.take() };
        skip_until_sync = false;
        // As in PostgreSQL, preparing an existing name and using an unknown one fail.
        let mut put_error = |out: &mut BytesMut, code: &str| {
            put(out, b'E', format!("SERROR\0C{code}\0Mstand-in\0\0").as_bytes());
            skip_until_sync = true;
        };
        let second_text = |b: &[u8]| first_text(&b[first_text(b).len() + 1..]);
        match kind {
            b'Q' => {
                named.remove("");
                text = first_text(&body);
            }
            b'P' => match (first_text(&body), second_text(&body)) {
                (name, _) if !name.is_empty() && named.contains_key(&name) => put_error(&mut out, "42P05"),
                (name, new) if new == "nonsense" => {
                    if name.is_empty() {
                        named.remove(&name);
                    }
                    put_error(&mut out, "42601");
                }
                (name, new) => {
                    seen.parsed.borrow_mut().push(new.clone());
                    named.insert(name, new);
                    put(&mut out, b'1', b"");
                }
            },
            b'B' => match named.get(&second_text(&body)) {
                Some(known) => {
                    text.clone_from(known);
                    put(&mut out, b'2', b"");
                }
                None => put_error(&mut out, "26000"),
            },
            b'D' if body[0] == b'S' => match named.contains_key(&first_text(&body[1..])) {
                true => {
                    put(&mut out, b't', &[0, 0]);
                    put(&mut out, b'T', &one_column());
                }
                false => put_error(&mut out, "26000"),
            },
            b'D' => put(&mut out, b'T', &one_column()),
            b'C' => {
                if body[0] == b'S' {
                    named.remove(&first_text(&body[1..]));
                }
                put(&mut out, b'3', b"");
            }
            b'd' => *seen.copied_bytes.borrow_mut() += body.len(),
            b'c' if text.ends_with("and die") => return,
            b'c' => {
                put(&mut out, b'C', b"COPY 1\0");
                if ended_copy == Some(b'Q') {
                    put(&mut out, b'Z', &[status]);
                }
            }
            _ => {}
        }
        if matches!(kind, b'Q' | b'E') {
            seen.statements.borrow_mut().push(text.clone());
            match text.trim_start_matches("/* safe */ ") {
                "die once" if !DIED.replace(true) => return,
                "die" => return,
                text if text.ends_with("; die") => return,
                "half" => {
                    put(&mut out, b'T', &one_column());
                    put_row(&mut out, &text);
                    if tcp.write_all(&out).await.is_err() {
                        return;
                    }
                    out.clear();
                    seen.finish_slow.notified().await;
                    put_row(&mut out, &text);
                    put(&mut out, b'C', b"SELECT 2\0");
                    put(&mut out, b'Z', &[status]);
                    continue;
                }
                _ if seen.is_failing.get() => return,
                "stall" => std::future::pending().await,
                "slow" => seen.finish_slow.notified().await,
                "copy" | "copy and die" => {
                    put(&mut out, b'G', &[0, 0, 0]);
                    copying_since = Some(kind);
                    continue;
                }
                "pour" => return send_endless_rows(tcp, &seen).await,
                "fail" => {
                    put_error(&mut out, "22012");
                    if kind == b'Q' {
                        put(&mut out, b'Z', &[status]);
                    }
                    continue;
                }
                "begin" => status = b'T',
                "commit" | "rollback" => status = b'I',
                _ => {}
            }
            if kind == b'Q' {
                put(&mut out, b'T', &one_column());
            }
            put_row(&mut out, &text);
            put(&mut out, b'C', b"SELECT 1\0");
            if text.ends_with("halt") {
                let _ = tcp.write_all(&out).await;
                return;
            }
        }
        if matches!(kind, b'Q' | b'S') {
            put(&mut out, b'Z', &[status]);
        }
    }
}

/// Sends rows until the connection fails, and reports when the client stops reading.
async fn send_endless_rows(mut tcp: TcpStream, seen: &Seen) {
    let mut out = BytesMut::new();
    put(&mut out, b'T', &one_column());
    put_row(&mut out, &"x".repeat(8000));
    loop {
        let stall_timeout = std::time::Duration::from_millis(500);
        match tokio::time::timeout(stall_timeout, tcp.write_all(&out)).await {
            Ok(Ok(())) => *seen.poured_bytes.borrow_mut() += out.len(),
            Ok(Err(_)) => return,
            Err(_) => seen.stalled.notify_one(),
        }
    }
}

/// Returns the body of a RowDescription with one column of text.
fn one_column() -> Vec<u8> {
    let mut body = BytesMut::new();
    body.put_u16(1);
    body.put_slice(b"echo\0");
    body.put_u32(0);
    body.put_u16(0);
    body.put_u32(25);
    body.put_i16(-1);
    body.put_i32(-1);
    body.put_u16(0);
    body.to_vec()
}

/// Appends a DataRow with the text of the statement.
fn put_row(out: &mut BytesMut, text: &str) {
    let mut body = BytesMut::new();
    body.put_u16(1);
    body.put_u32(text.len() as u32);
    body.put_slice(text.as_bytes());
    put(out, b'D', &body);
}

/// A front and its servers.
pub(crate) struct Rig {
    pub host: Rc<Host>,
    pub servers: Rc<Servers>,
    pub address: SocketAddr,
    addresses: Vec<SocketAddr>,
}

impl Rig {
    /// Starts a front with at most `max_connections` server connections and a deadline for each transaction.
    pub(crate) async fn start(addresses: &[SocketAddr], max_connections: usize, deadline: Micros) -> Rig {
        Rig::start_with_rules(addresses, max_connections, deadline, Vec::new()).await
    }

    /// Starts a front whose balancer may not cancel attempts.
    pub(crate) async fn start_without_cancel(addresses: &[SocketAddr], deadline: Micros) -> Rig {
        Rig::start_with(addresses, 4, [deadline; 2], Vec::new(), false).await
    }

    /// Starts a front with rules: transactions of class 0 may be repeated, those of class 1 may not.
    pub(crate) async fn start_with_rules(
        addresses: &[SocketAddr], max_connections: usize, deadline: Micros, rules: Vec<Rule>,
    ) -> Rig {
        Rig::start_with(addresses, max_connections, [deadline; 2], rules, true).await
    }

    /// Starts a front with a deadline for each class.
    pub(crate) async fn start_with(
        addresses: &[SocketAddr], max_connections: usize, deadlines: [Micros; 2], rules: Vec<Rule>,
        allow_cancel: bool,
    ) -> Rig {
        let class = |effect, latency_objective| Class {
            side_effects: effect,
            latency_objective,
            ..Config::example().classes[0].clone()
        };
        let classes =
            vec![class(SideEffects::None, deadlines[0]), class(SideEffects::NonIdempotent, deadlines[1])];
        let mut config = Config { proxy_count: 1, classes, ..Config::example() };
        config.attempts.allow_hedging = false;
        config.attempts.allow_cancel = allow_cancel;
        let network = NetworkSettings {
            connect_timeout: Micros(1_000_000),
            idle_timeout: Micros(60_000_000),
            max_retry_after: Some(Micros(1_000_000)),
            deadlines: deadlines.to_vec(),
        };
        let login = Login { user: "deck".into(), database: "scores".into(), password: None };
        let servers = Servers::new(login, &network, max_connections);
        let settings = Settings { config: config.clone(), names: Names::default(), network };
        let cordon = Cordon::load(&std::env::temp_dir().join("lotusdeck-no-such-proxy"));
        let balancer = Balancer::new(config, 4).unwrap();
        let host = Host::new(
            balancer,
            settings,
            Clock::new(),
            vec![servers.clone()],
            cordon,
            OptionalServices::default(),
        );
        tokio::task::spawn_local(host.clone().run_timers());
        let user = User { name: "ann".into(), verifier: Verifier::from_password(b"do re mi", b"salt", 64) };
        let settings =
            FrontSettings { databases: vec!["scores".into()], users: vec![user], max_clients: 100, rules };
        let front = Front::new(host.clone(), servers.clone(), settings).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(front.run(listener));
        let rig = Rig { host, servers, address, addresses: addresses.to_vec() };
        (0..addresses.len()).for_each(|n| rig.set_state(n, BackendState::Ready));
        rig
    }

    /// Updates the state of a server in the endpoint list.
    pub(crate) fn set_state(&self, server: usize, state: BackendState) {
        let (name, address) = (format!("pg-{server}"), self.addresses[server]);
        let entry = Backend { state, ..Backend::default() };
        let row = EndpointRecord::new(&name, &address.to_string(), "", "", entry);
        self.host.update_endpoints(ListUpdate::Changes, vec![Endpoint { name, address, state, row }]);
    }

    /// Opens a session with a real driver, as user `ann` on database `scores`.
    pub(crate) async fn driver(
        &self, password: &str,
    ) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
        self.driver_as("ann", password, "scores").await
    }

    pub(crate) async fn driver_as(
        &self, user: &str, password: &str, database: &str,
    ) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
        let mut config = tokio_postgres::Config::new();
        config.host("127.0.0.1").port(self.address.port()).user(user).password(password).dbname(database);
        let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
        tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(client)
    }
}

/// Returns the single value in the answer to a simple query.
pub(crate) fn value(messages: &[tokio_postgres::SimpleQueryMessage]) -> String {
    let row = messages.iter().find_map(|m| match m {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.unwrap_or_default().to_string()
}

/// Returns the SQLSTATE of an error; an empty text if there is none.
pub(crate) fn code<T>(result: Result<T, tokio_postgres::Error>) -> String {
    result.err().and_then(|e| e.code().map(|c| c.code().to_string())).unwrap_or_default()
}
