//! The experiments of a campaign: a small deployment with injuries and troubles drawn from a seed.

use crate::experiment::{Experiment, ExperimentError, Trouble, TroubleKind};
use crate::fault_proxy::script::{Direction, Fault, FaultKind, Place};
use crate::world::rng::Rng;

/// A deployment that exercises every path of a request within seconds. Connections are few, so that faults
/// occur on reused connections.
const BASE: &str = r#"
    name = "campaign"
    about = "Drawn by a campaign."
    duration_s = 3.0
    proxies = 2
    load = { rps = 120.0 }
    class = [
      { name = "read", effect = "free", share = 2.0, aim_ms = 400, deadline_ms = 1200, work_ms = 8, answer_bytes = 600 },
      { name = "order", effect = "single_shot", share = 2.0, aim_ms = 400, deadline_ms = 1200, work_ms = 8, body_bytes = 300, answer_bytes = 90 },
    ]
    kind = [{ name = "small", count = 4 }, { name = "big", count = 2, cores = 2.0 }]
    discovery = { lag_ms = 100, detect_ms = 400 }
"#;
/// Largest number of injuries in a script, and exclusive bound of its troubles: more would hide each other and
/// shrink slowly.
const MAX_FAULTS: usize = 5;
/// Bytes inserted after an answer: another answer, the beginning of one, noise.
const TRAILING_BYTES: [&str; 3] =
    ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", "HTTP/1.1 200 OK\r\nContent-Le", "\r\n\r\nnoise"];
/// Largest delay of a request in the relay, ms. A longer one could make a request look as if it was sent after
/// the grace period of a drain.
const MAX_UP_MS: u64 = 60;

/// Draws the experiment of a seed.
///
/// # Errors
/// Fails if the built-in deployment is not a valid experiment, which would be a bug in this file.
pub fn experiment(seed: u64) -> Result<Experiment, ExperimentError> {
    let mut e = Experiment::parse("campaign", BASE)?;
    let mut rng = Rng::new(seed, "campaign");
    e.seed = seed;
    e.injury = (0..1 + rng.below(MAX_FAULTS)).map(|_| injury(&mut rng)).collect();
    e.trouble = (0..rng.below(MAX_FAULTS)).map(|_| trouble(&mut rng, e.proxies)).collect();
    Ok(e)
}

fn injury(rng: &mut Rng) -> Fault {
    let direction = if rng.unit() < 0.65 { Direction::Down } else { Direction::Up };
    let place = [Place::Start, Place::Body, Place::Middle, Place::End][rng.below(4)];
    let bytes = 1 + rng.below(9);
    let ms = 1 + rng.below(if direction == Direction::Up { MAX_UP_MS as usize } else { 500 }) as u64;
    let what = match rng.below(10) {
        0 => FaultKind::HalfClose,
        1 => FaultKind::Cut,
        2 => FaultKind::Reset,
        3 => FaultKind::Hang,
        4 => FaultKind::Blackhole,
        5 => FaultKind::Split { bytes },
        6 => FaultKind::Stall { ms },
        // A changed request is not what the proxy sent, and a changed body cannot be distinguished from a good
        // one, so that only heads of answers are changed.
        _ if direction == Direction::Up => FaultKind::Stall { ms },
        7 => FaultKind::Flip { bytes },
        // Inserts bytes after an answer that belong to no request; the proxy must not take them for the answer
        // to the next one.
        8 => FaultKind::Insert { text: TRAILING_BYTES[rng.below(TRAILING_BYTES.len())].into() },
        // At most the first line: a longer repeat would shift the body while its length stays correct.
        _ => FaultKind::Repeat { bytes },
    };
    let fixed = match what {
        FaultKind::Flip { .. } | FaultKind::Repeat { .. } => Some(Place::Start),
        FaultKind::Insert { .. } => Some(Place::End),
        _ => None,
    };
    Fault {
        connections: None,
        part: 0.02 + 0.3 * rng.unit(),
        way: direction,
        after_bytes: None,
        until_bytes: None,
        message: Some(1 + rng.below(4) as u64),
        place: Some(fixed.unwrap_or(place)),
        after_ms: None,
        on: None,
        gives: None,
        what,
    }
}

fn trouble(rng: &mut Rng, proxies: usize) -> Trouble {
    let kinds = [
        TroubleKind::Kill,
        TroubleKind::Drain,
        TroubleKind::Slow,
        TroubleKind::Hang,
        TroubleKind::DiscoveryDown,
        TroubleKind::KillProxy,
        TroubleKind::RestartProxy,
        TroubleKind::Reload,
    ];
    let what = kinds[rng.below(kinds.len())];
    let affects_backends =
        matches!(what, TroubleKind::Kill | TroubleKind::Drain | TroubleKind::Slow | TroubleKind::Hang);
    let proxy = matches!(what, TroubleKind::KillProxy | TroubleKind::RestartProxy | TroubleKind::Reload);
    let has_duration = !matches!(what, TroubleKind::Drain | TroubleKind::Reload);
    Trouble {
        at_s: 0.3 + 1.7 * rng.unit(),
        what,
        part: affects_backends.then(|| 0.2 + 0.3 * rng.unit()),
        kind: None,
        zone: None,
        who: None,
        proxy: proxy.then(|| rng.below(proxies)),
        for_s: has_duration.then(|| 0.3 + 0.7 * rng.unit()),
        factor: (what == TroubleKind::Slow).then(|| 0.1 + 0.4 * rng.unit()),
    }
}

#[cfg(test)]
mod tests;
