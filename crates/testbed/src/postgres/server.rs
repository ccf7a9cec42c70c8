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
pub(super) struct Chance {
    /// Probability of death before a statement runs.
    pub before: f64,
    /// Probability of death after the statement ran and, if it commits, is committed, before its result is sent.
    pub after: f64,
    /// Probability of death after the result is sent, before `ReadyForQuery`.
    pub halfway: f64,
    /// Mean downtime after a death, s.
    pub away: f64,
}

/// A stand-in for a PostgreSQL server.
pub(super) struct Server {
    number: usize,
    place: Reserved,
    chance: Chance,
    committed: Committed,
    rng: RefCell<Rng>,
    dies: Notify,
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

fn put(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// Splits `bytes` at the first zero byte, which is dropped; without one the second part is empty.
fn text(bytes: &[u8]) -> (&[u8], &[u8]) {
    let end = bytes.iter().position(|b| *b == 0).unwrap_or(bytes.len());
    (&bytes[..end], bytes.get(end + 1..).unwrap_or_default())
}

async fn word(tcp: &mut TcpStream) -> std::io::Result<usize> {
    let mut word = [0; 4];
    tcp.read_exact(&mut word).await?;
    Ok(u32::from_be_bytes(word) as usize)
}

impl Server {
    /// Creates a server on a reserved port, without starting it.
    ///
    /// # Errors
    /// No port is free.
    pub(super) fn new(
        number: usize, chance: Chance, committed: Committed, seed: u64,
    ) -> std::io::Result<Rc<Server>> {
        let rng = RefCell::new(Rng::new(seed, &format!("postgres {number}")));
        let (place, dies, deaths) = (Reserved::take(None)?, Notify::new(), Cell::new(0));
        Ok(Rc::new(Server { number, place, chance, committed, rng, dies, deaths }))
    }

    /// Returns the address that it listens on.
    pub(super) fn address(&self) -> std::net::SocketAddr {
        self.place.address()
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
                    _ = self.dies.notified() => break,
                }
            }
            self.deaths.set(self.deaths.get() + 1);
            drop((listener, sessions));
            let away = self.rng.borrow_mut().exponential(self.chance.away);
            tokio::time::sleep(Duration::from_secs_f64(away)).await;
        }
    }

    /// Kills the server with probability `chance`; this session then never continues.
    async fn perhaps_die(&self, chance: f64) {
        if self.rng.borrow_mut().unit() < chance {
            self.dies.notify_one();
            std::future::pending::<()>().await;
        }
    }

    async fn session(&self, mut tcp: TcpStream) -> std::io::Result<()> {
        tcp.set_nodelay(true)?;
        loop {
            let length = word(&mut tcp).await?;
            let mut packet = vec![0; length.saturating_sub(4).min(10_000)];
            tcp.read_exact(&mut packet).await?;
            match packet.get(..4) {
                Some([0, 3, 0, 0]) => break,
                Some([4, 210, 22, 46]) => return Ok(()), // CancelRequest: statements end too soon to cancel
                _ => tcp.write_all(b"N").await?,
            }
        }
        let (mut out, mut s) = (Vec::new(), Session::default());
        put(&mut out, b'R', &[0; 4]);
        put(&mut out, b'S', b"server_version\x0016.0\0");
        put(&mut out, b'K', &[0, 0, 0, 1, 0, 0, 0, 2]);
        put(&mut out, b'Z', b"I");
        loop {
            tcp.write_all(&out).await?;
            out.clear();
            let kind = tcp.read_u8().await?;
            let mut body = vec![0; word(&mut tcp).await?.saturating_sub(4).min(1 << 20)];
            tcp.read_exact(&mut body).await?;
            if s.failed && !matches!(kind, b'S' | b'Q') {
                continue;
            }
            s.failed = false;
            match kind {
                b'X' => return Ok(()),
                b'P' => {
                    let (name, rest) = text(&body);
                    match !name.is_empty() && s.named.contains_key(name) {
                        true => self.fail(&mut s, &mut out, "42P05"),
                        false => {
                            s.named.insert(name.to_vec(), text(rest).0.to_vec());
                            put(&mut out, b'1', b"");
                        }
                    }
                }
                b'B' => match s.named.get(text(text(&body).1).0) {
                    Some(statement) => {
                        s.bound.clone_from(statement);
                        put(&mut out, b'2', b"");
                    }
                    None => self.fail(&mut s, &mut out, "26000"),
                },
                b'D' if body.first() == Some(&b'S') => {
                    put(&mut out, b't', &[0, 0]);
                    put(&mut out, b'n', b"");
                }
                b'D' => put(&mut out, b'n', b""),
                b'C' => put(&mut out, b'3', b""),
                b'Q' => {
                    let statement = text(&body).0.to_vec();
                    self.execute(&mut s, &statement, &mut out).await;
                }
                b'E' => {
                    let statement = s.bound.clone();
                    self.execute(&mut s, &statement, &mut out).await;
                }
                _ => {}
            }
            if matches!(kind, b'Q' | b'S') {
                if self.rng.borrow_mut().unit() < self.chance.halfway {
                    tcp.write_all(&out).await?;
                    self.perhaps_die(1.0).await;
                }
                put(&mut out, b'Z', if s.open { b"T" } else { b"I" });
            }
        }
    }

    fn fail(&self, s: &mut Session, out: &mut Vec<u8>, code: &str) {
        s.failed = true;
        put(out, b'E', format!("SERROR\0C{code}\0Mstand-in {}\0\0", self.number).as_bytes());
    }

    async fn execute(&self, s: &mut Session, statement: &[u8], out: &mut Vec<u8>) {
        self.perhaps_die(self.chance.before).await;
        let words = String::from_utf8_lossy(statement).into_owned();
        let tag = match words.split_once(' ').unwrap_or((&words, "")) {
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
        self.perhaps_die(self.chance.after).await;
        put(out, b'C', format!("{tag}\0").as_bytes());
    }
}
