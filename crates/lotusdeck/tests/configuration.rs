//! A proxy that follows a source of configuration: the test is the source and answers each poll itself.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::{encode, Message as SourceMessage, Source, Version};
use rig::*;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{mpsc, Arc};

const EPOCH: u64 = 7;

/// A source of configuration, with its server and its versions.
struct TestSource {
    server: DiscoveryServer,
    versions: Source,
}

type Poll = (String, mpsc::Sender<(u16, String)>);

impl TestSource {
    fn start() -> TestSource {
        TestSource { server: DiscoveryServer::start(), versions: new_source(EPOCH) }
    }

    /// Publishes settings with other classes, which are not validated.
    fn publish(&mut self, profiles: &Value) -> Version {
        let mut settings = settings();
        settings["profiles"] = profiles.clone();
        self.versions.publish(&settings, |_| Ok(())).unwrap().version
    }

    /// Waits for the next poll of the proxy.
    fn next_poll(&self) -> Poll {
        self.server.next_call()
    }

    /// Asserts that the next poll has these parameters, and answers it with the full document.
    fn answer_full_document(&self, parameters: &str) {
        let (poll, answer) = self.next_poll();
        assert_eq!(poll, format!("GET /configuration?wait_ms=10000{parameters} HTTP/1.1"));
        answer.send((200, encode(&SourceMessage::FullDocument(self.versions.full_document())))).unwrap();
    }

    /// Asserts that the next poll is for changes after this version, and answers it with all of them.
    fn answer_delta(&self, after: Version) {
        let (poll, answer) = self.next_poll();
        assert!(poll.contains(&format!("&after={after}")), "{poll}");
        answer.send((200, self.delta(after))).unwrap();
    }

    fn delta(&self, after: Version) -> String {
        encode(&SourceMessage::Delta(self.versions.delta(after).unwrap()))
    }
}

fn new_source(epoch: u64) -> Source {
    Source::new(epoch, &settings(), HistoryBounds::default(), |_| Ok(())).unwrap()
}

fn settings() -> Value {
    serde_json::from_str(SETTINGS).unwrap()
}

