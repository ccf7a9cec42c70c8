//! Answers within which a backend pauses: a sound one reaches its client whole, whatever its framing, and one whose
//! backend stays silent keeps no request from its final answer.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests panic on unexpected results")]

mod rig;

use rig::*;
use std::io::Read;
use std::time::{Duration, Instant};

/// How long after its time an answer is not lost yet.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// The longest body that may have to be complete in the time of its request.
const SMALL_BYTES: usize = 20_000;
const LARGE_BYTES: usize = 140_000;
/// The time of a request, in seconds, where nothing else is said.
const TIME_LEFT_S: f64 = 2.0;
/// The last part of the path of requests that backends answer at once.
const WARM_UP_KEY: &str = "/warm-up";

/// How the end of an answer is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    /// The answer ends with its connection.
    Close,
    /// The same, in HTTP/1.0.
    OldClose,
}

const FRAMINGS: [Framing; 4] = [Framing::Length, Framing::Chunked, Framing::Close, Framing::OldClose];

impl Framing {
    fn head(self, bytes: usize) -> String {
        match self {
            Framing::Length => format!("HTTP/1.1 200 X\r\nContent-Length: {bytes}\r\n\r\n"),
            Framing::Chunked => "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            Framing::Close => "HTTP/1.1 200 X\r\nConnection: close\r\n\r\n".into(),
            Framing::OldClose => "HTTP/1.0 200 X\r\n\r\n".into(),
        }
    }

    fn part(self, bytes: usize) -> String {
        let data = "y".repeat(bytes);
        match self {
            Framing::Chunked => format!("{bytes:x}\r\n{data}\r\n"),
            _ => data,
        }
    }

    fn end(self) -> &'static str {
        if self == Framing::Chunked {
            "0\r\n\r\n"
        } else {
            ""
        }
    }
}

