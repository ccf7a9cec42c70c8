//! Checks that the ledger never shows anything wrong after a crash at any step, a torn write or a flipped bit.

mod damage;
mod kept;
mod lost_records;
mod model;
mod random;
mod scenario;

use lotusdeck_ledger::memory_disk::{Faults, MemoryDisk};
use lotusdeck_ledger::{Disk, Mode, OnFailure, Options, Request, SendState, Writer};
use scenario::{compare, history, id, power_losses, record, Scenario, Step, SHORT_HISTORY};
use std::collections::BTreeMap;

const FAILURES: [OnFailure; 2] = [OnFailure::RejectRequests, OnFailure::SendUnrecorded];

/// After a kill at each step everything durable is shown and nothing is shown wrongly, with large and small segments.
#[test]
fn kill_at_any_step_leaves_a_true_history() {
    for (on_failure, segment_bytes) in FAILURES.iter().flat_map(|f| [(*f, 1 << 16), (*f, 700)]) {
        for steps in 0..=SHORT_HISTORY.len() {
            let disk = MemoryDisk::default();
            let mut scenario = Scenario::new(disk.clone(), Mode::Process, on_failure, segment_bytes);
            scenario.steps(&SHORT_HISTORY[..steps]);
            let shown = history(&disk.after_kill());
            let uncertain = compare(&shown, &scenario.truth).unwrap_or_else(|e| panic!("{steps} steps: {e}"));
            // If no request is sent unrecorded, only attempts in flight are uncertain.
            let ends = scenario.truth.values().flat_map(BTreeMap::values);
            let in_flight = ends.filter(|end| end.is_none()).count();
            if on_failure == OnFailure::RejectRequests {
                assert_eq!(uncertain, in_flight, "{steps} steps, segments of {segment_bytes}");
            }
        }
    }
}

/// Checks the history after a loss of power at each step, for every number of surviving unsynced writes and every
/// length of a torn one.
#[test]
fn power_loss_at_any_byte_leaves_a_true_history() {
    let mut cases = 0;
    for steps in 0..=SHORT_HISTORY.len() {
        let disk = MemoryDisk::default();
        let mut scenario = Scenario::new(disk.clone(), Mode::Power, OnFailure::RejectRequests, 1 << 16);
        scenario.steps(&SHORT_HISTORY[..steps]);
        // The next step is written but not synced yet, so its attempt has not been sent.
        let next = SHORT_HISTORY.get(steps).copied().unwrap_or(Step::Settle(3));
        if let Step::End(request, attempt, end) = next {
            // The attempt has ended, whether that record survives or not.
            scenario.truth.entry(id(request)).or_default().insert(attempt, Some(end));
        }
        let mut bytes = Vec::new();
        lotusdeck_ledger::encode(steps as u64 + 1, &record(next, 5), &mut bytes);
        let name = disk.list().unwrap().remove(0);
        let length = disk.read(&name).unwrap().iter().rposition(|b| *b != 0).unwrap_or(0) as u64 + 1;
        disk.clone().write(&mut name.clone(), length.max(256), &bytes).unwrap();
        for (kept, torn) in power_losses(&disk) {
            let shown = history(&disk.after_power_loss(kept, torn));
            compare(&shown, &scenario.truth)
                .unwrap_or_else(|e| panic!("{steps} steps, {kept} kept, torn at {torn}: {e}"));
            cases += 1;
        }
    }
    assert!(cases > 1000, "{cases}");
}

/// Fails each of the first 40 operations in turn: an attempt whose intent is not durable is not sent.
#[test]
fn attempt_whose_intent_failed_to_sync_is_not_sent() {
    for operation in 0..40 {
        let faults =
            Faults { full_from: Some(operation), recovers_at: Some(operation + 1), ..Faults::default() };
        let disk = MemoryDisk::with_faults(faults);
        let mut scenario = Scenario::new(disk.clone(), Mode::Power, OnFailure::RejectRequests, 641);
        scenario.steps(&SHORT_HISTORY);
        for (kept, torn) in power_losses(&disk) {
            let shown = history(&disk.after_power_loss(kept, torn));
            compare(&shown, &scenario.truth).unwrap_or_else(|e| panic!("operation {operation} fails: {e}"));
        }
    }
}

/// During an upgrade two processes write their own files in one folder at the same time; both are shown.
#[test]
fn two_generations_in_one_folder_are_both_shown() {
    let disk = MemoryDisk::default();
    let mut old = Scenario::new(disk.clone(), Mode::Process, OnFailure::RejectRequests, 700);
    old.steps(&SHORT_HISTORY[..5]);
    let options =
        Options { segment_bytes: 700, ..Options::new("n0", Mode::Process, OnFailure::RejectRequests) };
    let (mut new, first_segment) = Writer::open(disk.clone(), options, 0xcd, 9000);
    first_segment.unwrap();
    new.append(9001, &[record(Step::Take(7), 9001), record(Step::Send(7, 0), 9001)]).unwrap();
    old.steps(&SHORT_HISTORY[5..]);
    let shown = history(&disk.after_kill());
    assert_eq!(compare(&shown, &old.truth), Ok(0));
    assert_eq!(shown.find("request-0007")[0].send_state(), SendState::PossiblySent);
}

/// Guards against a record that is overwritten because its sequence number is used again: an append fails, and the next
/// one fails as well, but its frames reach the disk. With [`OnFailure::SendUnrecorded`] its request is sent.
#[test]
fn records_of_failed_appends_are_not_overwritten() {
    let mut has_reached_the_disk = false;
    for (full, failing_sync) in (0..20).flat_map(|full| (full..30).map(move |sync| (full, sync))) {
        let faults = Faults {
            full_from: Some(full),
            recovers_at: Some(full + 1),
            failing_sync: Some(failing_sync),
            keeps_unsynced: true,
            ..Faults::default()
        };
        let disk = MemoryDisk::with_faults(faults);
        let options = Options::new("n0", Mode::Power, OnFailure::SendUnrecorded);
        let (mut writer, _) = Writer::open(disk.clone(), Options { segment_bytes: 4096, ..options }, 1, 0);
        let mut has_segment = false;
        for request in 0..4 {
            let now = 1000 * (request + 1);
            has_segment |= writer.has_segment();
            let records = [record(Step::Take(request), now), record(Step::Send(request, 0), now)];
            let is_durable = writer.append(now, &records).is_ok();
            if is_durable || has_segment {
                let shown = history(&disk.after_power_loss(0, 0));
                let found = shown.find(&id(request));
                has_reached_the_disk |= !is_durable && !found.is_empty();
                let is_denied = |request: &Request| request.send_state() == SendState::NeverSent;
                assert!(!found.iter().any(is_denied), "{full}, {failing_sync}, request {request}: {found:?}");
            }
        }
        let _ = writer.close(10_000);
        let shown = history(&disk.after_power_loss(0, 0));
        let is_sent = |request: &Request| request.send_state() != SendState::NeverSent;
        assert!(shown.requests().iter().all(is_sent), "{full}, {failing_sync}: {:?}", shown.requests());
    }
    assert!(has_reached_the_disk);
}
