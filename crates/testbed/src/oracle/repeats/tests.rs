use super::super::tests::*;
use crate::record::{Observation, RequestEnd};

#[test]
fn a_second_run_and_a_false_refusal_are_reported() {
    let mut twice = served(ORDER, 0);
    twice.insert(2, at(5, Observation::Began { id: ORDER, backend: 1 }));
    assert_eq!(broken(&twice)[0].0, "nothing runs twice");
    let mut read = served(READ, 0);
    read.insert(2, at(5, Observation::Began { id: READ, backend: 1 }));
    assert!(broken(&read).is_empty(), "a request without side effects may run again");
    let mut refused = served(ORDER, 0);
    refused[3] = at(21, Observation::Answered { id: ORDER, status: 503, retry_after: None, own: false });
    assert!(broken(&refused)[0].1.contains("503 though"));
    let mut away = served(ORDER, 10);
    away.insert(1, at(10, Observation::Began { id: ORDER, backend: 1 }));
    away.insert(2, at(10, Observation::Ended { id: ORDER, backend: 1, how: RequestEnd::TurnedAway }));
    assert!(broken(&away).is_empty(), "a rejected request may be sent to another backend");
}
