//! Detection of lost answers: the age from which an attempt counts as lost.

use crate::api::{Micros, Outcome, Time};
use crate::estimators::MovingAverage;

/// Age, in usual latencies, from which an attempt counts as lost and is no longer included in the load of its
/// backend. Two such attempts without a later answer mark a backend as silent; a single one may be one lost
/// answer.
pub(crate) const SILENT_AFTER: f64 = 8.0;
/// The same age while most attempts that reach it are never answered.
const LOST_AFTER: f64 = 2.5;
/// Window of an answered share, in attempts; enough to tell whether most are answered.
const ANSWERED_SAMPLES: f64 = 30.0;
/// Weight of the initial answered share, in samples.
const INITIAL_SAMPLES: f64 = 5.0;

/// The share of answered attempts among those that reached some age.
struct AgedAnswers {
    /// The age, in usual latencies.
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

/// An attempt that ended, and whose body was complete.
pub(crate) struct EndedAttempt {
    pub sent_at: Time,
    pub outcome: Outcome,
    /// The usual latency of its class.
    pub usual_latency: Micros,
}

/// Estimates the age from which most attempts are never answered.
pub(crate) struct AnswerLoss {
    moderately_old: AgedAnswers,
    very_old: AgedAnswers,
}

impl AnswerLoss {
    pub(crate) fn new() -> AnswerLoss {
        AnswerLoss { moderately_old: AgedAnswers::new(LOST_AFTER), very_old: AgedAnswers::new(SILENT_AFTER) }
    }

    /// Records how an attempt ended, if it had reached one of the ages.
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

    /// Returns the age, in usual latencies, from which most attempts are never answered; `None` while answers
    /// are not being lost.
    pub(crate) fn answer_loss_age(&self) -> Option<f64> {
        [&self.moderately_old, &self.very_old].into_iter().find(|a| a.is_lossy()).map(|a| a.age)
    }

    /// Returns whether answers are being lost.
    pub(crate) fn is_losing(&self) -> bool {
        self.answer_loss_age().is_some()
    }

    /// Returns the age from which an attempt counts as lost.
    pub(crate) fn loss_timeout(&self, usual_latency: Micros) -> Micros {
        usual_latency.times(self.answer_loss_age().unwrap_or(SILENT_AFTER))
    }
}
