//! The driver on real sockets: runs the model around real lotusdeck processes, on loopback.

pub mod clients;
pub mod discovery;
pub mod fleet;
pub mod proxies;
pub mod relay;
pub mod run;
pub mod usage;
pub mod wire;

use crate::record::{Observation, Record};
use lotusdeck_policy::Time;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The run's clock, shared by all its threads. It is zero until the start, when the first request may arrive.
#[derive(Clone, Default)]
pub struct Clock(Arc<OnceLock<(Instant, u64)>>);

/// How long [`Clock::instant`] lets a caller wait before it asks again, while the start is unknown.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Clock {
    /// Sets the start to `span` from now. Only the first call has an effect.
    pub fn start_in(&self, span: Duration) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + span;
        self.0.get_or_init(|| (Instant::now() + span, unix.as_micros() as u64));
    }
    /// Returns the time since the start.
    pub fn now(&self) -> Time {
        let since = self.0.get().map(|(start, _)| Instant::now().saturating_duration_since(*start));
        Time(since.unwrap_or_default().as_micros() as u64)
    }
    /// Returns the instant of a time of the run. Where the start is not known yet, returns one shortly from now,
    /// at which the caller should ask again.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        let start = self.0.get().map(|(start, _)| *start + Duration::from_micros(at.0));
        start.unwrap_or_else(|| Instant::now() + START_POLL_INTERVAL).into()
    }
    /// Converts a time of the run to Unix milliseconds; 0 where the start is not known yet.
    pub fn unix_ms(&self, at: Time) -> u64 {
        self.0.get().map_or(0, |(_, unix_us)| (unix_us + at.0) / 1000)
    }
}

/// The records of one thread.
#[derive(Clone)]
pub struct Log {
    clock: Clock,
    records: Rc<RefCell<Vec<Record>>>,
}

impl Log {
    /// Creates an empty log.
    pub fn new(clock: Clock) -> Log {
        Log { clock, records: Rc::default() }
    }
    /// Records an observation at the current time.
    pub fn add(&self, what: Observation) {
        self.records.borrow_mut().push(Record { at: self.clock.now(), what });
    }
    /// Records an observation at the past time `at`. Records are sorted by time before they are judged.
    pub fn add_at(&self, at: Time, what: Observation) {
        self.records.borrow_mut().push(Record { at, what });
    }
    /// Removes and returns all records.
    pub fn take(&self) -> Vec<Record> {
        self.records.take()
    }
}
