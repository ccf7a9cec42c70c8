//! The driver in virtual time: the same model, plans, records and verdicts as on sockets, with the real decision
//! module (one instance for each proxy, sharing nothing), but without sockets, threads or a clock.
//! `event` defines the events and their queue. This module holds the simulation; the handling of clients, proxies,
//! backends, discovery and the plan's acts is in the module of that name, and `gossip` lets proxies tell each
//! other how many attempts they have in flight. `proxy` is the model of one proxy; `policy`, `policy_choice` and
//! `baseline_policies` choose the backends in it.

mod acts;
mod backends;
mod baseline_policies;
mod clients;
mod discovery;
mod event;
mod gossip;
pub mod policy;
pub mod policy_choice;
mod proxies;
mod proxy;

use crate::driver::proxies::configuration;
use crate::driver::run::Outcome as RunOutcome;
use crate::record::{Observation, ProxyEvent, Record, TryId, LISTEN_ON};
use crate::world::backend::Backend;
use crate::world::discovery::Discovery;
use crate::world::dispatcher::RequestDispatcher;
use crate::world::plan::Plan;
use crate::world::rng::Rng;
use crate::world::station::Ticket;
use clients::WaitingClient;
use event::{Event, EventQueue, SentAttempt};
use hdrhistogram::Histogram;
use lotusdeck_policy::settings::{Faults, Settings};
use lotusdeck_policy::{ConfigError, ListUpdate, Micros, Time};
use policy_choice::PolicyChoice;
use proxy::Proxy;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Network delay in one direction, between two machines of the same site.
const ONE_WAY: Micros = Micros(100);

