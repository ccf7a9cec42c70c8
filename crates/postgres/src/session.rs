//! Sessions: who a client is, and one request to the core for each transaction.

use crate::bridge::{Client, Transaction};
use crate::classes::{class, is_repeatable, statement, ClientIdentity, Rule};
use crate::error::ClientError;
use crate::login::{put_ready, random, LoginError, NewConnection, SessionStart};
use crate::scram::Verifier;
use crate::statements::SessionEnd;
use crate::track::Track;
use crate::upstream::{drain, fill, Servers};
use crate::wire::{header, CancelKey, Header, Opening, CANCEL_REQUEST_CODE, HEADER_BYTES};
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
/// A statement that may be said again is no longer.
const MAX_REPLAY: usize = 64 * 1024;
/// Clients beyond the bound that are told so.
pub const SPARE: usize = 16;
/// The last words to a client are given up after this time.
const FAREWELL: Duration = Duration::from_secs(2);
/// A role that may log in, and its verifier.
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
    /// Roles that may log in.
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

fn unknown() -> ClientError {
    ClientError::error("08007", "the server was lost: whether this was done is not known")
}

fn late() -> ClientError {
    ClientError::error("57014", "its time was up before its answer came")
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
        let new = NewConnection::new(tcp);
        let login = tokio::time::timeout(LOGIN, self.log_in(&new)).await;
        match login.unwrap_or(Err(LoginError::Disconnected)) {
            Ok(None) | Err(LoginError::Disconnected) => {}
            Err(LoginError::Rejected(trouble)) => {
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

    /// Logs a client in; returns the key of its session, and `None` where it does not begin one.
    async fn log_in(&self, new: &NewConnection) -> Result<Option<(CancelKey, ClientIdentity)>, LoginError> {
        let Some(start) = self.receive_start(new).await? else { return Ok(None) };
        if self.count.get() > self.settings.clients {
            return Err(ClientError::fatal("53300", "too many clients already").into());
        }
        new.negotiate_version(&start).await?;
        let Some(user) = start.parameter("user").filter(|user| !user.is_empty()) else {
            return Err(ClientError::fatal("28000", "no user is named in the start-up packet").into());
        };
        new.prove(self.verifier(user), &BASE64_STANDARD.encode(random::<18>()?)).await?;
        let database = start.parameter("database").unwrap_or(user);
        if !self.settings.databases.iter().any(|served| served == database) {
            let text = format!("database \"{database}\" is not served here");
            return Err(ClientError::fatal("3D000", text).into());
        }
        let key = new.welcome(self.servers.params()).await?;
        let application = start.parameter("application_name").unwrap_or_default();
        let identity =
            ClientIdentity { user: user.into(), database: database.into(), application: application.into() };
        Ok(Some((key, identity)))
    }

    /// The start of a session; `None` after a CancelRequest.
    async fn receive_start(&self, new: &NewConnection) -> Result<Option<SessionStart>, LoginError> {
        loop {
            match new.opening().await? {
                Opening::Ssl | Opening::Gss => new.refuse_encryption().await?,
                Opening::Cancel(key) => {
                    self.cancel(key).await;
                    return Ok(None);
                }
                Opening::Start { minor, parameters } => return Ok(Some(SessionStart { minor, parameters })),
            }
        }
    }

    /// The verifier of a user. One who does not exist has one that no password matches, so that names cannot be told
    /// apart by it.
    fn verifier(&self, user: &str) -> Verifier {
        let users = &self.settings.users;
        match users.iter().find(|known| known.name == user) {
            Some(known) => known.verifier.clone(),
            None => Verifier::of_nobody(user, &self.secret, users.first().map(|first| &first.verifier)),
        }
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
                    ClientError::fatal("57P01", text).put(&mut client.output.borrow_mut());
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
                    ClientError::fatal("08P01", "a message of an impossible length")
                }
                (Some(SessionEnd::LimitExceeded), _) => ClientError::fatal(
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
                (None, Answer::Rejected(after)) => ClientError::refused(after, client.sent.get()),
                (None, Answer::TimedOut) => late(),
                // Withdrawn by the module, a moment before the client's time was up.
                (None, Answer::Failed) if client.sent.get() && !client.lost.get() => late(),
                (None, Answer::Failed) if client.track.get().is_result_unknown() => unknown(),
                (None, Answer::Failed) => {
                    ClientError::error("08006", "the server was lost before anything was done")
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
    async fn tell(&self, client: &Rc<Client>, trouble: ClientError) -> bool {
        debug!(code = trouble.code, fatal = trouble.fatal, "transaction not served");
        if !client.down.borrow().is_at_boundary() {
            return false; // half of a message is with the client: nothing can follow it
        }
        let track = client.track.get();
        let waits = track.pending_ready() > 0 || track.needs_sync() || !client.sent.get();
        if trouble.fatal || !waits {
            ClientError { fatal: true, ..trouble }.put(&mut client.output.borrow_mut());
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
        put_ready(&mut client.output.borrow_mut());
        // Each part of a pipeline that is out is told so: an end without a word would pass for an empty answer.
        for _ in 1..track.pending_ready() {
            trouble.put(&mut client.output.borrow_mut());
            put_ready(&mut client.output.borrow_mut());
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
