//! Runs a writer on its own thread. Callers that queue a record do not wait for the disk, but can await a future that
//! resolves when the record is durable.

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

/// The capacity of the writer's queue. Records beyond it are counted as lost.
const MAX_QUEUED_RECORDS: usize = 16 * 1024;

/// A handle to a running ledger. None of its methods waits for the disk.
pub struct Ledger {
    jobs: SyncSender<Job>,
    gauges: Arc<Gauges>,
    on_failure: OnFailure,
}

impl Ledger {
    /// Creates the first segment of a new generation on `disk` and starts the writer's thread.
    ///
    /// # Errors
    /// The thread cannot be started. A failure of the disk is not an error: see [`LedgerStatus::is_failing`].
    pub fn start<D>(disk: D, options: Options, generation: u64) -> std::io::Result<Ledger>
    where
        D: Disk + Send + 'static,
        D::File: Send,
    {
        let (jobs, queue) = sync_channel(MAX_QUEUED_RECORDS);
        let gauges = Arc::new(Gauges::default());
        let on_failure = options.on_failure;
        let (writer, first_segment) = Writer::open(disk, options, generation, wall_clock());
        gauges.is_failing.store(first_segment.is_err(), Relaxed);
        gauges.has_segment.store(writer.has_segment(), Relaxed);
        gauges.free_bytes.store(writer.free_bytes().unwrap_or(0), Relaxed);
        let worker = Worker::new(writer, queue, gauges.clone());
        std::thread::Builder::new().name("ledger".into()).spawn(move || worker.run())?;
        Ok(Ledger { jobs, gauges, on_failure })
    }

    /// Queues a record. The record is lost if the queue is full.
    pub fn record(&self, record: Record) {
        self.queue(Job::Write { record, durable: None });
    }

    /// Queues a record. The returned future resolves to whether the record is durable; it resolves to false at once if
    /// the queue is full.
    pub fn record_durably(&self, record: Record) -> DurableWrite {
        let durable = DurableWrite::default();
        if !self.queue(Job::Write { record, durable: Some(durable.clone()) }) {
            durable.resolve(false);
        }
        durable
    }

    /// Queues a job. Returns false and counts a lost record if the queue is full or the thread has ended.
    fn queue(&self, job: Job) -> bool {
        self.gauges.queued_records.fetch_add(1, Relaxed);
        match self.jobs.try_send(job) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.gauges.queued_records.fetch_sub(1, Relaxed);
                self.gauges.records_lost.fetch_add(1, Relaxed);
                self.gauges.rejected_records.fetch_add(1, Relaxed);
                false
            }
        }
    }

    /// Returns whether requests may be sent while no record can be written: see [`OnFailure::SendUnrecorded`].
    pub fn sends_unrecorded(&self) -> bool {
        self.on_failure == OnFailure::SendUnrecorded && self.gauges.has_segment.load(Relaxed)
    }

    /// Ends the generation gracefully. The returned future resolves to whether the last record was written.
    pub fn close(&self) -> DurableWrite {
        let closed = DurableWrite::default();
        if !self.queue(Job::Close(closed.clone())) {
            closed.resolve(false);
        }
        closed
    }

    /// Returns the current state, for operators.
    pub fn status(&self) -> LedgerStatus {
        self.gauges.status()
    }

    /// Returns the names of the segments deleted since the last call.
    pub fn take_deleted(&self) -> Vec<String> {
        self.gauges.take_deleted()
    }

    /// Truncates a text to the maximum length of a text in a record.
    pub fn truncate_text(text: &str) -> String {
        text::truncate(text)
    }
}
