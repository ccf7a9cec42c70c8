//! Checks random lives of a folder in virtual time: processes that follow one another or run beside each other, retention,
//! kills at every operation, full disks, clocks that step, files that someone deletes, and runs of an earlier version.
//! Nothing is ever shown wrongly, and everything that the records prove is certain.

#![allow(clippy::unwrap_used, reason = "a memory disk without faults does not fail")]

use crate::random::{config, steps};
use crate::scenario::{compare, history, Attempts, Scenario, Step, Truth};
use lotusdeck_ledger::memory_disk::{Faults, MemoryDisk};
use lotusdeck_ledger::{read_segment, Disk, History, Mode, OnFailure, Options, Scan, SegmentKind, SendState};
use proptest::prelude::*;
use std::collections::{BTreeSet, VecDeque};

/// The distance between the request numbers of two processes.
const REQUESTS_PER_PROCESS: u64 = 100;
const MANIFEST: &str = "ledger.manifest";

/// One process.
#[derive(Clone, Debug)]
struct RandomProcess {
    steps: Vec<Step>,
    segment_bytes: u64,
    keep_bytes: u64,
    keep: u64,
    keep_unresolved: u64,
    sends_unrecorded: bool,
    closes: bool,
}

/// What someone does to the folder.
#[derive(Clone, Copy, Debug)]
enum Loss {
    None,
    /// A file is deleted.
    File(usize),
    /// The program did not know the manifest, which is as before.
    EarlierVersion,
}

/// One or two processes, which a kill ends both.
#[derive(Clone, Debug)]
struct Round {
    processes: Vec<RandomProcess>,
    faults: Faults,
    /// The time since the last round.
    pause: u64,
    /// How far the clock is set back before.
    clock_step: u64,
    loss: Loss,
    /// The number of unsynced writes that survive a loss of power, and the length of the next one.
    power_loss: UnsyncedWritesKept,
}

/// See [`MemoryDisk::after_power_loss`].
#[derive(Clone, Copy, Debug)]
struct UnsyncedWritesKept {
    writes: usize,
    torn_length: usize,
}

fn process() -> impl Strategy<Value = RandomProcess> {
    let keep = prop_oneof![3 => Just(u64::MAX), 1 => 0u64..60_000];
    let keep_bytes = prop_oneof![1 => Just(u64::MAX), 2 => 500u64..6000];
    let sends_unrecorded = prop_oneof![4 => Just(false), 1 => Just(true)];
    (steps(), 400u64..1500, keep_bytes, keep, 0u64..200_000, sends_unrecorded, any::<bool>()).prop_map(
        |(steps, segment_bytes, keep_bytes, keep, unresolved, sends_unrecorded, closes)| RandomProcess {
            steps,
            segment_bytes,
            keep_bytes,
            keep,
            keep_unresolved: keep.saturating_add(unresolved),
            sends_unrecorded,
            closes,
        },
    )
}

fn faults() -> impl Strategy<Value = Faults> {
    let killed_at = proptest::option::weighted(0.5, 0usize..90);
    let full = proptest::option::weighted(0.15, (0usize..60, 1usize..20));
    let failing_sync = proptest::option::weighted(0.15, 0usize..60);
    (killed_at, 0usize..200, full, failing_sync, any::<bool>()).prop_map(
        |(killed_at, torn_length, full, failing_sync, keeps_unsynced)| Faults {
            killed_at,
            torn_length,
            full_from: full.map(|(from, _)| from),
            recovers_at: full.map(|(from, length)| from + length),
            failing_sync,
            keeps_unsynced,
            capacity: None,
        },
    )
}

/// Returns lives of a folder that nobody touches, or that someone does.
fn rounds(has_losses: bool) -> impl Strategy<Value = Vec<Round>> {
    let loss = prop_oneof![
        6 => Just(Loss::None),
        2 => (0usize..40).prop_map(Loss::File),
        1 => Just(Loss::EarlierVersion),
    ];
    let processes = proptest::collection::vec(process(), 1..3);
    let clock_step = prop_oneof![4 => Just(0u64), 1 => 0u64..50_000];
    let power_loss =
        (0usize..4, 0usize..200).prop_map(|(writes, torn_length)| UnsyncedWritesKept { writes, torn_length });
    let round = (processes, faults(), 0u64..40_000, clock_step, loss, power_loss);
    let round = round.prop_map(move |(processes, faults, pause, clock_step, loss, power_loss)| Round {
        processes,
        faults,
        pause,
        clock_step,
        loss: if has_losses { loss } else { Loss::None },
        power_loss,
    });
    proptest::collection::vec(round, 1..8)
}

/// A process that runs.
struct Running {
    scenario: Scenario,
    steps: VecDeque<Step>,
    closes: bool,
}

