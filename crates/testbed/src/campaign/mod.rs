//! Campaigns: faults drawn from seeds are played around real proxies, the oracles judge, and what breaks a rule is
//! shrunk to the least that still does and saved as an experiment (docs/fault-proxy.md).

mod draw;

pub use draw::experiment;

use crate::driver::run::play;
use crate::experiment::{Effect, Experiment};
use crate::oracle::{timeline, Broken};
use crate::record::{Observation, RequestEnd};
use crate::report::figures::Figures;
use crate::session::{program, say, SessionError};
use crate::world::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Plays of a candidate while shrinking: what hangs on time may hold once by chance.
const TRIES: usize = 3;

/// What to search.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Scripts are begun for so long.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// The first seed, where the folder holds no campaign that goes on.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Plays beside each other; each keeps about one processor busy.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// End with the first that breaks a rule, as it was drawn.
    #[arg(long)]
    first: bool,
    /// The lotusdeck to play.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Where findings go, and how far the campaign is.
    #[arg(long, default_value = "lab-runs/campaign")]
    out: PathBuf,
}

/// How far a campaign is, and what it met.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Progress {
    /// The next seed.
    pub next: u64,
    /// Scripts that were judged, and that gave no verdict as the lab was late.
    pub judged: u64,
    /// See there.
    pub void: u64,
    /// Seeds that broke a rule.
    pub broke: Vec<u64>,
    /// How often each injury happened, as way, place and kind.
    pub injuries: BTreeMap<String, u64>,
    /// How often each trouble was part of a script.
    pub troubles: BTreeMap<String, u64>,
    /// Requests by what had become of them when their backend's part ended.
    pub states: BTreeMap<String, u64>,
}

/// A verdict: what was broken, told; `None` where the lab was late.
pub struct Verdict {
    /// Rules that were broken, and the course of the first request concerned.
    pub broken: Option<(Vec<Broken>, String)>,
    met: Progress,
}

