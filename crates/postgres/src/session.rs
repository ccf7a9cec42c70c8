//! Sessions: who a client is, and one request to the core for each transaction.

use crate::bridge::{Client, Transaction};
use crate::classes::{class, is_repeatable, statement, ClientIdentity, Rule};
use crate::error::Trouble;
use crate::scram::{Exchange, ScramError, Verifier, MECHANISM};
use crate::statements::SessionEnd;
use crate::track::Track;
use crate::upstream::{drain, fill, Servers};
use crate::wire::{
    header, message, opening, put, CancelKey, Header, Message, Opening, Parameter, WireError,
    CANCEL_REQUEST_CODE, HEADER_BYTES,
};
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use lotusdeck_core::{Answer, Host, RequestLabels};
use lotusdeck_policy::{Arrival, ClassId, RequestId, SideEffects};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tracing::{debug, warn};

/// A client has proved who it is by then, or is let go of.
const LOGIN: Duration = Duration::from_secs(10);
/// A message of the login is no longer.
const MAX_LOGIN: usize = 8 * 1024;
/// A statement that may be said again is no longer.
const MAX_REPLAY: usize = 64 * 1024;
/// Clients beyond the bound that are told so.
pub const SPARE: usize = 16;
/// The last words to a client are given up after this time.
const FAREWELL: Duration = Duration::from_secs(2);
/// What is told of the server before one was logged in to (ParameterStatus).
const PARAMS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// ClientIdentity may come, and what is stored of the password.
#[derive(Clone, Debug)]
pub struct User {
    /// The role.
    pub name: String,
    /// Its verifier.
    pub verifier: Verifier,
}

/// What a front is told.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Databases that clients may ask for.
    pub databases: Vec<String>,
    /// ClientIdentity may come.
    pub users: Vec<User>,
    /// Clients at once.
    pub clients: usize,
    /// Which class a transaction is of; the last class of the settings where none fits.
    pub rules: Vec<Rule>,
}

/// Clients of one address.
pub struct Front {
    host: Rc<Host>,
    servers: Rc<Servers>,
    settings: FrontSettings,
    /// Salts of users that do not exist.
    secret: [u8; 32],
    /// By the figures that a CancelRequest names.
    sessions: RefCell<HashMap<CancelKey, Weak<Client>>>,
    count: Cell<usize>,
    stop: watch::Sender<bool>,
}

/// Why a session did not come to stand.
enum NoSession {
    /// The client has left, or was silent.
    Gone,
    Trouble(Trouble),
}

impl From<std::io::Error> for NoSession {
    fn from(_: std::io::Error) -> NoSession {
        NoSession::Gone
    }
}
impl From<WireError> for NoSession {
    fn from(e: WireError) -> NoSession {
        NoSession::Trouble(Trouble::fatal("08P01", e.to_string()))
    }
}
impl From<ScramError> for NoSession {
    fn from(e: ScramError) -> NoSession {
        NoSession::Trouble(match e {
            ScramError::Wrong => Trouble::fatal("28P01", "password authentication failed"),
            ScramError::Malformed(what) => Trouble::fatal("08P01", what),
        })
    }
}

/// A connection whose client has not proved anything yet.
struct Newcomer {
    tcp: TcpStream,
    input: RefCell<BytesMut>,
    output: RefCell<BytesMut>,
}

impl Newcomer {
    async fn opening(&self) -> Result<Opening, NoSession> {
        loop {
            if let Some(opening) = opening(&mut self.input.borrow_mut())? {
                return Ok(opening);
            }
            self.more().await?;
        }
    }

    async fn more(&self) -> Result<(), NoSession> {
        match fill(&self.tcp, &self.input).await? {
            0 => Err(NoSession::Gone),
            _ => Ok(()),
        }
    }

    async fn say(&self, kind: u8, body: &[u8]) -> Result<(), NoSession> {
        put(&mut self.output.borrow_mut(), kind, body);
        Ok(drain(&self.output, &self.tcp).await?)
    }

