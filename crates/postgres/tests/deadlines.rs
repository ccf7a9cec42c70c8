//! Statements whose time is up, through a front and its servers.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod raw_client;
mod rig;

use lotusdeck_policy::ClassId;
use lotusdeck_postgres::classes::Rule;
use raw_client::{RawClient, INSERT};
use rig::{run_local, stand_in, Rig, LONG_DEADLINE, SHORT_DEADLINE};

/// Guards against a late answer that its client takes for the answer to its next statement: where the settings do not
/// allow to cancel attempts, the one whose time was up went on writing to the client.
#[tokio::test]
async fn the_late_answer_of_a_statement_whose_time_is_up_does_not_reach_its_client() {
    let test = async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start_without_cancel(&[address], SHORT_DEADLINE).await;
        let mut raw = RawClient::log_in(&rig).await;
        raw.send(&[(b'Q', b"slow\0")]).await;
        assert_eq!(raw.receive_until(b'Z').await, "E(57014)Z");
        seen.finish_slow.notify_one();
        tokio::select! {
            () = seen.ended.notified() => {} // the connection of the late answer was closed
            late = raw.receive() => panic!("the client got {late:?}"),
        }
        raw.send(&[INSERT]).await;
        assert_eq!(raw.receive().await.unwrap().0, b'T');
        let row = raw.receive().await.unwrap();
        assert!(row.1.ends_with(b"insert"), "{row:?}");
        assert_eq!(raw.receive_until(b'Z').await, "CZ");
        assert_eq!(rig.servers.open_connections(), 1, "the connection of the INSERT alone is kept");
    };
    run_local(test).await;
}

/// Guards against rows that are cut off in the middle since their server looks lost: the statement was withdrawn although no
/// other server could send the rest, and its client was told 57014 long before its time was up.
#[tokio::test]
async fn a_statement_whose_rows_arrive_is_not_withdrawn_when_its_server_fails_others() {
    let test = async {
        let ((one, first), (two, second)) = (stand_in().await, stand_in().await);
        let rule = Rule { class: ClassId(0), comment: Some("safe".into()), ..Rule::default() };
        let rig = Rig::start_with_rules(&[one, two], 8, LONG_DEADLINE, vec![rule]).await;
        let mut raw = RawClient::log_in(&rig).await;
        for _ in 0..24 {
            raw.send(&[(b'Q', b"select\0")]).await; // the budget of retries grows with them
            assert_eq!(raw.receive_until(b'Z').await, "TDCZ");
        }
        raw.send(&[(b'Q', b"/* safe */ half\0")]).await;
        assert_eq!(raw.receive_until(b'D').await, "TD");
        let is_half = |text: &String| text.ends_with("half");
        let server = if first.statements.borrow().iter().any(is_half) { first } else { second };
        server.is_failing.set(true);
        let mut other = RawClient::log_in(&rig).await;
        let mut consecutive_successes = 0;
        while consecutive_successes < 8 {
            other.send(&[(b'Q', b"select\0")]).await;
            let is_served = other.receive_until(b'Z').await == "TDCZ";
            consecutive_successes = if is_served { consecutive_successes + 1 } else { 0 };
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await; // several ticks of the balancer
        server.finish_slow.notify_one();
        assert_eq!(raw.receive_until(b'Z').await, "DCZ");
    };
    run_local(test).await;
}

/// Guards against a client that is told of a lost server where none was: its statement waited for a connection until its time
/// was up.
#[tokio::test]
async fn a_statement_that_waits_for_a_connection_until_its_time_is_up_is_told_so() {
    let test = async {
        let (address, seen) = stand_in().await;
        let rule = Rule { class: ClassId(0), comment: Some("safe".into()), ..Rule::default() };
        let deadlines = [LONG_DEADLINE, SHORT_DEADLINE];
        let rig = Rig::start_with(&[address], 1, deadlines, vec![rule], true).await;
        let mut holding = RawClient::log_in(&rig).await;
        let mut waiting = RawClient::log_in(&rig).await;
        holding.send(&[(b'Q', b"/* safe */ slow\0")]).await;
        while seen.statements.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        waiting.send(&[INSERT]).await;
        assert_eq!(waiting.receive_until(b'Z').await, "E(57014)Z");
        seen.finish_slow.notify_one();
        assert_eq!(holding.receive_until(b'Z').await, "TDCZ");
        assert_eq!(seen.statements.borrow().len(), 1, "the INSERT never ran");
    };
    run_local(test).await;
}
