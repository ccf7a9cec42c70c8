//! Tests of when a signal may be sent.

use super::Readiness;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const RESTART: Duration = Duration::from_secs(3);

/// Guards against a signal that reaches a process before it is ready, as its predecessor had been ready for long.
#[tokio::test(start_paused = true)]
async fn no_signal_is_due_before_the_next_process_has_been_ready_for_a_second() {
    let readiness = Readiness::new();
    readiness.begin();
    sleep(Duration::from_secs(5)).await;
    readiness.end();
    let started_at = Instant::now();
    let restart = async {
        sleep(RESTART).await;
        readiness.begin();
    };
    tokio::join!(readiness.first_second_over(), restart);
    assert_eq!(started_at.elapsed(), RESTART + Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn the_first_second_begins_anew_where_a_process_ends_in_it() {
    let readiness = Readiness::new();
    readiness.begin();
    let started_at = Instant::now();
    let restart = async {
        sleep(Duration::from_millis(500)).await;
        readiness.end();
        sleep(RESTART).await;
        readiness.begin();
    };
    tokio::join!(readiness.first_second_over(), restart);
    assert_eq!(started_at.elapsed(), Duration::from_millis(500) + RESTART + Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn a_process_that_has_been_ready_for_long_may_get_signals_at_once() {
    let readiness = Readiness::new();
    readiness.begin();
    sleep(Duration::from_secs(5)).await;
    let started_at = Instant::now();
    readiness.first_second_over().await;
    assert_eq!(started_at.elapsed(), Duration::ZERO);
}
