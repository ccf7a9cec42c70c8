//! Statements whose time is up, through a front and its servers.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod raw_client;
mod rig;

use raw_client::{RawClient, INSERT};
use rig::{run_local, stand_in, Rig, SHORT_DEADLINE};

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
