//! A model of a PostgreSQL server (protocol version 3; PostgreSQL documentation, "Message Formats"). It records what
//! was committed, dies at random, and restarts on the same port.

use crate::driver::wire::Reserved;
use crate::world::rng::Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// The commits of all servers of a run, in order: the number written and the server.
pub(super) type Committed = Rc<RefCell<Vec<(u64, usize)>>>;

/// The probabilities of a server's death at each point of a statement, and its downtime.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeathChances {
    /// Probability of death before a statement runs.
    pub before: f64,
    /// Probability of death after the statement ran and, if it commits, is committed, before its result is sent.
    pub after: f64,
    /// Probability of death after the result is sent, before `ReadyForQuery`.
    pub halfway: f64,
    /// Mean downtime after a death, s.
    pub downtime_s: f64,
}

/// A stand-in for a PostgreSQL server.
pub(super) struct Server {
    number: usize,
    reserved: Reserved,
    chances: DeathChances,
    committed: Committed,
    rng: RefCell<Rng>,
    death: Notify,
    deaths: Cell<usize>,
}

/// The state of a client's session.
#[derive(Default)]
struct Session {
    /// Numbers inserted but not committed yet.
    pending: Vec<u64>,
    open: bool,
    named: HashMap<Vec<u8>, Vec<u8>>,
    bound: Vec<u8>,
    failed: bool,
}

