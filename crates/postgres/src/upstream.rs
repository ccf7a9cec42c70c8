//! Connections to servers: establishing them, logging in, and the pool of idle ones.

use crate::io::{drain, fill};
use crate::statements::ServerStatements;
use crate::wire::{message, put, CancelKey, Message, Parameter, WireError};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use lotusdeck_core::{to_duration, ConnectionPools};
use lotusdeck_policy::settings::NetworkSettings;
use lotusdeck_policy::{BackendId, Outcome};
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

/// Maximum length of a message from a server during login, without its header, bytes.
const MAX_LOGIN_MESSAGE_BYTES: usize = 64 * 1024;

/// The credentials of the proxy at its servers.
#[derive(Clone, Debug)]
pub struct Login {
    /// The role.
    pub user: String,
    /// The database.
    pub database: String,
    /// The password for SCRAM-SHA-256. Logging in fails if a server requests another authentication method.
    pub password: Option<String>,
}

/// The number of open connections, and the tasks that wait for one.
#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    freed: Notify,
}

/// Counts one open connection until the slot is dropped, which wakes a task that waits for a connection.
struct Slot(Rc<OpenConnections>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.freed.notify_one();
    }
}

/// A connection to a server, logged in. Dropping it closes the socket, upon which the server rolls back an open
/// transaction.
pub(crate) struct Upstream {
    pub tcp: TcpStream,
    pub address: SocketAddr,
    /// Bytes received and not yet forwarded.
    pub input: RefCell<BytesMut>,
    /// Bytes to be written.
    pub output: RefCell<BytesMut>,
    /// The key of a CancelRequest for this connection.
    pub cancel_key: CancelKey,
    /// The statements that are prepared on this connection.
    pub statements: RefCell<ServerStatements>,
    /// When the connection became idle, or was established.
    idle_since: Instant,
    _slot: Slot,
}

/// The connections of a front to all its servers.
pub struct Servers {
    login: Login,
    /// The idle connections of each backend, in the order in which they became idle.
    idle: RefCell<HashMap<BackendId, Vec<Upstream>>>,
    open: Rc<OpenConnections>,
    max_connections: usize,
    idle_timeout: Cell<Duration>,
    connect_timeout: Cell<Duration>,
    /// The parameters that a server reported during the latest login.
    parameters: RefCell<Vec<Parameter>>,
}

/// Why a login to a server failed.
enum LoginFailure {
    /// The connection cannot be established, or breaks.
    Io,
    /// A message of the server is invalid.
    Protocol(WireError),
    /// The SQLSTATE of the server's error.
    ServerError(String),
    /// The server requests an authentication that the proxy cannot perform.
    Unsupported(&'static str),
}

impl From<std::io::Error> for LoginFailure {
    fn from(_: std::io::Error) -> LoginFailure {
        LoginFailure::Io
    }
}
impl From<WireError> for LoginFailure {
    fn from(e: WireError) -> LoginFailure {
        LoginFailure::Protocol(e)
    }
}

impl Servers {
    /// Creates a pool without connections; at most `max_connections` will be open at a time.
    pub fn new(login: Login, network: &NetworkSettings, max_connections: usize) -> Rc<Servers> {
        Rc::new(Servers {
            login,
            idle: RefCell::default(),
            open: Rc::default(),
            max_connections,
            idle_timeout: Cell::new(to_duration(network.idle_timeout)),
            connect_timeout: Cell::new(to_duration(network.connect_timeout)),
            parameters: RefCell::default(),
        })
    }

    /// Returns the number of open connections, idle ones included.
    pub fn open_connections(&self) -> usize {
        self.open.count.get()
    }

    /// Returns the parameters that a server reported during the latest login (ParameterStatus).
    pub fn parameters(&self) -> Vec<Parameter> {
        self.parameters.borrow().clone()
    }

    /// Takes an idle connection to a backend, or establishes one. If the maximum number is open and none is idle, waits
    /// until one becomes idle or is closed; waiting tasks are woken in the order of their arrival. The core cancels
    /// attempts whose deadline passes in the meantime.
    pub(crate) async fn acquire(&self, id: BackendId, address: SocketAddr) -> Result<Upstream, Outcome> {
        loop {
            if let Some(upstream) = self.take_idle(id, address) {
                return Ok(upstream);
            }
            if self.open_connections() < self.max_connections || self.close_oldest() {
                return self.connect(address).await;
            }
            self.open.freed.notified().await;
        }
    }

    /// Takes the most recently used idle connection to a backend, after closing those that are unusable.
    fn take_idle(&self, id: BackendId, address: SocketAddr) -> Option<Upstream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id).or_default();
        // An idle connection that has become readable is not used: as a rule the server is closing it.
        let is_silent = |u: &Upstream| {
            let read = u.tcp.try_read(&mut [0]);
            matches!(read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
        };
        connections.retain(|u| {
            u.address == address && u.idle_since.elapsed() < self.idle_timeout.get() && is_silent(u)
        });
        connections.pop()
    }

