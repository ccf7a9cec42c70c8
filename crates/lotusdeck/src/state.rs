//! The proxy's state on disk (docs/recovery.md): the last list and what was learned, read once at the start and
//! written by a thread of its own, so that the event loop never waits for a disk. What is in the bytes and how far they are believed is
//! `lotusdeck_state`'s.

use crate::operator::StateSettings;
use lotusdeck_core::Host;
use lotusdeck_proxy::cached_endpoint_list::CachedEndpointList;
use lotusdeck_proxy::endpoint_list::EndpointList;
use lotusdeck_state::{
    choose, decode, encode, Age, AgeWeighting, Confidence, EndpointSource, Estimates, Persisted, ReadError,
    SavedEndpoints,
};
use std::collections::HashMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tracing::{info, warn};

/// Why a kept state is not taken.
#[derive(Debug, Error)]
pub(crate) enum Unread {
    #[error("none kept yet")]
    Missing,
    #[error("cannot read: {0}")]
    Io(std::io::Error),
    #[error(transparent)]
    Bytes(#[from] ReadError),
    #[error("kept for site {0:?}, this is {1:?}")]
    Site(String, String),
    #[error("kept by proxy {0:?}")]
    Proxy(String),
    #[error("the list in it: {0}")]
    EndpointList(serde_json::Error),
}

/// A file name of the proxy's name: a name may hold what a path must not.
fn file_name(proxy: &str) -> String {
    let safe = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let name: String = proxy.chars().map(|c| if safe(c) { c } else { '_' }).collect();
    name.trim_start_matches('.').to_string()
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn now_ms() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO))
}

/// Where one proxy's state lies.
#[derive(Clone)]
pub(crate) struct Place {
    folder: PathBuf,
    site: String,
    proxy: String,
}

/// The endings of the two files: each is written when what it holds has changed.
const LIST: &str = "state";
const LEARNED: &str = "learned";

impl Place {
    pub(crate) fn new(settings: &StateSettings, folder: &Path, proxy: &str) -> Place {
        Place { folder: folder.into(), site: settings.site.clone(), proxy: proxy.into() }
    }

    fn path(&self, ending: &str) -> PathBuf {
        self.folder.join(format!("{}.{ending}", file_name(&self.proxy)))
    }

    /// What was kept, checked whole.
    fn read<T: Persisted>(&self, ending: &str) -> Result<T, Unread> {
        let bytes = match std::fs::read(self.path(ending)) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Err(Unread::Missing),
            read => read.map_err(Unread::Io)?,
        };
        let kept: T = decode(&bytes)?;
        let (site, proxy) = kept.origin();
        if site != self.site {
            return Err(Unread::Site(site.into(), self.site.clone()));
        }
        if proxy != self.proxy {
            return Err(Unread::Proxy(proxy.into()));
        }
        Ok(kept)
    }

    fn read_list(&self) -> Result<(SavedEndpoints, EndpointList), Unread> {
        let saved: SavedEndpoints = self.read(LIST)?;
        let list = serde_json::from_slice(&saved.list).map_err(Unread::EndpointList)?;
        Ok((saved, list))
    }

    /// Writes whole or not at all: a new file beside, made to last, then put in place of the old one.
    fn write<T: Persisted>(&self, ending: &str, kept: &T) -> std::io::Result<()> {
        let path = self.path(ending);
        let fresh = self.path(&format!("{ending}.new"));
        let mut file = File::create(&fresh)?;
        file.write_all(&encode(kept))?;
        file.sync_all()?;
        std::fs::rename(&fresh, &path)?;
        // The rename lasts only once the folder does.
        File::open(&self.folder).and_then(|f| f.sync_all())
    }

    fn write_list(&self, list: &EndpointList) -> std::io::Result<()> {
        let body = serde_json::to_vec(list).map_err(std::io::Error::other)?;
        let saved = SavedEndpoints {
            site: self.site.clone(),
            proxy: self.proxy.clone(),
            written_ms: now_ms(),
            index: list.version,
            list: body,
        };
        self.write(LIST, &saved)
    }

    fn write_learned(&self, learned: Estimates) -> std::io::Result<()> {
        let learned = Estimates { site: self.site.clone(), proxy: self.proxy.clone(), ..learned };
        self.write(LEARNED, &learned)
    }
}

/// What a proxy begins with.
pub(crate) struct Beginning {
    /// The platform's list or its own.
    pub list: EndpointList,
    /// What is still believed of what it learned; `None` where nothing is.
    pub learned: Option<Estimates>,
}

