//! Appends records to segments. Owned by one thread; it reads no clock and starts no thread itself.

use crate::disk::Disk;
use crate::frame::{encode, MAX_RECORD};
use crate::index;
use crate::record::{Millis, Record};
use crate::segment::{read_segment, LocatedFrame, SegmentHeader, SegmentKind, HEAD_LEN};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use thiserror::Error;

/// What a record has to survive before its request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The death of the process: it is written to the kernel.
    Process,
    /// The loss of power: it is synced to the disk.
    Power,
}

/// What becomes of requests while nothing can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnFailure {
    /// They are not sent.
    Refuse,
    /// They are sent, and the gap is recorded as soon as writing works. This holds once the generation has its first
    /// segment: before that nothing on the disk would tell that there may be a gap.
    GoOn,
}

/// How to write.
#[derive(Clone, Debug)]
pub struct Options {
    /// The proxy's name; cut to 64 bytes.
    pub proxy: String,
    /// What records have to survive.
    pub mode: Mode,
    /// What becomes of requests while nothing can be written.
    pub on_failure: OnFailure,
    /// Room of a segment, reserved when it is made.
    pub segment_bytes: u64,
    /// Sealed segments are dropped beyond so many bytes, the oldest first ...
    pub keep_bytes: u64,
    /// ... or at this age ...
    pub keep: Millis,
    /// ... but those that hold an unresolved request only at this one.
    pub keep_unresolved: Millis,
}

impl Options {
    /// 16 MiB segments, 1 GiB or 90 days in all, 180 days for the unresolved.
    pub fn new(proxy: &str, mode: Mode, on_failure: OnFailure) -> Options {
        let day = 24 * 3600 * 1000;
        let proxy = proxy.chars().take(16).collect();
        let (segment_bytes, keep_bytes) = (16 << 20, 1 << 30);
        Options {
            proxy,
            mode,
            on_failure,
            segment_bytes,
            keep_bytes,
            keep: 90 * day,
            keep_unresolved: 180 * day,
        }
    }
}

/// Why records were not written as safely as the mode asks.
#[derive(Debug, Error)]
pub enum WriteError {
    /// The disk failed; nothing is known of these records.
    #[error("the disk failed: {0}")]
    Disk(#[from] io::Error),
}

/// A new segment is tried for so soon after a failure, ms.
const RETRY: Millis = 500;

struct Open<F> {
    file: F,
    name: String,
    at: u64,
    ids: BTreeSet<u64>,
}

/// A segment that nobody writes any more.
struct Sealed {
    name: String,
    bytes: u64,
    /// The newest that it holds.
    until: Millis,
    /// Requests that were taken in it and are not resolved, of this generation.
    open: BTreeSet<u64>,
    /// An earlier generation's requests of it that never will be.
    unresolved: bool,
}

/// Writes one generation's segments.
pub struct Writer<D: Disk> {
    disk: D,
    options: Options,
    generation: u64,
    started: Millis,
    number: u32,
    sequence: u64,
    open: Option<Open<D::File>>,
    retry_at: Millis,
    /// Records that could not be written, since when.
    missing: Option<(Millis, u64)>,
    /// Open requests: the hash of the id, and the segment in which it was taken.
    requests: HashMap<u64, (u64, u32)>,
    sealed: BTreeMap<u32, Sealed>,
    /// Segments of earlier generations; `None` until the first segment is sealed, as reading them takes time that
    /// a start has not.
    earlier: Option<Vec<Sealed>>,
    take_dropped: Vec<String>,
    syncs: u64,
    bytes: u64,
    begun: bool,
}

/// The name of a segment: sorted by name, a generation's segments are in order.
fn name(generation: u64, number: u32) -> String {
    format!("ledger-{generation:016x}-{number:08}.seg")
}

impl<D: Disk> Writer<D> {
    /// Begins a generation. Where no segment can be made it says so, and tries again with the first records.
    pub fn open(
        disk: D, options: Options, generation: u64, now: Millis,
    ) -> (Writer<D>, Result<(), WriteError>) {
        let mut writer = Writer {
            disk,
            options,
            generation,
            started: now,
            number: 0,
            sequence: 0,
            open: None,
            retry_at: 0,
            missing: None,
            requests: HashMap::new(),
            sealed: BTreeMap::new(),
            earlier: None,
            take_dropped: Vec::new(),
            syncs: 0,
            bytes: 0,
            begun: false,
        };
        let begun = writer.begin(now);
        (writer, begun.map_err(WriteError::from))
    }

