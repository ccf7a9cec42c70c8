//! From what age on an attempt counts as lost.

use crate::api::{Micros, Outcome, Time};
use crate::estimators::MovingAverage;

/// An attempt this many times older than usual counts as lost and takes no capacity any more. Two of them,
/// with no later answer, mark a backend as silent; one may be an answer that never comes.
pub(crate) const SILENT_AFTER: f64 = 8.0;
/// ... or so many times, while most attempts that are as old as this are never answered.
const LOST_AFTER: f64 = 2.5;
/// Attempts of that age that tell whether most are answered.
const ANSWERED_SAMPLES: f64 = 30.0;
/// Samples that the first answered share is worth.
const INITIAL_SAMPLES: f64 = 5.0;

/// The share of the attempts older than some age that were answered.
struct AgedAnswers {
    /// In usual latencies.
    age: f64,
    answered_share: MovingAverage,
}

impl AgedAnswers {
    fn new(age: f64) -> AgedAnswers {
        AgedAnswers { age, answered_share: MovingAverage { value: 1.0, count: INITIAL_SAMPLES } }
    }

    fn is_lossy(&self) -> bool {
        self.answered_share.value < 0.5
    }
}

/// An attempt that ended while it was not waiting for its body.
pub(crate) struct EndedAttempt {
    pub sent_at: Time,
    pub outcome: Outcome,
    /// The usual latency of its class.
    pub usual_latency: Micros,
}

/// Tells from what age on most attempts are never answered.
pub(crate) struct AnswerLoss {
    moderately_old: AgedAnswers,
    very_old: AgedAnswers,
}

impl AnswerLoss {
    pub(crate) fn new() -> AnswerLoss {
        AnswerLoss { moderately_old: AgedAnswers::new(LOST_AFTER), very_old: AgedAnswers::new(SILENT_AFTER) }
    }

    /// Records how an attempt ended, where it was old enough to tell something.
    pub(crate) fn record(&mut self, now: Time, attempt: &EndedAttempt) {
        let answered = match attempt.outcome {
            Outcome::Success | Outcome::Error => 1.0,
            Outcome::TimedOut | Outcome::Cancelled => 0.0,
            _ => return,
        };
        for answers in [&mut self.moderately_old, &mut self.very_old] {
            if now >= attempt.sent_at + attempt.usual_latency.times(answers.age) {
                answers.answered_share.add(answered, ANSWERED_SAMPLES);
            }
        }
    }

    /// The age, in usual latencies, from which most attempts are never answered; `None` while answers are not
    /// lost.
    pub(crate) fn answer_loss_age(&self) -> Option<f64> {
        [&self.moderately_old, &self.very_old].into_iter().find(|a| a.is_lossy()).map(|a| a.age)
    }

    /// Answers are being lost.
    pub(crate) fn is_losing(&self) -> bool {
        self.answer_loss_age().is_some()
    }

    /// An attempt older than this counts as lost.
    pub(crate) fn loss_timeout(&self, usual_latency: Micros) -> Micros {
        usual_latency.times(self.answer_loss_age().unwrap_or(SILENT_AFTER))
    }
}