/// What a proxy begins with: the platform's list or its own, whichever is newer and trusted, and what it learned
/// before; every way that a kept file is passed over is told in one line, and it starts as it would without.
pub(crate) fn begin(
    settings: &StateSettings, place: &Place, known: EndpointList, window: Duration,
) -> Beginning {
    let now_ms = now_ms();
    let (list, kept) = begin_list(settings, place, known, now_ms);
    let learned = begin_learned(settings, place, &list, window, now_ms);
    Beginning { list: if kept { cooled(list, now_ms) } else { list }, learned }
}

fn begin_learned(
    settings: &StateSettings, place: &Place, list: &EndpointList, window: Duration, now_ms: u64,
) -> Option<Estimates> {
    let path = place.path(LEARNED);
    let learned: Estimates = match place.read(LEARNED) {
        Ok(learned) => learned,
        Err(Unread::Missing) => return None,
        Err(e) => {
            warn!(path = %path.display(), error = %e, "what was learned is not taken; starting without it");
            return None;
        }
    };
    let weighing = AgeWeighting {
        now_ms,
        half_life_ms: millis(settings.half_life),
        window_ms: millis(window),
        write_interval_ms: millis(settings.every),
    };
    let since: HashMap<&str, u64> = list.endpoints.iter().filter_map(started).collect();
    let written_ms = learned.written_ms;
    let left = learned.discounted(weighing, |name| since.get(name).copied());
    let age = Age::of(written_ms, now_ms);
    if left.overall_latency.samples <= 0.0 {
        warn!(?age, "what was learned is not taken: too old, of an age that cannot be told, or nothing");
        return None;
    }
    let (kinds, ejected, spent) = (left.kinds.len(), left.ejected.len(), left.warmup_spend.len());
    info!(?age, samples = left.overall_latency.samples, kinds, ejected, spent, "what was learned is taken");
    Some(left)
}

/// An entry's name and when its backend started, 0 where the list says nothing of it: long ago.
fn started(entry: &serde_json::Value) -> Option<(&str, u64)> {
    let name = entry.get("name")?.as_str()?;
    Some((name, entry.get("since_ms").and_then(serde_json::Value::as_f64).unwrap_or(0.0) as u64))
}

/// The list to begin with, and whether it is the kept one.
fn begin_list(
    settings: &StateSettings, place: &Place, known: EndpointList, now_ms: u64,
) -> (EndpointList, bool) {
    let path = place.path(LIST);
    let (saved, list) = match place.read_list() {
        Ok(read) => read,
        Err(Unread::Missing) => {
            info!(path = %path.display(), "no state kept yet");
            return (known, false);
        }
        Err(e) => {
            warn!(path = %path.display(), error = %e, "state not taken; starting without it");
            return (known, false);
        }
    };
    let age = Age::of(saved.written_ms, now_ms);
    let trust = Confidence::at_age(age, millis(settings.half_life));
    let (index, entries) = (saved.index, list.endpoints.len());
    match choose(index, trust, known.version, known.endpoints.len()) {
        EndpointSource::SavedEndpoints => {
            info!(index, entries, ?age, trust = trust.0, known = known.version, "state taken: the kept list");
            (list, true)
        }
        EndpointSource::PlatformEndpoints => {
            info!(index, known = known.version, "state passed over: the platform's list is as new");
            (known, false)
        }
        EndpointSource::Untrusted(trust) => {
            warn!(index, ?age, trust = trust.0, "state not taken: too old, or of an age that cannot be told");
            (known, false)
        }
    }
}

/// The kept list with every backend taken as started now. It is used where the platform hands nothing newer, as
/// after a loss of power of the platform, when the backends are likely to have started anew as well: each is then
/// ramped from cold by the module's own rule until discovery tells its true start (docs/recovery.md).
fn cooled(mut list: EndpointList, now_ms: u64) -> EndpointList {
    for entry in list.endpoints.iter_mut().filter_map(|e| e.as_object_mut()) {
        entry.insert("since_ms".into(), now_ms.into());
    }
    list
}

/// What is to be written next.
struct Pending {
    /// The whole list, merged from what discovery tells.
    mirror: CachedEndpointList,
    learned: Option<Estimates>,
}

/// The writer's side: one thread that writes what has changed, at most once in `every`. The event loop only merges
/// what it was told and hands over what was learned; copying the whole list and writing are the thread's.
#[derive(Clone)]
pub(crate) struct Keeper {
    shared: Arc<(Mutex<Pending>, Condvar)>,
    every: Duration,
}

