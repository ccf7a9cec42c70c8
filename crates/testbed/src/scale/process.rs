//! Real processes of the program under a scale experiment: start, new settings, and what they use.

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

/// A process takes clients so soon after its start, or it has failed: many times what the largest settings take.
const START: Duration = Duration::from_secs(120);
/// New settings are in force so soon, or they were lost.
const RELOAD: Duration = Duration::from_secs(120);
/// Between two looks at whether something has happened: the error of every time measured here.
const LOOK: Duration = Duration::from_millis(2);
/// What a process logs once new settings are in force, and once they are refused.
const TAKEN: &str = "configuration applied";
const REFUSED: &str = "configuration rejected";

/// Why a real process could not be measured.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A file or process cannot be had.
    #[error("proxy: {0}")]
    Io(#[from] std::io::Error),
    /// It ended or never took clients.
    #[error("proxy did not take clients in time; last line: {0}")]
    Start(String),
    /// New settings were refused or never taken.
    #[error("proxy did not take new settings in time; last line: {0}")]
    Reload(String),
}

/// A running process; it ends with this value.
pub struct Process {
    child: Child,
    folder: PathBuf,
    place: Place,
    size: Size,
    edition: usize,
    /// From the start of the process to its first answer on `/-/ready`.
    pub ready: Duration,
    /// Its ports, so that nobody else gets them.
    _ports: [Reserved; 2],
}

impl Process {
    /// Starts `program` in `folder` and waits until it takes clients.
    ///
    /// # Errors
    /// It does not.
    pub async fn start(
        program: &Path, folder: &Path, size: Size, discovery: SocketAddr,
    ) -> Result<Process, ProcessError> {
        std::fs::create_dir_all(folder)?;
        let folder = std::path::absolute(folder)?;
        let ports = [Reserved::take(None)?, Reserved::take(None)?];
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
        while began.elapsed() < START && matches!(self.child.try_wait(), Ok(None)) {
            if call(self.place.listen, "GET", "/-/ready", "").await == Some(200) {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(ProcessError::Start(self.last_line()))
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.place.listen
    }

    /// Bytes of its configuration.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn document_bytes(&self) -> std::io::Result<u64> {
        Ok(std::fs::metadata(self.folder.join("config.json"))?.len())
    }

    /// Bytes that it holds in memory.
    pub fn memory(&self) -> u64 {
        self.child.id().and_then(Usage::of).map_or(0, |usage| usage.memory)
    }

    /// Processor time of all its threads since its start, exact to the nanosecond where the kernel counts it
    /// (`/proc/PID/task/*/schedstat`).
    pub fn processor_time(&self) -> Duration {
        self.child.id().map_or(Duration::ZERO, processor_time)
    }

    /// Writes changed settings of the same size, for the next [`Process::reload`] to take.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write_next_settings(&mut self) -> Result<(), ProcessError> {
        self.edition += 1;
        let text = document::node(self.size, self.place, self.edition);
        let path = self.folder.join("config.json");
        let beside = path.with_extension("next");
        std::fs::write(&beside, text)?;
        std::fs::rename(&beside, &path)?;
        Ok(())
    }

    /// Has it read its settings anew; the time until they are in force.
    ///
    /// # Errors
    /// They are refused, or not in force in time.
    pub async fn reload(&self) -> Result<Duration, ProcessError> {
        let before = self.lines_with(TAKEN);
        let refused = self.lines_with(REFUSED);
        let began = Instant::now();
        if let Some(pid) = self.child.id().and_then(|id| Pid::from_raw(id as i32)) {
            kill_process(pid, Signal::HUP).map_err(std::io::Error::from)?;
        }
        while began.elapsed() < RELOAD && self.lines_with(REFUSED) == refused {
            if self.lines_with(TAKEN) > before {
                return Ok(began.elapsed());
            }
            tokio::time::sleep(LOOK).await;
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

    /// Ends it.
    pub async fn end(mut self) {
        let _ = self.child.kill().await; // one that has ended already is as good
    }
}

/// Processor time of a process.
pub fn processor_time(pid: u32) -> Duration {
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return Duration::ZERO };
    let nanoseconds = |task: std::fs::DirEntry| -> Option<u64> {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_ascii_whitespace().next()?.parse().ok()
    };
    Duration::from_nanos(tasks.flatten().filter_map(nanoseconds).sum())
}
