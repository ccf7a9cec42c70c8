//! Applies faults to the bytes of one direction. Sans-IO: the caller passes bytes, times and words, and carries
//! out the returned actions. Times are microseconds since the connection was accepted.

use super::frame::{Framer, Mark};
use super::plan::{Due, When};
use super::script::{Direction, FaultKind, Framing};
use crate::world::rng::Rng;
use std::collections::VecDeque;

/// Number of held bytes at which reading from the sender stops.
const MAX_HELD: usize = 256 * 1024;
/// Pieces per second in a direction with a limited rate.
const SLICES_PER_SECOND: u64 = 50;

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Write this, as one piece.
    Bytes(Vec<u8>),
    /// Close this direction in an orderly way.
    HalfClose,
    /// Close both directions in an orderly way.
    Cut,
    /// Reset the connections to both ends.
    Reset,
    /// Drop everything in both directions.
    Blackhole,
}

/// A fault that happened, and the byte of its direction before which it did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HappenedFault {
    /// The index of the fault in the route's list.
    pub index: usize,
    /// Bytes of the direction before the fault; `None` for faults that a time or a word triggers.
    pub at: Option<u64>,
    /// The word that it gives when it happens.
    pub gives: Option<String>,
}

/// A fault that changes bytes or sends them twice once all of them have arrived.
struct Change {
    what: FaultKind,
    left: usize,
    kept: Vec<u8>,
}

/// One direction of a connection.
pub struct Pipe {
    /// Faults that have not happened yet, in the script's order.
    waiting: Vec<Due>,
    framer: Option<Framer>,
    marks: Vec<Mark>,
    /// Number of bytes that have arrived.
    received: u64,
    /// Pending actions with the time at which each is due, in order.
    queue: VecDeque<(u64, Out)>,
    held: usize,
    change: Option<Change>,
    /// Time before which nothing is sent.
    hold_until: u64,
    /// The time at which the last action is due.
    last_due: u64,
    /// The time at which a direction with a limited rate can send again.
    rate_free_at: u64,
    latency: Option<(u64, u64, Rng)>,
    rate: Option<u64>,
    split: Option<usize>,
    /// Time within which arriving pieces are merged, and the time at which the current ones are due.
    merge: Option<(u64, Option<u64>)>,
    unread_until: u64,
    hung: bool,
    ended: bool,
    /// Faults that have happened, until the caller takes them.
    pub happened: Vec<HappenedFault>,
}

impl Pipe {
    /// Creates the pipe of one direction of a new connection, with the faults of this direction.
    pub fn new(framing: Framing, direction: Direction, dues: &[Due]) -> Pipe {
        let waiting: Vec<Due> = dues.iter().filter(|d| d.way == direction).cloned().collect();
        let framed = waiting.iter().any(|d| matches!(d.when, When::Message(..)));
        Pipe {
            waiting,
            framer: framed.then(|| Framer::new(framing, direction)),
            marks: Vec::new(),
            received: 0,
            queue: VecDeque::new(),
            held: 0,
            change: None,
            hold_until: 0,
            last_due: 0,
            rate_free_at: 0,
            latency: None,
            rate: None,
            split: None,
            merge: None,
            unread_until: 0,
            hung: false,
            ended: false,
            happened: Vec::new(),
        }
    }

    /// Accepts bytes from the sender.
    pub fn receive(&mut self, now: u64, mut bytes: &[u8]) {
        self.tick(now);
        if let Some(framer) = &mut self.framer {
            framer.feed(bytes, &mut self.marks);
            for mark in self.marks.drain(..) {
                let here = When::Message(mark.message, mark.place);
                self.waiting.iter_mut().filter(|d| d.when == here).for_each(|d| d.when = When::Byte(mark.at));
            }
        }
        while !bytes.is_empty() {
            self.trigger_at_position(now);
            if self.hung {
                return; // faults behind this place do not happen, even if their bytes are in this piece
            }
            let next = self.waiting.iter().filter_map(|d| match d.when {
                When::Byte(at) if at > self.received => Some(at - self.received),
                _ => None,
            });
            let until = next.min().unwrap_or(u64::MAX).min(bytes.len() as u64) as usize;
            let (piece, rest) = bytes.split_at(until);
            self.received += piece.len() as u64;
            self.forward(now, piece);
            bytes = rest;
        }
        self.trigger_at_position(now); // faults after the last byte that arrived
    }

    /// Ends the direction after the sender has closed it.
    pub fn end(&mut self, now: u64) {
        self.ended = true;
        if let Some(change) = self.change.take() {
            self.emit(now, change.kept); // too few bytes arrived to be changed
        }
        self.push(now, Out::HalfClose);
    }

    /// Triggers the faults whose time has come.
    pub fn tick(&mut self, now: u64) {
        self.trigger(now, |when| matches!(when, When::After(at) if *at <= now));
    }

    /// Triggers the faults that wait for a word.
    pub fn give_word(&mut self, now: u64, word: &str) {
        self.trigger(now, |when| matches!(when, When::Word(on) if on == word));
    }

    /// Returns the words for which faults wait.
    pub fn awaited_words(&self) -> impl Iterator<Item = &str> {
        self.waiting.iter().filter_map(|d| match &d.when {
            When::Word(word) => Some(word.as_str()),
            _ => None,
        })
    }

    /// Drops held bytes and all that arrive from now on.
    pub fn hang(&mut self) {
        self.hung = true;
        self.queue.clear();
        self.held = 0;
    }

    /// Returns whether the sender may be read.
    pub fn can_read(&self, now: u64) -> bool {
        !self.ended && now >= self.unread_until && self.held < MAX_HELD
    }

    /// Returns whether the sender has closed the direction and nothing remains to be sent.
    pub fn is_finished(&self) -> bool {
        self.ended && self.queue.is_empty()
    }