/// The pauses within a sound answer.
#[derive(Clone, Copy, Debug)]
enum Pauses {
    /// Behind the head.
    LateBody,
    /// In the middle of the head.
    SlowHead,
    /// Before each third of the body.
    Lumps,
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the pieces of an answer, each with the pause before it.
fn pieces(framing: Framing, pauses: Pauses, bytes: usize) -> Vec<(Duration, String)> {
    let head = framing.head(bytes);
    let mut pieces = match pauses {
        Pauses::LateBody => vec![(ms(0), head), (ms(960), framing.part(bytes))],
        Pauses::SlowHead => {
            let (first, second) = head.split_at(9);
            vec![(ms(0), first.into()), (ms(700), second.into()), (ms(0), framing.part(bytes))]
        }
        Pauses::Lumps => {
            let third = (ms(420), framing.part(bytes / 3));
            let last = (ms(420), framing.part(bytes - 2 * (bytes / 3)));
            vec![(ms(0), head), third.clone(), third, last]
        }
    };
    pieces.push((ms(0), framing.end().into()));
    pieces
}

/// Returns a backend that answers in these pieces, and requests of [`warm_up`] at once.
fn backend(pieces: Vec<(Duration, String)>) -> BackendServer {
    BackendServer::by_request(move |request| {
        if request.start_line.contains(WARM_UP_KEY) {
            ok("x")
        } else {
            Reply::TimedAndClose(pieces.clone())
        }
    })
}

/// Sends requests that earn the budget for several further attempts.
fn warm_up(proxy: &Proxy) {
    let mut client = proxy.client();
    for _ in 0..40 {
        assert_eq!(client.ask(&read(3.0).replace("/k1", WARM_UP_KEY)).status(), 200);
    }
}

/// Starts a proxy with these backends. Without `hedging`, a request never has two attempts in flight.
fn proxy(backends: &[&BackendServer], hedging: bool) -> Proxy {
    let entries: Vec<String> = backends
        .iter()
        .enumerate()
        .map(|(number, backend)| entry(&format!("b{number}"), backend.address, "SERVING"))
        .collect();
    let settings = SETTINGS.replace("\"parallel_tries\":true", &format!("\"parallel_tries\":{hedging}"));
    Proxy::with_settings(&entries, 1024, &settings)
}

type MakeRequest = fn(f64) -> String;
const CLASSES: [(&str, MakeRequest); 3] = [("read", read), ("pay", pay), ("vote", vote)];

/// A case, played with two backends that answer alike.
#[derive(Clone, Copy, Debug)]
struct Case {
    framing: Framing,
    pauses: Pauses,
    bytes: usize,
    hedging: bool,
}

impl Case {
    /// Plays the case for each class and returns what went wrong.
    fn faults(self) -> Vec<String> {
        let Case { framing, pauses, bytes, hedging } = self;
        let backends = [0, 1].map(|_| backend(pieces(framing, pauses, bytes)));
        let proxy = proxy(&[&backends[0], &backends[1]], hedging);
        warm_up(&proxy);
        let ask = |(name, request): (&str, MakeRequest)| {
            let mut client = proxy.client();
            let asked_at = Instant::now();
            client.send(&request(TIME_LEFT_S));
            let answer = client.answer().map(|answer| (answer.status(), answer.body.len()));
            let took = asked_at.elapsed();
            (answer != Some((200, bytes))).then(|| format!("{self:?}, {name}: {answer:?} after {took:?}"))
        };
        CLASSES.into_iter().filter_map(ask).collect()
    }
}

/// Plays all cases at the same time and asserts that nothing went wrong.
fn assert_all_are_served(cases: Vec<Case>) {
    let threads: Vec<_> = cases.into_iter().map(|case| std::thread::spawn(move || case.faults())).collect();
    let faults: Vec<String> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

fn cases(framings: &[Framing], bytes: usize) -> Vec<Case> {
    let mut cases = Vec::new();
    for framing in framings.iter().copied() {
        for pauses in [Pauses::LateBody, Pauses::SlowHead, Pauses::Lumps] {
            cases.extend([true, false].map(|hedging| Case { framing, pauses, bytes, hedging }));
        }
    }
    cases
}

/// Guards against a long answer being cut off since its end is marked by its connection alone and its backend pauses.
#[test]
fn a_long_answer_that_ends_with_its_connection_is_not_cut_off_when_it_pauses() {
    assert_all_are_served(cases(&[Framing::Close, Framing::OldClose], LARGE_BYTES));
}

/// Guards against the same for the other framings.
#[test]
fn a_long_answer_with_a_marked_end_is_not_cut_off_when_it_pauses() {
    assert_all_are_served(cases(&[Framing::Length, Framing::Chunked], LARGE_BYTES));
}

/// Guards against a short answer being given up since its backend pauses while there is time left.
#[test]
fn a_short_answer_that_pauses_is_served_while_there_is_time() {
    assert_all_are_served(cases(&FRAMINGS, SMALL_BYTES));
}

/// Guards against an answer of unknown length that is given up at the end of its client's time though it still comes.
#[test]
fn an_answer_that_ends_with_its_connection_begins_in_the_time_of_its_request() {
    let steady = |framing: Framing| {
        let mut pieces = vec![(ms(0), framing.head(0))];
        pieces.extend((0..50).map(|_| (ms(20), framing.part(2_000))));
        pieces
    };
    let mut faults = Vec::new();
    for (name, pieces) in
        [("late body", pieces(Framing::Close, Pauses::LateBody, 100_000)), ("steady", steady(Framing::Close))]
    {
        let backend = backend(pieces);
        let proxy = proxy(&[&backend], true);
        for (class, request) in CLASSES {
            let mut client = proxy.client();
            let asked_at = Instant::now();
            client.send(&request(0.5));
            let _ = client.0.get_ref().peek(&mut [0]);
            let began = asked_at.elapsed();
            let answer = client.answer().map(|answer| (answer.status(), answer.body.len()));
            if answer != Some((200, 100_000)) || began > ms(500) + LATE_ANSWER {
                faults.push(format!("{name}, {class}: {answer:?}, began after {began:?}"));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a long answer whose beginning is held back though it arrives steadily.
#[test]
fn a_long_declared_answer_that_arrives_steadily_begins_early() {
    let framing = Framing::Length;
    let mut pieces = vec![(ms(0), framing.head(LARGE_BYTES))];
    pieces.extend((0..70).map(|_| (ms(20), framing.part(LARGE_BYTES / 70))));
    let proxy = proxy(&[&backend(pieces)], true);
    for (class, request) in CLASSES {
        let mut client = proxy.client();
        let asked_at = Instant::now();
        client.send(&request(TIME_LEFT_S));
        let _ = client.0.get_ref().peek(&mut [0]);
        let began = asked_at.elapsed();
        assert!(began < ms(1_000), "{class}: began after {began:?}");
        assert_eq!(client.answer().map(|answer| answer.body.len()), Some(LARGE_BYTES), "{class}");
    }
}

/// Guards against an answer that is held open behind a backend which falls silent once its beginning was passed on.
#[test]
fn a_long_answer_whose_backend_falls_silent_ends_soon_after_its_time() {
    let long_part = |framing: Framing| framing.head(LARGE_BYTES) + &framing.part(LARGE_BYTES / 2);
    let parts: Vec<String> = FRAMINGS.into_iter().map(long_part).collect();
    let threads = parts.into_iter().map(|part| {
        std::thread::spawn(move || {
            let proxy = proxy(&[&silent_backend(part)], true);
            let mut client = proxy.client();
            let asked_at = Instant::now();
            client.send(&pay(TIME_LEFT_S));
            assert!(client.answer().is_none(), "its client can tell that it is not whole");
            asked_at.elapsed()
        })
    });
    let took: Vec<Duration> = threads.collect::<Vec<_>>().into_iter().map(|t| t.join().unwrap()).collect();
    let due = Duration::from_secs_f64(TIME_LEFT_S) + LATE_ANSWER;
    assert!(took.iter().all(|took| *took <= due), "{took:?}");
}

/// Guards against a rejection that is taken for a lost answer since its body comes late: the request never ran.
#[test]
fn a_rejection_whose_body_comes_late_is_sent_elsewhere() {
    let head = "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 2\r\n\r\n";
    let rejecting = backend(vec![(ms(0), head.into()), (ms(600), "no".into())]);
    let good = BackendServer::start(|_| ok("good"));
    let proxy = proxy(&[&rejecting, &good], true);
    warm_up(&proxy);
    let (mut client, before) = (proxy.client(), rejecting.count());
    for number in 0..60 {
        assert_eq!(client.ask(&pay(TIME_LEFT_S)).body, b"good", "order {number}");
        if rejecting.count() > before {
            return;
        }
    }
    panic!("the backend was never chosen");
}

/// The beginnings of answers after which a backend falls silent for good.
fn silent_answers() -> Vec<(&'static str, String)> {
    let head = "HTTP/1.1 200 X\r\n";
    vec![
        ("part of a head", head.into()),
        ("head of a short answer", format!("{head}Content-Length: 20000\r\n\r\n")),
        ("part of a short answer", format!("{head}Content-Length: 20000\r\n\r\nyyyy")),
        ("head of a long answer", format!("{head}Content-Length: 140000\r\n\r\n")),
        ("part of a long answer", format!("{head}Content-Length: 140000\r\n\r\nyyyy")),
        ("head of chunks", format!("{head}Transfer-Encoding: chunked\r\n\r\n")),
        ("part of a chunk", format!("{head}Transfer-Encoding: chunked\r\n\r\n4000\r\nyyyy")),
        ("head without a length", format!("{head}\r\n")),
        ("part of a body without a length", format!("{head}\r\nyyyy")),
    ]
}

/// Returns a backend that falls silent within each answer, but those to requests of [`warm_up`].
fn silent_backend(beginning: String) -> BackendServer {
    BackendServer::by_request(move |request| {
        if request.start_line.contains(WARM_UP_KEY) {
            ok("x")
        } else {
            Reply::Pieces(vec![beginning.clone()])
        }
    })
}

/// Asks two backends, one of which falls silent, until that one was chosen; returns what went wrong.
fn fault_beside_silent_backend(name: &str, beginning: String, hedging: bool) -> Option<String> {
    let silent = silent_backend(beginning);
    let good = BackendServer::start(|_| ok("good"));
    let proxy = proxy(&[&silent, &good], hedging);
    warm_up(&proxy);
    let before = silent.count();
    for asked in 1..60 {
        let mut client = proxy.client();
        client.send(&read(TIME_LEFT_S));
        let answer = client.answer();
        if answer.as_ref().is_none_or(|answer| answer.body != b"good") {
            let status = answer.map(|answer| answer.status());
            return Some(format!("{name}, hedging {hedging}: {status:?} to request {asked}"));
        }
        if silent.count() > before {
            return None;
        }
    }
    Some(format!("{name}, hedging {hedging}: the backend was never chosen"))
}

/// Guards against a repeatable request that is bound to a backend which has fallen silent within its answer.
#[test]
fn a_repeatable_request_is_answered_elsewhere_when_its_backend_falls_silent_within_the_answer() {
    let mut faults = Vec::new();
    for (name, beginning) in silent_answers() {
        for hedging in [true, false] {
            faults.extend(fault_beside_silent_backend(name, beginning.clone(), hedging));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against an order without a final answer, as its backend has fallen silent within its own.
#[test]
fn an_order_gets_its_final_answer_in_time_when_its_backend_falls_silent_within_the_answer() {
    let time = Duration::from_secs_f64(TIME_LEFT_S);
    let mut faults = Vec::new();
    for (name, beginning) in silent_answers() {
        let silent = silent_backend(beginning);
        let proxy = proxy(&[&silent], true);
        let mut client = proxy.client();
        let asked_at = Instant::now();
        let mut answer = Vec::new();
        client.send(&pay(TIME_LEFT_S));
        let mut buffer = [0; 1024];
        while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
            match client.0.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(count) => answer.extend_from_slice(&buffer[..count]),
            }
        }
        let took = asked_at.elapsed();
        let status = String::from_utf8_lossy(&answer).chars().skip(9).take(3).collect::<String>();
        if !status.starts_with('5') || took > time + LATE_ANSWER {
            faults.push(format!("{name}: status {status:?} after {took:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
