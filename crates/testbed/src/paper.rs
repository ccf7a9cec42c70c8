//! Reproduces the paper's table: how much HALB's split improves the mean response time over a split in proportion to
//! speed, by the closed formula and with simulated processor-sharing stations, side by side. (Gandhi, Mittal, Zhang:
//! Optimal Load-Balancing for Heterogeneous Clusters, figure 1.)

use crate::report::plot::{self, Field, Line};
use crate::session::{print, SessionError};
use crate::world::rng::Rng;
use crate::world::station::{Build, Station};
use lotusdeck_policy::{halb_shares, Micros, Time};
use rayon::prelude::*;
use std::fmt::Write;
use std::path::PathBuf;

/// Arguments of the `paper` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Number of jobs for each simulated point.
    #[arg(long, default_value_t = 200_000)]
    jobs: usize,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File for the plot.
    #[arg(long, default_value = "docs/plots/paper.svg")]
    out: PathBuf,
}

/// A cluster: for each kind the number of servers and the speed of one, in requests a second.
pub type Kinds = Vec<(f64, f64)>;

/// Returns the mean response time of a split by kind over M/G/1/PS servers, s; infinite where a server is overloaded.
pub fn response(kinds: &Kinds, shares: &[f64], rate: f64) -> f64 {
    let one = |((count, speed), share): (&(f64, f64), &f64)| {
        let left = speed - rate * share / count;
        match *share > 0.0 {
            false => 0.0,
            true if left > 0.0 => share / left,
            true => f64::INFINITY,
        }
    };
    kinds.iter().zip(shares).map(one).sum()
}

/// Returns the split in proportion to speed.
pub fn proportional(kinds: &Kinds) -> Vec<f64> {
    let all: f64 = kinds.iter().map(|k| k.0 * k.1).sum();
    kinds.iter().map(|k| k.0 * k.1 / all).collect()
}

/// Simulates a split with Poisson arrivals, exponential work and one station for each server. Returns the mean
/// response time, s, and the half-width of its 95 % interval, by batches of jobs.
pub fn simulate(kinds: &Kinds, shares: &[f64], rate: f64, jobs: usize, seed: u64) -> (f64, f64) {
    const BATCHES: usize = 20;
    let mut rng = Rng::new(seed, "paper");
    let build = |speed: f64| Build {
        cores: 1.0,
        speed,
        slots: usize::MAX,
        room: 0,
        drag: 0.0,
        cold_from: 1.0,
        ramp: Micros(0),
    };
    let servers: Vec<(usize, f64)> =
        kinds.iter().enumerate().flat_map(|(i, k)| vec![(i, k.1); k.0 as usize]).collect();
    let weights: Vec<f64> = servers.iter().map(|(i, _)| shares[*i] / kinds[*i].0).collect();
    let mut stations: Vec<Station> =
        servers.iter().map(|s| Station::new(build(s.1), None, Time(0))).collect();
    let mut arrived: Vec<f64> = Vec::with_capacity(jobs);
    let mut response_times = vec![0.0; jobs];
    // A job of mean work takes 1 s on a server of 1 request a second. Stations count whole microseconds, so all times
    // are scaled by 1000 to make the rounding negligible.
    let time_scale = 1e3;
    let (mut now, mut ended) = (0.0, Vec::new());
    for job in 0..jobs {
        now += rng.exponential(1.0 / rate);
        let at = Time((now * time_scale * 1e6) as u64);
        let server = rng.weighted(&weights);
        ended.clear();
        stations[server].due(at, &mut ended);
        ended.iter().for_each(|(end, job)| {
            response_times[*job as usize] = end.0 as f64 / time_scale / 1e6 - arrived[*job as usize]
        });
        arrived.push(now);
        stations[server].submit(at, job as u64, rng.exponential(time_scale));
    }
    ended.clear();
    stations.iter_mut().for_each(|s| s.due(Time(u64::MAX / 2), &mut ended));
    ended.iter().for_each(|(end, job)| {
        response_times[*job as usize] = end.0 as f64 / time_scale / 1e6 - arrived[*job as usize]
    });
    // The first batch is left out: the stations start empty.
    let size = jobs / BATCHES;
    let means: Vec<f64> = response_times
        .chunks(size)
        .skip(1)
        .take(BATCHES - 1)
        .map(|b| b.iter().sum::<f64>() / b.len() as f64)
        .collect();
    let (mean, half_width) = crate::report::compare::interval(&means);
    (mean, half_width.unwrap_or(f64::INFINITY))
}

