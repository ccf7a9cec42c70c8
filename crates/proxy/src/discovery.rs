//! Discovery: the watch that keeps the backend list up to date.

use crate::exchange::driven;
use crate::list::List;
use crate::stream::Stream;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::Request;
use lotusdeck_core::{span, Host};
use lotusdeck_policy::{Discovery, ListUpdate};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch::Receiver;
use tokio::time::Instant;
use tracing::{info, warn};

/// One call waits so long for news.
const WAIT: Duration = Duration::from_secs(10);
/// What a call that does not wait may take before discovery counts as silent. What a silent one missed counts as
/// told 6 s after it fell silent, so that another call, and one more, are answered before.
const PROMPT: Duration = Duration::from_secs(2);
/// What a call may take beyond its wait. What it missed counts as told 2 s after the wait is over, at which the next
/// call has to be answered, be it at the second try: with 2 s here it was 0.2 to 1 s late at each proxy.
const OVERDUE: Duration = Duration::from_millis(500);
/// A connection that is not up by then will hardly come: a lost segment is sent again after 1 s.
const CONNECT: Duration = Duration::from_secs(1);
/// Pause after a failed call where lists are pushed; it doubles with each in a row, up to the longest. What the agent
/// gets when discovery is back counts as told at once, so that the longest is well inside the shortest grace that the
/// settings have named (400 ms).
const BACKOFF: Duration = Duration::from_millis(25);
const MOST_BACKOFF: Duration = Duration::from_millis(200);
/// Multiples of it, whole parts left out, lie evenly spread however many there are (Kronecker's sequence).
const GOLDEN: f64 = 0.618_033_988_749_895;
/// A list may be longer than a request's body, but not without bound.
const MAX_LIST: usize = 4 * 1024 * 1024;

#[derive(Debug)]
enum WatchError {
    Connect(std::io::Error),
    Http(Box<dyn std::error::Error + Send + Sync>),
    Status(u16),
    Json(serde_json::Error),
    Ended,
    Silent,
}

impl std::fmt::Display for WatchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WatchError::Connect(e) => write!(f, "no connection: {e}"),
            WatchError::Http(e) => write!(f, "call broken: {e}"),
            WatchError::Status(code) => write!(f, "answered {code}"),
            WatchError::Json(e) => write!(f, "answer not understood: {e}"),
            WatchError::Ended => write!(f, "connection ended"),
            WatchError::Silent => write!(f, "silent"),
        }
    }
}

impl std::error::Error for WatchError {}

struct Link {
    sender: http1::SendRequest<Empty<Bytes>>,
    conn: http1::Connection<Stream, Empty<Bytes>>,
}

/// A call that is out, and the connection that it leaves. It is not dropped before it has ended: what discovery has
/// written counts as told, read or not.
type Call = Pin<Box<dyn Future<Output = (Option<Link>, Result<List, WatchError>)>>>;

/// Takes every list that the module was told of, after it was told.
pub type Kept = Box<dyn Fn(List)>;

/// The list as it is held, across moves of discovery.
struct Watch {
    host: Rc<Host>,
    /// The version held; `None` where the whole list has to be asked for.
    index: Cell<Option<u64>>,
    /// When the list held is compared with a whole one: versions may be counted otherwise where discovery is now.
    check: Cell<Option<Instant>>,
    /// Discovery has told something where it is now.
    answered: Cell<bool>,
    /// Where every list taken goes on to, where it is kept across restarts.
    kept: Option<Kept>,
}

/// Keeps the list up to date for as long as the program runs. When discovery moves the new place is asked at once;
/// the call that is out at the old one goes on beside that to its end, as it may have been answered already.
///
/// Where lists are asked for, the new place is asked for what is newer than the list held, and for all of it some
/// time later. Hundreds of proxies move together: with a whole list each, they waited for theirs for up to 9 s,
/// and what they were not told of counts as told after 4 s (docs/scale.md). Where `kept` is given, every list
/// taken goes on to it.
pub async fn watch(
    host: Rc<Host>, mut moved: Receiver<(SocketAddr, Discovery)>, known: u64, kept: Option<Kept>,
) {
    // An agent's answers cost nothing: begin with the truth.
    let index = (moved.borrow().1 != Discovery::Push).then_some(known);
    let (index, check, answered) = (Cell::new(index), Cell::default(), Cell::default());
    let watch = Rc::new(Watch { host, index, check, answered, kept });
    let mut told = false;
    loop {
        let (at, mode) = *moved.borrow_and_update();
        if let Discovery::Subscribe(_) = mode {
            if !std::mem::replace(&mut told, true) {
                watch.host.followed().await;
            }
        }
        let mut out = None;
        tokio::select! {
            _ = watch.follow(at, mode, &mut out) => {}
            Ok(()) = moved.changed() => {
                watch.answered.set(false);
                match moved.borrow().1 {
                    Discovery::Push => watch.index.set(None),
                    Discovery::Subscribe(within) => {
                        // Spread evenly over the proxies, as their first calls could not be.
                        let position = watch.host.settings().config.position;
                        let spread = (f64::from(position) * GOLDEN).fract();
                        watch.check.set(Some(Instant::now() + span(within.times(1.0 + 2.0 * spread))));
                    }
                }
                if let Some(call) = out {
                    tokio::task::spawn_local(watch.clone().last_word(call));
                }
            }
        }
    }
}

