//! The pending replies of a server that the proxy has to recognize, in order.

use super::key::StatementKey;
use super::server_statements::{NamedOnServer, ServerStatements};
use crate::track::CopyInStart;
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
        /// Whether the text may have been prepared before, and was closed for that reason.
        follows_close: bool,
    },
    /// ParseComplete for the unnamed statement.
    ParsedUnnamed(UnnamedParse),
    /// CloseComplete, and what the client receives for it.
    Closed(Completion),
    /// The end of so many Executes, one behind the other: CommandComplete, EmptyQueryResponse or PortalSuspended.
    Executed(u32),
    /// ReadyForQuery.
    Ready(ReadyCause),
}

impl PendingReply {
    fn is_ready(&self) -> bool {
        matches!(self, PendingReply::Ready(_))
    }
}

/// The message that a ReadyForQuery answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadyCause {
    /// A Query or a FunctionCall.
    Statement,
    Sync {
        /// Whether it follows a statement with nothing but CopyData, Flush and such Syncs in between: if the statement
        /// begins a COPY, the server ignores it.
        follows_statement: bool,
    },
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

/// Who sent a Parse of the unnamed statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnnamedParse {
    ByClient,
    /// The proxy inserted it, and the client does not expect the reply.
    ByProxy,
}

/// The pending replies of a server, in order.
#[derive(Default)]
pub(super) struct PendingReplies {
    replies: VecDeque<PendingReply>,
    /// Number of ParseCompletes for named statements among them.
    pending_parses: usize,
    /// Number of ParseCompletes for the unnamed statement among them.
    pending_unnamed_parses: usize,
    /// Number of `Executed` entries among them.
    executed_entries: usize,
    /// Whether only CopyData, Flush and Sync were sent since the last statement.
    is_behind_statement: bool,
}

impl PendingReplies {
    pub(super) fn clear(&mut self) {
        *self = PendingReplies::default();
    }

    /// Returns the number of pending replies, without those to Execute.
    pub(super) fn len(&self) -> usize {
        self.replies.len() - self.executed_entries
    }

    /// Notes that the client sent a message of type `kind`, before its reply is added.
    pub(super) fn note_message(&mut self, kind: u8) {
        if !matches!(kind, b'd' | b'H' | b'S') {
            self.is_behind_statement = false;
        }
    }

    /// Adds the reply to an Execute.
    pub(super) fn push_executed(&mut self) {
        self.is_behind_statement = true;
        if let Some(PendingReply::Executed(count)) = self.replies.back_mut() {
            *count += 1;
            return;
        }
        self.push(PendingReply::Executed(1));
    }

    /// Adds the ReadyForQuery of a Query or a FunctionCall.
    pub(super) fn push_ready_of_statement(&mut self) {
        self.is_behind_statement = true;
        self.push(PendingReply::Ready(ReadyCause::Statement));
    }

    /// Adds the ReadyForQuery of a Sync.
    pub(super) fn push_ready_of_sync(&mut self) {
        let follows_statement = self.is_behind_statement;
        self.push(PendingReply::Ready(ReadyCause::Sync { follows_statement }));
    }

    pub(super) fn push(&mut self, reply: PendingReply) {
        match reply {
            PendingReply::Parsed { .. } => self.pending_parses += 1,
            PendingReply::ParsedUnnamed(_) => self.pending_unnamed_parses += 1,
            PendingReply::Executed(_) => self.executed_entries += 1,
            PendingReply::Closed(_) | PendingReply::Ready(_) => {}
        }
        self.replies.push_back(reply);
    }

    pub(super) fn front(&self) -> Option<PendingReply> {
        self.replies.front().copied()
    }

    /// Removes the next reply, which has arrived or will not be sent.
    pub(super) fn pop(&mut self) {
        match self.replies.pop_front() {
            Some(PendingReply::Parsed { .. }) => self.pending_parses -= 1,
            Some(PendingReply::ParsedUnnamed(_)) => self.pending_unnamed_parses -= 1,
            Some(PendingReply::Executed(_)) => self.executed_entries -= 1,
            Some(PendingReply::Closed(_) | PendingReply::Ready(_)) | None => {}
        }
    }