/// One cluster at one load.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Load, from 0 to 1.
    pub load: f64,
    /// Improvement by the closed formula, as a fraction.
    pub formula: f64,
    /// Improvement as simulated, as a fraction.
    pub simulated: f64,
    /// Half-width of the 95 % interval of `simulated`.
    pub half_width: f64,
}

/// Computes and simulates the points of a cluster at each load.
pub fn points(kinds: &Kinds, jobs: usize, seed: u64) -> Vec<Point> {
    let capacity: f64 = kinds.iter().map(|k| k.0 * k.1).sum();
    let loads = [0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9];
    let point = |load: &f64| {
        let rate = load * capacity;
        let (halb_split, proportional_split) = (halb_shares(kinds, Some(rate)), proportional(kinds));
        let formula = 1.0 - response(kinds, &halb_split, rate) / response(kinds, &proportional_split, rate);
        let (a, a_half) = simulate(kinds, &halb_split, rate, jobs, seed);
        let (b, b_half) = simulate(kinds, &proportional_split, rate, jobs, seed + 1);
        let simulated = 1.0 - a / b;
        let half_width = (a / b) * ((a_half / a).powi(2) + (b_half / b).powi(2)).sqrt();
        Point { load: *load, formula, simulated, half_width }
    };
    loads.par_iter().map(point).collect()
}

/// Returns the clusters of the table, with their names.
pub fn clusters() -> Vec<(&'static str, Kinds)> {
    vec![
        ("5 nodes: 2 of speed 2, 3 of 1", vec![(2.0, 2.0), (3.0, 1.0)]),
        ("5 nodes: 1 of speed 4, 4 of 1", vec![(1.0, 4.0), (4.0, 1.0)]),
        ("5 nodes: 2 of speed 3, 3 of 1", vec![(2.0, 3.0), (3.0, 1.0)]),
        ("10 and 10, speeds 4 and 1", vec![(10.0, 4.0), (10.0, 1.0)]),
        ("5 and 20, speeds 9 and 1", vec![(5.0, 9.0), (20.0, 1.0)]),
        ("three kinds: 4 of 6, 8 of 3, 8 of 1", vec![(4.0, 6.0), (8.0, 3.0), (8.0, 1.0)]),
    ]
}

fn field(all: &[(&str, Vec<Point>)]) -> Field {
    let line = |(name, points): &(&str, Vec<Point>)| Line {
        name: name.to_string(),
        points: points.iter().map(|p| (p.load, p.formula * 100.0)).collect(),
        dots: points.iter().map(|p| (p.load, p.simulated * 100.0)).collect(),
    };
    Field {
        caption: "HALB over Proportional LB: lines by formula, dots simulated".into(),
        x: ("load".into(), 0.0..1.0),
        y: ("improvement of the mean response time, %".into(), 0.0..80.0),
        lines: all.iter().map(line).collect(),
    }
}

/// Computes and simulates all clusters, prints the table and writes the plot.
///
/// # Errors
/// The plot cannot be written.
pub fn main(args: &Args) -> Result<(), SessionError> {
    let all: Vec<(&str, Vec<Point>)> =
        clusters().into_iter().map(|(name, kinds)| (name, points(&kinds, args.jobs, args.seed))).collect();
    let mut out = format!("{:<38}", "improvement, % (formula | simulated)");
    for p in &all[0].1 {
        let _ = write!(out, "{:>14}", format!("load {}", p.load));
    }
    out.push('\n');
    let (mut inside, mut count) = (0, 0);
    for (name, points) in &all {
        let _ = write!(out, "{name:<38}");
        for p in points {
            let _ = write!(out, "{:>14}", format!("{:.1} | {:.1}", p.formula * 100.0, p.simulated * 100.0));
            inside += usize::from((p.formula - p.simulated).abs() <= p.half_width);
            count += 1;
        }
        out.push('\n');
    }
    let _ = writeln!(out, "{inside} of {count} simulated points hold the formula inside their 95 % interval");
    print(&out);
    plot::write(&[field(&all)], &args.out)?;
    print(&format!("plot: {}\n", args.out.display()));
    Ok(())
}

#[cfg(test)]
mod tests;
