//! The proxies of a soak run: their configuration, start, signals and end.

use super::plan::{ListMode, SoakPlan};
use super::readiness::{Readiness, START_TIMEOUT};
use super::records::{ProcessEvent, ProcessId, Recorder};
use crate::driver::proxies::call;
use crate::driver::usage::peak_memory_kib;
use crate::driver::wire::Reserved;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::Instant;

/// The grace after a backend's departure, µs.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// A proxy and its current process.
pub struct Process {
    plan: Rc<SoakPlan>,
    recorder: Rc<Recorder>,
    proxy: usize,
    folder: PathBuf,
    program: PathBuf,
    clients: Reserved,
    operators: Reserved,
    child: RefCell<Option<Child>>,
    pid: Cell<Option<Pid>>,
    readiness: Readiness,
    start: Cell<u32>,
    is_stopping: Cell<bool>,
    /// Whether it was killed without SIGTERM.
    is_killed: Cell<bool>,
}

impl Process {
    /// Reserves the addresses and the folder of a proxy.
    ///
    /// # Errors
    /// The folder or a port cannot be had.
    pub fn new(
        plan: Rc<SoakPlan>, recorder: Rc<Recorder>, proxy: usize, program: &Path, folder: &Path,
    ) -> std::io::Result<Process> {
        let folder = std::path::absolute(folder.join(format!("proxy-{proxy}")))?;
        std::fs::create_dir_all(folder.join("tmp"))?;
        Ok(Process {
            plan,
            recorder,
            proxy,
            folder,
            program: program.to_path_buf(),
            clients: Reserved::bind(None)?,
            operators: Reserved::bind(None)?,
            child: RefCell::default(),
            pid: Cell::default(),
            readiness: Readiness::new(),
            start: Cell::default(),
            is_stopping: Cell::default(),
            is_killed: Cell::default(),
        })
    }

    /// Returns the address for clients.
    pub fn address(&self) -> SocketAddr {
        self.clients.address()
    }

    fn id(&self) -> ProcessId {
        ProcessId { proxy: self.proxy, start: self.start.get() }
    }