impl Running {
    /// Takes the next step, or shuts down after the last one if the process does so. Returns false once it has ended.
    fn advance(&mut self, now: u64) -> bool {
        self.scenario.now = now;
        match self.steps.pop_front() {
            Some(step) => self.scenario.step(step),
            None if self.closes => {
                self.closes = false;
                self.scenario.step(Step::Close);
            }
            None => return false,
        }
        true
    }
}

/// A folder and what happened to the requests of all its processes.
struct Model {
    /// What the records survive; in mode `Power` each round ends with a loss of power.
    mode: Mode,
    disk: MemoryDisk,
    truth: Truth,
    /// Requests whose records do not prove what happened.
    unproved: BTreeSet<String>,
    processes: u64,
    now: u64,
    /// The segments that were seen so far.
    segments: BTreeSet<String>,
    /// Whether a process lost records, or may have sent requests without any.
    has_lost_records: bool,
    is_touched: bool,
    /// Whether a process of this round has listed a segment in the manifest.
    has_listed_segment: bool,
    /// The generations of an earlier version that no later process has found yet.
    unnoticed: BTreeSet<u64>,
}

impl Model {
    fn new(mode: Mode) -> Model {
        Model {
            mode,
            disk: MemoryDisk::default(),
            truth: Truth::new(),
            unproved: BTreeSet::new(),
            processes: 0,
            now: 0,
            segments: BTreeSet::new(),
            has_lost_records: false,
            is_touched: false,
            has_listed_segment: false,
            unnoticed: BTreeSet::new(),
        }
    }

    fn run(&mut self, round: &Round) {
        self.now = (self.now + round.pause).saturating_sub(round.clock_step);
        let manifest = self.disk.read(MANIFEST).ok();
        self.disk.set_faults(round.faults);
        let first_process = self.processes + 1;
        self.has_listed_segment = false;
        self.run_processes(&round.processes);
        self.disk.set_faults(Faults::default());
        if self.has_listed_segment && !matches!(round.loss, Loss::EarlierVersion) {
            self.unnoticed.clear();
        }
        if self.mode == Mode::Power {
            let UnsyncedWritesKept { writes, torn_length } = round.power_loss;
            self.disk = self.disk.after_power_loss(writes, torn_length);
        }
        match round.loss {
            Loss::None => {}
            Loss::File(position) => self.delete_file(position),
            Loss::EarlierVersion => {
                self.restore_manifest(manifest);
                self.unnoticed.extend(first_process..=self.processes);
            }
        }
        // A full disk may keep a segment that could not be created from being deleted, and its head may be torn.
        let has_torn_header =
            segments(&self.disk).iter().any(|file| self.scan(file).kind == SegmentKind::Damaged);
        self.has_lost_records |= has_torn_header && round.faults.full_from.is_some();
        if !self.disk.list().unwrap().iter().any(|file| file.starts_with("ledger-") || file == MANIFEST) {
            // Nothing is left that could tell that the folder was ever used.
            self.truth.clear();
        }
    }

    /// Runs processes beside each other: each starts one step after the one before it.
    fn run_processes(&mut self, processes: &[RandomProcess]) {
        let mut waiting = processes.iter();
        let mut running: Vec<Running> = Vec::new();
        let mut is_active = true;
        while is_active && !self.disk.is_killed() {
            running.extend(waiting.next().map(|process| self.start(process)));
            is_active = false;
            for process in &mut running {
                is_active |= !self.disk.is_killed() && process.advance(self.now);
                self.now += 1000;
                self.segments.extend(segments(&self.disk));
            }
        }
        running.into_iter().for_each(|process| self.end(process.scenario));
        self.disk.end_processes();
    }

    fn start(&mut self, process: &RandomProcess) -> Running {
        let on_failure =
            if process.sends_unrecorded { OnFailure::SendUnrecorded } else { OnFailure::RejectRequests };
        self.has_lost_records |= process.sends_unrecorded;
        let options = Options {
            segment_bytes: process.segment_bytes,
            keep_bytes: process.keep_bytes,
            keep: process.keep,
            keep_unresolved: process.keep_unresolved,
            ..Options::new("n0", self.mode, on_failure)
        };
        self.processes += 1;
        let first_request = self.processes * REQUESTS_PER_PROCESS;
        Running {
            scenario: Scenario::start(self.disk.clone(), options, self.processes, self.now),
            steps: process.steps.iter().map(|step| renumbered(*step, first_request)).collect(),
            closes: process.closes,
        }
    }

    fn end(&mut self, scenario: Scenario) {
        self.has_listed_segment |= scenario.has_segment();
        self.has_lost_records |= scenario.has_lost_records;
        self.truth.extend(scenario.truth);
        self.unproved.extend(scenario.unproved);
        self.unproved.extend(scenario.open_attempts.into_iter().map(|(id, _)| id));
    }

