//! Textbook policies, to compare with the decision module on the same arrivals and troubles. They keep the rules
//! on retries and draining, and take no account of warm-up, other proxies or worth.

use super::policy::{GlobalView, Policy};
use crate::world::rng::Rng;
use lotusdeck_policy::*;
use std::collections::{BTreeMap, HashMap};

/// Weight of the newest latency in the peak-EWMA when it is lower than the average.
const EWMA_WEIGHT: f64 = 0.1;
/// Latency, in seconds, assumed for a backend without any measurement; also the least one that counts.
const MIN_LATENCY_S: f64 = 0.01;

/// How a policy chooses a backend.
pub(super) enum Choice {
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    PeakEwma,
    /// At random in proportion to these weights, indexed by backend.
    Weighted(Vec<f64>),
    Oracle,
}

#[derive(Default)]
struct Peer {
    held: u32,
    ewma: f64,
}

struct OpenRequest {
    class: usize,
    tried: Vec<(BackendId, Time, bool)>,
    /// Whether an ended attempt may have run.
    ran: bool,
}

/// The baseline policy of one proxy.
pub(super) struct BaselinePolicy {
    choice: Choice,
    config: Config,
    rng: Rng,
    ready: Vec<BackendId>,
    listed: BTreeMap<BackendId, bool>,
    cordoned: Vec<BackendId>,
    peers: HashMap<BackendId, Peer>,
    open: HashMap<RequestId, OpenRequest>,
    turn: usize,
}

impl BaselinePolicy {
    /// Creates a policy with an empty list of backends.
    pub(super) fn new(choice: Choice, config: Config, seed: u64) -> BaselinePolicy {
        let rng = Rng::new(seed, "rival");
        let (ready, listed, cordoned) = (Vec::new(), BTreeMap::new(), Vec::new());
        let (peers, open) = (HashMap::new(), HashMap::new());
        BaselinePolicy { choice, config, rng, ready, listed, cordoned, peers, open, turn: 0 }
    }

    fn update_ready(&mut self) {
        let allowed =
            |(id, ready): (&BackendId, &bool)| (*ready && !self.cordoned.contains(id)).then_some(*id);
        self.ready = self.listed.iter().filter_map(allowed).collect();
    }

    fn choose_backend(&mut self, tried: &[BackendId], global_view: GlobalView) -> Option<BackendId> {
        let fresh: Vec<BackendId>;
        let from: &[BackendId] = if tried.is_empty() {
            &self.ready
        } else {
            fresh = self.ready.iter().copied().filter(|b| !tried.contains(b)).collect();
            &fresh
        };
        if from.is_empty() {
            return None;
        }
        let held = |b: &BackendId| self.peers.get(b).map_or(0, |p| p.held);
        let cost = |b: &BackendId| {
            let peer = self.peers.get(b);
            peer.map_or(MIN_LATENCY_S, |peer| peer.ewma.max(MIN_LATENCY_S) * f64::from(peer.held + 1))
        };
        let rng = &mut self.rng;
        let two = [from[rng.below(from.len())], from[rng.below(from.len())]];
        Some(match &self.choice {
            Choice::Random => two[0],
            Choice::RoundRobin => {
                self.turn += 1;
                from[self.turn % from.len()]
            }
            Choice::LeastOutstanding => {
                // Ties are broken at random, or all proxies would choose the same backend.
                let start = self.rng.below(from.len());
                let order = (0..from.len()).map(|i| from[(start + i) % from.len()]);
                order.min_by_key(held)?
            }
            Choice::TwoChoices => {
                if held(&two[1]) < held(&two[0]) {
                    two[1]
                } else {
                    two[0]
                }
            }
            Choice::PeakEwma => {
                if cost(&two[1]) < cost(&two[0]) {
                    two[1]
                } else {
                    two[0]
                }
            }
            Choice::Weighted(weights) => {
                let candidate_weights: Vec<f64> =
                    from.iter().map(|b| weights.get(b.0 as usize).copied().unwrap_or(0.0)).collect();
                from[self.rng.weighted(&candidate_weights)]
            }
            Choice::Oracle => {
                let load = |b: &BackendId| global_view.get(b.0 as usize).copied().unwrap_or(f64::INFINITY);
                *from.iter().min_by(|a, b| load(a).total_cmp(&load(b)))?
            }
        })
    }

