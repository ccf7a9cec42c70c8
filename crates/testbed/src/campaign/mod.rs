//! Campaigns run real proxies under faults drawn from seeds and check the results with the oracles. A script
//! that breaks a rule is reduced to a minimal one that still does, and saved as an experiment
//! (docs/fault-proxy.md).

mod draw;

pub use draw::experiment;

use crate::driver::run::play;
use crate::experiment::{Effect, Experiment};
use crate::oracle::{timeline, Violation};
use crate::record::{Observation, RequestEnd};
use crate::report::figures::Figures;
use crate::session::{print, program, SessionError};
use crate::world::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Runs of a candidate while shrinking: a violation that depends on timing may not occur in a single run.
const SHRINK_RUNS: usize = 3;

/// Options of a campaign.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Seconds during which new scripts are started.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// The first seed, if the folder holds no campaign to continue.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Concurrent runs; each keeps about one processor busy.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// Stop at the first script that breaks a rule, and save it as drawn.
    #[arg(long)]
    first: bool,
    /// The lotusdeck binary to run.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Folder for findings and the progress of the campaign.
    #[arg(long, default_value = "lab-runs/campaign")]
    out: PathBuf,
}

/// The progress of a campaign, and counts of what happened in it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Progress {
    /// The next seed.
    pub next: u64,
    /// Scripts with a verdict.
    pub judged: u64,
    /// Scripts without a verdict, as the testbed was late.
    pub void: u64,
    /// Seeds that broke a rule.
    pub broke: Vec<u64>,
    /// How often each injury happened, by direction, place and kind.
    pub injuries: BTreeMap<String, u64>,
    /// How often each trouble was part of a script.
    pub troubles: BTreeMap<String, u64>,
    /// Requests by class effect and by how their processing at the backend ended.
    pub states: BTreeMap<String, u64>,
}

/// The verdict on a run.
pub struct Verdict {
    /// The broken rules and the timeline of the first request concerned; `None` if the testbed was late.
    pub broken: Option<(Vec<Violation>, String)>,
    counts: Progress,
}

/// Runs an experiment and checks it with the oracles. Blocks the thread.
///
/// # Errors
/// Fails if the experiment cannot be run.
pub fn run_and_check(e: &Experiment, proxy: &Path, folder: &Path) -> Result<Verdict, SessionError> {
    let plan = Arc::new(Plan::draw(e, e.seed));
    let fault = |e| SessionError::File(folder.display().to_string(), e);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(fault)?;
    let outcome = runtime.block_on(play(plan.clone(), proxy, folder, &|_| {}))?;
    let (figures, broken) = Figures::compute(&plan, &outcome);
    let mut counts = Progress::default();
    let count = |of: &mut BTreeMap<String, u64>, what: String| *of.entry(what).or_default() += 1;
    for r in &outcome.records {
        match &r.what {
            Observation::Injured { injury, .. } => {
                if let Some(f) = e.injury.get(*injury) {
                    let kind = format!("{:?}", f.what);
                    let kind = kind.split([' ', '{']).next().unwrap_or_default();
                    count(
                        &mut counts.injuries,
                        format!("{:?} {:?} {kind}", f.way, f.place.unwrap_or_default()),
                    );
                }
            }
            Observation::Ended { id, how, .. } => {
                let class = plan.arrivals.get(id.arrival as usize).and_then(|a| e.class.get(a.class));
                let once = class.is_some_and(|c| c.effect == Effect::SingleShot);
                let how = match how {
                    RequestEnd::Served => "served",
                    RequestEnd::TurnedAway => "turned away",
                    RequestEnd::Withdrawn => "given up",
                    RequestEnd::Died => "its backend died",
                };
                count(&mut counts.states, format!("{} {how}", if once { "once" } else { "free" }));
            }
            _ => {}
        }
    }
    e.trouble.iter().for_each(|t| count(&mut counts.troubles, format!("{:?}", t.what)));
    if figures.void.is_some() {
        return Ok(Verdict { broken: None, counts });
    }
    let first = broken.iter().find_map(|b| b.id);
    let course = first.map_or(String::new(), |id| timeline(&plan, &outcome.records, id));
    Ok(Verdict { broken: Some((broken, course)), counts })
}

