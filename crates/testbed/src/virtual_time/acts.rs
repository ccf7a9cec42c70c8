//! Acts of the plan: what happens to backends, discovery and proxies.

use super::event::Event;
use super::proxy::Proxy;
use super::{Simulation, VirtualError, ONE_WAY};
use crate::driver::run::describe_act;
use crate::record::{Observation, ProxyEvent};
use crate::world::backend::Health;
use crate::world::discovery::Status;
use crate::world::plan::Act;
use lotusdeck_policy::{BackendId, ListUpdate, Micros};

impl Simulation<'_> {
    /// Carries out the act of the plan with this index.
    ///
    /// # Errors
    /// When the decision module of a started proxy rejects its settings.
    pub(super) fn act(&mut self, number: usize) -> Result<(), VirtualError> {
        let plan = self.plan;
        let act = &plan.acts[number].1;
        self.record(Observation::Act { text: describe_act(plan, act) });
        match act {
            Act::Kill(which) => self.kill(which, false),
            Act::Remove(which) => self.kill(which, true),
            Act::Drain(which) => self.set_status(which, Health::Draining, Status::Draining),
            Act::Start(which) => self.set_status(which, Health::Up, Status::Serving),
            Act::Slow(which, factor) => self.slow(which, *factor),
            Act::SharedSlow(factor) => self.slow_shared(*factor),
            Act::Hang(which, silent) => self.hang(which, *silent),
            Act::DiscoveryDown(down) => self.discovery_down(*down),
            Act::DiscoveryLag(factor) => {
                self.discovery.lag = Micros::from_secs(plan.experiment.discovery.lag_ms / 1e3 * factor);
            }
            Act::Cordon(which, out) => self.cordon(which, *out),
            // A stop in order is played like a kill: the draining of sockets is not modelled, and what matters to
            // decisions is that the next process starts without knowledge.
            Act::KillProxy(proxy) | Act::StopProxy(proxy) => self.kill_proxy(*proxy),
            Act::StartProxy(proxy) => self.start_proxy(*proxy)?,
            Act::Reload(_) => {} // the settings are the same, so nothing changes
        }
        self.schedule_list_change();
        Ok(())
    }

    /// Ends the processes of backends; with `removed`, also removes them from the list.
    fn kill(&mut self, which: &[usize], removed: bool) {
        for &backend in which {
            self.end_finished_attempts(backend);
            self.backends[backend].set_health(self.now, Health::Down);
            self.drop_held(backend);
            if removed {
                let booted = self.backends[backend].booted;
                self.discovery.change(self.now, backend, Status::Deleted, booted);
            }
        }
        self.schedule_all(which);
    }

    /// Changes the health of backends and their status in the list.
    fn set_status(&mut self, which: &[usize], health: Health, status: Status) {
        for &backend in which {
            self.end_finished_attempts(backend);
            self.backends[backend].set_health(self.now, health);
            let booted = self.backends[backend].booted;
            self.discovery.change(self.now, backend, status, booted);
        }
        self.schedule_all(which);
    }

    /// Slows backends to that part of their speed.
    fn slow(&mut self, which: &[usize], factor: f64) {
        for &backend in which {
            self.end_finished_attempts(backend);
            self.backends[backend].slow(self.now, factor);
        }
        self.schedule_all(which);
    }

    /// Slows all backends to that part of their speed, as a shared dependency does.
    fn slow_shared(&mut self, factor: f64) {
        let all: Vec<usize> = (0..self.backends.len()).collect();
        for &backend in &all {
            self.end_finished_attempts(backend);
            self.backends[backend].slow_shared(self.now, factor);
        }
        self.schedule_all(&all);
    }

    /// Hangs machines, or brings them back without the requests they held.
    fn hang(&mut self, which: &[usize], silent: bool) {
        let health = if silent { Health::Hung } else { Health::Up };
        for &backend in which {
            self.end_finished_attempts(backend);
            self.backends[backend].set_health(self.now, health);
            if !silent {
                self.drop_held(backend);
            }
        }
        self.schedule_all(which);
    }

    /// Takes discovery down, or brings it back and answers all proxies.
    fn discovery_down(&mut self, down: bool) {
        self.discovery.down = down;
        if !down {
            self.answer_all_proxies();
        }
    }

    /// Cordons or uncordons backends at every proxy.
    fn cordon(&mut self, which: &[usize], out: bool) {
        let ids: Vec<BackendId> = which.iter().map(|backend| BackendId(*backend as u32)).collect();
        for proxy in 0..self.proxies.len() {
            self.proxies[proxy].cordon(&ids, out);
            for &backend in which {
                self.record(Observation::Cordoned { proxy, backend, out });
            }
            self.pump(proxy);
        }
    }

    /// Ends a proxy's process: its clients' connections break, and its attempts are withdrawn from the backends.
    fn kill_proxy(&mut self, proxy: usize) {
        self.record(Observation::Proxy { proxy, turn: ProxyEvent::Killed });
        let (clients, sent) = self.proxies[proxy].kill();
        for id in clients {
            self.after(ONE_WAY, Event::Broke(id));
        }
        for (backend, ticket) in sent {
            self.after(ONE_WAY, Event::Withdraw { backend, ticket });
        }
    }

    /// Starts a proxy again with the current list, as its platform hands it over.
    fn start_proxy(&mut self, proxy: usize) -> Result<(), VirtualError> {
        let generation = self.proxies[proxy].generation() + 1;
        self.proxies[proxy] =
            Proxy::new(proxy, &self.settings[proxy], self.plan, self.policy_choice, generation)?;
        self.record(Observation::Proxy { proxy, turn: ProxyEvent::Ready });
        self.send_list(proxy, ListUpdate::Cached);
        self.schedule_answer(proxy, self.plan.fleet.len()); // it also asks for the whole list, as at every start
        Ok(())
    }

    fn schedule_all(&mut self, which: &[usize]) {
        which.iter().for_each(|backend| self.schedule(*backend));
    }
}