    /// A message of the kind that passwords come in.
    async fn proof(&self) -> Result<bytes::Bytes, NoSession> {
        loop {
            match message(&mut self.input.borrow_mut(), MAX_LOGIN)? {
                Some(Message { kind: b'p', body }) => return Ok(body),
                Some(Message { kind, .. }) => {
                    return Err(
                        WireError::Malformed { kind: char::from(kind), reason: "a proof is due" }.into()
                    )
                }
                None => {}
            }
            self.more().await?;
        }
    }

    /// "SASL Authentication", with SCRAM-SHA-256 alone.
    async fn prove(&self, verifier: Verifier, nonce: &str) -> Result<(), NoSession> {
        let mut offer = 10u32.to_be_bytes().to_vec();
        offer.extend(MECHANISM.as_bytes());
        offer.extend([0, 0]);
        self.say(b'R', &offer).await?;
        let mut first = self.proof().await?;
        let bad = || {
            NoSession::from(WireError::Malformed {
                kind: 'p',
                reason: "no SASLInitialResponse of SCRAM-SHA-256",
            })
        };
        let end = first.iter().position(|b| *b == 0).ok_or_else(bad)?;
        if &first[..end] != MECHANISM.as_bytes() || first.len() < end + 5 {
            return Err(bad());
        }
        first.advance(end + 5);
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).map_err(|_| bad());
        let (exchange, answer) = Exchange::begin(verifier, &text(&first)?, nonce)?;
        self.say(b'R', &[&11u32.to_be_bytes(), answer.as_bytes()].concat()).await?;
        let last = self.proof().await?;
        let answer = exchange.end(&text(&last)?)?;
        put(&mut self.output.borrow_mut(), b'R', &[&12u32.to_be_bytes(), answer.as_bytes()].concat());
        Ok(())
    }
}

fn random<const N: usize>() -> Result<[u8; N], NoSession> {
    let mut out = [0; N];
    getrandom::fill(&mut out)
        .map_err(|_| NoSession::Trouble(Trouble::fatal("58000", "no random numbers can be had")))?;
    Ok(out)
}

fn unknown() -> Trouble {
    Trouble::error("08007", "the server was lost: whether this was done is not known")
}

fn late() -> Trouble {
    Trouble::error("57014", "its time was up before its answer came")
}

/// ReadyForQuery, idle.
fn ready(out: &mut BytesMut) {
    put(out, b'Z', b"I");
}