    /// Writes the configuration.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn configure(&self, discovery: SocketAddr, known: &Value) -> std::io::Result<()> {
        let text = self.configuration(discovery, known).to_string();
        // A rename, so that a process that reads the file meanwhile never sees a part of it.
        let part = self.folder.join("config.part");
        std::fs::write(&part, text)?;
        std::fs::rename(part, self.folder.join("config.json"))
    }

    fn configuration(&self, discovery: SocketAddr, known: &Value) -> Value {
        let us = |time: Duration| time.as_micros() as u64;
        let profile = |name: &str, effect: &str, deadline: Duration| {
            json!({"name": name, "aim_us": us(deadline) / 2, "deadline_us": us(deadline), "effect": effect,
                "gain": 1.0, "late_worth": 0.3})
        };
        let seed = self.plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.proxy as u64;
        json!({
            "name": format!("n{}", self.proxy), "listen": self.clients.address(),
            "admin_addr": self.operators.address(), "discovery": discovery,
            "seed": format!("{:016x}", seed.wrapping_add(u64::from(self.start.get()))),
            "limits": {"cores": 1.0, "memory_mb": self.plan.memory_mb(), "sockets": self.plan.descriptors()},
            "known": known,
            "settings": {
                "blend": {"whole": 0.7, "worst_class": 0.1}, "costs": {"cross_zone": 0.0}, "customers": [],
                "discovery": match self.plan.mode {
                    ListMode::Pushed => "automatic",
                    ListMode::Polled => "subscribe",
                },
                "position": self.proxy, "group_size": self.plan.proxies, "granularity_us": 5000,
                "kinds": ["m"], "my_zone": "a", "zones": ["a"], "over_share_worth": 0.1,
                "limits": {
                    "cancel": true, "max_attempts": 4, "parallel_tries": true, "dial_timeout_us": 300_000,
                    "conn_idle_us": 15_000_000, "max_retry_after_us": 2_000_000,
                },
                "profiles": [
                    profile("read", "free", self.plan.read_deadline),
                    profile("order", "single_shot", self.plan.order_deadline),
                ],
                "rules": {
                    "cold_from": 0.9, "fall_multiple": 20.0, "must_ask_in_us": 10_000_000,
                    "ramp_time_us": 1_000_000, "tip_after_us": 1_000_000,
                    "stop_sending_within_us": us(DRAIN_GRACE),
                },
            },
        })
    }

    /// Starts the process, whose configuration has this version of the list, and waits until it accepts clients.
    ///
    /// # Errors
    /// The process cannot be started or does not accept clients in time.
    pub async fn start(&self, version: u64) -> std::io::Result<()> {
        self.is_stopping.set(false);
        self.is_killed.set(false);
        self.recorder.add_event(self.id(), ProcessEvent::Started { version });
        let log = std::fs::File::create(self.folder.join(format!("log-{}", self.start.get())))?;
        let mut command = Command::new("sh");
        command
            .args(["-c", &format!("ulimit -n {}; exec \"$0\" serve", self.plan.descriptors())])
            .arg(&self.program);
        command.env_remove("NODE_ADMIN_ADDR").env_remove("NODE_SOCKET_FD").env_remove("NODE_OPERATOR");
        command.env("NODE_CONFIG", self.folder.join("config.json")).env("TMPDIR", self.folder.join("tmp"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        let child = command.spawn()?;
        self.pid.set(child.id().and_then(|id| Pid::from_raw(id as i32)));
        *self.child.borrow_mut() = Some(child);
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if call(self.clients.address(), "GET", "/-/ready", "").await == Some(200) {
                self.readiness.begin();
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(std::io::Error::other(format!("proxy {} does not accept clients", self.proxy)))
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid.get() {
            let _ = kill_process(pid, signal); // fails only if the process has ended
        }
    }

    /// Tells the process to read its configuration again, which names the current address of discovery.
    pub fn reload(&self, is_move: bool) {
        if is_move {
            self.recorder.add_event(self.id(), ProcessEvent::ToldOfMove);
        }
        self.signal(Signal::HUP);
    }

    /// Tells the process to stop.
    pub fn stop(&self) {
        if !self.is_stopping.replace(true) {
            self.recorder.add_event(self.id(), ProcessEvent::Stopping);
        }
        self.signal(Signal::TERM);
    }

    /// Tells a process that is stopping to stop once more.
    pub fn stop_again(&self) {
        if self.is_stopping.get() {
            self.signal(Signal::TERM);
        }
    }

    /// Waits until the process, or the next one, has been ready for a second: no signal is sent before.
    pub async fn first_second_over(&self) {
        self.readiness.first_second_over().await;
    }

    /// Kills the process after `grace` unless it has ended by itself, and waits for its end.
    pub async fn kill_after(&self, grace: Duration) {
        self.record_peak();
        let Some(mut child) = self.child.borrow_mut().take() else { return };
        self.readiness.end();
        let ended = tokio::time::timeout(grace, child.wait()).await;
        let killed = ended.is_err();
        if killed {
            let _ = child.kill().await; // fails only if the process has ended meanwhile
        }
        let succeeded = matches!(&ended, Ok(Ok(status)) if status.success());
        let expected = self.is_killed.get() || self.is_stopping.get() && (killed || succeeded);
        self.pid.set(None);
        self.recorder.add_event(self.id(), ProcessEvent::Ended { killed, expected });
        self.start.set(self.start.get() + 1);
    }

    /// Kills the process at once, without SIGTERM, and waits for its end.
    pub async fn kill(&self) {
        self.recorder.add_event(self.id(), ProcessEvent::Killed);
        self.is_killed.set(true);
        self.kill_after(Duration::ZERO).await;
    }

    /// Records the peak memory of the process, if it runs.
    fn record_peak(&self) {
        let pid = self.pid.get().map(|pid| pid.as_raw_nonzero().get().unsigned_abs());
        if let Some(kib) = pid.and_then(peak_memory_kib) {
            self.recorder.add_peak(self.id(), kib);
        }
    }

    /// Checks that the process has not ended before it is told to.
    ///
    /// # Errors
    /// It has ended.
    pub fn check_running(&self) -> std::io::Result<()> {
        let mut child = self.child.borrow_mut();
        match child.as_mut().map(Child::try_wait) {
            Some(Ok(Some(status))) => {
                Err(std::io::Error::other(format!("proxy {} ended by itself: {status}", self.proxy)))
            }
            _ => Ok(()),
        }
    }

    /// Returns the number of processes before the current one.
    pub fn start_number(&self) -> u32 {
        self.start.get()
    }
}
