//! A stand-in discovery service of fixed capacity for long lists and many followers: it serves a versioned list
//! of any length over HTTP/1.1 long polls, and counts its answers.

use super::document;
use super::experiment::Capacity;
use crate::driver::wire::{listen, Connection, ReadEvent};
use crate::world::discovery::Status;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Longest wait of a call, the bound of the protocol.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Port of the listed backends that get no requests; each has a loopback address of its own.
const BACKEND_PORT: u16 = 8_443;

/// The kind of followers on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Follower {
    /// Processes of the program.
    Real,
    /// Hollow proxies.
    Hollow,
}

/// Counters of one kind of answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct AnswerCounts {
    /// Calls answered.
    pub calls: u64,
    /// Lines in the answers.
    pub lines: u64,
    /// Bytes of requests and answers, heads included.
    pub bytes: u64,
}

impl AnswerCounts {
    fn add(&mut self, lines: usize, bytes: usize) {
        self.calls += 1;
        self.lines += lines as u64;
        self.bytes += bytes as u64;
    }

    fn minus(self, before: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            calls: self.calls - before.calls,
            lines: self.lines - before.lines,
            bytes: self.bytes - before.bytes,
        }
    }
}

/// Counters by kind of answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Counters {
    /// Whole lists.
    pub whole: AnswerCounts,
    /// Answers with changes.
    pub changes: AnswerCounts,
    /// Long polls that ended without a change.
    pub empty: AnswerCounts,
}

impl Counters {
    /// Returns the difference to the earlier counters `before`.
    pub fn since(self, before: Counters) -> Counters {
        Counters {
            whole: self.whole.minus(before.whole),
            changes: self.changes.minus(before.changes),
            empty: self.empty.minus(before.empty),
        }
    }

    /// Returns the bytes of all kinds.
    pub fn bytes(self) -> u64 {
        self.whole.bytes + self.changes.bytes + self.empty.bytes
    }

    /// Returns the calls of all kinds.
    pub fn calls(self) -> u64 {
        self.whole.calls + self.changes.calls + self.empty.calls
    }

    /// Returns the lines of all kinds.
    pub fn lines(self) -> u64 {
        self.whole.lines + self.changes.lines + self.empty.lines
    }
}

struct Line {
    status: Status,
    since_ms: u64,
    version: u64,
}

/// A change of one backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Number of the backend.
    pub backend: usize,
    /// Its new status.
    pub status: Status,
}

struct Version {
    /// When the version was created.
    created_at: Instant,
    /// The backends changed by it.
    backends: Vec<usize>,
}

/// An answer that is sent to many followers unchanged.
struct Answer {
    after: Option<u64>,
    version: u64,
    lines: usize,
    text: Bytes,
}

/// The discovery service.
pub struct Directory {
    capacity: Capacity,
    zones: usize,
    /// Address of the backend that requests reach, which replaces the address of the first line.
    real_backend: Option<SocketAddr>,
    lines: RefCell<Vec<Line>>,
    versions: RefCell<Vec<Version>>,
    latest_version: watch::Sender<u64>,
    free_at: Cell<Instant>,
    last: RefCell<Option<Rc<Answer>>>,
    counters: Cell<Counters>,
    in_force: RefCell<Vec<(Follower, Duration)>>,
    listed: Cell<Listed>,
}

/// Number of followers that have a whole list, as shown by their first call for newer changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listed {
    /// Real processes.
    pub real: usize,
    /// Hollow proxies.
    pub hollow: usize,
}

impl Directory {
    /// Creates the service with a list of `backends` that have all been serving for a long time.
    pub fn new(
        backends: usize, zones: usize, capacity: Capacity, real_backend: Option<SocketAddr>,
    ) -> Rc<Directory> {
        let line = |_| Line { status: Status::Serving, since_ms: 0, version: 1 };
        let first = Version { created_at: Instant::now(), backends: Vec::new() };
        Rc::new(Directory {
            capacity,
            zones,
            real_backend,
            lines: RefCell::new((0..backends).map(line).collect()),
            versions: RefCell::new(vec![first]),
            latest_version: watch::channel(1).0,
            free_at: Cell::new(Instant::now()),
            last: RefCell::default(),
            counters: Cell::default(),
            in_force: RefCell::default(),
            listed: Cell::default(),
        })
    }

