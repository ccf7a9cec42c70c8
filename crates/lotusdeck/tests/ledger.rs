//! The ledger in the program: its answers after real requests, after a kill, and on a disk that cannot be written.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::*;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;

fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("lotusdeck-ledger-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Writes an operator file that enables the ledger, and returns its path.
fn operator_file(folder: &Path, more: &str) -> PathBuf {
    let path = folder.join("operator.toml");
    let at = folder.join("ledger").display().to_string();
    std::fs::write(&path, format!("[ledger]\nfolder = \"{at}\"\nsegment_mb = 1\n{more}\n")).unwrap();
    path
}

fn run_ledger(folder: &Path, args: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusdeck"));
    let output = command.arg("ledger").args(args).arg(folder.join("ledger")).output().unwrap();
    String::from_utf8(output.stdout).unwrap()
}

fn id_of(request: &str) -> &str {
    request.split("X-Correlation-Id: ").nth(1).unwrap().split("\r\n").next().unwrap()
}

/// The ledger shows each non-repeatable request, while the program runs and after a kill, as answered, failed or
/// possibly sent. It shows no repeatable one.
#[test]
fn every_non_repeatable_request_is_in_the_ledger() {
    for mode in ["process", "power"] {
        let folder = empty_folder(mode);
        let gate = Arc::new(Gate::default());
        let held = gate.clone();
        let backend = BackendServer::start(move |n| match n {
            0 => ok("paid"),
            1 => Reply::Answer(200, "", "read".into()),
            2 => Reply::Answer(500, "", "no".into()),
            _ => Reply::Gate(held.clone()),
        });
        let list = [entry("b0", backend.address, "SERVING")];
        let mut proxy =
            Proxy::with_operator_file(&list, &operator_file(&folder, &format!("mode = \"{mode}\"")));
        let (paid, failed, cut) = (pay(3.0), pay(3.0), pay(3.0));
        assert_eq!(proxy.ask(&paid).status(), 200);
        assert_eq!(proxy.ask(&read(3.0)).status(), 200);
        assert_eq!(proxy.ask(&failed).status(), 502);
        let output = run_ledger(&folder, &["query", "--id", id_of(&paid)]);
        assert!(output.contains("pay/k1") && output.contains(": sent\n"), "{output}");
        assert!(output.contains("0: b0 at ") && output.contains("sent, answered 200"), "{output}");
        let mut client = proxy.client();
        client.send(&cut);
        (0..4).for_each(|_| drop(backend.next_request())); // the last one has reached the backend
        proxy.child.kill().unwrap();
        proxy.child.wait().unwrap();
        let output = run_ledger(&folder, &["query", "--state", "possibly-sent", "--format", "csv"]);
        assert_eq!(output.lines().count(), 2, "{output}");
        assert!(output.contains(id_of(&cut)) && output.contains("b0,"), "{output}");
        let output = run_ledger(&folder, &["query", "--backend", "b0", "--format", "json"]);
        assert_eq!(output.lines().count(), 3, "{output}");
        assert!(output.contains("{\"answered\":500}"), "{output}");
        assert!(run_ledger(&folder, &["query", "--id", "never-seen"]).contains("it was never sent"));
        assert!(run_ledger(&folder, &["verify"]).contains("3 requests, 1 possibly sent"));
        gate.open();
    }
}

/// When nothing can be written, non-repeatable requests are refused at once with `Retry-After` and none is sent;
/// others are served. With `go-on`, the program sends unrecorded requests only once there is a segment that says so.
#[test]
fn only_requests_that_must_be_recorded_are_refused_when_the_disk_takes_nothing() {
    for more in ["on_failure = \"refuse\"", "on_failure = \"go-on\""] {
        let folder = empty_folder(&more[14..20].replace('"', ""));
        let backend = BackendServer::start(|_| ok("x"));
        let list = [entry("b0", backend.address, "SERVING")];
        let proxy = Proxy::with_file_limit(&list, &operator_file(&folder, more), Some(64));
        let answer = proxy.ask(&pay(3.0));
        assert_eq!(answer.status(), 503, "{more}");
        assert!(answer.header("retry-after").is_some());
        assert_eq!(proxy.ask(&read(3.0)).status(), 200);
        assert_eq!(backend.count(), 1, "{more}");
        let mut command = Command::new(env!("CARGO_BIN_EXE_lotusdeck"));
        let status =
            command.args(["admin", "--addr", &proxy.admin.to_string(), "status", "--format", "json"]);
        let document: serde_json::Value = serde_json::from_slice(&status.output().unwrap().stdout).unwrap();
        assert_eq!(document["ledger"]["failing"], true, "{document}");
    }
}

/// A process that shuts down gracefully records this, and no request is uncertain afterwards.
#[test]
fn an_orderly_end_leaves_nothing_uncertain() {
    let folder = empty_folder("orderly");
    let backend = BackendServer::start(|_| ok("x"));
    let more = "on_failure = \"go-on\"";
    let mut proxy =
        Proxy::with_operator_file(&[entry("b0", backend.address, "SERVING")], &operator_file(&folder, more));
    assert_eq!(proxy.ask(&pay(3.0)).status(), 200);
    let open = run_ledger(&folder, &["query", "--id", "unknown"]);
    assert!(open.contains("nothing is proved"), "the process runs and may go on without records: {open}");
    proxy.signal("TERM");
    proxy.child.wait().unwrap();
    let closed = run_ledger(&folder, &["query", "--id", "unknown"]);
    assert!(closed.contains("it was never sent"), "{closed}");
    assert!(run_ledger(&folder, &["verify"]).contains("nothing is damaged"));
}

/// Runs a command on the ledger's folder and returns its exit code and what it printed to its two streams.
fn run_ledger_command(folder: &Path, args: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusdeck"));
    let output = command.arg("ledger").args(args).arg(folder.join("ledger")).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

/// Guards against "it was never sent" of an order that a backend ran, after restarts whose retention dropped its segment.
#[test]
fn an_order_whose_segment_was_dropped_is_not_said_to_be_never_sent() {
    let folder = empty_folder("dropped");
    let backend = BackendServer::start(|_| ok("x"));
    let list = [entry("b0", backend.address, "SERVING")];
    let operator = operator_file(&folder, "keep_mb = 2");
    let mut orders = Vec::new();
    for _ in 0..4 {
        let mut proxy = Proxy::with_operator_file(&list, &operator);
        orders.push(pay(3.0));
        assert_eq!(proxy.ask(&orders[orders.len() - 1]).status(), 200);
        proxy.signal("TERM");
        proxy.child.wait().unwrap();
    }
    let by_id = ["query", "--id", id_of(&orders[0])];
    let (_, answer, warning) = run_ledger_command(&folder, &by_id);
    assert!(answer.contains("nothing is proved"), "{answer}");
    assert!(warning.contains("by their age or the folder's size"), "{warning}");
    let (_, answer, _) = run_ledger_command(&folder, &["query", "--id", id_of(&orders[3])]);
    assert!(answer.contains("sent, answered 200"), "{answer}");
    // What programs read keeps its form; the standard error stream says that it may be incomplete.
    for args in [&[by_id.as_slice(), &["--format", "json"]].concat(), &vec!["export"]] {
        let (code, _, warning) = run_ledger_command(&folder, args);
        assert!(
            code == 0 && warning.contains("nothing is proved of requests that are not listed"),
            "{warning}"
        );
    }
    let (code, answer, warning) = run_ledger_command(&folder, &["verify"]);
    assert!(code == 0 && answer.contains("nothing is damaged"), "retention is no damage: {answer}");
    assert!(warning.contains("by their age or the folder's size"), "{warning}");
}

/// Guards against the same where someone deleted files of the folder.
#[test]
fn verify_tells_of_files_that_someone_deleted() {
    let folder = empty_folder("deleted");
    let backend = BackendServer::start(|_| ok("x"));
    let list = [entry("b0", backend.address, "SERVING")];
    let operator = operator_file(&folder, "");
    let order = pay(3.0);
    let mut proxy = Proxy::with_operator_file(&list, &operator);
    assert_eq!(proxy.ask(&order).status(), 200);
    proxy.signal("TERM");
    proxy.child.wait().unwrap();
    let (code, answer, _) = run_ledger_command(&folder, &["verify"]);
    assert!(code == 0 && answer.contains("nothing is damaged"), "{answer}");
    let (_, answer, _) = run_ledger_command(&folder, &["query", "--id", "never-seen"]);
    assert!(answer.contains("it was never sent") && answer.contains("records since "), "{answer}");
    let files = std::fs::read_dir(folder.join("ledger")).unwrap().map(|file| file.unwrap().path());
    let is_segment = |path: &PathBuf| path.extension().is_some_and(|extension| extension == "seg");
    files.filter(is_segment).for_each(|path| std::fs::remove_file(path).unwrap());
    let (code, answer, _) = run_ledger_command(&folder, &["verify"]);
    assert!(code == 1 && answer.contains("all segments of generation"), "{answer}");
    let (_, answer, _) = run_ledger_command(&folder, &["query", "--id", id_of(&order)]);
    assert!(answer.contains("nothing is proved"), "{answer}");
}

/// Guards against "it was never sent" of an order that is recorded, where another part of the query does not fit it.
#[test]
fn a_recorded_order_is_not_said_to_be_never_sent_because_of_another_filter() {
    let folder = empty_folder("filter");
    let backend = BackendServer::start(|_| ok("x"));
    let list = [entry("b0", backend.address, "SERVING")];
    let mut proxy = Proxy::with_operator_file(&list, &operator_file(&folder, ""));
    let order = pay(3.0);
    assert_eq!(proxy.ask(&order).status(), 200);
    proxy.signal("TERM");
    proxy.child.wait().unwrap();
    let id = id_of(&order);
    for filter in [["--state", "never-sent"], ["--since", "4e9"], ["--until", "1"], ["--backend", "b9"]] {
        let (_, answer, _) = run_ledger_command(&folder, &[&["query", "--id", id], &filter[..]].concat());
        assert!(!answer.contains("it was never sent"), "{filter:?}: {answer}");
        assert!(answer.contains("no record fits all filters; 1 does"), "{filter:?}: {answer}");
    }
    let (_, answer, _) = run_ledger_command(&folder, &["query", "--id", "another", "--state", "sent"]);
    assert!(answer.contains("it was never sent"), "{answer}");
}

/// Guards against the same where the key is longer than records keep it.
#[test]
fn an_order_is_found_by_a_key_that_is_longer_than_its_record() {
    let folder = empty_folder("long-key");
    let backend = BackendServer::start(|_| ok("x"));
    let list = [entry("b0", backend.address, "SERVING")];
    let mut proxy = Proxy::with_operator_file(&list, &operator_file(&folder, ""));
    let key = "k".repeat(700);
    assert_eq!(proxy.ask(&pay(3.0).replace("/pay/k1", &format!("/pay/{key}"))).status(), 200);
    proxy.signal("TERM");
    proxy.child.wait().unwrap();
    let (_, answer, _) = run_ledger_command(&folder, &["query", "--key", &key]);
    assert!(answer.contains("sent, answered 200"), "{answer}");
}
