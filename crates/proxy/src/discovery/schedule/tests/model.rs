//! A simulation, in virtual time, of a discovery of fixed capacity and a fleet of proxies that poll it. The proxies
//! follow the schedule and the backoff of the policy.

use super::super::*;
use lotusdeck_policy::{
    Action, Balancer, Config, DiscoveryMode, Event, ListUpdate, Micros, Time, TimerToken,
};
use std::collections::VecDeque;

/// The time step of the simulation.
pub(super) const STEP: Duration = Duration::from_millis(10);
/// The time within which the settings require discovery to be polled.
pub(super) const POLL_WITHIN: Micros = Micros(9_000_000);

/// How a proxy handles a poll on which nothing is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Strategy {
    /// Gives the poll up after `SILENCE_TIMEOUT`, and opens the next one after a backoff.
    GiveUp,
    /// Keeps the poll in the queue while others are opened in parallel according to `schedule`.
    KeepTurn,
    /// Like `KeepTurn`, with the first polls of the fleet spread over the time that it takes to answer all of them.
    KeepTurnSpread,
}

/// How discovery mishandles a poll; the faults of a list apply to a proxy's polls in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Discovery never answers.
    Silent,
    /// Discovery answers 503 at once.
    Refused,
}

/// A discovery that handles polls in the order of their arrival.
#[derive(Clone, Debug)]
pub(super) struct Discovery {
    /// Time that one poll takes.
    pub service_time: Duration,
    /// Time in the queue after which a poll is answered 503.
    pub queue_timeout: Option<Duration>,
    /// Whether polls that were given up take as much time as others.
    pub serves_abandoned: bool,
    /// The faults on the first polls of each proxy.
    pub faults: Vec<Fault>,
}

/// The result of a run.
#[derive(Debug)]
pub(super) struct Outcome {
    /// How long after the start each proxy received the change, the earliest first.
    pub received_after: Vec<Duration>,
    pub longest_queue: usize,
    pub polls: usize,
}

impl Outcome {
    /// Returns when a share of the proxies had received the change; `None` if fewer ever did.
    pub(super) fn share_received_after(&self, proxies: usize, share: f64) -> Option<Duration> {
        let count = ((proxies as f64 * share).ceil() as usize).max(1);
        self.received_after.get(count - 1).copied()
    }
}

struct Poll {
    id: usize,
    progress: PollProgress,
}

struct Proxy {
    polls: Vec<Poll>,
    polls_opened: usize,
    last_opened_at: Instant,
    next_open_at: Option<Instant>,
    balancer: Balancer,
    has_change: bool,
}

enum Answer {
    List,
    Refused,
}

struct QueuedPoll {
    proxy: usize,
    id: usize,
    arrived_at: Instant,
}

impl Proxy {
    fn new(index: u32, count: u32, seed: u64, first_poll_at: Instant) -> Proxy {
        let discovery = DiscoveryMode::Subscribe { poll_within: POLL_WITHIN };
        let config = Config { proxy_count: count, proxy_index: index, discovery, ..Config::example() };
        Proxy {
            polls: Vec::new(),
            polls_opened: 0,
            last_opened_at: first_poll_at,
            next_open_at: Some(first_poll_at),
            balancer: Balancer::new(config, seed).unwrap(),
            has_change: false,
        }
    }

    /// Returns the policy's backoff before the next poll, for a failure at `elapsed` after the start.
    fn policy_backoff(&mut self, elapsed: Duration) -> Duration {
        let mut now = Time(1_000_000_000 + elapsed.as_micros() as u64);
        let failed_at = now;
        let mut event = Event::EndpointsUpdated { update: ListUpdate::Failed, backends: Vec::new() };
        loop {
            let mut actions = Vec::new();
            self.balancer.handle(now, event, &mut actions);
            if actions.contains(&Action::WatchEndpoints) {
                return Duration::from_micros((now - failed_at).0);
            }
            let (token, after) = find_timer(&actions);
            now = now + after;
            event = Event::Timer { token };
        }
    }

    fn progress(&self) -> Vec<PollProgress> {
        self.polls.iter().map(|poll| poll.progress).collect()
    }

    fn has_poll(&self, id: usize) -> bool {
        self.polls.iter().any(|poll| poll.id == id)
    }

    fn remove_poll(&mut self, id: usize) {
        self.polls.retain(|poll| poll.id != id);
    }
}

fn find_timer(actions: &[Action]) -> (TimerToken, Micros) {
    let timer = actions.iter().find_map(|action| match action {
        Action::SetTimer { token, after } => Some((*token, *after)),
        _ => None,
    });
    timer.expect("a failed poll is followed by another")
}

/// A fleet of proxies that all begin to poll discovery, which has a change for them from the start.
pub(super) struct Fleet {
    strategy: Strategy,
    discovery: Discovery,
    proxies: Vec<Proxy>,
    started_at: Instant,
    now: Instant,
    queue: VecDeque<QueuedPoll>,
    in_service: Option<(QueuedPoll, Instant)>,
    outcome: Outcome,
}

