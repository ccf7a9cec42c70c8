//! The stand-ins around measured proxies, on their own threads: discovery, one backend that answers
//! immediately, and hollow proxies.

use super::directory::{Change, Counters, Directory, Follower, Listed};
use super::events::Event;
use super::experiment::Capacity;
use super::{hollow, ScaleRunError};
use crate::driver::run::thread;
use crate::overhead::answering_backends;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Size of a backend's answer, bytes.
const ANSWER_BYTES: usize = 512;

/// Longest wait for followers to receive a list or a change; a longer delay is an error and not a measurement.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(180);
/// Interval of polling the state of the followers.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A command to the thread of the stand-ins.
enum Command {
    Change(Vec<Change>),
    Counters(oneshot::Sender<Counters>),
    Listed(oneshot::Sender<Listed>),
    InForce(oneshot::Sender<Vec<(Follower, Duration)>>),
}

/// Handle of the stand-ins, which stop when it is dropped.
pub struct StandIns {
    commands: mpsc::UnboundedSender<Command>,
    /// Address of discovery for real processes.
    pub discovery: SocketAddr,
    /// Address of discovery for hollow proxies.
    pub hollow: SocketAddr,
}

struct Addresses {
    real: SocketAddr,
    hollow: SocketAddr,
}

impl StandIns {
    /// Starts discovery with a list of `backends` lines. Only the first names a backend that exists and answers.
    ///
    /// # Errors
    /// Fails if a thread cannot be started or a socket not be opened.
    pub async fn start(backends: usize, zones: usize, capacity: Capacity) -> Result<StandIns, ScaleRunError> {
        let (commands, received) = mpsc::unbounded_channel();
        let (ready, addresses_receiver) = oneshot::channel();
        thread("stand-ins", move || async move {
            let started = start_services(backends, zones, capacity).await;
            match started {
                Ok((directory, addresses)) => {
                    let _ = ready.send(Ok(addresses));
                    run_commands(directory, received).await;
                }
                Err(error) => drop(ready.send(Err(error))),
            }
        })?;
        let addresses = addresses_receiver.await.map_err(|_| ScaleRunError::Thread)??;
        Ok(StandIns { commands, discovery: addresses.real, hollow: addresses.hollow })
    }

    /// Changes the list.
    pub fn change(&self, changes: Vec<Change>) {
        let _ = self.commands.send(Command::Change(changes)); // the thread ends only when this value is dropped
    }

    /// Returns the counters of all answers so far.
    ///
    /// # Errors
    /// Fails if the thread has ended.
    pub async fn counters(&self) -> Result<Counters, ScaleRunError> {
        self.call(Command::Counters).await
    }

    /// Returns the time from each change until each follower had it in force, for all observed since the last call.
    ///
    /// # Errors
    /// Fails if the thread has ended.
    pub async fn in_force(&self) -> Result<Vec<(Follower, Duration)>, ScaleRunError> {
        self.call(Command::InForce).await
    }

    /// Applies the changes of the events to the list, each at its time.
    pub async fn play(&self, events: &[Event]) {
        let began = Instant::now();
        for event in events {
            tokio::time::sleep_until(began + event.at).await;
            self.change(event.changes.clone());
        }
    }

    /// Waits until `count` followers of one kind have a list.
    ///
    /// # Errors
    /// Fails if this takes longer than `FOLLOWER_TIMEOUT`, or if the thread has ended.
    pub async fn wait_listed(&self, kind: Follower, count: usize) -> Result<(), ScaleRunError> {
        let end = Instant::now() + FOLLOWER_TIMEOUT;
        while Instant::now() < end {
            let listed = self.call(Command::Listed).await?;
            let found = if kind == Follower::Real { listed.real } else { listed.hollow };
            if found >= count {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(ScaleRunError::Late(format!("{count} followers with a list")))
    }

    /// Waits until `count` followers have the last change in force, and returns the time that each of them took.
    ///
    /// # Errors
    /// Fails if this takes longer than `FOLLOWER_TIMEOUT`, or if the thread has ended.
    pub async fn wait_in_force(&self, count: usize) -> Result<Vec<Duration>, ScaleRunError> {
        let (end, mut ages) = (Instant::now() + FOLLOWER_TIMEOUT, Vec::new());
        while Instant::now() < end {
            ages.extend(self.in_force().await?.into_iter().map(|(_, age)| age));
            if ages.len() >= count {
                return Ok(ages);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(ScaleRunError::Late(format!("{count} followers with a change in force")))
    }

    async fn call<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Result<T, ScaleRunError> {
        let (answer, receiver) = oneshot::channel();
        let _ = self.commands.send(command(answer));
        receiver.await.map_err(|_| ScaleRunError::Thread)
    }
}

async fn start_services(
    backends: usize, zones: usize, capacity: Capacity,
) -> std::io::Result<(std::rc::Rc<Directory>, Addresses)> {
    let real_backend = answering_backends(1, ANSWER_BYTES).await?.first().copied();
    let directory = Directory::new(backends, zones, capacity, real_backend);
    let real = directory.listen(Follower::Real)?;
    let hollow = directory.listen(Follower::Hollow)?;
    Ok((directory, Addresses { real, hollow }))
}

async fn run_commands(directory: std::rc::Rc<Directory>, mut commands: mpsc::UnboundedReceiver<Command>) {
    while let Some(command) = commands.recv().await {
        match command {
            Command::Change(changes) => directory.change(&changes, unix_ms()),
            Command::Counters(answer) => drop(answer.send(directory.counters())),
            Command::Listed(answer) => drop(answer.send(directory.listed())),
            Command::InForce(answer) => drop(answer.send(directory.take_in_force())),
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Handle of hollow proxies on a thread of their own, which stop when it is dropped.
pub struct HollowProxies {
    _stop: oneshot::Sender<()>,
}

impl HollowProxies {
    /// Starts `count` hollow proxies.
    ///
    /// # Errors
    /// Fails if no thread can be started.
    pub fn start(count: usize, discovery: SocketAddr) -> std::io::Result<HollowProxies> {
        let (stop, stopped) = oneshot::channel::<()>();
        thread("hollow", move || async move {
            for _ in 0..count {
                tokio::task::spawn_local(hollow::follow(discovery));
            }
            let _ = stopped.await;
        })?;
        Ok(HollowProxies { _stop: stop })
    }
}
