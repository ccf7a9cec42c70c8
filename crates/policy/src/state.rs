//! What a proxy remembers: running estimates and plain records. No decisions.

use crate::api::*;
use crate::estimators::*;
use std::collections::{BTreeMap, VecDeque};

/// What is learned of a kind of machine.
pub(crate) struct Kind {
    /// Seconds from dispatch to answer, of served requests only, with the class mix taken out.
    pub latency: MovingAverage,
    /// The part of its attempts that were answered at all, of those that had long enough.
    pub answered: MovingAverage,
    /// Requests a second that one backend got, over the same requests: by a flow of now proxies would swing.
    pub flows: MovingAverage,
    /// ... and gets now.
    pub flow: f64,
    /// Sum of its backends' readiness.
    pub ready: f64,
    /// Requests a second that one backend could serve.
    pub speed: f64,
    /// Part of all proxies' traffic.
    pub share: f64,
    /// Part of this proxy's traffic.
    pub pull: f64,
}

impl Default for Kind {
    fn default() -> Kind {
        // As if two had been: one alone may be chance.
        let answered = MovingAverage { value: 1.0, count: 2.0 };
        let (latency, flows) = (MovingAverage::default(), MovingAverage::default());
        Kind { answered, latency, flows, flow: 0.0, ready: 0.0, speed: 0.0, share: 0.0, pull: 0.0 }
    }
}

/// What a solution does next with each backend, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Pass {
    /// Nothing: it is complete.
    #[default]
    Rest,
    Count,
    Ready,
    Due,
    Pull,
    Slice,
}

/// A solution in the making: each event takes it some steps on, a step being one backend in one pass, so that
/// no event walks over a large fleet. What it adds up is here; draws go by the last one until it is complete.
#[derive(Default)]
pub(crate) struct Sweep {
    pub pass: Pass,
    /// Where the pass goes on; the mark counts for slices only.
    pub next: (u64, BackendId),
    /// Listed backends, how many of them are ejected, and the error shares above zero.
    pub listed: f64,
    pub ejected: f64,
    pub errors: Vec<f64>,
    /// By kind: readiness, pull, and the pull passed so far while slices are cut.
    pub kinds: BTreeMap<KindId, (f64, f64, f64)>,
    /// By zone: the part of the traffic that it is due.
    pub due: BTreeMap<ZoneId, f64>,
    /// Backends that have a part of this proxy's traffic.
    pub reached: f64,
    pub tables: BTreeMap<KindId, Vec<(f64, BackendId)>>,
    /// By class, where there are any: ready backends that get none of it.
    pub shunned: BTreeMap<usize, f64>,
}

impl Sweep {
    /// A new one; the room of the last tables is used again.
    pub(crate) fn begin(&mut self) {
        let mut tables = std::mem::take(&mut self.tables);
        tables.values_mut().for_each(Vec::clear);
        *self = Sweep { pass: Pass::Count, tables, ..Sweep::default() };
    }

    /// The error share of the middle one of the listed backends.
    pub(crate) fn common(&mut self) -> f64 {
        let (all, some) = (self.listed as usize, self.errors.len());
        match (all.saturating_sub(1) / 2).checked_sub(all - some) {
            Some(middle) if middle < some => *self.errors.select_nth_unstable_by(middle, f64::total_cmp).1,
            _ => 0.0,
        }
    }
}

/// Goes over peers from `at` on while steps are left; where the walk has to go on, if it has.
pub(crate) fn walk(
    peers: &mut BTreeMap<BackendId, Peer>, at: BackendId, left: &mut usize,
    mut each: impl FnMut(BackendId, &mut Peer),
) -> Option<BackendId> {
    for (&id, p) in peers.range_mut(at..) {
        if *left == 0 {
            return Some(id);
        }
        *left -= 1;
        each(id, p);
    }
    None
}