    /// What earlier generations left: they may hold requests that nobody will resolve.
    fn inherited(&self, now: Millis) -> Vec<Sealed> {
        let mut names = self.disk.list().unwrap_or_default();
        let own = format!("ledger-{:016x}-", self.generation);
        names.retain(|n| n.ends_with(".seg") && !n.starts_with(&own));
        names.sort();
        let read = |name: String| {
            let all = self.disk.read(&name).ok()?;
            let scan = read_segment(&all);
            let mut open = BTreeSet::new();
            let mut until = if let SegmentKind::Segment(head) = &scan.kind { head.started_at } else { now };
            for LocatedFrame { frame, .. } in &scan.frames {
                match &frame.record {
                    Record::Taken { request, at, .. } => {
                        open.insert(*request);
                        until = until.max(*at);
                    }
                    Record::Intent { at, .. } | Record::Ended { at, .. } => until = until.max(*at),
                    Record::Settled { request } => drop(open.remove(request)),
                    Record::Gap { .. } | Record::Closed { .. } => {}
                }
            }
            let bytes = all.len() as u64; // the room that was reserved counts, written or not
            let unresolved = !open.is_empty() || !scan.damaged.is_empty();
            Some(Sealed { name, bytes, until, open: BTreeSet::new(), unresolved })
        };
        names.into_iter().filter_map(read).collect()
    }

    fn begin(&mut self, now: Millis) -> io::Result<()> {
        let name = name(self.generation, self.number);
        self.retry_at = now + RETRY;
        let mut file = match self.disk.create(&name, self.options.segment_bytes) {
            Ok(file) => file,
            Err(e) => {
                let _ = self.disk.remove(&name);
                return Err(e);
            }
        };
        let head = SegmentHeader {
            proxy: self.options.proxy.clone(),
            generation: self.generation,
            started_at: self.started,
            number: self.number,
            first_sequence: self.sequence + 1,
            sends_unrecorded: self.options.on_failure == OnFailure::GoOn,
        };
        self.number += 1;
        self.disk.write(&mut file, 0, &head.encode())?;
        if self.options.mode == Mode::Power {
            self.disk.sync(&mut file)?;
            self.syncs += 1;
        }
        self.begun = true;
        self.open = Some(Open { file, name, at: HEAD_LEN as u64, ids: BTreeSet::new() });
        Ok(())
    }

    /// Writes records, all or none of them as safely as the mode asks.
    ///
    /// # Errors
    /// Where the disk fails: the segment is left for good then, as nobody knows what it holds, and the records'
    /// sequence numbers are not used again.
    pub fn append(&mut self, now: Millis, records: &[Record]) -> Result<(), WriteError> {
        let done = self.try_append(now, records);
        if done.is_err() {
            self.abandon(now);
            let (since, missing) = self.missing.unwrap_or((now, 0));
            self.missing = Some((since, missing + records.len() as u64));
            self.sequence += records.len() as u64;
        }
        done
    }

    /// Records were lost before they came here: their requests were sent all the same.
    pub fn record_lost(&mut self, now: Millis, records: u64) {
        let (since, missing) = self.missing.unwrap_or((now, 0));
        self.missing = Some((since, missing + records));
        self.sequence += records;
    }

    fn try_append(&mut self, now: Millis, records: &[Record]) -> Result<(), WriteError> {
        if self.open.is_none() {
            if now < self.retry_at {
                return Err(WriteError::Disk(io::Error::other("no segment could be made just now")));
            }
            self.begin(now)?;
        }
        let gap = self.missing.map(|(from, records)| Record::Gap { from, to: now, records });
        let mut bytes = Vec::with_capacity(records.len() * 160);
        let mut sequence = self.sequence;
        for record in gap.iter().chain(records) {
            sequence += 1;
            encode(sequence, record, &mut bytes);
        }
        let fits = |o: &Open<D::File>| o.at + bytes.len() as u64 <= self.options.segment_bytes;
        if !self.open.as_ref().is_some_and(fits) && self.open.as_ref().is_some_and(|o| o.at > HEAD_LEN as u64)
        {
            self.seal(now);
            self.begin(now)?;
        }
        let Some(open) = self.open.as_mut() else { return Ok(()) };
        self.disk.write(&mut open.file, open.at, &bytes)?;
        if self.options.mode == Mode::Power {
            self.disk.sync(&mut open.file)?;
            self.syncs += 1;
        }
        open.at += bytes.len() as u64;
        self.bytes += bytes.len() as u64;
        self.sequence = sequence;
        self.missing = None;
        records.iter().for_each(|r| self.note(r));
        Ok(())
    }