    /// Sends a request to a backend not tried yet, or ends it where no attempt is allowed or no such backend is
    /// left.
    fn send(&mut self, now: Time, id: RequestId, global_view: GlobalView, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let free = matches!(self.config.classes[open.class].side_effects, SideEffects::None);
        let tried: Vec<BackendId> = open.tried.iter().map(|t| t.0).collect();
        let allowed = (free || !open.ran) && tried.len() < self.config.attempts.max_attempts as usize;
        let harmless = free || !open.ran;
        match if allowed { self.choose_backend(&tried, global_view) } else { None } {
            Some(backend) => {
                self.peers.entry(backend).or_default().held += 1;
                if let Some(open) = self.open.get_mut(&id) {
                    open.tried.push((backend, now, true));
                }
                actions.push(Action::Dispatch { request: id, backend });
            }
            None => {
                self.open.remove(&id);
                let retry_after = Micros(100_000);
                let refuse = Action::Reject { request: id, retry_after };
                actions.push(if harmless { refuse } else { Action::Fail { request: id } });
            }
        }
    }

    fn release(&mut self, backend: BackendId, latency: Option<f64>) {
        let peer = self.peers.entry(backend).or_default();
        peer.held = peer.held.saturating_sub(1);
        if let Some(latency) = latency {
            let smoothed = peer.ewma + (latency - peer.ewma) * EWMA_WEIGHT;
            peer.ewma = if latency > peer.ewma { latency } else { smoothed };
        }
    }
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, now: Time, event: Event, global_view: GlobalView, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { update, backends } => {
                if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
                    self.listed.clear();
                }
                self.listed.extend(backends.iter().map(|b| (b.id, b.state == BackendState::Ready)));
                self.update_ready();
            }
            Event::Cordoned { backends } => {
                self.cordoned = backends;
                self.update_ready();
            }
            Event::ConfigApplied { config, .. } => self.config = *config,
            Event::Request(a) => {
                self.open.insert(a.request, OpenRequest { class: a.class.0, tried: Vec::new(), ran: false });
                self.send(now, a.request, global_view, actions);
            }
            Event::AttemptEnded(end) => {
                let Some(open) = self.open.get_mut(&end.request) else { return };
                let Some(sent) = open.tried.get_mut(end.attempt.0 as usize).filter(|t| t.2) else { return };
                sent.2 = false;
                let backend = sent.0;
                open.ran |= !end.outcome.never_ran();
                let over = end.request_answered || end.outcome == Outcome::Success;
                self.release(backend, (end.outcome != Outcome::NeverSent).then(|| end.latency.secs()));
                if over {
                    self.open.remove(&end.request);
                } else if end.outcome == Outcome::TimedOut {
                    self.open.remove(&end.request);
                    actions.push(Action::Fail { request: end.request });
                } else {
                    self.send(now, end.request, global_view, actions);
                }
            }
            Event::ClientDisconnected { request } => {
                let Some(open) = self.open.remove(&request) else { return };
                for (no, (backend, _, out)) in open.tried.iter().enumerate() {
                    if *out {
                        self.release(*backend, None);
                        actions.push(Action::Cancel { request, attempt: AttemptNo(no as u32) });
                    }
                }
            }
            Event::ProcessCount { .. }
            | Event::Restored(_)
            | Event::FleetLoad { .. }
            | Event::BodyReceived { .. }
            | Event::AnswerPaused { .. }
            | Event::AnswerResumed { .. }
            | Event::StreamStarted { .. }
            | Event::Timer { .. } => {}
        }
    }

    fn uses_global_view(&self) -> bool {
        matches!(self.choice, Choice::Oracle)
    }
}
