//! Implements the journal of the core with the ledger: each attempt of a non-idempotent request is recorded before it
//! is sent.

use crate::operator::LedgerSection;
use lotusdeck_core::{Journal, RequestLabels, SendPermit};
use lotusdeck_ledger::{End, Folder, Ledger, LedgerStatus, Mode, OnFailure, Options, Record};
use lotusdeck_policy::{AttemptNo, Micros, Outcome, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// `Retry-After` for clients while the ledger cannot write. The ledger tries twice a second to create a new segment.
const RETRY_AFTER: Micros = Micros(1_000_000);
/// The maximum time that shutdown waits for the last record.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Low bits of a generation number that come from the seed.
const GENERATION_SEED_BITS: u32 = 20;
/// Left shift that converts MiB to bytes.
const MB_SHIFT: u32 = 20;
/// Milliseconds in a day.
const DAY_MS: u64 = 24 * 3600 * 1000;

/// The journal of this process, kept in a ledger.
pub(crate) struct LedgerJournal {
    ledger: Ledger,
    record_timeout: Duration,
    /// Free space below which a warning is logged, bytes.
    min_free_bytes: u64,
    /// The correlation ids of the requests that have not finished.
    request_ids: RefCell<HashMap<RequestId, String>>,
    /// Whether the last report found the ledger failing or short of free space.
    was_short: Cell<bool>,
}

/// Returns the milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

impl LedgerJournal {
    /// Starts a generation in the folder of the section. Returns `None` if the section has no folder.
    ///
    /// # Errors
    /// The folder cannot be created or the writer's thread cannot be started.
    pub(crate) fn start(
        section: &LedgerSection, proxy: &str, seed: u64,
    ) -> std::io::Result<Option<Rc<LedgerJournal>>> {
        let Some(folder) = &section.folder else { return Ok(None) };
        let mut options = Options::new(
            proxy,
            if section.survives_power_loss { Mode::Power } else { Mode::Process },
            if section.sends_without_record { OnFailure::SendUnrecorded } else { OnFailure::RejectRequests },
        );
        options.segment_bytes = section.segment_mb << MB_SHIFT;
        options.keep_bytes = section.keep_mb << MB_SHIFT;
        options.keep = section.keep_days * DAY_MS;
        options.keep_unresolved = section.keep_unresolved_days * DAY_MS;
        let disk = Folder::open(folder)?;
        // Each start of a proxy has its own seed; the time keeps generations distinct if a seed is reused.
        let generation = now_ms() << GENERATION_SEED_BITS | seed & ((1 << GENERATION_SEED_BITS) - 1);
        let ledger = Ledger::start(disk, options, generation)?;
        let status = ledger.status();
        info!(folder = %folder.display(), generation, free_bytes = status.free_bytes, failing = status.is_failing, "ledger started");
        let journal = LedgerJournal {
            ledger,
            record_timeout: section.record_timeout,
            min_free_bytes: section.warn_free_mb << MB_SHIFT,
            request_ids: RefCell::default(),
            was_short: Cell::new(false),
        };
        Ok(Some(Rc::new(journal)))
    }

    /// Logs the segments deleted since the last call, the start or end of a failure or a shortage of space, and the
    /// counts. Called every few seconds.
    pub(crate) fn report(&self) {
        for segment in self.ledger.take_deleted() {
            info!(segment, "ledger segment dropped");
        }
        let status = self.ledger.status();
        let is_short = status.is_failing || status.free_bytes < self.min_free_bytes;
        if is_short != self.was_short.replace(is_short) {
            warn!(
                failing = status.is_failing,
                free_bytes = status.free_bytes,
                lost_records = status.records_lost,
                short = is_short,
                "ledger space"
            );
        }
        if status.records > 0 {
            info!(
                records = status.records,
                queued_records = status.queued_records,
                writes = status.writes,
                syncs = status.syncs,
                lost_records = status.records_lost,
                "ledger"
            );
        }
    }

    /// Closes the generation; gives up after `CLOSE_TIMEOUT`.
    pub(crate) async fn close(&self) {
        // After a timeout the process appears to have crashed, to readers of the ledger.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.ledger.close()).await;
    }
}

impl Journal for LedgerJournal {
    fn unavailable_for(&self) -> Option<Micros> {
        (!self.ledger.sends_unrecorded() && self.ledger.status().is_failing).then_some(RETRY_AFTER)
    }

    fn record_request(&self, request: RequestId, labels: RequestLabels) {
        let id = Ledger::truncate_text(&labels.id);
        self.request_ids.borrow_mut().insert(request, id.clone());
        let class = Ledger::truncate_text(&labels.class);
        let key = Ledger::truncate_text(&labels.key);
        self.ledger.record(Record::Taken { request: request.0, at: now_ms(), id, class, key });
    }

    fn record_intent(
        &self, request: RequestId, attempt: AttemptNo, backend: &str, address: SocketAddr,
    ) -> SendPermit {
        let id = self.request_ids.borrow().get(&request).cloned().unwrap_or_default();
        let backend = Ledger::truncate_text(backend);
        let address = address.to_string();
        let record =
            Record::Intent { request: request.0, attempt: attempt.0, at: now_ms(), id, backend, address };
        let written = self.ledger.record_durably(record);
        let record_timeout = self.record_timeout;
        let sends_anyway = self.ledger.sends_unrecorded();
        Box::pin(async move {
            tokio::time::timeout(record_timeout, written).await.unwrap_or(false) || sends_anyway
        })
    }

    fn record_attempt_end(
        &self, request: RequestId, attempt: AttemptNo, outcome: Outcome, status: Option<u16>,
    ) {
        let end = match (outcome, status) {
            (outcome, _) if outcome.never_ran() => End::NeverSent,
            (_, Some(status)) => End::Answered(status),
            _ => End::Unanswered,
        };
        self.ledger.record(Record::Ended { request: request.0, attempt: attempt.0, at: now_ms(), end });
    }

    fn record_request_end(&self, request: RequestId) {
        self.request_ids.borrow_mut().remove(&request);
        self.ledger.record(Record::Settled { request: request.0 });
    }

    fn status(&self) -> LedgerStatus {
        self.ledger.status()
    }
}
