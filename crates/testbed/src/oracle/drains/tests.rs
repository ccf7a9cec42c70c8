use super::super::tests::*;
use crate::record::{Observation, Record};
use crate::world::discovery::Status;

fn with(before: Vec<Record>) -> usize {
    broken(&[before, served(READ, 1000)].concat()).len()
}

#[test]
fn requests_after_the_grace_time_are_reported() {
    let told = |ms, proxy, status| at(ms, Observation::Told { proxy, backend: 0, status });
    assert_eq!(with(vec![told(100, 0, Status::Draining)]), 1);
    assert_eq!(with(vec![told(600, 0, Status::Draining)]), 0, "within the grace time");
    assert_eq!(with(vec![told(100, 1, Status::Draining)]), 0, "another proxy was told");
    assert_eq!(
        with(vec![told(100, 0, Status::Deleted), told(200, 0, Status::Serving)]),
        0,
        "the backend is listed as serving again"
    );
    let cordon = |ms, out| at(ms, Observation::Cordoned { proxy: 0, backend: 0, out });
    assert_eq!(
        with(vec![cordon(100, true), told(200, 0, Status::Serving)]),
        1,
        "the list does not end a cordon"
    );
    assert_eq!(with(vec![cordon(100, true), cordon(200, false)]), 0);
}
