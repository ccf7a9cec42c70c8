//! What no driver sends: scripted sessions, byte by byte.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

mod rig;

use bytes::{BufMut, BytesMut};
use lotusdeck_policy::Micros;
use lotusdeck_postgres::wire::{message, put, Message};
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use rig::{stand_in, Rig};
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

const LONG: Micros = Micros(20_000_000);

async fn scope(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// A client that says what it is told to say.
struct Raw {
    tcp: TcpStream,
    input: BytesMut,
}

impl Raw {
    async fn connect(rig: &Rig) -> Raw {
        Raw { tcp: TcpStream::connect(rig.at).await.unwrap(), input: BytesMut::new() }
    }

    async fn log_in(rig: &Rig) -> Raw {
        let mut raw = Raw::connect(rig).await;
        let start = b"\0\x03\0\0user\0ann\0database\0scores\0\0";
        let mut packet = BytesMut::new();
        packet.put_u32(start.len() as u32 + 4);
        packet.put_slice(start);
        raw.write(&packet).await;
        assert_eq!(raw.next().await.unwrap().0, b'R');
        let mut scram = ScramSha256::new(b"do re mi", ChannelBinding::unsupported());
        let first = scram.message().to_vec();
        let initial = [b"SCRAM-SHA-256\0".as_ref(), &(first.len() as u32).to_be_bytes(), &first].concat();
        raw.say(&[(b'p', &initial)]).await;
        scram.update(&raw.next().await.unwrap().1[4..]).unwrap();
        let last = scram.message().to_vec();
        raw.say(&[(b'p', &last)]).await;
        raw.until(b'Z').await;
        raw
    }

    async fn write(&mut self, bytes: &[u8]) {
        self.tcp.write_all(bytes).await.unwrap();
    }

    async fn say(&mut self, messages: &[(u8, &[u8])]) {
        let mut out = BytesMut::new();
        messages.iter().for_each(|(kind, body)| put(&mut out, *kind, body));
        self.write(&out).await;
    }

    /// The next message; `None` at the end.
    async fn next(&mut self) -> Option<(u8, Vec<u8>)> {
        loop {
            if let Some(Message { kind, body }) = message(&mut self.input, 1 << 24).unwrap() {
                return Some((kind, body.to_vec()));
            }
            if self.tcp.read_buf(&mut self.input).await.unwrap_or(0) == 0 {
                return None;
            }
        }
    }

    /// The types of all messages to one of that type, or to the end; errors with their codes.
    async fn until(&mut self, last: u8) -> String {
        let mut out = String::new();
        while let Some((kind, body)) = self.next().await {
            out.push(char::from(kind));
            if kind == b'E' {
                let code = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C')).unwrap();
                out.push_str(&format!("({})", String::from_utf8_lossy(&code[1..])));
            }
            if kind == last {
                return out;
            }
        }
        out + "."
    }
}

/// A whole session written byte by byte, and the same in one piece with what follows it.
#[tokio::test]
async fn sessions_cut_at_every_byte_or_not_at_all_are_the_same() {
    scope(async {
        let (at, seen) = stand_in().await;
        let rig = Rig::start(&[at], 4, LONG).await;
        let mut all = BytesMut::new();
        let said: [(u8, &[u8]); 8] = [
            (b'Q', b"select 1\0"),
            (b'P', b"\0select 2\0\0\0"),
            (b'B', b"\0\0\0\0\0\0\0\0"),
            (b'E', b"\0\0\0\0\0"),
            (b'S', b""),
            (b'Q', b"begin\0"),
            (b'Q', b"commit\0"),
            (b'X', b""),
        ];
        said.iter().for_each(|(kind, body)| put(&mut all, *kind, body));
        let due = ["TDCZ", "12DCZ", "TDCZ", "TDCZ", "."];
        for piece in [1, all.len()] {
            let mut raw = Raw::log_in(&rig).await;
            for part in all.chunks(piece) {
                raw.write(part).await;
                tokio::task::yield_now().await;
            }
            for answer in due {
                assert_eq!(raw.until(b'Z').await, answer, "in pieces of {piece}");
            }
        }
        let statements = ["select 1", "select 2", "begin", "commit"];
        assert_eq!(*seen.statements.borrow(), [statements, statements].concat());
    })
    .await;
}

/// In a pipeline whose second statement fails the rest of its part is read over, and the next part is served.
#[tokio::test]
async fn a_pipeline_goes_on_behind_a_failure() {
    scope(async {
        let (at, seen) = stand_in().await;
        let rig = Rig::start(&[at], 4, LONG).await;
        let mut raw = Raw::log_in(&rig).await;
        let bind: (u8, &[u8]) = (b'B', b"\0\0\0\0\0\0\0\0");
        let run: (u8, &[u8]) = (b'E', b"\0\0\0\0\0");
        let parse = |text: &'static [u8]| (b'P', text);
        raw.say(&[
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
        raw.say(&[parse(b"\0two\0\0\0"), bind, run, (b'S', b"")]).await;
        assert_eq!(raw.until(b'Z').await, "12DC12E(22012)Z");
        assert_eq!(raw.until(b'Z').await, "12DCZ");
        assert_eq!(*seen.statements.borrow(), ["one", "fail", "two"]);
    })
    .await;
}

/// Rows go in, and a client that leaves in the middle of them takes the connection with it.
#[tokio::test]
async fn rows_are_copied_in_and_broken_off() {
    scope(async {
        let (at, seen) = stand_in().await;
        let rig = Rig::start(&[at], 1, LONG).await;
        let mut raw = Raw::log_in(&rig).await;
        raw.say(&[(b'Q', b"copy\0")]).await;
        assert_eq!(raw.until(b'G').await, "G");
        let rows = vec![b'r'; 300_000];
        // A Sync among the rows is read over, as servers do.
        raw.say(&[(b'd', &rows), (b'S', b""), (b'd', &rows), (b'c', b"")]).await;
        assert_eq!(raw.until(b'Z').await, "CZ");
        assert_eq!(*seen.copied.borrow(), 600_000);
        raw.say(&[(b'Q', b"copy\0"), (b'd', &rows)]).await;
        assert_eq!(raw.until(b'G').await, "G");
        drop(raw);
        seen.ended.notified().await;
        let mut next = Raw::log_in(&rig).await;
        next.say(&[(b'Q', b"select 1\0")]).await;
        assert_eq!(next.until(b'Z').await, "TDCZ");
        assert_eq!(*seen.logins.borrow(), 2);
    })
    .await;
}

/// A client that reads nothing stops its server: no row is collected in between.
#[tokio::test]
async fn a_client_that_reads_nothing_costs_no_memory() {
    scope(async {
        let (at, seen) = stand_in().await;
        let rig = Rig::start(&[at], 4, LONG).await;
        let mut raw = Raw::log_in(&rig).await;
        raw.say(&[(b'Q', b"pour\0")]).await;
        seen.stalled.notified().await;
        let poured = *seen.poured.borrow();
        assert!(poured < 64 << 20, "{poured} bytes are between the server and a client that reads nothing");
        drop(raw);
        seen.ended.notified().await;
    })
    .await;
}

/// What cannot be read gets a clear error or a close, each at a bounded cost, and reaches no server.
#[tokio::test]
async fn strangers_get_a_clear_error() {
    scope(async {
        let (at, seen) = stand_in().await;
        let rig = Rig::start(&[at], 4, LONG).await;
        let openings: [(&[u8], &str); 5] = [
            (&[0, 0, 0, 3, 0, 3, 0, 0], "E(08P01)."),
            (&[0xff, 0xff, 0xff, 0xff], "E(08P01)."),
            (b"\0\0\0\x08\0\x02\0\0", "E(08P01)."),
            (b"\0\0\0\x09\0\x03\0\0\0", "E(28000)."),
            (b"GET / HTTP/1.1\r\n\r\n", "E(08P01)."),
        ];
        for (bytes, due) in openings {
            let mut raw = Raw::connect(&rig).await;
            raw.write(bytes).await;
            assert_eq!(raw.until(b'Z').await, due, "{bytes:?}");
        }
        let mut raw = Raw::log_in(&rig).await;
        raw.write(&[b'Q', 0, 0, 0, 2]).await;
        assert_eq!(raw.until(b'Z').await, "E(08P01).");
        let mut raw = Raw::log_in(&rig).await;
        // As much of it as is looked at before a server is bound to it.
        raw.write(&[&[b'P', 0x10, 0, 0, 0, b's', b'0', 0][..], &[b'x'; 64 * 1024]].concat()).await;
        assert_eq!(raw.until(b'Z').await, "E(54000).");
        assert!(seen.statements.borrow().is_empty());
    })
    .await;
}

/// Every part of a pipeline that was out is told of the lost server, and rows that come behind it ask for nothing.
#[tokio::test]
async fn all_that_was_out_is_told_of_a_lost_server() {
    scope(async {
        let (at, seen) = stand_in().await;
        let rig = Rig::start(&[at], 4, LONG).await;
        let mut raw = Raw::log_in(&rig).await;
        raw.say(&[(b'Q', b"die\0"), (b'Q', b"select 1\0")]).await;
        assert_eq!(raw.until(b'Z').await, "E(08007)Z");
        assert_eq!(raw.until(b'Z').await, "E(08007)Z");
        // The server dies in the middle of a row that is copied in.
        raw.say(&[(b'Q', b"copy\0")]).await;
        assert_eq!(raw.until(b'G').await, "G");
        let mut row = BytesMut::new();
        put(&mut row, b'd', &[b'r'; 1000]);
        raw.write(&row[..500]).await;
        seen.dies.notify_one();
        assert_eq!(raw.until(b'Z').await, "E(08007)Z");
        raw.write(&row[500..]).await;
        raw.say(&[(b'd', b"more"), (b'c', b""), (b'H', b""), (b'Q', b"select 2\0")]).await;
        assert_eq!(raw.until(b'Z').await, "TDCZ");
        assert_eq!(*seen.statements.borrow(), ["die", "copy", "select 2"]);
    })
    .await;
}

/// A client that has not said what it wants holds no server's connection.
#[tokio::test]
async fn half_a_statement_binds_no_server() {
    scope(async {
        let (at, seen) = stand_in().await;
        let rig = Rig::start(&[at], 1, LONG).await;
        let (mut slow, mut quick) = (Raw::log_in(&rig).await, Raw::log_in(&rig).await);
        let mut query = BytesMut::new();
        put(&mut query, b'Q', b"select 1\0");
        slow.write(&query[..9]).await;
        quick.say(&[(b'Q', b"select 2\0")]).await;
        assert_eq!(quick.until(b'Z').await, "TDCZ");
        slow.write(&query[9..]).await;
        assert_eq!(slow.until(b'Z').await, "TDCZ");
        assert_eq!(*seen.statements.borrow(), ["select 2", "select 1"]);
    })
    .await;
}

/// Guards against a transaction that is sent to a server for a client that has left while it waited for one: with its end
/// behind the statement, behind a part of the next one, and behind a farewell.
#[tokio::test]
async fn nothing_is_sent_for_a_client_that_left_while_it_waited_for_a_server() {
    scope(async {
        let mut farewell = BytesMut::new();
        put(&mut farewell, b'X', b"");
        for behind in [b"".as_ref(), b"Q\0\0", &farewell] {
            let (at, seen) = stand_in().await;
            let rig = Rig::start(&[at], 1, LONG).await;
            let (mut holder, mut leaver) = (Raw::log_in(&rig).await, Raw::log_in(&rig).await);
            holder.say(&[(b'Q', b"begin\0")]).await; // the only connection is bound
            assert_eq!(holder.until(b'Z').await, "TDCZ");
            let mut query = BytesMut::new();
            put(&mut query, b'Q', b"insert of nobody\0");
            leaver.write(&[&query, behind].concat()).await;
            drop(leaver);
            for _ in 0..3 {
                holder.say(&[(b'Q', b"insert\0")]).await; // the front reads the other client meanwhile
                assert_eq!(holder.until(b'Z').await, "TDCZ");
            }
            holder.say(&[(b'Q', b"commit\0")]).await;
            assert_eq!(holder.until(b'Z').await, "TDCZ");
            holder.say(&[(b'Q', b"select 1\0")]).await; // behind the other client, in the order of coming
            assert_eq!(holder.until(b'Z').await, "TDCZ");
            let order = ["begin", "insert", "insert", "insert", "commit", "select 1"];
            assert_eq!(*seen.statements.borrow(), order, "{behind:?} behind the statement");
        }
    })
    .await;
}
