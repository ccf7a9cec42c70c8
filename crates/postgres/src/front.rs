//! The listener for the clients of one address: their login and the end of their sessions.

use crate::bridge::Client;
use crate::classes::{ClientIdentity, Rule};
use crate::error::ClientError;
use crate::io::drain;
use crate::login::{random, LoginError, NewConnection, SessionStart};
use crate::scram::Verifier;
use crate::session::Session;
use crate::upstream::Servers;
use crate::wire::{CancelKey, Opening, CANCEL_REQUEST_CODE};
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::{BufMut, BytesMut};
use lotusdeck_core::Host;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tracing::warn;

/// A client that has not logged in by then is disconnected.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Clients beyond the bound that get an error before they are disconnected.
pub const MAX_EXCESS_CLIENTS: usize = 16;
/// Time for the last messages to a client, and for a CancelRequest to a server.
const FAREWELL_TIMEOUT: Duration = Duration::from_secs(2);

/// A role that may log in, and its verifier.
#[derive(Clone, Debug)]
pub struct User {
    /// The role.
    pub name: String,
    /// Its verifier.
    pub verifier: Verifier,
}

/// The settings of a front.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Databases that clients may use.
    pub databases: Vec<String>,
    /// Roles that may log in.
    pub users: Vec<User>,
    /// Clients at the same time.
    pub max_clients: usize,
    /// The class of a transaction; the last class of the settings where none matches.
    pub rules: Vec<Rule>,
}

/// The listener for the clients of one address.
pub struct Front {
    host: Rc<Host>,
    servers: Rc<Servers>,
    settings: FrontSettings,
    rules: Rc<[Rule]>,
    /// Derives the salts of users that do not exist.
    secret: [u8; 32],
    /// By the key of a CancelRequest.
    sessions: RefCell<HashMap<CancelKey, Weak<Client>>>,
    count: Cell<usize>,
    stop: watch::Sender<bool>,
}

impl Front {
    /// A front that does not accept clients yet.
    ///
    /// # Errors
    /// The machine has no random numbers.
    pub fn new(
        host: Rc<Host>, servers: Rc<Servers>, settings: FrontSettings,
    ) -> Result<Rc<Front>, std::io::Error> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(|e| std::io::Error::other(e.to_string()))?;
        Ok(Rc::new(Front {
            host,
            servers,
            rules: settings.rules.clone().into(),
            settings,
            secret,
            sessions: RefCell::default(),
            count: Cell::new(0),
            stop: watch::Sender::new(false),
        }))
    }

    /// Number of connected clients.
    pub fn clients(&self) -> usize {
        self.count.get()
    }

    /// Stops accepting clients; sessions end once they have no transaction open.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Accepts clients for as long as it is polled. Clients beyond the bound get an error.
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
            if self.count.get() >= self.settings.max_clients + MAX_EXCESS_CLIENTS {
                continue; // not even the error can be sent
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
        let _ = tcp.set_nodelay(true); // the socket works without it
        let new = NewConnection::new(tcp);
        let login = tokio::time::timeout(LOGIN_TIMEOUT, self.log_in(&new)).await;
        match login.unwrap_or(Err(LoginError::Disconnected)) {
            Ok(None) | Err(LoginError::Disconnected) => {}
            Err(LoginError::Rejected(trouble)) => {
                trouble.put(&mut new.output.borrow_mut());
                let _ = tokio::time::timeout(FAREWELL_TIMEOUT, drain(&new.output, &new.tcp)).await;
            }
            Ok(Some((key, identity))) => {
                let client = Client::new(new.tcp, new.input.into_inner());
                self.sessions.borrow_mut().insert(key, Rc::downgrade(&client));
                self.session(&client, identity).serve().await;
                self.sessions.borrow_mut().remove(&key);
                let _ = tokio::time::timeout(FAREWELL_TIMEOUT, drain(&client.output, &client.tcp)).await;
            }
        }
    }

    /// Logs a client in; returns the key of its session, and `None` where it does not begin one.
    async fn log_in(&self, new: &NewConnection) -> Result<Option<(CancelKey, ClientIdentity)>, LoginError> {
        let Some(start) = self.receive_start(new).await? else { return Ok(None) };
        if self.count.get() > self.settings.max_clients {
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

    /// Forwards a CancelRequest to the server that runs the session's present transaction.
    async fn cancel(&self, key: CancelKey) {
        let client = self.sessions.borrow().get(&key).and_then(Weak::upgrade);
        let Some(target) = client.and_then(|client| client.at.get()) else { return };
        let Ok(Ok(tcp)) = tokio::time::timeout(FAREWELL_TIMEOUT, TcpStream::connect(target.server)).await
        else {
            return;
        };
        let mut packet = BytesMut::new();
        packet.put_u32(16);
        packet.put_u32(CANCEL_REQUEST_CODE);
        packet.put_i32(target.key.process_id);
        packet.put_i32(target.key.secret);
        let _ = drain(&RefCell::new(packet), &tcp).await; // a CancelRequest has no answer
    }

    fn session(&self, client: &Rc<Client>, identity: ClientIdentity) -> Session {
        Session {
            host: self.host.clone(),
            servers: self.servers.clone(),
            rules: self.rules.clone(),
            client: client.clone(),
            identity,
            stop: self.stop.subscribe(),
        }
    }
}
