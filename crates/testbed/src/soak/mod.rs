//! Soak runs: proxies are reloaded, shut down and killed in series while discovery moves and fails, and clients use
//! their connections until the end of each process. Rules are judged by what clients, backends and discovery saw.

mod backends;
mod bodies;
mod client_pace;
mod clients;
mod discovery;
mod judge;
mod pace;
mod plan;
mod processes;
mod readiness;
mod records;
mod run;
#[cfg(test)]
mod tests;

pub use judge::{judge, Rule, Violation};
pub use plan::{ListMode, SoakPlan};
pub use records::Records;

use crate::driver::run::{raise_descriptor_limit, thread, RunError};
use crate::session::{self, SessionError};
use std::path::{Path, PathBuf};

/// Arguments of the `soak` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 10)]
    pub seeds: u64,
    /// Number of proxies.
    #[arg(long, default_value_t = 1)]
    pub proxies: usize,
    /// How lists reach the proxies; both in turn if absent.
    #[arg(long, value_enum)]
    pub mode: Option<ListMode>,
    /// Runs at a time.
    #[arg(long, default_value_t = 1)]
    pub parallel: usize,
    /// Program of the proxy; by default the lotusdeck beside this program, which is built first under `cargo run`.
    #[arg(long)]
    pub proxy: Option<PathBuf>,
    /// Folder for configurations and logs.
    #[arg(long, default_value = "lab-runs/soak")]
    pub out: PathBuf,
}

/// Returns the mode of a seed if both are played in turn.
pub fn mode_of_seed(seed: u64) -> ListMode {
    if seed.is_multiple_of(2) {
        ListMode::Pushed
    } else {
        ListMode::Polled
    }
}

/// Plays the seeds and prints what broke. Returns whether all rules held.
///
/// # Errors
/// The program is not found, or a run cannot be played.
pub fn main(args: &Args) -> Result<bool, SessionError> {
    let program = session::program(args.proxy.as_deref())?;
    let mut all_held = true;
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
    for group in seeds.chunks(args.parallel.max(1)) {
        let plans = group.iter().map(|seed| {
            SoakPlan::draw(*seed, args.mode.unwrap_or_else(|| mode_of_seed(*seed)), args.proxies)
        });
        for (plan, records) in play_all(plans.collect(), &program, &args.out)? {
            let violations = judge(&plan, &records);
            all_held &= violations.is_empty();
            session::print(&report(&plan, &records, &violations));
        }
    }
    Ok(all_held)
}

/// Describes the result of a run.
fn report(plan: &SoakPlan, records: &Records, violations: &[Violation]) -> String {
    const MAX_LISTED: usize = 12;
    let answered = |status: u16| {
        let is_answer = |r: &&records::ClientRecord| matches!(r.outcome, records::Outcome::Answered { status: given, .. } if given == status);
        records.requests.iter().filter(is_answer).count()
    };
    let lag = records.lags.iter().map(|lag| lag.lag).max().unwrap_or_default();
    let mut text = format!(
        "seed {} {:?}, {} proxies{}{}: {} requests, {} served, {} refused, {} attempts, {} large bodies, {} whole, peak {} KiB, lag {lag:?}, {} broken\n",
        plan.seed,
        plan.mode,
        plan.proxies,
        if plan.crowd_at.is_some() { ", crowd" } else { "" },
        if plan.has_least_memory { ", 32 MB" } else { "" },
        records.requests.len(),
        answered(200),
        answered(503),
        records.attempts.len(),
        records.bodies.len(),
        records.bodies.iter().filter(|body| body.is_whole).count(),
        records.peaks.iter().map(|peak| peak.kib).max().unwrap_or_default(),
        violations.len()
    );
    for violation in violations.iter().take(MAX_LISTED) {
        text.push_str(&format!("  {violation}\n"));
    }
    text
}

/// Plays several plans at the same time and returns each with its records.
///
/// # Errors
/// A run cannot be played.
pub fn play_all(
    plans: Vec<SoakPlan>, program: &Path, folder: &Path,
) -> Result<Vec<(SoakPlan, Records)>, SessionError> {
    let descriptors: usize = plans.iter().map(SoakPlan::testbed_descriptors).sum();
    raise_descriptor_limit(descriptors + 1024)?;
    let file_error = |error| SessionError::File(folder.display().to_string(), error);
    let mut running = Vec::new();
    for plan in plans {
        let (thread_plan, program) = (plan.clone(), program.to_path_buf());
        let folder = folder.join(format!("{:?}-{}-{}", plan.mode, plan.proxies, plan.seed));
        let done = thread("soak", move || async move { run::play(thread_plan, &program, &folder).await });
        running.push((plan, done.map_err(file_error)?));
    }
    // All runs are awaited before one that failed is reported: each ends its proxies itself.
    let ended: Vec<_> = running.into_iter().map(|(plan, done)| (plan, done.blocking_recv())).collect();
    let mut played = Vec::new();
    for (plan, records) in ended {
        let records = records.map_err(|_| RunError::Thread)?.map_err(file_error)?;
        played.push((plan, records));
    }
    Ok(played)
}
