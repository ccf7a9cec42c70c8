//! Records of correct and incorrect requests, for the tests of all oracles.

use super::*;
use crate::experiment::Experiment;
use crate::record::RequestEnd;

/// Draws a plan with the classes `read` (free) and `order` (single-shot). Arrival 0 is a read and arrival 1 an
/// order.
pub fn plan() -> Plan {
    let text = r#"
        name = "t"
        duration_s = 5.0
        proxies = 2
        load = { rps = 50.0 }
        class = [
          { name = "read", effect = "free", share = 1.0, aim_ms = 100, deadline_ms = 500, work_ms = 5 },
          { name = "order", effect = "single_shot", share = 1.0, aim_ms = 100, deadline_ms = 500, work_ms = 5 },
        ]
        kind = [{ name = "m", count = 3 }]
    "#;
    let mut plan = Plan::draw(&Experiment::parse("t", text).unwrap(), 1);
    (plan.arrivals[0].class, plan.arrivals[1].class) = (0, 1);
    plan
}

pub const READ: TryId = TryId { arrival: 0, no: 0 };
pub const ORDER: TryId = TryId { arrival: 1, no: 0 };

pub fn at(ms: u64, what: Observation) -> Record {
    Record { at: Time(ms * 1000), what }
}

/// Returns the records of a request that is sent, begun, ended and answered as it should be.
pub fn served(id: TryId, from: u64) -> Vec<Record> {
    vec![
        at(from, Observation::Asked { id, proxy: 0, left: 500_000 }),
        at(from + 1, Observation::Began { id, backend: 0 }),
        at(from + 20, Observation::Ended { id, backend: 0, how: RequestEnd::Served }),
        at(from + 21, Observation::Answered { id, status: 200, retry_after: None, own: true }),
    ]
}

pub fn broken(records: &[Record]) -> Vec<(&'static str, String)> {
    find_violations(&plan(), records).into_iter().map(|b| (b.oracle, b.text)).collect()
}

#[test]
fn a_correct_run_has_no_violations() {
    let all: Vec<Record> = [served(READ, 10), served(ORDER, 200)].concat();
    assert!(broken(&all).is_empty());
    assert!(timeline(&plan(), &all, ORDER).lines().count() == 5);
}
