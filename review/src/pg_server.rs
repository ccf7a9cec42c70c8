//! A stand-in for a PostgreSQL server (protocol 3.0; PostgreSQL documentation, "Message Flow"). It knows the statements
//! BEGIN, COMMIT, ROLLBACK, INSERT and SELECT, and prints what it runs and what it commits.
//!
//! As the documentation says of a server: the unnamed statement belongs to the session and lasts until the next Parse of
//! it or the next Query; outside a transaction block the statements up to a Sync are one transaction; after an error
//! everything up to the next Sync is ignored, and a transaction block that failed runs nothing until it ends; a client
//! that disconnects rolls its transaction back; COMMIT outside a block is a warning.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const CANCEL_REQUEST_CODE: u32 = 80_877_102;

/// A statement with its parameters.
#[derive(Clone)]
struct Portal {
    text: String,
    parameters: Vec<String>,
}

struct Session {
    name: String,
    statement_time: Duration,
    statements: HashMap<String, String>,
    portals: HashMap<String, Portal>,
    /// Whether a transaction block is open, and whether it has failed.
    in_block: bool,
    is_failed: bool,
    /// Whether everything up to the next Sync is ignored.
    skips_to_sync: bool,
    /// Rows written and not committed yet.
    uncommitted: Vec<String>,
    out: Vec<u8>,
}

/// Listens and serves each connection on a thread of its own.
pub fn run(name: &str, port: &str, statement_ms: &str) {
    let listener = TcpListener::bind(format!("127.0.0.1:{port}")).expect("the port is free");
    let statement_time = Duration::from_millis(statement_ms.parse().expect("a number of ms"));
    for (number, tcp) in listener.incoming().map_while(Result::ok).enumerate() {
        let name = format!("{name}/{number}");
        std::thread::spawn(move || serve(tcp, name, statement_time));
    }
}

fn serve(mut tcp: TcpStream, name: String, statement_time: Duration) -> Option<()> {
    let _ = tcp.set_nodelay(true);
    let mut input = BufReader::new(tcp.try_clone().ok()?);
    loop {
        let length = read_u32(&mut input)?;
        let mut packet = vec![0; length.checked_sub(4)? as usize];
        input.read_exact(&mut packet).ok()?;
        match u32::from_be_bytes(packet.get(..4)?.try_into().ok()?) {
            0x0003_0000 => break,
            CANCEL_REQUEST_CODE => return None,
            _ => tcp.write_all(b"N").ok()?,
        }
    }
    let mut session = Session {
        name,
        statement_time,
        statements: HashMap::new(),
        portals: HashMap::new(),
        in_block: false,
        is_failed: false,
        skips_to_sync: false,
        uncommitted: Vec::new(),
        out: Vec::new(),
    };
    session.put(b'R', &[0; 4]);
    session.put(b'S', b"server_version\x0016.0\0");
    session.put(b'K', &[0, 0, 0, 1, 0, 0, 0, 2]);
    session.put_ready();
    loop {
        tcp.write_all(&session.out).ok()?;
        session.out.clear();
        let mut kind = [0];
        input.read_exact(&mut kind).ok()?;
        let mut body = vec![0; read_u32(&mut input)?.checked_sub(4)? as usize];
        input.read_exact(&mut body).ok()?;
        session.handle(kind[0], &body)?;
    }
}

fn read_u32(input: &mut impl Read) -> Option<u32> {
    let mut bytes = [0; 4];
    input.read_exact(&mut bytes).ok()?;
    Some(u32::from_be_bytes(bytes))
}

/// Takes a text that ends with a zero byte.
fn take_text(bytes: &mut &[u8]) -> Option<String> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    *bytes = &bytes[end + 1..];
    Some(text)
}

fn take_u16(bytes: &mut &[u8]) -> Option<u16> {
    let (number, rest) = bytes.split_first_chunk::<2>()?;
    *bytes = rest;
    Some(u16::from_be_bytes(*number))
}

