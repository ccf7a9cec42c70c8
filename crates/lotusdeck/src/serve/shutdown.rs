//! Graceful shutdown: the steps after the process is asked to stop, in their order.

use super::signals::StopSignals;
use crate::ledger_journal::LedgerJournal;
use crate::postgres::RunningFront;
use std::rc::Rc;
use tracing::info;

/// Waits until the process is asked to stop, then starts draining the PostgreSQL fronts. The HTTP server drains itself
/// afterwards.
pub(super) async fn requested(mut signals: StopSignals, fronts: Rc<Vec<RunningFront>>) {
    signals.wait().await;
    info!("stopping");
    fronts.iter().for_each(RunningFront::stop);
}

/// Closes the ledger, after the last request has ended.
pub(super) async fn finish(ledger: Option<Rc<LedgerJournal>>) {
    if let Some(ledger) = ledger {
        ledger.close().await;
    }
    info!("stopped");
}