    /// Returns a connection to the pool; closes it if no connections to the backend are to be kept.
    pub(crate) fn release(&self, id: BackendId, mut upstream: Upstream) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&id) {
            upstream.idle_since = Instant::now();
            connections.push(upstream);
            self.open.freed.notify_one();
        }
    }

    /// Closes the connection that has been idle longest; returns whether there was an idle one.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let non_empty = idle.values_mut().filter(|connections| !connections.is_empty());
        non_empty
            .min_by_key(|connections| connections[0].idle_since)
            .map(|connections| connections.remove(0))
            .is_some()
    }

    async fn connect(&self, address: SocketAddr) -> Result<Upstream, Outcome> {
        self.open.count.set(self.open_connections() + 1);
        let slot = Slot(self.open.clone());
        let login = tokio::time::timeout(self.connect_timeout.get(), self.log_in(address)).await;
        match login {
            Ok(Ok((tcp, input, key))) => {
                let (input, output) = (RefCell::new(input), RefCell::default());
                Ok(Upstream {
                    tcp,
                    address,
                    input,
                    output,
                    cancel_key: key,
                    statements: RefCell::default(),
                    idle_since: Instant::now(),
                    _slot: slot,
                })
            }
            Ok(Err(LoginFailure::ServerError(code))) if code == "53300" || code == "57P03" => {
                Err(Outcome::Rejected)
            }
            Ok(Err(failure)) => {
                match failure {
                    LoginFailure::Io => {}
                    LoginFailure::Protocol(e) => warn!(server = %address, error = %e, "login failed"),
                    LoginFailure::ServerError(code) => warn!(server = %address, code, "login refused"),
                    LoginFailure::Unsupported(what) => warn!(server = %address, what, "login failed"),
                }
                Err(Outcome::ConnectFailed)
            }
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    async fn log_in(&self, address: SocketAddr) -> Result<(TcpStream, BytesMut, CancelKey), LoginFailure> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let (input, output) = (RefCell::<BytesMut>::default(), RefCell::<BytesMut>::default());
        let mut start = BytesMut::new();
        start.put_u32(3 << 16);
        for text in
            ["user", &self.login.user, "database", &self.login.database, "application_name", "lotusdeck"]
        {
            start.put_slice(text.as_bytes());
            start.put_u8(0);
        }
        start.put_u8(0);
        output.borrow_mut().put_u32(start.len() as u32 + 4);
        output.borrow_mut().put_slice(&start);
        let (mut scram, mut key, mut parameters) = (None, CancelKey::default(), Vec::new());
        loop {
            drain(&output, &tcp).await?;
            let next = message(&mut input.borrow_mut(), MAX_LOGIN_MESSAGE_BYTES)?;
            let Some(Message { kind, mut body }) = next else {
                if fill(&tcp, &input).await? == 0 {
                    return Err(LoginFailure::Io);
                }
                continue;
            };
            match kind {
                b'R' => self.authenticate(&mut body, &mut scram, &mut output.borrow_mut())?,
                b'S' => parameters.extend(parse_parameter(&body)),
                b'K' if body.len() >= 8 => {
                    key.process_id = body.get_i32();
                    key.secret = body.get_i32();
                }
                b'E' => return Err(LoginFailure::ServerError(sqlstate(&body))),
                b'Z' => {
                    *self.parameters.borrow_mut() = parameters;
                    return Ok((tcp, input.into_inner(), key));
                }
                _ => {}
            }
        }
    }

    /// Handles an authentication request of the server, and appends the response to `out`.
    fn authenticate(
        &self, body: &mut Bytes, scram: &mut Option<ScramSha256>, out: &mut BytesMut,
    ) -> Result<(), LoginFailure> {
        const TOO_SHORT: LoginFailure =
            LoginFailure::Protocol(WireError::Malformed { kind: 'R', reason: "too short" });
        if body.len() < 4 {
            return Err(TOO_SHORT);
        }
        match (body.get_u32(), scram.as_mut()) {
            (0, _) => Ok(()),
            (10, _) => {
                let password = self
                    .login
                    .password
                    .as_ref()
                    .ok_or(LoginFailure::Unsupported("it asks for a password"))?;
                if !body.split(|b| *b == 0).any(|m| m == crate::scram::MECHANISM.as_bytes()) {
                    return Err(LoginFailure::Unsupported("it does not offer SCRAM-SHA-256"));
                }
                let new_scram = ScramSha256::new(password.as_bytes(), ChannelBinding::unsupported());
                let mut first = crate::scram::MECHANISM.as_bytes().to_vec();
                first.push(0);
                first.extend((new_scram.message().len() as u32).to_be_bytes());
                first.extend(new_scram.message());
                put(out, b'p', &first);
                *scram = Some(new_scram);
                Ok(())
            }
            (11, Some(scram)) => {
                scram.update(body)?;
                put(out, b'p', scram.message());
                Ok(())
            }
            (12, Some(scram)) => Ok(scram.finish(body)?),
            _ => Err(LoginFailure::Unsupported("it asks for another way than SCRAM-SHA-256")),
        }
    }
}

/// Parses a name and a value, each ended by a zero byte.
fn parse_parameter(body: &[u8]) -> Option<Parameter> {
    let mut texts = body.split(|b| *b == 0).map(|t| String::from_utf8_lossy(t).into_owned());
    Some(Parameter { name: texts.next()?, value: texts.next()? })
}

/// Returns the SQLSTATE of an ErrorResponse; an empty text if it has none.
fn sqlstate(body: &[u8]) -> String {
    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C'));
    field.map(|f| String::from_utf8_lossy(&f[1..]).into_owned()).unwrap_or_default()
}

impl ConnectionPools for Servers {
    fn retain_backends(&self, backends: &HashSet<BackendId>) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|id, _| backends.contains(id));
        for id in backends {
            idle.entry(*id).or_default();
        }
    }

    /// Closes the connections to the backend that were already idle at `sent`: they may be broken without having been
    /// closed.
    fn attempt_unanswered(&self, backend: BackendId, sent: Instant) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&backend) {
            connections.retain(|u| u.idle_since > sent);
        }
    }

    fn apply_settings(&self, network: &NetworkSettings) {
        self.idle_timeout.set(to_duration(network.idle_timeout));
        self.connect_timeout.set(to_duration(network.connect_timeout));
    }
}