/// Returns whether the experiment breaks a rule in any of a few runs.
fn breaks(e: &Experiment, proxy: &Path, folder: &Path) -> Result<bool, SessionError> {
    for _ in 0..SHRINK_RUNS {
        if run_and_check(e, proxy, folder)?.broken.is_some_and(|(broken, _)| !broken.is_empty()) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Reduces an experiment to one that still breaks a rule, by removing injuries and troubles one by one.
///
/// # Errors
/// Fails if `breaks` does.
pub fn shrink(
    mut e: Experiment, mut breaks: impl FnMut(&Experiment) -> Result<bool, SessionError>,
) -> Result<Experiment, SessionError> {
    let (mut at, mut total) = (0, e.injury.len() + e.trouble.len());
    while at < total {
        let mut candidate = e.clone();
        match at.checked_sub(candidate.injury.len()) {
            None => drop(candidate.injury.remove(at)),
            Some(trouble) => drop(candidate.trouble.remove(trouble)),
        }
        if breaks(&candidate)? {
            (e, total) = (candidate, total - 1);
        } else {
            at += 1;
        }
    }
    Ok(e)
}

impl Progress {
    fn add(&mut self, counts: &Progress) {
        let sum = |to: &mut BTreeMap<String, u64>, from: &BTreeMap<String, u64>| {
            from.iter().for_each(|(what, n)| *to.entry(what.clone()).or_default() += n);
        };
        sum(&mut self.injuries, &counts.injuries);
        sum(&mut self.troubles, &counts.troubles);
        sum(&mut self.states, &counts.states);
    }

    fn table(&self) -> String {
        let (judged, void, broke) = (self.judged, self.void, self.broke.len());
        let mut out = format!("{judged} scripts judged, {void} without a verdict, {broke} broke a rule\n");
        for (title, of) in
            [("injuries", &self.injuries), ("troubles", &self.troubles), ("at backends", &self.states)]
        {
            let sum: u64 = of.values().sum();
            out += &format!("{title}: {sum}\n");
            of.iter().for_each(|(what, n)| out += &format!("  {n:>8}  {what}\n"));
        }
        out
    }
}

/// Runs scripts until the time is over, and returns whether no rule was broken.
///
/// # Errors
/// Fails if a script cannot be run or the folder not be written.
pub fn main(args: &Args) -> Result<bool, SessionError> {
    let proxy = program(args.proxy.as_deref())?;
    let fault = |e| SessionError::File(args.out.display().to_string(), e);
    std::fs::create_dir_all(&args.out).map_err(fault)?;
    let file = args.out.join("campaign.json");
    let mut progress = Progress { next: args.from, ..Progress::default() };
    match std::fs::read_to_string(&file) {
        Ok(text) => {
            let bad = |e| SessionError::Results(file.display().to_string(), e);
            progress = serde_json::from_str(&text).map_err(bad)?;
            print(&format!("goes on from seed {}\n", progress.next));
        }
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
        Err(e) => return Err(fault(e)),
    }
    let (next, until) =
        (AtomicU64::new(progress.next), Instant::now() + Duration::from_secs_f64(args.seconds));
    let progress = Mutex::new(progress);
    let search = || -> Result<(), SessionError> {
        let broke = || !progress.lock().unwrap_or_else(|e| e.into_inner()).broke.is_empty();
        while Instant::now() < until && !(args.first && broke()) {
            let seed = next.fetch_add(1, Relaxed);
            run_seed(seed, &proxy, args, &progress)?;
            let mut progress = progress.lock().unwrap_or_else(|e| e.into_inner());
            progress.next = progress.next.max(seed + 1);
            std::fs::write(&file, serde_json::to_string_pretty(&*progress).unwrap_or_default())
                .map_err(fault)?;
        }
        Ok(())
    };
    std::thread::scope(|scope| {
        let jobs: Vec<_> = (0..args.jobs.max(1)).map(|_| scope.spawn(search)).collect();
        jobs.into_iter().try_for_each(|job| job.join().unwrap_or(Ok(())))
    })?;
    let progress = progress.into_inner().unwrap_or_else(|e| e.into_inner());
    print(&progress.table());
    Ok(progress.broke.is_empty())
}

/// Runs the script of one seed; if it breaks a rule, shrinks and saves it.
fn run_seed(seed: u64, proxy: &Path, args: &Args, progress: &Mutex<Progress>) -> Result<(), SessionError> {
    let out = &args.out;
    let folder = out.join(format!("seed-{seed}"));
    let e = experiment(seed)?;
    let verdict = run_and_check(&e, proxy, &folder)?;
    let found = verdict.broken.as_ref().filter(|(broken, _)| !broken.is_empty());
    {
        let mut progress = progress.lock().unwrap_or_else(|e| e.into_inner());
        progress.add(&verdict.counts);
        progress.judged += u64::from(verdict.broken.is_some());
        progress.void += u64::from(verdict.broken.is_none());
        progress.broke.extend(found.map(|_| seed));
    }
    let Some((broken, course)) = found else {
        let _ = std::fs::remove_dir_all(&folder); // holds only the files of a run that broke no rule
        return Ok(());
    };
    for b in broken.iter().take(3) {
        print(&format!("seed {seed}: {}: {}\n", b.oracle, b.text));
    }
    print(course);
    let smallest = if args.first { e } else { shrink(e, |e| breaks(e, proxy, &folder))? };
    let (file, name) = (out.join(format!("seed-{seed}.toml")), format!("seed-{seed}"));
    let smallest =
        Experiment { name, about: format!("{}: {}", broken[0].oracle, broken[0].text), ..smallest };
    let text = toml::to_string(&smallest).unwrap_or_default();
    std::fs::write(&file, text).map_err(|e| SessionError::File(file.display().to_string(), e))?;
    let (injuries, troubles) = (smallest.injury.len(), smallest.trouble.len());
    print(&format!("seed {seed}: {} holds {injuries} injuries and {troubles} troubles\n", file.display()));
    Ok(())
}

#[cfg(test)]
mod tests;
