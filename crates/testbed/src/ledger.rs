//! Checks the ledger after kills under load against what the stand-ins recorded, and measures its cost alone.

use crate::driver::run::{self, Outcome};
use crate::experiment::{Effect, Experiment, Trouble, TroubleKind};
use crate::oracle::{find_violations, timeline};
use crate::record::{seconds, Observation, RequestEnd, TryId};
use crate::report::figures::Spread;
use crate::session::{print, program, SessionError};
use crate::world::plan::Plan;
use crate::world::rng::Rng;
use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use lotusdeck_ledger::{
    AttemptOutcome, Disk, End, Folder, History, Mode, OnFailure, Options, Record, SendState, Writer,
};
use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Instant;

/// Arguments of the `ledger-soak` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Soak {
    /// Number of kills.
    #[arg(long, default_value_t = 20)]
    pub kills: usize,
    /// Requests per second.
    #[arg(long, default_value_t = 400.0)]
    pub rps: f64,
    /// Seed of the plan.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Mode of the ledger: `process` or `power`.
    #[arg(long, default_value = "process")]
    pub mode: String,
    /// Program of the proxy.
    #[arg(long)]
    pub proxy: Option<PathBuf>,
    /// Folder for the results.
    #[arg(long, default_value = "lab-runs/ledger-soak")]
    pub out: PathBuf,
}

/// The shortest and the longest time between two kills, s.
const KILL_INTERVAL_S: (f64, f64) = (0.12, 0.42);
/// Delay before a killed proxy is started again, s.
const RESTART_DELAY_S: f64 = 0.05;

/// Builds the experiment of a soak: orders and some reads, kills of the proxy at random times, and deaths of backends.
pub fn experiment(kills: usize, rps: f64, seed: u64, mode: &str) -> Result<Experiment, SessionError> {
    let text = format!(
        "name = 'ledger-soak'\nduration_s = 1.0\nproxies = 1\nload = {{ rps = {rps} }}\n\
         operator = \"\"\"\n[ledger]\nfolder = '{{folder}}/ledger'\nmode = '{mode}'\nsegment_mb = 1\n\"\"\"\n\
         class = [\n\
           {{ name = 'order', effect = 'single_shot', share = 4.0, aim_ms = 500, deadline_ms = 1000, work_ms = 12 }},\n\
           {{ name = 'read', effect = 'free', share = 1.0, aim_ms = 500, deadline_ms = 1000, work_ms = 4 }},\n\
         ]\n\
         kind = [{{ name = 'm', count = 12, slots = 4, room = 2 }}]\n\
         clients = {{ shun_ms = 1.0, tries = 3, pause_ms = 50.0 }}\n\
         discovery = {{ lag_ms = 100.0, detect_ms = 300.0 }}\n"
    );
    let mut experiment = Experiment::parse("ledger-soak", &text)?;
    let mut rng = Rng::new(seed, "kills");
    let mut at = 0.5;
    let trouble = |what, at_s, for_s, proxy, part| Trouble {
        at_s,
        what,
        part,
        kind: None,
        zone: None,
        who: None,
        proxy,
        for_s: Some(for_s),
        factor: None,
    };
    for n in 0..kills {
        experiment.trouble.push(trouble(TroubleKind::KillProxy, at, RESTART_DELAY_S, Some(0), None));
        if n % 5 == 2 {
            experiment.trouble.push(trouble(TroubleKind::Kill, at + 0.1, 0.2, None, Some(0.1)));
        }
        at += KILL_INTERVAL_S.0 + (KILL_INTERVAL_S.1 - KILL_INTERVAL_S.0) * rng.unit();
    }
    experiment.duration_s = at + 0.5;
    Ok(experiment)
}

/// The result of comparing the ledger with the stand-ins' records.
#[derive(Debug, Default)]
pub struct Compared {
    /// Number of non-repeatable requests that clients sent.
    pub requests: usize,
    /// False answers of the ledger, as text; there must be none.
    pub wrong: Vec<String>,
    /// Number of requests whose verdict is never sent or sent.
    pub certain: usize,
    /// Numbers of requests whose verdict is possibly sent, by what really happened to them.
    pub uncertain: BTreeMap<&'static str, usize>,
    /// Number of requests without a record; it is a false answer if a backend ran one of them.
    pub absent: usize,
}

