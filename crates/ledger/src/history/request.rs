//! A request as reconstructed from its records.

use crate::record::Millis;
use serde::Serialize;

/// The known outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// Certainly not processed.
    NeverSent,
    /// Sent, and answered with this status.
    Answered(u16),
    /// Sent, and ended without an answer.
    Unanswered,
    /// Possibly sent; its end is not recorded.
    PossiblySent,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Attempt {
    /// Its number, from 0.
    pub number: u32,
    /// The backend's id.
    pub backend: String,
    /// The address of the backend.
    pub address: String,
    /// The time from which it may have been sent.
    #[serde(rename = "at")]
    pub sent_at: Millis,
    /// Its outcome.
    #[serde(rename = "fate")]
    pub outcome: AttemptOutcome,
}

/// A summary of all attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SendState {
    /// No attempt was sent.
    NeverSent,
    /// At least one attempt was sent, and the end of each attempt is known.
    Sent,
    /// It may have been sent, or sent more often than the attempts show.
    PossiblySent,
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Request {
    /// Its correlation id.
    pub id: String,
    /// Its class; empty if the record of its arrival is lost.
    pub class: String,
    /// The name of the object that it concerns, as given by the client.
    pub key: String,
    /// The time of its arrival by the proxy's clock; `None` if the record of its arrival is lost.
    #[serde(rename = "taken")]
    pub taken_at: Option<Millis>,
    /// The proxy that received it.
    pub proxy: String,
    /// The generation of that proxy.
    pub generation: u64,
    /// Its attempts, in their order.
    pub attempts: Vec<Attempt>,
    /// Whether records that may have shown further attempts are missing.
    #[serde(rename = "doubt")]
    pub is_uncertain: bool,
    /// Whether the client received its final answer or disconnected.
    #[serde(rename = "settled")]
    pub is_finished: bool,
}

impl Request {
    /// Summarizes the attempts.
    pub fn send_state(&self) -> SendState {
        let has_uncertain_attempt =
            self.attempts.iter().any(|attempt| attempt.outcome == AttemptOutcome::PossiblySent);
        let was_sent = self.attempts.iter().any(|attempt| attempt.outcome != AttemptOutcome::NeverSent);
        if self.is_uncertain || has_uncertain_attempt {
            SendState::PossiblySent
        } else if was_sent {
            SendState::Sent
        } else {
            SendState::NeverSent
        }
    }
}
