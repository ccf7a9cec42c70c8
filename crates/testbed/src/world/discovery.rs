//! Discovery: it hears of changes late, tells them by version, and is sometimes down.

use lotusdeck_policy::{Micros, Time};
use std::collections::VecDeque;

/// What the list says of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Send it requests.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Deleted,
}

/// A line of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line {
    /// Number of the backend.
    pub backend: usize,
    /// What it is good for.
    pub status: Status,
    /// When it last started; `None` means long ago.
    pub since: Option<Time>,
    /// The version with which this line came.
    pub version: u64,
}

/// The list as it is told.
pub struct Discovery {
    lines: Vec<Line>,
    version: u64,
    /// How late changes are heard of.
    pub lag: Micros,
    /// Every call fails.
    pub down: bool,
    coming: VecDeque<(Time, Line)>,
}

impl Discovery {
    /// So many backends, all serving since long ago.
    pub fn new(backends: usize, lag: Micros) -> Discovery {
        let line = |backend| Line { backend, status: Status::Serving, since: None, version: 1 };
        Discovery {
            lines: (0..backends).map(line).collect(),
            version: 1,
            lag,
            down: false,
            coming: VecDeque::new(),
        }
    }

    /// A backend has changed; the list hears of it later, and never of an earlier change after a later one.
    pub fn change(&mut self, now: Time, backend: usize, status: Status, since: Option<Time>) {
        let at = self.coming.back().map_or(now + self.lag, |last| last.0.max(now + self.lag));
        self.coming.push_back((at, Line { backend, status, since, version: 0 }));
    }

    /// When the list changes next.
    pub fn next(&self) -> Option<Time> {
        self.coming.front().map(|c| c.0)
    }

    /// Takes in what is heard by `now`; whether the version rose.
    pub fn due(&mut self, now: Time) -> bool {
        let before = self.version;
        while let Some((_, line)) = self.coming.front().copied().filter(|c| c.0 <= now) {
            self.coming.pop_front();
            self.version += 1;
            self.lines[line.backend] = Line { version: self.version, ..line };
        }
        self.version > before
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The whole list: those that left are absent.
    pub fn whole(&self) -> impl Iterator<Item = &Line> {
        self.lines.iter().filter(|l| l.status != Status::Deleted)
    }

    /// What came after that version.
    pub fn since(&self, version: u64) -> impl Iterator<Item = &Line> {
        self.lines.iter().filter(move |l| l.version > version)
    }
}

#[cfg(test)]
mod tests;
