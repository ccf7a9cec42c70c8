//! A writer on a thread of its own: whoever hands it a record never waits for the disk, but may ask to be told when
//! the record is safe. Many records share one write and one sync.

use crate::disk::Disk;
use crate::record::{Millis, Record};
use crate::writer::{cut, OnFailure, Options, Writer};
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Records that wait for the writer: beyond it a record counts as one that could not be written.
const QUEUE: usize = 16 * 1024;
/// Records of one write.
const BATCH: usize = 512;
/// How often the writer looks at the free space while nothing comes.
const LOOK: Duration = Duration::from_secs(1);

fn now() -> Millis {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unix.as_millis() as Millis
}

#[derive(Default)]
struct Slot {
    done: Option<bool>,
    waker: Option<Waker>,
}

/// Resolves to whether the record is as safe as the mode asks.
#[derive(Clone, Default)]
pub struct DurableWrite(Arc<Mutex<Slot>>);

impl DurableWrite {
    fn end(&self, safe: bool) {
        let mut slot = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        slot.done = Some(safe);
        slot.waker.take().into_iter().for_each(Waker::wake);
    }
}

impl Future for DurableWrite {
    type Output = bool;
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<bool> {
        let mut slot = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match slot.done {
            Some(safe) => Poll::Ready(safe),
            None => {
                slot.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

enum Job {
    Write(Record, Option<DurableWrite>),
    Close(DurableWrite),
}

/// What the ledger does, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LedgerStatus {
    /// Records handed over and not written yet.
    #[serde(rename = "depth")]
    pub queued_records: u64,
    /// Records written.
    pub records: u64,
    /// Writes; each took several records where there were several.
    pub writes: u64,
    /// Syncs.
    pub syncs: u64,
    /// Bytes of frames.
    pub bytes: u64,
    /// Records that could not be written.
    #[serde(rename = "failed")]
    pub records_lost: u64,
    /// How long the last write took, us.
    pub last_write_us: u64,
    /// Bytes that the disk still takes.
    pub free_bytes: u64,
    /// Nothing can be written at present.
    #[serde(rename = "failing")]
    pub is_failing: bool,
}

#[derive(Default)]
struct Gauges {
    depth: AtomicU64,
    records: AtomicU64,
    writes: AtomicU64,
    syncs: AtomicU64,
    bytes: AtomicU64,
    failed: AtomicU64,
    last_write_us: AtomicU64,
    free: AtomicU64,
    failing: AtomicBool,
    begun: AtomicBool,
    /// Records that found the queue full and whose requests were sent all the same.
    skipped: AtomicU64,
    dropped: Mutex<Vec<String>>,
}

/// The handle: cheap to call, never blocking.
pub struct Ledger {
    jobs: SyncSender<Job>,
    gauges: Arc<Gauges>,
    is_resumed: bool,
}

impl Ledger {
    /// Starts the writer of a new generation on `disk`.
    ///
    /// # Errors
    /// Where no thread can be started. A disk that fails is no error: see [`LedgerStatus::failing`].
    pub fn start<D>(disk: D, options: Options, generation: u64) -> std::io::Result<Ledger>
    where
        D: Disk + Send + 'static,
        D::File: Send,
    {
        let (jobs, queue) = sync_channel(QUEUE);
        let gauges = Arc::new(Gauges::default());
        let goes_on = options.on_failure == OnFailure::GoOn;
        let (writer, begun) = Writer::open(disk, options, generation, now());
        gauges.failing.store(begun.is_err(), Relaxed);
        gauges.begun.store(writer.begun(), Relaxed);
        gauges.free.store(writer.free_bytes().unwrap_or(0), Relaxed);
        let its = gauges.clone();
        std::thread::Builder::new().name("ledger".into()).spawn(move || work(writer, &queue, &its))?;
        Ok(Ledger { jobs, gauges, is_resumed: goes_on })
    }

    /// Hands a record over, and forgets it.
    pub fn record(&self, record: Record) {
        self.hand(Job::Write(record, None));
    }

    /// Hands a record over whose request may be sent once it is safe.
    pub fn record_durably(&self, record: Record) -> DurableWrite {
        let durable = DurableWrite::default();
        if !self.hand(Job::Write(record, Some(durable.clone()))) {
            durable.end(false); // whether it goes out all the same is its sender's to say
        }
        durable
    }

    fn hand(&self, job: Job) -> bool {
        self.gauges.depth.fetch_add(1, Relaxed);
        match self.jobs.try_send(job) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.gauges.depth.fetch_sub(1, Relaxed);
                self.gauges.failed.fetch_add(1, Relaxed);
                self.gauges.skipped.fetch_add(1, Relaxed);
                false
            }
        }
    }

    /// Requests go on while nothing can be written.
    pub fn is_resumed(&self) -> bool {
        self.is_resumed && self.gauges.begun.load(Relaxed)
    }

    /// Ends the generation in order: resolves when that is written.
    pub fn close(&self) -> DurableWrite {
        let durable = DurableWrite::default();
        if !self.hand(Job::Close(durable.clone())) {
            durable.end(false);
        }
        durable
    }

    /// What it does at this moment.
    pub fn status(&self) -> LedgerStatus {
        let g = &self.gauges;
        LedgerStatus {
            queued_records: g.depth.load(Relaxed),
            records: g.records.load(Relaxed),
            writes: g.writes.load(Relaxed),
            syncs: g.syncs.load(Relaxed),
            bytes: g.bytes.load(Relaxed),
            records_lost: g.failed.load(Relaxed),
            last_write_us: g.last_write_us.load(Relaxed),
            free_bytes: g.free.load(Relaxed),
            is_failing: g.failing.load(Relaxed),
        }
    }

    /// Segments dropped for their age or the space since the last call.
    pub fn take_dropped(&self) -> Vec<String> {
        std::mem::take(&mut *self.gauges.dropped.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A text as the ledger keeps it: very long ones are cut.
    pub fn text(text: &str) -> String {
        cut(text)
    }
}

fn work<D: Disk>(mut writer: Writer<D>, queue: &Receiver<Job>, gauges: &Gauges) {
    let (mut records, mut waiting) = (Vec::with_capacity(BATCH), Vec::with_capacity(BATCH));
    loop {
        let mut closing = None;
        let mut next = match queue.recv_timeout(LOOK) {
            Ok(job) => Some(job),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        while let Some(job) = next.take() {
            gauges.depth.fetch_sub(1, Relaxed);
            match job {
                Job::Write(record, durable) => {
                    records.push(record);
                    waiting.extend(durable);
                }
                Job::Close(durable) => closing = Some(durable),
            }
            if records.len() < BATCH && closing.is_none() {
                next = queue.try_recv().ok();
            }
        }
        let skipped = gauges.skipped.swap(0, Relaxed);
        if skipped > 0 {
            writer.record_lost(now(), skipped);
        }
        if !records.is_empty() {
            let began = std::time::Instant::now();
            let done = writer.append(now(), &records);
            gauges.last_write_us.store(began.elapsed().as_micros() as u64, Relaxed);
            gauges.writes.fetch_add(1, Relaxed);
            let count = if done.is_ok() { &gauges.records } else { &gauges.failed };
            count.fetch_add(records.len() as u64, Relaxed);
            records.clear();
            waiting.drain(..).for_each(|w: DurableWrite| w.end(done.is_ok()));
        } else {
            if writer.is_failing() {
                let _ = writer.append(now(), &[]); // whether a segment can be made again
            }
            gauges.free.store(writer.free_bytes().unwrap_or(0), Relaxed);
        }
        let (syncs, bytes) = writer.write_counts();
        gauges.syncs.store(syncs, Relaxed);
        gauges.bytes.store(bytes, Relaxed);
        gauges.failing.store(writer.is_failing(), Relaxed);
        gauges.begun.store(writer.begun(), Relaxed);
        gauges.dropped.lock().unwrap_or_else(PoisonError::into_inner).extend(writer.take_dropped());
        if let Some(durable) = closing {
            durable.end(writer.close(now()).is_ok());
            return;
        }
    }
}
