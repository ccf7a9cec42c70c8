//! The listener for the clients of one address: their logins, their sessions and their CancelRequests.

use crate::classes::{ClientIdentity, Rule};
use crate::client::Client;
use crate::error::ClientError;
use crate::io::{close_after_last_message, drain};
use crate::login::{random_bytes, LoginError, NewConnection, SessionStart};
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

/// Time for a client to log in before it is disconnected.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of clients above the limit that are accepted in order to send them an error.
pub const MAX_EXCESS_CLIENTS: usize = 16;
/// Time for the last messages to a client and the end of its connection, and for connecting to a server to send it a
/// CancelRequest.
const FINAL_IO_TIMEOUT: Duration = Duration::from_secs(2);

/// A role that may log in.
#[derive(Clone, Debug)]
pub struct User {
    /// The name of the role.
    pub name: String,
    /// The verifier of its password.
    pub verifier: Verifier,
}

/// The settings of a front.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Databases that clients may use.
    pub databases: Vec<String>,
    /// Roles that may log in.
    pub users: Vec<User>,
    /// Maximum number of concurrent clients.
    pub max_clients: usize,
    /// The rules that determine the class of a transaction. If none matches, it has the last class of the settings.
    pub rules: Vec<Rule>,
}

/// The listener for the clients of one address.
pub struct Front {
    host: Rc<Host>,
    servers: Rc<Servers>,
    settings: FrontSettings,
    rules: Rc<[Rule]>,
    /// The key from which the verifiers of unknown users are derived.
    secret: [u8; 32],
    /// The clients with a session, by the key of their CancelRequests.
    sessions: RefCell<HashMap<CancelKey, Weak<Client>>>,
    client_count: Cell<usize>,
    stop: watch::Sender<bool>,
}

impl Front {
    /// Creates a front that does not accept clients yet.
    ///
    /// # Errors
    /// Returns an error if the system provides no random numbers.
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
            client_count: Cell::new(0),
            stop: watch::Sender::new(false),
        }))
    }

    /// Returns the number of connected clients.
    pub fn clients(&self) -> usize {
        self.client_count.get()
    }

    /// Stops accepting clients. Sessions end once they have no open transaction.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Accepts clients until [`Front::stop`] is called, and serves each in a local task. Clients above the limit get an
    /// error.
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
            if self.client_count.get() >= self.settings.max_clients + MAX_EXCESS_CLIENTS {
                continue; // closes the connection without an error
            }
            let front = self.clone();
            self.client_count.set(self.client_count.get() + 1);
            tokio::task::spawn_local(async move {
                front.serve_client(tcp).await;
                front.client_count.set(front.client_count.get() - 1);
            });
        }
    }

    async fn serve_client(self: &Rc<Self>, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true); // the socket also works without it
        let connection = NewConnection::new(tcp);
        let login = tokio::time::timeout(LOGIN_TIMEOUT, self.log_in(&connection)).await;
        match login.unwrap_or(Err(LoginError::Disconnected)) {
            Ok(None) | Err(LoginError::Disconnected) => {}
            Err(LoginError::Rejected(error)) => {
                error.put(&mut connection.output.borrow_mut());
                send_last_messages(&connection.output, &connection.tcp).await;
            }
            Ok(Some((key, identity))) => {
                let client = Client::new(connection.tcp, connection.input.into_inner());
                self.sessions.borrow_mut().insert(key, Rc::downgrade(&client));
                self.new_session(&client, identity).serve().await;
                self.sessions.borrow_mut().remove(&key);
                send_last_messages(&client.output, &client.tcp).await;
            }
        }
    }

    /// Logs a client in; returns its cancel key and its identity, or `None` if it sent a CancelRequest instead.
    async fn log_in(
        &self, connection: &NewConnection,
    ) -> Result<Option<(CancelKey, ClientIdentity)>, LoginError> {
        let Some(start) = self.receive_start(connection).await? else { return Ok(None) };
        if self.client_count.get() > self.settings.max_clients {
            return Err(ClientError::fatal("53300", "too many clients already").into());
        }
        connection.negotiate_version(&start).await?;
        let Some(user) = start.parameter("user").filter(|user| !user.is_empty()) else {
            return Err(ClientError::fatal("28000", "no user is named in the start-up packet").into());
        };
        connection.authenticate(self.verifier(user), &BASE64_STANDARD.encode(random_bytes::<18>()?)).await?;
        let database = start.parameter("database").unwrap_or(user);
        if !self.settings.databases.iter().any(|served| served == database) {
            let text = format!("database \"{database}\" is not served here");
            return Err(ClientError::fatal("3D000", text).into());
        }
        let key = connection.complete_login(self.servers.parameters()).await?;
        let application = start.parameter("application_name").unwrap_or_default();
        let identity =
            ClientIdentity { user: user.into(), database: database.into(), application: application.into() };
        Ok(Some((key, identity)))
    }

    /// Receives the client's start-up packet, after refusing encryption if the client requests it. Returns `None` after
    /// a CancelRequest, which is forwarded.
    async fn receive_start(&self, connection: &NewConnection) -> Result<Option<SessionStart>, LoginError> {
        loop {
            match connection.receive_opening().await? {
                Opening::Ssl | Opening::Gss => connection.refuse_encryption().await?,
                Opening::Cancel(key) => {
                    self.cancel(key).await;
                    return Ok(None);
                }
                Opening::Start { minor, parameters } => return Ok(Some(SessionStart { minor, parameters })),
            }
        }
    }

    /// Returns the verifier of a user. An unknown user gets one that no password matches, so that clients cannot find
    /// out which names exist.
    fn verifier(&self, user: &str) -> Verifier {
        let users = &self.settings.users;
        match users.iter().find(|known| known.name == user) {
            Some(known) => known.verifier.clone(),
            None => {
                Verifier::for_unknown_user(user, &self.secret, users.first().map(|first| &first.verifier))
            }
        }
    }

    /// Forwards a CancelRequest to the server that runs the session's current transaction, if there is one.
    async fn cancel(&self, key: CancelKey) {
        let client = self.sessions.borrow().get(&key).and_then(Weak::upgrade);
        let Some(target) = client.and_then(|client| client.cancel_target.get()) else { return };
        let Ok(Ok(tcp)) = tokio::time::timeout(FINAL_IO_TIMEOUT, TcpStream::connect(target.server)).await
        else {
            return;
        };
        let mut packet = BytesMut::new();
        packet.put_u32(16);
        packet.put_u32(CANCEL_REQUEST_CODE);
        packet.put_i32(target.key.process_id);
        packet.put_i32(target.key.secret);
        let _ = drain(&RefCell::new(packet), &tcp).await; // a CancelRequest is not answered
    }

    fn new_session(&self, client: &Rc<Client>, identity: ClientIdentity) -> Session {
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

/// Sends a client the last messages of its session, if there are any, and ends the connection.
async fn send_last_messages(output: &RefCell<BytesMut>, tcp: &TcpStream) {
    if output.borrow().is_empty() {
        return;
    }
    let sent = async {
        drain(output, tcp).await?;
        close_after_last_message(tcp).await
    };
    let _ = tokio::time::timeout(FINAL_IO_TIMEOUT, sent).await; // the connection ends whether or not they were read
}