    fn delete_file(&mut self, position: usize) {
        let files = self.disk.list().unwrap();
        let Some(file) = files.get(position % files.len().max(1)) else { return };
        self.disk.remove(file).unwrap();
        self.is_touched = true;
        let generation = file.split('-').nth(1).and_then(|part| u64::from_str_radix(part, 16).ok());
        if generation.is_some_and(|generation| self.unnoticed.contains(&generation)) {
            // An earlier version listed nothing, and no later process has seen the file: nothing tells of it.
            let first_request = generation.unwrap_or(0) * REQUESTS_PER_PROCESS;
            let is_of_generation = |id: &String| {
                (0..REQUESTS_PER_PROCESS).any(|n| *id == crate::scenario::id(first_request + n))
            };
            self.truth.retain(|id, _| !is_of_generation(id));
        }
    }

    fn restore_manifest(&mut self, manifest: Option<Vec<u8>>) {
        self.is_touched = true;
        match manifest {
            Some(bytes) => self.disk.replace(MANIFEST, &bytes).unwrap(),
            None => drop(self.disk.remove(MANIFEST)),
        }
    }

    /// Checks what is shown.
    ///
    /// # Errors
    /// Something is shown wrongly, or as uncertain although the records prove it.
    fn check(&self) -> Result<(), String> {
        let shown = history(&self.disk);
        compare(&shown, &self.truth)?;
        for id in self.truth.keys() {
            let mut by_id = History::default();
            by_id.add("memory", &self.disk, Some(id)).map_err(|error| error.to_string())?;
            compare(&by_id, &self.truth.iter().filter(|(other, _)| *other == id).map(cloned).collect())?;
            if by_id.is_complete() != shown.is_complete() {
                return Err(format!("{id}: the index changes whether the history is complete"));
            }
        }
        let has_damage = segments(&self.disk).iter().any(|file| !self.scan(file).damaged.is_empty());
        if self.is_touched || self.has_lost_records || has_damage {
            return Ok(());
        }
        self.check_certainty(&shown)
    }

    /// Checks that everything is certain that the records prove, in a folder that only its processes changed.
    fn check_certainty(&self, shown: &History) -> Result<(), String> {
        let requests = shown.requests();
        let proved = requests.iter().filter(|request| !self.unproved.contains(&request.id));
        for request in proved.filter(|request| request.taken_at.is_some()) {
            if request.send_state() == SendState::PossiblySent {
                return Err(format!("{}: uncertain, though all its records are there", request.id));
            }
        }
        if !shown.faults.is_empty() {
            return Err(format!("faults, though nothing is lost: {:?}", shown.faults));
        }
        let present = segments(&self.disk);
        let is_whole = !present.is_empty() && self.segments.iter().all(|file| present.contains(file));
        if is_whole && !shown.is_complete() {
            return Err(format!("incomplete, though nothing was deleted: {:?}", shown.notes));
        }
        Ok(())
    }

    fn scan(&self, file: &str) -> Scan {
        read_segment(&self.disk.read(file).unwrap())
    }
}

fn cloned((id, attempts): (&String, &Attempts)) -> (String, Attempts) {
    (id.clone(), attempts.clone())
}

fn renumbered(step: Step, first_request: u64) -> Step {
    match step {
        Step::Take(request) => Step::Take(first_request + request),
        Step::Send(request, attempt) => Step::Send(first_request + request, attempt),
        Step::End(request, attempt, end) => Step::End(first_request + request, attempt, end),
        Step::Settle(request) => Step::Settle(first_request + request),
        Step::Close => Step::Close,
    }
}

fn segments(disk: &MemoryDisk) -> BTreeSet<String> {
    disk.list().unwrap().into_iter().filter(|file| file.ends_with(".seg")).collect()
}

fn check_life(mode: Mode, rounds: &[Round]) -> Result<(), String> {
    let mut model = Model::new(mode);
    for (number, round) in rounds.iter().enumerate() {
        model.run(round);
        model.check().map_err(|error| format!("after round {number}: {error}"))?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    /// Only the processes themselves change the folder: what they leave proves all that they wrote.
    #[test]
    fn history_of_many_processes_is_true_and_as_certain_as_its_records(
        power in any::<bool>(), rounds in rounds(false),
    ) {
        let mode = if power { Mode::Power } else { Mode::Process };
        if let Err(e) = check_life(mode, &rounds) {
            prop_assert!(false, "{e}");
        }
    }

    /// Someone deletes files or runs an earlier version between: nothing is shown wrongly.
    #[test]
    fn history_of_a_folder_that_lost_files_is_never_shown_wrongly(
        power in any::<bool>(), rounds in rounds(true),
    ) {
        let mode = if power { Mode::Power } else { Mode::Process };
        if let Err(e) = check_life(mode, &rounds) {
            prop_assert!(false, "{e}");
        }
    }
}
