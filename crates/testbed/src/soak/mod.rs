//! Soak runs: proxies are reloaded, shut down and killed in series while discovery moves and fails, and clients use
//! their connections until the end of each process. Rules are judged by what clients, backends and discovery saw.

mod backends;
mod clients;
mod discovery;
mod judge;
mod plan;
mod processes;
mod records;
#[cfg(test)]
mod tests;

pub use judge::{judge, Rule, Violation};
pub use plan::{ListMode, SoakPlan};
pub use records::Records;

use crate::driver::run::{raise_descriptor_limit, thread, RunError};
use crate::session::{self, SessionError};
use backends::Backends;
use clients::Clients;
use discovery::Discovery;
use plan::{Signal, SignalKind};
use processes::{Process, DESCRIPTORS};
use records::Recorder;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};

/// Connections of clients to the only proxy, and to each of several.
const CLIENTS_OF_ONE: usize = 16;
const CLIENTS_OF_MANY: usize = 3;
/// The time over which a move's signals are sent to all proxies.
const MOVE_SPREAD: Duration = Duration::from_millis(300);
/// For how long after SIGTERM a proxy is given new connections.
const ADMITTED_AFTER_STOP: Duration = Duration::from_millis(300);
/// The pause between the end of a process and the start of the next.
const RESTART_PAUSE: Duration = Duration::from_millis(400);
/// How long after its end a run waits for the last answers.
const LISTEN_ON: Duration = Duration::from_secs(5);

/// Arguments of the `soak` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 10)]
    pub seeds: u64,
    /// Number of proxies.
    #[arg(long, default_value_t = 1)]
    pub proxies: usize,
    /// How lists reach the proxies; both in turn if absent.
    #[arg(long, value_enum)]
    pub mode: Option<ListMode>,
    /// Runs at a time.
    #[arg(long, default_value_t = 1)]
    pub parallel: usize,
    /// Program of the proxy; by default the lotusdeck beside this program, which is built first under `cargo run`.
    #[arg(long)]
    pub proxy: Option<PathBuf>,
    /// Folder for configurations and logs.
    #[arg(long, default_value = "lab-runs/soak")]
    pub out: PathBuf,
}

/// Returns the mode of a seed if both are played in turn.
pub fn mode_of_seed(seed: u64) -> ListMode {
    if seed.is_multiple_of(2) {
        ListMode::Pushed
    } else {
        ListMode::Polled
    }
}

/// Plays the seeds and prints what broke. Returns whether all rules held.
///
/// # Errors
/// The program is not found, or a run cannot be played.
pub fn main(args: &Args) -> Result<bool, SessionError> {
    let program = session::program(args.proxy.as_deref())?;
    let mut all_held = true;
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
    for group in seeds.chunks(args.parallel.max(1)) {
        let plans = group.iter().map(|seed| {
            SoakPlan::draw(*seed, args.mode.unwrap_or_else(|| mode_of_seed(*seed)), args.proxies)
        });
        for (plan, records) in play_all(plans.collect(), &program, &args.out)? {
            let violations = judge(&plan, &records);
            all_held &= violations.is_empty();
            session::print(&report(&plan, &records, &violations));
        }
    }
    Ok(all_held)
}

/// Describes the result of a run.
fn report(plan: &SoakPlan, records: &Records, violations: &[Violation]) -> String {
    const MAX_LISTED: usize = 12;
    let answered = |status: u16| {
        let is_answer = |r: &&records::ClientRecord| matches!(r.outcome, records::Outcome::Answered { status: given, .. } if given == status);
        records.requests.iter().filter(is_answer).count()
    };
    let lag = records.lags.iter().map(|lag| lag.lag).max().unwrap_or_default();
    let mut text = format!(
        "seed {} {:?}, {} proxies{}: {} requests, {} served, {} refused, {} attempts, lag {lag:?}, {} broken\n",
        plan.seed,
        plan.mode,
        plan.proxies,
        if plan.crowd_at.is_some() { ", crowd" } else { "" },
        records.requests.len(),
        answered(200),
        answered(503),
        records.attempts.len(),
        violations.len()
    );
    for violation in violations.iter().take(MAX_LISTED) {
        text.push_str(&format!("  {violation}\n"));
    }
    text
}

