//! Checks the PostgreSQL front while servers die: drivers write through a real proxy, and the results reported to
//! them are compared with what the servers committed.

mod cost;
mod server;

pub use cost::{main as cost, Cost};

use crate::driver::discovery::Service;
use crate::driver::proxies::Proxy;
use crate::driver::run::RunError;
use crate::driver::wire::Reserved;
use crate::driver::{Clock, Log};
use crate::experiment::Experiment;
use crate::session::{print, program, SessionError};
use crate::world::plan::Plan;
use indicatif::ProgressBar;
use server::{Committed, DeathChances, Server};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_postgres::{Client, NoTls};

/// Arguments of the `pg-soak` command.
#[derive(Clone, Debug, clap::Args)]
pub struct Soak {
    /// Duration, s.
    #[arg(long, default_value_t = 20.0)]
    pub seconds: f64,
    /// Number of servers.
    #[arg(long, default_value_t = 6)]
    pub servers: usize,
    /// Number of drivers that write concurrently.
    #[arg(long, default_value_t = 24)]
    pub clients: usize,
    /// Number of the proxy's connections to all servers together.
    #[arg(long, default_value_t = 12)]
    pub connections: usize,
    /// Seed of the servers' deaths.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Program of the proxy.
    #[arg(long)]
    pub proxy: Option<PathBuf>,
    /// Folder for the proxy's configuration and log.
    #[arg(long, default_value = "lab-runs/pg-soak")]
    pub out: PathBuf,
}

/// The password of the only user.
const PASSWORD: &str = "do re mi";
/// The SCRAM verifier of [`PASSWORD`].
const VERIFIER: &str = "SCRAM-SHA-256$64:bG90dXNkZWNrLWxhYi0wMQ==$nj2bFIaealt9OKAetROt8V6HkenGqIQgtnsew+ynTKw=:PF6AnPrR+HvDM+ZGMltxVprMyAvwt4RjjJU9FX4y+n8=";
/// Delay before a driver that could not connect tries again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// What a client knows of a write from the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reported {
    Done,
    /// An error code says that it did not run, or its commit was never sent.
    NotDone,
    Unknown,
}

/// The result of a soak.
#[derive(Debug, Default)]
pub struct SoakResult {
    /// Number of writes that clients tried.
    pub writes: usize,
    /// Numbers of writes reported as done, as not done, and as unknown.
    pub reported: [usize; 3],
    /// Number of writes reported as unknown that were committed.
    pub unknown_done: usize,
    /// Number of deaths of servers.
    pub deaths: usize,
    /// Number of sessions opened.
    pub sessions: usize,
    /// Number of errors by code.
    pub codes: BTreeMap<String, usize>,
    /// Writes reported falsely or committed more than once, as text; there must be none.
    pub wrong: Vec<String>,
}

struct SoakRun {
    at: SocketAddr,
    until: Instant,
    next_number: Cell<u64>,
    reported: RefCell<HashMap<u64, Reported>>,
    codes: RefCell<BTreeMap<String, usize>>,
    sessions: Cell<usize>,
}

impl SoakRun {
    async fn client(self: Rc<Self>) {
        while Instant::now() < self.until {
            let mut config = tokio_postgres::Config::new();
            config.host("127.0.0.1").port(self.at.port()).user("ann").password(PASSWORD).dbname("scores");
            let Ok((client, connection)) = config.connect(NoTls).await else {
                tokio::time::sleep(RECONNECT_DELAY).await;
                continue;
            };
            self.sessions.set(self.sessions.get() + 1);
            let connection_task = tokio::task::spawn_local(async move { drop(connection.await) });
            while Instant::now() < self.until && !client.is_closed() {
                let number = self.next_number.get();
                self.next_number.set(number + 1);
                let reported = self.write(&client, number).await;
                self.reported.borrow_mut().insert(number, reported);
            }
            drop(client);
            let _ = connection_task.await;
        }
    }

    /// Derives from an error what a client knows of a statement that commits, and counts the error's code.
    fn classify_error(&self, e: &tokio_postgres::Error) -> Reported {
        let code = e.code().map_or("connection lost", |c| c.code()).to_string();
        let reported =
            if matches!(code.as_str(), "53300" | "08006") { Reported::NotDone } else { Reported::Unknown };
        *self.codes.borrow_mut().entry(code).or_default() += 1;
        reported
    }

