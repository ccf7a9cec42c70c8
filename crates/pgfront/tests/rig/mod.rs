//! A stand-in for servers of the PostgreSQL protocol, and a front before some of them.

use bytes::{BufMut, BytesMut};
use lotusdeck_core::cordon::Cordon;
use lotusdeck_core::{Clock, Endpoint, Host};
use lotusdeck_pgfront::scram::Verifier;
use lotusdeck_pgfront::wire::{message, opening, put, Opening};
use lotusdeck_pgfront::{Front, FrontSettings, Login, Servers, User};
use lotusdeck_policy::settings::{Names, Network, Row, Settings};
use lotusdeck_policy::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What a stand-in has seen: statements in the order in which they ran, and cancels.
#[derive(Default)]
pub struct Seen {
    pub statements: RefCell<Vec<String>>,
    pub parsed: RefCell<Vec<String>>,
    pub logins: RefCell<usize>,
    pub cancels: RefCell<Vec<(i32, i32)>>,
    pub cancelled: Notify,
}

/// Runs a stand-in: `die` ends the connection unanswered, `halt` after CommandComplete, `stall` never answers.
pub async fn stand_in() -> (SocketAddr, Rc<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (at, seen) = (listener.local_addr().unwrap(), Rc::new(Seen::default()));
    let log = seen.clone();
    tokio::task::spawn_local(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            tokio::task::spawn_local(session(tcp, log.clone()));
        }
    });
    (at, seen)
}

