use super::*;
use crate::track::ConnectionTracker;
use crate::wire::{message, Forwarder, Message};
use bytes::BytesMut;

/// The statements of a session and the state of a server connection, without sockets.
#[derive(Default)]
struct Pipeline {
    statements: PreparedStatements,
    tracker: ConnectionTracker,
    to_server: Forwarder,
    to_client: Forwarder,
    prepared: PreparedKeys,
}

impl Pipeline {
    fn forward_to_server(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> Result<usize, Interrupted> {
        self.statements.forward_to_server(&mut Direction {
            forwarder: &mut self.to_server,
            tracker: &mut self.tracker,
            from,
            to,
            prepared: &mut self.prepared,
        })
    }

    fn forward_to_client(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> Result<(), WireError> {
        self.statements.forward_to_client(&mut Direction {
            forwarder: &mut self.to_client,
            tracker: &mut self.tracker,
            from,
            to,
            prepared: &mut self.prepared,
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
        std::iter::from_fn(|| message(&mut to, 1 << 20).unwrap()).collect()
    }

    fn server_sends(&mut self, messages: &[(u8, &[u8])]) -> String {
        let (mut stream, mut to) = (BytesMut::new(), BytesMut::new());
        messages.iter().for_each(|(kind, body)| put(&mut stream, *kind, body));
        let mut from = BytesMut::new();
        for byte in stream {
            from.put_u8(byte);
            self.forward_to_client(&mut from, &mut to).unwrap();
        }
        std::iter::from_fn(|| message(&mut to, 1 << 20).unwrap())
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
    pipeline.prepared.clear();
    assert_eq!(kinds(&pipeline.client_sends(&[BIND, SYNC])), "PBS");
    assert_eq!(pipeline.server_sends(&[(b'1', b""), (b'2', b""), READY]), "2Z");
    // The same text under another name is already prepared.
    assert_eq!(kinds(&pipeline.client_sends(&[(b'P', b"s1\0select 1\0\0\0"), SYNC])), "CS");
    assert_eq!(pipeline.server_sends(&[(b'3', b""), READY]), "1Z");
    // A Close affects the client's own name only.
    let sent = pipeline.client_sends(&[(b'C', b"Ss0\0"), SYNC]);
    assert_eq!(sent[0].body, &b"Ss0\0"[..]);
    assert_eq!(pipeline.server_sends(&[(b'3', b""), READY]), "3Z");
    assert!(pipeline.tracker.is_idle() && pipeline.prepared.len() == 1);
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
    assert_eq!(pipeline.prepared.len(), 1);
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
        assert_eq!(may_change_session(text.as_bytes()), expected, "{text}");
    }
}