/// Plays several plans at the same time and returns each with its records.
///
/// # Errors
/// A run cannot be played.
pub fn play_all(
    plans: Vec<SoakPlan>, program: &Path, folder: &Path,
) -> Result<Vec<(SoakPlan, Records)>, SessionError> {
    let proxies: usize = plans.iter().map(|plan| plan.proxies).sum();
    raise_descriptor_limit(proxies * DESCRIPTORS * 2 + 1024)?;
    let file_error = |error| SessionError::File(folder.display().to_string(), error);
    let mut running = Vec::new();
    for plan in plans {
        let (thread_plan, program) = (plan.clone(), program.to_path_buf());
        let folder = folder.join(format!("{:?}-{}-{}", plan.mode, plan.proxies, plan.seed));
        let done = thread("soak", move || async move { play(thread_plan, &program, &folder).await });
        running.push((plan, done.map_err(file_error)?));
    }
    let mut played = Vec::new();
    for (plan, done) in running {
        let records = done.blocking_recv().map_err(|_| RunError::Thread)?.map_err(file_error)?;
        played.push((plan, records));
    }
    Ok(played)
}

/// A run in progress.
struct Run {
    plan: Rc<SoakPlan>,
    recorder: Rc<Recorder>,
    discovery: Rc<Discovery>,
    backends: Rc<Backends>,
    clients: Rc<Clients>,
    processes: Vec<Process>,
    /// The first failure to start a process.
    failure: RefCell<Option<std::io::Error>>,
}

async fn play(plan: SoakPlan, program: &Path, folder: &Path) -> std::io::Result<Records> {
    let plan = Rc::new(plan);
    let recorder = Rc::new(Recorder::new());
    let (backends, addresses) = Backends::start(plan.clone(), recorder.clone())?;
    let discovery = Discovery::start(plan.clone(), recorder.clone(), addresses)?;
    let new_process = |proxy| Process::new(plan.clone(), recorder.clone(), proxy, program, folder);
    let processes: Vec<Process> = (0..plan.proxies).map(new_process).collect::<std::io::Result<_>>()?;
    let clients = Clients::new(plan.clone(), recorder.clone());
    let run =
        Rc::new(Run { plan, recorder, discovery, backends, clients, processes, failure: RefCell::default() });
    for proxy in 0..run.plan.proxies {
        run.start(proxy).await?;
    }
    run.recorder.begin();
    run.play().await
}

impl Run {
    /// Configures and starts the next process of a proxy.
    async fn start(&self, proxy: usize) -> std::io::Result<()> {
        let process = &self.processes[proxy];
        self.discovery.starts.borrow_mut()[proxy] = process.start_number();
        let version = self.configure(proxy)?;
        process.start(version).await
    }

    /// Writes the configuration of a proxy with the current list and address of discovery; returns the list's version.
    fn configure(&self, proxy: usize) -> std::io::Result<u64> {
        let (version, known) = self.discovery.list(None);
        if let Some(address) = self.discovery.address(proxy) {
            self.processes[proxy].configure(address, &known)?;
        }
        Ok(version)
    }

    /// Plays the plan and returns what was recorded.
    async fn play(self: Rc<Self>) -> std::io::Result<Records> {
        let recorder = self.recorder.clone();
        let lag = spawn_local(async move { recorder.record_lag().await });
        let clients = self.start_clients();
        let events = [
            spawn_local(self.clone().change_list()),
            spawn_local(self.clone().move_discovery()),
            spawn_local(self.clone().inject_faults()),
            spawn_local(self.clone().send_signals()),
        ];
        for task in clients.into_iter().chain(events) {
            let _ = task.await; // a task that panics has printed why, and leaves requests without an answer
        }
        self.recorder.wait_until(self.plan.duration + LISTEN_ON).await;
        lag.abort();
        for process in &self.processes {
            self.note_failure(process.check_running());
            process.stop();
        }
        for process in &self.processes {
            process.kill_after(self.plan.kill_after()).await;
        }
        match self.failure.take() {
            Some(failure) => Err(failure),
            None => Ok(self.recorder.take()),
        }
    }

