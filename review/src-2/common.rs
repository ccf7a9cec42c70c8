//! What all cases share: the record, free ports, temporary folders, and the proxy as a separate process.

use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static STARTED: OnceLock<Instant> = OnceLock::new();
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The verdict of a case.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Why a case could not run.
pub type CaseError = String;
pub type CaseResult = Result<Verdict, CaseError>;

pub fn open_record(folder: &Path) -> std::io::Result<()> {
    let file = File::create(folder.join("record.txt"))?;
    let _ = STARTED.set(Instant::now());
    let _ = RECORD.set(Mutex::new(file));
    Ok(())
}

/// Returns the time since the start of the case.
pub fn now() -> Duration {
    STARTED.get().map_or(Duration::ZERO, Instant::elapsed)
}

pub fn write_record(text: &str) {
    let line = format!("{:9.3} {text}\n", now().as_secs_f64());
    if let Some(record) = RECORD.get() {
        let mut record = record.lock().unwrap_or_else(|error| error.into_inner());
        let _ = record.write_all(line.as_bytes());
    }
}

#[macro_export]
macro_rules! note {
    ($($part:tt)*) => { $crate::common::write_record(&format!($($part)*)) };
}

/// Returns whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until `condition` holds; returns whether it did within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if condition() {
            return true;
        }
        sleep_ms(5);
    }
    condition()
}

pub fn free_port() -> Result<u16, CaseError> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| format!("no free port: {error}"))?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    Ok(address.port())
}

/// A temporary folder, removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create(name: &str) -> Result<TempFolder, CaseError> {
        let path = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(TempFolder(path))
    }

    pub fn file(&self, name: &str, content: &str) -> Result<PathBuf, CaseError> {
        let path = self.0.join(name);
        std::fs::write(&path, content).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }

    pub fn folder(&self, name: &str) -> Result<PathBuf, CaseError> {
        let path = self.0.join(name);
        std::fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the close of a connection reset it (SO_LINGER with no time).
pub fn set_linger_zero(stream: &std::net::TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1i32, 0];
    // SAFETY: the value is a `struct linger` of two ints, which outlives the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// prctl(2): the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: a system call without memory arguments; the process is a child that has not been waited for.
    unsafe { kill(pid as i32, signal) };
}

/// Changes the length of the queue of a listening socket.
pub fn set_backlog(listener: &TcpListener, backlog: i32) {
    use std::os::fd::AsRawFd;
    // SAFETY: a system call on an open descriptor, without memory arguments.
    unsafe { listen(listener.as_raw_fd(), backlog) };
}

/// Ends the children if the case takes too long, and exits with 2.
pub fn start_watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        note!("the case takes too long");
        kill_children();
        std::process::exit(2);
    });
}

pub fn kill_children() {
    let children = CHILDREN.lock().unwrap_or_else(|error| error.into_inner());
    children.iter().for_each(|pid| send_signal(*pid, SIGKILL));
}

/// The command `run` of the deploy file.
fn run_command() -> Result<String, CaseError> {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .map_err(|error| format!("deploy/balancer.toml: {error}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let line = line.and_then(|line| line.rsplit_once('"'));
    line.map(|(command, _)| command.to_string()).ok_or("deploy/balancer.toml: no line 'run'".into())
}

/// One process of the proxy.
pub struct Proxy {
    child: Child,
    pub name: String,
    has_ended: bool,
}

/// What a proxy is started with.
pub struct Launch<'a> {
    pub name: &'a str,
    pub config: &'a Path,
    pub operator: Option<&'a Path>,
    /// `$TMPDIR`.
    pub tmp: &'a Path,
    /// The file to which its log is appended.
    pub log: &'a Path,
}

impl Proxy {
    /// Starts the program with the command of the deploy file, from the root of the project.
    pub fn start(launch: &Launch) -> Result<Proxy, CaseError> {
        let log = File::options().create(true).append(true).open(launch.log);
        let log = log.map_err(|error| format!("{}: {error}", launch.log.display()))?;
        let output = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()?).stdin(Stdio::null()).stdout(output).stderr(log);
        for variable in ["NODE_SOCKET_FD", "NODE_OPERATOR", "NODE_ADMIN_ADDR", "NODE_LOG", "NODE_LOG_FORMAT"] {
            command.env_remove(variable);
        }
        command.env("NODE_NAME", launch.name).env("NODE_CONFIG", launch.config).env("TMPDIR", launch.tmp);
        if let Some(operator) = launch.operator {
            command.env("NODE_OPERATOR", operator);
        }
        use std::os::unix::process::CommandExt;
        // SAFETY: a system call without memory arguments; the proxy ends with this program, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.spawn().map_err(|error| format!("the proxy does not start: {error}"))?;
        CHILDREN.lock().unwrap_or_else(|error| error.into_inner()).push(child.id());
        note!("proxy {} started, process {}", launch.name, child.id());
        Ok(Proxy { child, name: launch.name.into(), has_ended: false })
    }

    pub fn signal(&self, signal: i32) {
        let name = match signal {
            SIGHUP => "SIGHUP",
            SIGTERM => "SIGTERM",
            _ => "SIGKILL",
        };
        note!("platform: {name} to proxy {}", self.name);
        send_signal(self.child.id(), signal);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        if !self.has_ended {
            if let Ok(Some(status)) = self.child.try_wait() {
                note!("proxy {} ended: {status}", self.name);
                self.forget();
            }
        }
        self.has_ended
    }

    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        wait_until(limit, || self.has_ended())
    }

    fn forget(&mut self) {
        self.has_ended = true;
        let pid = self.child.id();
        CHILDREN.lock().unwrap_or_else(|error| error.into_inner()).retain(|child| *child != pid);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.forget();
        }
    }
}

/// Copies the end of a proxy's log into the record.
pub fn record_log(path: &Path, lines: usize) {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let all: Vec<&str> = text.lines().collect();
    for line in &all[all.len().saturating_sub(lines)..] {
        note!("log: {line}");
    }
}

/// Returns the address in the first line of the log that contains `message`.
pub fn logged_port(path: &Path, message: &str) -> Option<u16> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find(|line| line.contains(message))?;
    let at = line.split("address=127.0.0.1:").nth(1)?;
    at.split(|character: char| !character.is_ascii_digit()).next()?.parse().ok()
}
