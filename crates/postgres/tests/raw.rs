//! Scripted sessions with message sequences and fragmentation that no driver produces.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod raw_client;
mod rig;

use bytes::BytesMut;
use lotusdeck_postgres::wire::put;
use raw_client::RawClient;
use rig::{run_local, stand_in, Rig, LONG_DEADLINE};

/// A session gets the same answers whether it is written byte by byte or in one piece.
#[tokio::test]
async fn sessions_get_the_same_answers_in_one_piece_and_byte_by_byte() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let mut session_bytes = BytesMut::new();
        let messages: [(u8, &[u8]); 8] = [
            (b'Q', b"select 1\0"),
            (b'P', b"\0select 2\0\0\0"),
            (b'B', b"\0\0\0\0\0\0\0\0"),
            (b'E', b"\0\0\0\0\0"),
            (b'S', b""),
            (b'Q', b"begin\0"),
            (b'Q', b"commit\0"),
            (b'X', b""),
        ];
        messages.iter().for_each(|(kind, body)| put(&mut session_bytes, *kind, body));
        let expected = ["TDCZ", "12DCZ", "TDCZ", "TDCZ", "."];
        for piece in [1, session_bytes.len()] {
            let mut raw = RawClient::log_in(&rig).await;
            for part in session_bytes.chunks(piece) {
                raw.write(part).await;
                tokio::task::yield_now().await;
            }
            for answer in expected {
                assert_eq!(raw.receive_until(b'Z').await, answer, "in pieces of {piece}");
            }
        }
        let statements = ["select 1", "select 2", "begin", "commit"];
        assert_eq!(*seen.statements.borrow(), [statements, statements].concat());
    })
    .await;
}

/// When the second statement of a pipeline fails, the rest of its part, up to the Sync, is skipped, and the next part
/// is served.
#[tokio::test]
async fn a_pipeline_continues_after_a_failed_part() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        let bind: (u8, &[u8]) = (b'B', b"\0\0\0\0\0\0\0\0");
        let run: (u8, &[u8]) = (b'E', b"\0\0\0\0\0");
        let parse = |text: &'static [u8]| (b'P', text);
        raw.send(&[
            parse(b"\0one\0\0\0"),
            bind,
            run,
            parse(b"\0fail\0\0\0"),
            bind,
            run,
            parse(b"\0never\0\0\0"),
            bind,
            run,
            (b'S', b""),
        ])
        .await;
        raw.send(&[parse(b"\0two\0\0\0"), bind, run, (b'S', b"")]).await;
        assert_eq!(raw.receive_until(b'Z').await, "12DC12E(22012)Z");
        assert_eq!(raw.receive_until(b'Z').await, "12DCZ");
        assert_eq!(*seen.statements.borrow(), ["one", "fail", "two"]);
    })
    .await;
}

/// Rows are copied in; when a client disconnects in the middle of a copy, the server connection is closed.
#[tokio::test]
async fn an_interrupted_copy_closes_the_server_connection() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 1, LONG_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        raw.send(&[(b'Q', b"copy\0")]).await;
        assert_eq!(raw.receive_until(b'G').await, "G");
        let rows = vec![b'r'; 300_000];
        // A Sync between the rows is ignored, as servers do.
        raw.send(&[(b'd', &rows), (b'S', b""), (b'd', &rows), (b'c', b"")]).await;
        assert_eq!(raw.receive_until(b'Z').await, "CZ");
        assert_eq!(*seen.copied_bytes.borrow(), 600_000);
        raw.send(&[(b'Q', b"copy\0"), (b'd', &rows)]).await;
        assert_eq!(raw.receive_until(b'G').await, "G");
        drop(raw);
        seen.ended.notified().await;
        let mut next = RawClient::log_in(&rig).await;
        next.send(&[(b'Q', b"select 1\0")]).await;
        assert_eq!(next.receive_until(b'Z').await, "TDCZ");
        assert_eq!(*seen.logins.borrow(), 2);
    })
    .await;
}

/// A client that does not read stalls its server; the proxy does not buffer the rows.
#[tokio::test]
async fn rows_are_not_buffered_for_a_client_that_does_not_read() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        raw.send(&[(b'Q', b"pour\0")]).await;
        seen.stalled.notified().await;
        let poured_bytes = *seen.poured_bytes.borrow();
        assert!(
            poured_bytes < 64 << 20,
            "{poured_bytes} bytes were accepted for a client that does not read"
        );
        drop(raw);
        seen.ended.notified().await;
    })
    .await;
}

