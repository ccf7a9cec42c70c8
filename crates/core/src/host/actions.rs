//! Passes events to the balancer and carries out its actions: those of one event before the next event is handled.

use super::attempts::AttemptHandlers;
use super::state::{Answer, AttemptKey, OpenRequest, State};
use super::{Host, LOG_TARGET};
use crate::exchange::AnswerProgress;
use lotusdeck_policy::{Action, Event, Outcome, RequestId, Time};
use std::rc::Rc;
use tracing::{debug, info};

/// The handlers of what the tasks of attempts report.
pub(super) const ATTEMPT_HANDLERS: AttemptHandlers =
    AttemptHandlers { on_end: Host::attempt_ended, on_progress: Host::answer_progressed };

impl Host {
    /// Passes an event to the balancer, and then all events that follow from its actions.
    pub(super) fn handle_event(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.events.push_back(event);
        while let Some(event) = state.events.pop_front() {
            let now = self.clock.now();
            state.balancer.handle(now, event, &mut state.actions);
            let mut actions = std::mem::take(&mut state.actions);
            actions.drain(..).for_each(|action| self.carry_out(state, now, action));
            state.actions = actions;
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend } => {
                self.dispatch(state, now, request, backend, ATTEMPT_HANDLERS);
            }
            Action::Reject { request, retry_after } => {
                if self.defer_to_answer_under_way(state, request, Answer::Rejected(retry_after)) {
                    return;
                }
                self.cancel_attempts_using_client(state, now, request);
                self.reject(state, request, retry_after);
            }
            Action::Fail { request } => {
                if self.defer_to_answer_under_way(state, request, Answer::Failed) {
                    return;
                }
                self.cancel_attempts_using_client(state, now, request);
                state.counts.failed += 1;
                self.finish(state, request, Answer::Failed);
            }
            Action::Cancel { request, attempt } => {
                let end = self.withdraw_attempt(state, now, AttemptKey { request, attempt });
                state.events.extend(end.map(Event::AttemptEnded));
            }
            Action::Replace { request, attempt } => {
                self.cancel(state, now, AttemptKey { request, attempt });
            }
            Action::SetTimer { token, after } => self.timers.set(now + after, token),
            Action::WatchEndpoints => self.watch_request.notify_one(),
            Action::Log(text) => info!(target: LOG_TARGET, decision = %text, "balancer decision"),
        }
    }

    /// Gives up an attempt, and has the balancer notified after the present event.
    fn cancel(&self, state: &mut State, now: Time, key: AttemptKey) {
        let end = self.cancel_attempt(state, now, key);
        state.events.extend(end.map(Event::AttemptEnded));
    }

    /// Gives up the attempts in flight of a request that is about to get its final answer, if they use the client:
    /// after the answer its next request does.
    fn cancel_attempts_using_client(&self, state: &mut State, now: Time, id: RequestId) {
        let uses_client = |request: &OpenRequest| request.exchange.attempt_uses_client();
        if !state.requests.get(&id).is_some_and(uses_client) {
            return;
        }
        for key in state.attempts_of(id) {
            self.cancel(state, now, key);
        }
    }

    /// Closes an attempt and notifies the balancer, unless the attempt is not in flight.
    pub(super) fn attempt_ended(self: &Rc<Self>, key: AttemptKey, outcome: Outcome) {
        let end = self.close_attempt(&mut self.state.borrow_mut(), key, outcome);
        if let Some(end) = end {
            self.handle_event(Event::AttemptEnded(end));
        }
    }

    /// Notifies the balancer of the progress of an answer. An answer that goes on is given to the front if no
    /// other attempt is in flight: its backend is alive.
    fn answer_progressed(self: &Rc<Self>, key: AttemptKey, progress: AnswerProgress) {
        let AttemptKey { request, attempt } = key;
        debug!(target: LOG_TARGET, request = request.0, attempt = attempt.0, ?progress, "answer progress");
        match progress {
            AnswerProgress::Paused => self.handle_event(Event::AnswerPaused { request, attempt }),
            AnswerProgress::Delivered => self.handle_event(Event::StreamStarted { request, attempt }),
            AnswerProgress::Resumed => {
                self.handle_event(Event::AnswerResumed { request, attempt });
                let state = self.state.borrow();
                if let (1, Some(open)) = (state.attempts_of(request).len(), state.attempts.get(&key)) {
                    open.early_answer.request();
                }
            }
        }
    }

    /// Cancels the attempts still in flight of a request that is over, as the balancer may be configured not to
    /// cancel.
    pub(super) fn cancel_orphaned_attempts(self: &Rc<Self>, request: RequestId) {
        let orphaned = self.state.borrow().orphaned_attempts(request);
        for key in orphaned {
            self.attempt_ended(key, Outcome::Cancelled);
        }
    }
}
