//! What clients, backends, discovery and the testbed itself saw in a soak run. Nothing here comes from the proxies.

use crate::record::TryId;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// May be repeated.
    Read,
    /// Must not run twice.
    Order,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// When its last byte arrived.
        at: Duration,
    },
    /// The connection ended without a whole answer.
    Closed {
        /// When it ended.
        at: Duration,
    },
    /// No answer until the client stopped to wait, well after its deadline.
    Unanswered,
    /// The client closed its connection.
    Left {
        /// When it did.
        at: Duration,
    },
}

/// A request as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct ClientRecord {
    /// Its id.
    pub id: TryId,
    /// The proxy that it was sent to.
    pub proxy: usize,
    /// Its class.
    pub class: Class,
    /// When its last byte was written.
    pub sent_at: Duration,
    /// Whether an earlier request was answered on its connection.
    pub reused: bool,
    /// How it ended.
    pub outcome: Outcome,
}

/// An attempt as its backend saw it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    /// The id of its request.
    pub id: TryId,
    /// The backend.
    pub backend: usize,
    /// When it was read.
    pub at: Duration,
    /// Whether the backend rejected it without processing it.
    pub turned_away: bool,
}

/// What is large about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// Its answer, which a backend writes slowly.
    LongAnswer,
    /// The same, of an answer that is short enough to be complete in its client's time.
    ShortAnswer,
    /// Its answer, which half of the backends begin and never end.
    SilentAnswer,
    /// Its own body, which a backend reads slowly or stops reading.
    LargeRequest,
}

/// A request with a large body or answer, as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct BodyRecord {
    /// Its id.
    pub id: TryId,
    /// The proxy that it was sent to.
    pub proxy: usize,
    /// Its class.
    pub class: Class,
    /// What is large about it.
    pub kind: BodyKind,
    /// When its first byte was written.
    pub started_at: Duration,
    /// When its last byte was written.
    pub sent_at: Duration,
    /// How long its client waits for the answer.
    pub deadline: Duration,
    /// Whether its last byte could be written.
    pub is_written: bool,
    /// When the first byte of the answer arrived.
    pub began_at: Option<Duration>,
    /// The status of the answer.
    pub status: Option<u16>,
    /// Whether the answer of a backend arrived to its end.
    pub is_whole: bool,
    /// Whether the client takes it for an answer that did.
    pub looks_whole: bool,
    /// Number of bytes of the answer's body that arrived.
    pub body_bytes: usize,
    /// When the client stopped to wait.
    pub ended_at: Duration,
}

/// A slow answer that a backend began.
#[derive(Clone, Copy, Debug)]
pub struct BegunAnswer {
    /// The id of its request.
    pub id: TryId,
    /// The backend.
    pub backend: usize,
    /// When its head was written.
    pub at: Duration,
    /// How long its body takes.
    pub takes: Duration,
}

/// The largest resident memory of a process.
#[derive(Clone, Copy, Debug)]
pub struct PeakRecord {
    /// The process.
    pub process: ProcessId,
    /// When it was read.
    pub at: Duration,
    /// The memory, in KiB.
    pub kib: u64,
}

/// A process of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProcessId {
    /// The proxy.
    pub proxy: usize,
    /// Number of its processes before this one.
    pub start: u32,
}

/// What discovery and the testbed did to a process.
#[derive(Clone, Copy, Debug)]
pub enum ProcessEvent {
    /// It was started with this version of the list.
    Started {
        /// The version in its configuration.
        version: u64,
    },
    /// It was told by SIGHUP that discovery has moved.
    ToldOfMove,
    /// Discovery wrote it all changes up to this version.
    Notified {
        /// The version.
        version: u64,
    },
    /// A call of it that waits is not answered any more.
    Silenced {
        /// When its wait would have ended.
        wait_ends_at: Duration,
    },
    /// The connection of a call that was not answered any more has ended.
    SilenceEnded {
        /// When the call's wait would have ended.
        wait_ends_at: Duration,
    },
    /// It was sent SIGTERM.
    Stopping,
    /// It was sent SIGKILL, without SIGTERM before.
    Killed,
    /// It ended.
    Ended {
        /// Whether it was killed.
        killed: bool,
        /// Whether it had been sent SIGTERM and, if not killed, reported success.
        expected: bool,
    },
}

