//! Whether a proxy's process accepts clients, and since when.

use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The time after a start in which no signal is sent.
const FIRST_SECOND: Duration = Duration::from_secs(1);
/// Time limit for a process to accept clients after its start.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Since when the current process of a proxy accepts clients.
pub(super) struct Readiness {
    ready_at: watch::Sender<Option<Instant>>,
}

impl Readiness {
    /// Creates the state of a proxy without a process.
    pub(super) fn new() -> Readiness {
        Readiness { ready_at: watch::Sender::new(None) }
    }

    /// Records that the process accepts clients from now on.
    pub(super) fn begin(&self) {
        self.ready_at.send_replace(Some(Instant::now()));
    }

    /// Records that the process ends: the next one is not ready yet.
    pub(super) fn end(&self) {
        self.ready_at.send_replace(None);
    }

    /// Waits until the current process, or the next one, has accepted clients for a second. Returns after the longest
    /// start even if there is none.
    pub(super) async fn first_second_over(&self) {
        let mut ready_at = self.ready_at.subscribe();
        let first_second_over = async {
            while let Some(since) = ready_at.wait_for(Option::is_some).await.ok().and_then(|at| *at) {
                tokio::time::sleep_until(since + FIRST_SECOND).await;
                if *self.ready_at.borrow() == Some(since) {
                    return;
                }
            }
        };
        // Fails only if no process became ready, which the run reports by itself.
        let _ = tokio::time::timeout(START_TIMEOUT + FIRST_SECOND, first_second_over).await;
    }
}

#[cfg(test)]
mod tests;
