//! The real proxy processes: their configuration, start, signals and resource usage.

use super::usage::Usage;
use super::wire::{Connection, Reserved};
use super::Clock;
use crate::experiment::Effect;
use crate::world::plan::Plan;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

/// Time limit for a proxy to accept clients after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for a call to a proxy.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a proxy could not be prepared or started.
#[derive(Debug, Error)]
pub enum ProxyError {
    /// A file or the process could not be created.
    #[error("proxy {0}: {1}")]
    Io(usize, std::io::Error),
    /// Another process uses the port.
    #[error("proxy {0}: the port of {1} is taken: choose another base_port, or none")]
    Taken(usize, SocketAddr),
    /// The process ended, or did not accept clients in time.
    #[error("proxy {0} did not accept clients within {1} s of its start; its last log line: {2}")]
    Start(usize, u64, String),
}

/// A proxy and its current process.
pub struct Proxy {
    number: usize,
    program: PathBuf,
    folder: PathBuf,
    descriptors: usize,
    /// Address for clients.
    pub address: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    child: Option<Child>,
    starts: u32,
    /// Processor time of its earlier processes.
    earlier_cpu: Duration,
    /// Keeps its ports reserved between two of its processes.
    _ports: [Reserved; 2],
}

/// Reserves the given port, or one that the kernel chooses, for as long as the proxy exists.
fn reserve(number: usize, port: Option<u16>) -> Result<Reserved, ProxyError> {
    Reserved::bind(port).map_err(|e| match e.kind() {
        std::io::ErrorKind::AddrInUse => {
            ProxyError::Taken(number, ([127, 0, 0, 1], port.unwrap_or(0)).into())
        }
        _ => ProxyError::Io(number, e),
    })
}

impl Proxy {
    /// Prepares the folder and configuration of a proxy, without starting it.
    pub fn prepare(
        number: usize, plan: &Plan, program: &Path, folder: &Path, discovery: SocketAddr, known: &str,
    ) -> Result<Proxy, ProxyError> {
        let io = |e| ProxyError::Io(number, e);
        let folder = folder.join(format!("proxy-{number}"));
        std::fs::create_dir_all(folder.join("tmp")).map_err(io)?;
        let base = plan.experiment.base_port;
        let ports = [0, 1].map(|n| reserve(number, base.map(|port| port + 2 * number as u16 + n)));
        let [clients, operators] = ports;
        let reserved = [clients?, operators?];
        let [address, admin] = [reserved[0].address(), reserved[1].address()];
        let known = if plan.experiment.discovery.handed {
            known
        } else {
            r#"{"index":0,"snapshot":true,"endpoints":[]}"#
        };
        let config = configuration(plan, number, address, admin, discovery, known);
        std::fs::write(folder.join("config.json"), format!("{config:#}")).map_err(io)?;
        if let Some(operator) = &plan.experiment.operator {
            let absolute = std::path::absolute(&folder).map_err(io)?;
            let text = operator.replace("{folder}", &absolute.display().to_string());
            std::fs::write(folder.join("operator.toml"), text).map_err(io)?;
        }
        let descriptors = plan.experiment.limits.sockets;
        let program = program.to_path_buf();
        let (child, starts, earlier_cpu) = (None, 0, Duration::ZERO);
        Ok(Proxy {
            number,
            program,
            folder,
            descriptors,
            address,
            admin,
            child,
            starts,
            earlier_cpu,
            _ports: reserved,
        })
    }

