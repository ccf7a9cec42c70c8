//! What is known of one request.

use crate::record::Millis;
use serde::Serialize;

/// What became of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// Certainly not processed.
    NeverSent,
    /// Sent, and answered with this status.
    Answered(u16),
    /// Sent, and ended without an answer.
    Unanswered,
    /// It may have been sent.
    PossiblySent,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Attempt {
    /// Its number, from 0.
    pub number: u32,
    /// The backend's id.
    pub backend: String,
    /// Where the backend listened.
    pub address: String,
    /// From when on it might be sent.
    #[serde(rename = "at")]
    pub sent_at: Millis,
    /// What became of it.
    pub fate: Fate,
}

/// What is known of a request with all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It never reached a backend.
    NeverSent,
    /// It was sent, and the end of each attempt is known.
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
    /// What it concerns, as the client names it.
    pub key: String,
    /// When it was received, by the proxy's clock; `None` if the record of its arrival is lost.
    #[serde(rename = "taken")]
    pub taken_at: Option<Millis>,
    /// The proxy that received it.
    pub proxy: String,
    /// The generation of that proxy.
    pub generation: u64,
    /// Its attempts, in their order.
    pub attempts: Vec<Attempt>,
    /// Records that may have shown further attempts are missing.
    #[serde(rename = "doubt")]
    pub is_uncertain: bool,
    /// The client had its final answer, or had disconnected.
    #[serde(rename = "settled")]
    pub is_finished: bool,
}

impl Request {
    /// What is known of it with all its attempts.
    pub fn verdict(&self) -> Verdict {
        let has_uncertain_attempt = self.attempts.iter().any(|attempt| attempt.fate == Fate::PossiblySent);
        let was_sent = self.attempts.iter().any(|attempt| attempt.fate != Fate::NeverSent);
        if self.is_uncertain || has_uncertain_attempt {
            Verdict::PossiblySent
        } else if was_sent {
            Verdict::Sent
        } else {
            Verdict::NeverSent
        }
    }
}
