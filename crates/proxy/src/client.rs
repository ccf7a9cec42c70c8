//! A client's connection: how it stands, how long it may rest, and who leaves first.

use crate::stream::Stream;
use lotusdeck_policy::Time;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// A connection on which nothing comes is closed after this time.
pub(crate) const IDLE_PATIENCE: Duration = Duration::from_millis(2100);
/// The head of a request is whole so long after its first byte ...
const HEAD_PATIENCE: Duration = Duration::from_millis(2600);
/// ... and the first on a connection so long after it came: any client is owed an end within 3 s.
const FIRST_HEAD_PATIENCE: Duration = Duration::from_millis(2800);
/// A connection that sends nothing for so long, before its first request or within a head, makes way first.
const FIRST_PATIENCE: Duration = Duration::from_millis(100);
const HEAD_REST: Duration = Duration::from_millis(500);

pub(crate) struct Client {
    pub stream: Stream,
    pub accepted: tokio::time::Instant,
    pub busy: Cell<bool>,
    /// It has sent a whole request that made sense.
    pub proven: Cell<bool>,
    /// A large answer is on its way to it.
    pub flowing: Cell<bool>,
    /// When it was accepted or last answered.
    pub since: Cell<Time>,
    pub idle_since: Cell<tokio::time::Instant>,
    /// It was chosen to make room.
    pub leaving: Cell<bool>,
    pub close: Notify,
}
/// Who leaves first where room is needed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// It never sent a byte, and had the time to.
    Silent,
    /// A part of a head came and no more of it.
    Stopped,
    /// It waits between requests.
    Idle,
    /// It has just come.
    Young,
}

impl Client {
    /// `None`: a request is open on it or on its way. In a crowd of the silent none is too young.
    pub fn standing(&self, now: tokio::time::Instant, crowd: bool) -> Option<Standing> {
        let moving = || now - self.stream.moved() < HEAD_REST;
        match self.stream.heard() {
            _ if self.busy.get() || self.leaving.get() => None,
            Some(_) if self.stream.unread() => None,
            Some(_) => (!moving()).then_some(Standing::Stopped),
            None if self.stream.stirred() => None,
            None if self.proven.get() => Some(Standing::Idle),
            None if crowd || now - self.accepted >= FIRST_PATIENCE => Some(Standing::Silent),
            None => Some(Standing::Young),
        }
    }

    /// When its patience ends, as things stand.
    pub fn due(&self, now: tokio::time::Instant) -> tokio::time::Instant {
        match self.stream.heard() {
            _ if self.busy.get() => now,
            None => self.idle_since.get() + IDLE_PATIENCE,
            Some(at) if self.proven.get() => at + HEAD_PATIENCE,
            Some(at) => (at + HEAD_PATIENCE).min(self.accepted + FIRST_HEAD_PATIENCE),
        }
    }
}
