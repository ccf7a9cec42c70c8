//! Gossip: proxies tell each other how many attempts they have in flight.

use super::event::Event;
use super::Simulation;
use lotusdeck_policy::Micros;

impl Simulation<'_> {
    /// Runs a round: sends each proxy what the others had in flight some rounds ago, and schedules the next round.
    pub(super) fn gossip(&mut self) {
        let settings = &self.plan.experiment.talk;
        let every = Micros::from_secs(settings.every_ms / 1e3);
        let rounds_late = (settings.lag_ms / settings.every_ms).ceil() as usize;
        let out = self.proxies.iter().map(|proxy| proxy.in_flight() as f64).collect();
        self.gossip.push_back(out);
        if self.gossip.len() > rounds_late {
            let sent = self.gossip.pop_front().unwrap_or_default();
            self.send_fleet_load(&sent);
        }
        if self.now < self.plan.end() {
            self.after(every, Event::Gossip);
        }
    }

    /// Sends each live proxy the number of attempts that all others had in flight.
    fn send_fleet_load(&mut self, out: &[f64]) {
        let all: f64 = out.iter().sum();
        for (proxy, in_flight) in out.iter().enumerate() {
            if self.proxies[proxy].alive() {
                self.proxies[proxy].push(lotusdeck_policy::Event::FleetLoad { in_flight: all - in_flight });
                self.pump(proxy);
            }
        }
    }
}