    async fn write(&self, client: &Client, number: u64) -> Reported {
        let insert = format!("insert {number}");
        let ended = match number % 3 {
            0 => client.simple_query(&insert).await.map(|_| ()),
            1 => match client.prepare(&insert).await {
                Ok(statement) => client.execute(&statement, &[]).await.map(|_| ()),
                Err(e) => {
                    self.classify_error(&e);
                    return Reported::NotDone; // only prepared, never executed
                }
            },
            _ => {
                for statement in ["begin", &insert] {
                    if let Err(e) = client.simple_query(statement).await {
                        self.classify_error(&e);
                        // Ends the transaction, if it did not end with its server.
                        let _ = client.simple_query("rollback").await;
                        return Reported::NotDone;
                    }
                }
                client.simple_query("commit").await.map(|_| ())
            }
        };
        ended.map_or_else(|e| self.classify_error(&e), |()| Reported::Done)
    }
}

/// Compares what clients were told of their writes with what was committed, and counts the results into `out`.
fn compare(reported: &HashMap<u64, Reported>, committed: &[(u64, usize)], out: &mut SoakResult) {
    let mut servers: HashMap<u64, Vec<usize>> = HashMap::new();
    committed.iter().for_each(|(number, server)| servers.entry(*number).or_default().push(*server));
    let mut numbers: Vec<&u64> = reported.keys().collect();
    numbers.sort();
    for number in numbers {
        let committed_by = servers.get(number).map_or(&[][..], Vec::as_slice);
        if committed_by.len() > 1 {
            out.wrong.push(format!("write {number} was committed by servers {committed_by:?}"));
        }
        match (reported[number], committed_by.is_empty()) {
            (Reported::Done, true) => {
                out.wrong.push(format!("write {number} was told as done and is nowhere"))
            }
            (Reported::NotDone, false) => {
                out.wrong.push(format!(
                    "write {number} was told as not done, and server {} has it",
                    committed_by[0]
                ));
            }
            _ => {}
        }
        out.reported[reported[number] as usize] += 1;
        out.unknown_done += usize::from(reported[number] == Reported::Unknown && !committed_by.is_empty());
    }
    out.writes = reported.len();
}

/// A running proxy with a PostgreSQL front.
struct Front {
    proxy: Proxy,
    /// The address that drivers connect to; `_held` reserves its port for the proxy.
    at: SocketAddr,
    _held: Reserved,
    _discovery: Rc<Service>,
}

/// Starts a proxy with a PostgreSQL front before `servers`.
async fn front(
    servers: &[SocketAddr], connections: usize, clients: usize, deadline_ms: u64, proxy_program: &Path,
    out: &Path, seed: u64,
) -> Result<Front, SessionError> {
    let io = RunError::Io;
    let held = Reserved::bind(None).map_err(io)?;
    let at = held.address();
    let entry = |s: &SocketAddr| format!("{{ name = \"{s}\", address = \"{s}\" }}");
    let entries: Vec<String> = servers.iter().map(entry).collect();
    let mut experiment = Experiment::parse(
        "postgres",
        "name = 'postgres'\nduration_s = 1.0\nproxies = 1\nload = { rps = 1.0 }\nlimits = { sockets = 16384 }\n\
         class = [{ name = 'read', effect = 'free', share = 1.0, aim_ms = 1000, deadline_ms = 2000, work_ms = 1 }]\n\
         kind = [{ name = 'm', count = 1 }]\n",
    )?;
    experiment.operator = Some(format!(
        "[[postgres]]\nlisten = \"{at}\"\ndatabases = [\"scores\"]\n\
         user = [{{ name = \"ann\", verifier = \"{VERIFIER}\" }}]\n\
         login = {{ user = \"deck\", database = \"scores\" }}\nserver = [{}]\n\
         connections = {connections}\nclients = {clients}\naim_ms = 500\ndeadline_ms = {deadline_ms}\n",
        entries.join(", "),
    ));
    let plan = Arc::new(Plan::draw(&experiment, seed));
    let clock = Clock::default();
    clock.start_in(Duration::ZERO);
    let unused = Reserved::bind(None).map_err(io)?;
    let log = Log::new(clock.clone());
    let service = Service::start(plan.clone(), clock, log, vec![unused.address()]);
    let (discovery, addresses) = service.map_err(io)?;
    let prepared = Proxy::prepare(0, &plan, proxy_program, out, addresses[0], &discovery.full_list());
    let mut proxy = prepared.map_err(RunError::Proxy)?;
    proxy.start().await.map_err(RunError::Proxy)?;
    Ok(Front { proxy, at, _held: held, _discovery: discovery })
}

