//! Every crash, every tear, every flipped bit of a short history: what is told afterwards is never wrong.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

use lotusdeck_ledger::memory_disk::{Faults, MemoryDisk};
use lotusdeck_ledger::{
    decode, read_segment, Disk, End, Fate, History, LocatedFrame, Mode, OnFailure, Options, Record, Verdict,
    Writer,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// What really happened to a request: for each attempt that may have written a byte, how it ended so far.
type Truth = BTreeMap<String, BTreeMap<u32, Option<End>>>;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Take(u64),
    Send(u64, u32),
    End(u64, u32, End),
    Settle(u64),
    Close,
}

fn id(request: u64) -> String {
    format!("request-{request:04}")
}

fn record(step: Step, at: u64) -> Record {
    match step {
        Step::Take(request) => {
            let (class, key) = ("print-order".into(), format!("k{request}"));
            Record::Taken { request, at, id: id(request), class, key }
        }
        Step::Send(request, attempt) => {
            let (backend, address) = (format!("b-{attempt}"), "127.0.0.1:80".into());
            Record::Intent { request, attempt, at, id: id(request), backend, address }
        }
        Step::End(request, attempt, end) => Record::Ended { request, attempt, at, end },
        Step::Settle(request) => Record::Settled { request },
        Step::Close => Record::Closed { at },
    }
}

/// A history played on a disk.
struct Play {
    writer: Writer<MemoryDisk>,
    goes_on: bool,
    truth: Truth,
    now: u64,
}

impl Play {
    fn new(disk: MemoryDisk, mode: Mode, on_failure: OnFailure, segment_bytes: u64) -> Play {
        let options = Options { segment_bytes, ..Options::new("n0", mode, on_failure) };
        let (writer, _) = Writer::open(disk, options, 0xab, 1000);
        Play { writer, goes_on: on_failure == OnFailure::GoOn, truth: Truth::new(), now: 1000 }
    }

    /// As the core does: an attempt goes out only once its intent is safe, or where the operators let it; one that
    /// did not go out ends as never sent.
    fn step(&mut self, step: Step) {
        let out = |r: u64, a: u32| self.truth.get(&id(r)).is_some_and(|t| t.contains_key(&a));
        let step = match step {
            Step::End(r, a, _) if !out(r, a) => Step::End(r, a, End::NeverSent),
            other => other,
        };
        self.now += 1000; // a new segment may be tried for at every step
        if let Step::Close = step {
            let _ = self.writer.close(self.now);
            return;
        }
        let safe = self.writer.append(self.now, &[record(step, self.now)]).is_ok();
        match step {
            Step::Take(r) => {
                self.truth.entry(id(r)).or_default();
            }
            Step::Send(r, a) if safe || self.goes_on && self.writer.has_segment() => {
                self.truth.entry(id(r)).or_default().insert(a, None);
            }
            Step::End(r, a, end) => {
                let sent = self.truth.get_mut(&id(r)).and_then(|t| t.get_mut(&a));
                sent.into_iter().for_each(|s| *s = Some(end));
            }
            _ => {}
        }
    }
}

/// Every number of unsynced writes that may survive a loss of power, with every length of what may of the next.
fn power_losses(disk: &MemoryDisk) -> impl Iterator<Item = (usize, usize)> {
    let unsynced = disk.unsynced();
    (0..=unsynced.most_in_a_file).flat_map(move |kept| (0..=unsynced.longest).map(move |torn| (kept, torn)))
}

fn history(disk: &MemoryDisk) -> History {
    let mut history = History::default();
    history.add("memory", disk, None).unwrap();
    history
}

/// Everything that is told has to be true; uncertain is always allowed. The share of it is returned.
fn compare(told: &History, truth: &Truth) -> Result<usize, String> {
    let mut uncertain = 0;
    for (id, sent) in truth {
        let really: BTreeMap<u32, Option<End>> =
            sent.iter().filter(|(_, end)| **end != Some(End::NeverSent)).map(|(a, e)| (*a, *e)).collect();
        let found = told.find(id);
        let Some(request) = found.first() else {
            if told.certain() && !really.is_empty() {
                return Err(format!("{id}: certainly not there, but it was sent: {really:?}"));
            }
            uncertain += usize::from(!told.certain());
            continue;
        };
        let verdict = request.verdict();
        uncertain += usize::from(verdict == Verdict::PossiblySent);
        if verdict == Verdict::NeverSent && !really.is_empty() {
            return Err(format!("{id}: never sent, but it was: {really:?}"));
        }
        if verdict == Verdict::Sent {
            let listed =
                |a: &u32| request.attempts.iter().any(|x| x.number == *a && x.fate != Fate::NeverSent);
            if let Some((a, _)) = really.iter().find(|(a, _)| !listed(a)) {
                return Err(format!("{id}: attempt {a} was sent and is not told of"));
            }
        }
        for a in &request.attempts {
            let end = sent.get(&a.number).copied().flatten();
            let fits = match a.fate {
                Fate::PossiblySent => true,
                Fate::NeverSent => end == Some(End::NeverSent) || !sent.contains_key(&a.number),
                Fate::Answered(status) => end == Some(End::Answered(status)),
                Fate::Unanswered => end == Some(End::Unanswered),
            };
            if !fits {
                return Err(format!("{id}: attempt {} is told as {:?} and was {end:?}", a.number, a.fate));
            }
        }
    }
    Ok(uncertain)
}

