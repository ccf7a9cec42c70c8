//! A proxy that follows a source of configuration: the test is the source and answers each poll itself.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

mod rig;

use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::{encode, Message as Told, Source, Version};
use rig::*;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{mpsc, Arc};

const EPOCH: u64 = 7;

/// A source of configuration, with its server and its versions.
struct Published {
    server: DiscoveryServer,
    source: Source,
}

type Question = (String, mpsc::Sender<(u16, String)>);

impl Published {
    fn start() -> Published {
        Published { server: DiscoveryServer::start(), source: begin(EPOCH) }
    }

    /// Publishes settings with other classes, which are not validated.
    fn publish(&mut self, profiles: &Value) -> Version {
        let mut settings = settings();
        settings["profiles"] = profiles.clone();
        self.source.publish(&settings, |_| Ok(())).unwrap().version
    }

    /// Waits for the next poll of the proxy.
    fn question(&self) -> Question {
        self.server.next_call()
    }

    /// Asserts that the next poll has these parameters, and answers it with the full document.
    fn give_whole(&self, question: &str) {
        let (asked, answer) = self.question();
        assert_eq!(asked, format!("GET /configuration?wait_ms=10000{question} HTTP/1.1"));
        answer.send((200, encode(&Told::FullDocument(self.source.full_document())))).unwrap();
    }

    /// Asserts that the next poll is for changes after this version, and answers it with all of them.
    fn give_delta(&self, after: Version) {
        let (asked, answer) = self.question();
        assert!(asked.contains(&format!("&after={after}")), "{asked}");
        answer.send((200, self.delta(after))).unwrap();
    }

    fn delta(&self, after: Version) -> String {
        encode(&Told::Delta(self.source.delta(after).unwrap()))
    }
}

