//! Clients: they ask, wait, leave, and try again.

use super::event::Event;
use super::{Simulation, ONE_WAY};
use crate::experiment::Effect;
use crate::record::{Observation, TryId, LISTEN_ON};
use lotusdeck_policy::{Micros, RequestId, Time};

/// Kept of a client's time for the answer's way back, as the proxy does (`MARGIN` of the core's host).
const MARGIN: Micros = Micros(3_000);

/// A client whose try is at a proxy or on its way there.
pub(super) struct WaitingClient {
    proxy: usize,
    /// The life of the proxy that took the request, and its number there.
    request: Option<(u32, RequestId)>,
}

impl Simulation<'_> {
    /// Lets an arrival of the plan happen, if there is one of that number.
    pub(super) fn next_arrival(&mut self, number: usize) {
        if let Some(arrival) = self.plan.arrivals.get(number) {
            self.at(arrival.at, Event::Ask(TryId { arrival: number as u32, no: 0 }));
        }
    }

    /// A try is due; the first of an arrival calls the next arrival.
    pub(super) fn ask_due(&mut self, id: TryId) {
        if id.no == 0 {
            self.next_arrival(id.arrival as usize + 1);
        }
        self.ask(id);
    }

    fn ask(&mut self, id: TryId) {
        let arrival = &self.plan.arrivals[id.arrival as usize];
        let class = &self.plan.experiment.class[arrival.class];
        let deadline = arrival.at + Micros::from_secs(class.deadline_ms / 1e3);
        let leaves = (arrival.at + arrival.patience).min(deadline);
        let (shunned, now) = (&self.shunned, self.now);
        let proxy = self.deal.next(|proxy| shunned[proxy] > now);
        if !self.proxies[proxy].alive() {
            self.unreached(id, proxy);
            return;
        }
        self.record(Observation::Asked { id, proxy, left: (deadline - self.now).0 });
        self.waiting.insert(id, WaitingClient { proxy, request: None });
        let life = self.proxies[proxy].life();
        self.after(ONE_WAY, Event::AtProxy { id, proxy, life, deadline });
        let until = if leaves < deadline { leaves } else { deadline + LISTEN_ON };
        self.at(until, Event::Leave(id));
    }

    /// No connection to the proxy comes up: clients shun it for a while.
    fn unreached(&mut self, id: TryId, proxy: usize) {
        let shun = Micros::from_secs(self.plan.experiment.clients.shun_ms / 1e3);
        self.shunned[proxy] = self.now + shun;
        self.record(Observation::Unreached { id, proxy });
        self.retry(id, true, None);
    }

    /// A try has reached its proxy.
    pub(super) fn arrive(&mut self, id: TryId, proxy: usize, life: u32, deadline: Time) {
        if !self.lives(proxy, life) {
            self.after(ONE_WAY, Event::Broke(id));
            return;
        }
        let Some(waiting) = self.waiting.get_mut(&id) else { return };
        let class = self.plan.arrivals[id.arrival as usize].class;
        let left = Micros((deadline - self.now).0.saturating_sub(MARGIN.0));
        let request = self.proxies[proxy].take(id, class, left, id.no > 0);
        waiting.request = Some((life, request));
        self.after(left, Event::Deadline { proxy, life, request });
        self.pump(proxy);
    }

    /// An answer has reached its client, if that still waits.
    pub(super) fn answered(&mut self, id: TryId, status: u16, retry_after: Option<f64>) {
        if self.waiting.remove(&id).is_none() {
            return;
        }
        let served = status == 200;
        self.record(Observation::Answered { id, status, retry_after, own: served });
        if !served {
            self.retry(id, matches!(status, 429 | 503), retry_after);
        }
    }

    /// The connection broke under a client, if that still waits.
    pub(super) fn broke(&mut self, id: TryId) {
        if self.waiting.remove(&id).is_some() {
            self.record(Observation::Broke { id, reused: false, begun: false });
            self.retry(id, false, None);
        }
    }

    /// A client leaves, if it still waits.
    pub(super) fn leave(&mut self, id: TryId) {
        let Some(waiting) = self.waiting.remove(&id) else { return };
        self.record(Observation::Left { id });
        let Some((life, request)) = waiting.request else { return };
        if self.lives(waiting.proxy, life) {
            self.proxies[waiting.proxy].client_gone(request);
            self.pump(waiting.proxy);
        }
    }

    /// A further try after one that was not served, where the client makes one: the class or the answer says that it
    /// does no harm, and there is time.
    fn retry(&mut self, id: TryId, harmless: bool, retry_after: Option<f64>) {
        let arrival = &self.plan.arrivals[id.arrival as usize];
        let habits = &self.plan.experiment.clients;
        let harmless = harmless || self.plan.experiment.class[arrival.class].effect == Effect::Free;
        let pause = retry_after.unwrap_or(habits.pause_ms / 1e3);
        let at = self.now + Micros::from_secs(pause);
        if harmless && id.no + 1 < habits.tries && at < arrival.at + arrival.patience {
            self.at(at, Event::Ask(TryId { no: id.no + 1, ..id }));
        }
    }
}
