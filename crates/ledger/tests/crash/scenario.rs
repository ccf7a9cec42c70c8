//! Writes histories of requests to a disk, and compares what the ledger shows with what happened.

use lotusdeck_ledger::memory_disk::MemoryDisk;
use lotusdeck_ledger::{
    AttemptOutcome, End, History, Mode, OnFailure, Options, Record, Request, SendState, Writer,
};
use std::collections::{BTreeMap, BTreeSet};

/// What happened to a request: for each attempt that may have written a byte, its end, or `None` while it is in
/// flight.
pub(crate) type Attempts = BTreeMap<u32, Option<End>>;
/// What happened to each request, by its id.
pub(crate) type Truth = BTreeMap<String, Attempts>;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// The request arrives.
    Take(u64),
    /// An attempt of the request is to be sent.
    Send(u64, u32),
    /// An attempt of the request ends.
    End(u64, u32, End),
    /// The client receives its final answer.
    Settle(u64),
    /// The process shuts down.
    Close,
}

/// Three interleaved requests: one answered, one retried after a rejection, one whose connection breaks.
pub(crate) const SHORT_HISTORY: [Step; 14] = [
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

pub(crate) fn id(request: u64) -> String {
    format!("request-{request:04}")
}

/// Returns the record that a step writes.
pub(crate) fn record(step: Step, at: u64) -> Record {
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

/// A history that is written to a disk step by step.
pub(crate) struct Scenario {
    disk: MemoryDisk,
    writer: Writer<MemoryDisk>,
    on_failure: OnFailure,
    pub(crate) truth: Truth,
    /// The ids of requests whose records cannot prove what happened, because one of them was not written.
    pub(crate) unproved: BTreeSet<String>,
    /// The attempts of which only the intent was written.
    pub(crate) open_attempts: BTreeSet<(String, u32)>,
    /// Whether a record could not be written although the process was not killed.
    pub(crate) has_lost_records: bool,
    pub(crate) now: u64,
}

impl Scenario {
    pub(crate) fn new(disk: MemoryDisk, mode: Mode, on_failure: OnFailure, segment_bytes: u64) -> Scenario {
        let options = Options { segment_bytes, ..Options::new("n0", mode, on_failure) };
        Scenario::start(disk, options, 0xab, 1000)
    }

    /// Starts a process.
    pub(crate) fn start(disk: MemoryDisk, options: Options, generation: u64, now: u64) -> Scenario {
        let on_failure = options.on_failure;
        let (writer, _) = Writer::open(disk.clone(), options, generation, now);
        Scenario {
            disk,
            writer,
            on_failure,
            truth: Truth::new(),
            unproved: BTreeSet::new(),
            open_attempts: BTreeSet::new(),
            has_lost_records: false,
            now,
        }
    }

    /// Writes the record of a step and updates `truth` as the core would act: an attempt is sent only if its intent is
    /// durable or the options allow sending it unrecorded, and an attempt that was not sent ends as never sent.
    pub(crate) fn step(&mut self, step: Step) {
        let was_sent = |request: u64, attempt: u32| {
            self.truth.get(&id(request)).is_some_and(|attempts| attempts.contains_key(&attempt))
        };
        let step = match step {
            Step::End(request, attempt, _) if !was_sent(request, attempt) => {
                Step::End(request, attempt, End::NeverSent)
            }
            other => other,
        };
        self.now += 1000; // above the retry interval of 500 ms, so that each step may create a segment
        if let Step::Close = step {
            let _ = self.writer.close(self.now);
            return;
        }
        let is_durable = self.writer.append(self.now, &[record(step, self.now)]).is_ok();
        self.track_records(step, is_durable);
        let sends_unrecorded = self.on_failure == OnFailure::SendUnrecorded && self.writer.has_segment();
        let may_send = is_durable || sends_unrecorded && !self.disk.is_killed();
        match step {
            Step::Take(request) => {
                self.truth.entry(id(request)).or_default();
            }
            Step::Send(request, attempt) if may_send => {
                self.truth.entry(id(request)).or_default().insert(attempt, None);
            }
            Step::End(request, attempt, end) => {
                let attempts = self.truth.get_mut(&id(request));
                let sent = attempts.and_then(|attempts| attempts.get_mut(&attempt));
                sent.into_iter().for_each(|sent| *sent = Some(end));
            }
            _ => {}
        }
    }

    /// Returns whether the process has listed a segment in the manifest.
    pub(crate) fn has_segment(&self) -> bool {
        self.writer.has_segment()
    }

    /// Notes what the records prove.
    fn track_records(&mut self, step: Step, is_durable: bool) {
        self.has_lost_records |= !is_durable && !self.disk.is_killed();
        let (Step::Take(request) | Step::Send(request, _) | Step::End(request, ..) | Step::Settle(request)) =
            step
        else {
            return;
        };
        match step {
            _ if !is_durable => drop(self.unproved.insert(id(request))),
            Step::Send(_, attempt) => drop(self.open_attempts.insert((id(request), attempt))),
            Step::End(_, attempt, _) => drop(self.open_attempts.remove(&(id(request), attempt))),
            _ => {}
        }
    }

    pub(crate) fn steps(&mut self, steps: &[Step]) {
        steps.iter().for_each(|step| self.step(*step));
    }
}

#[allow(clippy::unwrap_used, reason = "a memory disk can always be listed")]
pub(crate) fn history(disk: &MemoryDisk) -> History {
    let mut history = History::default();
    history.add("memory", disk, None).unwrap();
    history
}

/// Returns every number of unsynced writes that may survive a loss of power, with every surviving length of the next.
pub(crate) fn power_losses(disk: &MemoryDisk) -> impl Iterator<Item = (usize, usize)> {
    let unsynced = disk.unsynced();
    (0..=unsynced.max_per_file).flat_map(move |kept| (0..=unsynced.max_length).map(move |torn| (kept, torn)))
}

/// Compares what a history shows with what happened. Everything certain must be true; uncertainty is always allowed.
/// Returns the number of uncertain requests.
///
/// # Errors
/// Returns an error if something is shown wrongly.
pub(crate) fn compare(shown: &History, truth: &Truth) -> Result<usize, String> {
    let mut uncertain = 0;
    for (id, attempts) in truth {
        let sent: Attempts = attempts
            .iter()
            .filter(|(_, end)| **end != Some(End::NeverSent))
            .map(|(number, end)| (*number, *end))
            .collect();
        let found = shown.find(id);
        let Some(request) = found.first() else {
            if shown.is_complete() && !sent.is_empty() {
                return Err(format!("{id}: shown as never received, but attempts were sent: {sent:?}"));
            }
            uncertain += usize::from(!shown.is_complete());
            continue;
        };
        uncertain += usize::from(request.send_state() == SendState::PossiblySent);
        compare_send_state(request, &sent)?;
        compare_attempts(request, attempts)?;
    }
    Ok(uncertain)
}

fn compare_send_state(request: &Request, sent: &Attempts) -> Result<(), String> {
    let id = &request.id;
    let state = request.send_state();
    if state == SendState::NeverSent && !sent.is_empty() {
        return Err(format!("{id}: shown as never sent, but attempts were sent: {sent:?}"));
    }
    let is_listed = |number: &u32| {
        request
            .attempts
            .iter()
            .any(|shown| shown.number == *number && shown.outcome != AttemptOutcome::NeverSent)
    };
    if state == SendState::Sent {
        if let Some(number) = sent.keys().find(|number| !is_listed(number)) {
            return Err(format!("{id}: attempt {number} was sent but is not shown"));
        }
    }
    Ok(())
}

fn compare_attempts(request: &Request, attempts: &Attempts) -> Result<(), String> {
    for shown in &request.attempts {
        let end = attempts.get(&shown.number).copied().flatten();
        let is_true = match shown.outcome {
            AttemptOutcome::PossiblySent => true,
            AttemptOutcome::NeverSent => end == Some(End::NeverSent) || !attempts.contains_key(&shown.number),
            AttemptOutcome::Answered(status) => end == Some(End::Answered(status)),
            AttemptOutcome::Unanswered => end == Some(End::Unanswered),
        };
        if !is_true {
            let (id, number, outcome) = (&request.id, shown.number, shown.outcome);
            return Err(format!("{id}: attempt {number} is shown as {outcome:?}, but its end was {end:?}"));
        }
    }
    Ok(())
}