async fn session(mut tcp: TcpStream, seen: Rc<Seen>) {
    let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
    loop {
        match opening(&mut input).unwrap() {
            Some(Opening::Cancel(pid, secret)) => {
                seen.cancels.borrow_mut().push((pid, secret));
                return seen.cancelled.notify_one();
            }
            Some(Opening::Start(..)) => break,
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
    let (mut status, mut text, mut failed) = (b'I', String::new(), false);
    let mut named: HashMap<String, String> = HashMap::new();
    loop {
        if tcp.write_all(&out).await.is_err() {
            return;
        }
        out.clear();
        let Some((kind, body)) = message(&mut input, 1 << 20).unwrap() else {
            if tcp.read_buf(&mut input).await.unwrap_or(0) == 0 {
                return;
            }
            continue;
        };
        let words =
            |b: &[u8]| String::from_utf8_lossy(b.split(|b| *b == 0).next().unwrap_or(b"")).into_owned();
        if failed && !matches!(kind, b'Q' | b'S') {
            continue;
        }
        failed = false;
        // As PostgreSQL does: a name is prepared once, and used only where it was.
        let mut fail = |out: &mut BytesMut, code: &str| {
            put(out, b'E', format!("SERROR\0C{code}\0Mstand-in\0\0").as_bytes());
            failed = true;
        };
        let second = |b: &[u8]| words(&b[words(b).len() + 1..]);
        match kind {
            b'Q' => text = words(&body),
            b'P' => match (words(&body), second(&body)) {
                (name, _) if !name.is_empty() && named.contains_key(&name) => fail(&mut out, "42P05"),
                (_, new) if new == "nonsense" => fail(&mut out, "42601"),
                (name, new) => {
                    seen.parsed.borrow_mut().push(new.clone());
                    named.insert(name, new);
                    put(&mut out, b'1', b"");
                }
            },
            b'B' => match named.get(&second(&body)) {
                Some(known) => {
                    text.clone_from(known);
                    put(&mut out, b'2', b"");
                }
                None => fail(&mut out, "26000"),
            },
            b'D' if body[0] == b'S' => match named.contains_key(&words(&body[1..])) {
                true => {
                    put(&mut out, b't', &[0, 0]);
                    put(&mut out, b'T', &column());
                }
                false => fail(&mut out, "26000"),
            },
            b'D' => put(&mut out, b'T', &column()),
            b'C' => put(&mut out, b'3', b""),
            _ => {}
        }
        if matches!(kind, b'Q' | b'E') {
            seen.statements.borrow_mut().push(text.clone());
            match text.as_str() {
                "die" => return,
                "stall" => std::future::pending().await,
                "begin" => status = b'T',
                "commit" | "rollback" => status = b'I',
                _ => {}
            }
            if kind == b'Q' {
                put(&mut out, b'T', &column());
            }
            row(&mut out, &text);
            put(&mut out, b'C', b"SELECT 1\0");
            if text == "halt" {
                let _ = tcp.write_all(&out).await;
                return;
            }
        }
        if matches!(kind, b'Q' | b'S') {
            put(&mut out, b'Z', &[status]);
        }
    }
}

/// RowDescription of one column of text.
fn column() -> Vec<u8> {
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

/// A DataRow that holds the statement itself.
fn row(out: &mut BytesMut, text: &str) {
    let mut body = BytesMut::new();
    body.put_u16(1);
    body.put_u32(text.len() as u32);
    body.put_slice(text.as_bytes());
    put(out, b'D', &body);
}

/// A front before these servers.
pub struct Rig {
    pub host: Rc<Host>,
    pub servers: Rc<Servers>,
    pub at: SocketAddr,
    list: Vec<SocketAddr>,
}

impl Rig {
    /// At most so many connections to servers, and so much time for a transaction.
    pub async fn start(list: &[SocketAddr], most: usize, deadline: Micros) -> Rig {
        let class = Class { effect: Effect::Unsafe, aim: deadline, ..Config::example().classes[0].clone() };
        let config = Config { proxies: 1, classes: vec![class], ..Config::example() };
        let network = Network {
            connect_timeout: Micros(1_000_000),
            conn_idle: Micros(60_000_000),
            max_retry_after: Micros(1_000_000),
            deadlines: vec![deadline],
        };
        let login = Login { user: "deck".into(), database: "scores".into(), password: None };
        let servers = Servers::new(login, &network, most);
        let settings = Settings { config: config.clone(), names: Names::default(), network };
        let cordon = Cordon::load(&std::env::temp_dir().join("lotusdeck-no-such-proxy"));
        let balancer = Balancer::new(config, 4).unwrap();
        let host = Host::new(balancer, settings, Clock::new(), vec![servers.clone()], cordon, None);
        tokio::task::spawn_local(host.clone().timers());
        let user = User { name: "ann".into(), verifier: Verifier::of_password(b"do re mi", b"salt", 64) };
        let settings = FrontSettings { databases: vec!["scores".into()], users: vec![user], clients: 100 };
        let front = Front::new(host.clone(), servers.clone(), settings).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        tokio::task::spawn_local(front.run(listener));
        let rig = Rig { host, servers, at, list: list.to_vec() };
        (0..list.len()).for_each(|n| rig.tell(n, BackendState::Ready));
        rig
    }

    /// The list says that of a server.
    pub fn tell(&self, server: usize, state: BackendState) {
        let (name, address) = (format!("pg-{server}"), self.list[server]);
        let entry = Backend { state, ..Backend::default() };
        let row = Row::new(&name, &address.to_string(), "", "", entry);
        self.host.members(ListUpdate::Changes, vec![Endpoint { name, address, state, row }]);
    }

    /// A real driver's session.
    pub async fn driver(&self, password: &str) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
        self.driver_of("ann", password, "scores").await
    }

    pub async fn driver_of(
        &self, user: &str, password: &str, database: &str,
    ) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
        let mut config = tokio_postgres::Config::new();
        config.host("127.0.0.1").port(self.at.port()).user(user).password(password).dbname(database);
        let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
        tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(client)
    }
}

/// The one value that a simple query brought.
pub fn value(messages: &[tokio_postgres::SimpleQueryMessage]) -> String {
    let row = messages.iter().find_map(|m| match m {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.unwrap_or_default().to_string()
}

/// The code of a server's error.
pub fn code<T>(result: Result<T, tokio_postgres::Error>) -> String {
    result.err().and_then(|e| e.code().map(|c| c.code().to_string())).unwrap_or_default()
}
