//! The stand-ins around measured proxies, on a thread of their own: discovery, one backend that answers at once, and
//! hollow proxies.

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

/// Bytes of a backend's answer.
const ANSWER_BYTES: usize = 512;

/// Followers that need longer for a list or change show a fault and no slope.
const LATEST: Duration = Duration::from_secs(180);
/// Between two looks at who is there.
const LOOK: Duration = Duration::from_millis(5);

/// What the stand-ins are told.
enum Order {
    Change(Vec<Change>),
    Counters(oneshot::Sender<Counters>),
    Listed(oneshot::Sender<Listed>),
    InForce(oneshot::Sender<Vec<(Follower, Duration)>>),
}

/// Stand-ins that end with this value.
pub struct StandIns {
    orders: mpsc::UnboundedSender<Order>,
    /// Where real processes follow.
    pub discovery: SocketAddr,
    /// Where hollow proxies follow.
    pub hollow: SocketAddr,
}

struct Addresses {
    real: SocketAddr,
    hollow: SocketAddr,
}

impl StandIns {
    /// Starts discovery with so many backends, of which the first is there and answers.
    ///
    /// # Errors
    /// No thread or socket can be had.
    pub async fn start(backends: usize, zones: usize, capacity: Capacity) -> Result<StandIns, ScaleRunError> {
        let (orders, taken) = mpsc::unbounded_channel();
        let (ready, standing) = oneshot::channel();
        thread("stand-ins", move || async move {
            let started = begin(backends, zones, capacity).await;
            match started {
                Ok((directory, addresses)) => {
                    let _ = ready.send(Ok(addresses));
                    heed(directory, taken).await;
                }
                Err(error) => drop(ready.send(Err(error))),
            }
        })?;
        let addresses = standing.await.map_err(|_| ScaleRunError::Thread)??;
        Ok(StandIns { orders, discovery: addresses.real, hollow: addresses.hollow })
    }

    /// Changes the list.
    pub fn change(&self, changes: Vec<Change>) {
        let _ = self.orders.send(Order::Change(changes)); // the thread ends with this value only
    }

    /// What was told so far.
    ///
    /// # Errors
    /// The thread has ended.
    pub async fn counters(&self) -> Result<Counters, ScaleRunError> {
        self.ask(Order::Counters).await
    }

    /// How long after each change each follower had it in force, of all since the last call.
    ///
    /// # Errors
    /// The thread has ended.
    pub async fn in_force(&self) -> Result<Vec<(Follower, Duration)>, ScaleRunError> {
        self.ask(Order::InForce).await
    }

    /// Changes the list as the events say, each at its time.
    pub async fn play(&self, events: &[Event]) {
        let began = Instant::now();
        for event in events {
            tokio::time::sleep_until(began + event.at).await;
            self.change(event.changes.clone());
        }
    }

    /// Waits until so many followers of one sort have a list.
    ///
    /// # Errors
    /// They are too late.
    pub async fn wait_listed(&self, sort: Follower, count: usize) -> Result<(), ScaleRunError> {
        let end = Instant::now() + LATEST;
        while Instant::now() < end {
            let listed = self.ask(Order::Listed).await?;
            let have = if sort == Follower::Real { listed.real } else { listed.hollow };
            if have >= count {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(ScaleRunError::Late(format!("{count} followers with a list")))
    }

    /// Waits until so many followers have the last change in force; how long after it each had.
    ///
    /// # Errors
    /// They are too late.
    pub async fn wait_in_force(&self, count: usize) -> Result<Vec<Duration>, ScaleRunError> {
        let (end, mut ages) = (Instant::now() + LATEST, Vec::new());
        while Instant::now() < end {
            ages.extend(self.in_force().await?.into_iter().map(|(_, age)| age));
            if ages.len() >= count {
                return Ok(ages);
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(ScaleRunError::Late(format!("{count} followers with a change in force")))
    }

    async fn ask<T>(&self, order: impl FnOnce(oneshot::Sender<T>) -> Order) -> Result<T, ScaleRunError> {
        let (answer, answered) = oneshot::channel();
        let _ = self.orders.send(order(answer));
        answered.await.map_err(|_| ScaleRunError::Thread)
    }
}

async fn begin(
    backends: usize, zones: usize, capacity: Capacity,
) -> std::io::Result<(std::rc::Rc<Directory>, Addresses)> {
    let real_backend = answering_backends(1, ANSWER_BYTES).await?.first().copied();
    let directory = Directory::new(backends, zones, capacity, real_backend);
    let real = directory.listen(Follower::Real)?;
    let hollow = directory.listen(Follower::Hollow)?;
    Ok((directory, Addresses { real, hollow }))
}

async fn heed(directory: std::rc::Rc<Directory>, mut orders: mpsc::UnboundedReceiver<Order>) {
    while let Some(order) = orders.recv().await {
        match order {
            Order::Change(changes) => directory.change(&changes, unix_ms()),
            Order::Counters(answer) => drop(answer.send(directory.counters())),
            Order::Listed(answer) => drop(answer.send(directory.listed())),
            Order::InForce(answer) => drop(answer.send(directory.take_in_force())),
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Hollow proxies, on a thread of their own; they end with this value.
pub struct Hollow {
    _stop: oneshot::Sender<()>,
}

impl Hollow {
    /// Starts so many.
    ///
    /// # Errors
    /// No thread can be had.
    pub fn start(count: usize, discovery: SocketAddr) -> std::io::Result<Hollow> {
        let (stop, stopped) = oneshot::channel::<()>();
        thread("hollow", move || async move {
            for _ in 0..count {
                tokio::task::spawn_local(hollow::follow(discovery));
            }
            let _ = stopped.await;
        })?;
        Ok(Hollow { _stop: stop })
    }
}
