//! Stand-in discovery of fixed capacity for long lists and many followers: it tells a list of any length by version
//! over HTTP/1.1 long polls, and counts what it tells.

use super::document;
use super::experiment::Capacity;
use crate::driver::wire::{listen, Link, ReadEvent};
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

/// The longest that a call may wait (the protocol's bound).
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Where backends that get no requests are said to listen: one address each, of loopback.
const PORT: u16 = 8_443;

/// Who follows on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Follower {
    /// A process of the program.
    Real,
    /// A stand-in.
    Hollow,
}

/// What was told in one kind of answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Told {
    /// Calls answered.
    pub calls: u64,
    /// Lines in the answers.
    pub lines: u64,
    /// Bytes of requests and answers, heads included.
    pub bytes: u64,
}

impl Told {
    fn add(&mut self, lines: usize, bytes: usize) {
        self.calls += 1;
        self.lines += lines as u64;
        self.bytes += bytes as u64;
    }

    fn less(self, before: Told) -> Told {
        Told {
            calls: self.calls - before.calls,
            lines: self.lines - before.lines,
            bytes: self.bytes - before.bytes,
        }
    }
}

/// All that was told, by kind of answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Counters {
    /// Whole lists.
    pub whole: Told,
    /// Changes.
    pub changes: Told,
    /// Waits that ended without news.
    pub empty: Told,
}

impl Counters {
    /// What came since `before`.
    pub fn since(self, before: Counters) -> Counters {
        Counters {
            whole: self.whole.less(before.whole),
            changes: self.changes.less(before.changes),
            empty: self.empty.less(before.empty),
        }
    }

    /// Bytes of all kinds.
    pub fn bytes(self) -> u64 {
        self.whole.bytes + self.changes.bytes + self.empty.bytes
    }

    /// Calls of all kinds.
    pub fn calls(self) -> u64 {
        self.whole.calls + self.changes.calls + self.empty.calls
    }

    /// Lines of all kinds.
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
    /// Its number.
    pub backend: usize,
    /// What it is from now on.
    pub status: Status,
}

struct Version {
    /// When it was made.
    made: Instant,
    /// The backends that it changed.
    backends: Vec<usize>,
}

/// An answer that many followers get alike.
struct Answer {
    after: Option<u64>,
    version: u64,
    lines: usize,
    text: Bytes,
}

/// The service.
pub struct Directory {
    capacity: Capacity,
    zones: usize,
    /// The backend that requests reach, in place of the first line's own address.
    real_backend: Option<SocketAddr>,
    lines: RefCell<Vec<Line>>,
    versions: RefCell<Vec<Version>>,
    news: watch::Sender<u64>,
    free_at: Cell<Instant>,
    last: RefCell<Option<Rc<Answer>>>,
    counters: Cell<Counters>,
    in_force: RefCell<Vec<(Follower, Duration)>>,
    listed: Cell<Listed>,
}

/// Followers that have asked for what is newer than a whole list, and so have taken one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listed {
    /// Real ones.
    pub real: usize,
    /// Hollow ones.
    pub hollow: usize,
}

impl Directory {
    /// A list of so many backends, all serving since long ago.
    pub fn new(
        backends: usize, zones: usize, capacity: Capacity, real_backend: Option<SocketAddr>,
    ) -> Rc<Directory> {
        let line = |_| Line { status: Status::Serving, since_ms: 0, version: 1 };
        let first = Version { made: Instant::now(), backends: Vec::new() };
        Rc::new(Directory {
            capacity,
            zones,
            real_backend,
            lines: RefCell::new((0..backends).map(line).collect()),
            versions: RefCell::new(vec![first]),
            news: watch::channel(1).0,
            free_at: Cell::new(Instant::now()),
            last: RefCell::default(),
            counters: Cell::default(),
            in_force: RefCell::default(),
            listed: Cell::default(),
        })
    }

