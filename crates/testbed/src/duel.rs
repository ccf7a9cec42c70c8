//! Compares several policies on the same arrivals and troubles, in virtual time.

use crate::experiment::Experiment;
use crate::report::causes::{Losses, CAUSES};
use crate::report::compare::interval;
use crate::report::figures::{Figures, Tally};
use crate::session::{print, SessionError};
use crate::virtual_time::policy_choice::PolicyChoice;
use crate::virtual_time::{play, VirtualError};
use crate::world::plan::Plan;
use clap::ValueEnum;
use indicatif::ProgressBar;
use rayon::prelude::*;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;

/// The length of the stretch after the troubles, s. Worth after it is reported separately: queues and retries have
/// drained by then, unless they sustain themselves.
const AFTER_S: f64 = 5.0;

/// Arguments of the `duel` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Experiment files.
    #[arg(required = true)]
    experiments: Vec<PathBuf>,
    /// Policies to play; by default all.
    #[arg(long, value_enum, value_delimiter = ',')]
    policies: Vec<PolicyChoice>,
    /// Number of seeds for each policy: the experiment's own and those after it.
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// Print also how much worth is lost, by cause.
    #[arg(long)]
    causes: bool,
}

/// The figures of one policy over all seeds, in the order of the seeds.
pub struct Row {
    /// The policy.
    pub policy: PolicyChoice,
    /// The figures of each seed.
    pub runs: Vec<Figures>,
    /// The losses of worth of each seed.
    pub losses: Vec<Losses>,
}

/// Plays every policy with every seed, in parallel, and calls `done` after each run. The result does not depend on the
/// number of threads.
///
/// # Errors
/// No settings for a proxy can be made from the experiment.
pub fn rows(
    experiment: &Experiment, policies: &[PolicyChoice], seeds: u64, done: &(dyn Fn() + Sync),
) -> Result<Vec<Row>, VirtualError> {
    let plans: Vec<Arc<Plan>> =
        (0..seeds).into_par_iter().map(|n| Arc::new(Plan::draw(experiment, experiment.seed + n))).collect();
    let all: Vec<(PolicyChoice, &Arc<Plan>)> =
        policies.iter().flat_map(|w| plans.iter().map(move |p| (*w, p))).collect();
    let played: Vec<(Figures, Losses)> = all
        .par_iter()
        .map(|(which, plan)| {
            let outcome = play(plan, *which)?;
            done();
            Ok((Figures::compute(plan, &outcome).0, Losses::compute(plan, &outcome)))
        })
        .collect::<Result<_, VirtualError>>()?;
    let mut played = played.into_iter();
    Ok(policies
        .iter()
        .map(|w| {
            let (runs, losses) = played.by_ref().take(seeds as usize).unzip();
            Row { policy: *w, runs, losses }
        })
        .collect())
}

/// Returns the name of a policy on the command line.
pub fn policy_name(which: PolicyChoice) -> String {
    which.to_possible_value().map_or_else(String::new, |v| v.get_name().to_string())
}

/// Formats a table of the rows, with the difference in worth of each to the first.
pub fn table(rows: &[Row]) -> String {
    let mut out = format!(
        "{:<18} {:>8} {:>20} {:>9} {:>9} {:>9} {:>9} {:>8} {:>7}\n",
        "policy",
        "worth",
        "against the first",
        "p50 ms",
        "p99 ms",
        "refused",
        "attempts",
        "weakest",
        "broken"
    );
    for row in rows {
        let of = |f: &dyn Fn(&Figures) -> f64| -> Vec<f64> { row.runs.iter().map(f).collect() };
        let mean = |f: &dyn Fn(&Figures) -> f64| interval(&of(f)).0;
        let worth = of(&|f| f.whole.earned_part());
        let differences: Vec<f64> =
            rows[0].runs.iter().zip(&worth).map(|(a, b)| b - a.whole.earned_part()).collect();
        let (difference, half_width) = interval(&differences);
        let against = half_width.map_or("one seed".into(), |h| format!("{difference:+.4} ± {h:.4}"));
        let weakest = |f: &Figures| f.classes.iter().map(|c| c.earned_part()).fold(1.0, f64::min);
        let broken: usize = row.runs.iter().flat_map(|f| &f.broken).map(|b| b.1).sum();
        let _ = writeln!(
            out,
            "{:<18} {:>8.4} {:>20} {:>9.1} {:>9.1} {:>8.2}% {:>9.3} {:>8.4} {:>7}",
            policy_name(row.policy),
            interval(&worth).0,
            against,
            mean(&|f| f.whole.latency_ms.p50),
            mean(&|f| f.whole.latency_ms.p99),
            mean(&|f| f.whole.refused as f64 * 100.0 / f.whole.arrivals.max(1) as f64),
            mean(&|f| f.attempts),
            mean(&weakest),
            broken
        );
    }
    out
}

