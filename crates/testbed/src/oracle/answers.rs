//! Each request gets one final answer, in time.

use super::{Observations, Sent, Violation};
use crate::record::{seconds, Observation, TryId};
use lotusdeck_policy::{Micros, Time};
use std::collections::HashMap;

const NAME: &str = "one final answer";

/// What the client saw at the end of a try.
#[derive(Default)]
struct TryEnd {
    answers: u32,
    extra: bool,
    answered: Option<Time>,
    broke: Option<(Time, bool)>,
    left: Option<Time>,
}

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let mut ends: HashMap<TryId, TryEnd> = HashMap::new();
    for r in observations.records {
        let Some(id) = r.id() else { continue };
        match r.what {
            Observation::Answered { .. } => {
                let end = ends.entry(id).or_default();
                end.answers += 1;
                end.answered = end.answered.or(Some(r.at));
            }
            Observation::Extra { .. } => ends.entry(id).or_default().extra = true,
            // On a reused connection, the proxy's close between requests may cross a request that it has not read.
            // Then no answer has begun, and the request counts as not lost.
            Observation::Broke { reused, begun, .. } => {
                ends.entry(id).or_default().broke = Some((r.at, reused && !begun))
            }
            Observation::Left { .. } => ends.entry(id).or_default().left = Some(r.at),
            _ => {}
        }
    }
    let slack = Micros::from_secs(observations.plan.experiment.rules.answer_slack_ms / 1e3);
    let mut asked: Vec<_> = observations.asked.iter().collect();
    asked.sort();
    let mut out = Vec::new();
    for (id, Sent { at: sent, proxy, left }) in asked {
        let due = *sent + *left + slack;
        let end = ends.remove(id).unwrap_or_default();
        let text = if end.answers > 1 || end.extra {
            "more than one answer came".to_string()
        } else if let Some(at) = end.answered {
            if at <= due {
                continue;
            }
            let (after, sent) = (seconds(Time((at - *sent).0)), seconds(*sent));
            format!("answered {after} after it was sent, at {sent} to proxy {proxy} with {left:?} left")
        } else if let Some((at, close_crossed)) = end.broke {
            if close_crossed || observations.excused(*proxy, *sent, at) {
                continue;
            }
            format!("proxy {proxy} ended the connection without an answer")
        } else {
            let until = end.left.unwrap_or(Time(u64::MAX));
            if until <= due || observations.excused(*proxy, *sent, until) {
                continue;
            }
            format!("proxy {proxy} never answered")
        };
        out.push(Violation { oracle: NAME, id: Some(*id), text });
    }
    out
}

#[cfg(test)]
mod tests;