/// Takes the parameters of a Bind, as texts.
fn take_parameters(bytes: &mut &[u8]) -> Option<Vec<String>> {
    for _ in 0..take_u16(bytes)? {
        take_u16(bytes)?;
    }
    let count = take_u16(bytes)?;
    let mut take_parameter = || {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (value, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        *bytes = rest;
        Some(String::from_utf8_lossy(value).into_owned())
    };
    (0..count).map(|_| take_parameter()).collect()
}

fn first_word(text: &str) -> String {
    text.split_whitespace().next().unwrap_or_default().to_ascii_lowercase()
}

impl Session {
    fn put(&mut self, kind: u8, body: &[u8]) {
        self.out.push(kind);
        self.out.extend((body.len() as u32 + 4).to_be_bytes());
        self.out.extend(body);
    }

    fn put_ready(&mut self) {
        let status = match (self.in_block, self.is_failed) {
            (false, _) => b'I',
            (true, false) => b'T',
            (true, true) => b'E',
        };
        self.put(b'Z', &[status]);
    }

    fn put_error(&mut self, code: &str, text: &str) {
        self.put(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes());
        self.uncommitted.clear();
        self.is_failed = self.in_block;
        self.skips_to_sync = true;
    }

    fn print(&self, text: &str) {
        println!("{} {text}", self.name);
    }

    /// Handles a message; `None` at the end of the session.
    fn handle(&mut self, kind: u8, body: &[u8]) -> Option<()> {
        if kind == b'X' {
            return None;
        }
        if self.skips_to_sync && kind != b'S' {
            return Some(());
        }
        let mut body = body;
        match kind {
            b'P' => {
                let (name, text) = (take_text(&mut body)?, take_text(&mut body)?);
                if !name.is_empty() && self.statements.contains_key(&name) {
                    self.put_error("42P05", "the prepared statement exists already");
                } else {
                    self.statements.insert(name, text);
                    self.put(b'1', b"");
                }
            }
            b'B' => {
                let (portal, statement) = (take_text(&mut body)?, take_text(&mut body)?);
                let parameters = take_parameters(&mut body)?;
                match self.statements.get(&statement).cloned() {
                    Some(text) if text.matches('$').count() == parameters.len() => {
                        self.portals.insert(portal, Portal { text, parameters });
                        self.put(b'2', b"");
                    }
                    Some(_) => self.put_error("08P01", "another number of parameters"),
                    None => self.put_error("26000", "the prepared statement does not exist"),
                }
            }
            b'D' => {
                let name = take_text(&mut &body[1..])?;
                let is_statement = body[0] == b'S';
                let text = match is_statement {
                    true => self.statements.get(&name).cloned(),
                    false => self.portals.get(&name).map(|portal| portal.text.clone()),
                };
                match text {
                    Some(text) => self.describe(&text, is_statement),
                    None => self.put_error("26000", "there is none of that name"),
                }
            }
            b'E' => {
                let name = take_text(&mut body)?;
                match self.portals.get(&name).cloned() {
                    Some(portal) => self.execute(&portal),
                    None => self.put_error("34000", "the portal does not exist"),
                }
            }
            b'C' => {
                let name = take_text(&mut &body[1..])?;
                match body[0] {
                    b'S' => drop(self.statements.remove(&name)),
                    _ => drop(self.portals.remove(&name)),
                }
                self.put(b'3', b"");
            }
            b'Q' => {
                self.statements.remove("");
                let text = take_text(&mut body)?;
                self.execute(&Portal { text, parameters: Vec::new() });
                self.end_implicit_transaction();
            }
            b'S' => self.end_implicit_transaction(),
            _ => {}
        }
        Some(())
    }

    /// Ends a transaction that is no block, and reports that the session is ready.
    fn end_implicit_transaction(&mut self) {
        self.skips_to_sync = false;
        if !self.in_block {
            self.commit();
            self.portals.clear();
        }
        self.put_ready();
    }

    fn commit(&mut self) {
        for row in std::mem::take(&mut self.uncommitted) {
            self.print(&format!("committed {row}"));
        }
    }

    fn describe(&mut self, text: &str, is_statement: bool) {
        if is_statement {
            let count = text.matches('$').count() as u16;
            let types = std::iter::repeat_n(25u32.to_be_bytes(), usize::from(count)).flatten();
            let body: Vec<u8> = count.to_be_bytes().into_iter().chain(types).collect();
            self.put(b't', &body);
        }
        if first_word(text) == "select" {
            let column = b"title\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0";
            self.put(b'T', &[&[0, 1], &column[..]].concat());
        } else {
            self.put(b'n', b"");
        }
    }

    fn execute(&mut self, portal: &Portal) {
        let parameters = portal.parameters.join(",");
        let word = first_word(&portal.text);
        std::thread::sleep(self.statement_time);
        if self.is_failed && !matches!(word.as_str(), "commit" | "rollback") {
            return self.put_error("25P02", "the transaction has failed");
        }
        self.print(&format!("ran [{}] ({parameters})", portal.text));
        match word.as_str() {
            "begin" => {
                self.in_block = true;
                self.put(b'C', b"BEGIN\0");
            }
            "commit" | "rollback" => {
                if !self.in_block {
                    self.put(b'N', b"SWARNING\0VWARNING\0C25P01\0Mthere is no transaction in progress\0\0");
                }
                let is_committed = word == "commit" && !self.is_failed;
                match is_committed {
                    true => self.commit(),
                    false => self.uncommitted.clear(),
                }
                (self.in_block, self.is_failed) = (false, false);
                self.put(b'C', if is_committed { b"COMMIT\0" } else { b"ROLLBACK\0" });
            }
            "insert" => {
                self.uncommitted.push(format!("[{}] ({parameters})", portal.text));
                self.put(b'C', b"INSERT 0 1\0");
            }
            "select" => {
                let title = format!("title of {parameters}");
                let body = [&[0, 1], &(title.len() as u32).to_be_bytes()[..], title.as_bytes()].concat();
                self.put(b'D', &body);
                self.put(b'C', b"SELECT 1\0");
            }
            _ => self.put_error("42601", "a statement that is not known here"),
        }
    }
}