    /// Keeps the index and the open requests up to date.
    fn note(&mut self, record: &Record) {
        let current = self.number - 1;
        let Some(open) = self.open.as_mut() else { return };
        if let Some(id) = record.id() {
            open.ids.insert(index::hash(id));
        }
        match record {
            Record::Taken { request, id, .. } => {
                self.requests.insert(*request, (index::hash(id), current));
            }
            Record::Ended { request, .. } => {
                open.ids.extend(self.requests.get(request).map(|r| r.0));
            }
            Record::Settled { request } => {
                if let Some((hash, taken)) = self.requests.remove(request) {
                    open.ids.insert(hash);
                    self.sealed.get_mut(&taken).map(|s| s.open.remove(request));
                }
            }
            _ => {}
        }
    }

    /// Ends the segment in order, with its index.
    fn seal(&mut self, now: Millis) {
        let Some(open) = self.open.take() else { return };
        let bytes = index::encode(&open.ids, self.sequence);
        let index = open.name.replace(".seg", ".idx");
        // Without its index a segment is read whole: nothing is lost.
        let _ = self.disk.create(&index, 0).and_then(|mut f| self.disk.write(&mut f, 0, &bytes));
        self.keep(open.name, open.at, now);
        self.retain(now);
    }

    /// Leaves a segment of which nobody knows what it holds.
    fn abandon(&mut self, now: Millis) {
        if let Some(open) = self.open.take() {
            self.keep(open.name, open.at, now);
        }
        self.retry_at = now + RETRY;
    }

    fn keep(&mut self, name: String, bytes: u64, now: Millis) {
        let number = self.number - 1;
        let of = |(request, (_, taken)): (&u64, &(u64, u32))| (*taken == number).then_some(*request);
        let open = self.requests.iter().filter_map(of).collect();
        self.sealed.insert(number, Sealed { name, bytes, until: now, open, unresolved: false });
    }

    /// Drops what is too old or too much, the oldest first and never past one that has to stay.
    fn retain(&mut self, now: Millis) {
        let mut earlier = match self.earlier.take() {
            Some(earlier) => earlier,
            None => self.inherited(now),
        };
        let o = &self.options;
        let mut all: u64 = earlier.iter().chain(self.sealed.values()).map(|s| s.bytes).sum();
        let may_go = |s: &Sealed, all: u64| {
            let age = now.saturating_sub(s.until);
            let resolved = s.open.is_empty() && !s.unresolved;
            let unwanted = age >= o.keep || all > o.keep_bytes;
            unwanted && resolved || age >= o.keep_unresolved
        };
        let mut gone = Vec::new();
        earlier.sort_by_key(|s| s.until);
        let mut count = 0;
        while let Some(sealed) = earlier.get(count).filter(|s| may_go(s, all)) {
            all -= sealed.bytes;
            gone.push(sealed.name.clone());
            count += 1;
        }
        earlier.drain(..count);
        while earlier.is_empty() && self.sealed.values().next().is_some_and(|s| may_go(s, all)) {
            let Some((_, sealed)) = self.sealed.pop_first() else { break };
            all -= sealed.bytes;
            gone.push(sealed.name);
        }
        self.earlier = Some(earlier);
        for name in gone {
            let _ = self.disk.remove(&name);
            let _ = self.disk.remove(&name.replace(".seg", ".idx"));
            self.take_dropped.push(name);
        }
    }

    /// Ends the generation in order.
    ///
    /// # Errors
    /// Where the disk fails: the generation then reads as one that crashed.
    pub fn close(&mut self, now: Millis) -> Result<(), WriteError> {
        self.append(now, &[Record::Closed { at: now }])?;
        self.seal(now);
        Ok(())
    }

    /// Segments dropped since the last call, for the log.
    pub fn take_dropped(&mut self) -> Vec<String> {
        std::mem::take(&mut self.take_dropped)
    }

    /// Nothing can be written at present.
    pub fn is_failing(&self) -> bool {
        self.open.is_none() || self.missing.is_some()
    }

    /// The generation has a segment on the disk, which tells whether requests may go on without records.
    pub fn begun(&self) -> bool {
        self.begun
    }

    /// Syncs and bytes so far.
    pub fn write_counts(&self) -> (u64, u64) {
        (self.syncs, self.bytes)
    }

    /// Bytes that the disk still takes.
    pub fn free_bytes(&self) -> Option<u64> {
        self.disk.free().ok()
    }
}

/// Cuts a text so that no record is too long.
pub(crate) fn cut(text: &str) -> String {
    const MOST: usize = MAX_RECORD / 8;
    let end = (0..=MOST.min(text.len())).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    text[..end].into()
}
