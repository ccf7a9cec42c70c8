//! The driver on real sockets: it plays the model around real processes of lotusdeck, on loopback.

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

/// The run's time: it begins at zero when the first request may arrive, and stands at zero before. All threads of
/// a run share one.
#[derive(Clone, Default)]
pub struct Clock(Arc<OnceLock<(Instant, u64)>>);

/// Before the start a moment of the run is as far away as this.
const NOT_YET: Duration = Duration::from_millis(50);

impl Clock {
    /// The run starts so much from now. Only the first call counts.
    pub fn start_in(&self, span: Duration) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + span;
        self.0.get_or_init(|| (Instant::now() + span, unix.as_micros() as u64));
    }
    /// Since the start.
    pub fn now(&self) -> Time {
        let since = self.0.get().map(|(start, _)| Instant::now().saturating_duration_since(*start));
        Time(since.unwrap_or_default().as_micros() as u64)
    }
    /// When the machine's clock shows that time; soon, where the start is not known yet, to ask again.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        let start = self.0.get().map(|(start, _)| *start + Duration::from_micros(at.0));
        start.unwrap_or_else(|| Instant::now() + NOT_YET).into()
    }
    /// That time in Unix milliseconds.
    pub fn unix_ms(&self, at: Time) -> u64 {
        self.0.get().map_or(0, |(_, unix_us)| (unix_us + at.0) / 1000)
    }
}

/// Where one thread writes down what it sees.
#[derive(Clone)]
pub struct Log {
    clock: Clock,
    records: Rc<RefCell<Vec<Record>>>,
}

impl Log {
    /// An empty one.
    pub fn new(clock: Clock) -> Log {
        Log { clock, records: Rc::default() }
    }
    /// Something happened now.
    pub fn add(&self, what: Observation) {
        self.records.borrow_mut().push(Record { at: self.clock.now(), what });
    }
    /// Something happened at `at`, which is past: records are put in order of time before they are judged.
    pub fn add_at(&self, at: Time, what: Observation) {
        self.records.borrow_mut().push(Record { at, what });
    }
    /// All of it; the log is empty then.
    pub fn take(&self) -> Vec<Record> {
        self.records.take()
    }
}
