//! State that outlives a process (docs/recovery.md), on loopback: the program killed and restarted with discovery
//! silent, and saved lists that are truncated, foreign, too old or locked by another process.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use lotusdeck_state::{decode, encode, Estimates, SavedEndpoints};
use rig::*;
use std::path::{Path, PathBuf};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Writes an operator file that keeps state in a new folder; returns the paths of both.
fn write_operator_file(site: &str, half_life_s: u64) -> (PathBuf, PathBuf) {
    let at =
        std::env::temp_dir().join(format!("lotusdeck-state-{}-{site}-{half_life_s}", std::process::id()));
    let _ = std::fs::remove_dir_all(&at);
    std::fs::create_dir_all(&at).unwrap();
    let operator = at.join("operator.toml");
    let folder = at.join("state");
    let text = format!(
        "[state]\nfolder = {:?}\nsite = {site:?}\nhalf_life_s = {half_life_s}\nevery_ms = 100\n",
        folder.display()
    );
    std::fs::write(&operator, text).unwrap();
    (operator, folder)
}

/// Starts a proxy, waits until it has saved the list that discovery gave it, and kills it.
fn save_list(operator: &Path, entries: &[String]) {
    let proxy = Proxy::with_operator_file(&[], operator);
    let (_, answer) = proxy.discovery.next_call();
    answer.send((200, list(9, true, entries))).unwrap();
    assert!(proxy.wait_for_log("state written").contains("index=9"));
    // Dropping the proxy kills it with SIGKILL.
}

/// Restarted with no list from the platform and a silent discovery, the proxy serves from its saved list. Once
/// discovery answers that the backend drains, the proxy sends it no new requests after 500 ms.
#[test]
fn a_restarted_proxy_serves_from_its_saved_list_and_follows_discovery_once_back() {
    let (first, second) = (BackendServer::start(|_| ok("first")), BackendServer::start(|_| ok("second")));
    let (operator, _) = write_operator_file("power", 600);
    save_list(&operator, &[entry("b0", first.address, "SERVING")]);
    let proxy = Proxy::with_operator_file(&[], &operator);
    assert!(proxy.wait_for_log("endpoint list restored").contains("index=9"));
    let (_, answer) = proxy.discovery.next_call();
    assert_eq!(proxy.ask(&read(3.0)).body, b"first", "served with discovery silent");
    let answered_at = Instant::now();
    let drained = [entry("b0", first.address, "DRAINING"), entry("b1", second.address, "SERVING")];
    answer.send((200, list(12, true, &drained))).unwrap();
    let (_, _open_watch) = proxy.discovery.next_call(); // the list has been applied by now
    assert_eq!(proxy.ask(&read(3.0)).body, b"second");
    assert!(answered_at.elapsed().as_millis() < 500, "{:?}", answered_at.elapsed());
    assert_eq!(first.count(), 1, "the drained backend gets no new requests");
}

/// A file that is truncated, of another site, written by another proxy or no state file is logged and ignored; the
/// proxy starts from the platform's list as it does without one.
#[test]
fn truncated_or_foreign_state_files_are_logged_and_ignored() {
    let backend = BackendServer::start(|_| ok("known"));
    let (operator, folder) = write_operator_file("here", 600);
    save_list(&operator, &[entry("b0", backend.address, "SERVING")]);
    let file = folder.join("n0.state");
    let valid = std::fs::read(&file).unwrap();
    let mut foreign: SavedEndpoints = decode(&valid).unwrap();
    foreign.site = "elsewhere".into();
    let mut other: SavedEndpoints = decode(&valid).unwrap();
    other.proxy = "n7".into();
    let cases = [
        (valid[..valid.len() - 3].to_vec(), "truncated"),
        (encode(&foreign), "kept for site"),
        (encode(&other), "kept by proxy"),
        (b"garbage".to_vec(), "not a state file"),
    ];
    for (bytes, expected) in cases {
        std::fs::write(&file, bytes).unwrap();
        let proxy = Proxy::with_operator_file(&[entry("b0", backend.address, "SERVING")], &operator);
        assert!(proxy.wait_for_log("endpoint list not restored").contains(expected), "{expected}");
        assert_eq!(proxy.ask(&read(3.0)).body, b"known");
    }
}

