//! The work recently sent to one backend.

use crate::api::{Micros, Time};
use std::collections::VecDeque;

/// Work sent at one time, in requests of mean work.
pub(crate) struct SentWork {
    pub at: Time,
    pub work: f64,
}

/// Work sent within the overload window, oldest first.
#[derive(Default)]
pub(crate) struct SentWorkLog {
    entries: VecDeque<SentWork>,
}

impl SentWorkLog {
    /// Records work sent at `now`. All work of one tick is one entry, as a busy backend gets thousands of
    /// requests in a window; it counts from the end of the tick.
    pub(crate) fn record_sent_work(&mut self, now: Time, work: f64, tick: Micros, window: Micros) {
        while self.entries.front().is_some_and(|oldest| now - oldest.at >= window) {
            self.entries.pop_front();
        }
        let tick_end = Time((now.0 / tick.0 + 1) * tick.0);
        match self.entries.back_mut().filter(|newest| newest.at == tick_end) {
            Some(newest) => newest.work += work,
            None => self.entries.push_back(SentWork { at: tick_end, work }),
        }
    }

    /// Adds work that an earlier process sent.
    pub(crate) fn restore(&mut self, at: Time, work: f64) {
        let index = self.entries.partition_point(|entry| entry.at <= at);
        self.entries.insert(index, SentWork { at, work });
    }

    /// Returns the work sent within the window that ends at `now`.
    pub(crate) fn total_within(&self, now: Time, window: Micros) -> f64 {
        self.entries.iter().filter(|entry| now - entry.at < window).map(|entry| entry.work).sum()
    }

    /// Returns the entries within the window that ends at `now`, newest first.
    pub(crate) fn newest_first(&self, now: Time, window: Micros) -> impl Iterator<Item = &SentWork> {
        self.entries.iter().rev().filter(move |entry| now - entry.at < window)
    }
}
