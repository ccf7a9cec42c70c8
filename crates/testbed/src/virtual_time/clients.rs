//! Clients: they send requests, wait, leave, and try again.

use super::event::Event;
use super::{Simulation, ONE_WAY};
use crate::experiment::Effect;
use crate::record::{Observation, TryId, LISTEN_ON};
use lotusdeck_policy::{Micros, RequestId, Time};

/// Part of a client's time that the proxy keeps for the way back of the answer (`MARGIN` of the core's host).
const MARGIN: Micros = Micros(3_000);

/// A client with a try at a proxy or on its way there.
pub(super) struct WaitingClient {
    proxy: usize,
    /// The generation of the proxy that took the request, and the request's id there.
    request: Option<(u32, RequestId)>,
}

impl Simulation<'_> {
    /// Schedules the arrival of the plan with this index, if there is one.
    pub(super) fn next_arrival(&mut self, number: usize) {
        if let Some(arrival) = self.plan.arrivals.get(number) {
            self.at(arrival.at, Event::Ask(TryId { arrival: number as u32, no: 0 }));
        }
    }

    /// Starts a try that is due; the first try of an arrival also schedules the next arrival.
    pub(super) fn send_due_try(&mut self, id: TryId) {
        if id.no == 0 {
            self.next_arrival(id.arrival as usize + 1);
        }
        self.send_try(id);
    }

    fn send_try(&mut self, id: TryId) {
        let arrival = &self.plan.arrivals[id.arrival as usize];
        let class = &self.plan.experiment.class[arrival.class];
        let deadline = arrival.at + Micros::from_secs(class.deadline_ms / 1e3);
        let leaves = (arrival.at + arrival.patience).min(deadline);
        let (shunned, now) = (&self.shunned, self.now);
        let proxy = self.dispatcher.next(|proxy| shunned[proxy] > now);
        if !self.proxies[proxy].alive() {
            self.proxy_unreached(id, proxy);
            return;
        }
        self.record(Observation::Asked { id, proxy, left: (deadline - self.now).0 });
        self.waiting.insert(id, WaitingClient { proxy, request: None });
        let generation = self.proxies[proxy].generation();
        self.after(ONE_WAY, Event::AtProxy { id, proxy, generation, deadline });
        let until = if leaves < deadline { leaves } else { deadline + LISTEN_ON };
        self.at(until, Event::Leave(id));
    }

    /// Handles a connection to a proxy that cannot be opened: clients avoid the proxy for a while.
    fn proxy_unreached(&mut self, id: TryId, proxy: usize) {
        let shun = Micros::from_secs(self.plan.experiment.clients.shun_ms / 1e3);
        self.shunned[proxy] = self.now + shun;
        self.record(Observation::Unreached { id, proxy });
        self.retry(id, true, None);
    }

    /// Handles the arrival of a try at its proxy.
    pub(super) fn arrive(&mut self, id: TryId, proxy: usize, generation: u32, deadline: Time) {
        if !self.is_current(proxy, generation) {
            self.after(ONE_WAY, Event::Broke(id));
            return;
        }
        let Some(waiting) = self.waiting.get_mut(&id) else { return };
        let class = self.plan.arrivals[id.arrival as usize].class;
        let left = Micros((deadline - self.now).0.saturating_sub(MARGIN.0));
        let request = self.proxies[proxy].submit(id, class, left, id.no > 0);
        waiting.request = Some((generation, request));
        self.after(left, Event::Deadline { proxy, generation, request });
        self.pump(proxy);
    }

    /// Handles an answer that has reached its client, if the client still waits.
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

    /// Handles a broken connection of a client that still waits.
    pub(super) fn broke(&mut self, id: TryId) {
        if self.waiting.remove(&id).is_some() {
            self.record(Observation::Broke { id, reused: false, begun: false });
            self.retry(id, false, None);
        }
    }

    /// Lets a client leave, if it still waits.
    pub(super) fn leave(&mut self, id: TryId) {
        let Some(waiting) = self.waiting.remove(&id) else { return };
        self.record(Observation::Left { id });
        let Some((generation, request)) = waiting.request else { return };
        if self.is_current(waiting.proxy, generation) {
            self.proxies[waiting.proxy].client_gone(request);
            self.pump(waiting.proxy);
        }
    }

    /// Schedules another try after one that was not served, if the class or the answer says that a repeat is
    /// harmless, a try is left and the client still has patience.
    fn retry(&mut self, id: TryId, harmless: bool, retry_after: Option<f64>) {
        let arrival = &self.plan.arrivals[id.arrival as usize];
        let client_settings = &self.plan.experiment.clients;
        let harmless = harmless || self.plan.experiment.class[arrival.class].effect == Effect::Free;
        let pause = retry_after.unwrap_or(client_settings.pause_ms / 1e3);
        let at = self.now + Micros::from_secs(pause);
        if harmless && id.no + 1 < client_settings.tries && at < arrival.at + arrival.patience {
            self.at(at, Event::Ask(TryId { no: id.no + 1, ..id }));
        }
    }
}