/// A saved list that is hours old is restored only if the half-life allows it. Then a removed backend and the slow
/// start of the other one cause a few refusals, each immediate and with `Retry-After`.
#[test]
fn a_list_hours_old_is_restored_only_if_the_half_life_allows_it() {
    let (gone, backend) = (RefusingPort::new(), BackendServer::start(|_| ok("here")));
    let entries = [entry("b0", gone.address(), "SERVING"), entry("b1", backend.address, "SERVING")];
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let three_hours = 3 * 3_600_000;
    for (half_life_s, is_restored) in [(600, false), (86_400, true)] {
        let (operator, folder) = write_operator_file("old", half_life_s);
        std::fs::create_dir_all(&folder).unwrap();
        let body = list(9, true, &entries).into_bytes();
        let saved = SavedEndpoints {
            site: "old".into(),
            proxy: "n0".into(),
            written_ms: now - three_hours,
            index: 9,
            list: body,
        };
        std::fs::write(folder.join("n0.state"), encode(&saved)).unwrap();
        let proxy = Proxy::with_operator_file(&[], &operator);
        if is_restored {
            proxy.wait_for_log("endpoint list restored");
            let answers: Vec<(u16, bool)> = (0..8)
                .map(|_| proxy.ask(&read(3.0)))
                .map(|m| (m.status(), m.header("retry-after").is_some()))
                .collect();
            // Requests may be refused, at once and with `Retry-After`, while the retry budget fills and the backends,
            // which count as just started, are in slow start.
            assert!(answers.iter().all(|t| *t == (200, false) || *t == (503, true)), "{answers:?}");
            assert!(answers.iter().filter(|t| t.0 == 200).count() >= 4, "{answers:?}");
        } else {
            assert!(proxy.wait_for_log("endpoint list not restored").contains("too old"));
        }
    }
}

/// Of two processes of one proxy that share a folder, only the first writes to it, and the second only reads.
#[test]
fn a_second_process_with_the_same_folder_only_reads() {
    let backend = BackendServer::start(|_| ok("b"));
    let (operator, _) = write_operator_file("two", 600);
    let first = Proxy::with_operator_file(&[entry("b0", backend.address, "SERVING")], &operator);
    first.wait_for_log("no saved endpoint list");
    let second = Proxy::with_operator_file(&[entry("b0", backend.address, "SERVING")], &operator);
    second.wait_for_log("state is locked by another process");
    assert_eq!(second.ask(&read(3.0)).body, b"b");
}

/// When nothing more can be written to the disk, the failed write is logged and the previous file stays intact.
#[test]
fn a_full_disk_leaves_the_last_saved_state_whole() {
    let backend = BackendServer::start(|_| ok("b"));
    let (operator, folder) = write_operator_file("full", 600);
    save_list(&operator, &[entry("b0", backend.address, "SERVING")]);
    let proxy = Proxy::with_file_limit(&[], &operator, Some(1));
    proxy.wait_for_log("endpoint list restored");
    let (_, answer) = proxy.discovery.next_call();
    let many: Vec<String> = (0..20).map(|i| entry(&format!("b{i}"), backend.address, "SERVING")).collect();
    answer.send((200, list(15, true, &many))).unwrap();
    proxy.wait_for_log("state write failed");
    let saved: SavedEndpoints = decode(&std::fs::read(folder.join("n0.state")).unwrap()).unwrap();
    assert_eq!(saved.index, 9);
}

