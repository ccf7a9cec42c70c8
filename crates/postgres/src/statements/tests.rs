use super::names::text_end;
use super::*;
use crate::wire::{message, put, Forwarder, Message, WireError};
use bytes::{BufMut, BytesMut};

/// Maximum length of a message in these tests, bytes.
const MAX_MESSAGE_BYTES: usize = 2 * MAX_STATEMENT_BYTES;

/// The statements of a session and the state of a server connection, without sockets.
#[derive(Default)]
struct Pipeline {
    statements: PreparedStatements,
    tracker: ConnectionTracker,
    to_server: Forwarder,
    to_client: Forwarder,
    server: ServerStatements,
}

impl Pipeline {
    fn forward_to_server(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> Result<usize, Interrupted> {
        self.statements.forward_to_server(&mut Direction {
            forwarder: &mut self.to_server,
            tracker: &mut self.tracker,
            from,
            to,
            server: &mut self.server,
        })
    }

    fn forward_to_client(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> Result<(), WireError> {
        self.statements.forward_to_client(&mut Direction {
            forwarder: &mut self.to_client,
            tracker: &mut self.tracker,
            from,
            to,
            server: &mut self.server,
        })
    }

    fn client_sends(&mut self, messages: &[(u8, &[u8])]) -> Vec<Message> {
        let (mut stream, mut to) = (BytesMut::new(), BytesMut::new());
        messages.iter().for_each(|(kind, body)| put(&mut stream, *kind, body));
        // The messages arrive byte by byte.
        let mut from = BytesMut::new();
        for byte in stream {
            from.put_u8(byte);
            self.forward_to_server(&mut from, &mut to).unwrap();
        }
        assert!(from.is_empty());
        std::iter::from_fn(|| message(&mut to, MAX_MESSAGE_BYTES).unwrap()).collect()
    }

    fn server_sends(&mut self, messages: &[(u8, &[u8])]) -> String {
        let (mut stream, mut to) = (BytesMut::new(), BytesMut::new());
        messages.iter().for_each(|(kind, body)| put(&mut stream, *kind, body));
        let mut from = BytesMut::new();
        for byte in stream {
            from.put_u8(byte);
            self.forward_to_client(&mut from, &mut to).unwrap();
        }
        std::iter::from_fn(|| message(&mut to, MAX_MESSAGE_BYTES).unwrap())
            .map(|message| char::from(message.kind))
            .collect()
    }
}

fn kinds(messages: &[Message]) -> String {
    messages.iter().map(|message| char::from(message.kind)).collect()
}

const PARSE: (u8, &[u8]) = (b'P', b"s0\0select 1\0\0\0");
const BIND: (u8, &[u8]) = (b'B', b"\0s0\0\0\0\0\0\0\0");
const SYNC: (u8, &[u8]) = (b'S', b"");
const READY: (u8, &[u8]) = (b'Z', b"I");

#[test]
fn a_text_is_parsed_once_on_each_server_connection() {
    let mut pipeline = Pipeline::default();
    let sent = pipeline.client_sends(&[PARSE, SYNC]);
    assert!(
        kinds(&sent) == "PS"
            && sent[0].body.starts_with(b"ld_")
            && sent[0].body.ends_with(PARSE.1[3..].as_ref())
    );
    assert_eq!(pipeline.server_sends(&[(b'1', b""), READY]), "1Z");
    let sent = pipeline.client_sends(&[BIND, SYNC]);
    assert!(
        kinds(&sent) == "BS" && sent[0].body.starts_with(b"\0ld_") && sent[0].body.ends_with(&BIND.1[3..])
    );
    assert_eq!(pipeline.server_sends(&[(b'2', b""), READY]), "2Z");
    // On another server the proxy inserts a Parse, and removes its reply.
    pipeline.server = ServerStatements::default();
    assert_eq!(kinds(&pipeline.client_sends(&[BIND, SYNC])), "PBS");
    assert_eq!(pipeline.server_sends(&[(b'1', b""), (b'2', b""), READY]), "2Z");
    // The same text under another name is already prepared.
    assert_eq!(kinds(&pipeline.client_sends(&[(b'P', b"s1\0select 1\0\0\0"), SYNC])), "CS");
    assert_eq!(pipeline.server_sends(&[(b'3', b""), READY]), "1Z");
    // A Close affects the client's own name only.
    let sent = pipeline.client_sends(&[(b'C', b"Ss0\0"), SYNC]);
    assert_eq!(sent[0].body, &b"Ss0\0"[..]);
    assert_eq!(pipeline.server_sends(&[(b'3', b""), READY]), "3Z");
    assert!(pipeline.tracker.is_idle() && pipeline.server.named_count() == 1);
}

/// A text that failed to parse does not count as prepared, even if the next Parse was sent before the error arrived.
#[test]
fn a_text_that_failed_to_parse_is_parsed_again() {
    let mut pipeline = Pipeline::default();
    pipeline.client_sends(&[PARSE, SYNC]);
    assert_eq!(pipeline.server_sends(&[(b'E', b"\0")]), "E");
    assert_eq!(kinds(&pipeline.client_sends(&[PARSE, SYNC])), "PS", "the error had arrived");
    assert_eq!(pipeline.server_sends(&[READY, (b'E', b"\0"), READY]), "ZEZ");
    assert_eq!(
        kinds(&pipeline.client_sends(&[PARSE, SYNC, PARSE, SYNC])),
        "PSCPS",
        "the error had not arrived"
    );
    assert_eq!(pipeline.server_sends(&[(b'E', b"\0"), READY, (b'3', b""), (b'1', b""), READY]), "EZ1Z");
    assert_eq!(pipeline.server.named_count(), 1);
}

/// Guards against a text that is prepared and counts as not prepared: its next Parse, of any client, would fail with
/// 42P05. The second part of the pipeline closes the text and parses it again, and is ignored from its first message on.
#[test]
fn a_text_whose_close_the_server_ignored_is_closed_again() {
    let mut pipeline = Pipeline::default();
    let failing: (u8, &[u8]) = (b'B', b"\0none\0\0\0\0\0\0\0");
    assert_eq!(kinds(&pipeline.client_sends(&[PARSE, SYNC, failing, PARSE, SYNC])), "PSBCPS");
    assert_eq!(pipeline.server_sends(&[(b'1', b""), READY, (b'E', b"\0"), READY]), "1ZEZ");
    pipeline.statements.begin_transaction();
    assert_eq!(kinds(&pipeline.client_sends(&[PARSE, SYNC])), "CPS");
    assert_eq!(pipeline.server_sends(&[(b'3', b""), (b'1', b""), READY]), "1Z");
    assert_eq!(kinds(&pipeline.client_sends(&[PARSE, SYNC])), "CS", "it is certain now");
}

/// Guards against a client that closes, describes or binds a text which clients share, by its name on the server: a Close
/// would make the Bind of every other client fail with 26000.
#[test]
fn clients_cannot_reach_shared_statements_by_their_names_on_the_server() {
    let mut pipeline = Pipeline::default();
    let body = pipeline.client_sends(&[PARSE, SYNC])[0].body.clone();
    assert_eq!(pipeline.server_sends(&[(b'1', b""), READY]), "1Z");
    let server_name = [&body[..text_end(&body, 0).unwrap()], b"\0"].concat();
    let of_statement = [b"S", &server_name[..]].concat();
    let bind = [b"\0", &server_name[..], &BIND.1[4..]].concat();
    pipeline.statements = PreparedStatements::default(); // another client
    let sent = pipeline.client_sends(&[(b'C', &of_statement), (b'D', &of_statement), (b'B', &bind), SYNC]);
    assert_eq!(kinds(&sent), "CDBS");
    assert_eq!((&sent[0].body[..], &sent[1].body[..]), (&b"Sld_none\0"[..], &b"Sld_none\0"[..]));
    assert!(sent[2].body.starts_with(b"\0ld_none\0") && sent[2].body.ends_with(&BIND.1[4..]));
}

#[test]
fn long_statements_and_session_changes_are_detected() {
    let mut pipeline = Pipeline::default();
    let body = [b"s\0".as_ref(), &vec![b'x'; MAX_STATEMENT_BYTES]].concat();
    let (mut from, mut to) = (BytesMut::new(), BytesMut::new());
    put(&mut from, b'P', &body);
    let forwarded = pipeline.forward_to_server(&mut from, &mut to);
    assert_eq!(forwarded, Err(Interrupted { taken: 0, reason: SessionEnd::LimitExceeded }));
    assert!(to.is_empty());
    for (text, expected) in [
        ("SET x = 1", true),
        ("set local x = 1", false),
        ("select 1; listen a", true),
        ("update settings", false),
        ("create TEMP table t()", true),
        ("select pg_advisory_lock(1)", true),
    ] {
        assert_eq!(TextEffects::of(text.as_bytes()).may_change_session, expected, "{text}");
    }
}

const PARSE_UNNAMED: (u8, &[u8]) = (b'P', b"\0select 1\0\0\0");
const BIND_UNNAMED: (u8, &[u8]) = (b'B', b"\0\0\0\0\0\0\0\0");
const DESCRIBE_UNNAMED: (u8, &[u8]) = (b'D', b"S\0");
const CLOSE_UNNAMED: (u8, &[u8]) = (b'C', b"S\0");

impl Pipeline {
    /// Begins a transaction on a connection that another client has used since, with this text as its unnamed statement.
    fn begin_after_another_client(&mut self, text: &'static [u8]) {
        self.server.unnamed = server_statements::UnnamedOnServer::Text(Bytes::from_static(text));
        self.statements.begin_transaction();
    }

    /// Parses the unnamed statement in a transaction of its own.
    fn prepare_unnamed(&mut self) {
        self.statements.begin_transaction();
        assert_eq!(kinds(&self.client_sends(&[PARSE_UNNAMED, SYNC])), "PS");
        assert_eq!(self.server_sends(&[(b'1', b""), READY]), "1Z");
    }
}

/// Guards against a Bind or Describe that reaches another client's unnamed statement.
#[test]
fn an_unnamed_statement_is_parsed_again_on_a_connection_that_another_client_used() {
    for (message, reply) in [(BIND_UNNAMED, b'2'), (DESCRIBE_UNNAMED, b'n')] {
        let mut pipeline = Pipeline::default();
        pipeline.prepare_unnamed();
        pipeline.begin_after_another_client(b"insert\0\0\0");
        let sent = pipeline.client_sends(&[message, SYNC]);
        assert!(kinds(&sent) == format!("P{}S", char::from(message.0)) && sent[0].body == PARSE_UNNAMED.1);
        let replies = pipeline.server_sends(&[(b'1', b""), (reply, b""), READY]);
        assert_eq!(replies, format!("{}Z", char::from(reply)), "the reply to the proxy's Parse is removed");
        // The connection has it now.
        pipeline.statements.begin_transaction();
        assert_eq!(pipeline.client_sends(&[message, SYNC])[0].body, message.1);
    }
}

/// Guards against a Bind that reaches another client's unnamed statement, as the session has none of its own.
#[test]
fn a_session_without_an_unnamed_statement_binds_none() {
    let ends: [&dyn Fn(&mut Pipeline); 4] = [
        &|_| {},
        &|pipeline| {
            pipeline.prepare_unnamed();
            pipeline.client_sends(&[(b'Q', b"select 2\0")]);
            pipeline.server_sends(&[READY]);
        },
        &|pipeline| {
            pipeline.prepare_unnamed();
            pipeline.client_sends(&[CLOSE_UNNAMED, SYNC]);
            assert_eq!(pipeline.server_sends(&[(b'3', b""), READY]), "3Z");
        },
        &|pipeline| {
            pipeline.prepare_unnamed();
            pipeline.client_sends(&[PARSE_UNNAMED, SYNC]);
            pipeline.server_sends(&[(b'E', b"\0"), READY]);
        },
    ];
    for (number, end) in ends.into_iter().enumerate() {
        let mut pipeline = Pipeline::default();
        end(&mut pipeline);
        pipeline.begin_after_another_client(b"insert\0\0\0");
        let sent = pipeline.client_sends(&[BIND_UNNAMED, SYNC]);
        // The other client's statement is closed first, so that the server reports that there is none.
        assert_eq!((kinds(&sent).as_str(), &sent[0].body[..]), ("CBS", CLOSE_UNNAMED.1), "end {number}");
    }
}

/// Guards against a Bind behind a failed part of a pipeline: the Parse in that part was ignored, and the connection
/// would still have another client's statement.
#[test]
fn another_clients_unnamed_statement_is_closed_before_a_part_that_may_fail() {
    let first_messages: [(u8, &[u8]); 5] = [
        (b'B', b"\0none\0\0\0\0\0\0\0"),
        (b'D', b"Pnone\0"),
        (b'E', b"none\0\0\0\0\0"),
        (b'C', b"Ss0\0"),
        PARSE,
    ];
    for first in first_messages {
        let mut pipeline = Pipeline::default();
        pipeline.begin_after_another_client(b"insert\0\0\0");
        let sent = pipeline.client_sends(&[first, PARSE_UNNAMED, SYNC, BIND_UNNAMED, SYNC]);
        assert_eq!(kinds(&sent), format!("C{}PSBS", char::from(first.0)));
        assert_eq!(sent[0].body, CLOSE_UNNAMED.1);
        let replies = pipeline.server_sends(&[(b'3', b""), (b'E', b"\0"), READY, (b'E', b"\0"), READY]);
        assert_eq!(replies, "EZEZ");
        // It is not known whether the Parse was ignored or failed.
        pipeline.statements.begin_transaction();
        let sent = pipeline.client_sends(&[BIND_UNNAMED, SYNC]);
        assert!(kinds(&sent) == "CBS" && sent[0].body == CLOSE_UNNAMED.1);
    }
}

/// A Parse that the proxy inserted may be ignored with its part; the next part has it inserted again.
#[test]
fn an_unnamed_statement_that_the_proxy_parses_survives_a_failed_part() {
    let mut pipeline = Pipeline::default();
    pipeline.prepare_unnamed();
    pipeline.begin_after_another_client(b"insert\0\0\0");
    let failing: (u8, &[u8]) = (b'B', b"\0none\0\0\0\0\0\0\0");
    let sent = pipeline.client_sends(&[failing, BIND_UNNAMED, SYNC, BIND_UNNAMED, SYNC]);
    assert_eq!(kinds(&sent), "CBPBSPBS");
    let replies =
        pipeline.server_sends(&[(b'3', b""), (b'E', b"\0"), READY, (b'1', b""), (b'2', b""), READY]);
    assert_eq!(replies, "EZ2Z");
    assert_eq!(kinds(&pipeline.client_sends(&[BIND_UNNAMED, SYNC])), "BS");
}

/// The unnamed statement counts as a change of the session wherever it is bound, not only where it was parsed.
#[test]
fn a_setting_in_the_unnamed_statement_changes_each_connection_that_runs_it() {
    let mut pipeline = Pipeline::default();
    pipeline.statements.begin_transaction();
    pipeline.client_sends(&[(b'P', b"\0set x = 1\0\0\0"), SYNC]);
    pipeline.server_sends(&[(b'1', b""), READY]);
    pipeline.server = ServerStatements::default();
    pipeline.statements.begin_transaction();
    assert!(!pipeline.statements.has_session_state);
    assert_eq!(kinds(&pipeline.client_sends(&[BIND_UNNAMED, SYNC])), "PBS");
    assert!(pipeline.statements.has_session_state);
}

/// A text that is too long to be kept can be used in its own transaction, and does not exist in the next one.
#[test]
fn a_long_unnamed_statement_lasts_for_its_transaction() {
    let mut pipeline = Pipeline::default();
    pipeline.statements.begin_transaction();
    let body = [b"\0".as_ref(), &vec![b'x'; MAX_STATEMENT_BYTES]].concat();
    assert_eq!(kinds(&pipeline.client_sends(&[(b'P', &body), BIND_UNNAMED, SYNC])), "PBS");
    assert_eq!(pipeline.server_sends(&[(b'1', b""), (b'2', b""), READY]), "12Z");
    assert!(pipeline.statements.has_session_state);
    pipeline.statements.begin_transaction();
    let sent = pipeline.client_sends(&[BIND_UNNAMED, SYNC]);
    assert!(kinds(&sent) == "CBS" && sent[0].body == CLOSE_UNNAMED.1);
}

/// Guards against a text that begins a transaction block unnoticed, so that what follows it would run outside the block.
#[test]
fn texts_that_may_begin_a_block_are_detected() {
    for (text, expected) in [
        ("BEGIN", true),
        ("begin;", true),
        ("/* ; -- */ Begin isolation level serializable", true),
        ("select '--';begin", true),
        ("start transaction read only", true),
        ("START/**/TRANSACTION", true),
        ("select 'begin'", true),
        ("insert into beginnings values (1)", false),
        ("select start_time, start from shifts", false),
        ("update t set begin_at = 1, _begin = 2, begin1 = 3", false),
        ("commit", false),
    ] {
        assert_eq!(TextEffects::of(text.as_bytes()).may_begin_block, expected, "{text}");
    }
}
