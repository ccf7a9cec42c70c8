//! The pending replies of a server that the proxy has to recognize, in order.

use super::key::{PreparedKeys, StatementKey};
use std::collections::VecDeque;

/// A reply that the server has yet to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingReply {
    /// ParseComplete for a named statement.
    Parsed {
        /// The key of the statement's text.
        key: StatementKey,
        /// Whether the proxy inserted the Parse, so that the client does not expect the reply.
        by_proxy: bool,
    },
    /// ParseComplete for the unnamed statement.
    ParsedUnnamed,
    /// CloseComplete, and what the client receives for it.
    Closed(Completion),
    /// ReadyForQuery.
    Ready,
}

/// What the client receives for a ParseComplete or a CloseComplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completion {
    /// CloseComplete.
    Closed,
    /// ParseComplete.
    Parsed,
    /// Nothing: the client does not expect the reply.
    Suppressed,
}

/// The pending replies of a server, in order.
#[derive(Default)]
pub(super) struct PendingReplies {
    replies: VecDeque<PendingReply>,
    /// Number of ParseCompletes for named statements among them.
    pending_parses: usize,
}

impl PendingReplies {
    pub(super) fn clear(&mut self) {
        self.replies.clear();
        self.pending_parses = 0;
    }

    pub(super) fn len(&self) -> usize {
        self.replies.len()
    }

    pub(super) fn push(&mut self, reply: PendingReply) {
        self.pending_parses += usize::from(matches!(reply, PendingReply::Parsed { .. }));
        self.replies.push_back(reply);
    }

    pub(super) fn front(&self) -> Option<PendingReply> {
        self.replies.front().copied()
    }

    /// Removes the next reply, which has arrived or will not be sent.
    pub(super) fn pop(&mut self) {
        let reply = self.replies.pop_front();
        self.pending_parses -= usize::from(matches!(reply, Some(PendingReply::Parsed { .. })));
    }

    /// Removes the replies before the next ReadyForQuery, which the server does not send after an error, and removes
    /// their texts from `prepared`.
    pub(super) fn drop_until_ready(&mut self, prepared: &mut PreparedKeys) {
        while let Some(reply) = self.front().filter(|reply| *reply != PendingReply::Ready) {
            if let PendingReply::Parsed { key, .. } = reply {
                prepared.remove(&key);
            }
            self.pop();
        }
    }

    /// Returns whether an earlier part of the pipeline, before a Sync, prepares this text and may still fail: the
    /// present part is executed even then.
    pub(super) fn may_fail_to_prepare(&self, key: &StatementKey) -> bool {
        if self.pending_parses == 0 {
            return false;
        }
        let is_parse =
            |reply: &PendingReply| matches!(reply, PendingReply::Parsed { key: k, .. } if k == key);
        let Some(last_parse) = self.replies.iter().rposition(is_parse) else { return false };
        self.replies.iter().skip(last_parse).any(|reply| *reply == PendingReply::Ready)
    }
}
