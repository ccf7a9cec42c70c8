//! COPY from the client by the extended protocol, through a front and its server.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod raw_client;
mod rig;

use raw_client::{RawClient, RawMessage, BIND, EXECUTE, INSERT, SYNC};
use rig::{run_local, stand_in, Rig, LONG_DEADLINE};

const PARSE_COPY: RawMessage = (b'P', b"\0copy\0\0\0");
const PARSE_COPY_AND_DIE: RawMessage = (b'P', b"\0copy and die\0\0\0");
const ROW: RawMessage = (b'd', b"violin\n");
const COPY_DONE: RawMessage = (b'c', b"");

/// Guards against a transaction that never ends because the server ignores a Sync that was sent ahead of its
/// CopyInResponse, as drivers do: it held the only connection until its time was up.
#[tokio::test]
async fn a_copy_with_a_sync_sent_ahead_returns_its_connection() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 1, LONG_DEADLINE).await;
        let (mut copying, mut next) = (RawClient::log_in(&rig).await, RawClient::log_in(&rig).await);
        copying.send(&[PARSE_COPY, BIND, EXECUTE, SYNC]).await;
        assert_eq!(copying.receive_until(b'G').await, "12G");
        copying.send(&[ROW, COPY_DONE, SYNC]).await;
        assert_eq!(copying.receive_until(b'Z').await, "CZ");
        next.send(&[INSERT]).await;
        assert_eq!(next.receive_until(b'Z').await, "TDCZ");
        assert_eq!((*seen.logins.borrow(), *seen.copied_bytes.borrow()), (1, ROW.1.len()));
    })
    .await;
}

/// Guards against answers that go to the statement behind their own: where the server of a COPY was lost, its client
/// got a ReadyForQuery for the Sync that the server had ignored, too.
#[tokio::test]
async fn statements_after_a_lost_copy_get_their_own_answers() {
    let rest: [&[RawMessage]; 2] = [&[ROW, COPY_DONE, SYNC], &[SYNC, ROW, COPY_DONE, SYNC]];
    run_local(async {
        for rest in rest {
            let (address, seen) = stand_in().await;
            let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
            let mut raw = RawClient::log_in(&rig).await;
            raw.send(&[PARSE_COPY_AND_DIE, BIND, EXECUTE, SYNC]).await;
            assert_eq!(raw.receive_until(b'G').await, "12G");
            raw.send(rest).await;
            assert_eq!(raw.receive_until(b'Z').await, "E(08007)Z");
            raw.send(&[INSERT]).await;
            assert_eq!(raw.receive_until(b'Z').await, "TDCZ", "the answer to the INSERT");
            assert_eq!(*seen.statements.borrow(), ["copy and die", "insert"]);
        }
    })
    .await;
}

/// A client that sends all of a COPY ahead of its CopyInResponse gets one ReadyForQuery as well.
#[tokio::test]
async fn a_copy_that_is_sent_ahead_as_a_whole_gets_one_answer() {
    run_local(async {
        let (address, _seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        raw.send(&[PARSE_COPY, BIND, EXECUTE, SYNC, ROW, COPY_DONE, SYNC, INSERT]).await;
        assert_eq!(raw.receive_until(b'Z').await, "12GCZ");
        assert_eq!(raw.receive_until(b'Z').await, "TDCZ");
    })
    .await;
}
