//! Checks random histories on a failing disk.

use crate::scenario::{compare, history, Scenario, Step};
use lotusdeck_ledger::memory_disk::{Faults, MemoryDisk};
use lotusdeck_ledger::{End, Mode, OnFailure};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns a configuration with a fixed seed. `PROPTEST_RNG_SEED` overrides the seed.
pub(crate) fn config() -> ProptestConfig {
    let seed = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|seed| seed.parse().ok());
    let rng_seed = RngSeed::Fixed(seed.unwrap_or(6));
    ProptestConfig { cases: 400, failure_persistence: None, rng_seed, ..Default::default() }
}

/// One random request: the ends of its attempts, whether it is finished, and the unsorted times of its steps.
type RandomRequest = (Vec<End>, bool, Vec<u32>);

/// A step and the keys by which it is sorted.
struct TimedStep {
    time: u32,
    position: usize,
    step: Step,
}

pub(crate) fn steps() -> impl Strategy<Value = Vec<Step>> {
    let end = prop_oneof![
        Just(End::NeverSent),
        Just(End::Answered(200)),
        Just(End::Answered(500)),
        Just(End::Unanswered)
    ];
    let request =
        (proptest::collection::vec(end, 0..3), any::<bool>(), proptest::collection::vec(0u32..1000, 8));
    proptest::collection::vec(request, 1..6).prop_map(interleave)
}

/// Interleaves the steps of all requests by their random times.
fn interleave(requests: Vec<RandomRequest>) -> Vec<Step> {
    let mut timed: Vec<TimedStep> = Vec::new();
    for (request, (ends, settled, mut times)) in (0..).zip(requests) {
        let mut own = vec![Step::Take(request)];
        for (attempt, end) in (0..).zip(ends) {
            own.extend([Step::Send(request, attempt), Step::End(request, attempt, end)]);
        }
        if settled {
            own.push(Step::Settle(request));
        } else if own.len() > 1 {
            own.pop(); // the last attempt stays in flight
        }
        times.sort_unstable();
        let own = own.into_iter().enumerate();
        timed.extend(own.map(|(position, step)| TimedStep { time: times[position], position, step }));
    }
    timed.sort_by_key(|timed| (timed.time, timed.position));
    timed.into_iter().map(|timed| timed.step).collect()
}

proptest! {
    #![proptest_config(config())]

    /// Writes random histories to disks that fill up, fail a sync and recover, and compares them after a kill or a loss
    /// of power.
    #[test]
    fn history_on_a_failing_disk_is_never_shown_wrongly(
        steps in steps(), power in any::<bool>(), sends_unrecorded in any::<bool>(), segment_bytes in 400u64..3000,
        full_from in proptest::option::of(0usize..40), failing_sync in proptest::option::of(0usize..40),
        recovers_at in 0usize..60,
        kept in 0usize..4, torn in 0usize..200, close in any::<bool>(),
    ) {
        let faults = Faults { full_from, failing_sync, recovers_at: Some(recovers_at), ..Faults::default() };
        let disk = MemoryDisk::with_faults(faults);
        let mode = if power { Mode::Power } else { Mode::Process };
        let on_failure = if sends_unrecorded { OnFailure::SendUnrecorded } else { OnFailure::RejectRequests };
        let mut scenario = Scenario::new(disk.clone(), mode, on_failure, segment_bytes);
        scenario.steps(&steps);
        if close {
            scenario.step(Step::Close);
        }
        let found = if power { disk.after_power_loss(kept, torn) } else { disk.after_kill() };
        if let Err(e) = compare(&history(&found), &scenario.truth) {
            prop_assert!(false, "{e}");
        }
    }
}