/// Returns the classes of the settings, with one renamed.
fn renamed(from: &str, to: &str) -> Value {
    let text = SETTINGS.replace(&format!(r#""name":"{from}""#), &format!(r#""name":"{to}""#));
    serde_json::from_str::<Value>(&text).unwrap()["profiles"].clone()
}

/// Returns the text of an operator file that names the source.
fn operator_text(source: &TestSource) -> String {
    format!("[configuration]\nsource = \"{}\"\n", source.server.address)
}

/// Writes an operator file that names the source, and returns its path.
fn operator_file(name: &str, source: &TestSource) -> PathBuf {
    let path = std::env::temp_dir().join(format!("lotusdeck-{name}-{}.toml", std::process::id()));
    std::fs::write(&path, operator_text(source)).unwrap();
    path
}

static NEXT_ID: AtomicU32 = AtomicU32::new(0);

/// Returns a request with a unique id.
fn get(class: &str) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("GET /{class}/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: r{id}\r\nX-Time-Left: 3.0\r\n\r\n")
}

/// Returns the configuration section of the status document.
fn status(proxy: &Proxy) -> Value {
    let answer = Client::connect(proxy.admin).ask("GET /admin/status HTTP/1.1\r\nHost: o\r\n\r\n");
    serde_json::from_slice::<Value>(&answer.body).unwrap()["configuration"].clone()
}

fn backend() -> (BackendServer, [String; 1]) {
    let server = BackendServer::start(|_| ok("x"));
    let known = [entry("b0", server.address, "SERVING")];
    (server, known)
}

/// The proxy applies the full document and then a delta; an open request is completed under the settings that it
/// arrived with.
#[test]
fn a_delta_is_applied_and_open_requests_keep_their_class() {
    let mut source = TestSource::start();
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let server = BackendServer::start(move |n| if n == 0 { Reply::Gate(held.clone()) } else { ok("x") });
    let operator = operator_file("configuration-delta", &source);
    let proxy = Proxy::with_operator_file(&[entry("b0", server.address, "SERVING")], &operator);
    source.answer_full_document("");
    assert!(proxy.wait_for_log("configuration applied").contains("version=7-1"));
    let mut open = proxy.client();
    open.send(&get("read"));
    server.next_request();
    assert_eq!(proxy.ask(&get("draw")).status(), 404);
    let version = source.publish(&renamed("read", "draw"));
    source.answer_delta(Version::first(EPOCH));
    let line = proxy.wait_for_log("configuration applied");
    for field in ["version=7-2", "with class draw", "without class read"] {
        assert!(line.contains(field), "{line}");
    }
    assert_eq!(proxy.ask(&get("draw")).status(), 200);
    assert_eq!(proxy.ask(&get("read")).status(), 404);
    gate.open();
    assert_eq!(open.answer().unwrap().status(), 200, "its class existed when it arrived");
    let (poll, answer) = source.next_poll();
    assert!(poll.contains(&format!("&after={version}")), "{poll}");
    answer.send((200, encode(&SourceMessage::Unchanged(version)))).unwrap();
    let _held = source.next_poll(); // dropping it would close its connection
    let status = status(&proxy);
    assert_eq!((&status["version"], &status["standing"]), (&json!("7-2"), &json!("current")), "{status}");
    assert!(status["age_ms"].is_u64(), "{status}");
}

/// Invalid settings, a delta with a wrong checksum and a truncated message leave the last valid version in force, and
/// each is logged with the reason; the next valid version is applied.
#[test]
fn invalid_versions_are_rejected_with_the_reason() {
    let mut source = TestSource::start();
    let (_server, known) = backend();
    let proxy = Proxy::with_operator_file(&known, &operator_file("configuration-unsound", &source));
    source.answer_full_document("");
    proxy.wait_for_log("configuration applied");
    let mut profiles = renamed("read", "draw");
    profiles[1]["aim_us"] = json!(9_000_000);
    let invalid = source.publish(&profiles);
    source.answer_delta(Version::first(EPOCH));
    let line = proxy.wait_for_log("configuration version rejected");
    for field in ["7-2", "profiles[", "aim_us", "no more than deadline_us", "in_force=\"7-1\""] {
        assert!(line.contains(field), "{field} is not in {line}");
    }
    assert_eq!((proxy.ask(&get("read")).status(), proxy.ask(&get("draw")).status()), (200, 404));
    let (poll, answer) = source.next_poll();
    assert!(poll.contains(&format!("&after=7-1&past={invalid}")), "{poll}");
    assert_eq!(status(&proxy)["refused"], json!("7-2"));
    source.publish(&renamed("read", "draw"));
    let delta = source.delta(Version::first(EPOCH));
    answer.send((200, delta.replace("\"gain\":1.0", "\"gain\":2.0"))).unwrap();
    assert!(proxy.wait_for_log("configuration version rejected").contains("checksum of the document"));
    let (poll, answer) = source.next_poll();
    assert!(!poll.contains("after"), "{poll}");
    answer
        .send((200, encode(&SourceMessage::FullDocument(source.versions.full_document()))[..500].into()))
        .unwrap();
    assert!(proxy.wait_for_log("configuration poll failed").contains("answer not understood"));
    assert_eq!((proxy.ask(&get("read")).status(), proxy.ask(&get("draw")).status()), (200, 404));
    source.answer_full_document("&past=7-2");
    assert!(proxy.wait_for_log("configuration applied").contains("version=7-3"));
    assert_eq!((proxy.ask(&get("read")).status(), proxy.ask(&get("draw")).status()), (404, 200));
}

/// The source becomes unreachable, and another one starts a new epoch. Meanwhile the last version stays in force, and
/// the status reports that the proxy is cut off from the source.
#[test]
fn the_sources_end_changes_nothing_and_a_new_epoch_is_followed() {
    let mut source = TestSource::start();
    let (_server, known) = backend();
    let proxy = Proxy::with_operator_file(&known, &operator_file("configuration-end", &source));
    source.publish(&renamed("read", "draw"));
    source.answer_full_document("");
    proxy.wait_for_log("configuration applied");
    for _ in 0..4 {
        drop(source.next_poll());
    }
    assert!(proxy.wait_for_log("configuration poll failed").contains("in_force=\"7-2\""));
    assert_eq!(proxy.ask(&get("draw")).status(), 200);
    let (_, answer) = source.next_poll();
    let status = status(&proxy);
    assert_eq!((&status["version"], &status["standing"]), (&json!("7-2"), &json!("cut off")), "{status}");
    answer.send((503, "busy".into())).unwrap();
    source.versions = new_source(EPOCH + 1);
    source.answer_full_document("&after=7-2");
    assert!(proxy.wait_for_log("configuration applied").contains("version=8-1"));
    assert_eq!((proxy.ask(&get("draw")).status(), proxy.ask(&get("read")).status()), (404, 200));
}

/// While the operator file names a source, SIGHUP does not restore the settings of the configuration file; once it
/// names none, SIGHUP does.
#[test]
fn the_operator_file_says_which_settings_prevail() {
    let mut source = TestSource::start();
    let (_server, known) = backend();
    let operator = operator_file("configuration-prevails", &source);
    let proxy = Proxy::with_operator_file(&known, &operator);
    source.publish(&renamed("read", "draw"));
    source.answer_full_document("");
    proxy.wait_for_log("configuration applied");
    let later = source.next_poll();
    proxy.reconfigure(&proxy.config.1.replace(r#""group_size":1"#, r#""group_size":2"#));
    assert!(proxy.wait_for_log("configuration applied").contains("a source is followed"));
    assert!(
        proxy.wait_for_log("configuration applied").contains("version=7-2"),
        "the document is applied again with the new keys of the file"
    );
    assert_eq!((proxy.ask(&get("draw")).status(), proxy.ask(&get("read")).status()), (200, 404));
    drop(later);
    let _after = source.next_poll();
    std::fs::write(&operator, "").unwrap();
    proxy.signal("HUP");
    assert!(proxy.wait_for_log("configuration applied").contains("with class read"));
    assert_eq!((proxy.ask(&get("draw")).status(), proxy.ask(&get("read")).status()), (404, 200));
    assert_eq!(status(&proxy), Value::Null);
    std::fs::write(&operator, operator_text(&source)).unwrap();
    proxy.signal("HUP");
    source.answer_full_document("");
    assert!(proxy.wait_for_log("version=7-2").contains("with class draw"));
}