/// Invalid packets and messages get an error before the connection is closed, and reach no server.
#[tokio::test]
async fn invalid_messages_get_an_error() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let openings: [(&[u8], &str); 5] = [
            (&[0, 0, 0, 3, 0, 3, 0, 0], "E(08P01)."),
            (&[0xff, 0xff, 0xff, 0xff], "E(08P01)."),
            (b"\0\0\0\x08\0\x02\0\0", "E(08P01)."),
            (b"\0\0\0\x09\0\x03\0\0\0", "E(28000)."),
            (b"GET / HTTP/1.1\r\n\r\n", "E(08P01)."),
        ];
        for (bytes, expected) in openings {
            let mut raw = RawClient::connect(&rig).await;
            raw.write(bytes).await;
            assert_eq!(raw.receive_until(b'Z').await, expected, "{bytes:?}");
        }
        let mut raw = RawClient::log_in(&rig).await;
        raw.write(&[b'Q', 0, 0, 0, 2]).await;
        assert_eq!(raw.receive_until(b'Z').await, "E(08P01).");
        let mut raw = RawClient::log_in(&rig).await;
        // The first 64 KiB of a Parse of 256 MiB: as much of it as is inspected before a server connection is reserved.
        raw.write(&[&[b'P', 0x10, 0, 0, 0, b's', b'0', 0][..], &[b'x'; 64 * 1024]].concat()).await;
        assert_eq!(raw.receive_until(b'Z').await, "E(54000).");
        assert!(seen.statements.borrow().is_empty());
    })
    .await;
}

/// Every pending part of a pipeline gets the error of a lost server, and rows that follow the error request nothing.
#[tokio::test]
async fn every_pending_part_gets_the_error_of_a_lost_server() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        raw.send(&[(b'Q', b"die\0"), (b'Q', b"select 1\0")]).await;
        assert_eq!(raw.receive_until(b'Z').await, "E(08007)Z");
        assert_eq!(raw.receive_until(b'Z').await, "E(08007)Z");
        // The server closes its connection in the middle of a row that is copied in.
        raw.send(&[(b'Q', b"copy\0")]).await;
        assert_eq!(raw.receive_until(b'G').await, "G");
        let mut row = BytesMut::new();
        put(&mut row, b'd', &[b'r'; 1000]);
        raw.write(&row[..500]).await;
        seen.close_copying_session.notify_one();
        assert_eq!(raw.receive_until(b'Z').await, "E(08007)Z");
        raw.write(&row[500..]).await;
        raw.send(&[(b'd', b"more"), (b'c', b""), (b'H', b""), (b'Q', b"select 2\0")]).await;
        assert_eq!(raw.receive_until(b'Z').await, "TDCZ");
        assert_eq!(*seen.statements.borrow(), ["die", "copy", "select 2"]);
    })
    .await;
}

/// A client that has not sent a complete statement reserves no server connection.
#[tokio::test]
async fn an_incomplete_statement_reserves_no_server_connection() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 1, LONG_DEADLINE).await;
        let (mut slow, mut quick) = (RawClient::log_in(&rig).await, RawClient::log_in(&rig).await);
        let mut query = BytesMut::new();
        put(&mut query, b'Q', b"select 1\0");
        slow.write(&query[..9]).await;
        quick.send(&[(b'Q', b"select 2\0")]).await;
        assert_eq!(quick.receive_until(b'Z').await, "TDCZ");
        slow.write(&query[9..]).await;
        assert_eq!(slow.receive_until(b'Z').await, "TDCZ");
        assert_eq!(*seen.statements.borrow(), ["select 2", "select 1"]);
    })
    .await;
}