/// Plays an experiment and judges it. Blocks.
///
/// # Errors
/// It cannot be played.
pub fn judge(e: &Experiment, proxy: &Path, folder: &Path) -> Result<Verdict, SessionError> {
    let plan = Arc::new(Plan::draw(e, e.seed));
    let fault = |e| SessionError::File(folder.display().to_string(), e);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(fault)?;
    let outcome = runtime.block_on(play(plan.clone(), proxy, folder, &|_| {}))?;
    let (figures, broken) = Figures::of(&plan, &outcome);
    let mut met = Progress::default();
    let count = |of: &mut BTreeMap<String, u64>, what: String| *of.entry(what).or_default() += 1;
    for r in &outcome.records {
        match &r.what {
            Observation::Injured { injury, .. } => {
                if let Some(f) = e.injury.get(*injury) {
                    let kind = format!("{:?}", f.what);
                    let kind = kind.split([' ', '{']).next().unwrap_or_default();
                    count(&mut met.injuries, format!("{:?} {:?} {kind}", f.way, f.place.unwrap_or_default()));
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
                count(&mut met.states, format!("{} {how}", if once { "once" } else { "free" }));
            }
            _ => {}
        }
    }
    e.trouble.iter().for_each(|t| count(&mut met.troubles, format!("{:?}", t.what)));
    if figures.void.is_some() {
        return Ok(Verdict { broken: None, met });
    }
    let first = broken.iter().find_map(|b| b.id);
    let told = first.map_or(String::new(), |id| timeline(&plan, &outcome.records, id));
    Ok(Verdict { broken: Some((broken, told)), met })
}

/// Whether it breaks a rule in some of a few plays.
fn breaks(e: &Experiment, proxy: &Path, folder: &Path) -> Result<bool, SessionError> {
    for _ in 0..TRIES {
        if judge(e, proxy, folder)?.broken.is_some_and(|(broken, _)| !broken.is_empty()) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// The least of an experiment that still breaks a rule: injuries and troubles are taken away one by one.
///
/// # Errors
/// It cannot be played.
pub fn shrink(
    mut e: Experiment, mut breaks: impl FnMut(&Experiment) -> Result<bool, SessionError>,
) -> Result<Experiment, SessionError> {
    let (mut at, mut whole) = (0, e.injury.len() + e.trouble.len());
    while at < whole {
        let mut less = e.clone();
        match at.checked_sub(less.injury.len()) {
            None => drop(less.injury.remove(at)),
            Some(trouble) => drop(less.trouble.remove(trouble)),
        }
        if breaks(&less)? {
            (e, whole) = (less, whole - 1);
        } else {
            at += 1;
        }
    }
    Ok(e)
}

impl Progress {
    fn add(&mut self, met: &Progress) {
        let sum = |to: &mut BTreeMap<String, u64>, from: &BTreeMap<String, u64>| {
            from.iter().for_each(|(what, n)| *to.entry(what.clone()).or_default() += n);
        };
        sum(&mut self.injuries, &met.injuries);
        sum(&mut self.troubles, &met.troubles);
        sum(&mut self.states, &met.states);
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

/// Searches until the time is over; whether no rule was broken.
///
/// # Errors
/// A script cannot be played, or the folder not be written.
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
            say(&format!("goes on from seed {}\n", progress.next));
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
            one(seed, &proxy, args, &progress)?;
            let mut p = progress.lock().unwrap_or_else(|e| e.into_inner());
            p.next = p.next.max(seed + 1);
            std::fs::write(&file, serde_json::to_string_pretty(&*p).unwrap_or_default()).map_err(fault)?;
        }
        Ok(())
    };
    std::thread::scope(|scope| {
        let jobs: Vec<_> = (0..args.jobs.max(1)).map(|_| scope.spawn(search)).collect();
        jobs.into_iter().try_for_each(|job| job.join().unwrap_or(Ok(())))
    })?;
    let progress = progress.into_inner().unwrap_or_else(|e| e.into_inner());
    say(&progress.table());
    Ok(progress.broke.is_empty())
}

/// Plays the script of one seed; what breaks a rule is shrunk and saved.
fn one(seed: u64, proxy: &Path, args: &Args, progress: &Mutex<Progress>) -> Result<(), SessionError> {
    let out = &args.out;
    let folder = out.join(format!("seed-{seed}"));
    let e = experiment(seed)?;
    let verdict = judge(&e, proxy, &folder)?;
    let found = verdict.broken.as_ref().filter(|(broken, _)| !broken.is_empty());
    {
        let mut p = progress.lock().unwrap_or_else(|e| e.into_inner());
        p.add(&verdict.met);
        p.judged += u64::from(verdict.broken.is_some());
        p.void += u64::from(verdict.broken.is_none());
        p.broke.extend(found.map(|_| seed));
    }
    let Some((broken, told)) = found else {
        let _ = std::fs::remove_dir_all(&folder); // nothing in it is of interest
        return Ok(());
    };
    for b in broken.iter().take(3) {
        say(&format!("seed {seed}: {}: {}\n", b.oracle, b.text));
    }
    say(told);
    let least = if args.first { e } else { shrink(e, |e| breaks(e, proxy, &folder))? };
    let (file, name) = (out.join(format!("seed-{seed}.toml")), format!("seed-{seed}"));
    let least = Experiment { name, about: format!("{}: {}", broken[0].oracle, broken[0].text), ..least };
    let text = toml::to_string(&least).unwrap_or_default();
    std::fs::write(&file, text).map_err(|e| SessionError::File(file.display().to_string(), e))?;
    let (injuries, troubles) = (least.injury.len(), least.trouble.len());
    say(&format!("seed {seed}: {} holds {injuries} injuries and {troubles} troubles\n", file.display()));
    Ok(())
}

#[cfg(test)]
mod tests;