/// The program is killed twenty times while lists of up to 400 KB arrive as fast as it reads them and are written
/// every 100 ms: the file is always complete, and the saved version never decreases. The first kill waits for the
/// first file.
#[test]
fn a_kill_at_any_moment_of_a_write_leaves_a_whole_file() {
    let backend = BackendServer::start(|_| ok("b"));
    let (operator, folder) = write_operator_file("torn", 600);
    let file = folder.join("n0.state");
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64 | 1;
    println!("seed {seed}");
    let mut rng = seed;
    let mut random_below = |n: u64| {
        rng ^= rng << 13;
        rng ^= rng >> 7;
        rng ^= rng << 17;
        rng % n
    };
    let entries: Vec<String> =
        (0..4000).map(|i| entry(&format!("backend-{i:05}"), backend.address, "SERVING")).collect();
    let (mut index, mut last, mut unfinished) = (10, 0, 0);
    for _ in 0..20 {
        let proxy = Proxy::with_operator_file(&[], &operator);
        let until = Instant::now() + std::time::Duration::from_millis(120 + random_below(200));
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < until || !file.exists() {
            assert!(Instant::now() < end, "seed {seed}: no list was ever saved");
            let (_, answer) = proxy.discovery.next_call();
            index += 1;
            answer.send((200, list(index, true, &entries[..2000 + random_below(2000) as usize]))).unwrap();
        }
        drop(proxy); // SIGKILL
        unfinished += usize::from(folder.join("n0.state.new").exists());
        let saved: SavedEndpoints =
            decode(&std::fs::read(&file).expect("written at least once")).expect("a complete file");
        assert!(saved.index >= last, "seed {seed}: {} after {last}", saved.index);
        last = saved.index;
    }
    assert!(last > 20, "seed {seed}: the last saved version is only {last}");
    println!(
        "seed {seed}: {unfinished} of 20 kills left an unfinished new file beside the whole one; last saved version {last}"
    );
}

/// Estimates are saved along with the list and restored at the next start. If their file is truncated, of another
/// format or older than the half-life allows, that is logged, and the list is still restored.
#[test]
fn estimates_are_restored_or_logged_and_ignored() {
    let backend = BackendServer::start(|_| ok("b"));
    let (operator, folder) = write_operator_file("learned", 600);
    {
        let proxy = Proxy::with_operator_file(&[], &operator);
        let (_, answer) = proxy.discovery.next_call();
        answer.send((200, list(9, true, &[entry("b0", backend.address, "SERVING")]))).unwrap();
        let (_, _open_watch) = proxy.discovery.next_call();
        (0..20).for_each(|_| drop(proxy.ask(&read(3.0))));
        while !proxy.wait_for_log("state written").contains("n0.learned") {}
    }
    let file = folder.join("n0.learned");
    let valid = std::fs::read(&file).unwrap();
    let learned: Estimates = decode(&valid).unwrap();
    assert!(learned.overall_latency.samples >= 1.0 && learned.overall_latency.value > 0.0, "{learned:?}");
    assert_eq!((learned.proxy.as_str(), learned.site.as_str()), ("n0", "learned"));
    let restart = || {
        let proxy = Proxy::with_operator_file(&[], &operator);
        let line = proxy.wait_for_log("estimates");
        assert_eq!(proxy.ask(&read(3.0)).body, b"b");
        line
    };
    assert!(restart().contains("estimates restored"));
    let mut old = learned.clone();
    old.written_ms -= 3 * 3_600_000;
    let list_file = std::fs::read(folder.join("n0.state")).unwrap();
    let cases = [
        (valid[..valid.len() / 2].to_vec(), "truncated"),
        (list_file, "the first bytes are not LDLEARN"),
        (encode(&old), "too old"),
    ];
    for (bytes, expected) in cases {
        std::fs::write(&file, bytes).unwrap();
        let line = restart();
        assert!(line.contains("not restored") && line.contains(expected), "{expected}: {line}");
    }
}

/// In an upgrade the second process writes the state once the first has ended.
#[test]
fn a_second_process_writes_the_state_once_the_first_has_ended() {
    let backend = BackendServer::start(|_| ok("b"));
    let (operator, folder) = write_operator_file("handed", 600);
    let known = [entry("b0", backend.address, "SERVING")];
    let first = Proxy::with_operator_file(&known, &operator);
    first.wait_for_log("no saved endpoint list");
    let second = Proxy::with_operator_file(&known, &operator);
    second.wait_for_log("state is locked by another process");
    drop(first);
    second.wait_for_log("this one writes the state now");
    let (_, answer) = second.discovery.next_call();
    answer.send((200, list(21, true, &known))).unwrap();
    assert!(second.wait_for_log("state written").contains("index=21"));
    let saved: SavedEndpoints = decode(&std::fs::read(folder.join("n0.state")).unwrap()).unwrap();
    assert_eq!(saved.index, 21);
}
