//! The plan's acts: what happens to backends, discovery and proxies.

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
    /// Carries out an act of the plan, by its number.
    ///
    /// # Errors
    /// The module of a proxy that is started does not take its settings.
    pub(super) fn act(&mut self, number: usize) -> Result<(), VirtualError> {
        let plan = self.plan;
        let act = &plan.acts[number].1;
        self.record(Observation::Act { text: describe_act(plan, act) });
        match act {
            Act::Kill(which) => self.kill(which, false),
            Act::Remove(which) => self.kill(which, true),
            Act::Drain(which) => self.turn(which, Health::Draining, Status::Draining),
            Act::Start(which) => self.turn(which, Health::Up, Status::Serving),
            Act::Slow(which, factor) => self.slow(which, *factor),
            Act::SharedSlow(factor) => self.slow_shared(*factor),
            Act::Hang(which, silent) => self.hang(which, *silent),
            Act::DiscoveryDown(down) => self.discovery_down(*down),
            Act::DiscoveryLag(factor) => {
                self.discovery.lag = Micros::from_secs(plan.experiment.discovery.lag_ms / 1e3 * factor);
            }
            Act::Cordon(which, out) => self.cordon(which, *out),
            // A stop in order is, for decisions, a start of one that knows nothing: sockets are not played here.
            Act::KillProxy(proxy) | Act::StopProxy(proxy) => self.kill_proxy(*proxy),
            Act::StartProxy(proxy) => self.start_proxy(*proxy)?,
            Act::Reload(_) => {} // the same settings again
        }
        self.follow_news();
        Ok(())
    }

    /// Backends die; `removed` ones leave the list at once.
    fn kill(&mut self, which: &[usize], removed: bool) {
        for &backend in which {
            self.settle(backend);
            self.backends[backend].turn(self.now, Health::Down);
            self.drop_held(backend);
            if removed {
                let booted = self.backends[backend].booted;
                self.discovery.change(self.now, backend, Status::Deleted, booted);
            }
        }
        self.schedule_all(which);
    }

    /// Backends drain or start, and the list says so.
    fn turn(&mut self, which: &[usize], health: Health, status: Status) {
        for &backend in which {
            self.settle(backend);
            self.backends[backend].turn(self.now, health);
            let booted = self.backends[backend].booted;
            self.discovery.change(self.now, backend, status, booted);
        }
        self.schedule_all(which);
    }

    /// Backends keep that part of their speed.
    fn slow(&mut self, which: &[usize], factor: f64) {
        for &backend in which {
            self.settle(backend);
            self.backends[backend].slow(self.now, factor);
        }
        self.schedule_all(which);
    }

    /// What all backends share keeps that part of its speed.
    fn slow_shared(&mut self, factor: f64) {
        let all: Vec<usize> = (0..self.backends.len()).collect();
        for &backend in &all {
            self.settle(backend);
            self.backends[backend].slow_shared(self.now, factor);
        }
        self.schedule_all(&all);
    }

    /// Machines go silent, or come back without what they held.
    fn hang(&mut self, which: &[usize], silent: bool) {
        let health = if silent { Health::Hung } else { Health::Up };
        for &backend in which {
            self.settle(backend);
            self.backends[backend].turn(self.now, health);
            if !silent {
                self.drop_held(backend);
            }
        }
        self.schedule_all(which);
    }

    /// Discovery answers no call, or does so again.
    fn discovery_down(&mut self, down: bool) {
        self.discovery.down = down;
        if !down {
            self.spread();
        }
    }

    /// Operators take backends out, or give them back, at every proxy.
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

    /// A proxy's process ends: its clients' connections break, and its attempts are given up.
    fn kill_proxy(&mut self, proxy: usize) {
        self.record(Observation::Proxy { proxy, turn: ProxyEvent::Killed });
        let (clients, sent) = self.proxies[proxy].die();
        for id in clients {
            self.after(ONE_WAY, Event::Broke(id));
        }
        for (backend, ticket) in sent {
            self.after(ONE_WAY, Event::Withdraw { backend, ticket });
        }
    }

    /// A proxy starts again, knowing the list that the platform hands it.
    fn start_proxy(&mut self, proxy: usize) -> Result<(), VirtualError> {
        let life = self.proxies[proxy].life() + 1;
        self.proxies[proxy] = Proxy::new(proxy, &self.settings[proxy], self.plan, self.which, life)?;
        self.record(Observation::Proxy { proxy, turn: ProxyEvent::Ready });
        self.list(proxy, ListUpdate::Cached);
        self.call(proxy, self.plan.fleet.len()); // it asks for the whole list, as everyone does at a start
        Ok(())
    }

    fn schedule_all(&mut self, which: &[usize]) {
        which.iter().for_each(|backend| self.schedule(*backend));
    }
}