/// Three requests: one served, one repeated after a refusal, one that breaks off; interleaved.
const SHORT: [Step; 14] = [
    Step::Take(1),
    Step::Send(1, 0),
    Step::Take(2),
    Step::Send(2, 0),
    Step::End(1, 0, End::Answered(200)),
    Step::End(2, 0, End::NeverSent),
    Step::Settle(1),
    Step::Send(2, 1),
    Step::Take(3),
    Step::Send(3, 0),
    Step::End(2, 1, End::Answered(200)),
    Step::Settle(2),
    Step::End(3, 0, End::Unanswered),
    Step::Settle(3),
];

const FAILURES: [OnFailure; 2] = [OnFailure::Refuse, OnFailure::GoOn];

/// After a kill at each step all that was safe is told, and nothing wrong; with small segments too.
#[test]
fn a_kill_at_every_step_leaves_the_truth() {
    for (on_failure, room) in FAILURES.iter().flat_map(|f| [(*f, 1 << 16), (*f, 700)]) {
        for steps in 0..=SHORT.len() {
            let disk = MemoryDisk::default();
            let mut play = Play::new(disk.clone(), Mode::Process, on_failure, room);
            SHORT[..steps].iter().for_each(|s| play.step(*s));
            let told = history(&disk.after_kill());
            let uncertain = compare(&told, &play.truth).unwrap_or_else(|e| panic!("{steps} steps: {e}"));
            // Where nothing goes unrecorded only what is out is uncertain.
            let out = play.truth.values().flat_map(BTreeMap::values).filter(|end| end.is_none()).count();
            if on_failure == OnFailure::Refuse {
                assert_eq!(uncertain, out, "{steps} steps, segments of {room}");
            }
        }
    }
}

/// A loss of power at each step, with any of the unsynced writes and any tear of the next: nothing wrong is told.
#[test]
fn a_loss_of_power_at_every_byte_leaves_the_truth() {
    let mut cases = 0;
    for steps in 0..=SHORT.len() {
        let disk = MemoryDisk::default();
        let mut play = Play::new(disk.clone(), Mode::Power, OnFailure::Refuse, 1 << 16);
        SHORT[..steps].iter().for_each(|s| play.step(*s));
        // The next step is written and not synced yet: its attempt has not gone out.
        let next = SHORT.get(steps).copied().unwrap_or(Step::Settle(3));
        if let Step::End(r, a, end) = next {
            play.truth.entry(id(r)).or_default().insert(a, Some(end)); // it has ended, written down or not
        }
        let mut bytes = Vec::new();
        lotusdeck_ledger::encode(steps as u64 + 1, &record(next, 5), &mut bytes);
        let name = disk.list().unwrap().remove(0);
        let length = disk.read(&name).unwrap().iter().rposition(|b| *b != 0).unwrap_or(0) as u64 + 1;
        disk.clone().write(&mut name.clone(), length.max(256), &bytes).unwrap();
        for (kept, torn) in power_losses(&disk) {
            let told = history(&disk.after_power_loss(kept, torn));
            compare(&told, &play.truth)
                .unwrap_or_else(|e| panic!("{steps} steps, {kept} kept, torn at {torn}: {e}"));
            cases += 1;
        }
    }
    assert!(cases > 1000, "{cases}");
}

/// Any one bit turned over anywhere makes uncertain at most, whether the process ended in order or not.
#[test]
fn a_flipped_bit_never_makes_a_wrong_certainty() {
    for (steps, close) in [(SHORT.len(), true), (SHORT.len(), false), (10, false)] {
        let disk = MemoryDisk::default();
        let mut play = Play::new(disk.clone(), Mode::Process, OnFailure::Refuse, 700);
        SHORT[..steps].iter().for_each(|s| play.step(*s));
        if close {
            play.step(Step::Close);
        }
        for name in disk.list().unwrap() {
            let bits = disk.read(&name).unwrap().len() * 8;
            for bit in 0..bits {
                let bad = disk.after_kill();
                assert!(bad.flip(&name, bit));
                compare(&history(&bad), &play.truth).unwrap_or_else(|e| panic!("{name}, bit {bit}: {e}"));
                // The index may be read before the segment.
                let mut one = History::default();
                one.add("memory", &bad, Some("request-0002")).unwrap();
                let only: Truth =
                    play.truth.clone().into_iter().filter(|(id, _)| id == "request-0002").collect();
                compare(&one, &only).unwrap_or_else(|e| panic!("by index, {name}, bit {bit}: {e}"));
            }
        }
    }
}

