//! What a policy in a run in virtual time has to do: the real decision module is one, textbook policies are others.

use lotusdeck_policy::{Action, Balancer, Event, Time};

/// What a policy that sees everything may look at: for each backend the seconds of work that it holds, over its
/// present speed; infinite where it serves nothing.
pub type GlobalView<'a> = &'a [f64];

/// One proxy's decisions.
pub trait Policy {
    /// Takes one event and adds the actions it calls for.
    fn handle(&mut self, now: Time, event: Event, global_view: GlobalView, actions: &mut Vec<Action>);
    /// It looks at the sight: reckoning that costs a walk over the fleet.
    fn sees(&self) -> bool {
        false
    }
}

impl Policy for Balancer {
    fn handle(&mut self, now: Time, event: Event, _: GlobalView, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}