impl Watch {
    /// Follows one discovery for ever, from what is held on. The call that is out lies in `out`.
    async fn follow(&self, at: SocketAddr, mode: Discovery, out: &mut Option<Call>) {
        let asked = mode != Discovery::Push;
        let (mut link, mut failures) = (None, 0u32);
        // A call of the module's, or after a failure, is answered once, by what it missed; only what follows waits.
        let mut wait = if asked { Duration::ZERO } else { WAIT };
        loop {
            let check = self.check.get().map(|at| at.saturating_duration_since(Instant::now()));
            let checks = check.is_some_and(|left| left.is_zero());
            let index = self.index.get().filter(|_| !checks);
            let (uri, patience) = match index {
                None => ("/api/targets".to_string(), PROMPT),
                Some(index) => {
                    let wait = check.map_or(wait, |left| wait.min(left));
                    let patience = (wait + OVERDUE).max(PROMPT);
                    (format!("/api/targets?after={index}&wait_ms={}", wait.as_millis()), patience)
                }
            };
            let (kept, call) = out.insert(fetch(link.take(), at, uri, patience)).await;
            (link, *out) = (kept, None);
            match call {
                Ok(list) => {
                    if failures > 0 {
                        info!(index = list.index, "discovery is back");
                    }
                    (failures, wait) = (0, WAIT);
                    self.answered.set(true);
                    if list.snapshot {
                        self.check.set(None);
                    }
                    // Changes against a newer list than the answer's: discovery began anew, so take it whole.
                    let gap = !list.snapshot && index.is_none_or(|index| list.index < index);
                    self.index.set((!gap).then_some(list.index));
                    if !gap {
                        self.take(list);
                        continue;
                    }
                    // Who leaves by its word gets nothing until then: that it was told is certain.
                    self.host.members(ListUpdate::Changes, list.leaving());
                    if index.is_none() {
                        warn!("discovery answered with changes to a call for the whole list");
                        tokio::time::sleep(BACKOFF * 2).await;
                    }
                }
                Err(e) => {
                    failures += 1;
                    if failures == 1 {
                        warn!(error = %e, "discovery failed");
                    }
                    if let (true, Discovery::Subscribe(within)) = (checks, mode) {
                        self.check.set(Some(Instant::now() + span(within))); // what is newer comes first
                    }
                    wait = Duration::ZERO;
                    if asked {
                        self.host.members(ListUpdate::Lost, Vec::new());
                        self.host.followed().await; // when to ask again is the module's to say
                    } else {
                        tokio::time::sleep((BACKOFF * (1 << failures.min(4))).min(MOST_BACKOFF)).await;
                    }
                }
            }
        }
    }

    fn take(&self, list: List) {
        let update = if list.snapshot { ListUpdate::Full } else { ListUpdate::Changes };
        self.host.members(update, list.news());
        if let Some(kept) = &self.kept {
            kept(list);
        }
    }

    /// What the place that discovery has left had written by then, or writes until it ends the call. Where the new
    /// one has answered since, with an older version, no more is believed than who leaves.
    async fn last_word(self: Rc<Self>, call: Call) {
        let (_link, Ok(list)) = call.await else { return };
        let held = self.index.get();
        let follows = list.snapshot || held.is_none_or(|held| list.index >= held);
        match held {
            Some(held) if self.answered.get() && list.index <= held => {}
            _ if self.answered.get() || !follows => self.host.members(ListUpdate::Changes, list.leaving()),
            _ => {
                self.index.set(held.map(|_| list.index));
                self.take(list);
            }
        }
    }
}

/// A call and the connection that is left behind it; each step of it is bounded.
fn fetch(link: Option<Link>, at: SocketAddr, uri: String, patience: Duration) -> Call {
    Box::pin(async move {
        let mut link = link;
        let call = tokio::time::timeout(patience, ask(&mut link, at, &uri)).await;
        match call.unwrap_or(Err(WatchError::Silent)) {
            Ok(list) => (link, Ok(list)),
            Err(e) => (None, Err(e)),
        }
    })
}

async fn ask(link: &mut Option<Link>, at: SocketAddr, uri: &str) -> Result<List, WatchError> {
    let mut live = match link.take() {
        Some(live) if !live.sender.is_closed() => live,
        _ => {
            let dial = tokio::time::timeout(CONNECT, TcpStream::connect(at)).await;
            let tcp = dial.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
            let tcp = tcp.map_err(WatchError::Connect)?;
            let (sender, conn) = http1::handshake(Stream::new(tcp)).await.map_err(boxed)?;
            Link { sender, conn }
        }
    };
    let request = Request::get(uri).header("host", at.to_string()).body(Empty::new()).map_err(boxed)?;
    let Link { sender, conn } = &mut live;
    let answer = async {
        sender.ready().await.map_err(boxed)?;
        let answer = sender.send_request(request).await.map_err(boxed)?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), MAX_LIST).collect().await.map_err(WatchError::Http)?;
        Ok((status, body.to_bytes()))
    };
    let (status, body) = driven(conn, answer).await.unwrap_or(Err(WatchError::Ended))?;
    *link = Some(live);
    if status != 200 {
        return Err(WatchError::Status(status));
    }
    serde_json::from_slice(&body).map_err(WatchError::Json)
}

fn boxed(e: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> WatchError {
    WatchError::Http(e.into())
}
