//! Judges the records of a soak run by the rules of the protocol page.

mod bodies;

use super::discovery::version_of;
use super::plan::{ListMode, ListedState, SoakPlan};
use super::processes::DRAIN_GRACE;
use super::records::{
    AttemptRecord, Class, ClientRecord, Outcome, ProcessEvent, ProcessId, ProcessRecord, Records,
};
use crate::record::TryId;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Slack of all time limits on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// How long after its deadline an answer still counts.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// How long after its client has left an attempt may begin.
const AFTER_LEAVING: Duration = Duration::from_millis(100);
/// Time after which a change counts as notified, whatever failed before.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Time after a silent call's wait after which a change counts as notified.
const NOTIFIED_AFTER_WAIT: Duration = Duration::from_secs(2);
/// Time after SIGHUP after which what a new address has counts as notified.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// The longest time for which a request and the close of its connection between requests may cross on the way.
const CROSSING: Duration = Duration::from_millis(100);

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer in time.
    Lost,
    /// Nothing that must not be repeated runs twice.
    Duplicate,
    /// Nothing new to a backend that departs.
    Drain,
    /// No sound answer is cut off.
    Cut,
    /// No process takes more memory than its limit.
    Memory,
    /// No process ends by itself.
    Crash,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was broken.
    pub at: Duration,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.text)
    }
}

/// The records of a run, by what they are looked up by.
struct Evidence<'a> {
    plan: &'a SoakPlan,
    records: &'a Records,
    requests: HashMap<TryId, &'a ClientRecord>,
    attempts: HashMap<TryId, Vec<&'a AttemptRecord>>,
    processes: HashMap<ProcessId, Vec<&'a ProcessRecord>>,
    has_crowd: bool,
}

/// Returns the broken rules, by time.
pub fn judge(plan: &SoakPlan, records: &Records) -> Vec<Violation> {
    let mut evidence = Evidence {
        plan,
        records,
        requests: records.requests.iter().map(|request| (request.id, request)).collect(),
        attempts: HashMap::new(),
        processes: HashMap::new(),
        has_crowd: plan.crowd_at.is_some() || !plan.slow_crowds.is_empty(),
    };
    for attempt in &records.attempts {
        evidence.attempts.entry(attempt.id).or_default().push(attempt);
    }
    for record in &records.processes {
        evidence.processes.entry(record.process).or_default().push(record);
    }
    let mut violations: Vec<Violation> = Vec::new();
    violations.extend(records.requests.iter().filter_map(|request| evidence.lost(request)));
    violations.extend(records.requests.iter().filter_map(|request| evidence.duplicate(request)));
    violations.extend(records.attempts.iter().filter_map(|attempt| evidence.sent_after_drain(attempt)));
    violations.extend(records.bodies.iter().filter_map(|body| evidence.body_fault(body)));
    violations.extend(records.bodies.iter().filter_map(|body| evidence.body_duplicate(body)));
    violations.extend(records.peaks.iter().filter_map(|peak| evidence.over_memory(peak)));
    violations.extend(records.processes.iter().filter_map(crashed));
    violations.sort_by_key(|violation| violation.at);
    violations
}

fn crashed(record: &ProcessRecord) -> Option<Violation> {
    let ProcessEvent::Ended { expected: false, killed } = record.event else { return None };
    let text = format!("{:?} ended by itself (killed later: {killed})", record.process);
    Some(Violation { rule: Rule::Crash, at: record.at, text })
}

