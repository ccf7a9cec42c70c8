//! What a client is told of a transaction that was not served.

use super::Session;
use crate::error::ClientError;
use crate::io::drain;
use crate::login::{put_ready, put_ready_in_failed_block};
use crate::track::ConnectionTracker;
use lotusdeck_core::Answer;
use tracing::debug;

fn result_unknown() -> ClientError {
    ClientError::error("08007", "the server was lost: whether this was done is not known")
}

fn deadline_exceeded() -> ClientError {
    ClientError::error("57014", "its time was up before its answer came")
}

impl Session {
    /// Returns the error that the client gets for the core's answer; `None` if its transaction was served.
    pub(super) fn error_for(&self, answer: &Answer) -> Option<ClientError> {
        let client = &self.client;
        let is_result_unknown = client.tracker.get().is_result_unknown();
        Some(match answer {
            Answer::Served(_) => return None,
            // The statement may be repeated, but the core makes no further attempt: report the loss of the server.
            Answer::Rejected(_) if client.server_lost.get() && is_result_unknown => result_unknown(),
            Answer::Rejected(after) => ClientError::no_capacity(*after, client.sent.get()),
            Answer::TimedOut => deadline_exceeded(),
            // The core cancelled the attempt shortly before the client's deadline, while the server had the statement, or
            // while all connections were in use.
            Answer::Failed
                if !client.server_lost.get() && (client.sent.get() || !client.connect_failed.get()) =>
            {
                deadline_exceeded()
            }
            Answer::Failed if is_result_unknown => result_unknown(),
            Answer::Failed => ClientError::error("08006", "the server was lost before anything was done"),
        })
    }

    /// Sends the client the error of its failed transaction in place of the pending replies; returns whether the
    /// session continues. It ends if a transaction block may be open: what the client sends ahead of the error would
    /// run outside the block.
    pub(super) async fn report_error(&self, error: ClientError) -> bool {
        debug!(code = error.code, fatal = error.fatal, "transaction not served");
        if !self.client.to_client.borrow().is_at_boundary() {
            return false; // the client has received part of a message, which an error cannot follow
        }
        let tracker = self.client.tracker.get();
        let is_client_waiting =
            tracker.pending_ready() > 0 || tracker.needs_sync() || !self.client.sent.get();
        if error.fatal || !is_client_waiting {
            // To a client that waits for no reply, a lost transaction can be reported only by ending its session.
            self.put_fatal(error);
            return false;
        }
        // If no ReadyForQuery is pending, or a Sync is missing, the client expects one only after its next Query,
        // FunctionCall or Sync.
        let is_part_incomplete = tracker.pending_ready() == 0 || tracker.needs_sync();
        if tracker.may_be_in_block() || (is_part_incomplete && self.buffered_part_may_begin_block()) {
            self.put_errors_of_block(error, &tracker);
            return false;
        }
        self.put_error_for_each_complete_part(&error, &tracker);
        if is_part_incomplete && !self.fail_incomplete_part(error).await {
            return false;
        }
        self.client.tracker.set(ConnectionTracker::default());
        drain(&self.client.output, &self.client.tcp).await.is_ok()
    }

    /// Appends the error and the ReadyForQuery of each pending part that the client has completed: a ReadyForQuery
    /// alone would mean an empty result.
    fn put_error_for_each_complete_part(&self, error: &ClientError, tracker: &ConnectionTracker) {
        let mut output = self.client.output.borrow_mut();
        for _ in 0..tracker.pending_ready() {
            error.put(&mut output);
            put_ready(&mut output);
        }
    }

    /// Sends the error of the part that the client has not completed, and appends its ReadyForQuery once the rest of
    /// it has arrived; returns whether the session continues.
    async fn fail_incomplete_part(&self, error: ClientError) -> bool {
        error.put(&mut self.client.output.borrow_mut());
        // The client may wait for the error before it sends more messages.
        if drain(&self.client.output, &self.client.tcp).await.is_err() {
            return false;
        }
        match self.skip_part().await {
            Ok(skipped) if skipped.may_begin_block => {
                self.put_fatal(error);
                false
            }
            Ok(_) => {
                put_ready(&mut self.client.output.borrow_mut());
                true
            }
            Err(_) => false,
        }
    }

    /// Appends the error for each pending part of a transaction block; the last one ends the session.
    fn put_errors_of_block(&self, error: ClientError, tracker: &ConnectionTracker) {
        let pending_parts = tracker.pending_ready() + u32::from(tracker.needs_sync());
        let mut output = self.client.output.borrow_mut();
        for _ in 1..pending_parts {
            error.put(&mut output);
            put_ready_in_failed_block(&mut output);
        }
        drop(output);
        self.put_fatal(error);
    }

    /// Appends the error as one that ends the session.
    fn put_fatal(&self, error: ClientError) {
        ClientError { fatal: true, ..error }.put(&mut self.client.output.borrow_mut());
    }
}
