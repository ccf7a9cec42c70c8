//! The host of the decision module: it alone owns the module and all open requests and attempts. Events go into the
//! module one at a time, and the actions that come out of it are carried out at once.
//!
//! `state` is what is owned; `answers` gives the one final answer to a request; `attempts` sends attempts and closes
//! them; `actions` passes events to the module and carries its actions out. `request` and `membership` turn what fronts,
//! clients and lists bring into events, and `report` tells what is known. Each uses only those named before it.

mod actions;
mod answers;
mod attempts;
mod membership;
mod report;
mod request;
mod state;
#[cfg(test)]
mod tests;

pub use state::Answer;

use crate::cordon::Cordon;
use crate::estimates;
use crate::exchange::ConnectionPools;
use crate::fleet_limits::FleetLimiter;
use crate::id_usage::{IdGuard, IdUsage};
use crate::journal::Journal;
use crate::settings_change::{ActiveSettings, Outdated, PreparedSettings};
use crate::timers::Timers;
use crate::Clock;
use lotusdeck_policy::settings::Settings;
use lotusdeck_policy::{Balancer, ClassId, Event, Micros, TenantId};
use lotusdeck_state::Estimates;
use state::State;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;
use tracing::info;

/// What log lines of the host bear as their target, whichever of its modules writes them: operators filter by it.
const LOG_TARGET: &str = "lotusdeck_core::host";
/// Kept of the client's time for the answer's way back, on top of how late timers were seen to fire.
const MARGIN: Micros = Micros(3_000);
/// Kept of the client's time at most, however late timers fire: a busy process must not take the shortest deadlines
/// for itself.
const MOST_MARGIN: Micros = Micros(20_000);

/// What stands beside the module, where there is any of it.
#[derive(Clone, Default)]
pub struct OptionalServices {
    /// The journal of requests that must never run twice.
    pub journal: Option<Rc<dyn Journal>>,
    /// Limits that hold for more than this process.
    pub fleet_limiter: Option<Rc<dyn FleetLimiter>>,
}

/// Owns the module and all requests that are open. Fronts bring requests and wait for the one answer to each.
pub struct Host {
    state: RefCell<State>,
    /// The module's time.
    pub clock: Clock,
    /// The connections of all protocols.
    pools: Vec<Rc<dyn ConnectionPools>>,
    cordon: Cordon,
    services: OptionalServices,
    timers: Timers,
    /// Woken when the module asks discovery for changes.
    watch_request: Notify,
    /// Numbers of classes and tenants that requests being read speak of.
    id_usage: IdUsage,
}

impl Host {
    /// A host that has taken no request yet; `lines` are those of all protocols.
    pub fn new(
        balancer: Balancer, settings: Settings, clock: Clock, lines: Vec<Rc<dyn ConnectionPools>>,
        cordon: Cordon, services: OptionalServices,
    ) -> Rc<Host> {
        Rc::new(Host {
            state: RefCell::new(State::new(balancer, settings)),
            clock,
            pools: lines,
            cordon,
            services,
            timers: Timers::default(),
            watch_request: Notify::new(),
            id_usage: IdUsage::default(),
        })
    }

    /// The generation of settings under which a request that comes now is taken.
    pub fn settings(&self) -> Arc<Settings> {
        self.state.borrow().settings.clone()
    }

    /// What new settings are merged with, on another thread.
    pub fn active_settings(&self) -> ActiveSettings {
        let s = self.state.borrow();
        let mut pinned = self.id_usage.ids_in_use();
        pinned.classes.extend(s.balancer.classes_in_use());
        ActiveSettings { settings: s.settings.clone(), names: s.names.clone(), in_use: pinned }
    }

    /// Takes new settings, all at once and in a time that does not grow with their names but for what the module
    /// keeps by number; what changed, in words.
    ///
    /// # Errors
    /// They were merged with others than those in force.
    pub fn apply_settings(self: &Rc<Self>, new: PreparedSettings) -> Result<String, Outdated> {
        {
            let mut s = self.state.borrow_mut();
            if !s.names.is_same_revision(&new.merged_with) {
                return Err(Outdated);
            }
            self.pools.iter().for_each(|lines| lines.apply_settings(&new.settings.network));
            s.generation += 1;
            s.names = new.settings.names.clone();
            s.settings = new.settings;
        }
        self.handle_event(Event::ConfigApplied { config: new.config, reassigned: new.reassigned });
        Ok(new.difference)
    }

    /// A request that is read speaks of these numbers, found in [`Host::settings`] at this moment: they keep their
    /// meaning until the pin is dropped, whatever settings come meanwhile.
    pub fn hold_ids(&self, class: ClassId, tenant: Option<TenantId>) -> IdGuard {
        self.id_usage.reserve(class, tenant)
    }

    /// What is held back of a client's time.
    pub fn reply_margin(&self) -> Micros {
        Micros((MARGIN.0 + self.timers.lag().0).min(MOST_MARGIN.0))
    }

    /// Another process serves beside this one, or does no more.
    pub fn set_other_process(self: &Rc<Self>, with_another: bool) {
        info!(processes = 1 + u32::from(with_another), "processes of this proxy");
        self.services.fleet_limiter.iter().for_each(|gate| gate.set_other_process(with_another));
        self.handle_event(Event::ProcessCount { count: 1 + u32::from(with_another) });
    }

    /// What was learned so far, by names; `None` where no request came since the last call.
    pub fn export_estimates(&self) -> Option<Estimates> {
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        let any_request = std::mem::replace(&mut s.exported_up_to, s.last_request) != s.last_request;
        any_request.then(|| estimates::by_name(&s.balancer.snapshot(self.clock.now()), &s.names, &s.registry))
    }

    /// Takes back what was learned before the process began; after the first list, whose names it speaks of.
    pub fn restore_estimates(self: &Rc<Self>, learned: &Estimates) {
        let memory = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            estimates::by_id(learned, &mut s.names, &s.registry)
        };
        self.handle_event(Event::Restored(Box::new(memory)));
    }

    /// Attempts that are out.
    pub fn attempts_in_flight(&self) -> usize {
        self.state.borrow().attempts.len()
    }

    /// What the other proxies told that they hold together.
    pub fn set_fleet_load(self: &Rc<Self>, held: f64) {
        self.handle_event(Event::FleetLoad { in_flight: held });
    }

    /// Until the module asks discovery for changes.
    pub async fn watch_requested(&self) {
        self.watch_request.notified().await;
    }

    /// Fires the module's timers for as long as the program runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            match self.timers.next_due() {
                None => self.timers.earlier_timer_set().await,
                Some(at) => {
                    let due = tokio::time::sleep_until(self.clock.instant(at));
                    tokio::select! {
                        _ = due => self.fire(),
                        _ = self.timers.earlier_timer_set() => {}
                    }
                }
            }
        }
    }

    fn fire(self: &Rc<Self>) {
        while let Some(token) = self.timers.take_due(self.clock.now()) {
            self.handle_event(Event::Timer { token });
        }
    }
}