    /// Listens for followers of one kind.
    ///
    /// # Errors
    /// Fails if no socket can be opened.
    pub fn listen(self: &Rc<Self>, follower: Follower) -> std::io::Result<SocketAddr> {
        let listener = listen(None)?;
        let address = listener.local_addr()?;
        let directory = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                tokio::task::spawn_local(directory.clone().serve(follower, Connection::new(tcp)));
            }
        });
        Ok(address)
    }

    /// Returns the current version of the list.
    pub fn version(&self) -> u64 {
        self.versions.borrow().len() as u64
    }

    /// Applies all changes as one new version of the list.
    pub fn change(&self, changes: &[Change], unix_ms: u64) {
        let version = self.version() + 1;
        let mut lines = self.lines.borrow_mut();
        for change in changes {
            let line = &mut lines[change.backend];
            line.version = version;
            if change.status == Status::Serving && line.status != Status::Serving {
                line.since_ms = unix_ms;
            }
            line.status = change.status;
        }
        let backends = changes.iter().map(|change| change.backend).collect();
        self.versions.borrow_mut().push(Version { created_at: Instant::now(), backends });
        self.latest_version.send_replace(version);
    }

    /// Returns the counters of all answers so far.
    pub fn counters(&self) -> Counters {
        self.counters.get()
    }

    /// Returns and clears the recorded times from a change until a follower had it in force, as shown by the
    /// follower's next call.
    pub fn take_in_force(&self) -> Vec<(Follower, Duration)> {
        self.in_force.take()
    }

    /// Returns the number of followers that have a list.
    pub fn listed(&self) -> Listed {
        self.listed.get()
    }

    async fn serve(self: Rc<Self>, follower: Follower, mut connection: Connection) {
        // A follower has a whole version in force before it asks for newer changes.
        let mut held = None;
        while let Ok(Some(request)) = connection.request().await {
            let (after, wait) = query(&request.target);
            self.record_in_force(follower, held, after);
            held = after;
            if let (Some(after), true) = (after, wait > Duration::ZERO) {
                let mut updates = self.latest_version.subscribe();
                tokio::select! {
                    _ = tokio::time::timeout(wait, updates.wait_for(|version| *version > after)) => {}
                    event = connection.wait_read() => if event == ReadEvent::End { return },
                }
            }
            let answer = self.answer(after);
            self.wait_for_capacity(answer.lines).await;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.text.len());
            let sent = async {
                connection.write(head.as_bytes()).await?;
                connection.write(&answer.text).await
            };
            if sent.await.is_err() {
                return;
            }
            let request_bytes = REQUEST_HEAD_BYTES + request.target.len();
            self.count(&answer, request_bytes + head.len() + answer.text.len());
        }
    }

    fn record_in_force(&self, follower: Follower, held: Option<u64>, after: Option<u64>) {
        let Some(after) = after else { return };
        let Some(held) = held else {
            let mut listed = self.listed.get();
            match follower {
                Follower::Real => listed.real += 1,
                Follower::Hollow => listed.hollow += 1,
            }
            self.listed.set(listed);
            return;
        };
        let versions = self.versions.borrow();
        let newer = versions.get(held as usize..after as usize).unwrap_or_default();
        let ages = newer.iter().map(|version| (follower, version.created_at.elapsed()));
        self.in_force.borrow_mut().extend(ages);
    }

    /// Waits for the calls before this one and then for the cost of this one: calls are handled one at a time.
    async fn wait_for_capacity(&self, lines: usize) {
        let cost = self.capacity.call_us + self.capacity.line_us * lines as f64;
        let done = self.free_at.get().max(Instant::now()) + Duration::from_secs_f64(cost / 1e6);
        self.free_at.set(done);
        tokio::time::sleep_until(done).await;
    }

    fn count(&self, answer: &Answer, bytes: usize) {
        let mut counters = self.counters.get();
        let kind = match (answer.after, answer.lines) {
            (None, _) => &mut counters.whole,
            (Some(_), 0) => &mut counters.empty,
            (Some(_), _) => &mut counters.changes,
        };
        kind.add(answer.lines, bytes);
        self.counters.set(counters);
    }

    /// Returns the changes since version `after`, or the whole list.
    fn answer(&self, after: Option<u64>) -> Rc<Answer> {
        let version = self.version();
        // A follower that is ahead of the list has the version of another discovery and gets the whole list.
        let after = after.filter(|after| *after <= version);
        let last = self.last.borrow().clone();
        if let Some(answer) = last.filter(|last| (last.after, last.version) == (after, version)) {
            return answer;
        }
        let backends: Vec<usize> = match after {
            None => (0..self.lines.borrow().len()).filter(|at| self.is_listed(*at)).collect(),
            Some(after) => self.changed_since(after).into_iter().collect(),
        };
        let text = Bytes::from(self.json(version, after.is_none(), &backends));
        let answer = Rc::new(Answer { after, version, lines: backends.len(), text });
        self.last.replace(Some(answer.clone()));
        answer
    }

    fn is_listed(&self, backend: usize) -> bool {
        self.lines.borrow()[backend].status != Status::Deleted
    }

    fn changed_since(&self, after: u64) -> BTreeSet<usize> {
        let versions = self.versions.borrow();
        let newer = versions.get(after as usize..).unwrap_or_default();
        newer.iter().flat_map(|version| version.backends.iter().copied()).collect()
    }

    fn json(&self, version: u64, snapshot: bool, backends: &[usize]) -> String {
        let mut text = format!("{{\"index\":{version},\"snapshot\":{snapshot},\"endpoints\":[");
        for (at, backend) in backends.iter().enumerate() {
            if at > 0 {
                text.push(',');
            }
            self.write_line(&mut text, *backend);
        }
        text.push_str("]}");
        text
    }

    fn write_line(&self, text: &mut String, backend: usize) {
        let lines = self.lines.borrow();
        let line = &lines[backend];
        let status = match line.status {
            Status::Serving => "SERVING",
            Status::Draining => "DRAINING",
            Status::Deleted => "DELETED",
        };
        let _ = write!(
            text,
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"{status}","weight":1.0,"since_ms":{}}}"#,
            document::backend(backend),
            self.address(backend),
            document::zone(backend % self.zones),
            document::KINDS[backend % document::KINDS.len()],
            backend / GROUP_SIZE,
            line.since_ms,
        );
    }

    fn address(&self, backend: usize) -> SocketAddr {
        let [_, high, middle, low] = (backend as u32 + 1).to_be_bytes();
        // Avoids 127.0.*.*, which is used by real listeners.
        let default_address = SocketAddr::from((Ipv4Addr::new(127, 64 + high, middle, low), BACKEND_PORT));
        self.real_backend.filter(|_| backend == 0).unwrap_or(default_address)
    }
}

/// Backends in one group of the list (a cell).
const GROUP_SIZE: usize = 40;
/// Bytes of a follower's request without its target: `GET  HTTP/1.1`, `host: 127.0.0.1:NNNNN` and line ends.
const REQUEST_HEAD_BYTES: usize = "GET  HTTP/1.1\r\nhost: 127.0.0.1:12345\r\n\r\n".len();

/// Parses the version and the wait of a call.
fn query(target: &str) -> (Option<u64>, Duration) {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let value = |key: &str| -> Option<u64> {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(name, _)| *name == key).find_map(|(_, value)| value.parse().ok())
    };
    let wait = Duration::from_millis(value("wait_ms").unwrap_or(0));
    (value("after"), wait.min(MAX_WAIT))
}
