//! The ids of requests that are open, and of those that are over but may still run or have run: none is used again.

use crate::shared_ids::SharedIds;
use hyper::header::HeaderValue;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long an id is kept whose request may run or have run.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of such ids; the oldest go first.
const MAX_RETAINED: usize = 16 * 1024;

/// What became of a request, as far as its id may return.
pub(crate) struct RequestFate {
    /// Whether the request may run any number of times, so that its id may always return.
    is_repeatable: bool,
    /// Attempts that were sent, without those that are known not to have run.
    possible_runs: Cell<u32>,
    /// Whether the client has got the answer of an attempt.
    is_served: Cell<bool>,
}

impl RequestFate {
    fn new(is_repeatable: bool) -> RequestFate {
        RequestFate { is_repeatable, possible_runs: Cell::new(0), is_served: Cell::new(false) }
    }

    /// Returns whether the request may run any number of times.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.is_repeatable
    }

    /// Records that an attempt is about to be sent.
    pub(crate) fn record_sent(&self) {
        self.possible_runs.set(self.possible_runs.get() + 1);
    }

    /// Records that an attempt that was sent has not run.
    pub(crate) fn record_never_ran(&self) {
        self.possible_runs.set(self.possible_runs.get().saturating_sub(1));
    }

    /// Records that the client has got the answer of an attempt.
    pub(crate) fn record_served(&self) {
        self.is_served.set(true);
    }

    /// Returns whether the request may run or have run without its client knowing.
    fn is_unknown_to_client(&self) -> bool {
        !self.is_repeatable && self.possible_runs.get() > 0 && !self.is_served.get()
    }
}

/// Ids of requests that are over, by hash.
#[derive(Default)]
struct RetainedIds {
    hashes: HashMap<u64, Instant>,
    /// The hashes in the order in which they were added.
    order: VecDeque<u64>,
}

impl RetainedIds {
    fn add(&mut self, hash: u64, now: Instant) {
        if self.hashes.insert(hash, now).is_none() {
            self.order.push_back(hash);
        }
        self.drop_expired(now);
    }

    fn contains(&mut self, hash: u64, now: Instant) -> bool {
        self.drop_expired(now);
        self.hashes.contains_key(&hash)
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.order.front() {
            let is_expired = self.hashes.get(oldest).is_none_or(|added| now - *added >= RETENTION);
            if !is_expired && self.order.len() <= MAX_RETAINED {
                return;
            }
            self.hashes.remove(oldest);
            self.order.pop_front();
        }
    }
}

/// The ids that are in use.
#[derive(Default)]
pub(crate) struct RequestIds {
    open: RefCell<HashSet<HeaderValue>>,
    retained: RefCell<RetainedIds>,
    hasher: RandomState,
    /// The ids that the other process of an upgrade holds.
    shared: OnceCell<SharedIds>,
}

/// Why an id cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdConflict {
    /// A request with this id is open.
    Open,
    /// A request with this id is over, and may run or have run.
    MayHaveRun,
}

impl RequestIds {
    /// Reserves an id for a request. With `is_repeatable` the request may run any number of times, and the id can be
    /// used again once it is over.
    ///
    /// # Errors
    /// The id is in use.
    pub(crate) fn reserve(
        self: &Rc<Self>, id: HeaderValue, is_repeatable: bool,
    ) -> Result<ReservedId, IdConflict> {
        if self.open.borrow().contains(&id) {
            return Err(IdConflict::Open);
        }
        if !is_repeatable && self.retained.borrow_mut().contains(self.hash(&id), Instant::now()) {
            return Err(IdConflict::MayHaveRun);
        }
        if !is_repeatable && self.shared.get().is_some_and(|shared| shared.add(id.as_bytes())) {
            self.free(&id);
            return Err(IdConflict::MayHaveRun);
        }
        self.open.borrow_mut().insert(id.clone());
        Ok(ReservedId { ids: self.clone(), id, fate: Rc::new(RequestFate::new(is_repeatable)) })
    }

    /// Shares the ids from now on with the other process of an upgrade.
    pub(crate) fn share(&self, shared: SharedIds) {
        let _ = self.shared.set(shared); // shared once, at the start
    }

    /// Lets the other process use an id.
    fn free(&self, id: &HeaderValue) {
        if let Some(shared) = self.shared.get() {
            shared.remove(id.as_bytes());
        }
    }

    fn hash(&self, id: &HeaderValue) -> u64 {
        self.hasher.hash_one(id.as_bytes())
    }
}

/// The id of an open request. Dropping it frees the id, unless the request may run or have run without its client knowing.
pub(crate) struct ReservedId {
    ids: Rc<RequestIds>,
    id: HeaderValue,
    fate: Rc<RequestFate>,
}

impl ReservedId {
    /// Returns the id.
    pub(crate) fn id(&self) -> &HeaderValue {
        &self.id
    }

    /// Returns the record of what becomes of the request.
    pub(crate) fn fate(&self) -> Rc<RequestFate> {
        self.fate.clone()
    }
}

impl Drop for ReservedId {
    fn drop(&mut self) {
        self.ids.open.borrow_mut().remove(&self.id);
        if self.fate.is_unknown_to_client() {
            self.ids.retained.borrow_mut().add(self.ids.hash(&self.id), Instant::now());
        } else if !self.fate.is_repeatable() {
            self.ids.free(&self.id);
        }
    }
}

#[cfg(test)]
mod tests;
