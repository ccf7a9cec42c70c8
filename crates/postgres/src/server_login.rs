//! Logging in to a server, as the proxy's own role.

use crate::io::{drain, fill};
use crate::wire::{message, put, CancelKey, Message, Parameter, WireError};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use lotusdeck_policy::Outcome;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use std::cell::RefCell;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tracing::warn;

/// Maximum length of a message from a server during login, without its header, bytes.
const MAX_LOGIN_MESSAGE_BYTES: usize = 64 * 1024;

/// The version of the protocol in a start-up packet: 3.0.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// The name under which the proxy appears at its servers.
const APPLICATION_NAME: &str = "lotusdeck";
/// SQLSTATE: too many connections.
const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE: the server starts or shuts down.
const CANNOT_CONNECT_NOW: &str = "57P03";

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

/// A connection to a server after the login.
pub(crate) struct ServerSession {
    pub tcp: TcpStream,
    /// Bytes received and not yet read.
    pub input: BytesMut,
    /// The key of a CancelRequest for this connection.
    pub cancel_key: CancelKey,
    /// The parameters that the server reported (ParameterStatus).
    pub parameters: Vec<Parameter>,
}

/// Why a login to a server failed.
pub(crate) enum LoginFailure {
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

impl LoginFailure {
    /// Returns the outcome of the attempt that the connection was meant for, and logs what operators have to mend.
    pub(crate) fn into_outcome(self, server: SocketAddr) -> Outcome {
        match self {
            LoginFailure::ServerError(code) if code == TOO_MANY_CONNECTIONS || code == CANNOT_CONNECT_NOW => {
                return Outcome::Rejected;
            }
            LoginFailure::Io => {}
            LoginFailure::Protocol(e) => warn!(%server, error = %e, "login failed"),
            LoginFailure::ServerError(code) => warn!(%server, code, "login refused"),
            LoginFailure::Unsupported(what) => warn!(%server, what, "login failed"),
        }
        Outcome::ConnectFailed
    }
}

impl Login {
    /// Connects to a server and logs in.
    pub(crate) async fn log_in(&self, address: SocketAddr) -> Result<ServerSession, LoginFailure> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let (input, output) = (RefCell::<BytesMut>::default(), RefCell::new(self.startup_packet()));
        let mut scram = None;
        let mut cancel_key = CancelKey::default();
        let mut parameters = Vec::new();
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
                    cancel_key.process_id = body.get_i32();
                    cancel_key.secret = body.get_i32();
                }
                b'E' => return Err(LoginFailure::ServerError(sqlstate(&body))),
                b'Z' => return Ok(ServerSession { tcp, input: input.into_inner(), cancel_key, parameters }),
                _ => {}
            }
        }
    }

    fn startup_packet(&self) -> BytesMut {
        let mut body = BytesMut::new();
        body.put_u32(PROTOCOL_VERSION);
        let parameters =
            [("user", &*self.user), ("database", &*self.database), ("application_name", APPLICATION_NAME)];
        for text in parameters.into_iter().flat_map(|(name, value)| [name, value]) {
            body.put_slice(text.as_bytes());
            body.put_u8(0);
        }
        body.put_u8(0);
        let mut packet = BytesMut::new();
        packet.put_u32(body.len() as u32 + 4);
        packet.put_slice(&body);
        packet
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
                let password =
                    self.password.as_ref().ok_or(LoginFailure::Unsupported("it asks for a password"))?;
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
