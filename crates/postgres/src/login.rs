//! The login of a client, from its first packet to the first ReadyForQuery.

use crate::error::ClientError;
use crate::io::{drain, fill};
use crate::scram::{Exchange, ScramError, Verifier, MECHANISM};
use crate::wire::{message, opening, put, CancelKey, Message, Opening, Parameter, WireError};
use bytes::{Buf, BufMut, BytesMut};
use std::cell::RefCell;
use tokio::net::TcpStream;

/// Maximum length of a client's message during login, without its header, bytes.
const MAX_LOGIN_MESSAGE_BYTES: usize = 8 * 1024;
/// The prefix of the names of protocol options in a start-up packet.
const PROTOCOL_OPTION_PREFIX: &str = "_pq_.";
// Codes of authentication messages ("Message Formats").
const AUTHENTICATION_OK: u32 = 0;
const AUTHENTICATION_SASL: u32 = 10;
const AUTHENTICATION_SASL_CONTINUE: u32 = 11;
const AUTHENTICATION_SASL_FINAL: u32 = 12;
/// Parameters that clients get (ParameterStatus) unless a server has reported another value during login.
const DEFAULT_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// The start-up packet of a session.
pub(crate) struct SessionStart {
    pub(crate) minor: u16,
    pub(crate) parameters: Vec<Parameter>,
}

impl SessionStart {
    /// Returns the value of a parameter.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let parameter = self.parameters.iter().find(|parameter| parameter.name == name);
        parameter.map(|parameter| parameter.value.as_str())
    }
}

/// Returns the parameters of a server, after the defaults for those that it does not report.
fn with_defaults(server_parameters: Vec<Parameter>) -> Vec<Parameter> {
    let defaults = DEFAULT_PARAMETERS.iter();
    let mut parameters: Vec<Parameter> = defaults
        .map(|(name, value)| Parameter { name: name.to_string(), value: value.to_string() })
        .collect();
    for parameter in server_parameters {
        parameters.retain(|known| known.name != parameter.name);
        parameters.push(parameter);
    }
    parameters
}

/// Appends a ReadyForQuery with the status "not in a transaction".
pub(crate) fn put_ready(out: &mut BytesMut) {
    put(out, b'Z', b"I");
}

/// Appends a ReadyForQuery with the status "in a failed transaction block".
pub(crate) fn put_ready_in_failed_block(out: &mut BytesMut) {
    put(out, b'Z', b"E");
}

/// Why a login failed.
pub(crate) enum LoginError {
    /// The client has disconnected, or has not logged in within the time limit.
    Disconnected,
    /// The client gets this error.
    Rejected(ClientError),
}

impl From<ClientError> for LoginError {
    fn from(error: ClientError) -> LoginError {
        LoginError::Rejected(error)
    }
}

impl From<std::io::Error> for LoginError {
    fn from(_: std::io::Error) -> LoginError {
        LoginError::Disconnected
    }
}
impl From<WireError> for LoginError {
    fn from(e: WireError) -> LoginError {
        LoginError::Rejected(ClientError::fatal("08P01", e.to_string()))
    }
}
impl From<ScramError> for LoginError {
    fn from(e: ScramError) -> LoginError {
        LoginError::Rejected(match e {
            ScramError::ProofMismatch => ClientError::fatal("28P01", "password authentication failed"),
            ScramError::Malformed(what) => ClientError::fatal("08P01", what),
        })
    }
}

/// A connection whose client is not authenticated yet.
pub(crate) struct NewConnection {
    pub(crate) tcp: TcpStream,
    pub(crate) input: RefCell<BytesMut>,
    pub(crate) output: RefCell<BytesMut>,
}

impl NewConnection {
    pub(crate) fn new(tcp: TcpStream) -> NewConnection {
        NewConnection { tcp, input: RefCell::default(), output: RefCell::default() }
    }

    /// Receives an opening packet of the client; another one follows after encryption was refused.
    pub(crate) async fn receive_opening(&self) -> Result<Opening, LoginError> {
        loop {
            if let Some(opening) = opening(&mut self.input.borrow_mut())? {
                return Ok(opening);
            }
            self.receive_more().await?;
        }
    }

    /// Refuses encryption, which is not supported.
    pub(crate) async fn refuse_encryption(&self) -> Result<(), LoginError> {
        self.output.borrow_mut().put_u8(b'N');
        Ok(drain(&self.output, &self.tcp).await?)
    }

