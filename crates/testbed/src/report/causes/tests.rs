use super::*;
use crate::oracle::tests::{plan, served, ORDER, READ};
use crate::record::{Record, TryId};
use hdrhistogram::Histogram;

#[test]
fn each_loss_has_its_cause() {
    let mut plan = plan();
    plan.arrivals.truncate(2);
    plan.arrivals.iter_mut().for_each(|a| a.at = Time(0));
    let id = |arrival| TryId { arrival, no: 0 };
    let (read, order) = (READ, ORDER);
    let cause = |records: Vec<Record>| {
        let late = Histogram::new(2).unwrap();
        let outcome = Outcome { records, samples: Vec::new(), late, cut: None };
        let losses = Losses::compute(&plan, &outcome);
        let some = CAUSES.iter().zip(losses.by_cause).filter(|(_, l)| *l > 0.0);
        some.map(|((c, _), _)| *c).collect::<Vec<_>>()
    };
    let refused = |arrival, at| Record {
        at: Time(at),
        what: Observation::Answered { id: id(arrival), status: 503, retry_after: None, own: false },
    };
    // No request is at a backend, so the order is refused although there is room.
    assert_eq!(
        cause([served(read, 0), vec![refused(order.arrival, 300)]].concat()),
        [Cause::RefusedWithRoom]
    );
    assert_eq!(cause(served(read, 0)), [Cause::Unanswered]);
    // As many requests are at a backend as there are cores, so the order is refused as full.
    let cores: f64 = plan.fleet.iter().map(|b| b.build.cores).sum();
    let out = (0..cores.ceil() as u32).map(|no| Record {
        at: Time(1),
        what: Observation::Began { id: TryId { arrival: read.arrival, no }, backend: 0 },
    });
    let full: Vec<Record> = out.chain([refused(order.arrival, 300)]).collect();
    assert!(cause(full).contains(&Cause::RefusedFull));
}
