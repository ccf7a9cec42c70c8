//! The command line: checks of files, calls to a proxy, and exit codes.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use rig::*;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::Arc;

fn lotusdeck(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lotusdeck"));
    command.args(args).env_remove("NODE_ADMIN_ADDR").env_remove("NODE_CONFIG").output().unwrap()
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("lotusdeck-command-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn node_config(settings: &str) -> String {
    format!(
        "{{\"name\": \"n0\",\n \"listen\": \"127.0.0.1:0\", \"discovery\": \"127.0.0.1:1\",\n \"seed\": \"ab\",\n \"settings\": {settings}}}"
    )
}

/// Every fault of every file is reported with its position, and valid files are accepted.
#[test]
fn check_reports_every_fault_with_its_position() {
    let good = write_file("good.json", &node_config(SETTINGS));
    let bad = node_config(
        &SETTINGS.replace("\"cold_from\":0.3", "\"cold_from\":\"x\"").replace("\"group_size\":1,", ""),
    );
    let bad = write_file("bad.json", &bad.replace("127.0.0.1:1\"", "nowhere\""));
    let toml = write_file("bad.toml", "[http]\nanswer_gap_ms = 1\nx = 2\n");
    let valid = lotusdeck(&["check", good.to_str().unwrap()]);
    assert_eq!(valid.status.code(), Some(0), "{}", output_text(&valid));
    let output = lotusdeck(&["check", bad.to_str().unwrap(), toml.to_str().unwrap()]);
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    for line in [
        "bad.json:2:40: discovery: expected address:port, got \"nowhere\"",
        "settings.group_size: missing, expected a whole number",
        "settings.rules.cold_from: expected a number, got \"x\"",
        "bad.toml:2:17: http.answer_gap_ms: expected a whole number of ms from 10 to 60000, got 1",
        "bad.toml:3:5: http.x: no such key",
    ] {
        assert!(text.contains(line), "no line with {line:?} in\n{text}");
    }
    assert_eq!(text.lines().count(), 5, "{text}");
}

#[test]
fn exit_codes_distinguish_refusals_from_failures() {
    assert_eq!(lotusdeck(&["serve"]).status.code(), Some(2), "without a configuration");
    assert_eq!(lotusdeck(&["serve", "--config", "/nowhere"]).status.code(), Some(2));
    assert_eq!(lotusdeck(&["check"]).status.code(), Some(2));
    assert_eq!(lotusdeck(&["admin", "--addr", "127.0.0.1:1", "health"]).status.code(), Some(1));
    let completions = lotusdeck(&["completions", "bash"]);
    assert!(completions.status.success() && output_text(&completions).contains("lotusdeck"));
    assert!(output_text(&lotusdeck(&["check", "--keys"]))
        .contains("http.answer_gap_ms: a whole number of ms from 10 to 60000, default 300"));
}

/// `admin status` shows backends, kinds of machines and counts, as a table and as JSON.
#[test]
fn status_shows_backends_kinds_and_counts() {
    let a = BackendServer::start(|_| ok("a"));
    let b = BackendServer::start(|_| ok("b"));
    let proxy = Proxy::start(&[entry("b0", a.address, "SERVING"), entry("b1", b.address, "DRAINING")]);
    (0..5).for_each(|_| assert_eq!(proxy.ask(&read(3.0)).status(), 200));
    let at = proxy.admin.to_string();
    let admin = |args: &[&str]| lotusdeck(&[&["admin", "--addr", &at], args].concat());
    assert_eq!(admin(&["health"]).status.code(), Some(0));
    assert_eq!(admin(&["cordon", "nobody"]).status.code(), Some(1));
    assert_eq!(admin(&["cordon", "b1"]).status.code(), Some(0));
    let document: serde_json::Value =
        serde_json::from_slice(&admin(&["status", "--format", "json"]).stdout).unwrap();
    let backend = |n: usize| &document["backends"][n];
    assert_eq!((&backend(0)["name"], &backend(0)["state"]), (&"b0".into(), &"ready".into()));
    assert_eq!((&backend(1)["state"], &backend(1)["cordoned"]), (&"draining".into(), &true.into()));
    assert_eq!(document["counts"]["served"], 5);
    assert_eq!(document["kinds"][0]["name"], "big");
    assert_eq!(document["settings_generation"], 1);
    let table = output_text(&admin(&["status"]));
    assert!(
        table.contains("served 5") && table.lines().any(|l| l.starts_with("b1 ") && l.contains("draining"))
    );
    assert_eq!(proxy.operator_call("POST", "/admin/status", ""), 405);
}

/// SIGHUP rereads the operator file too; if either file has a fault, neither is applied.
#[test]
fn the_operator_file_is_applied_whole_or_not_at_all() {
    let stalled = |gap: u64| format!("[http]\nanswer_gap_ms = {gap}\n");
    let operator = write_file("operator.toml", &stalled(60_000));
    // The first attempt of a request gets part of an answer and the second one all of it.
    let partial = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbeg".to_string();
    let attempts = Arc::new(AtomicU32::new(0));
    let reply = move |request: &Message| match () {
        () if request.start_line.contains("/warm-up") => ok("x"),
        () if attempts.fetch_add(1, SeqCst).is_multiple_of(2) => Reply::Pieces(vec![partial.clone()]),
        () => ok("beginning"),
    };
    let (a, b) = (BackendServer::by_request(reply.clone()), BackendServer::by_request(reply));
    let proxy = Proxy::with_operator_file(
        &[entry("b0", a.address, "SERVING"), entry("b1", b.address, "SERVING")],
        &operator,
    );
    // Earns the budget for further attempts.
    (0..25).for_each(|_| assert_eq!(proxy.ask(&read(3.0).replace("/k1", "/warm-up")).status(), 200));
    let ask = |left: f64| {
        let began = std::time::Instant::now();
        (proxy.ask(&read(left)).status(), began.elapsed().as_secs_f64())
    };
    let (status, took) = ask(0.8);
    assert!(status >= 500 && took > 0.7, "the answer may stall for a minute: the client's time ends first");
    assert_eq!(ask(0.8).0, 200, "the attempt that is answered at once");
    std::fs::write(&operator, "[http]\nanswer_gap_ms = 1\n").unwrap();
    proxy.signal("HUP");
    assert!(proxy.wait_for_log("configuration rejected").contains("answer_gap_ms"));
    std::fs::write(&operator, stalled(20)).unwrap();
    proxy.signal("HUP");
    proxy.wait_for_log("configuration applied");
    let (status, took) = ask(3.0);
    assert!(
        status == 200 && took < 2.5,
        "the stalled answer was not replaced in time: {status} after {took} s"
    );
}