fn push_message(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// Splits `bytes` at the first zero byte, which is dropped; without one the second part is empty.
fn split_at_zero(bytes: &[u8]) -> (&[u8], &[u8]) {
    let end = bytes.iter().position(|b| *b == 0).unwrap_or(bytes.len());
    (&bytes[..end], bytes.get(end + 1..).unwrap_or_default())
}

async fn read_u32(tcp: &mut TcpStream) -> std::io::Result<usize> {
    let mut bytes = [0; 4];
    tcp.read_exact(&mut bytes).await?;
    Ok(u32::from_be_bytes(bytes) as usize)
}

impl Server {
    /// Creates a server on a reserved port, without starting it.
    ///
    /// # Errors
    /// No port is free.
    pub(super) fn new(
        number: usize, chances: DeathChances, committed: Committed, seed: u64,
    ) -> std::io::Result<Rc<Server>> {
        let rng = RefCell::new(Rng::new(seed, &format!("postgres {number}")));
        let (reserved, death, deaths) = (Reserved::bind(None)?, Notify::new(), Cell::new(0));
        Ok(Rc::new(Server { number, reserved, chances, committed, rng, death, deaths }))
    }

    /// Returns the address that it listens on.
    pub(super) fn address(&self) -> std::net::SocketAddr {
        self.reserved.address()
    }

    /// Returns how often it died.
    pub(super) fn deaths(&self) -> usize {
        self.deaths.get()
    }

    fn listen(&self) -> std::io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address())?;
        socket.listen(256)
    }

    /// Serves, dies and restarts in a loop, until it is dropped.
    ///
    /// # Errors
    /// It cannot listen on its address or accept a connection.
    pub(super) async fn run(self: Rc<Self>) -> std::io::Result<()> {
        loop {
            let listener = self.listen()?;
            let mut sessions = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (tcp, _) = accepted?;
                        let server = self.clone();
                        // Errors are ignored: a client may disconnect at any point.
                        sessions.spawn_local(async move { drop(server.session(tcp).await) });
                    }
                    Some(_) = sessions.join_next() => {}
                    _ = self.death.notified() => break,
                }
            }
            self.deaths.set(self.deaths.get() + 1);
            drop((listener, sessions));
            let downtime_s = self.rng.borrow_mut().exponential(self.chances.downtime_s);
            tokio::time::sleep(Duration::from_secs_f64(downtime_s)).await;
        }
    }

    /// Kills the server with probability `chance`; this session then never continues.
    async fn maybe_die(&self, chance: f64) {
        if self.rng.borrow_mut().unit() < chance {
            self.death.notify_one();
            std::future::pending::<()>().await;
        }
    }

    async fn session(&self, mut tcp: TcpStream) -> std::io::Result<()> {
        tcp.set_nodelay(true)?;
        loop {
            let length = read_u32(&mut tcp).await?;
            let mut packet = vec![0; length.saturating_sub(4).min(10_000)];
            tcp.read_exact(&mut packet).await?;
            match packet.get(..4) {
                Some([0, 3, 0, 0]) => break,
                Some([4, 210, 22, 46]) => return Ok(()), // CancelRequest: statements end too soon to cancel
                _ => tcp.write_all(b"N").await?,
            }
        }
        let (mut out, mut s) = (Vec::new(), Session::default());
        push_message(&mut out, b'R', &[0; 4]);
        push_message(&mut out, b'S', b"server_version\x0016.0\0");
        push_message(&mut out, b'K', &[0, 0, 0, 1, 0, 0, 0, 2]);
        push_message(&mut out, b'Z', b"I");
        loop {
            tcp.write_all(&out).await?;
            out.clear();
            let kind = tcp.read_u8().await?;
            let mut body = vec![0; read_u32(&mut tcp).await?.saturating_sub(4).min(1 << 20)];
            tcp.read_exact(&mut body).await?;
            if s.failed && !matches!(kind, b'S' | b'Q') {
                continue;
            }
            s.failed = false;
            match kind {
                b'X' => return Ok(()),
                b'P' => {
                    let (name, rest) = split_at_zero(&body);
                    match !name.is_empty() && s.named.contains_key(name) {
                        true => self.push_error(&mut s, &mut out, "42P05"),
                        false => {
                            s.named.insert(name.to_vec(), split_at_zero(rest).0.to_vec());
                            push_message(&mut out, b'1', b"");
                        }
                    }
                }
                b'B' => match s.named.get(split_at_zero(split_at_zero(&body).1).0) {
                    Some(statement) => {
                        s.bound.clone_from(statement);
                        push_message(&mut out, b'2', b"");
                    }
                    None => self.push_error(&mut s, &mut out, "26000"),
                },
                b'D' if body.first() == Some(&b'S') => {
                    push_message(&mut out, b't', &[0, 0]);
                    push_message(&mut out, b'n', b"");
                }
                b'D' => push_message(&mut out, b'n', b""),
                b'C' => push_message(&mut out, b'3', b""),
                b'Q' => {
                    let statement = split_at_zero(&body).0.to_vec();
                    self.execute(&mut s, &statement, &mut out).await;
                }
                b'E' => {
                    let statement = s.bound.clone();
                    self.execute(&mut s, &statement, &mut out).await;
                }
                _ => {}
            }
            if matches!(kind, b'Q' | b'S') {
                if self.rng.borrow_mut().unit() < self.chances.halfway {
                    tcp.write_all(&out).await?;
                    self.maybe_die(1.0).await;
                }
                push_message(&mut out, b'Z', if s.open { b"T" } else { b"I" });
            }
        }
    }

    fn push_error(&self, s: &mut Session, out: &mut Vec<u8>, code: &str) {
        s.failed = true;
        push_message(out, b'E', format!("SERROR\0C{code}\0Mstand-in {}\0\0", self.number).as_bytes());
    }

    async fn execute(&self, s: &mut Session, statement: &[u8], out: &mut Vec<u8>) {
        self.maybe_die(self.chances.before).await;
        let statement_text = String::from_utf8_lossy(statement).into_owned();
        let tag = match statement_text.split_once(' ').unwrap_or((&statement_text, "")) {
            ("begin", _) => {
                s.open = true;
                "BEGIN"
            }
            ("insert", number) => {
                s.pending.extend(number.parse::<u64>());
                "INSERT 0 1"
            }
            ("select", _) => "SELECT 0",
            ("commit", _) => {
                s.open = false;
                "COMMIT"
            }
            _ => {
                (s.open, s.pending) = (false, Vec::new());
                "ROLLBACK"
            }
        };
        if !s.open {
            self.committed.borrow_mut().extend(s.pending.drain(..).map(|n| (n, self.number)));
        }
        self.maybe_die(self.chances.after).await;
        push_message(out, b'C', format!("{tag}\0").as_bytes());
    }
}
