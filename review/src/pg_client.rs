//! A client of the PostgreSQL protocol, and what the operator file says of it.

use crate::crypto::{base64, from_base64, hmac, pbkdf2, sha256};
use crate::lab::Result;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const PASSWORD: &[u8] = b"do re mi";
const SALT: &[u8] = b"review salt";
const ITERATIONS: u32 = 4096;

/// A message: its type and its body.
pub type Message = (u8, Vec<u8>);

/// Returns the operator file of a front with these servers, by the defaults of the project's pages.
pub fn operator_file(listen: SocketAddr, servers: &[SocketAddr]) -> String {
    let key = pbkdf2(PASSWORD, SALT, ITERATIONS);
    let stored = base64(&sha256(&hmac(&key, b"Client Key")));
    let verifier =
        format!("SCRAM-SHA-256${ITERATIONS}:{}${stored}:{}", base64(SALT), base64(&hmac(&key, b"Server Key")));
    let server = |(number, address): (usize, &SocketAddr)| {
        format!("{{ name = \"pg-{}\", address = \"{address}\", kind = \"small\" }}", number + 1)
    };
    let servers: Vec<String> = servers.iter().enumerate().map(server).collect();
    format!(
        "[[postgres]]\nlisten = \"{listen}\"\ndatabases = [\"scores\"]\n\
         user = [{{ name = \"ann\", verifier = \"{verifier}\" }}]\n\
         login = {{ user = \"deck\", database = \"scores\" }}\nserver = [{}]\n",
        servers.join(", ")
    )
}

pub struct PgClient {
    tcp: TcpStream,
    input: BufReader<TcpStream>,
}

/// Returns Parse, Bind, Execute and Sync of the unnamed statement.
pub fn statement(text: &str, parameters: &[&str]) -> Vec<Message> {
    vec![parse(text), bind(parameters), execute(), sync()]
}

/// Returns a Parse of the unnamed statement.
pub fn parse(text: &str) -> Message {
    (b'P', [b"\0", text.as_bytes(), b"\0\0\0"].concat())
}

/// Returns a Describe of the unnamed statement.
pub fn describe() -> Message {
    (b'D', b"S\0".to_vec())
}

/// Returns a Bind of the unnamed statement to the unnamed portal.
pub fn bind(parameters: &[&str]) -> Message {
    let mut body = b"\0\0\0\0".to_vec();
    body.extend((parameters.len() as u16).to_be_bytes());
    for parameter in parameters {
        body.extend((parameter.len() as u32).to_be_bytes());
        body.extend(parameter.as_bytes());
    }
    body.extend([0, 0]);
    (b'B', body)
}

/// Returns an Execute of the unnamed portal.
pub fn execute() -> Message {
    (b'E', vec![0; 5])
}

pub fn sync() -> Message {
    (b'S', Vec::new())
}

/// Describes an answer for the record.
pub fn describe_answer((kind, body): &Message) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace('\0', " ").trim().to_string();
    match kind {
        b'1' => "ParseComplete".into(),
        b'2' => "BindComplete".into(),
        b't' | b'T' | b'n' => "description".into(),
        b'D' => format!("row {:?}", row(body)),
        b'C' => text(body),
        b'E' => format!("error {}", text(body)),
        b'N' => format!("notice {}", text(body)),
        b'Z' => format!("ready, status {}", text(body)),
        _ => format!("message {}", char::from(*kind)),
    }
}

/// Returns the text of a row with one column.
pub fn row(body: &[u8]) -> String {
    String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned()
}

impl PgClient {
    /// Connects and logs in (SCRAM-SHA-256, RFC 5802 and 7677).
    pub fn connect(address: SocketAddr) -> Result<PgClient> {
        PgClient::log_in(address).ok_or_else(|| "the client could not log in".into())
    }

    fn log_in(address: SocketAddr) -> Option<PgClient> {
        let tcp = TcpStream::connect(address).ok()?;
        tcp.set_nodelay(true).ok()?;
        tcp.set_read_timeout(Some(Duration::from_secs(40))).ok()?;
        let input = BufReader::new(tcp.try_clone().ok()?);
        let mut client = PgClient { tcp, input };
        let start = b"\0\x03\0\0user\0ann\0database\0scores\0\0";
        client.tcp.write_all(&[&(start.len() as u32 + 4).to_be_bytes(), &start[..]].concat()).ok()?;
        client.receive().filter(|message| message.0 == b'R')?;
        let first = "n=,r=cmV2aWV3IG5vbmNl";
        let initial = [b"SCRAM-SHA-256\0", &(first.len() as u32 + 3).to_be_bytes()[..], b"n,,", first.as_bytes()];
        client.send(&[(b'p', initial.concat())])?;
        let (_, challenge) = client.receive()?;
        let challenge = String::from_utf8(challenge.get(4..)?.to_vec()).ok()?;
        let field = |name: &str| challenge.split(',').find_map(|field| field.strip_prefix(name));
        let last = format!("c=biws,r={}", field("r=")?);
        let key = pbkdf2(PASSWORD, &from_base64(field("s=")?), field("i=")?.parse().ok()?);
        let client_key = hmac(&key, b"Client Key");
        let signature = hmac(&sha256(&client_key), format!("{first},{challenge},{last}").as_bytes());
        let proof: Vec<u8> = client_key.iter().zip(signature).map(|(byte, other)| byte ^ other).collect();
        client.send(&[(b'p', format!("{last},p={}", base64(&proof)).into_bytes())])?;
        client.receive_to_ready().last().filter(|message| message.0 == b'Z')?;
        Some(client)
    }

    /// Sends messages in one write.
    pub fn send(&mut self, messages: &[Message]) -> Option<()> {
        let mut bytes = Vec::new();
        for (kind, body) in messages {
            bytes.push(*kind);
            bytes.extend((body.len() as u32 + 4).to_be_bytes());
            bytes.extend(body);
        }
        self.tcp.write_all(&bytes).ok()
    }

    /// Receives a message; `None` at the end of the stream, or after 40 s without one.
    pub fn receive(&mut self) -> Option<Message> {
        let mut header = [0; 5];
        self.input.read_exact(&mut header).ok()?;
        let length = u32::from_be_bytes(header[1..].try_into().ok()?);
        let mut body = vec![0; length.checked_sub(4)? as usize];
        self.input.read_exact(&mut body).ok()?;
        Some((header[0], body))
    }

    /// Receives messages up to and including the next ReadyForQuery, or to the end of the stream.
    pub fn receive_to_ready(&mut self) -> Vec<Message> {
        let mut messages = Vec::new();
        while let Some(message) = self.receive() {
            let is_ready = message.0 == b'Z';
            messages.push(message);
            if is_ready {
                break;
            }
        }
        messages
    }

    /// Splits the connection into a sender and a receiver.
    pub fn split(self) -> Result<(PgClient, PgClient)> {
        let tcp = self.tcp.try_clone().map_err(|error| error.to_string())?;
        let input = BufReader::new(self.tcp.try_clone().map_err(|error| error.to_string())?);
        Ok((PgClient { tcp, input }, self))
    }
}