/// What is known of a backend.
#[derive(Default)]
pub(crate) struct Peer {
    pub entry: Backend,
    /// Operators have taken it out.
    pub cordoned: bool,
    /// From 0 (send nothing) to 1 (healthy and warm).
    pub ready: f64,
    /// Its part of this proxy's traffic.
    pub pull: f64,
    /// Its chance within its kind: its part of this proxy's slice, and a trace outside, as a last resort.
    pub weight: f64,
    /// How many attempts of this proxy it may hold.
    pub room: f64,
    /// How many it holds, and of how many of these a part is still to come: they are no work yet.
    pub out: u32,
    pub coming: u32,
    /// Running share of error answers.
    pub errors: f64,
    /// When it last answered anything.
    pub answered: Time,
    /// Of those it holds, how many are suspiciously old.
    pub lost: u32,
    /// ... and how many of these with nothing heard of it since.
    pub unheard: u32,
    /// Out of use, until this time at least.
    pub ejected: Option<Time>,
    /// The term is over, and it is yet to show that it is well.
    pub trial: bool,
    /// Ejections without a good answer between them.
    pub strikes: i32,
    /// Good answers since the ejection.
    pub trials: u32,
    /// Work sent inside the fall window, by ticks: see `spend`.
    pub spent: VecDeque<(Time, f64)>,
    /// The same by class, as far as it has met them: see `part`.
    pub parts: BTreeMap<usize, Part>,
}

impl Peer {
    /// The list and the operators let it be sent requests.
    pub(crate) fn listed(&self) -> bool {
        self.entry.state == BackendState::Ready && !self.cordoned
    }

    /// Forgets all but what the process at that address still holds or was sent just now.
    pub(crate) fn begin_anew(&mut self) {
        let (entry, spent) = (self.entry.clone(), std::mem::take(&mut self.spent));
        let (out, coming, cordoned) = (self.out, self.coming, self.cordoned);
        *self = Peer { entry, out, coming, spent, cordoned, ..Peer::default() };
    }

    /// Remembers work that is sent to it. What goes in one tick is one entry that counts from the tick's end:
    /// a busy backend gets thousands in a window.
    pub(crate) fn spend(&mut self, now: Time, work: f64, tick: Micros, window: Micros) {
        while self.spent.front().is_some_and(|s| now - s.0 >= window) {
            self.spent.pop_front();
        }
        let end = Time((now.0 / tick.0 + 1) * tick.0);
        match self.spent.back_mut().filter(|s| s.0 == end) {
            Some(last) => last.1 += work,
            None => self.spent.push_back((end, work)),
        }
    }

    /// What is known of it for one class.
    pub(crate) fn part(&mut self, class: usize) -> &mut Part {
        self.parts.entry(class).or_default()
    }
}

/// What is known of a backend for one class: it may fail at one and serve the others.
#[derive(Default)]
pub(crate) struct Part {
    /// Running share of error answers.
    pub errors: f64,
    /// When it last answered one.
    pub answered: Time,
    /// Suspiciously old attempts with no answer to one of the class since.
    pub unheard: u32,
    /// It was full for it and is left alone until then, and how often since it last served one.
    pub full_until: Time,
    pub fulls: u32,
    /// It gets none until then, and how often that was since it last served one.
    pub shunned: Time,
    pub strikes: u32,
}

/// What is learned of a class.
#[derive(Default)]
pub(crate) struct ClassState {
    pub latency: MovingAverage,
    /// More than half of the backends get none of it: then it is not they who fail at it.
    pub shunned: bool,
}

/// An attempt of a request.
pub(crate) struct Sent {
    pub to: Backend,
    pub at: Time,
    /// It has not ended yet.
    pub out: bool,
    /// Its outcome proves that it did not run.
    pub never_ran: bool,
}

/// An attempt that has not ended.
pub(crate) struct Out {
    pub to: BackendId,
    pub class: usize,
    /// When it was sent, or its last byte came.
    pub sent: Time,
    /// A part of it is still to come.
    pub coming: bool,
}

/// A request that is owed an answer.
pub(crate) struct Request {
    pub class: usize,
    pub came: Time,
    pub aim: Time,
    pub deadline: Time,
    /// Its worth beside a first try within quota.
    pub value: f64,
    /// Attempts that it may have, and whether two at once, by the settings under which it came.
    pub most: usize,
    pub copies: bool,
    /// Its body is still coming: no time runs on what is out.
    pub uploading: bool,
    pub streaming: bool,
    pub sent: Vec<Sent>,
}

impl Request {
    /// Some attempt has not ended yet.
    pub(crate) fn out(&self) -> bool {
        self.sent.iter().any(|s| s.out)
    }
}
