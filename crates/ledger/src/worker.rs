//! The writer's thread. It takes queued records in batches, each of which needs one write and one sync.

use crate::disk::Disk;
use crate::durable_write::DurableWrite;
use crate::record::{Millis, Record};
use crate::status::Gauges;
use crate::writer::Writer;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The maximum number of records in one write.
const MAX_BATCH: usize = 512;
/// The interval between checks of the disk while no record is queued.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the current time of the wall clock.
pub(crate) fn wall_clock() -> Millis {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unix.as_millis() as Millis
}

/// A job that the handle queues for the thread.
pub(crate) enum Job {
    /// Write a record, and resolve the future if there is one.
    Write { record: Record, durable: Option<DurableWrite> },
    /// Write the records queued before, end the generation gracefully, and resolve the future.
    Close(DurableWrite),
}

/// The state of the writer's thread.
pub(crate) struct Worker<D: Disk> {
    writer: Writer<D>,
    jobs: Receiver<Job>,
    gauges: Arc<Gauges>,
    /// The records of the next write.
    batch: Vec<Record>,
    /// The futures to resolve once the batch is written.
    waiting: Vec<DurableWrite>,
}

impl<D: Disk> Worker<D> {
    pub(crate) fn new(writer: Writer<D>, jobs: Receiver<Job>, gauges: Arc<Gauges>) -> Worker<D> {
        Worker {
            writer,
            jobs,
            gauges,
            batch: Vec::with_capacity(MAX_BATCH),
            waiting: Vec::with_capacity(MAX_BATCH),
        }
    }

    /// Runs until the ledger is closed or its handle is dropped.
    pub(crate) fn run(mut self) {
        loop {
            let closing = match self.jobs.recv_timeout(IDLE_CHECK_INTERVAL) {
                Ok(job) => self.collect_batch(job),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let rejected_records = self.gauges.rejected_records.swap(0, Relaxed);
            if rejected_records > 0 {
                self.writer.record_lost(wall_clock(), rejected_records);
            }
            if self.batch.is_empty() {
                self.check_disk();
            } else {
                self.write_batch();
            }
            self.update_gauges();
            if let Some(closed) = closing {
                closed.resolve(self.writer.close(wall_clock()).is_ok());
                return;
            }
        }
    }

    /// Adds queued records to the batch, up to `MAX_BATCH`. Returns the future of the close request if one is queued.
    fn collect_batch(&mut self, first: Job) -> Option<DurableWrite> {
        let mut next = Some(first);
        while let Some(job) = next {
            self.gauges.queued_records.fetch_sub(1, Relaxed);
            match job {
                Job::Write { record, durable } => {
                    self.batch.push(record);
                    self.waiting.extend(durable);
                }
                Job::Close(closed) => return Some(closed),
            }
            if self.batch.len() >= MAX_BATCH {
                return None;
            }
            next = self.jobs.try_recv().ok();
        }
        None
    }

    fn write_batch(&mut self) {
        let started = Instant::now();
        let is_written = self.writer.append(wall_clock(), &self.batch).is_ok();
        self.gauges.last_write_us.store(started.elapsed().as_micros() as u64, Relaxed);
        self.gauges.writes.fetch_add(1, Relaxed);
        let count = if is_written { &self.gauges.records } else { &self.gauges.records_lost };
        count.fetch_add(self.batch.len() as u64, Relaxed);
        self.batch.clear();
        self.waiting.drain(..).for_each(|durable| durable.resolve(is_written));
    }

    fn check_disk(&mut self) {
        if self.writer.is_failing() {
            // An empty append begins a segment if none is open, and records the gap.
            let _ = self.writer.append(wall_clock(), &[]);
        }
        self.gauges.free_bytes.store(self.writer.free_bytes().unwrap_or(0), Relaxed);
    }

    fn update_gauges(&mut self) {
        self.gauges.set_write_counts(self.writer.write_counts());
        self.gauges.is_failing.store(self.writer.is_failing(), Relaxed);
        self.gauges.has_segment.store(self.writer.has_segment(), Relaxed);
        self.gauges.add_deleted(self.writer.take_deleted());
    }
}
