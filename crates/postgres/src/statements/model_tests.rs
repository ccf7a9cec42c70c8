//! Random sessions that share server connections, compared with sessions that have a server of their own.

use super::*;
use crate::track::ConnectionTracker;
use crate::wire::{message, put, Forwarder, Message};
use bytes::BytesMut;
use proptest::prelude::*;

const MAX_MESSAGE_BYTES: usize = 1024;
const SESSIONS: usize = 3;
const CONNECTIONS: usize = 2;
/// A text that a server cannot parse.
const INVALID_TEXT: &str = "invalid";

/// Messages of the extended protocol that a client sends as one step.
#[derive(Clone, Debug)]
enum Step {
    /// Parses the unnamed statement.
    Parse(String),
    /// Binds and executes the unnamed statement.
    Run,
    Describe,
    Close,
    /// Parses, binds, executes and closes a named statement.
    RunNamed(&'static str),
    /// Binds a statement that does not exist.
    Fail,
}

/// A part of a pipeline, which one ReadyForQuery answers.
#[derive(Clone, Debug)]
enum Part {
    Extended(Vec<Step>),
    Query(String),
}

#[derive(Clone, Debug)]
struct ModelTransaction {
    session: usize,
    connection: usize,
    parts: Vec<Part>,
    /// Whether the server answers after each message; otherwise it gets the whole pipeline first.
    answers_at_once: bool,
}

/// Returns the messages of a part.
fn messages(part: &Part) -> Vec<(u8, Vec<u8>)> {
    let bind = |name: &str| (b'B', [b"\0", name.as_bytes(), b"\0\0\0\0\0\0\0"].concat());
    let execute = (b'E', vec![0; 5]);
    let Part::Extended(steps) = part else {
        let Part::Query(text) = part else { unreachable!() };
        return vec![(b'Q', [text.as_bytes(), b"\0"].concat())];
    };
    let mut messages = Vec::new();
    for step in steps {
        match step {
            Step::Parse(text) => messages.push((b'P', [b"\0", text.as_bytes(), b"\0\0\0"].concat())),
            Step::Run => messages.extend([bind(""), execute.clone()]),
            Step::Describe => messages.push((b'D', b"S\0".to_vec())),
            Step::Close => messages.push((b'C', b"S\0".to_vec())),
            Step::RunNamed(text) => {
                let parse = (b'P', [b"named\0", text.as_bytes(), b"\0\0\0"].concat());
                messages.extend([parse, bind("named"), execute.clone(), (b'C', b"Snamed\0".to_vec())]);
            }
            Step::Fail => messages.push(bind("none")),
        }
    }
    messages.push((b'S', Vec::new()));
    messages
}

/// A server as PostgreSQL's documentation describes it ("Message Flow"), without transaction blocks.
#[derive(Default)]
struct ModelServer {
    by_name: HashMap<Vec<u8>, Vec<u8>>,
    portal: Vec<u8>,
    skips_to_sync: bool,
}

impl ModelServer {
    fn answer(&mut self, kind: u8, body: &[u8], out: &mut BytesMut) {
        if self.skips_to_sync && kind != b'S' {
            return;
        }
        let texts: Vec<&[u8]> = body.split(|byte| *byte == 0).collect();
        match kind {
            b'P' => {
                if texts[0].is_empty() {
                    self.by_name.remove(texts[0]); // also where the new text is invalid
                }
                if texts[1] == INVALID_TEXT.as_bytes() || self.by_name.contains_key(texts[0]) {
                    return self.fail(out);
                }
                self.by_name.insert(texts[0].to_vec(), texts[1].to_vec());
                put(out, b'1', b"");
            }
            b'B' => match self.by_name.get(texts[1]) {
                Some(text) => {
                    self.portal.clone_from(text);
                    put(out, b'2', b"");
                }
                None => self.fail(out),
            },
            b'D' => match self.by_name.get(&texts[0][1..]) {
                Some(text) => put(out, b'T', text),
                None => self.fail(out),
            },
            b'E' => put(out, b'D', &self.portal),
            b'C' => {
                self.by_name.remove(&texts[0][1..]);
                put(out, b'3', b"");
            }
            b'Q' => {
                self.by_name.remove(b"".as_ref());
                put(out, b'D', texts[0]);
                put(out, b'Z', b"I");
            }
            _ => {
                self.skips_to_sync = false;
                put(out, b'Z', b"I");
            }
        }
    }

