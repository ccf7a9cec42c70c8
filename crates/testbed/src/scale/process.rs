//! Processes of the program in a scale experiment: starting them, changing their settings, and measuring their
//! use of memory and processor time.

use super::document::{self, Place, Size};
use crate::driver::proxies::call;
use crate::driver::usage::Usage;
use crate::driver::wire::Reserved;
use rustix::process::{kill_process, Pid, Signal};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::process::{Child, Command};

/// Time for a process to accept clients after its start: many times what the largest settings take.
const START_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for new settings to come into force.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval of polling, which is the error of every time measured here.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Log message of a process when new settings are in force.
const APPLIED: &str = "configuration applied";
/// Log message of a process when new settings are rejected.
const REJECTED: &str = "configuration rejected";

/// Why a real process could not be measured.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A file could not be written or a process not started.
    #[error("proxy: {0}")]
    Io(#[from] std::io::Error),
    /// The process ended or did not accept clients in time.
    #[error("proxy did not accept clients in time; last log line: {0}")]
    Start(String),
    /// New settings were rejected or not applied in time.
    #[error("proxy did not apply new settings in time; last log line: {0}")]
    Reload(String),
}

/// A running process, killed when this value is dropped.
pub struct Process {
    child: Child,
    folder: PathBuf,
    place: Place,
    size: Size,
    edition: usize,
    /// Time from the start of the process to its first answer on `/-/ready`.
    pub ready: Duration,
    /// The ports of the process, reserved so that no other process gets them.
    _ports: [Reserved; 2],
}

impl Process {
    /// Starts `program` in `folder` and waits until it accepts clients.
    ///
    /// # Errors
    /// Fails if the process cannot be started or does not accept clients in time.
    pub async fn start(
        program: &Path, folder: &Path, size: Size, discovery: SocketAddr,
    ) -> Result<Process, ProcessError> {
        std::fs::create_dir_all(folder)?;
        let folder = std::path::absolute(folder)?;
        let ports = [Reserved::bind(None)?, Reserved::bind(None)?];
        let place = Place { listen: ports[0].address(), admin: ports[1].address(), discovery };
        std::fs::write(folder.join("config.json"), document::node(size, place, 0))?;
        let log = std::fs::File::create(folder.join("log"))?;
        let mut command = Command::new(program);
        command.arg("serve").env("NODE_CONFIG", folder.join("config.json")).env("TMPDIR", &folder);
        command.env_remove("NODE_ADMIN_ADDR").env_remove("NODE_SOCKET_FD").env_remove("NODE_OPERATOR");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        let began = Instant::now();
        let child = command.spawn()?;
        let ready = Duration::ZERO;
        let mut process = Process { child, folder, place, size, edition: 0, ready, _ports: ports };
        process.wait_ready(began).await?;
        process.ready = began.elapsed();
        Ok(process)
    }

    async fn wait_ready(&mut self, began: Instant) -> Result<(), ProcessError> {
        while began.elapsed() < START_TIMEOUT && matches!(self.child.try_wait(), Ok(None)) {
            if call(self.place.listen, "GET", "/-/ready", "").await == Some(200) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(ProcessError::Start(self.last_line()))
    }

    /// Returns the address for clients.
    pub fn address(&self) -> SocketAddr {
        self.place.listen
    }

    /// Returns the size of its configuration, bytes.
    ///
    /// # Errors
    /// Fails if the file cannot be read.
    pub fn document_bytes(&self) -> std::io::Result<u64> {
        Ok(std::fs::metadata(self.folder.join("config.json"))?.len())
    }

    /// Returns its resident memory, bytes.
    pub fn memory(&self) -> u64 {
        self.child.id().and_then(Usage::read).map_or(0, |usage| usage.memory)
    }

    /// Returns the processor time of all its threads since its start, exact to the nanosecond where the kernel
    /// counts it (`/proc/PID/task/*/schedstat`).
    pub fn processor_time(&self) -> Duration {
        self.child.id().map_or(Duration::ZERO, processor_time)
    }

    /// Writes changed settings of the same size, to be applied by the next [`Process::reload`].
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn write_next_settings(&mut self) -> Result<(), ProcessError> {
        self.edition += 1;
        let text = document::node(self.size, self.place, self.edition);
        let path = self.folder.join("config.json");
        let temporary = path.with_extension("next");
        std::fs::write(&temporary, text)?;
        std::fs::rename(&temporary, &path)?;
        Ok(())
    }

    /// Makes the process reload its settings (SIGHUP), and returns the time until they are in force.
    ///
    /// # Errors
    /// Fails if the settings are rejected or not in force in time.
    pub async fn reload(&self) -> Result<Duration, ProcessError> {
        let before = self.lines_with(APPLIED);
        let rejected = self.lines_with(REJECTED);
        let began = Instant::now();
        if let Some(pid) = self.child.id().and_then(|id| Pid::from_raw(id as i32)) {
            kill_process(pid, Signal::HUP).map_err(std::io::Error::from)?;
        }
        while began.elapsed() < RELOAD_TIMEOUT && self.lines_with(REJECTED) == rejected {
            if self.lines_with(APPLIED) > before {
                return Ok(began.elapsed());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(ProcessError::Reload(self.last_line()))
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    fn lines_with(&self, text: &str) -> usize {
        self.log().matches(text).count()
    }

    fn last_line(&self) -> String {
        self.log().lines().last().unwrap_or("none").to_string()
    }

    /// Kills the process.
    pub async fn end(mut self) {
        let _ = self.child.kill().await; // the process may have ended already
    }
}

/// Returns the processor time of a process, 0 if it does not exist.
pub fn processor_time(pid: u32) -> Duration {
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return Duration::ZERO };
    let nanoseconds = |task: std::fs::DirEntry| -> Option<u64> {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_ascii_whitespace().next()?.parse().ok()
    };
    Duration::from_nanos(tasks.flatten().filter_map(nanoseconds).sum())
}
