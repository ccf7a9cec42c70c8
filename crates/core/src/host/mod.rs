//! The host of the balancer, the sole owner of the balancer and of all open requests and attempts. Events are
//! handled one at a time, and the actions that the balancer decides on are carried out immediately.
//!
//! `state` holds the data; `answers` gives a request its final answer; `attempts` sends attempts and closes them;
//! `actions` passes events to the balancer and carries out its actions. `request`, `membership` and `settings` turn
//! input from fronts, clients, endpoint lists and operators into events, and `report` describes the current state.
//! Each module uses only those named before it.

mod actions;
mod answers;
mod attempts;
mod membership;
mod report;
mod request;
mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use state::Answer;

use crate::cordon::Cordon;
use crate::estimates;
use crate::exchange::ConnectionPools;
use crate::fleet_limits::FleetLimiter;
use crate::id_usage::IdUsage;
use crate::journal::Journal;
use crate::timers::Timers;
use crate::Clock;
use lotusdeck_policy::settings::Settings;
use lotusdeck_policy::{Balancer, Event, Micros};
use lotusdeck_state::Estimates;
use state::State;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::info;

/// The target of the host's log lines, the same for all of its modules, as operators filter by it.
const LOG_TARGET: &str = "lotusdeck_core::host";
/// Part of the client's time that is reserved for returning the answer, in addition to the lag of timers, µs.
const REPLY_MARGIN: Micros = Micros(3_000);
/// Upper limit of the reserved time, µs, regardless of how late timers fire: a busy process must not use up the
/// shortest deadlines.
const MAX_REPLY_MARGIN: Micros = Micros(20_000);

/// The services that the host uses if they are configured.
#[derive(Clone, Default)]
pub struct OptionalServices {
    /// The journal of non-idempotent requests.
    pub journal: Option<Rc<dyn Journal>>,
    /// The limits that the whole fleet shares.
    pub fleet_limiter: Option<Rc<dyn FleetLimiter>>,
}

/// Owns the balancer and all open requests. Fronts submit requests and wait for the one final answer to each.
pub struct Host {
    state: RefCell<State>,
    /// The clock of the balancer's events.
    pub clock: Clock,
    /// The connections of each protocol.
    pools: Vec<Rc<dyn ConnectionPools>>,
    cordon: Cordon,
    services: OptionalServices,
    timers: Timers,
    /// Notified when the balancer requests a watch of the endpoint list.
    watch_request: Notify,
    /// The ids of classes and tenants that requests use from the reading of their heads on.
    id_usage: IdUsage,
}

impl Host {
    /// Creates a host without backends or requests; `pools` are the connections of each protocol.
    pub fn new(
        balancer: Balancer, settings: Settings, clock: Clock, pools: Vec<Rc<dyn ConnectionPools>>,
        cordon: Cordon, services: OptionalServices,
    ) -> Rc<Host> {
        Rc::new(Host {
            state: RefCell::new(State::new(balancer, settings)),
            clock,
            pools,
            cordon,
            services,
            timers: Timers::default(),
            watch_request: Notify::new(),
            id_usage: IdUsage::default(),
        })
    }

    /// Returns the part of a client's time that is reserved for returning its answer.
    pub fn reply_margin(&self) -> Micros {
        Micros((REPLY_MARGIN.0 + self.timers.lag().0).min(MAX_REPLY_MARGIN.0))
    }

    /// Sets whether a second process serves for this proxy, as during an upgrade.
    pub fn set_other_process(self: &Rc<Self>, is_running: bool) {
        let processes = 1 + u32::from(is_running);
        info!(target: LOG_TARGET, processes, "processes of this proxy");
        if let Some(limiter) = &self.services.fleet_limiter {
            limiter.set_other_process(is_running);
        }
        self.handle_event(Event::ProcessCount { count: processes });
    }

    /// Returns the balancer's estimates by names; `None` if no request has arrived since the last call.
    pub fn export_estimates(&self) -> Option<Estimates> {
        let mut state = self.state.borrow_mut();
        let exported_up_to = state.exported_up_to;
        state.exported_up_to = state.last_request;
        if exported_up_to == state.last_request {
            return None;
        }
        let snapshot = state.balancer.snapshot(self.clock.now());
        Some(estimates::by_name(&snapshot, &state.active.names, &state.registry))
    }

    /// Restores the estimates of an earlier process. Must be called after the first endpoint list is applied, as the
    /// estimates refer to backends by name.
    pub fn restore_estimates(self: &Rc<Self>, estimates: &Estimates) {
        let snapshot = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            estimates::by_id(estimates, &mut state.active.names, &state.registry)
        };
        self.handle_event(Event::Restored(Box::new(snapshot)));
    }

    /// Returns the number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.state.borrow().attempts.len()
    }

    /// Sets the number of attempts in flight that the other proxies report in total.
    pub fn set_fleet_load(self: &Rc<Self>, in_flight: f64) {
        self.handle_event(Event::FleetLoad { in_flight });
    }

    /// Waits until the balancer requests a watch of the endpoint list.
    pub async fn watch_requested(&self) {
        self.watch_request.notified().await;
    }

    /// Discards a watch request that the balancer made before now; [`Host::watch_requested`] waits for the next one.
    pub fn discard_watch_request(&self) {
        pin!(self.watch_request.notified()).as_mut().enable();
    }

    /// Fires the balancer's timers when they are due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let Some(due_at) = self.timers.next_due() else {
                self.timers.earlier_timer_set().await;
                continue;
            };
            let due = tokio::time::sleep_until(self.clock.instant(due_at));
            tokio::select! {
                () = due => self.fire_due_timers(),
                () = self.timers.earlier_timer_set() => {}
            }
        }
    }

    fn fire_due_timers(self: &Rc<Self>) {
        while let Some(token) = self.timers.take_due(self.clock.now()) {
            self.handle_event(Event::Timer { token });
        }
    }
}