/// A segment that is missing, one of a newer format, and a clock that steps back.
#[test]
fn whole_files_may_be_lost_or_strange() {
    let disk = MemoryDisk::default();
    let mut play = Play::new(disk.clone(), Mode::Process, OnFailure::Refuse, 480);
    for (n, step) in SHORT.iter().enumerate() {
        play.now = 100_000 - 1000 * n as u64;
        play.step(*step);
    }
    let names: Vec<String> = disk.list().unwrap().into_iter().filter(|n| n.ends_with(".seg")).collect();
    assert!(names.len() > 2, "{names:?}");
    for name in &names {
        let mut lost = disk.after_kill();
        lost.remove(name).unwrap();
        compare(&history(&lost), &play.truth).unwrap_or_else(|e| panic!("{name} lost: {e}"));
        let newer = disk.after_kill();
        newer.clone().write(&mut name.clone(), 8, &[9, 0]).unwrap();
        let told = history(&newer);
        assert!(told.faults.iter().any(|f| f.contains("format 9")), "{:?}", told.faults);
        compare(&told, &play.truth).unwrap_or_else(|e| panic!("{name} newer: {e}"));
    }
    assert!(compare(&history(&disk), &play.truth) == Ok(0));
}

/// Two processes write beside each other during an upgrade, each its own files; both are told of.
#[test]
fn two_generations_share_a_folder() {
    let disk = MemoryDisk::default();
    let mut old = Play::new(disk.clone(), Mode::Process, OnFailure::Refuse, 700);
    SHORT[..5].iter().for_each(|s| old.step(*s));
    let options = Options { segment_bytes: 700, ..Options::new("n0", Mode::Process, OnFailure::Refuse) };
    let (mut new, begun) = Writer::open(disk.clone(), options, 0xcd, 9000);
    begun.unwrap();
    new.append(9001, &[record(Step::Take(7), 9001), record(Step::Send(7, 0), 9001)]).unwrap();
    SHORT[5..].iter().for_each(|s| old.step(*s));
    let told = history(&disk.after_kill());
    assert_eq!(compare(&told, &old.truth), Ok(0));
    assert_eq!(told.find("request-0007")[0].verdict(), Verdict::PossiblySent);
}

/// Old segments go, but never one that holds an unresolved request before its age.
#[test]
fn the_unresolved_are_kept() {
    let disk = MemoryDisk::default();
    let room = Options {
        segment_bytes: 700,
        keep_bytes: 3000,
        ..Options::new("n0", Mode::Process, OnFailure::Refuse)
    };
    let (mut writer, _) = Writer::open(disk.clone(), room.clone(), 1, 0);
    writer.append(1, &[record(Step::Take(0), 1), record(Step::Send(0, 0), 1)]).unwrap();
    for r in 1..200 {
        for step in [Step::Take(r), Step::Send(r, 0), Step::End(r, 0, End::Answered(200)), Step::Settle(r)] {
            writer.append(r, &[record(step, r)]).unwrap();
        }
    }
    assert!(
        writer.take_dropped().is_empty(),
        "the oldest holds an unresolved request: nothing may go past it"
    );
    writer.append(300, &[record(Step::Settle(0), 300)]).unwrap();
    for r in 200..230 {
        writer.append(r, &[record(Step::Take(r), r), record(Step::Settle(r), r)]).unwrap();
    }
    assert!(writer.take_dropped().len() > 10);
    // The next process knows what the last one left unresolved, and keeps that until it is too old.
    let kept = disk.list().unwrap().len();
    writer.append(300, &[record(Step::Take(999), 300), record(Step::Send(999, 0), 300)]).unwrap();
    drop(writer);
    let (mut next, _) = Writer::open(disk.after_kill(), Options { keep: 0, keep_bytes: 0, ..room }, 2, 400);
    for r in 0..20 {
        next.append(500 + r, &[record(Step::Take(r), 500), record(Step::Settle(r), 500)]).unwrap();
    }
    let dropped = next.take_dropped();
    assert!(!dropped.is_empty() && dropped.len() < kept, "{dropped:?}");
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let end = prop_oneof![
        Just(End::NeverSent),
        Just(End::Answered(200)),
        Just(End::Answered(500)),
        Just(End::Unanswered)
    ];
    // Each request goes its way; ways are interleaved by the order of random numbers.
    let one = (proptest::collection::vec(end, 0..3), any::<bool>(), proptest::collection::vec(0u32..1000, 8));
    proptest::collection::vec(one, 1..6).prop_map(|all| {
        let mut timed: Vec<(u32, usize, Step)> = Vec::new();
        for (r, (ends, settled, mut times)) in all.into_iter().enumerate() {
            let r = r as u64;
            let mut own = vec![Step::Take(r)];
            for (a, end) in ends.iter().enumerate() {
                own.extend([Step::Send(r, a as u32), Step::End(r, a as u32, *end)]);
            }
            if settled {
                own.push(Step::Settle(r));
            } else if own.len() > 1 {
                own.pop(); // its last attempt is still out
            }
            times.sort_unstable();
            timed.extend(own.into_iter().enumerate().map(|(i, s)| (times[i], i, s)));
        }
        timed.sort_by_key(|t| (t.0, t.1));
        timed.into_iter().map(|t| t.2).collect()
    })
}

