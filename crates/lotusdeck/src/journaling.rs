//! The ledger as the core's journal.

use crate::operator::LedgerSettings;
use lotusdeck_core::{Journal, RequestLabels, SendPermit};
use lotusdeck_ledger::{End, Folder, Ledger, LedgerStatus, Mode, OnFailure, Options, Record};
use lotusdeck_policy::{AttemptNo, Micros, Outcome, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// Advice to clients while nothing can be written: a new segment is tried for twice a second.
const COME_AGAIN: Micros = Micros(1_000_000);
/// How long the end of the process waits for its last record.
const CLOSE: Duration = Duration::from_millis(100);

/// The journal of this process.
pub(crate) struct Journaling {
    ledger: Ledger,
    wait: Duration,
    warn_free: u64,
    /// The ids of requests that are not settled.
    ids: RefCell<HashMap<RequestId, String>>,
    warned: Cell<bool>,
}

fn now() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unix.as_millis() as u64
}

impl Journaling {
    /// Starts a generation in the folder that the operators named; `None` where they named none.
    ///
    /// # Errors
    /// Where the folder cannot be made or no thread started.
    pub(crate) fn start(
        settings: &LedgerSettings, proxy: &str, seed: u64,
    ) -> std::io::Result<Option<Rc<Journaling>>> {
        let Some(folder) = &settings.folder else { return Ok(None) };
        let mut options = Options::new(
            proxy,
            if settings.power { Mode::Power } else { Mode::Process },
            if settings.go_on { OnFailure::SendUnrecorded } else { OnFailure::RejectRequests },
        );
        let day = 24 * 3600 * 1000;
        (options.segment_bytes, options.keep_bytes) = (settings.segment_mb << 20, settings.keep_mb << 20);
        (options.keep, options.keep_unresolved) =
            (settings.keep_days * day, settings.keep_unresolved_days * day);
        let disk = Folder::open(folder)?;
        // Starts of one proxy differ in their seeds; the time makes sure where a seed is given twice.
        let generation = now() << 20 | seed & 0xf_ffff;
        let ledger = Ledger::start(disk, options, generation)?;
        let shown = ledger.status();
        info!(folder = %folder.display(), generation, free = shown.free_bytes, failing = shown.is_failing, "ledger starts");
        let journaling = Journaling {
            ledger,
            wait: settings.wait,
            warn_free: settings.warn_free_mb << 20,
            ids: RefCell::default(),
            warned: Cell::new(false),
        };
        Ok(Some(Rc::new(journaling)))
    }

    /// Lines for the log on what changed: called every few seconds.
    pub(crate) fn report(&self) {
        for segment in self.ledger.take_dropped() {
            info!(segment, "ledger segment dropped");
        }
        let shown = self.ledger.status();
        let short = shown.is_failing || shown.free_bytes < self.warn_free;
        if short != self.warned.replace(short) {
            warn!(
                failing = shown.is_failing,
                free = shown.free_bytes,
                failed = shown.records_lost,
                short,
                "ledger space"
            );
        }
        if shown.records > 0 {
            info!(
                records = shown.records,
                depth = shown.queued_records,
                writes = shown.writes,
                syncs = shown.syncs,
                failed = shown.records_lost,
                "ledger"
            );
        }
    }

    /// Ends the generation in order.
    pub(crate) async fn close(&self) {
        let _ = tokio::time::timeout(CLOSE, self.ledger.close()).await; // it then reads as one that crashed
    }
}

impl Journal for Journaling {
    fn unavailable_for(&self) -> Option<Micros> {
        (!self.ledger.sends_unrecorded() && self.ledger.status().is_failing).then_some(COME_AGAIN)
    }

    fn request_taken(&self, request: RequestId, labels: RequestLabels) {
        let id = Ledger::text(&labels.id);
        self.ids.borrow_mut().insert(request, id.clone());
        let (class, key) = (Ledger::text(&labels.class), Ledger::text(&labels.key));
        self.ledger.record(Record::Taken { request: request.0, at: now(), id, class, key });
    }

    fn attempt_intended(
        &self, request: RequestId, attempt: AttemptNo, backend: &str, address: SocketAddr,
    ) -> SendPermit {
        let id = self.ids.borrow().get(&request).cloned().unwrap_or_default();
        let (backend, address) = (Ledger::text(backend), address.to_string());
        let record =
            Record::Intent { request: request.0, attempt: attempt.0, at: now(), id, backend, address };
        let (durable, wait) = (self.ledger.record_durably(record), self.wait);
        let goes_on = self.ledger.sends_unrecorded();
        Box::pin(async move { tokio::time::timeout(wait, durable).await.unwrap_or(false) || goes_on })
    }

    fn attempt_ended(&self, request: RequestId, attempt: AttemptNo, outcome: Outcome, status: Option<u16>) {
        let end = match (outcome, status) {
            (outcome, _) if outcome.never_ran() => End::NeverSent,
            (_, Some(status)) => End::Answered(status),
            _ => End::Unanswered,
        };
        self.ledger.record(Record::Ended { request: request.0, attempt: attempt.0, at: now(), end });
    }

    fn request_finished(&self, request: RequestId) {
        self.ids.borrow_mut().remove(&request);
        self.ledger.record(Record::Settled { request: request.0 });
    }

    fn status(&self) -> LedgerStatus {
        self.ledger.status()
    }
}