/// The backends that received a request, that answered it, and that rejected it.
#[derive(Default)]
struct Observed {
    began: Vec<usize>,
    served: Vec<usize>,
    rejected: Vec<usize>,
}

/// Compares the ledger's answer about each non-repeatable request with what the backends recorded.
pub fn compare(plan: &Plan, outcome: &Outcome, history: &History) -> Compared {
    let mut observed: HashMap<TryId, Observed> = HashMap::new();
    for r in &outcome.records {
        match r.what {
            Observation::Asked { id, .. } => drop(observed.entry(id).or_default()),
            Observation::Began { id, backend } => observed.entry(id).or_default().began.push(backend),
            Observation::Ended { id, backend, how: RequestEnd::Served } => {
                observed.entry(id).or_default().served.push(backend)
            }
            Observation::Ended { id, backend, how: RequestEnd::TurnedAway } => {
                observed.entry(id).or_default().rejected.push(backend)
            }
            _ => {}
        }
    }
    let backend_index = |name: &str| plan.fleet.iter().position(|b| b.name == name);
    let requests = history.requests();
    let recorded: HashMap<&str, &lotusdeck_ledger::Request> =
        requests.iter().map(|r| (r.id.as_str(), r)).collect();
    let mut out = Compared::default();
    let mut ids: Vec<_> = observed.keys().copied().collect();
    ids.sort();
    for id in ids {
        let is_single_shot =
            |a: &crate::world::plan::Arrival| plan.experiment.class[a.class].effect == Effect::SingleShot;
        if !plan.arrivals.get(id.arrival as usize).is_some_and(is_single_shot) {
            continue;
        }
        out.requests += 1;
        let seen = &observed[&id];
        let ran: Vec<usize> = seen.began.iter().copied().filter(|b| !seen.rejected.contains(b)).collect();
        let Some(r) = recorded.get(id.to_string().as_str()) else {
            out.absent += 1;
            if !ran.is_empty() {
                out.wrong.push(format!("{id}: no record, and backend {} ran it", ran[0]));
            }
            continue;
        };
        match r.send_state() {
            SendState::PossiblySent => {
                let why = match (ran.is_empty(), seen.served.is_empty()) {
                    (true, _) => "it had not reached a backend when the proxy was killed",
                    (false, true) => "a backend had it when the proxy was killed, and had not answered",
                    (false, false) => {
                        "a backend had answered it, and the proxy was killed before it wrote that down"
                    }
                };
                *out.uncertain.entry(why).or_default() += 1;
            }
            SendState::NeverSent if !ran.is_empty() => {
                out.wrong.push(format!("{id}: never sent, and backend {} ran it", ran[0]));
            }
            SendState::NeverSent => out.certain += 1,
            SendState::Sent => {
                out.certain += 1;
                let listed = |b: &usize| {
                    r.attempts.iter().any(|a| {
                        backend_index(&a.backend) == Some(*b) && a.outcome != AttemptOutcome::NeverSent
                    })
                };
                if let Some(b) = ran.iter().find(|b| !listed(b)) {
                    out.wrong.push(format!("{id}: backend {b} ran it and is not told of"));
                }
            }
        }
        for a in &r.attempts {
            let backend = backend_index(&a.backend);
            let is_in = |list: &[usize]| backend.is_some_and(|b| list.contains(&b));
            match a.outcome {
                AttemptOutcome::NeverSent if is_in(&ran) => {
                    out.wrong.push(format!("{id}: never sent to {}, which ran it", a.backend));
                }
                AttemptOutcome::Answered(200) if !is_in(&seen.served) => {
                    out.wrong.push(format!("{id}: answered by {}, which did not", a.backend));
                }
                _ => {}
            }
        }
    }
    out
}

/// Plays a plan, reads the ledger back and compares it.
///
/// # Errors
/// The run fails, or the ledger's folder cannot be read.
pub fn play(
    plan: &Arc<Plan>, program: &Path, folder: &Path, progress: run::Progress<'_>,
) -> Result<(Outcome, Compared, History), SessionError> {
    let io_error = |e| SessionError::File(folder.display().to_string(), e);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io_error)?;
    let outcome = runtime.block_on(run::play(plan.clone(), program, folder, progress))?;
    let mut history = History::default();
    let disk = Folder::existing(&folder.join("proxy-0/ledger")).map_err(io_error)?;
    history.add("proxy-0", &disk, None).map_err(io_error)?;
    let compared = compare(plan, &outcome, &history);
    Ok((outcome, compared, history))
}

