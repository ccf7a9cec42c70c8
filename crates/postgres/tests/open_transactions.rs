//! Transactions that fail while their client sends ahead: nothing behind the failure runs by itself.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod raw_client;
mod rig;

use raw_client::{RawClient, RawMessage, BIND, EXECUTE, INSERT, SYNC};
use rig::{run_local, stand_in, Rig, LONG_DEADLINE, SHORT_DEADLINE};

const BEGIN: RawMessage = (b'Q', b"begin\0");
const COMMIT: RawMessage = (b'Q', b"commit\0");
const DIE: RawMessage = (b'Q', b"die\0");
const PARSE_BEGIN: RawMessage = (b'P', b"\0begin\0\0\0");

/// Guards against the rest of a transaction that is committed in parts, on another server, after the transaction's
/// server was lost. The client reads the error late: what it sends until then belongs to the transaction.
#[tokio::test]
async fn the_rest_of_a_transaction_is_not_run_after_its_server_is_lost() {
    let blocks: [(&[RawMessage], &str); 5] = [
        (&[BEGIN, DIE], "TDCZE(08007)"),
        (&[PARSE_BEGIN, BIND, EXECUTE, SYNC, DIE], "12DCZE(08007)"),
        // The server is lost before it answers the beginning of the block.
        (&[(b'Q', b"begin; die\0")], "E(08007)"),
        (&[(b'Q', b"/* a ; comment */ Start\nTRANSACTION; die\0")], "E(08007)"),
        (&[(b'P', b"\0--;\nbegin; die\0\0\0"), BIND, EXECUTE], "12E(08007)"),
    ];
    run_local(async {
        for (block, answer) in blocks {
            let ((one, first), (two, second)) = (stand_in().await, stand_in().await);
            let rig = Rig::start(&[one, two], 8, LONG_DEADLINE).await;
            let mut raw = RawClient::log_in(&rig).await;
            raw.send(block).await;
            assert_eq!(raw.receive_until(b'E').await, answer);
            raw.send(&[INSERT, INSERT, COMMIT]).await;
            assert_eq!(raw.receive_until(b'Z').await, ".", "the session has ended");
            let all = [first.statements.borrow().clone(), second.statements.borrow().clone()].concat();
            assert!(all.last().unwrap().ends_with("die"), "{all:?}");
        }
    })
    .await;
}

/// Each part of a pipeline that was pending in the lost transaction gets the error, and the last one ends the session.
#[tokio::test]
async fn each_pending_part_of_a_lost_transaction_gets_the_error() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        raw.send(&[BEGIN, DIE, INSERT, PARSE_BEGIN, BIND, EXECUTE]).await;
        assert_eq!(raw.receive_until(b'Z').await, "TDCZ");
        assert_eq!(raw.receive_until(b'E').await, "E(08007)");
        raw.send(&[SYNC, SYNC]).await;
        assert_eq!(raw.receive_until(b'Z').await, "Z");
        assert_eq!(raw.receive_until(b'Z').await, "E(08007)Z");
        assert_eq!(raw.receive_until(b'Z').await, "E(08007).");
        assert_eq!(*seen.statements.borrow(), ["begin", "die"]);
    })
    .await;
}

/// Guards against the rest of a transaction that runs by itself after the transaction's time was up.
#[tokio::test]
async fn the_rest_of_a_transaction_is_not_run_after_its_time_is_up() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, SHORT_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        raw.send(&[BEGIN, (b'Q', b"stall\0")]).await;
        assert_eq!(raw.receive_until(b'E').await, "TDCZE(57014)");
        raw.send(&[INSERT, COMMIT]).await;
        assert_eq!(raw.receive_until(b'Z').await, ".");
        assert_eq!(*seen.statements.borrow(), ["begin", "stall"]);
    })
    .await;
}

/// Guards against the rest of a transaction that runs by itself although its BEGIN reached no server. The BEGIN waits
/// for the only connection until its time is up.
#[tokio::test]
async fn the_rest_of_a_transaction_is_not_run_without_its_begin() {
    let named_begin: RawMessage = (b'P', b"b\0begin\0\0\0");
    let bind_named: RawMessage = (b'B', b"\0b\0\0\0\0\0\0\0");
    let parts: [&[RawMessage]; 3] =
        [&[BEGIN], &[PARSE_BEGIN, BIND, EXECUTE, SYNC], &[bind_named, EXECUTE, SYNC]];
    run_local(async {
        for part in parts {
            let (address, seen) = stand_in().await;
            let rig = Rig::start(&[address], 1, SHORT_DEADLINE).await;
            let (mut holding, mut waiting) = (RawClient::log_in(&rig).await, RawClient::log_in(&rig).await);
            waiting.send(&[named_begin, SYNC]).await;
            assert_eq!(waiting.receive_until(b'Z').await, "1Z");
            holding.send(&[BEGIN]).await;
            assert_eq!(holding.receive_until(b'Z').await, "TDCZ");
            waiting.send(&[part, &[INSERT, COMMIT]].concat()).await;
            let answer = waiting.receive_until(b'Z').await;
            assert!(["E(57014).", "E(08006).", "E(53300)."].contains(&answer.as_str()), "{answer}");
            drop(holding);
            seen.ended.notified().await;
            let mut next = RawClient::log_in(&rig).await;
            next.send(&[(b'Q', b"select 1\0")]).await;
            assert_eq!(next.receive_until(b'Z').await, "TDCZ");
            assert_eq!(*seen.statements.borrow(), ["begin", "select 1"]);
        }
    })
    .await;
}

/// Statements that are sent ahead and belong to no transaction block run after one of them has failed, as they do
/// after any other error.
#[tokio::test]
async fn statements_outside_a_block_run_after_one_of_them_is_lost() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        raw.send(&[BEGIN, COMMIT]).await;
        raw.receive_until(b'Z').await;
        raw.receive_until(b'Z').await;
        raw.send(&[DIE]).await;
        assert_eq!(raw.receive_until(b'Z').await, "E(08007)Z");
        raw.send(&[INSERT]).await;
        assert_eq!(raw.receive_until(b'Z').await, "TDCZ");
        assert_eq!(seen.statements.borrow().last().unwrap(), "insert");
    })
    .await;
}
