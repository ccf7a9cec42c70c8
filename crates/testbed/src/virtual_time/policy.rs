//! The interface of policies in virtual time: the decision module and the textbook policies implement it.

use lotusdeck_policy::{Action, Balancer, Event, Time};

/// The true state of all backends, for policies that use it: for each backend the requests it holds plus one,
/// divided by its current speed; infinite where it serves nothing.
pub type GlobalView<'a> = &'a [f64];

/// The decisions of one proxy.
pub trait Policy {
    /// Handles one event and adds the resulting actions.
    fn handle(&mut self, now: Time, event: Event, global_view: GlobalView, actions: &mut Vec<Action>);
    /// Returns whether the policy uses the global view, which costs a pass over all backends to compute.
    fn uses_global_view(&self) -> bool {
        false
    }
}

impl Policy for Balancer {
    fn handle(&mut self, now: Time, event: Event, _: GlobalView, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}