fn begin(epoch: u64) -> Source {
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
fn follows(published: &Published) -> String {
    format!("[configuration]\nsource = \"{}\"\n", published.server.address)
}

/// Writes an operator file that names the source, and returns its path.
fn operator(name: &str, published: &Published) -> PathBuf {
    let path = std::env::temp_dir().join(format!("lotusdeck-{name}-{}.toml", std::process::id()));
    std::fs::write(&path, follows(published)).unwrap();
    path
}

static NUMBER: AtomicU32 = AtomicU32::new(0);

/// Returns a request with an id of its own.
fn get(class: &str) -> String {
    let id = NUMBER.fetch_add(1, Ordering::SeqCst);
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

/// The proxy applies the full document and then a delta; an open request ends under the settings that it arrived
/// with.
#[test]
fn a_delta_is_taken_and_open_requests_keep_their_class() {
    let mut published = Published::start();
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let server = BackendServer::start(move |n| if n == 0 { Reply::Gate(held.clone()) } else { ok("x") });
    let operator = operator("configuration-delta", &published);
    let proxy = Proxy::with_operator_file(&[entry("b0", server.address, "SERVING")], &operator);
    published.give_whole("");
    assert!(proxy.wait_for_log("configuration applied").contains("version=7-1"));
    let mut open = proxy.client();
    open.send(&get("read"));
    server.next_request();
    assert_eq!(proxy.ask(&get("draw")).status(), 404);
    let version = published.publish(&renamed("read", "draw"));
    published.give_delta(Version::first(EPOCH));
    let line = proxy.wait_for_log("configuration applied");
    for told in ["version=7-2", "with class draw", "without class read"] {
        assert!(line.contains(told), "{line}");
    }
    assert_eq!(proxy.ask(&get("draw")).status(), 200);
    assert_eq!(proxy.ask(&get("read")).status(), 404);
    gate.open();
    assert_eq!(open.answer().unwrap().status(), 200, "its class was there when it came");
    let (asked, answer) = published.question();
    assert!(asked.contains(&format!("&after={version}")), "{asked}");
    answer.send((200, encode(&Told::Unchanged(version)))).unwrap();
    let _held = published.question(); // dropping it would close its connection
    let status = status(&proxy);
    assert_eq!((&status["version"], &status["standing"]), (&json!("7-2"), &json!("current")), "{status}");
    assert!(status["age_ms"].is_u64(), "{status}");
}

/// Invalid settings, a delta with a wrong checksum and a truncated message leave the last valid version in force, and
/// each is logged with the reason; the next valid version is applied.
#[test]
fn what_is_unsound_is_refused_and_tells_why() {
    let mut published = Published::start();
    let (_server, known) = backend();
    let proxy = Proxy::with_operator_file(&known, &operator("configuration-unsound", &published));
    published.give_whole("");
    proxy.wait_for_log("configuration applied");
    let mut profiles = renamed("read", "draw");
    profiles[1]["aim_us"] = json!(9_000_000);
    let unsound = published.publish(&profiles);
    published.give_delta(Version::first(EPOCH));
    let line = proxy.wait_for_log("configuration version rejected");
    for told in ["7-2", "profiles[", "aim_us", "no more than deadline_us", "in_force=\"7-1\""] {
        assert!(line.contains(told), "{told} is not in {line}");
    }
    assert_eq!((proxy.ask(&get("read")).status(), proxy.ask(&get("draw")).status()), (200, 404));
    let (asked, answer) = published.question();
    assert!(asked.contains(&format!("&after=7-1&past={unsound}")), "{asked}");
    assert_eq!(status(&proxy)["refused"], json!("7-2"));
    published.publish(&renamed("read", "draw"));
    let delta = published.delta(Version::first(EPOCH));
    answer.send((200, delta.replace("\"gain\":1.0", "\"gain\":2.0"))).unwrap();
    assert!(proxy.wait_for_log("configuration version rejected").contains("checksum of the document"));
    let (asked, answer) = published.question();
    assert!(!asked.contains("after"), "{asked}");
    answer.send((200, encode(&Told::FullDocument(published.source.full_document()))[..500].into())).unwrap();
    assert!(proxy.wait_for_log("configuration poll failed").contains("answer not understood"));
    assert_eq!((proxy.ask(&get("read")).status(), proxy.ask(&get("draw")).status()), (200, 404));
    published.give_whole("&past=7-2");
    assert!(proxy.wait_for_log("configuration applied").contains("version=7-3"));
    assert_eq!((proxy.ask(&get("read")).status(), proxy.ask(&get("draw")).status()), (404, 200));
}

/// The source ends, and another begins a new epoch: meanwhile the last version stays in force, and the status shows
/// that the source is cut off.
#[test]
fn the_sources_end_changes_nothing_and_a_new_epoch_is_followed() {
    let mut published = Published::start();
    let (_server, known) = backend();
    let proxy = Proxy::with_operator_file(&known, &operator("configuration-end", &published));
    published.publish(&renamed("read", "draw"));
    published.give_whole("");
    proxy.wait_for_log("configuration applied");
    for _ in 0..4 {
        drop(published.question());
    }
    assert!(proxy.wait_for_log("configuration poll failed").contains("in_force=\"7-2\""));
    assert_eq!(proxy.ask(&get("draw")).status(), 200);
    let (_, answer) = published.question();
    let told = status(&proxy);
    assert_eq!((&told["version"], &told["standing"]), (&json!("7-2"), &json!("cut off")), "{told}");
    answer.send((503, "busy".into())).unwrap();
    published.source = begin(EPOCH + 1);
    published.give_whole("&after=7-2");
    assert!(proxy.wait_for_log("configuration applied").contains("version=8-1"));
    assert_eq!((proxy.ask(&get("draw")).status(), proxy.ask(&get("read")).status()), (404, 200));
}

/// While a source is followed, SIGHUP does not restore the settings of the file; once none is named, it does.
#[test]
fn the_operator_file_says_which_settings_prevail() {
    let mut published = Published::start();
    let (_server, known) = backend();
    let operator = operator("configuration-prevails", &published);
    let proxy = Proxy::with_operator_file(&known, &operator);
    published.publish(&renamed("read", "draw"));
    published.give_whole("");
    proxy.wait_for_log("configuration applied");
    let later = published.question();
    proxy.reconfigure(&proxy.config.1.replace(r#""group_size":1"#, r#""group_size":2"#));
    assert!(proxy.wait_for_log("configuration applied").contains("a source is followed"));
    assert!(
        proxy.wait_for_log("configuration applied").contains("version=7-2"),
        "read anew under its own keys"
    );
    assert_eq!((proxy.ask(&get("draw")).status(), proxy.ask(&get("read")).status()), (200, 404));
    drop(later);
    let _after = published.question();
    std::fs::write(&operator, "").unwrap();
    proxy.signal("HUP");
    assert!(proxy.wait_for_log("configuration applied").contains("with class read"));
    assert_eq!((proxy.ask(&get("draw")).status(), proxy.ask(&get("read")).status()), (404, 200));
    assert_eq!(status(&proxy), Value::Null);
    std::fs::write(&operator, follows(&published)).unwrap();
    proxy.signal("HUP");
    published.give_whole("");
    assert!(proxy.wait_for_log("version=7-2").contains("with class draw"));
}
