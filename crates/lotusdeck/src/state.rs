//! The proxy's state on disk (docs/recovery.md): the last list, read once at the start and written by a thread of
//! its own, so that the event loop never waits for a disk. What is in the bytes and how far they are believed is
//! `lotusdeck_recovery`'s.

use crate::operator::StateSettings;
use lotusdeck_proxy::discovery::List;
use lotusdeck_proxy::mirror::Mirror;
use lotusdeck_recovery::{choose, decode, encode, Age, Choice, ReadError, Saved, Trust};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tracing::{info, warn};

/// Why a kept state is not taken.
#[derive(Debug, Error)]
pub enum Unread {
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
    List(serde_json::Error),
}

/// A file name of the proxy's name: a name may hold what a path must not.
fn file_name(proxy: &str) -> String {
    let safe = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let name: String = proxy.chars().map(|c| if safe(c) { c } else { '_' }).collect();
    name.trim_start_matches('.').to_string()
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Where one proxy's state lies.
pub struct Place {
    path: PathBuf,
    site: String,
    proxy: String,
}

impl Place {
    pub fn new(settings: &StateSettings, folder: &Path, proxy: &str) -> Place {
        let path = folder.join(format!("{}.state", file_name(proxy)));
        Place { path, site: settings.site.clone(), proxy: proxy.into() }
    }

    /// What was kept, checked whole.
    pub fn read(&self) -> Result<(Saved, List), Unread> {
        let bytes = match std::fs::read(&self.path) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Err(Unread::Missing),
            read => read.map_err(Unread::Io)?,
        };
        let saved = decode(&bytes)?;
        if saved.site != self.site {
            return Err(Unread::Site(saved.site, self.site.clone()));
        }
        if saved.proxy != self.proxy {
            return Err(Unread::Proxy(saved.proxy));
        }
        let list = serde_json::from_slice(&saved.list).map_err(Unread::List)?;
        Ok((saved, list))
    }

    /// Writes whole or not at all: a new file beside, made to last, then put in place of the old one.
    pub fn write(&self, list: &List) -> std::io::Result<()> {
        let body = serde_json::to_vec(list).map_err(std::io::Error::other)?;
        let saved = Saved {
            site: self.site.clone(),
            proxy: self.proxy.clone(),
            written_ms: now_ms(),
            index: list.index,
            list: body,
        };
        let fresh = self.path.with_extension("state.new");
        let mut file = File::create(&fresh)?;
        file.write_all(&encode(&saved))?;
        file.sync_all()?;
        std::fs::rename(&fresh, &self.path)?;
        // The rename lasts only once the folder does.
        File::open(self.path.parent().unwrap_or(Path::new("."))).and_then(|f| f.sync_all())
    }
}

/// The list that a proxy begins with: the platform's or its own, whichever is newer and trusted; every way that a
/// kept state is passed over is told in one line, and it starts as it would without.
pub fn begin(settings: &StateSettings, place: &Place, known: List) -> List {
    let (saved, list) = match place.read() {
        Ok(read) => read,
        Err(Unread::Missing) => {
            info!(path = %place.path.display(), "no state kept yet");
            return known;
        }
        Err(e) => {
            warn!(path = %place.path.display(), error = %e, "state not taken; starting without it");
            return known;
        }
    };
    let age = Age::of(saved.written_ms, now_ms());
    let half_life = u64::try_from(settings.half_life.as_millis()).unwrap_or(u64::MAX);
    let trust = Trust::at(age, half_life);
    let (index, entries) = (saved.index, list.endpoints.len());
    match choose(index, trust, known.index, known.endpoints.len()) {
        Choice::Saved => {
            info!(index, entries, ?age, trust = trust.0, known = known.index, "state taken: the kept list");
            cooled(list, now_ms())
        }
        Choice::Known => {
            info!(index, known = known.index, "state passed over: the platform's list is as new");
            known
        }
        Choice::Untrusted(trust) => {
            warn!(index, ?age, trust = trust.0, "state not taken: too old, or of an age that cannot be told");
            known
        }
    }
}

/// The kept list with every backend taken as started now. It is used where the platform hands nothing newer, as
/// after a loss of power of the platform, when the backends are likely to have started anew as well: each is then
/// ramped from cold by the module's own rule until discovery tells its true start (docs/recovery.md).
fn cooled(mut list: List, now_ms: u64) -> List {
    for entry in list.endpoints.iter_mut().filter_map(|e| e.as_object_mut()) {
        entry.insert("since_ms".into(), now_ms.into());
    }
    list
}

/// The writer's side: the whole list, merged from what discovery tells, and one thread that writes it when it has
/// changed, at most once in `every`. The event loop only merges what it was told; copying the whole list and
/// writing it are the thread's.
pub struct Keeper {
    shared: Arc<(Mutex<Mirror>, Condvar)>,
}

impl Keeper {
    /// Starts the writer from the list begun with, or says why this process must not write here: another holds the
    /// same state.
    pub fn start(
        place: Place, folder: &Path, every: Duration, begun: &List,
    ) -> std::io::Result<Option<Keeper>> {
        std::fs::create_dir_all(folder)?;
        let lock_path = folder.join(format!("{}.lock", file_name(&place.proxy)));
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&lock_path)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                warn!(path = %lock_path.display(), "another process keeps this proxy's state; this one only read it");
                return Ok(None);
            }
            Err(TryLockError::Error(e)) => return Err(e),
        }
        let shared = Arc::new((Mutex::new(Mirror::new(begun)), Condvar::new()));
        let theirs = shared.clone();
        std::thread::Builder::new().name("state".into()).spawn(move || {
            let _held = lock; // for as long as the process lives
            let (mut failing, mut written) = (false, false);
            loop {
                let list = {
                    let (mirror, woken) = &*theirs;
                    let mut mirror = mirror.lock().unwrap_or_else(|e| e.into_inner());
                    loop {
                        match mirror.changed() {
                            Some(list) => break list,
                            None => mirror = woken.wait(mirror).unwrap_or_else(|e| e.into_inner()),
                        }
                    }
                };
                match place.write(&list) {
                    Ok(()) if failing || !written => {
                        info!(index = list.index, path = %place.path.display(), "state written");
                        (failing, written) = (false, true);
                    }
                    Ok(()) => {}
                    // The file in place stays as it was: whole, only older.
                    Err(e) if !failing => {
                        warn!(error = %e, path = %place.path.display(), "state cannot be written; the last one stays");
                        failing = true;
                    }
                    Err(_) => {}
                }
                std::thread::sleep(every);
            }
        })?;
        Ok(Some(Keeper { shared }))
    }

    /// Merges what discovery told; the thread is woken to write it.
    pub fn keep(&self, list: List) {
        let (mirror, woken) = &*self.shared;
        mirror.lock().unwrap_or_else(|e| e.into_inner()).take(list);
        woken.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn a_kept_list_is_taken_as_started_now() {
        let endpoints = vec![json!({"name": "a", "since_ms": 5}), json!({"name": "b"}), json!(3)];
        let list = cooled(List { index: 2, snapshot: true, endpoints }, 9_000);
        let since: Vec<Option<u64>> = list.endpoints.iter().map(|e| e.get("since_ms")?.as_u64()).collect();
        assert_eq!(since, [Some(9_000), Some(9_000), None], "what is no entry stays as it was");
    }

    #[test]
    fn names_that_a_path_must_not_hold_are_replaced() {
        assert_eq!(file_name("../n/0 x"), "_n_0_x");
        assert_eq!(file_name("n-1.a_b"), "n-1.a_b");
    }
}