impl Front {
    /// A front that accepts nobody yet.
    ///
    /// # Errors
    /// Where the machine has no random numbers.
    pub fn new(
        host: Rc<Host>, servers: Rc<Servers>, settings: FrontSettings,
    ) -> Result<Rc<Front>, std::io::Error> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(|e| std::io::Error::other(e.to_string()))?;
        let (sessions, count, stop) = (RefCell::default(), Cell::new(0), watch::channel(false).0);
        Ok(Rc::new(Front { host, servers, settings, secret, sessions, count, stop }))
    }

    /// Clients that are connected.
    pub fn clients(&self) -> usize {
        self.count.get()
    }

    /// Nobody is accepted any more; sessions are told so and end once they have no transaction open.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Accepts for as long as it is polled. Beyond the bound on clients they are told so.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut stop = self.stop.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            let tcp = match accepted {
                Ok((tcp, _)) => tcp,
                Err(e) => {
                    warn!(error = %e, "no client can be accepted");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                }
            };
            if self.count.get() >= self.settings.clients + SPARE {
                continue; // there is not even room to say so
            }
            let front = self.clone();
            self.count.set(self.count.get() + 1);
            tokio::task::spawn_local(async move {
                front.client(tcp).await;
                front.count.set(front.count.get() - 1);
            });
        }
    }

    async fn client(self: &Rc<Self>, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true); // a socket that cannot be told so works all the same
        let new = Newcomer { tcp, input: RefCell::default(), output: RefCell::default() };
        let login = tokio::time::timeout(LOGIN, self.log_in(&new)).await;
        match login.unwrap_or(Err(NoSession::Gone)) {
            Ok(None) | Err(NoSession::Gone) => {}
            Err(NoSession::Trouble(trouble)) => {
                trouble.put(&mut new.output.borrow_mut());
                let _ = tokio::time::timeout(FAREWELL, drain(&new.output, &new.tcp)).await;
            }
            Ok(Some((key, who))) => {
                let client = Client::new(new.tcp, new.input.into_inner());
                self.sessions.borrow_mut().insert(key, Rc::downgrade(&client));
                self.serve(&client, &who).await;
                self.sessions.borrow_mut().remove(&key);
                let _ = tokio::time::timeout(FAREWELL, drain(&client.output, &client.tcp)).await;
            }
        }
    }

    /// The figures of a session that stands; `None` where none was asked for.
    async fn log_in(&self, new: &Newcomer) -> Result<Option<(CancelKey, ClientIdentity)>, NoSession> {
        let (minor, asked) = loop {
            match new.opening().await? {
                Opening::Ssl | Opening::Gss => {
                    new.output.borrow_mut().put_u8(b'N');
                    drain(&new.output, &new.tcp).await?;
                }
                Opening::Cancel(key) => {
                    self.cancel(key).await;
                    return Ok(None);
                }
                Opening::Start { minor, parameters: asked } => break (minor, asked),
            }
        };
        if self.count.get() > self.settings.clients {
            return Err(NoSession::Trouble(Trouble::fatal("53300", "too many clients already")));
        }
        let of = |name: &str| asked.iter().find(|a| a.name == name).map(|a| a.value.as_str());
        let unknown: Vec<&str> =
            asked.iter().map(|a| a.name.as_str()).filter(|name| name.starts_with("_pq_.")).collect();
        if minor > 0 || !unknown.is_empty() {
            let mut body = 0u32.to_be_bytes().to_vec();
            body.extend((unknown.len() as u32).to_be_bytes());
            unknown.iter().for_each(|name| body.extend(name.bytes().chain([0])));
            new.say(b'v', &body).await?;
        }
        let Some(user) = of("user").filter(|u| !u.is_empty()) else {
            return Err(NoSession::Trouble(Trouble::fatal(
                "28000",
                "no user is named in the start-up packet",
            )));
        };
        let known = self.settings.users.iter().find(|u| u.name == user).map(|u| u.verifier.clone());
        let verifier = known.unwrap_or_else(|| {
            Verifier::of_nobody(user, &self.secret, self.settings.users.first().map(|u| &u.verifier))
        });
        new.prove(verifier, &BASE64_STANDARD.encode(random::<18>()?)).await?;
        let database = of("database").unwrap_or(user);
        if !self.settings.databases.iter().any(|d| d == database) {
            let text = format!("database \"{database}\" is not served here");
            return Err(NoSession::Trouble(Trouble::fatal("3D000", text)));
        }
        let mut key = random::<8>()?;
        key[0] &= 0x7f;
        let (pid, secret) = key.split_at(4);
        let number = |b: &[u8]| i32::from_be_bytes([b[0], b[1], b[2], b[3]]);
        let mut out = new.output.take();
        put(&mut out, b'R', &0u32.to_be_bytes());
        let mut params: Vec<Parameter> = PARAMS
            .iter()
            .map(|(name, value)| Parameter { name: name.to_string(), value: value.to_string() })
            .collect();
        for parameter in self.servers.params() {
            params.retain(|known| known.name != parameter.name);
            params.push(parameter);
        }
        for Parameter { name, value } in params {
            put(&mut out, b'S', format!("{name}\0{value}\0").as_bytes());
        }
        put(&mut out, b'K', &key);
        ready(&mut out);
        new.output.replace(out);
        drain(&new.output, &new.tcp).await?;
        let application = of("application_name").unwrap_or_default().to_string();
        let who = ClientIdentity { user: user.into(), database: database.into(), application };
        Ok(Some((CancelKey { process_id: number(pid), secret: number(secret) }, who)))
    }

    /// Passed on to the server that runs the session's transaction at this moment, and to no other.
    async fn cancel(&self, key: CancelKey) {
        let client = self.sessions.borrow().get(&key).and_then(Weak::upgrade);
        let Some(target) = client.and_then(|client| client.at.get()) else { return };
        let Ok(Ok(tcp)) = tokio::time::timeout(FAREWELL, TcpStream::connect(target.server)).await else {
            return;
        };
        let mut packet = BytesMut::new();
        packet.put_u32(16);
        packet.put_u32(CANCEL_REQUEST_CODE);
        packet.put_i32(target.key.process_id);
        packet.put_i32(target.key.secret);
        let _ = drain(&RefCell::new(packet), &tcp).await; // a cancel is a wish
    }

    async fn serve(self: &Rc<Self>, client: &Rc<Client>, who: &ClientIdentity) {
        let mut stop = self.stop.subscribe();
        loop {
            let first = tokio::select! {
                first = self.first(client) => first,
                _ = stop.wait_for(|stop| *stop), if client.input.borrow().is_empty() => {
                    let text = "this proxy stops: connect again";
                    Trouble::fatal("57P01", text).put(&mut client.output.borrow_mut());
                    return;
                }
            };
            let answer = match first {
                Ok(()) => self.transaction(client, who).await,
                Err(why) => {
                    client.over.set(Some(why));
                    Answer::Failed
                }
            };
            client.at.set(None);
            let trouble = match (client.over.get(), answer) {
                (Some(SessionEnd::ClientLeft), _) => return,
                (Some(SessionEnd::InvalidMessage), _) => {
                    Trouble::fatal("08P01", "a message of an impossible length")
                }
                (Some(SessionEnd::LimitExceeded), _) => Trouble::fatal(
                    "54000",
                    "statements of a session are bounded: 1 MB each, 8 MB together, 100,000 messages ahead",
                ),
                (None, Answer::Served(_)) => continue,
                // Declared safe, and not to be repeated any more by this proxy: what was lost is the server.
                (None, Answer::Rejected(_))
                    if client.lost.get() && client.track.get().is_result_unknown() =>
                {
                    unknown()
                }
                (None, Answer::Rejected(after)) => Trouble::refused(after, client.sent.get()),
                (None, Answer::TimedOut) => late(),
                // Withdrawn by the module, a moment before the client's time was up.
                (None, Answer::Failed) if client.sent.get() && !client.lost.get() => late(),
                (None, Answer::Failed) if client.track.get().is_result_unknown() => unknown(),
                (None, Answer::Failed) => {
                    Trouble::error("08006", "the server was lost before anything was done")
                }
            };
            if !self.tell(client, trouble).await {
                return;
            }
        }
    }

    /// Waits for the first message of a transaction, whole or as much of it as is looked at: no server is bound to a
    /// client that has not said what it wants.
    async fn first(&self, client: &Rc<Client>) -> Result<(), SessionEnd> {
        loop {
            self.rest(client).await?;
            let whole = {
                let input = client.input.borrow();
                let head = header(&input)?;
                head.filter(|h| input.len() >= HEADER_BYTES + h.length.min(MAX_REPLAY)).map(|h| h.kind)
            };
            match whole {
                Some(b'X') => return Err(SessionEnd::ClientLeft),
                // Rows and their end, and a Flush, behind a transaction that has failed: they ask for nothing.
                Some(b'd' | b'c' | b'f' | b'H') => self.skip(client, |_| true).await?,
                Some(_) => return Ok(()),
                None => more(client).await?,
            }
        }
    }

    /// One transaction through the core.
    async fn transaction(self: &Rc<Self>, client: &Rc<Client>, who: &ClientIdentity) -> Answer {
        let settings = self.host.settings();
        let (class, replay) = {
            let input = client.input.borrow();
            let head = header(&input).ok().flatten();
            let whole = head.and_then(|h| Some((h, input.get(HEADER_BYTES..HEADER_BYTES + h.length)?)));
            let text = whole.and_then(|(h, body)| statement(h.kind, body));
            let last = ClassId(settings.config.classes.len().saturating_sub(1));
            let class = class(&self.settings.rules, who, text, last);
            let safe = settings.config.classes[class.0].side_effects == SideEffects::None;
            let may =
                |(h, body): &(Header, &[u8])| safe && h.length <= MAX_REPLAY && is_repeatable(h.kind, body);
            let replay =
                whole.filter(may).map(|(h, _)| Bytes::copy_from_slice(&input[..HEADER_BYTES + h.length]));
            (class, replay)
        };
        client.begin(replay);
        let effect = settings.config.classes[class.0].side_effects;
        let time_left = settings.network.deadlines.get(class.0).copied().unwrap_or_default();
        let arrival = Arrival {
            request: RequestId(0),
            class,
            tenant: None,
            time_left,
            work_hint: None,
            is_client_retry: false,
            body_incomplete: false,
        };
        let work = Rc::new(Transaction { client: client.clone(), servers: self.servers.clone() });
        let labels = || RequestLabels { id: String::new(), class: "transaction".into(), key: String::new() };
        let (id, mut answer) = self.host.submit(arrival, work, effect, labels);
        let due = tokio::time::sleep(lotusdeck_core::to_duration(time_left));
        tokio::pin!(due);
        let mut late = false;
        loop {
            tokio::select! {
                got = &mut answer => return got.unwrap_or(Answer::Failed),
                _ = client.ended.notified() => {
                    self.host.client_disconnected(id);
                    return Answer::Failed;
                }
                _ = &mut due, if !late => {
                    late = true;
                    self.host.deadline_expired(id);
                }
            }
        }
    }

    /// Tells a client that its transaction has come to nothing, in its turn; whether the session goes on.
    async fn tell(&self, client: &Rc<Client>, trouble: Trouble) -> bool {
        debug!(code = trouble.code, fatal = trouble.fatal, "transaction not served");
        if !client.down.borrow().is_at_boundary() {
            return false; // half of a message is with the client: nothing can follow it
        }
        let track = client.track.get();
        let waits = track.pending_ready() > 0 || track.needs_sync() || !client.sent.get();
        if trouble.fatal || !waits {
            Trouble { fatal: true, ..trouble }.put(&mut client.output.borrow_mut());
            return false; // a transaction that was open, with nobody waiting: the session cannot tell otherwise
        }
        trouble.put(&mut client.output.borrow_mut());
        // It may wait for that before it says more.
        if drain(&client.output, &client.tcp).await.is_err() {
            return false;
        }
        // What is still owed to it is as many ends; without a Sync it is not listening yet.
        let ends = |kind| matches!(kind, b'Q' | b'F' | b'S');
        if (track.pending_ready() == 0 || track.needs_sync()) && self.skip(client, ends).await.is_err() {
            return false;
        }
        ready(&mut client.output.borrow_mut());
        // Each part of a pipeline that is out is told so: an end without a word would pass for an empty answer.
        for _ in 1..track.pending_ready() {
            trouble.put(&mut client.output.borrow_mut());
            ready(&mut client.output.borrow_mut());
        }
        client.track.set(Track::default());
        drain(&client.output, &client.tcp).await.is_ok()
    }

    /// Reads over what is left of a message that was cut.
    async fn rest(&self, client: &Rc<Client>) -> Result<(), SessionEnd> {
        while !client.up.borrow().is_at_boundary() {
            let (mut input, mut sink) = (client.input.take(), BytesMut::new());
            let passed = client.up.borrow_mut().forward(&mut input, &mut sink, |_, _| false);
            client.input.replace(input);
            passed?;
            if !client.up.borrow().is_at_boundary() {
                more(client).await?;
            }
        }
        Ok(())
    }

    /// Reads over all to the first message that `ends` names, and to what is left of one that is cut before.
    async fn skip(&self, client: &Rc<Client>, ends: impl Fn(u8) -> bool) -> Result<(), SessionEnd> {
        loop {
            self.rest(client).await?;
            let head = header(&client.input.borrow())?;
            let Some(Header { kind, length }) = head else {
                more(client).await?;
                continue;
            };
            if kind == b'X' {
                return Err(SessionEnd::ClientLeft);
            }
            client.input.borrow_mut().advance(HEADER_BYTES);
            client.up.borrow_mut().continue_message(length);
            if ends(kind) {
                return self.rest(client).await;
            }
        }
    }
}

/// Waits for more of what a client says.
async fn more(client: &Client) -> Result<(), SessionEnd> {
    match fill(&client.tcp, &client.input).await {
        Ok(1..) => Ok(()),
        _ => Err(SessionEnd::ClientLeft),
    }
}