async fn play(args: &Soak, proxy_program: &Path) -> Result<SoakResult, SessionError> {
    let io = RunError::Io;
    let chance = DeathChances { before: 0.002, after: 0.002, halfway: 0.001, downtime_s: 0.3 };
    let committed = Committed::default();
    let mut servers = Vec::new();
    for number in 0..args.servers {
        let server = Server::new(number, chance, committed.clone(), args.seed).map_err(io)?;
        tokio::task::spawn_local(server.clone().run());
        servers.push(server);
    }
    let addresses: Vec<SocketAddr> = servers.iter().map(|s| s.address()).collect();
    let Front { mut proxy, at, .. } =
        front(&addresses, args.connections, 2 * args.clients, 3000, proxy_program, &args.out, args.seed)
            .await?;
    let soak = Rc::new(SoakRun {
        at,
        until: Instant::now() + Duration::from_secs_f64(args.seconds),
        next_number: Cell::new(0),
        reported: RefCell::default(),
        codes: RefCell::default(),
        sessions: Cell::new(0),
    });
    let bar = ProgressBar::new((args.seconds * 10.0) as u64);
    let clients: Vec<_> =
        (0..args.clients).map(|_| tokio::task::spawn_local(soak.clone().client())).collect();
    while Instant::now() < soak.until {
        tokio::time::sleep(Duration::from_millis(100)).await;
        bar.inc(1);
    }
    for client in clients {
        let _ = client.await;
    }
    bar.finish_and_clear();
    proxy.kill().await;
    let mut out = SoakResult {
        deaths: servers.iter().map(|s| s.deaths()).sum(),
        sessions: soak.sessions.get(),
        codes: soak.codes.take(),
        ..SoakResult::default()
    };
    compare(&soak.reported.borrow(), &committed.borrow(), &mut out);
    Ok(out)
}

/// Plays a soak.
///
/// # Errors
/// The proxy or a server cannot be started.
pub fn run(args: &Soak) -> Result<SoakResult, SessionError> {
    let proxy_program = program(args.proxy.as_deref())?;
    let io_error = |e| SessionError::File(args.out.display().to_string(), e);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io_error)?;
    tokio::task::LocalSet::new().block_on(&runtime, play(args, &proxy_program))
}

/// Plays a soak and prints the result. Returns whether nothing was wrong.
///
/// # Errors
/// The proxy or a server cannot be started.
pub fn main(args: &Soak) -> Result<bool, SessionError> {
    let summary = run(args)?;
    let mut out = format!(
        "{} writes in {} s by {} drivers over {} connections to {} servers, which died {} times; {} sessions\n",
        summary.writes,
        args.seconds,
        args.clients,
        args.connections,
        args.servers,
        summary.deaths,
        summary.sessions
    );
    let percent = |n: usize| n as f64 * 100.0 / summary.writes.max(1) as f64;
    let _ = writeln!(
        out,
        "told as done {} ({:.2} %), as not done {} ({:.2} %), as unknown {} ({:.2} %), of which {} were done; {} wrong",
        summary.reported[0],
        percent(summary.reported[0]),
        summary.reported[1],
        percent(summary.reported[1]),
        summary.reported[2],
        percent(summary.reported[2]),
        summary.unknown_done,
        summary.wrong.len()
    );
    for (code, count) in &summary.codes {
        let _ = writeln!(out, "  {count:>6}  {code}");
    }
    summary.wrong.iter().take(20).for_each(|w| out.push_str(&format!("WRONG: {w}\n")));
    print(&out);
    Ok(summary.wrong.is_empty())
}

#[cfg(test)]
mod tests;