/// Why a run failed.
#[derive(Debug, Error)]
pub enum VirtualError {
    /// The experiment does not result in valid settings for a proxy.
    #[error("settings: {0}")]
    Settings(#[from] Faults),
    /// The decision module rejects the settings.
    #[error("settings: {0}")]
    Unsound(#[from] ConfigError),
}

/// The state of a run.
struct Simulation<'a> {
    plan: &'a Plan,
    /// The settings of each proxy.
    settings: Vec<Settings>,
    now: Time,
    queue: EventQueue,
    backends: Vec<Backend>,
    /// How often the next event of each backend was scheduled: only its newest [`Event::Due`] counts.
    stamps: Vec<u64>,
    /// The attempts at each backend, by ticket.
    held: Vec<HashMap<Ticket, SentAttempt>>,
    /// The last ticket issued.
    last_ticket: Ticket,
    discovery: Discovery,
    /// When discovery has finished all calls so far.
    calls_end: Time,
    proxies: Vec<Proxy>,
    policy_choice: PolicyChoice,
    /// Clients with a try at a proxy or on its way there.
    waiting: HashMap<TryId, WaitingClient>,
    dispatcher: RequestDispatcher,
    /// Time until which clients avoid each proxy.
    shunned: Vec<Time>,
    records: Vec<Record>,
    rng: Rng,
    /// The true state of all backends: see [`policy::GlobalView`].
    global_view: Vec<f64>,
    /// Attempts in flight at each proxy in the latest rounds of gossip, oldest first; a round is sent once it is
    /// old enough.
    gossip: VecDeque<Vec<f64>>,
}

/// Plays a plan. The same plan and policy always give the same records.
///
/// # Errors
/// When the experiment does not result in valid settings for a proxy, or the decision module rejects them.
pub fn play(plan: &Arc<Plan>, policy_choice: PolicyChoice) -> Result<RunOutcome, VirtualError> {
    let mut simulation = Simulation::new(plan, policy_choice)?;
    simulation.run()?;
    let late = Histogram::new(2).expect("two digits");
    Ok(RunOutcome { records: simulation.records, samples: Vec::new(), late, cut: None })
}

/// Returns the settings of each proxy. The addresses in them are never used.
fn proxy_settings(plan: &Plan) -> Result<Vec<Settings>, Faults> {
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    let read = |proxy| Settings::read(&configuration(plan, proxy, unused, unused, unused, "{}")["settings"]);
    (0..plan.experiment.proxies).map(read).collect()
}

impl Simulation<'_> {
    /// Creates the state before the first event.
    fn new(plan: &Plan, policy_choice: PolicyChoice) -> Result<Simulation<'_>, VirtualError> {
        let settings = proxy_settings(plan)?;
        let mut proxies = Vec::new();
        for (proxy, own) in settings.iter().enumerate() {
            proxies.push(Proxy::new(proxy, own, plan, policy_choice, 0)?);
        }
        let backend = |spec: &_| Backend::new(Clone::clone(spec), plan.fall_rule(), Time(0));
        let count = plan.fleet.len();
        let experiment = &plan.experiment;
        Ok(Simulation {
            plan,
            settings,
            now: Time(0),
            queue: EventQueue::default(),
            backends: plan.fleet.iter().map(backend).collect(),
            stamps: vec![0; count],
            held: (0..count).map(|_| HashMap::new()).collect(),
            last_ticket: 0,
            discovery: Discovery::new(count, Micros::from_secs(experiment.discovery.lag_ms / 1e3)),
            calls_end: Time(0),
            proxies,
            policy_choice,
            waiting: HashMap::new(),
            dispatcher: RequestDispatcher::new(experiment.proxies, experiment.clients.skew, plan.seed),
            shunned: vec![Time(0); experiment.proxies],
            records: Vec::new(),
            rng: Rng::new(plan.seed, "virtual"),
            global_view: vec![0.0; count],
            gossip: VecDeque::new(),
        })
    }

    /// Schedules an event after that time.
    fn after(&mut self, span: Micros, event: Event) {
        self.at(self.now + span, event);
    }

    /// Schedules an event at that time, or now if that has passed.
    fn at(&mut self, at: Time, event: Event) {
        self.queue.push(at.max(self.now), event);
    }

    /// Records an observation at the current time.
    fn record(&mut self, what: Observation) {
        self.records.push(Record { at: self.now, what });
    }

    /// Plays the whole run.
    fn run(&mut self) -> Result<(), VirtualError> {
        self.begin();
        let end = self.plan.end() + self.longest_deadline() + LISTEN_ON + LISTEN_ON;
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event)?;
        }
        self.record_pressure();
        Ok(())
    }

    /// Starts the proxies, and schedules the acts, the gossip and the first arrival.
    fn begin(&mut self) {
        for proxy in 0..self.proxies.len() {
            self.record(Observation::Proxy { proxy, turn: ProxyEvent::Ready });
            self.send_list(proxy, ListUpdate::Cached);
        }
        let plan = self.plan;
        for (number, (at, _)) in plan.acts.iter().enumerate() {
            self.at(*at, Event::Act(number));
        }
        if plan.experiment.talk.every_ms > 0.0 {
            self.at(Time(0), Event::Gossip);
        }
        // Each arrival schedules the next, which keeps the queue small.
        self.next_arrival(0);
    }

    /// Returns the longest deadline of all classes.
    fn longest_deadline(&self) -> Micros {
        let deadlines = self.plan.experiment.class.iter().map(|class| class.deadline_ms / 1e3);
        Micros::from_secs(deadlines.fold(0.0, f64::max))
    }

    /// Handles an event; ignores those for an earlier generation of a proxy, and those that a newer one replaced.
    fn handle(&mut self, event: Event) -> Result<(), VirtualError> {
        match event {
            Event::Act(number) => self.act(number)?,
            Event::Ask(id) => self.send_due_try(id),
            Event::AtProxy { id, proxy, generation, deadline } => {
                self.arrive(id, proxy, generation, deadline)
            }
            Event::Deadline { proxy, generation, request } if self.is_current(proxy, generation) => {
                self.deadline(proxy, request);
            }
            Event::Timer { proxy, generation, token } if self.is_current(proxy, generation) => {
                self.proxies[proxy].push(lotusdeck_policy::Event::Timer { token });
                self.pump(proxy);
            }
            Event::Connected { proxy, generation, key, up } if self.is_current(proxy, generation) => {
                self.connected(proxy, key, up);
            }
            Event::Reach { attempt, backend, ticket } => self.reach(attempt, backend, ticket),
            Event::Due { backend, stamp } if self.stamps[backend] == stamp => {
                self.end_finished_attempts(backend)
            }
            Event::Back { attempt, outcome } if self.is_current(attempt.proxy, attempt.generation) => {
                self.end_attempt(attempt.proxy, attempt.key, outcome);
                self.pump(attempt.proxy);
            }
            Event::Withdraw { backend, ticket } => self.withdraw(backend, ticket),
            Event::ToClient { id, status, retry_after } => self.answered(id, status, retry_after),
            Event::Broke(id) => self.broke(id),
            Event::Leave(id) => self.leave(id),
            Event::ListChange => self.apply_list_changes(),
            Event::Gossip => self.gossip(),
            Event::ListAnswer { proxy, generation }
                if self.is_current(proxy, generation) && !self.discovery.down =>
            {
                self.send_list(proxy, ListUpdate::Changes);
            }
            Event::Deadline { .. }
            | Event::Timer { .. }
            | Event::Connected { .. }
            | Event::Due { .. }
            | Event::Back { .. }
            | Event::ListAnswer { .. } => {}
        }
        Ok(())
    }

    /// Returns whether a proxy is alive and still in that generation.
    fn is_current(&self, proxy: usize, generation: u32) -> bool {
        self.proxies[proxy].is_current(generation)
    }
}