    fn fail(&mut self, out: &mut BytesMut) {
        self.skips_to_sync = true;
        put(out, b'E', b"\0");
    }
}

#[derive(Default)]
struct Connection {
    statements: ServerStatements,
    server: ModelServer,
    requests: BytesMut,
    replies: BytesMut,
}

#[derive(Default)]
struct Session {
    statements: PreparedStatements,
    tracker: ConnectionTracker,
    to_server: Forwarder,
    to_client: Forwarder,
    /// The server that the session would have without a proxy.
    own_server: ModelServer,
    has_failed: bool,
}

impl Session {
    fn send(&mut self, kind: u8, body: &[u8], connection: &mut Connection) {
        let mut from = BytesMut::new();
        put(&mut from, kind, body);
        let mut direction = Direction {
            forwarder: &mut self.to_server,
            tracker: &mut self.tracker,
            from: &mut from,
            to: &mut connection.requests,
            server: &mut connection.statements,
        };
        self.statements.forward_to_server(&mut direction).unwrap();
        assert!(from.is_empty());
    }

    fn receive(&mut self, connection: &mut Connection) -> Vec<Message> {
        while let Some(Message { kind, body }) = message(&mut connection.requests, MAX_MESSAGE_BYTES).unwrap()
        {
            connection.server.answer(kind, &body, &mut connection.replies);
        }
        let mut to = BytesMut::new();
        let mut direction = Direction {
            forwarder: &mut self.to_client,
            tracker: &mut self.tracker,
            from: &mut connection.replies,
            to: &mut to,
            server: &mut connection.statements,
        };
        self.statements.forward_to_client(&mut direction).unwrap();
        std::iter::from_fn(|| message(&mut to, MAX_MESSAGE_BYTES).unwrap()).collect()
    }

    /// Runs a transaction on the connection and on the session's own server, and compares the replies.
    fn run(&mut self, transaction: &ModelTransaction, connection: &mut Connection) {
        self.statements.begin_transaction();
        let (mut replies, mut expected) = (Vec::new(), BytesMut::new());
        for (kind, body) in transaction.parts.iter().flat_map(messages) {
            self.send(kind, &body, connection);
            if transaction.answers_at_once {
                replies.extend(self.receive(connection));
            }
            self.own_server.answer(kind, &body, &mut expected);
        }
        replies.extend(self.receive(connection));
        assert!(self.tracker.is_idle() && self.statements.pending.len() == 0);
        let expected: Vec<Message> =
            std::iter::from_fn(|| message(&mut expected, MAX_MESSAGE_BYTES).unwrap()).collect();
        let is_ready = |message: &Message| message.kind == b'Z';
        let parts: Vec<_> =
            replies.split_inclusive(is_ready).zip(expected.split_inclusive(is_ready)).collect();
        assert_eq!(parts.len(), transaction.parts.len());
        for (part, expected) in parts {
            self.compare(part, expected);
        }
    }

    /// A session that has seen no error gets the same replies. After an error its unnamed statement may not exist any
    /// more, but it never gets another one.
    fn compare(&mut self, part: &[Message], expected: &[Message]) {
        let error = part.iter().position(|message| message.kind == b'E');
        match error.filter(|_| self.has_failed) {
            Some(error) => assert_eq!(part[..error], expected[..error], "before the error"),
            None => assert_eq!(part, expected),
        }
        self.has_failed |= error.is_some();
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3).prop_map(|number| Step::Parse(format!("text {number}"))),
        1 => Just(Step::Parse(INVALID_TEXT.into())),
        5 => Just(Step::Run),
        1 => Just(Step::Describe),
        1 => Just(Step::Close),
        3 => prop::sample::select(&["named 0", "named 1", INVALID_TEXT][..]).prop_map(Step::RunNamed),
        1 => Just(Step::Fail),
    ]
}

fn part() -> impl Strategy<Value = Part> {
    prop_oneof![
        6 => prop::collection::vec(step(), 1..4).prop_map(Part::Extended),
        1 => Just(Part::Query("query".into())),
    ]
}

fn transaction() -> impl Strategy<Value = ModelTransaction> {
    (0..SESSIONS, 0..CONNECTIONS, prop::collection::vec(part(), 1..4), any::<bool>()).prop_map(
        |(session, connection, parts, answers_at_once)| ModelTransaction {
            session,
            connection,
            parts,
            answers_at_once,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3000))]

    /// Guards against a session that runs another one's unnamed statement, or an older one of its own.
    #[test]
    fn sessions_on_shared_connections_run_what_they_would_run_on_their_own(
        transactions in prop::collection::vec(transaction(), 1..12)
    ) {
        let mut sessions: [Session; SESSIONS] = std::array::from_fn(|_| Session::default());
        let mut connections: [Connection; CONNECTIONS] = std::array::from_fn(|_| Connection::default());
        for transaction in &transactions {
            let connection = &mut connections[transaction.connection];
            sessions[transaction.session].run(transaction, connection);
        }
    }
}
