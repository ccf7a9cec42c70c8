//! How long a client may pause within its body.

use crate::body_budget::BodyBudget;
use crate::front_state::FrontState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The share of the longest pause that is left where connections or memory are scarce.
const SCARCE_SHARE: f64 = 0.6;
/// How often a pause is checked once it is longer than that.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The limit on the pauses of a client within its body. It is shorter where many clients are connected or much memory is in
/// use, as a body that never comes holds both.
#[derive(Clone)]
pub(crate) struct BodyPauseLimit {
    longest: Duration,
    front: Rc<FrontState>,
    body_budget: BodyBudget,
}

impl BodyPauseLimit {
    pub(crate) fn new(longest: Duration, front: Rc<FrontState>, body_budget: BodyBudget) -> BodyPauseLimit {
        BodyPauseLimit { longest, front, body_budget }
    }

    /// Returns the limit where connections or memory are scarce.
    pub(crate) fn shortest(&self) -> Duration {
        self.longest.mul_f64(SCARCE_SHARE)
    }

    /// Returns whether a pause of this length is too long now.
    pub(crate) fn is_exceeded_by(&self, pause: Duration) -> bool {
        pause >= self.longest || pause >= self.shortest() && self.is_scarce()
    }

    /// Waits until a pause that begins now is too long.
    pub(crate) async fn exceeded(self) {
        let started_at = Instant::now();
        tokio::time::sleep(self.shortest()).await;
        while !self.is_exceeded_by(started_at.elapsed()) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn is_scarce(&self) -> bool {
        self.front.has_half_of_clients() || self.body_budget.is_half_reserved()
    }
}