impl Fleet {
    /// Creates the fleet; each proxy starts after `failures` failed polls.
    pub(super) fn new(
        count: u32, strategy: Strategy, discovery: Discovery, failures: u32, seed: u64,
    ) -> Fleet {
        let started_at = Instant::now();
        let proxy = |index| {
            let offset = match strategy {
                Strategy::KeepTurnSpread => discovery.service_time * index,
                _ => Duration::ZERO,
            };
            let mut proxy = Proxy::new(index, count, seed + u64::from(index), started_at + offset);
            for failure in 0..failures {
                proxy.policy_backoff(Duration::from_secs(u64::from(failure)));
            }
            proxy
        };
        let proxies = (0..count).map(proxy).collect();
        let outcome = Outcome { received_after: Vec::new(), longest_queue: 0, polls: 0 };
        let (queue, in_service) = (VecDeque::new(), None);
        Fleet { strategy, discovery, proxies, started_at, now: started_at, queue, in_service, outcome }
    }

    /// Runs until all proxies have received the change, or for `max_duration` at most.
    pub(super) fn run(mut self, max_duration: Duration) -> Outcome {
        while self.now - self.started_at < max_duration
            && self.outcome.received_after.len() < self.proxies.len()
        {
            self.refuse_overdue();
            self.serve();
            for index in 0..self.proxies.len() {
                if !self.proxies[index].has_change {
                    self.step_proxy(index);
                }
            }
            self.outcome.longest_queue = self.outcome.longest_queue.max(self.queue.len());
            self.now += STEP;
        }
        self.outcome
    }

    fn refuse_overdue(&mut self) {
        let Some(timeout) = self.discovery.queue_timeout else { return };
        while self.queue.front().is_some_and(|poll| self.now - poll.arrived_at >= timeout) {
            let Some(poll) = self.queue.pop_front() else { return };
            self.answer(&poll, &Answer::Refused);
        }
    }

    fn serve(&mut self) {
        if let Some((poll, _)) = self.in_service.take_if(|(_, done_at)| *done_at <= self.now) {
            self.answer(&poll, &Answer::List);
        }
        while self.in_service.is_none() {
            let Some(poll) = self.queue.pop_front() else { return };
            if self.discovery.serves_abandoned || self.proxies[poll.proxy].has_poll(poll.id) {
                self.in_service = Some((poll, self.now + self.discovery.service_time));
            }
        }
    }

    fn answer(&mut self, poll: &QueuedPoll, answer: &Answer) {
        let elapsed = self.now - self.started_at;
        let proxy = &mut self.proxies[poll.proxy];
        if !proxy.has_poll(poll.id) || proxy.has_change {
            return;
        }
        proxy.remove_poll(poll.id);
        match answer {
            Answer::List => {
                proxy.has_change = true;
                self.outcome.received_after.push(elapsed);
            }
            Answer::Refused => self.handle_failure(poll.proxy),
        }
    }

    /// Handles a failed poll: if no other is in flight, the policy decides when to poll again.
    fn handle_failure(&mut self, index: usize) {
        let elapsed = self.now - self.started_at;
        let proxy = &mut self.proxies[index];
        if proxy.polls.is_empty() {
            proxy.next_open_at = Some(self.now + proxy.policy_backoff(elapsed));
        }
    }

    fn step_proxy(&mut self, index: usize) {
        if self.proxies[index].next_open_at.is_some_and(|at| at <= self.now) {
            self.proxies[index].next_open_at = None;
            self.open(index);
        }
        if self.strategy == Strategy::GiveUp {
            let now = self.now;
            let is_silent = |poll: &mut Poll| now >= poll.progress.opened_at + SILENCE_TIMEOUT;
            if self.proxies[index].polls.pop_if(is_silent).is_some() {
                self.handle_failure(index);
            }
            return;
        }
        let proxy = &mut self.proxies[index];
        let now = self.now;
        let polls_before = proxy.polls.len();
        proxy.polls.retain(|poll| now < poll.progress.times_out_at());
        if polls_before > 0 && proxy.polls.is_empty() {
            return self.handle_failure(index);
        }
        let progress = proxy.progress();
        if extra_poll_at(&progress, proxy.last_opened_at, true).is_some_and(|due| due <= now) {
            if let Some(superseded) = superseded(&progress) {
                proxy.polls.remove(superseded);
            }
            self.open(index);
        }
    }

    fn open(&mut self, index: usize) {
        let now = self.now;
        let proxy = &mut self.proxies[index];
        let id = proxy.polls_opened;
        proxy.polls_opened += 1;
        proxy.last_opened_at = now;
        proxy.polls.push(Poll { id, progress: PollProgress::new(now, Duration::ZERO) });
        self.outcome.polls += 1;
        match self.discovery.faults.get(id) {
            Some(Fault::Silent) => {}
            Some(Fault::Refused) => {
                proxy.remove_poll(id);
                self.handle_failure(index);
            }
            None => self.queue.push_back(QueuedPoll { proxy: index, id, arrived_at: now }),
        }
    }
}
