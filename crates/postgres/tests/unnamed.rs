//! The unnamed statement of sessions that share server connections.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod raw_client;
mod rig;

use lotusdeck_policy::BackendState;
use raw_client::{RawClient, BIND, EXECUTE, SYNC};
use rig::{run_local, stand_in, Rig, LONG_DEADLINE};

const PARSE_SELECT: (u8, &[u8]) = (b'P', b"\0select title\0\0\0");
const PARSE_INSERT: (u8, &[u8]) = (b'P', b"\0insert order\0\0\0");
const DESCRIBE: (u8, &[u8]) = (b'D', b"S\0");

/// Guards against a Bind of the unnamed statement that runs the statement which another client has sent since on the
/// same server connection.
#[tokio::test]
async fn a_bind_in_a_later_transaction_runs_the_clients_own_statement() {
    let test = async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 1, LONG_DEADLINE).await;
        let (mut reader, mut desk) = (RawClient::log_in(&rig).await, RawClient::log_in(&rig).await);
        for round in 1..=3 {
            reader.send(&[PARSE_SELECT, DESCRIBE, SYNC]).await;
            assert_eq!(reader.receive_until(b'Z').await, "1tTZ");
            desk.send(&[PARSE_INSERT, BIND, EXECUTE, SYNC]).await;
            assert_eq!(desk.receive_until(b'Z').await, "12DCZ");
            for messages in [&[DESCRIBE, SYNC][..], &[BIND, EXECUTE, SYNC]] {
                reader.send(messages).await;
                let answer = reader.receive_until(b'Z').await;
                assert!(["tTZ", "2DCZ"].contains(&answer.as_str()), "{answer}");
            }
            assert_eq!(*seen.statements.borrow(), ["insert order", "select title"].repeat(round));
        }
        assert_eq!(*seen.logins.borrow(), 1, "both clients use one connection");
    };
    run_local(test).await;
}

/// Guards against a Bind that meets a server which lacks the client's unnamed statement.
#[tokio::test]
async fn an_unnamed_statement_stays_valid_on_another_server() {
    let test = async {
        let ((one, first), (two, second)) = (stand_in().await, stand_in().await);
        let rig = Rig::start(&[one, two], 8, LONG_DEADLINE).await;
        let mut client = RawClient::log_in(&rig).await;
        rig.set_state(1, BackendState::Draining);
        client.send(&[PARSE_SELECT, SYNC]).await;
        assert_eq!(client.receive_until(b'Z').await, "1Z");
        rig.set_state(1, BackendState::Ready);
        rig.set_state(0, BackendState::Draining);
        client.send(&[BIND, EXECUTE, SYNC]).await;
        assert_eq!(client.receive_until(b'Z').await, "2DCZ");
        assert!(first.statements.borrow().is_empty());
        assert_eq!(*second.statements.borrow(), ["select title"]);
    };
    run_local(test).await;
}

/// Guards against a client without an unnamed statement that runs another client's.
#[tokio::test]
async fn a_client_that_has_parsed_nothing_runs_nothing() {
    let test = async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 1, LONG_DEADLINE).await;
        let (mut reader, mut desk) = (RawClient::log_in(&rig).await, RawClient::log_in(&rig).await);
        desk.send(&[PARSE_INSERT, BIND, EXECUTE, SYNC]).await;
        assert_eq!(desk.receive_until(b'Z').await, "12DCZ");
        reader.send(&[BIND, EXECUTE, SYNC]).await;
        assert_eq!(reader.receive_until(b'Z').await, "E(26000)Z");
        reader.send(&[DESCRIBE, SYNC]).await;
        assert_eq!(reader.receive_until(b'Z').await, "E(26000)Z");
        // A Query ends the unnamed statement.
        reader.send(&[PARSE_SELECT, SYNC, (b'Q', b"select 1\0"), BIND, EXECUTE, SYNC]).await;
        for answer in ["1Z", "TDCZ", "E(26000)Z"] {
            assert_eq!(reader.receive_until(b'Z').await, answer);
        }
        assert_eq!(*seen.statements.borrow(), ["insert order", "select 1"]);
    };
    run_local(test).await;
}
