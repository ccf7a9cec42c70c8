//! What the records of one or more folders say of each request. Certain where they are, uncertain where records may
//! be missing, never wrong.

use crate::disk::Disk;
use crate::index::Index;
use crate::record::{End, Millis, Record};
use crate::segment::{read_segment, Scan, SegmentHeader, SegmentKind};
use std::collections::BTreeMap;
use std::io;
use std::ops::Range;

/// What became of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// Proved never to have begun.
    NeverSent,
    /// Sent, and answered with this status.
    Answered(u16),
    /// Sent, and known to have ended without an answer.
    Unanswered,
    /// Sent for all one can tell.
    PossiblySent,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Attempt {
    /// From 0.
    pub number: u32,
    /// The backend's id.
    pub backend: String,
    /// Where it listened.
    pub address: String,
    /// When it might write its first byte.
    #[serde(rename = "at")]
    pub sent_at: Millis,
    /// What became of it.
    pub fate: Fate,
}

/// What is known of a request as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It never reached a backend.
    NeverSent,
    /// It was sent, and each attempt's end is known.
    Sent,
    /// It may have been sent, or sent once more than the attempts tell.
    PossiblySent,
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Request {
    /// Its correlation id.
    pub id: String,
    /// Its class; empty where the record of its coming is lost.
    pub class: String,
    /// What it concerned.
    pub key: String,
    /// When it was taken, by that proxy's clock.
    #[serde(rename = "taken")]
    pub taken_at: Option<Millis>,
    /// Which proxy.
    pub proxy: String,
    /// Which start of it.
    pub generation: u64,
    /// In their order.
    pub attempts: Vec<Attempt>,
    /// Records that may have told of further attempts are missing.
    #[serde(rename = "doubt")]
    pub is_uncertain: bool,
    /// The client had its final answer.
    #[serde(rename = "settled")]
    pub is_finished: bool,
}

impl Request {
    /// What is known of it as a whole.
    pub fn verdict(&self) -> Verdict {
        let any = |wanted: &dyn Fn(Fate) -> bool| self.attempts.iter().any(|a| wanted(a.fate));
        if self.is_uncertain || any(&|f| f == Fate::PossiblySent) {
            Verdict::PossiblySent
        } else if any(&|f| f != Fate::NeverSent) {
            Verdict::Sent
        } else {
            Verdict::NeverSent
        }
    }
}

/// One start of one process, pieced together.
#[derive(Default)]
struct Generation {
    proxy: String,
    frames: BTreeMap<u64, Record>,
    /// Sequence numbers of the first frame of each segment.
    firsts: Vec<u64>,
    goes_on: bool,
    /// Something behind the last frame cannot be read.
    torn: bool,
    /// Segments that were passed over: their records are there and concern another id.
    spared: Vec<Range<u64>>,
}

impl Generation {
    fn add(&mut self, head: &SegmentHeader, scan: Scan) {
        self.proxy.clone_from(&head.proxy);
        self.goes_on |= head.sends_unrecorded;
        self.firsts.push(head.first_sequence);
        // Damage in the middle shows as missing numbers; at the end of a segment nothing else tells of it.
        self.torn |= scan.torn;
        self.frames.extend(scan.frames.into_iter().map(|l| (l.frame.sequence, l.frame.record)));
    }

    fn closed(&self) -> bool {
        self.frames.values().next_back().is_some_and(|r| matches!(r, Record::Closed { .. }))
    }

    /// Sequence numbers under which records may be missing.
    fn missing(&self) -> Vec<Range<u64>> {
        let mut known: Vec<Range<u64>> = self.frames.keys().map(|s| *s..s + 1).collect();
        known.extend(self.spared.iter().cloned());
        known.sort_by_key(|k| k.start);
        let mut out = Vec::new();
        let mut next = self.firsts.iter().min().copied().unwrap_or(1);
        for range in known {
            if range.start > next {
                out.push(next..range.start);
            }
            next = next.max(range.end);
        }
        let beyond = self.firsts.iter().any(|first| *first > next);
        if !self.closed() && (self.torn || self.goes_on || beyond) {
            out.push(next..u64::MAX);
        }
        out
    }

    fn requests(&self, generation: u64) -> Vec<Request> {
        let missing = self.missing();
        // Where its records may lie: from the first to the one that settles it.
        let mut spans: BTreeMap<u64, (Request, Range<u64>)> = BTreeMap::new();
        for (sequence, record) in &self.frames {
            let Some(number) = record.request() else { continue };
            let (r, span) = spans.entry(number).or_insert_with(|| {
                let r = Request {
                    id: String::new(),
                    class: String::new(),
                    key: String::new(),
                    taken_at: None,
                    proxy: self.proxy.clone(),
                    generation,
                    attempts: Vec::new(),
                    is_uncertain: false,
                    is_finished: false,
                };
                // Without the record of its coming it may have begun anywhere before.
                (r, *sequence..u64::MAX)
            });
            match record {
                Record::Taken { at, id, class, key, .. } => {
                    (r.id, r.class, r.key) = (id.clone(), class.clone(), key.clone());
                    r.taken_at = Some(*at);
                }
                Record::Intent { attempt, at, id, backend, address, .. } => {
                    if r.taken_at.is_none() {
                        span.start = 0;
                        r.id.clone_from(id);
                    }
                    let (backend, address) = (backend.clone(), address.clone());
                    let fate = Fate::PossiblySent;
                    r.attempts.push(Attempt { number: *attempt, backend, address, sent_at: *at, fate });
                }
                Record::Ended { attempt, end, .. } => {
                    if let Some(a) = r.attempts.iter_mut().find(|a| a.number == *attempt) {
                        a.fate = match end {
                            End::NeverSent => Fate::NeverSent,
                            End::Answered(status) => Fate::Answered(*status),
                            End::Unanswered => Fate::Unanswered,
                        };
                    } else {
                        span.start = 0; // its intent is lost: it was sent to somebody
                    }
                }
                Record::Settled { .. } => {
                    r.is_finished = true;
                    span.end = *sequence;
                }
                Record::Gap { .. } | Record::Closed { .. } => {}
            }
        }
        let doubtful = |span: &Range<u64>| missing.iter().any(|m| m.start < span.end && m.end > span.start);
        let done = spans.into_values().map(|(mut r, span)| {
            r.is_uncertain = r.taken_at.is_none() || doubtful(&span);
            r
        });
        done.collect()
    }
}