    /// Sends a NegotiateProtocolVersion, with the supported minor version and the unknown options, if the client
    /// requests a newer minor version or protocol options.
    pub(crate) async fn negotiate_version(&self, start: &SessionStart) -> Result<(), LoginError> {
        let names = start.parameters.iter().map(|parameter| parameter.name.as_str());
        let unknown: Vec<&str> = names.filter(|name| name.starts_with(PROTOCOL_OPTION_PREFIX)).collect();
        if start.minor == 0 && unknown.is_empty() {
            return Ok(());
        }
        let mut body = 0u32.to_be_bytes().to_vec();
        body.extend((unknown.len() as u32).to_be_bytes());
        for name in unknown {
            body.extend(name.bytes().chain([0]));
        }
        self.send(b'v', &body).await
    }

    /// Completes the login of an authenticated client: sends it the server's parameters and the cancel key of its
    /// session, and returns the key.
    pub(crate) async fn complete_login(
        &self, server_parameters: Vec<Parameter>,
    ) -> Result<CancelKey, LoginError> {
        let mut key_bytes = random_bytes::<8>()?;
        key_bytes[0] &= 0x7f; // process ids are positive
        let mut out = self.output.take();
        put(&mut out, b'R', &AUTHENTICATION_OK.to_be_bytes());
        for Parameter { name, value } in with_defaults(server_parameters) {
            put(&mut out, b'S', format!("{name}\0{value}\0").as_bytes());
        }
        put(&mut out, b'K', &key_bytes);
        put_ready(&mut out);
        self.output.replace(out);
        drain(&self.output, &self.tcp).await?;
        let mut key_bytes = &key_bytes[..];
        let process_id = key_bytes.get_i32();
        Ok(CancelKey { process_id, secret: key_bytes.get_i32() })
    }

    /// Waits for more bytes from the client.
    async fn receive_more(&self) -> Result<(), LoginError> {
        match fill(&self.tcp, &self.input).await? {
            0 => Err(LoginError::Disconnected),
            _ => Ok(()),
        }
    }

    /// Sends a message.
    async fn send(&self, kind: u8, body: &[u8]) -> Result<(), LoginError> {
        put(&mut self.output.borrow_mut(), kind, body);
        Ok(drain(&self.output, &self.tcp).await?)
    }

    /// Receives a message of the type that PasswordMessage and the SASL responses share.
    async fn receive_sasl_response(&self) -> Result<bytes::Bytes, LoginError> {
        loop {
            match message(&mut self.input.borrow_mut(), MAX_LOGIN_MESSAGE_BYTES)? {
                Some(Message { kind: b'p', body }) => return Ok(body),
                Some(Message { kind, .. }) => {
                    return Err(
                        WireError::Malformed { kind: char::from(kind), reason: "a proof is due" }.into()
                    )
                }
                None => {}
            }
            self.receive_more().await?;
        }
    }

    /// Authenticates a client ("SASL Authentication", with SCRAM-SHA-256 only).
    pub(crate) async fn authenticate(&self, verifier: Verifier, nonce: &str) -> Result<(), LoginError> {
        let mut mechanisms = AUTHENTICATION_SASL.to_be_bytes().to_vec();
        mechanisms.extend(MECHANISM.as_bytes());
        mechanisms.extend([0, 0]);
        self.send(b'R', &mechanisms).await?;
        let mut first = self.receive_sasl_response().await?;
        let malformed = || {
            LoginError::from(WireError::Malformed {
                kind: 'p',
                reason: "no SASLInitialResponse of SCRAM-SHA-256",
            })
        };
        let end = first.iter().position(|b| *b == 0).ok_or_else(malformed)?;
        if &first[..end] != MECHANISM.as_bytes() || first.len() < end + 5 {
            return Err(malformed());
        }
        first.advance(end + 5);
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).map_err(|_| malformed());
        let (exchange, answer) = Exchange::begin(verifier, &text(&first)?, nonce)?;
        self.send(b'R', &[&AUTHENTICATION_SASL_CONTINUE.to_be_bytes(), answer.as_bytes()].concat()).await?;
        let last = self.receive_sasl_response().await?;
        let answer = exchange.end(&text(&last)?)?;
        put(
            &mut self.output.borrow_mut(),
            b'R',
            &[&AUTHENTICATION_SASL_FINAL.to_be_bytes(), answer.as_bytes()].concat(),
        );
        Ok(())
    }
}

/// Returns random bytes.
pub(crate) fn random_bytes<const N: usize>() -> Result<[u8; N], LoginError> {
    let mut out = [0; N];
    getrandom::fill(&mut out)
        .map_err(|_| LoginError::Rejected(ClientError::fatal("58000", "no random numbers can be had")))?;
    Ok(out)
}
