use super::*;
use crate::oracle::tests::{plan, served, ORDER, READ};

#[test]
fn worth_counts_in_time_late_and_not_at_all() {
    let mut plan = plan();
    plan.arrivals.truncate(3);
    (plan.arrivals[0].at, plan.arrivals[1].at, plan.arrivals[2].at) = (Time(0), Time(0), Time(0));
    plan.experiment.class[1].late_worth = 0.25;
    let records = [served(READ, 0), served(ORDER, 200)].concat();
    let late = Histogram::new(2).unwrap();
    let outcome = Outcome { records, samples: Vec::new(), late, cut: None };
    let (f, broken) = Figures::compute(&plan, &outcome);
    assert!(broken.is_empty() && f.void.is_none());
    assert_eq!((f.whole.arrivals, f.whole.in_time, f.whole.late, f.whole.failed), (3, 1, 1, 1));
    assert!((f.whole.earned - 1.25).abs() < 1e-9 && f.attempts == 1.0, "{f:?}");
}

/// A run in which the testbed fell behind its own schedule is void.
#[test]
fn a_slow_testbed_voids_its_run() {
    let mut late = Histogram::new_with_bounds(1, 3_600_000_000, 2).unwrap();
    (0..100).for_each(|_| late.record(80_000).unwrap());
    let outcome = Outcome { records: Vec::new(), samples: Vec::new(), late, cut: None };
    let void = Figures::compute(&plan(), &outcome).0.void.unwrap();
    assert!(void.contains("80 ms late"), "{void}");
}