/// One file and how its writing goes, so that each turn for the worse or the better is one line.
struct Writing {
    path: PathBuf,
    failing: bool,
    written: bool,
}

impl Writing {
    fn new(path: PathBuf) -> Writing {
        Writing { path, failing: false, written: false }
    }

    fn took(&mut self, outcome: std::io::Result<()>, index: Option<u64>) {
        let path = self.path.display();
        match outcome {
            Ok(()) if self.failing || !self.written => {
                info!(index, %path, "state written");
                (self.failing, self.written) = (false, true);
            }
            Ok(()) => {}
            // The file in place stays as it was: whole, only older.
            Err(e) if !self.failing => {
                warn!(error = %e, %path, "state cannot be written; the last one stays");
                self.failing = true;
            }
            Err(_) => {}
        }
    }
}

impl Keeper {
    /// Starts the writer from the list begun with. While another process holds the same state, as the old one does
    /// during an upgrade, this one writes nothing and waits for its end.
    pub(crate) fn start(place: Place, every: Duration, begun: &EndpointList) -> std::io::Result<Keeper> {
        std::fs::create_dir_all(&place.folder)?;
        let lock_path = place.path("lock");
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&lock_path)?;
        let held = match lock.try_lock() {
            Ok(()) => true,
            Err(TryLockError::WouldBlock) => {
                warn!(path = %lock_path.display(), "another process keeps this proxy's state; this one only reads until it ends");
                false
            }
            Err(TryLockError::Error(e)) => return Err(e),
        };
        let pending = Pending { mirror: CachedEndpointList::new(begun), learned: None };
        let shared = Arc::new((Mutex::new(pending), Condvar::new()));
        let theirs = shared.clone();
        std::thread::Builder::new().name("state".into()).spawn(move || {
            // Held for as long as the process lives.
            if !held {
                match lock.lock() {
                    Ok(()) => info!(path = %lock_path.display(), "the other process ended; this one keeps the state now"),
                    Err(e) => {
                        warn!(error = %e, path = %lock_path.display(), "state is not kept by this process");
                        return;
                    }
                }
            }
            let mut lists = Writing::new(place.path(LIST));
            let mut learning = Writing::new(place.path(LEARNED));
            loop {
                let (list, learned) = {
                    let (pending, woken) = &*theirs;
                    let mut pending = pending.lock().unwrap_or_else(|e| e.into_inner());
                    loop {
                        match (pending.mirror.take_changed(), pending.learned.take()) {
                            (None, None) => pending = woken.wait(pending).unwrap_or_else(|e| e.into_inner()),
                            some => break some,
                        }
                    }
                };
                if let Some(list) = list {
                    lists.took(place.write_list(&list), Some(list.version));
                }
                if let Some(learned) = learned {
                    learning.took(place.write_learned(learned), None);
                }
                std::thread::sleep(every);
            }
        })?;
        Ok(Keeper { shared, every })
    }

    fn give(&self, what: impl FnOnce(&mut Pending)) {
        let (pending, woken) = &*self.shared;
        what(&mut pending.lock().unwrap_or_else(|e| e.into_inner()));
        woken.notify_one();
    }

    /// Merges what discovery told; the thread is woken to write it.
    pub(crate) fn keep(&self, list: EndpointList) {
        self.give(|pending| pending.mirror.apply(list));
    }

    /// Hands over what was learned, once in the time between two writes, for as long as the program runs.
    pub(crate) async fn learn(self, host: Rc<Host>) {
        loop {
            tokio::time::sleep(self.every).await;
            if let Some(learned) = host.export_estimates() {
                self.give(|pending| pending.learned = Some(Estimates { written_ms: now_ms(), ..learned }));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn a_kept_list_is_taken_as_started_now() {
        let endpoints = vec![json!({"name": "a", "since_ms": 5}), json!({"name": "b"}), json!(3)];
        let list = cooled(EndpointList { version: 2, snapshot: true, endpoints }, 9_000);
        let since: Vec<Option<u64>> = list.endpoints.iter().map(|e| e.get("since_ms")?.as_u64()).collect();
        assert_eq!(since, [Some(9_000), Some(9_000), None], "what is no entry stays as it was");
    }

    #[test]
    fn names_that_a_path_must_not_hold_are_replaced() {
        assert_eq!(file_name("../n/0 x"), "_n_0_x");
        assert_eq!(file_name("n-1.a_b"), "n-1.a_b");
    }
}