/// Plays a soak and prints the result. Returns whether every answer of the ledger was true and every oracle held.
///
/// # Errors
/// The run fails, or a folder cannot be read or removed.
pub fn soak(args: &Soak) -> Result<bool, SessionError> {
    let proxy_program = program(args.proxy.as_deref())?;
    let plan = Arc::new(Plan::draw(&experiment(args.kills, args.rps, args.seed, &args.mode)?, args.seed));
    let folder = args.out.join(format!("seed-{}", args.seed));
    if folder.exists() {
        std::fs::remove_dir_all(&folder).map_err(|e| SessionError::File(folder.display().to_string(), e))?;
    }
    let bar = ProgressBar::new((plan.experiment.duration_s * 1e3) as u64);
    let progress = |at: lotusdeck_policy::Time| bar.set_position(at.0 / 1000);
    let (outcome, compared, history) = play(&plan, &proxy_program, &folder, &progress)?;
    bar.finish_and_clear();
    let broken = find_violations(&plan, &outcome.records);
    print(&format!(
        "{} kills in {}, mode {}: {} non-repeatable requests, {} wrong answers\n",
        args.kills,
        seconds(plan.end()),
        args.mode,
        compared.requests,
        compared.wrong.len()
    ));
    let percent = |n: usize| n as f64 * 100.0 / compared.requests.max(1) as f64;
    let uncertain: usize = compared.uncertain.values().sum();
    print(&format!(
        "certain {} ({:.2} %), never taken {} ({:.2} %), possibly sent {uncertain} ({:.2} %):\n",
        compared.certain,
        percent(compared.certain),
        compared.absent,
        percent(compared.absent),
        percent(uncertain)
    ));
    compared.uncertain.iter().for_each(|(why, n)| print(&format!("  {n:>6}  {why}\n")));
    compared.wrong.iter().take(20).for_each(|w| print(&format!("WRONG: {w}\n")));
    history.faults.iter().take(20).for_each(|f| print(&format!("fault: {f}\n")));
    for b in broken.iter().take(10) {
        let timeline = b.id.map(|id| timeline(&plan, &outcome.records, id)).unwrap_or_default();
        print(&format!("oracle \"{}\": {}\n{timeline}", b.oracle, b.text));
    }
    Ok(compared.wrong.is_empty() && broken.is_empty())
}

/// Arguments of the `ledger-bench` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Bench {
    /// Number of records to write and read back.
    #[arg(long, default_value_t = 1_000_000)]
    records: u64,
    /// Number of records in one write.
    #[arg(long, default_value_t = 64)]
    batch: usize,
    /// Number of timed writes, bare and in each mode; at most 500 where each is synced.
    #[arg(long, default_value_t = 2000)]
    timed: usize,
    /// Folder on the disk to measure.
    #[arg(long, default_value = "lab-runs/ledger-bench")]
    out: PathBuf,
}

fn records_of(request: u64) -> [Record; 4] {
    let id = format!("{request:016x}");
    let (class, key, at) =
        ("print-order".into(), format!("k{}", request % 5000), 1_796_000_000_000 + request);
    let (backend, address) =
        (format!("s-{:08x}", request % 40), format!("127.0.0.1:{}", 8000 + request % 40));
    [
        Record::Taken { request, at, id: id.clone(), class, key },
        Record::Intent { request, attempt: 0, at, id, backend, address },
        Record::Ended { request, attempt: 0, at, end: End::Answered(200) },
        Record::Settled { request },
    ]
}

fn format_spread(times: &Histogram<u64>) -> String {
    let spread = Spread::from_histogram(times);
    format!(
        "p50 {:.1} us, p99 {:.1} us, worst {:.0} us",
        spread.p50 * 1e3,
        spread.p99 * 1e3,
        spread.max * 1e3
    )
}