    /// Removes the reply to the Execute that has ended; does nothing during a Query, whose statements end alike.
    pub(super) fn execution_ended(&mut self) {
        match self.replies.front_mut() {
            Some(PendingReply::Executed(count)) if *count > 1 => *count -= 1,
            Some(PendingReply::Executed(_)) => self.pop(),
            _ => {}
        }
    }

    /// Removes the replies to Executes in front of another reply, which has arrived.
    pub(super) fn drop_executed(&mut self) {
        while let Some(PendingReply::Executed(_)) = self.front() {
            self.pop();
        }
    }

    /// Removes the Syncs that the server ignores, as the statement that it executes has begun a COPY from the client.
    pub(super) fn begin_copy_in(&mut self) -> CopyInStart {
        let is_extended = matches!(self.front(), Some(PendingReply::Executed(_)));
        let is_followed_by_statement = matches!(self.front(), Some(PendingReply::Executed(2..)));
        let mut ignored_syncs = 0;
        while !is_followed_by_statement && self.is_sync_behind_first_statement() {
            self.replies.remove(1);
            ignored_syncs += 1;
        }
        let is_last_statement = !is_followed_by_statement && self.replies.len() <= 1;
        CopyInStart { ignored_syncs, is_extended, is_copying: is_last_statement && self.is_behind_statement }
    }

    /// Returns whether the second reply is that to a Sync that copy-in mode, begun by the first statement, ignores.
    fn is_sync_behind_first_statement(&self) -> bool {
        let ignored = PendingReply::Ready(ReadyCause::Sync { follows_statement: true });
        self.replies.get(1) == Some(&ignored)
    }

    /// Removes the replies before the next ReadyForQuery, which the server does not send after an error, and corrects
    /// what is known of their texts on the server. Returns who sent the last Parse of the unnamed statement, if its reply
    /// is among the removed ones.
    pub(super) fn drop_until_ready(&mut self, server: &mut ServerStatements) -> Option<UnnamedParse> {
        let mut last_unnamed = None;
        let mut removed_parses = Vec::new();
        while let Some(reply) = self.front().filter(|reply| !reply.is_ready()) {
            match reply {
                PendingReply::Parsed { key, follows_close, .. } => removed_parses.push((key, follows_close)),
                PendingReply::ParsedUnnamed(_) => last_unnamed = unnamed_parse(&reply),
                PendingReply::Closed(_) | PendingReply::Executed(_) | PendingReply::Ready(_) => {}
            }
            self.pop();
        }
        for (key, follows_close) in removed_parses {
            if follows_close || self.pending_parses > 0 {
                server.named.insert(key, NamedOnServer::Unknown);
            } else {
                server.named.remove(&key);
            }
        }
        last_unnamed.filter(|_| self.pending_unnamed_parses == 0)
    }

    /// Returns who sent the last pending Parse of the unnamed statement.
    pub(super) fn last_unnamed_parse(&self) -> Option<UnnamedParse> {
        self.last_unnamed_parse_index().and_then(|index| unnamed_parse(&self.replies[index]))
    }

    /// Returns whether the last Parse of the unnamed statement was inserted by the proxy into an earlier part of the
    /// pipeline, before a Sync, and may still fail: the present part is executed even then.
    pub(super) fn may_fail_to_prepare_unnamed(&self) -> bool {
        let Some(index) = self.last_unnamed_parse_index() else { return false };
        unnamed_parse(&self.replies[index]) == Some(UnnamedParse::ByProxy)
            && self.replies.iter().skip(index).any(PendingReply::is_ready)
    }

    fn last_unnamed_parse_index(&self) -> Option<usize> {
        if self.pending_unnamed_parses == 0 {
            return None;
        }
        self.replies.iter().rposition(|reply| unnamed_parse(reply).is_some())
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
        self.replies.iter().skip(last_parse).any(PendingReply::is_ready)
    }
}

/// Returns who sent the Parse of the unnamed statement that `reply` answers, if it answers one.
fn unnamed_parse(reply: &PendingReply) -> Option<UnnamedParse> {
    match reply {
        PendingReply::ParsedUnnamed(parse) => Some(*parse),
        PendingReply::Parsed { .. }
        | PendingReply::Closed(_)
        | PendingReply::Executed(_)
        | PendingReply::Ready(_) => None,
    }
}
