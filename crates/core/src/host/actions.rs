//! The module's events and actions: each event is decided, and what comes out of it carried out, before the next.

use super::state::{Answer, State};
use super::{Host, LOG_TARGET};
use lotusdeck_policy::{Action, AttemptNo, Event, Outcome, RequestId, Time};
use std::rc::Rc;
use tracing::info;

impl Host {
    /// Passes an event on, and all that follows from it.
    pub(super) fn handle_event(self: &Rc<Self>, event: Event) {
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        s.events.push_back(event);
        while let Some(event) = s.events.pop_front() {
            let now = self.clock.now();
            s.balancer.handle(now, event, &mut s.actions);
            let mut actions = std::mem::take(&mut s.actions);
            actions.drain(..).for_each(|action| self.carry_out(s, now, action));
            s.actions = actions;
        }
    }

    fn carry_out(self: &Rc<Self>, s: &mut State, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend } => {
                self.dispatch(s, now, request, backend, Host::attempt_ended);
            }
            Action::Reject { request, retry_after } => self.reject(s, request, retry_after),
            Action::Fail { request } => {
                s.counts.failed += 1;
                self.finish(s, request, Answer::Failed);
            }
            Action::Cancel { request, attempt } => {
                let end = self.cancel_attempt(s, now, request, attempt);
                s.events.extend(end.map(Event::AttemptEnded));
            }
            Action::SetTimer { token, after } => self.timers.set(now + after, token),
            Action::WatchEndpoints => self.watch_request.notify_one(),
            Action::Log(text) => info!(target: LOG_TARGET, module = %text, "decided"),
        }
    }

    /// Closes an attempt and tells the module; nothing where it is not out.
    pub(super) fn attempt_ended(self: &Rc<Self>, id: RequestId, attempt: AttemptNo, outcome: Outcome) {
        let end = self.close_attempt(&mut self.state.borrow_mut(), id, attempt, outcome);
        if let Some(end) = end {
            self.handle_event(Event::AttemptEnded(end));
        }
    }

    /// For a module that may not cancel: nothing goes on for a request that is over.
    pub(super) fn drop_attempts(self: &Rc<Self>, id: RequestId) {
        let left = self.state.borrow().attempts_left(id);
        left.into_iter().for_each(|attempt| self.attempt_ended(id, attempt, Outcome::Cancelled));
    }
}