    /// Listens for followers of one sort.
    ///
    /// # Errors
    /// No socket can be had.
    pub fn listen(self: &Rc<Self>, follower: Follower) -> std::io::Result<SocketAddr> {
        let listener = listen(None)?;
        let address = listener.local_addr()?;
        let directory = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                tokio::task::spawn_local(directory.clone().serve(follower, Link::new(tcp)));
            }
        });
        Ok(address)
    }

    /// The version that is told.
    pub fn version(&self) -> u64 {
        self.versions.borrow().len() as u64
    }

    /// Changes the list, all at once.
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
        self.versions.borrow_mut().push(Version { made: Instant::now(), backends });
        self.news.send_replace(version);
    }

    /// What was told so far.
    pub fn counters(&self) -> Counters {
        self.counters.get()
    }

    /// How long after each change each follower had it in force, as its next call showed; empty then.
    pub fn take_in_force(&self) -> Vec<(Follower, Duration)> {
        self.in_force.take()
    }

    /// Who has a list.
    pub fn listed(&self) -> Listed {
        self.listed.get()
    }

    async fn serve(self: Rc<Self>, follower: Follower, mut link: Link) {
        // Followers have everything of a version in force before they ask for what is newer.
        let mut held = None;
        while let Ok(Some(request)) = link.request().await {
            let (after, wait) = query(&request.target);
            self.note_in_force(follower, held, after);
            held = after;
            if let (Some(after), true) = (after, wait > Duration::ZERO) {
                let mut news = self.news.subscribe();
                tokio::select! {
                    _ = tokio::time::timeout(wait, news.wait_for(|version| *version > after)) => {}
                    event = link.wait_read() => if event == ReadEvent::End { return },
                }
            }
            let answer = self.answer(after);
            self.take_turn(answer.lines).await;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.text.len());
            let sent = async {
                link.write(head.as_bytes()).await?;
                link.write(&answer.text).await
            };
            if sent.await.is_err() {
                return;
            }
            let asked = REQUEST_HEAD + request.target.len();
            self.count(&answer, asked + head.len() + answer.text.len());
        }
    }

    fn note_in_force(&self, follower: Follower, held: Option<u64>, after: Option<u64>) {
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
        let ages = newer.iter().map(|version| (follower, version.made.elapsed()));
        self.in_force.borrow_mut().extend(ages);
    }

    /// Calls are handled one after the other, each for what it costs.
    async fn take_turn(&self, lines: usize) {
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

    /// What is newer than `after`, or the whole list.
    fn answer(&self, after: Option<u64>) -> Rc<Answer> {
        let version = self.version();
        // Who is ahead of the list knows another discovery's: it is told all.
        let after = after.filter(|after| *after <= version);
        let last = self.last.borrow().clone();
        if let Some(answer) = last.filter(|last| (last.after, last.version) == (after, version)) {
            return answer;
        }
        let told: Vec<usize> = match after {
            None => (0..self.lines.borrow().len()).filter(|at| self.present(*at)).collect(),
            Some(after) => self.changed_since(after).into_iter().collect(),
        };
        let text = Bytes::from(self.json(version, after.is_none(), &told));
        let answer = Rc::new(Answer { after, version, lines: told.len(), text });
        self.last.replace(Some(answer.clone()));
        answer
    }

    fn present(&self, backend: usize) -> bool {
        self.lines.borrow()[backend].status != Status::Deleted
    }

    fn changed_since(&self, after: u64) -> BTreeSet<usize> {
        let versions = self.versions.borrow();
        let newer = versions.get(after as usize..).unwrap_or_default();
        newer.iter().flat_map(|version| version.backends.iter().copied()).collect()
    }

    fn json(&self, version: u64, snapshot: bool, told: &[usize]) -> String {
        let mut text = format!("{{\"index\":{version},\"snapshot\":{snapshot},\"endpoints\":[");
        for (at, backend) in told.iter().enumerate() {
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
            backend / GROUP,
            line.since_ms,
        );
    }

    fn address(&self, backend: usize) -> SocketAddr {
        let [_, high, middle, low] = (backend as u32 + 1).to_be_bytes();
        // Not 127.0.*.*, where real listeners are.
        let own = SocketAddr::from((Ipv4Addr::new(127, 64 + high, middle, low), PORT));
        self.real_backend.filter(|_| backend == 0).unwrap_or(own)
    }
}

/// Backends of one group of the list (a cell).
const GROUP: usize = 40;
/// Bytes of a follower's request beside its target: `GET  HTTP/1.1`, `host: 127.0.0.1:NNNNN` and line ends.
const REQUEST_HEAD: usize = "GET  HTTP/1.1\r\nhost: 127.0.0.1:12345\r\n\r\n".len();

/// Version and wait of a call.
fn query(target: &str) -> (Option<u64>, Duration) {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let value = |key: &str| -> Option<u64> {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(name, _)| *name == key).find_map(|(_, value)| value.parse().ok())
    };
    let wait = Duration::from_millis(value("wait_ms").unwrap_or(0));
    (value("after"), wait.min(MAX_WAIT))
}
