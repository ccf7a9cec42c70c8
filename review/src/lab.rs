//! What all cases share: the record, the processes, the proxy and its configuration.

use crate::Verdict;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest run of a case; after it, everything is ended.
const MAX_RUN: Duration = Duration::from_secs(100);
/// The longest wait for a process to start or to end.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// prctl(2): the signal that a process gets when its parent ends, and SIGKILL.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, argument: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

pub type Result<T> = std::result::Result<T, String>;

/// The record of a run, and the processes that were started. Clones share both.
#[derive(Clone)]
pub struct Lab {
    record: Arc<Mutex<File>>,
    started_at: Instant,
    processes: Arc<Mutex<Vec<u32>>>,
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// A process that the case started. Dropping it kills it.
pub struct Process {
    child: Child,
    lab: Lab,
    pub lines: Receiver<String>,
}

/// Runs a case and ends the program with its exit code.
pub fn run_case(case: impl FnOnce(&Lab) -> Result<Verdict>) -> ! {
    let lab = match Lab::new() {
        Ok(lab) => lab,
        Err(error) => {
            eprintln!("cannot run: {error}");
            std::process::exit(2);
        }
    };
    let watched = lab.clone();
    std::thread::spawn(move || {
        std::thread::sleep(MAX_RUN);
        watched.note("the run took too long");
        watched.end(2);
    });
    let code = match case(&lab) {
        Ok(Verdict::Held) => {
            lab.note("verdict: the rule held");
            0
        }
        Ok(Verdict::Broken(what)) => {
            lab.note(&format!("verdict: the rule was broken: {what}"));
            1
        }
        Err(error) => {
            lab.note(&format!("the case could not run: {error}"));
            2
        }
    };
    lab.end(code)
}

fn environment(name: &str) -> Result<String> {
    std::env::var(name).map_err(|_| format!("{name} is not set: start the case by its run.sh"))
}

impl Lab {
    fn new() -> Result<Lab> {
        let record = File::create(environment("REVIEW_RECORD")?).map_err(|error| error.to_string())?;
        let folder = std::env::temp_dir().join(format!("lotusdeck-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let has_trouble = environment("TROUBLE")? != "0";
        let lab = Lab {
            record: Arc::new(Mutex::new(record)),
            started_at: Instant::now(),
            processes: Arc::default(),
            folder,
            has_trouble,
        };
        lab.note(if has_trouble { "with the disruption" } else { "without the disruption" });
        Ok(lab)
    }

    /// Writes a line of the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.started_at.elapsed().as_secs_f64());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    fn end(&self, code: i32) -> ! {
        for id in self.processes.lock().unwrap().drain(..) {
            let _ = signal(id, "KILL");
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(code);
    }

    /// Starts a command; the lines of its standard output go to the record, under `name`, and to the process's channel.
    fn start(&self, name: &str, mut command: Command) -> Result<Process> {
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        // SAFETY: the call allocates nothing. The process ends with this program, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let mut child = command.spawn().map_err(|error| format!("{name}: {error}"))?;
        self.processes.lock().unwrap().push(child.id());
        let output = BufReader::new(child.stdout.take().unwrap());
        let (sender, lines) = channel();
        let (lab, name) = (self.clone(), name.to_string());
        std::thread::spawn(move || {
            for line in output.lines().map_while(std::result::Result::ok) {
                lab.note(&format!("{name}: {line}"));
                let _ = sender.send(line);
            }
        });
        Ok(Process { child, lab: self.clone(), lines })
    }

    /// Starts a stand-in of this program as a process of its own, and waits until it listens at `address`.
    pub fn start_stand_in(&self, name: &str, words: &[&str], address: SocketAddr) -> Result<Process> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.args(words);
        let process = self.start(name, command)?;
        wait_for(&format!("{name} to listen"), || TcpStream::connect(address).is_ok())?;
        Ok(process)
    }

    /// Starts a proxy with the `run` command of the deploy file, and waits until it is ready. Its log goes to the
    /// record.
    pub fn start_proxy(&self, config: &str, operator: &str, address: SocketAddr) -> Result<Process> {
        let write = |name: &str, text: &str| {
            let path = self.folder.join(name);
            std::fs::write(&path, text).map(|()| path).map_err(|error| error.to_string())
        };
        let (config, operator) = (write("config.json", config)?, write("operator.toml", operator)?);
        let tmp = self.folder.join("tmp");
        let _ = std::fs::remove_dir_all(&tmp); // empty at each start
        std::fs::create_dir_all(&tmp).map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("exec 2>&1; {}", environment("REVIEW_RUN")?));
        command.current_dir(environment("REVIEW_ROOT")?);
        command.env("NODE_CONFIG", config).env("NODE_OPERATOR", operator).env("TMPDIR", tmp);
        for name in ["NODE_ADMIN_ADDR", "NODE_SOCKET_FD", "NODE_LOG", "NODE_LOG_FORMAT"] {
            command.env_remove(name);
        }
        let process = self.start("proxy", command)?;
        wait_for("the proxy to be ready", || crate::http::is_ready(address))?;
        Ok(process)
    }
}

impl Process {
    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        self.lab.processes.lock().unwrap().retain(|process| *process != id);
    }

    /// Sends SIGTERM and waits until the process has ended.
    pub fn terminate(&mut self) -> Result<()> {
        signal(self.child.id(), "TERM")?;
        wait_for("the proxy to end", || matches!(self.child.try_wait(), Ok(Some(_))))?;
        self.kill();
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn signal(id: u32, name: &str) -> Result<()> {
    let sent = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {id}")).status();
    sent.map(|_| ()).map_err(|error| error.to_string())
}

/// Waits until `is_done` returns true.
pub fn wait_for(what: &str, mut is_done: impl FnMut() -> bool) -> Result<()> {
    let started_at = Instant::now();
    while !is_done() {
        if started_at.elapsed() > START_TIMEOUT {
            return Err(format!("waited too long for {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Returns a free loopback address.
pub fn free_address() -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// The node configuration of the only proxy of a small deployment, in the platform's form.
pub fn node_config(listen: SocketAddr, discovery: SocketAddr, seed: u64) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"index":0,"snapshot":true,"endpoints":[]}},
"settings":{{"blend":{{"whole":0.55,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.15}},
"costs":{{"cross_zone":0.0}},"customers":[],"discovery":"subscribe","granularity_us":5000,"group_size":1,
"position":0,"kinds":["small"],"zones":["room"],"my_zone":"room","over_share_worth":0.1,"value_by":"request",
"limits":{{"cancel":true,"conn_idle_us":15000000,"dial_timeout_us":300000,"max_attempts":4,
"max_retry_after_us":2000000,"parallel_tries":true,"retry_after":true}},
"profiles":[{{"name":"print-order","aim_us":1500000,"deadline_us":4000000,"effect":"single_shot","gain":8.0,
"key_scope":"all","late_worth":0.0,"stream":false,"window_us":5000000}}],
"rules":{{"answer_slack_us":20000,"cold_from":0.32,"fall_multiple":4.0,"must_ask_in_us":10000000,
"ramp_time_us":8900000,"stop_sending_within_us":500000,"tip_after_us":2000000}}}}}}"#
    )
}
