//! Measures whether many proxies that learn in the same way oscillate together, for each policy, and plots the shares
//! of the kinds.

use crate::experiment::Experiment;
use crate::report::compare::interval;
use crate::report::plot::{self, Field, Line};
use crate::report::swing::{swings, Swing, BIN};
use crate::session::{print, SessionError};
use crate::virtual_time::play;
use crate::virtual_time::policy_choice::PolicyChoice;
use crate::world::plan::Plan;
use indicatif::ProgressBar;
use rayon::prelude::*;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;

/// Arguments of the `swings` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// An experiment file.
    experiment: PathBuf,
    /// Policies to play.
    #[arg(long, value_enum, value_delimiter = ',', default_value = "halb,true-halb,peak-ewma")]
    policies: Vec<PolicyChoice>,
    /// Number of seeds for each policy; the first one is plotted.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Time from which shares are counted, s.
    #[arg(long, default_value_t = 3.0)]
    from: f64,
    /// File for the plot; by default none is written.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Plays the experiment with each policy and seed, prints the table and writes the plot.
///
/// # Errors
/// The experiment is invalid, a run fails, or the plot cannot be written.
pub fn main(args: &Args) -> Result<(), SessionError> {
    let experiment = Experiment::load(&args.experiment)?;
    let bar = ProgressBar::new(args.seeds * args.policies.len() as u64);
    let play_seed = |which: PolicyChoice, seed: u64| -> Result<Vec<Swing>, SessionError> {
        let plan = Arc::new(Plan::draw(&experiment, experiment.seed + seed));
        let outcome = play(&plan, which)?;
        bar.inc(1);
        Ok(swings(&plan, &outcome, args.from))
    };
    let mut out = format!(
        "{}: {} seeds, {} backends, {} proxies. {}\n{:<18} {:<10} {:>8} {:>18} {:>8} {:>16} {:>24}\n",
        experiment.name,
        args.seeds,
        experiment.kind.iter().map(|k| k.count).sum::<usize>(),
        experiment.proxies,
        experiment.about,
        "policy",
        "kind",
        "share",
        "deviation, points",
        "chance",
        "in step",
        "period that stands out"
    );
    let mut fields = Vec::new();
    for which in &args.policies {
        let runs: Vec<Vec<Swing>> =
            (0..args.seeds).into_par_iter().map(|s| play_seed(*which, s)).collect::<Result<_, _>>()?;
        for k in 0..experiment.kind.len() {
            let of = |f: &dyn Fn(&Swing) -> f64| interval(&runs.iter().map(|r| f(&r[k])).collect::<Vec<_>>());
            let (step, half_width) = of(&|s| s.in_step);
            let periods: Vec<f64> = runs.iter().filter_map(|r| r[k].period).map(|p| p.0).collect();
            let period = match periods.is_empty() {
                true => "none".into(),
                false => format!("{:.1} s in {} of {}", interval(&periods).0, periods.len(), runs.len()),
            };
            let _ = writeln!(
                out,
                "{:<18} {:<10} {:>7.1}% {:>18.2} {:>8.2} {:>16} {:>24}",
                crate::duel::policy_name(*which),
                experiment.kind[k].name,
                of(&|s| s.mean).0 * 100.0,
                of(&|s| s.deviation).0 * 100.0,
                of(&|s| s.chance).0 * 100.0,
                half_width.map_or(format!("{step:.2}"), |h| format!("{step:.2} ± {h:.2}")),
                period
            );
        }
        let line = |s: &Swing| {
            let at = |i: usize| args.from + BIN.secs() * i as f64;
            let points = s.shares.iter().enumerate().map(|(i, share)| (at(i), share * 100.0)).collect();
            Line { name: s.kind.clone(), points, dots: Vec::new() }
        };
        fields.push(Field {
            caption: format!("{}: {}", experiment.name, crate::duel::policy_name(*which)),
            x: ("time, s".into(), args.from..experiment.duration_s),
            y: ("share of the traffic, %".into(), 0.0..100.0),
            lines: runs.first().map(|r| r.iter().map(line).collect()).unwrap_or_default(),
        });
    }
    bar.finish_and_clear();
    print(&out);
    if let Some(path) = &args.out {
        plot::write(&fields, path)?;
        print(&format!("plot: {}\n", path.display()));
    }
    Ok(())
}
