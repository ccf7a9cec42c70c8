//! Proxies tell each other how many attempts they have out.

use super::event::Event;
use super::Simulation;
use lotusdeck_policy::Micros;

impl Simulation<'_> {
    /// Every proxy is told what the others had out some rounds ago.
    pub(super) fn gossip(&mut self) {
        let talk = &self.plan.experiment.talk;
        let every = Micros::from_secs(talk.every_ms / 1e3);
        let rounds_late = (talk.lag_ms / talk.every_ms).ceil() as usize;
        let out = self.proxies.iter().map(|proxy| proxy.out() as f64).collect();
        self.gossip.push_back(out);
        if self.gossip.len() > rounds_late {
            let told = self.gossip.pop_front().unwrap_or_default();
            self.tell_others(&told);
        }
        if self.now < self.plan.end() {
            self.after(every, Event::Gossip);
        }
    }

    /// Tells each proxy that is alive the sum of what the others had out.
    fn tell_others(&mut self, out: &[f64]) {
        let all: f64 = out.iter().sum();
        for (proxy, own) in out.iter().enumerate() {
            if self.proxies[proxy].alive() {
                self.proxies[proxy].push(lotusdeck_policy::Event::FleetLoad { in_flight: all - own });
                self.pump(proxy);
            }
        }
    }
}
