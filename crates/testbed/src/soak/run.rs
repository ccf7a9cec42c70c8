//! One run: starts the stand-ins and the proxies, and makes everything in the plan happen at its time.

use super::backends::Backends;
use super::clients::{self, Clients};
use super::discovery::Discovery;
use super::plan::{Signal, SignalKind, SoakPlan};
use super::processes::Process;
use super::records::{Recorder, Records};
use std::cell::RefCell;
use std::path::Path;
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
/// How long a process of a series lives before it is killed.
const LIFE_BEFORE_KILL: Duration = Duration::from_millis(120);
/// How long after its end a run waits for the last answers.
const LISTEN_ON: Duration = Duration::from_secs(5);

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

/// Plays a plan with `program` as the proxy, and returns what was recorded.
///
/// # Errors
/// A stand-in or a proxy cannot be started, or a proxy ends by itself.
pub(super) async fn play(plan: SoakPlan, program: &Path, folder: &Path) -> std::io::Result<Records> {
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
            spawn_local(self.clone().kill_in_series()),
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
        for (proxy, process) in self.processes.iter().enumerate() {
            for client in 0..self.plan.body_clients {
                let clients = self.clients.clone();
                tasks.push(spawn_local(clients.send_bodies(client, proxy, process.address())));
            }
        }
        for crowd in self.plan.slow_crowds.iter().copied() {
            let (clients, address) = (self.clients.clone(), self.processes[0].address());
            tasks.push(spawn_local(clients.slow_crowd(crowd, address)));
        }
        if let Some(at) = self.plan.crowd_at {
            let (recorder, until) = (self.recorder.clone(), self.plan.duration);
            let (address, descriptors) = (self.processes[0].address(), self.plan.descriptors());
            tasks.push(spawn_local(async move {
                recorder.wait_until(at).await;
                clients::crowd(recorder, until, address, descriptors).await;
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

    /// Kills the processes of a proxy one after the other, each soon after its start.
    async fn kill_in_series(self: Rc<Self>) {
        let Some(series) = self.plan.kills else { return };
        self.recorder.wait_until(series.at).await;
        for _ in 0..series.kills {
            self.processes[series.proxy].kill().await;
            tokio::time::sleep(RESTART_PAUSE).await;
            self.note_failure(self.start(series.proxy).await);
            tokio::time::sleep(LIFE_BEFORE_KILL).await;
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
