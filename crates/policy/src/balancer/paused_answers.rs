//! Answers that pause. The backend of one may be silent for good, so a request that may be repeated is
//! sent to another backend as well, or instead where only one attempt may be in flight. The attempt goes
//! on wherever it may: its answer may be sound and only slow.

use super::Balancer;
use crate::api::{Action, AttemptNo, RequestId, Time};
use crate::requests::{AnswerPace, AttemptKey};
use crate::retry;

impl Balancer {
    /// Records that the answer of an attempt has paused, and has its request sent elsewhere if that is
    /// possible.
    pub(super) fn record_answer_pause(&mut self, now: Time, key: AttemptKey) {
        self.set_answer_pace(key, AnswerPace::Paused);
        self.replace_paused(now, key.request);
    }

    /// Records that an answer that had paused goes on: its request is not sent elsewhere any more.
    pub(super) fn record_answer_resumption(&mut self, key: AttemptKey) {
        self.set_answer_pace(key, AnswerPace::Resumed);
        self.admission.queue.remove(key.request);
        self.requests.awaiting_budget.remove(&key.request);
    }

    /// Sets the pace of an attempt in flight. One that has paused is no load: its backend is stuck or done.
    fn set_answer_pace(&mut self, key: AttemptKey, pace: AnswerPace) {
        let Some(attempt) = self.requests.in_flight.get_mut(&key) else { return };
        let was_paused = std::mem::replace(&mut attempt.answer_pace, pace) == AnswerPace::Paused;
        let is_paused = pace == AnswerPace::Paused;
        let paused = self.requests.paused + usize::from(is_paused);
        self.requests.paused = paused - usize::from(was_paused);
        if let Some(backend) = self.backends.by_id.get_mut(&attempt.backend) {
            let held = backend.load.in_flight + u32::from(was_paused);
            backend.load.in_flight = held.saturating_sub(u32::from(is_paused));
        }
    }

    /// Has a request sent elsewhere if all its attempts in flight have paused and another may be answered
    /// in time.
    pub(super) fn replace_paused(&mut self, now: Time, id: RequestId) {
        let have_all_paused =
            self.requests.attempts_of(id).all(|attempt| attempt.answer_pace == AnswerPace::Paused);
        let Some(request) = self.requests.pending.get(&id) else { return };
        let has_timeouts = !request.streaming && !request.uploading;
        let context = self.timeout_context(now);
        if !have_all_paused || !has_timeouts || !context.may_be_answered_in_time(request) {
            return;
        }
        if !context.may_retry {
            self.requests.awaiting_budget.insert(id);
            return;
        }
        if retry::may_attempt(&self.config, now, request) {
            self.admission.queue.push_if_absent(id);
        } else if !request.has_replaced_attempt && retry::may_repeat(&self.config, now, request) {
            self.give_up_paused(now, id);
        }
    }

    /// Has the oldest request sent elsewhere that lacked retry budget when its answer paused, if there is
    /// budget now.
    pub(super) fn replace_paused_within_budget(&mut self, now: Time) {
        if !self.recovery.retry_budget.is_available() {
            return;
        }
        if let Some(id) = self.requests.awaiting_budget.pop_first() {
            self.replace_paused(now, id);
        }
    }

    /// Gives up the only attempt in flight of a request if there is a backend for another. This happens
    /// once for a request: where a second backend pauses as well, the answer is probably a slow one.
    fn give_up_paused(&mut self, now: Time, id: RequestId) {
        let Some(mut request) = self.requests.pending.remove(&id) else { return };
        let in_flight = request.attempts.iter().rposition(|attempt| attempt.in_flight);
        if let (Some(index), Some(_)) = (in_flight, self.pick_backend(now, &request)) {
            request.has_replaced_attempt = true;
            self.output.actions.push(Action::Replace { request: id, attempt: AttemptNo(index as u32) });
        }
        self.requests.pending.insert(id, request);
    }

    /// Records that an answer was served although it had paused: the other attempts of its request that have
    /// paused tell nothing of their backends.
    pub(super) fn excuse_paused_attempts(&mut self, id: RequestId) {
        let attempts = self.requests.pending.get(&id).map_or(0, |request| request.attempts.len() as u32);
        for number in 0..attempts {
            let key = AttemptKey { request: id, attempt: AttemptNo(number) };
            self.set_answer_pace(key, AnswerPace::Steady);
        }
    }
}