fn seed() -> RngSeed {
    let asked = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|s| s.parse().ok());
    RngSeed::Fixed(asked.unwrap_or(6))
}

proptest! {
    // The same cases every time; PROPTEST_RNG_SEED asks for others.
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: seed(), ..Default::default() })]

    /// Random histories on disks that fill up, fail a sync and are mended, then a kill or a loss of power.
    #[test]
    fn no_history_on_a_failing_disk_is_told_wrongly(
        steps in steps(), power in any::<bool>(), goes_on in any::<bool>(), room in 400u64..3000,
        full in proptest::option::of(0usize..40), sync in proptest::option::of(0usize..40), mended in 0usize..60,
        kept in 0usize..4, torn in 0usize..200, close in any::<bool>(),
    ) {
        let faults = Faults { full_after: full, sync_fails: sync, mended_at: Some(mended) };
        let disk = MemoryDisk::with_faults(faults);
        let (mode, on_failure) = (
            if power { Mode::Power } else { Mode::Process },
            if goes_on { OnFailure::GoOn } else { OnFailure::Refuse },
        );
        let mut play = Play::new(disk.clone(), mode, on_failure, room);
        steps.iter().for_each(|s| play.step(*s));
        if close {
            play.step(Step::Close);
        }
        let found = if power { disk.after_power_loss(kept, torn) } else { disk.after_kill() };
        if let Err(e) = compare(&history(&found), &play.truth) {
            prop_assert!(false, "{e}");
        }
    }

    /// The body of the fuzz target: whatever the bytes, reading ends and does not panic, and what it tells of
    /// frames is what decodes.
    #[test]
    fn any_bytes_can_be_read(bytes in proptest::collection::vec(any::<u8>(), 0..2000), at in 0usize..2000) {
        lotusdeck_ledger_any(&bytes);
        // A sound segment with random bytes written over a part of it.
        let disk = MemoryDisk::default();
        let mut play = Play::new(disk.clone(), Mode::Process, OnFailure::Refuse, 1 << 12);
        SHORT.iter().for_each(|s| play.step(*s));
        let name = disk.list().unwrap().remove(0);
        disk.clone().write(&mut name.clone(), at as u64, &bytes[..bytes.len().min(60)]).unwrap();
        lotusdeck_ledger_any(&disk.read(&name).unwrap());
        if let Err(e) = compare(&history(&disk), &play.truth) {
            prop_assert!(false, "{e}");
        }
    }
}

/// One sync fails of an intent that was written: its attempt does not go out.
#[test]
fn an_intent_whose_sync_failed_is_no_attempt() {
    for at in 0..40 {
        let faults = Faults { full_after: Some(at), sync_fails: None, mended_at: Some(at + 1) };
        let disk = MemoryDisk::with_faults(faults);
        let mut play = Play::new(disk.clone(), Mode::Power, OnFailure::Refuse, 641);
        SHORT.iter().for_each(|s| play.step(*s));
        for (kept, torn) in power_losses(&disk) {
            let told = history(&disk.after_power_loss(kept, torn));
            compare(&told, &play.truth).unwrap_or_else(|e| panic!("operation {at} fails: {e}"));
        }
    }
}

fn lotusdeck_ledger_any(bytes: &[u8]) {
    let scan = read_segment(bytes);
    for LocatedFrame { offset, frame } in &scan.frames {
        assert_eq!(decode(&bytes[*offset..]).map(|decoded| decoded.0).as_ref(), Ok(frame));
    }
    assert!(scan.damaged.iter().all(|d| d.start < d.end && d.end <= bytes.len()));
}
