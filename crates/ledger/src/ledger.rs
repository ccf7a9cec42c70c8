//! The ledger of a process: a writer on a thread of its own. Nobody who hands over a record waits for the disk, but may
//! await a future that resolves when the record is durable.

use crate::disk::Disk;
use crate::durable_write::DurableWrite;
use crate::options::{OnFailure, Options};
use crate::record::Record;
use crate::status::{Gauges, LedgerStatus};
use crate::text;
use crate::worker::{wall_clock, Job, Worker};
use crate::writer::Writer;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;

/// Records that may wait for the writer; those beyond count as records that could not be written.
const MAX_QUEUED_RECORDS: usize = 16 * 1024;

/// The handle of a ledger. No call blocks.
pub struct Ledger {
    jobs: SyncSender<Job>,
    gauges: Arc<Gauges>,
    on_failure: OnFailure,
}

impl Ledger {
    /// Starts the writer of a new generation on `disk`.
    ///
    /// # Errors
    /// No thread can be started. A disk that fails is no error: see [`LedgerStatus::is_failing`].
    pub fn start<D>(disk: D, options: Options, generation: u64) -> std::io::Result<Ledger>
    where
        D: Disk + Send + 'static,
        D::File: Send,
    {
        let (jobs, queue) = sync_channel(MAX_QUEUED_RECORDS);
        let gauges = Arc::new(Gauges::default());
        let on_failure = options.on_failure;
        let (writer, begun) = Writer::open(disk, options, generation, wall_clock());
        gauges.is_failing.store(begun.is_err(), Relaxed);
        gauges.has_segment.store(writer.has_segment(), Relaxed);
        gauges.free_bytes.store(writer.free_bytes().unwrap_or(0), Relaxed);
        let worker = Worker::new(writer, queue, gauges.clone());
        std::thread::Builder::new().name("ledger".into()).spawn(move || worker.run())?;
        Ok(Ledger { jobs, gauges, on_failure })
    }

    /// Queues a record.
    pub fn record(&self, record: Record) {
        self.queue(Job::Write { record, durable: None });
    }

    /// Queues a record whose request may be sent once it is durable.
    pub fn record_durably(&self, record: Record) -> DurableWrite {
        let durable = DurableWrite::default();
        if !self.queue(Job::Write { record, durable: Some(durable.clone()) }) {
            durable.resolve(false);
        }
        durable
    }

    /// Queues a job; returns false if the queue is full or the thread has ended.
    fn queue(&self, job: Job) -> bool {
        self.gauges.queued_records.fetch_add(1, Relaxed);
        match self.jobs.try_send(job) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.gauges.queued_records.fetch_sub(1, Relaxed);
                self.gauges.records_lost.fetch_add(1, Relaxed);
                self.gauges.skipped.fetch_add(1, Relaxed);
                false
            }
        }
    }

    /// Whether requests may be sent while nothing can be written: see [`OnFailure::SendUnrecorded`].
    pub fn sends_unrecorded(&self) -> bool {
        self.on_failure == OnFailure::SendUnrecorded && self.gauges.has_segment.load(Relaxed)
    }

    /// Ends the generation in order; resolves when its last record is written.
    pub fn close(&self) -> DurableWrite {
        let closed = DurableWrite::default();
        if !self.queue(Job::Close(closed.clone())) {
            closed.resolve(false);
        }
        closed
    }

    /// The present state, for operators.
    pub fn status(&self) -> LedgerStatus {
        self.gauges.status()
    }

    /// The names of the segments deleted for their age or the total size since the last call.
    pub fn take_deleted(&self) -> Vec<String> {
        self.gauges.take_deleted()
    }

    /// A text as records contain it: a very long one is truncated.
    pub fn truncate_text(text: &str) -> String {
        text::truncate(text)
    }
}