    fn note_failure(&self, result: std::io::Result<()>) {
        if let Err(error) = result {
            self.failure.borrow_mut().get_or_insert(error);
        }
    }

    fn start_clients(&self) -> Vec<JoinHandle<()>> {
        let per_proxy = if self.plan.proxies == 1 { CLIENTS_OF_ONE } else { CLIENTS_OF_MANY };
        let mut tasks = Vec::new();
        for (proxy, process) in self.processes.iter().enumerate() {
            for client in 0..per_proxy {
                let clients = self.clients.clone();
                let address = process.address();
                tasks.push(spawn_local(clients.run(proxy * per_proxy + client, proxy, address)));
            }
        }
        if let Some(at) = self.plan.crowd_at {
            let (recorder, until) = (self.recorder.clone(), self.plan.duration);
            let address = self.processes[0].address();
            tasks.push(spawn_local(async move {
                recorder.wait_until(at).await;
                clients::crowd(recorder, until, address, DESCRIPTORS).await;
            }));
        }
        tasks
    }

    async fn change_list(self: Rc<Self>) {
        for (index, change) in self.plan.changes.iter().enumerate() {
            if change.at >= self.plan.duration {
                return;
            }
            self.recorder.wait_until(change.at).await;
            self.backends.set_state(change.backend, change.state);
            self.discovery.publish(index);
        }
    }

    async fn inject_faults(self: Rc<Self>) {
        for timed in &self.plan.faults {
            self.recorder.wait_until(timed.at).await;
            self.discovery.inject(timed.fault);
        }
    }

    async fn move_discovery(self: Rc<Self>) {
        for moved in &self.plan.moves {
            self.recorder.wait_until(moved.at).await;
            self.note_failure(self.discovery.move_on(moved.refuses_for, moved.call_time));
            let mut signals = Vec::new();
            for proxy in 0..self.plan.proxies {
                let run = self.clone();
                let delay = MOVE_SPREAD.mul_f64((proxy + 1) as f64 / self.plan.proxies as f64);
                signals.push(spawn_local(async move {
                    tokio::time::sleep(delay).await;
                    run.reload(proxy, true).await;
                }));
            }
            for signal in signals {
                let _ = signal.await;
            }
        }
    }

    /// Writes the current configuration of a proxy and sends SIGHUP.
    async fn reload(&self, proxy: usize, is_move: bool) {
        let process = &self.processes[proxy];
        process.first_second_over().await;
        self.note_failure(self.configure(proxy).map(drop));
        process.reload(is_move);
    }

    async fn send_signals(self: Rc<Self>) {
        let mut shutdowns = Vec::new();
        for Signal { at, proxy, kind } in self.plan.signals.iter().copied() {
            self.recorder.wait_until(at).await;
            let run = self.clone();
            match kind {
                SignalKind::Reload => drop(spawn_local(async move { run.reload(proxy, false).await })),
                SignalKind::ShutdownAgain => run.processes[proxy].stop_again(),
                SignalKind::Shutdown => shutdowns.push(spawn_local(run.shut_down(proxy))),
            }
        }
        for shutdown in shutdowns {
            let _ = shutdown.await;
        }
    }

    /// Shuts a process down, kills it as early as it may be killed, and starts the next.
    async fn shut_down(self: Rc<Self>, proxy: usize) {
        let process = &self.processes[proxy];
        process.first_second_over().await;
        self.note_failure(process.check_running());
        process.stop();
        let end_admission = async {
            tokio::time::sleep(ADMITTED_AFTER_STOP).await;
            self.clients.admitted.borrow_mut()[proxy] = false;
        };
        tokio::join!(end_admission, process.kill_after(self.plan.kill_after()));
        tokio::time::sleep(RESTART_PAUSE).await;
        self.note_failure(self.start(proxy).await);
        self.clients.admitted.borrow_mut()[proxy] = true;
    }
}
