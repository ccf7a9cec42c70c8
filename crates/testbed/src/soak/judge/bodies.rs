//! Judges requests with large bodies or long answers, and the memory of processes.

use super::{Evidence, Rule, Violation, CROSSING, LATE_ANSWER, SOCKET_SLACK};
use crate::soak::plan::ListedState;
use crate::soak::records::{BegunAnswer, BodyKind, BodyRecord, Class, PeakRecord, ProcessEvent};
use std::time::Duration;

/// How long before a deadline an answer has to begin at its backend to reach the client.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// How long after its client's time an answer that has begun in time may be held open behind a backend that never ends it:
/// as long as the rest of an answer may be held back.
const MAX_HELD_BACK: Duration = Duration::from_secs(2);

/// The status of the answer to a client whose body does not come.
const REQUEST_TIMEOUT: u16 = 408;

impl Evidence<'_> {
    /// Returns a violation if an order whose answer was slow or never ended ran twice, or was refused although it may have
    /// run.
    pub(super) fn body_duplicate(&self, body: &BodyRecord) -> Option<Violation> {
        if body.class != Class::Order || body.kind == BodyKind::LargeRequest {
            return None;
        }
        let attempts = self.attempts_of(body.id);
        let runs = attempts.iter().filter(|attempt| !attempt.turned_away).count();
        let is_refused = matches!(body.status, Some(429 | 503)) && runs > 0;
        let text = format!("ran {runs} times: {body:?}, attempts {attempts:?}");
        (runs > 1 || is_refused).then_some(Violation { rule: Rule::Duplicate, at: body.ended_at, text })
    }

    /// Returns a violation if a process took more memory than its limit.
    pub(super) fn over_memory(&self, peak: &PeakRecord) -> Option<Violation> {
        let limit_kib = self.plan.memory_mb() << 10;
        let text = format!("{} KiB of {limit_kib}, {:?}", peak.kib, peak.process);
        (peak.kib > limit_kib).then_some(Violation { rule: Rule::Memory, at: peak.at, text })
    }

    /// Returns a violation if a request with a large body or a special answer got no answer in time, or an answer that its
    /// backend had begun was cut off.
    pub(super) fn body_fault(&self, body: &BodyRecord) -> Option<Violation> {
        let violation = |rule, what: &str| {
            let attempts = self.attempts_of(body.id);
            let text = format!("{what}: {body:?}, attempts {attempts:?}");
            Some(Violation { rule, at: body.ended_at, text })
        };
        if body.looks_whole && !body.is_whole {
            return violation(Rule::Cut, "cut off without a sign of it");
        }
        let is_scarce = self.has_crowd || self.plan.has_least_memory;
        if body.status == Some(REQUEST_TIMEOUT) && !is_scarce {
            return violation(Rule::Cut, "the body of a slow client was not awaited");
        }
        if !body.is_written || self.ended_when_due(body) {
            return None;
        }
        let Some(began_at) = body.began_at else {
            let may_be_closed = self.has_crowd && self.attempts_of(body.id).is_empty();
            return if may_be_closed { None } else { violation(Rule::Lost, "not answered") };
        };
        let due = body.sent_at + body.deadline + LATE_ANSWER + SOCKET_SLACK + self.lag(began_at);
        if began_at > due {
            return violation(Rule::Lost, "answered late");
        }
        let held_until =
            body.sent_at + body.deadline + MAX_HELD_BACK + SOCKET_SLACK + self.lag(body.ended_at);
        if body.kind == BodyKind::SilentAnswer && body.ended_at > held_until {
            return violation(Rule::Lost, "held open behind a silent backend");
        }
        let is_cut = match (body.kind, body.status) {
            (BodyKind::SilentAnswer, _) | (BodyKind::LargeRequest, Some(200)) => false,
            (BodyKind::LongAnswer | BodyKind::ShortAnswer, Some(200)) => {
                !body.is_whole && !self.begun(body).any(|answer| self.restarted(answer, body))
            }
            (BodyKind::LongAnswer | BodyKind::ShortAnswer | BodyKind::LargeRequest, _) => {
                self.begun(body).any(|answer| self.is_due(answer, body) && !self.restarted(answer, body))
            }
        };
        if is_cut {
            return violation(Rule::Cut, "cut off");
        }
        None
    }

    /// Returns whether the process of a request ended while the request was open, and not by itself before it could have been
    /// killed.
    fn ended_when_due(&self, body: &BodyRecord) -> bool {
        let Some(end) = self.process_end(body.proxy, body.started_at, body.ended_at) else { return false };
        let is_stop = |event: &ProcessEvent| matches!(event, ProcessEvent::Stopping);
        let stopped_at = self.event_at(end.process, is_stop);
        stopped_at.is_none_or(|stopped_at| end.at + CROSSING >= stopped_at + self.plan.kill_after())
    }

    /// Returns the answers to a request that backends began.
    fn begun<'b>(&'b self, body: &'b BodyRecord) -> impl Iterator<Item = &'b BegunAnswer> + 'b {
        self.records.begun_answers.iter().filter(|answer| answer.id == body.id)
    }

    /// Returns whether an answer began early enough to reach its client. A short one has to end early enough.
    fn is_due(&self, answer: &BegunAnswer, body: &BodyRecord) -> bool {
        let takes = if body.kind == BodyKind::ShortAnswer { answer.takes } else { Duration::ZERO };
        answer.at + takes + ANSWER_MARGIN + self.lag(answer.at) < body.sent_at + body.deadline
    }

    /// Returns whether the backend of an answer was started anew before the client stopped to wait.
    fn restarted(&self, answer: &BegunAnswer, body: &BodyRecord) -> bool {
        self.plan.changes.iter().any(|change| {
            change.backend == answer.backend
                && change.state == ListedState::Ready
                && (answer.at..=body.ended_at + CROSSING).contains(&change.at)
        })
    }
}
