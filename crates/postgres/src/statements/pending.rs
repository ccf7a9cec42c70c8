//! The replies of a server that the proxy has to recognize, in their order.

use super::key::{Prepared, StatementKey};
use std::collections::VecDeque;

/// A reply that is still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingReply {
    /// ParseComplete for a named statement.
    Parsed {
        /// The statement's text.
        key: StatementKey,
        /// Whether the proxy has sent the Parse by itself: the client does not expect the reply.
        by_proxy: bool,
    },
    /// ParseComplete for the unnamed statement.
    ParsedUnnamed,
    /// CloseComplete, and what the client gets for it.
    Closed(Completion),
    /// ReadyForQuery.
    Ready,
}

/// What the client gets for a ParseComplete or a CloseComplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completion {
    /// CloseComplete.
    Closed,
    /// ParseComplete.
    Parsed,
    /// Nothing: the client does not expect the reply.
    Suppressed,
}

/// All replies that are still to come.
#[derive(Default)]
pub(super) struct PendingReplies {
    replies: VecDeque<PendingReply>,
    /// Those of named statements among them.
    parses: usize,
}

impl PendingReplies {
    pub(super) fn clear(&mut self) {
        self.replies.clear();
        self.parses = 0;
    }

    pub(super) fn len(&self) -> usize {
        self.replies.len()
    }

    pub(super) fn push(&mut self, reply: PendingReply) {
        self.parses += usize::from(matches!(reply, PendingReply::Parsed { .. }));
        self.replies.push_back(reply);
    }

    pub(super) fn front(&self) -> Option<PendingReply> {
        self.replies.front().copied()
    }

    /// Removes the next reply: it has come, or will not come.
    pub(super) fn pop(&mut self) {
        let reply = self.replies.pop_front();
        self.parses -= usize::from(matches!(reply, Some(PendingReply::Parsed { .. })));
    }

    /// Removes all replies up to the next ReadyForQuery, which an error has prevented: their texts are not prepared.
    pub(super) fn drop_until_ready(&mut self, prepared: &mut Prepared) {
        while let Some(reply) = self.front().filter(|reply| *reply != PendingReply::Ready) {
            if let PendingReply::Parsed { key, .. } = reply {
                prepared.remove(&key);
            }
            self.pop();
        }
    }

    /// Whether an earlier part of the pipeline prepares this text, and may yet fail without this part failing as well.
    pub(super) fn may_fail_to_prepare(&self, key: &StatementKey) -> bool {
        if self.parses == 0 {
            return false;
        }
        let is_parse =
            |reply: &PendingReply| matches!(reply, PendingReply::Parsed { key: k, .. } if k == key);
        let Some(last_parse) = self.replies.iter().rposition(is_parse) else { return false };
        self.replies.iter().skip(last_parse).any(|reply| *reply == PendingReply::Ready)
    }
}
