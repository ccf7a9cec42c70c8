//! What happens in a run, and the queue that brings it in the order of its time.

use crate::record::TryId;
use crate::world::station::Ticket;
use lotusdeck_policy::{AttemptNo, Outcome, RequestId, Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An attempt of a request, as its proxy numbers them.
pub(super) type AttemptKey = (RequestId, AttemptNo);

/// Something that happens. What concerns a proxy names the life of it (how often it was started again): it is passed
/// over where the proxy has died since.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// An act of the plan, by its number, is due.
    Act(usize),
    /// A client's try is due.
    Ask(TryId),
    /// A try has reached a proxy.
    AtProxy {
        /// Which try.
        id: TryId,
        /// The proxy, and its life.
        proxy: usize,
        /// The life in which it was asked.
        life: u32,
        /// When the client gives up.
        deadline: Time,
    },
    /// A request's time is up at its proxy.
    Deadline {
        /// The proxy.
        proxy: usize,
        /// The life that took the request.
        life: u32,
        /// The request.
        request: RequestId,
    },
    /// A timer of a proxy's module is due.
    Timer {
        /// The proxy.
        proxy: usize,
        /// The life that set it.
        life: u32,
        /// The module's name for it.
        token: TimerToken,
    },
    /// An attempt's connection is up, or is not.
    Connected {
        /// The proxy.
        proxy: usize,
        /// The life that sends the attempt.
        life: u32,
        /// The attempt.
        key: AttemptKey,
        /// The connection is up.
        up: bool,
    },
    /// An attempt has reached its backend.
    Reach {
        /// The attempt.
        attempt: SentAttempt,
        /// The backend.
        backend: usize,
        /// The backend's name for it.
        ticket: Ticket,
    },
    /// A backend may be through with something.
    Due {
        /// The backend.
        backend: usize,
        /// How often the backend's next moment was set when this was: an older event is passed over.
        stamp: u64,
    },
    /// An attempt's end has reached its proxy.
    Back {
        /// The attempt.
        attempt: SentAttempt,
        /// How it ended.
        outcome: Outcome,
    },
    /// A backend hears that a proxy has given an attempt up.
    Withdraw {
        /// The backend.
        backend: usize,
        /// The backend's name for the attempt.
        ticket: Ticket,
    },
    /// An answer has reached its client.
    ToClient {
        /// The try that it answers.
        id: TryId,
        /// HTTP status.
        status: u16,
        /// When the client had better come again, s.
        retry_after: Option<f64>,
    },
    /// A connection broke under a client.
    Broke(TryId),
    /// A client leaves, if it still waits.
    Leave(TryId),
    /// The list of backends may have changed.
    News,
    /// Proxies tell each other what they hold.
    Gossip,
    /// Discovery's answer reaches a proxy.
    Tell {
        /// The proxy.
        proxy: usize,
        /// The life that is told.
        life: u32,
    },
}

/// An attempt on its way to a backend, there, or on its way back.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    /// The proxy that sent it.
    pub proxy: usize,
    /// The life of the proxy that sent it.
    pub life: u32,
    /// Its number there.
    pub key: AttemptKey,
    /// The client's try that it serves.
    pub id: TryId,
}

/// Events by their time; of those at the same time, the one that was pushed first comes first.
#[derive(Default)]
pub(super) struct EventQueue {
    /// Time, order of pushing and slot of each: small, as a heap moves its entries about.
    heap: BinaryHeap<Reverse<(Time, u64, usize)>>,
    slots: Vec<Option<Event>>,
    /// Slots that are empty.
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

    /// Takes the next event.
    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        let Reverse((at, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        let event = self.slots[slot].take()?;
        Some((at, event))
    }
}