/// Returns when the first trouble or load phase begins and the last one ends, s; `None` where there is none.
fn trouble_span(experiment: &Experiment) -> Option<(f64, f64)> {
    let troubles = experiment.trouble.iter().map(|t| (t.at_s, t.at_s + t.for_s.unwrap_or(0.0)));
    let phases = experiment.load.phase.iter().map(|p| (p.at_s, p.at_s + p.over_s));
    troubles.chain(phases).reduce(|a, b| (a.0.min(b.0), a.1.max(b.1)))
}

/// Returns the part of the worth asked that was earned, over arrivals due in the whole seconds between two times; NaN
/// where nothing was asked.
fn worth_between(f: &Figures, from: f64, to: f64) -> f64 {
    let inside = |s: &&Tally| s.name.parse::<f64>().is_ok_and(|at| at >= from && at + 1.0 <= to);
    let (asked, earned) =
        f.seconds.iter().filter(inside).fold((0.0, 0.0), |n, s| (n.0 + s.asked, n.1 + s.earned));
    if asked > 0.0 {
        earned / asked
    } else {
        f64::NAN
    }
}

/// Formats the worth before, during and after the troubles and, with `causes`, where worth is lost.
pub fn details(experiment: &Experiment, rows: &[Row], causes: bool) -> String {
    let mut out = String::new();
    if let Some((first, last)) = trouble_span(experiment) {
        let end = experiment.duration_s;
        let _ = writeln!(
            out,
            "worth by stretch: to {first} s, to {last} s, to {:.0} s, then to the end",
            last + AFTER_S
        );
        for row in rows {
            let mean = |from: f64, to: f64| {
                interval(&row.runs.iter().map(|f| worth_between(f, from, to)).collect::<Vec<_>>()).0
            };
            let stretches =
                [(0.0, first), (first.floor(), last.ceil()), (last.ceil(), last.ceil() + AFTER_S)];
            let _ = write!(out, "{:<18}", policy_name(row.policy));
            for (from, to) in stretches.into_iter().chain([(last.ceil() + AFTER_S, end)]) {
                let worth = mean(from, to);
                let _ =
                    if worth.is_nan() { write!(out, " {:>8}", "-") } else { write!(out, " {worth:>8.4}") };
            }
            out.push('\n');
        }
    }
    if causes {
        let _ = write!(out, "worth lost, % of all\n{:<18}", "");
        CAUSES.iter().for_each(|(_, name)| {
            let _ = write!(out, " {name:>14}");
        });
        let _ = writeln!(out, " {:>14}", "work wasted, %");
        for row in rows {
            let _ = write!(out, "{:<18}", policy_name(row.policy));
            for c in 0..CAUSES.len() {
                let lost: Vec<f64> = row.losses.iter().map(|l| l.by_cause[c] * 100.0).collect();
                let _ = write!(out, " {:>14.2}", interval(&lost).0);
            }
            let wasted: Vec<f64> = row.losses.iter().map(|l| l.wasted * 100.0).collect();
            let _ = writeln!(out, " {:>14.2}", interval(&wasted).0);
        }
    }
    out
}

/// Plays each experiment and prints its tables.
///
/// # Errors
/// An experiment is invalid, or no settings for a proxy can be made from it.
pub fn main(args: &Args) -> Result<(), SessionError> {
    let all = PolicyChoice::value_variants().to_vec();
    let policies = if args.policies.is_empty() { all } else { args.policies.clone() };
    for path in &args.experiments {
        let experiment = Experiment::load(path)?;
        let bar = ProgressBar::new(args.seeds * policies.len() as u64);
        let rows = rows(&experiment, &policies, args.seeds, &|| bar.inc(1))?;
        bar.finish_and_clear();
        let text = table(&rows);
        print(&format!(
            "{}: {} seeds, {} backends, {} proxies. {}\n",
            experiment.name,
            args.seeds,
            experiment.kind.iter().map(|k| k.count).sum::<usize>(),
            experiment.proxies,
            experiment.about
        ));
        print(&text);
        print(&details(&experiment, &rows, args.causes));
    }
    Ok(())
}
