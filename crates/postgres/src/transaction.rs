//! One transaction: uses the server that the core chose until its connection is idle.

use crate::client::{CancelTarget, Client};
use crate::upstream::Servers;
use lotusdeck_core::{AnswerProgress, AttemptContext, AttemptFuture, Exchange};
use lotusdeck_policy::{AttemptNo, Outcome};
use std::rc::Rc;

/// A transaction in flight.
pub(crate) struct Transaction {
    pub client: Rc<Client>,
    pub servers: Rc<Servers>,
}

impl Exchange for Transaction {
    fn send_attempt(self: Rc<Self>, context: AttemptContext) -> AttemptFuture {
        Box::pin(async move {
            self.client.rewind();
            let upstream = match self.servers.acquire(context.backend, context.address).await {
                Ok(upstream) => upstream,
                Err(outcome) => {
                    self.client.connect_failed.set(true);
                    return outcome;
                }
            };
            let may_send = context.journaled().await && !self.client.sent.get() && context.may_send();
            if !may_send || self.client.has_disconnected() {
                self.servers.release(context.backend, upstream);
                return Outcome::NeverSent;
            }
            self.client
                .cancel_target
                .set(Some(CancelTarget { server: upstream.address, key: upstream.cancel_key }));
            self.client.statements.borrow_mut().begin_transaction();
            let report_delivery = || (context.report_progress)(AnswerProgress::Delivered);
            let outcome = tokio::select! {
                biased;
                outcome = self.client.forward_answers(&upstream, report_delivery) => outcome,
                outcome = self.client.forward_requests(&upstream) => outcome,
            };
            self.client.cancel_target.set(None);
            if outcome == Outcome::Success && self.client.is_reusable(&upstream) {
                self.servers.release(context.backend, upstream);
            }
            outcome
        })
    }

    /// Returns whether bytes were sent that are not kept for another attempt. Only a single statement of a class
    /// without side effects is kept, until part of its answer was forwarded.
    fn body_consumed(&self) -> bool {
        self.client.sent.get() && (self.client.answer_started.get() || self.client.replay.borrow().is_none())
    }

    /// An attempt writes to the client's connection and updates the state of its session.
    fn attempt_uses_client(&self) -> bool {
        true
    }

    fn answer_status(&self, _: AttemptNo) -> Option<u16> {
        None
    }
}
