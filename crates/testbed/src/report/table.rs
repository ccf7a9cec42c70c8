//! A run as a table for the terminal.

use super::figures::{Figures, Tally};
use std::fmt::Write;

fn row(t: &Tally) -> String {
    let l = &t.latency_ms;
    format!(
        "{:<16} {:>8} {:>8} {:>7} {:>8} {:>7} {:>9.4} {:>8.1} {:>8.1} {:>8.1}\n",
        t.name,
        t.arrivals,
        t.in_time,
        t.late,
        t.refused,
        t.failed,
        t.earned_part(),
        l.p50,
        l.p90,
        l.p99
    )
}

/// Formats the figures as a table. `stretches` holds the names and bounds, in seconds, of parts of the run that
/// get a line of their own.
pub fn table(f: &Figures, stretches: &[(String, f64, f64)]) -> String {
    let mut out = format!(
        "{:<16} {:>8} {:>8} {:>7} {:>8} {:>7} {:>9} {:>8} {:>8} {:>8}\n",
        "", "wanted", "in time", "late", "refused", "failed", "worth", "p50 ms", "p90 ms", "p99 ms"
    );
    f.classes.iter().chain([&f.whole]).for_each(|t| out.push_str(&row(t)));
    for (name, from, to) in stretches {
        let inside = f.seconds.iter().enumerate().filter(|(s, _)| *s as f64 >= *from && (*s as f64) < *to);
        let (asked, earned, arrivals) =
            inside.fold((0.0, 0.0, 0), |sum, (_, t)| (sum.0 + t.asked, sum.1 + t.earned, sum.2 + t.arrivals));
        let part = if asked > 0.0 { earned / asked } else { 1.0 };
        let _ =
            writeln!(out, "  {name:<30} {from:>5.0} s to {to:>3.0} s: {arrivals:>6} wanted, worth {part:.4}");
    }
    let _ = writeln!(out, "{:.3} attempts for each request, {:.0} us of processor", f.attempts, f.cpu_us);
    for (p, quarters) in f.proxies.iter().enumerate() {
        let max_of =
            |of: &dyn Fn(&super::figures::Quarter) -> f64| quarters.iter().map(of).fold(0.0, f64::max);
        let _ = writeln!(
            out,
            "proxy {p}: at most {:.2} cores, {:.1} MB, {} descriptors",
            max_of(&|q| q.cores),
            max_of(&|q| q.memory_mb),
            max_of(&|q| q.descriptors as f64)
        );
    }
    if f.lost_with_proxies > 0 {
        let _ = writeln!(out, "{} requests were out at a proxy that was killed", f.lost_with_proxies);
    }
    let _ = writeln!(out, "lab: first tries {:.1} ms late at p99; plan {}", f.lab_late_ms.p99, f.plan_hash);
    if f.broken.is_empty() {
        out.push_str("oracles: all hold\n");
    }
    for (oracle, count) in &f.broken {
        let _ = writeln!(out, "oracle \"{oracle}\": broken {count} times");
    }
    if let Some(why) = &f.void {
        let _ = writeln!(out, "VOID: {why}");
    }
    out
}