impl Evidence<'_> {
    fn attempts_of(&self, id: TryId) -> &[&AttemptRecord] {
        self.attempts.get(&id).map_or(&[], Vec::as_slice)
    }

    /// Returns the longest lag of the testbed in the second before a time.
    fn lag(&self, at: Duration) -> Duration {
        const LOOK_BACK: Duration = Duration::from_secs(1);
        let lags = self.records.lags.iter();
        let near = lags.filter(|lag| lag.at <= at + SOCKET_SLACK && lag.at + LOOK_BACK >= at);
        near.map(|lag| lag.lag).max().unwrap_or_default()
    }

    /// Returns a violation if a request had no final answer in time, or was sent on after its client had left.
    fn lost(&self, request: &ClientRecord) -> Option<Violation> {
        let attempts = self.attempts_of(request.id);
        let violation = |at, what: &str| {
            let text = format!("{what}: {request:?}, attempts {attempts:?}");
            Some(Violation { rule: Rule::Lost, at, text })
        };
        let deadline = match request.class {
            Class::Read => self.plan.read_deadline,
            Class::Order => self.plan.order_deadline,
        };
        match request.outcome {
            Outcome::Answered { at, .. } => {
                let latest = request.sent_at + deadline + LATE_ANSWER + SOCKET_SLACK + self.lag(at);
                (at > latest).then(|| violation(at, "answered late"))?
            }
            Outcome::Unanswered => violation(request.sent_at + deadline, "not answered"),
            Outcome::Closed { at } => {
                let may_have_crossed = request.reused && at - request.sent_at < CROSSING + self.lag(at);
                if self.was_killed(request.proxy, request.sent_at, at) {
                    return None;
                }
                let is_allowed =
                    attempts.is_empty() && (may_have_crossed || self.has_crowd && !request.reused);
                (!is_allowed).then(|| violation(at, "closed without an answer"))?
            }
            Outcome::Left { at } => {
                let late =
                    attempts.iter().find(|a| a.at > at + AFTER_LEAVING + SOCKET_SLACK + self.lag(a.at));
                late.and_then(|attempt| violation(attempt.at, "sent for a client that had left"))
            }
        }
    }

    /// Returns the end of a process of the proxy between two times. It is recorded after the kernel has closed the process's
    /// connections.
    fn process_end(&self, proxy: usize, from: Duration, to: Duration) -> Option<&ProcessRecord> {
        self.records.processes.iter().find(|record| {
            record.process.proxy == proxy
                && matches!(record.event, ProcessEvent::Ended { .. })
                && (from..=to + CROSSING).contains(&record.at)
        })
    }

    /// Returns when an event of this kind happened to a process.
    fn event_at(&self, process: ProcessId, is_kind: fn(&ProcessEvent) -> bool) -> Option<Duration> {
        let records = self.processes.get(&process)?;
        records.iter().find(|record| is_kind(&record.event)).map(|record| record.at)
    }

    /// Returns whether a process of the proxy ended between two times after it was killed without notice.
    fn was_killed(&self, proxy: usize, from: Duration, to: Duration) -> bool {
        let is_kill = |event: &ProcessEvent| matches!(event, ProcessEvent::Killed);
        self.process_end(proxy, from, to).is_some_and(|end| self.event_at(end.process, is_kill).is_some())
    }

    /// Returns a violation if an order ran twice, or was refused although it may have run.
    fn duplicate(&self, request: &ClientRecord) -> Option<Violation> {
        if request.class != Class::Order {
            return None;
        }
        let attempts = self.attempts_of(request.id);
        let ran: Vec<_> = attempts.iter().filter(|attempt| !attempt.turned_away).collect();
        let is_refused = matches!(request.outcome, Outcome::Answered { status: 429 | 503, .. });
        let last = ran.last()?;
        let what = match ran.len() {
            1 if !is_refused => return None,
            1 => "refused after it was sent",
            _ => "sent again",
        };
        let text = format!("{what}: {request:?}, attempts {attempts:?}");
        Some(Violation { rule: Rule::Duplicate, at: last.at, text })
    }

    /// Returns a violation if an attempt was sent to a backend after the grace of its departure.
    fn sent_after_drain(&self, attempt: &AttemptRecord) -> Option<Violation> {
        let request = self.requests.get(&attempt.id)?;
        let (change, departed_at) = self.departure(attempt)?;
        let process = self.process_at(request.proxy, attempt.at)?;
        let notified_at = self.notified_at(process, version_of(change), departed_at)?;
        let latest = notified_at + DRAIN_GRACE + SOCKET_SLACK + self.lag(attempt.at);
        if attempt.at <= latest {
            return None;
        }
        let text = format!(
            "sent to backend {} at {:.3} s, {process:?}; version {} departed it at {:.3} s, notified at {:.3} s",
            attempt.backend,
            attempt.at.as_secs_f64(),
            version_of(change),
            departed_at.as_secs_f64(),
            notified_at.as_secs_f64()
        );
        Some(Violation { rule: Rule::Drain, at: attempt.at, text })
    }

    /// Returns the index and the time of the change by which the backend of an attempt had departed, if it had.
    fn departure(&self, attempt: &AttemptRecord) -> Option<(usize, Duration)> {
        let changes = self.plan.changes.iter().enumerate();
        let of_backend =
            changes.filter(|(_, change)| change.backend == attempt.backend && change.at <= attempt.at);
        let mut departed = None;
        for (index, change) in of_backend {
            departed = match change.state {
                ListedState::Ready => None,
                ListedState::Draining | ListedState::Removed => departed.or(Some((index, change.at))),
            };
        }
        departed
    }

    /// Returns the process of a proxy at a time.
    fn process_at(&self, proxy: usize, at: Duration) -> Option<ProcessId> {
        let started = self.records.processes.iter().rev().find(|record| {
            record.process.proxy == proxy
                && record.at <= at
                && matches!(record.event, ProcessEvent::Started { .. })
        });
        started.map(|record| record.process)
    }

    /// Returns when a process counts as notified of a version that discovery had at `made_at`.
    fn notified_at(&self, process: ProcessId, version: u64, made_at: Duration) -> Option<Duration> {
        let records = self.processes.get(&process)?;
        let mut started_at = Duration::ZERO;
        let mut written_at = None;
        for record in records {
            match record.event {
                ProcessEvent::Started { version: known } => {
                    started_at = record.at;
                    if known >= version {
                        written_at = Some(record.at);
                    }
                }
                ProcessEvent::Notified { version: written } if written >= version => {
                    written_at = Some(written_at.map_or(record.at, |at: Duration| at.min(record.at)));
                }
                _ => {}
            }
        }
        let had_at = made_at.max(started_at);
        let at_the_latest = match self.plan.mode {
            ListMode::Pushed => self.pushed_at(records, had_at),
            ListMode::Polled => self.polled_at(had_at),
        };
        let at_the_latest = silence_ends_at(records, had_at, at_the_latest);
        Some(written_at.map_or(at_the_latest, |written| written.min(at_the_latest)))
    }

    /// Returns when a change counts as notified at the latest where lists are pushed: as soon as discovery can be
    /// reached, and not before 4 s after a move.
    fn pushed_at(&self, records: &[&ProcessRecord], had_at: Duration) -> Duration {
        let mut at = had_at;
        for (start, end) in self.plan.unreachable_spans() {
            if (start..end).contains(&at) {
                at = end;
            }
        }
        let moves = records.iter().filter(|record| matches!(record.event, ProcessEvent::ToldOfMove));
        // Between the move of discovery and the signal the process still follows the previous address.
        const SIGNAL_DELAY: Duration = Duration::from_millis(400);
        let near = moves.filter(|told| told.at <= at + SIGNAL_DELAY && at < told.at + NOTIFIED_AFTER_MOVE);
        near.map(|told| told.at + NOTIFIED_AFTER_MOVE).max().unwrap_or(at).max(at)
    }

    /// Returns when a change counts as notified at the latest where lists are polled: 6 s after discovery had it and
    /// could be reached. A span in which it could not be reached begins the time anew.
    fn polled_at(&self, had_at: Duration) -> Duration {
        let mut at = had_at + NOTIFIED_AFTER;
        for (start, end) in self.plan.unreachable_spans() {
            if start < at && end > had_at {
                at = at.max(end + NOTIFIED_AFTER);
            }
        }
        at
    }
}

/// Returns when a change counts as notified if a call of the process fell silent before: 6 s after that, or 2 s after
/// its wait, whichever is later. The end of the silent call's connection begins the 6 s anew.
fn silence_ends_at(records: &[&ProcessRecord], had_at: Duration, at: Duration) -> Duration {
    let mut latest = at;
    for record in records {
        let ProcessEvent::Silenced { wait_ends_at } = record.event else { continue };
        let mut ends_at = (record.at + NOTIFIED_AFTER).max(wait_ends_at + NOTIFIED_AFTER_WAIT);
        let closed = records.iter().find(|other| {
            matches!(other.event, ProcessEvent::SilenceEnded { wait_ends_at: of } if of == wait_ends_at)
        });
        if let Some(closed) = closed {
            ends_at = ends_at.min(closed.at.max(had_at) + NOTIFIED_AFTER);
        }
        let is_open = closed.is_none_or(|closed| closed.at > had_at);
        if is_open && record.at <= at && ends_at > had_at {
            latest = latest.max(ends_at);
        }
    }
    latest
}