    /// Returns the next time at which something is due without further input.
    pub fn next_due(&self, now: u64) -> Option<u64> {
        let times = self.waiting.iter().filter_map(|d| match d.when {
            When::After(at) => Some(at),
            _ => None,
        });
        let unread = (self.unread_until > now).then_some(self.unread_until);
        times.chain(unread).chain(self.queue.front().map(|q| q.0)).min()
    }

    /// Returns the next action that is due.
    pub fn pop(&mut self, now: u64) -> Option<Out> {
        if self.queue.front()?.0 > now {
            return None;
        }
        let (at, mut out) = self.queue.pop_front()?;
        if let Out::Bytes(bytes) = &mut out {
            // Only merged pieces are joined; they are due at the same time.
            while let Some((_, Out::Bytes(more))) =
                self.queue.front().filter(|q| self.merge.is_some() && q.0 == at)
            {
                bytes.extend_from_slice(more);
                self.queue.pop_front();
            }
            self.held -= bytes.len();
        }
        Some(out)
    }

    /// Triggers the faults that are due before the next byte.
    fn trigger_at_position(&mut self, now: u64) {
        let received = self.received;
        self.trigger(now, |when| matches!(when, When::Byte(at) if *at <= received));
    }

    fn trigger(&mut self, now: u64, due: impl Fn(&When) -> bool) {
        while let Some(at) = self.waiting.iter().position(|d| due(&d.when)) {
            let fault = self.waiting.remove(at);
            let place = matches!(fault.when, When::Byte(_)).then_some(self.received);
            self.happened.push(HappenedFault { index: fault.index, at: place, gives: fault.gives });
            self.apply(now, fault.what, fault.seed);
        }
    }

    fn apply(&mut self, now: u64, what: FaultKind, seed: u64) {
        let us = |ms: u64| ms.saturating_mul(1000);
        match what {
            FaultKind::Stall { ms } => self.hold_until = self.hold_until.max(now.saturating_add(us(ms))),
            FaultKind::Latency { ms, jitter_ms } => {
                self.latency = Some((us(ms), us(jitter_ms), Rng::new(seed, "latency")))
            }
            FaultKind::Bandwidth { bytes_per_s } => self.rate = Some(bytes_per_s),
            FaultKind::Split { bytes } => self.split = Some(bytes),
            FaultKind::Merge { ms } => self.merge = Some((us(ms), None)),
            FaultKind::Unread { ms } => self.unread_until = now.saturating_add(us(ms)),
            FaultKind::Hang => self.hung = true, // bytes queued earlier are still sent
            FaultKind::Blackhole => self.push_last(now, Out::Blackhole),
            FaultKind::HalfClose => self.push_last(now, Out::HalfClose),
            FaultKind::Cut => self.push_last(now, Out::Cut),
            FaultKind::Reset => self.push_last(now, Out::Reset),
            FaultKind::Repeat { bytes } | FaultKind::Flip { bytes } => {
                self.change = Some(Change { what, left: bytes, kept: Vec::new() })
            }
            FaultKind::Insert { text } => self.emit(now, text.into_bytes()),
            FaultKind::Replace { ref text } => {
                self.change = Some(Change { left: text.len(), what, kept: Vec::new() });
            }
        }
    }

    /// Queues the last action of this direction.
    fn push_last(&mut self, now: u64, out: Out) {
        self.push(now, out);
        self.hung = true;
    }

    /// Forwards bytes, changed if a change is active.
    fn forward(&mut self, now: u64, mut bytes: &[u8]) {
        if let Some(mut change) = self.change.take() {
            let (covered, rest) = bytes.split_at(change.left.min(bytes.len()));
            change.kept.extend_from_slice(covered);
            change.left -= covered.len();
            bytes = rest;
            if change.left > 0 {
                self.change = Some(change);
                return;
            }
            let changed = match change.what {
                FaultKind::Repeat { .. } => [change.kept.as_slice(), &change.kept].concat(),
                FaultKind::Flip { .. } => change.kept.iter().map(|b| !b).collect(),
                FaultKind::Replace { text } => text.into_bytes(),
                _ => change.kept,
            };
            self.emit(now, changed);
        }
        if !bytes.is_empty() {
            self.emit(now, bytes.to_vec());
        }
    }

    fn emit(&mut self, now: u64, bytes: Vec<u8>) {
        let slice = self.rate.map(|rate| (rate / SLICES_PER_SECOND).max(1) as usize);
        let size = [self.split, slice].into_iter().flatten().min();
        match size {
            None => self.push(now, Out::Bytes(bytes)),
            Some(size) => bytes.chunks(size).for_each(|piece| self.push(now, Out::Bytes(piece.to_vec()))),
        }
    }

    /// Queues an action after all others, and computes the time at which it is due.
    fn push(&mut self, now: u64, out: Out) {
        if self.hung {
            return;
        }
        let mut at = now.max(self.hold_until);
        if let Out::Bytes(bytes) = &out {
            self.held += bytes.len();
            if let Some((min, more, rng)) = &mut self.latency {
                at = at.saturating_add(*min).saturating_add((rng.unit() * *more as f64) as u64);
            }
            if let Some((span, until)) = &mut self.merge {
                let due = until.filter(|due| now <= *due).unwrap_or(now.saturating_add(*span));
                *until = Some(due);
                at = at.max(due);
            }
            if let Some(rate) = self.rate {
                at = at.max(self.rate_free_at);
                self.rate_free_at =
                    at.saturating_add((bytes.len() as u64).saturating_mul(1_000_000) / rate.max(1));
            }
        }
        self.last_due = self.last_due.max(at);
        self.queue.push_back((self.last_due, out));
    }
}

#[cfg(test)]
mod tests;