/// What folders hold, read whole or only as far as one id needs.
#[derive(Default)]
pub struct History {
    generations: BTreeMap<u64, Generation>,
    /// What could not be read, in words: requests that lay there are missing.
    pub faults: Vec<String>,
    /// Segments read, and segments that an index spared.
    pub read: (usize, usize),
}

impl History {
    /// Adds a folder; `name` is what its faults are told under. With an id, segments whose index says that they do
    /// not hold it are passed over, and only that request may be asked for then.
    ///
    /// # Errors
    /// Where the folder cannot be listed. A file that cannot be read is a fault, not an error.
    pub fn add<D: Disk>(&mut self, name: &str, disk: &D, id: Option<&str>) -> io::Result<()> {
        let mut files = disk.list()?;
        files.retain(|f| f.ends_with(".seg"));
        files.sort();
        for (at, file) in files.iter().enumerate() {
            // The last of a generation tells how that ended: it is always read.
            let last = files.get(at + 1).is_none_or(|next| next.split('-').nth(1) != file.split('-').nth(1));
            let index = id.filter(|_| !last).and_then(|_| disk.read(&file.replace(".seg", ".idx")).ok());
            let index = index.as_deref().and_then(Index::read);
            let spared = index.filter(|i| id.is_some_and(|id| !i.contains(id))).map(|i| i.last);
            let bytes = if spared.is_some() {
                self.read.1 += 1;
                disk.read_at(file, 0, crate::segment::HEAD_LEN)
            } else {
                self.read.0 += 1;
                disk.read(file)
            };
            match bytes {
                Ok(bytes) => self.take(name, file, &bytes, spared),
                Err(e) => self.faults.push(format!("{name}/{file}: {e}")),
            }
        }
        self.check(name);
        Ok(())
    }

    fn take(&mut self, name: &str, file: &str, bytes: &[u8], spared: Option<u64>) {
        let scan = read_segment(bytes);
        for range in &scan.damaged {
            self.faults.push(format!("{name}/{file}: bytes {} to {} cannot be read", range.start, range.end));
        }
        // The file's name tells whose it is where its head does not.
        let named = file.strip_prefix("ledger-").and_then(|f| f.split_once('-'));
        let named = named.and_then(|(g, rest)| Some((u64::from_str_radix(g, 16).ok()?, rest)));
        match &scan.kind {
            SegmentKind::Segment(head) => {
                let head = head.clone();
                let generation = self.generations.entry(head.generation).or_default();
                generation.add(&head, scan);
                generation.spared.extend(spared.map(|last| head.first_sequence..last + 1));
            }
            SegmentKind::Blank => {}
            SegmentKind::Newer(version) => {
                self.faults.push(format!("{name}/{file}: format {version} is newer than this program"));
                named.into_iter().for_each(|(g, _)| self.generations.entry(g).or_default().torn = true);
            }
            SegmentKind::Damaged => {
                self.faults.push(format!("{name}/{file}: its head cannot be read"));
                if let Some((g, _)) = named {
                    let generation = self.generations.entry(g).or_default();
                    generation.torn = true;
                    generation
                        .frames
                        .extend(scan.frames.into_iter().map(|l| (l.frame.sequence, l.frame.record)));
                }
            }
        }
    }

    /// Notes what is missing inside generations.
    fn check(&mut self, name: &str) {
        for (id, g) in &self.generations {
            let known: u64 = g.missing().iter().filter(|m| m.end < u64::MAX).map(|m| m.end - m.start).sum();
            if known > 0 {
                self.faults.push(format!("{name}: {known} records of generation {id:016x} are missing"));
            }
        }
    }

    /// All requests, in the order of their generations and of their coming.
    pub fn requests(&self) -> Vec<Request> {
        self.generations.iter().flat_map(|(id, g)| g.requests(*id)).collect()
    }

    /// What is known of an id; it may have been used more than once. Nothing found proves that it was never sent
    /// only where [`History::certain`].
    pub fn find(&self, id: &str) -> Vec<Request> {
        let mut found = self.requests();
        found.retain(|r| r.id == id);
        found
    }

    /// No record is missing anywhere: what is not found was never sent by these proxies.
    pub fn certain(&self) -> bool {
        let whole = |g: &Generation| g.missing().is_empty() && g.firsts.iter().min() == Some(&1);
        // Nothing at all proves nothing: it may be the wrong folder.
        !self.generations.is_empty() && self.faults.is_empty() && self.generations.values().all(whole)
    }
}