/// Guards against sending a transaction to a server for a client that disconnected while it waited for one. The end
/// of the stream follows the statement, part of the next one, or a Terminate, all still unread.
#[tokio::test]
async fn nothing_is_sent_for_a_client_that_disconnected_while_waiting_for_a_server() {
    run_local(async {
        let mut terminate = BytesMut::new();
        put(&mut terminate, b'X', b"");
        for unread in [b"".as_ref(), b"Q\0\0", &terminate] {
            let (address, seen) = stand_in().await;
            let rig = Rig::start(&[address], 1, LONG_DEADLINE).await;
            let (mut holding, mut leaving) = (RawClient::log_in(&rig).await, RawClient::log_in(&rig).await);
            holding.send(&[(b'Q', b"begin\0")]).await; // reserves the only connection
            assert_eq!(holding.receive_until(b'Z').await, "TDCZ");
            let mut query = BytesMut::new();
            put(&mut query, b'Q', b"insert of nobody\0");
            leaving.write(&[&query, unread].concat()).await;
            drop(leaving);
            for _ in 0..3 {
                holding.send(&[(b'Q', b"insert\0")]).await; // meanwhile the front reads from the other client
                assert_eq!(holding.receive_until(b'Z').await, "TDCZ");
            }
            holding.send(&[(b'Q', b"commit\0")]).await;
            assert_eq!(holding.receive_until(b'Z').await, "TDCZ");
            holding.send(&[(b'Q', b"select 1\0")]).await; // comes after the other client's statement
            assert_eq!(holding.receive_until(b'Z').await, "TDCZ");
            let order = ["begin", "insert", "insert", "insert", "commit", "select 1"];
            assert_eq!(*seen.statements.borrow(), order, "{unread:?} after the statement");
        }
    })
    .await;
}

/// Guards against "nothing was done" for a statement that a lost server may have executed: the statement was sent
/// before the answer to the part of the pipeline in front of it arrived.
#[tokio::test]
async fn a_statement_that_was_sent_ahead_is_reported_as_unknown_when_its_server_is_lost() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        let bind: (u8, &[u8]) = (b'B', b"\0\0\0\0\0\0\0\0");
        let execute: (u8, &[u8]) = (b'E', b"\0\0\0\0\0");
        let parse = |text: &'static [u8]| (b'P', text);
        let parts =
            [parse(b"\0select 1\0\0\0"), bind, execute, (b'S', b""), parse(b"\0halt\0\0\0"), bind, execute];
        raw.send(&parts).await;
        assert_eq!(raw.receive_until(b'Z').await, "12DCZ");
        assert_eq!(raw.receive_until(b'E').await, "12DCE(08007)");
        raw.send(&[(b'S', b""), (b'Q', b"select 2\0")]).await;
        assert_eq!(raw.receive_until(b'Z').await, "Z");
        assert_eq!(raw.receive_until(b'Z').await, "TDCZ");
        assert_eq!(*seen.statements.borrow(), ["select 1", "halt", "select 2"]);
    })
    .await;
}

/// Guards against an error that a client cannot read, as the front closed its connection over bytes that the client had
/// sent ahead, which resets the connection.
#[tokio::test]
async fn a_client_that_sends_ahead_can_read_the_error_that_ends_its_session() {
    run_local(async {
        let (address, _seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        raw.write(&[b'Q', 0, 0, 0, 2]).await; // an impossible length
        assert_eq!(raw.receive_until(b'E').await, "E(08P01)");
        let query = vec![b'r'; 100_000];
        for _ in 0..10 {
            raw.send(&[(b'Q', &query)]).await; // fails if the connection was reset
            tokio::task::yield_now().await;
        }
        assert_eq!(raw.receive_until(b'Z').await, ".");
    })
    .await;
}

/// Guards against a client that waits forever: each part of a pipeline gets its own ReadyForQuery when their server is
/// lost, and a complete part gets it before the client has sent the Sync of the next one.
#[tokio::test]
async fn a_complete_and_an_incomplete_part_each_get_their_answer_when_their_server_is_lost() {
    run_local(async {
        let (address, _seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        let bind: (u8, &[u8]) = (b'B', b"\0\0\0\0\0\0\0\0");
        let execute: (u8, &[u8]) = (b'E', b"\0\0\0\0\0");
        raw.send(&[(b'Q', b"die\0"), (b'P', b"\0select 1\0\0\0"), bind, execute]).await;
        assert_eq!(raw.receive_until(b'E').await, "E(08007)");
        // A client that waits for the ReadyForQuery of the first part is not left waiting; the others send on.
        raw.send(&[(b'S', b""), (b'Q', b"select 2\0")]).await;
        for answer in ["Z", "E(08007)Z", "TDCZ"] {
            assert_eq!(raw.receive_until(b'Z').await, answer);
        }
        raw.send(&[(b'Q', b"die\0"), (b'P', b"\0select 1\0\0\0"), bind, execute]).await;
        assert_eq!(raw.receive_until(b'Z').await, "E(08007)Z");
        assert_eq!(raw.receive_until(b'E').await, "E(08007)");
    })
    .await;
}
