//! Discovery: an endpoint list with versions, to which changes come with a delay, and which may be down.

use lotusdeck_policy::{Micros, Time};
use std::collections::VecDeque;

/// The status of a backend in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It takes requests.
    Serving,
    /// It finishes the requests it holds and takes no new ones.
    Draining,
    /// It is no longer in the list.
    Deleted,
}

/// A line of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line {
    /// Index of the backend.
    pub backend: usize,
    /// Its status.
    pub status: Status,
    /// When its process last started; `None` means before the run.
    pub since: Option<Time>,
    /// The list's version when this line last changed.
    pub version: u64,
}

/// The endpoint list, and the changes that have not reached it yet.
pub struct Discovery {
    lines: Vec<Line>,
    version: u64,
    /// Delay of changes.
    pub lag: Micros,
    /// Whether every call fails.
    pub down: bool,
    pending: VecDeque<(Time, Line)>,
}

impl Discovery {
    /// Creates a list of that many backends, all serving since before the run.
    pub fn new(backends: usize, lag: Micros) -> Discovery {
        let line = |backend| Line { backend, status: Status::Serving, since: None, version: 1 };
        Discovery {
            lines: (0..backends).map(line).collect(),
            version: 1,
            lag,
            down: false,
            pending: VecDeque::new(),
        }
    }

    /// Schedules a change of a backend's line after the delay. Changes never overtake each other, even where the
    /// delay has shrunk.
    pub fn change(&mut self, now: Time, backend: usize, status: Status, since: Option<Time>) {
        let at = self.pending.back().map_or(now + self.lag, |last| last.0.max(now + self.lag));
        self.pending.push_back((at, Line { backend, status, since, version: 0 }));
    }

    /// Returns when the list changes next.
    pub fn next(&self) -> Option<Time> {
        self.pending.front().map(|c| c.0)
    }

    /// Applies the changes due by `now` and returns whether the version rose.
    pub fn due(&mut self, now: Time) -> bool {
        let before = self.version;
        while let Some((_, line)) = self.pending.front().copied().filter(|c| c.0 <= now) {
            self.pending.pop_front();
            self.version += 1;
            self.lines[line.backend] = Line { version: self.version, ..line };
        }
        self.version > before
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the whole list, without deleted backends.
    pub fn full_list(&self) -> impl Iterator<Item = &Line> {
        self.lines.iter().filter(|l| l.status != Status::Deleted)
    }

    /// Returns the lines that changed after that version, deleted backends included.
    pub fn since(&self, version: u64) -> impl Iterator<Item = &Line> {
        self.lines.iter().filter(move |l| l.version > version)
    }
}

#[cfg(test)]
mod tests;