/// An event of a process and its time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRecord {
    /// The process.
    pub process: ProcessId,
    /// When it happened.
    pub at: Duration,
    /// What happened.
    pub event: ProcessEvent,
}

/// How late the testbed itself was.
#[derive(Clone, Copy, Debug)]
pub struct LagRecord {
    /// When it was measured.
    pub at: Duration,
    /// How late its event loop was.
    pub lag: Duration,
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Requests of clients.
    pub requests: Vec<ClientRecord>,
    /// Attempts at backends, by time.
    pub attempts: Vec<AttemptRecord>,
    /// Events of processes, by time.
    pub processes: Vec<ProcessRecord>,
    /// Requests with large bodies or answers.
    pub bodies: Vec<BodyRecord>,
    /// Long answers that backends began.
    pub begun_answers: Vec<BegunAnswer>,
    /// Peak memory of processes.
    pub peaks: Vec<PeakRecord>,
    /// Lags of the testbed that are long enough to matter, by time.
    pub lags: Vec<LagRecord>,
}

/// The shortest lag of the testbed that is recorded.
pub const NOTABLE_LAG: Duration = Duration::from_millis(3);

/// Collects the records of a run and tells its time.
pub struct Recorder {
    /// When the run began; `None` while the proxies are started.
    started_at: Cell<Option<Instant>>,
    records: RefCell<Records>,
}

impl Recorder {
    /// Creates a recorder whose time is zero until the run begins.
    pub fn new() -> Recorder {
        Recorder { started_at: Cell::new(None), records: RefCell::default() }
    }

    /// Begins the run.
    pub fn begin(&self) {
        self.started_at.set(Some(Instant::now()));
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started_at.get().map_or(Duration::ZERO, |started_at| started_at.elapsed())
    }

    /// Waits until a time of the run.
    pub async fn wait_until(&self, at: Duration) {
        tokio::time::sleep(at.saturating_sub(self.now())).await;
    }

    /// Records a request.
    pub fn add_request(&self, record: ClientRecord) {
        self.records.borrow_mut().requests.push(record);
    }

    /// Records an attempt that is read now.
    pub fn add_attempt(&self, id: TryId, backend: usize, turned_away: bool) {
        let record = AttemptRecord { id, backend, at: self.now(), turned_away };
        self.records.borrow_mut().attempts.push(record);
    }

    /// Records a request with a large body or answer.
    pub fn add_body(&self, record: BodyRecord) {
        self.records.borrow_mut().bodies.push(record);
    }

    /// Records an answer that a backend begins now, and whose body takes this long.
    pub fn add_begun_answer(&self, id: TryId, backend: usize, takes: Duration) {
        let record = BegunAnswer { id, backend, at: self.now(), takes };
        self.records.borrow_mut().begun_answers.push(record);
    }

    /// Records the peak memory of a process, which is read now.
    pub fn add_peak(&self, process: ProcessId, kib: u64) {
        let record = PeakRecord { process, at: self.now(), kib };
        self.records.borrow_mut().peaks.push(record);
    }

    /// Records an event of a process that happens now.
    pub fn add_event(&self, process: ProcessId, event: ProcessEvent) {
        let record = ProcessRecord { process, at: self.now(), event };
        self.records.borrow_mut().processes.push(record);
    }

    /// Records how late the testbed's event loop is. Never returns.
    pub async fn record_lag(&self) {
        const INTERVAL: Duration = Duration::from_millis(5);
        loop {
            let due = Instant::now() + INTERVAL;
            tokio::time::sleep_until(due).await;
            let lag = due.elapsed();
            if lag > NOTABLE_LAG {
                self.records.borrow_mut().lags.push(LagRecord { at: self.now(), lag });
            }
        }
    }

    /// Removes and returns all records.
    pub fn take(&self) -> Records {
        self.records.take()
    }
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder::new()
    }
}