    /// Starts the process and waits until it accepts clients.
    pub async fn start(&mut self) -> Result<(), ProxyError> {
        let io = |e| ProxyError::Io(self.number, e);
        self.starts += 1;
        let log = self.folder.join(format!("log-{}", self.starts));
        let err = std::fs::File::create(&log).map_err(io)?;
        let config = std::path::absolute(self.folder.join("config.json")).map_err(io)?;
        let tmp = std::path::absolute(self.folder.join("tmp")).map_err(io)?;
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {}; exec \"$0\" \"$@\"", self.descriptors)]);
        command.arg(&self.program).arg("serve");
        command.env_remove("NODE_ADMIN_ADDR").env_remove("NODE_SOCKET_FD").env_remove("NODE_OPERATOR");
        command.env("NODE_CONFIG", config).env("TMPDIR", tmp);
        let operator = std::path::absolute(self.folder.join("operator.toml")).map_err(io)?;
        if operator.exists() {
            command.env("NODE_OPERATOR", operator);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(err).kill_on_drop(true);
        command.process_group(0); // an interrupt at the terminal must reach only the testbed
        self.child = Some(command.spawn().map_err(io)?);
        let end = tokio::time::Instant::now() + START_TIMEOUT;
        while tokio::time::Instant::now() < end {
            if self.child.as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None))) {
                break;
            }
            if call(self.address, "GET", "/-/ready", "").await == Some(200) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        let last = text.lines().last().unwrap_or("none").to_string();
        Err(ProxyError::Start(self.number, START_TIMEOUT.as_secs(), last))
    }

    fn signal(&mut self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|c| c.id()).and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal); // fails only where the process has already ended
        }
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        let usage = self.pid().and_then(Usage::read); // usage of this process only
        self.earlier_cpu += usage.map(|u| u.cpu).unwrap_or_default();
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait().await;
        }
    }

    /// Sends the process the signal to stop.
    pub fn stop(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Waits at most `within` for the process to end after [`Proxy::stop`], then kills it.
    pub async fn ended(&mut self, within: Duration) {
        if let Some(child) = &mut self.child {
            let _ = tokio::time::timeout(within, child.wait()).await;
        }
        self.kill().await;
    }

    /// Sends the process the signal to reload its configuration.
    pub fn reload(&mut self) {
        self.signal(Signal::HUP);
    }

    /// Makes an operators' call and returns whether it succeeded.
    pub async fn call(&self, method: &str, path: &str, body: &str) -> bool {
        call(self.admin, method, path, body).await.is_some_and(|status| (200..300).contains(&status))
    }

    /// Returns the id of its current process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }

    /// Returns the usage of its current process, with the processor time of earlier ones added.
    pub fn usage(&self) -> Option<Usage> {
        let now = Usage::read(self.pid()?)?;
        Some(Usage { cpu: now.cpu + self.earlier_cpu, ..now })
    }
}

pub(crate) async fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let ask = async {
        let mut connection = Connection::new(TcpStream::connect(to).await.ok()?);
        let head = format!("{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {}\r\n\r\n", body.len());
        connection.write((head + body).as_bytes()).await.ok()?;
        Some(connection.answer().await.ok()?.status)
    };
    tokio::time::timeout(CALL_TIMEOUT, ask).await.ok()?
}

/// Returns the node configuration of a proxy.
pub fn configuration(
    plan: &Plan, number: usize, listen: SocketAddr, admin: SocketAddr, discovery: SocketAddr, known: &str,
) -> Value {
    let e = &plan.experiment;
    let us = |ms: f64| (ms * 1e3).round() as u64;
    let profile = |c: &crate::experiment::Class| {
        json!({
            "name": c.name, "aim_us": us(c.aim_ms), "deadline_us": us(c.deadline_ms),
            "effect": if c.effect == Effect::Free { "free" } else { "single_shot" },
            "gain": c.worth, "late_worth": c.late_worth,
        })
    };
    let profiles: Vec<Value> = e.class.iter().map(profile).collect();
    let kinds: Vec<&str> = e.kind.iter().map(|k| k.name.as_str()).collect();
    let known: Value = serde_json::from_str(known).unwrap_or_default();
    let (reported_count, zone) = (e.told_proxies.unwrap_or(e.proxies), &e.zones[number % e.zones.len()]);
    let longest = e.class.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    json!({
        "name": format!("n{number}"), "listen": listen, "admin_addr": admin, "discovery": discovery,
        "seed": format!("{:016x}", plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64),
        "limits": {"cores": 1.0, "memory_mb": e.limits.memory_mb, "sockets": e.limits.sockets},
        "known": known,
        "settings": {
            "blend": {"whole": 0.7, "worst_class": 0.1}, "costs": {"cross_zone": 0.0}, "customers": [],
            "discovery": "automatic", "position": number % reported_count, "group_size": reported_count,
            "granularity_us": 5000,
            "kinds": kinds, "my_zone": zone, "zones": e.zones, "over_share_worth": 0.1,
            "limits": {
                "cancel": true, "max_attempts": e.limits.attempts, "parallel_tries": false,
                "dial_timeout_us": 300_000, "conn_idle_us": 60_000_000, "max_retry_after_us": us(longest),
            },
            "profiles": profiles,
            "rules": {
                "cold_from": e.rules.cold_from, "fall_multiple": e.rules.fall_multiple,
                "must_ask_in_us": 9_000_000, "ramp_time_us": us(e.rules.ramp_ms),
                "tip_after_us": us(e.rules.fall_window_ms),
            },
        },
    })
}

/// Waits until a time of the run.
pub async fn until(clock: &Clock, at: lotusdeck_policy::Time) {
    if at > clock.now() {
        tokio::time::sleep_until(clock.instant(at)).await;
    }
}
