//! The events of a run, and a queue that orders them by time.

use crate::record::TryId;
use crate::world::station::Ticket;
use lotusdeck_policy::{AttemptNo, Outcome, RequestId, Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An attempt of a request, by the ids that its proxy gave them.
pub(super) type AttemptKey = (RequestId, AttemptNo);

/// An event of a run. Events that concern a proxy hold its generation, which is how often it has been restarted;
/// they are ignored when that generation has ended.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The act of the plan with this index is due.
    Act(usize),
    /// A try of a client is due.
    Ask(TryId),
    /// A try reaches a proxy.
    AtProxy {
        /// The try.
        id: TryId,
        /// The proxy.
        proxy: usize,
        /// The generation to which the try was sent.
        generation: u32,
        /// The client's deadline.
        deadline: Time,
    },
    /// The deadline of a request passes at its proxy.
    Deadline {
        /// The proxy.
        proxy: usize,
        /// The generation that took the request.
        generation: u32,
        /// The request.
        request: RequestId,
    },
    /// A timer of a proxy's decision module is due.
    Timer {
        /// The proxy.
        proxy: usize,
        /// The generation that set it.
        generation: u32,
        /// The module's token for the timer.
        token: TimerToken,
    },
    /// A connection for an attempt is open, or could not be opened.
    Connected {
        /// The proxy.
        proxy: usize,
        /// The generation that opened the connection.
        generation: u32,
        /// The attempt.
        key: AttemptKey,
        /// Whether the connection is open.
        up: bool,
    },
    /// An attempt reaches its backend.
    Reach {
        /// The attempt.
        attempt: SentAttempt,
        /// The backend.
        backend: usize,
        /// The attempt's ticket at the backend.
        ticket: Ticket,
    },
    /// A backend may have finished work.
    Due {
        /// The backend.
        backend: usize,
        /// How often the backend's next event had been scheduled by then: an event with an older stamp is ignored.
        stamp: u64,
    },
    /// The end of an attempt reaches its proxy.
    Back {
        /// The attempt.
        attempt: SentAttempt,
        /// How it ended.
        outcome: Outcome,
    },
    /// The withdrawal of an attempt reaches its backend.
    Withdraw {
        /// The backend.
        backend: usize,
        /// The attempt's ticket at the backend.
        ticket: Ticket,
    },
    /// An answer reaches its client.
    ToClient {
        /// The answered try.
        id: TryId,
        /// HTTP status.
        status: u16,
        /// Advised time until another try, in seconds.
        retry_after: Option<f64>,
    },
    /// The connection of a client breaks.
    Broke(TryId),
    /// A client leaves, if it still waits.
    Leave(TryId),
    /// The list of backends may have changed.
    ListChange,
    /// Proxies tell each other how many attempts they have in flight.
    Gossip,
    /// An answer of discovery reaches a proxy.
    ListAnswer {
        /// The proxy.
        proxy: usize,
        /// The generation that the answer is for.
        generation: u32,
    },
}

/// An attempt that is on its way to a backend, at the backend, or on its way back.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    /// The proxy that sent it.
    pub proxy: usize,
    /// The generation of the proxy that sent it.
    pub generation: u32,
    /// The attempt's key at that proxy.
    pub key: AttemptKey,
    /// The client's try it belongs to.
    pub id: TryId,
}

/// Events ordered by time, and at the same time in the order in which they were pushed.
#[derive(Default)]
pub(super) struct EventQueue {
    /// Time, push number and slot of each event. The events themselves lie in `slots`, as a heap moves its
    /// entries.
    heap: BinaryHeap<Reverse<(Time, u64, usize)>>,
    slots: Vec<Option<Event>>,
    /// Empty slots.
    free: Vec<usize>,
    pushed: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn push(&mut self, at: Time, event: Event) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.pushed += 1;
        self.heap.push(Reverse((at, self.pushed, slot)));
    }

    /// Removes and returns the next event.
    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        let Reverse((at, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        let event = self.slots[slot].take()?;
        Some((at, event))
    }
}