fn time_each(
    count: usize, mut one: impl FnMut(usize) -> std::io::Result<()>,
) -> std::io::Result<Histogram<u64>> {
    let mut out = Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds in order");
    for n in 0..count {
        let began = Instant::now();
        one(n)?;
        out.saturating_record((began.elapsed().as_nanos() / 1000).max(1) as u64);
    }
    Ok(out)
}

/// Measures the writer and the reader alone, and prints the results.
///
/// # Errors
/// The folder cannot be written or read.
pub fn bench(args: &Bench) -> Result<(), SessionError> {
    measure(args).map_err(|e| SessionError::File(args.out.display().to_string(), e))
}

fn measure(args: &Bench) -> std::io::Result<()> {
    if args.out.exists() {
        std::fs::remove_dir_all(&args.out)?;
    }
    let mut disk = Folder::open(&args.out.join("floor"))?;
    let mut file = disk.create("bare", 64 << 20)?;
    let bytes = vec![7u8; 256];
    let write_times = time_each(args.timed, |n| disk.write(&mut file, n as u64 * 256, &bytes))?;
    let sync_times = time_each(args.timed.min(500), |n| {
        disk.write(&mut file, n as u64 * 256, &bytes)?;
        disk.sync(&mut file)
    })?;
    print(&format!(
        "floor, 256 bytes: write {}; write and fdatasync {}\n",
        format_spread(&write_times),
        format_spread(&sync_times)
    ));
    let write_error = |e: lotusdeck_ledger::WriteError| std::io::Error::other(e.to_string());
    for (name, mode, count) in
        [("process", Mode::Process, args.timed), ("power", Mode::Power, args.timed.min(500))]
    {
        let options = Options::new("bench", mode, OnFailure::RejectRequests);
        let (mut writer, begun) = Writer::open(Folder::open(&args.out.join(name))?, options, 1, 0);
        begun.map_err(write_error)?;
        let times = time_each(count, |n| {
            let intent = &records_of(n as u64)[1..2];
            writer.append(n as u64, intent).map_err(write_error)
        })?;
        print(&format!("{name}, one record a write: {}\n", format_spread(&times)));
    }
    let mut options = Options::new("bench", Mode::Process, OnFailure::RejectRequests);
    options.keep_bytes = u64::MAX;
    let many_folder = args.out.join("many");
    let (mut writer, begun) = Writer::open(Folder::open(&many_folder)?, options, 1, 0);
    begun.map_err(write_error)?;
    let bar = ProgressBar::new(args.records);
    let (began, mut batch, mut written) = (Instant::now(), Vec::with_capacity(args.batch + 4), 0);
    for request in 0..args.records / 4 {
        batch.extend(records_of(request));
        if batch.len() >= args.batch {
            writer.append(request, &batch).map_err(write_error)?;
            written += batch.len() as u64;
            batch.clear();
            bar.set_position(written);
        }
    }
    writer.append(0, &batch).map_err(write_error)?;
    let elapsed_s = began.elapsed().as_secs_f64();
    let bytes = writer.write_counts().bytes;
    bar.finish_and_clear();
    print(&format!(
        "{} records in writes of {}: {:.0} a second; {:.0} bytes for each request\n",
        args.records,
        args.batch,
        args.records as f64 / elapsed_s,
        bytes as f64 * 4.0 / args.records as f64
    ));
    drop(writer);
    let folder = Folder::existing(&many_folder)?;
    let began = Instant::now();
    let mut single = History::default();
    let id = format!("{:016x}", args.records / 9);
    single.add("many", &folder, Some(&id))?;
    let found = single.find(&id).len();
    print(&format!(
        "one id: {:.1} ms, {} segments read and {} spared by their index, {found} found\n",
        began.elapsed().as_secs_f64() * 1e3,
        single.segments_read,
        single.segments_skipped
    ));
    let began = Instant::now();
    let mut history = History::default();
    history.add("many", &folder, None)?;
    let read = began.elapsed().as_secs_f64();
    let count = history.requests().len();
    let concluded = began.elapsed().as_secs_f64();
    let memory = crate::driver::usage::Usage::read(std::process::id()).map_or(0, |u| u.memory);
    print(&format!(
        "all read back in {read:.2} s, {count} requests concluded in {concluded:.2} s, {} MB in memory\n",
        memory >> 20
    ));
    Ok(())
}
