//! Client sessions: each transaction is submitted to the core as one request.

mod failure;
mod skip;

use crate::classes::{classify, is_repeatable, statement_text, ClientIdentity, Rule};
use crate::client::Client;
use crate::error::ClientError;
use crate::io::fill;
use crate::statements::SessionEnd;
use crate::transaction::Transaction;
use crate::upstream::Servers;
use crate::wire::{header, Header, HEADER_BYTES};
use bytes::Bytes;
use lotusdeck_core::{to_duration, Answer, Host, RequestLabels};
use lotusdeck_policy::settings::Settings;
use lotusdeck_policy::{Arrival, ClassId, RequestId, SideEffects};
use std::rc::Rc;
use tokio::sync::watch;

/// Maximum length of a message that may be sent again, without its header, bytes.
const MAX_REPLAY_BYTES: usize = 64 * 1024;

/// The session of a client that has logged in.
pub(crate) struct Session {
    pub(crate) host: Rc<Host>,
    pub(crate) servers: Rc<Servers>,
    pub(crate) rules: Rc<[Rule]>,
    pub(crate) client: Rc<Client>,
    pub(crate) identity: ClientIdentity,
    /// Whether the front is stopping.
    pub(crate) stop: watch::Receiver<bool>,
}

/// The class of a transaction, and its first message if that may be sent again.
struct Classified {
    class: ClassId,
    replay: Option<Bytes>,
}

impl Session {
    /// Serves the client's transactions until the session ends.
    pub(crate) async fn serve(&self) {
        let client = &self.client;
        let mut stop = self.stop.clone();
        loop {
            let waited = tokio::select! {
                waited = self.wait_for_transaction() => waited,
                _ = stop.wait_for(|stop| *stop), if client.input.borrow().is_empty() => {
                    let text = "this proxy stops: connect again";
                    ClientError::fatal("57P01", text).put(&mut client.output.borrow_mut());
                    return;
                }
            };
            let answer = match waited {
                Ok(()) => self.run_transaction().await,
                Err(reason) => {
                    client.session_end.set(Some(reason));
                    Answer::Failed
                }
            };
            client.cancel_target.set(None);
            let error = match client.session_end.get() {
                Some(SessionEnd::ClientLeft) => return,
                Some(SessionEnd::InvalidMessage) => {
                    ClientError::fatal("08P01", "a message of an impossible length")
                }
                Some(SessionEnd::LimitExceeded) => ClientError::fatal(
                    "54000",
                    "statements of a session are bounded: 1 MB each, 8 MB together, 100,000 messages ahead",
                ),
                None => match self.error_for(&answer) {
                    Some(error) => error,
                    None => continue,
                },
            };
            if !self.report_error(error).await {
                return;
            }
        }
    }

    /// Waits for the first message of a transaction, or for as much of it as is inspected. No server connection is
    /// reserved for a client that has not sent a request.
    async fn wait_for_transaction(&self) -> Result<(), SessionEnd> {
        loop {
            self.skip_rest().await?;
            match self.next_kind()? {
                Some(b'X') => return Err(SessionEnd::ClientLeft),
                // CopyData, CopyDone, CopyFail and Flush request nothing; they may follow a failed transaction.
                Some(b'd' | b'c' | b'f' | b'H') => self.skip_message().await?,
                Some(_) => return Ok(()),
                None => self.receive_more().await?,
            }
        }
    }

    /// Returns the type of the next message, once as much of the message has arrived as is inspected.
    fn next_kind(&self) -> Result<Option<u8>, SessionEnd> {
        let input = self.client.input.borrow();
        let header = header(&input)?;
        let is_inspectable =
            |header: &Header| input.len() >= HEADER_BYTES + header.length.min(MAX_REPLAY_BYTES);
        Ok(header.filter(is_inspectable).map(|header| header.kind))
    }

    /// Classifies the transaction by its first message.
    fn classify(&self, settings: &Settings) -> Classified {
        let input = self.client.input.borrow();
        let header = header(&input).ok().flatten();
        let message = header.and_then(|header| {
            let body = input.get(HEADER_BYTES..HEADER_BYTES + header.length)?;
            Some((header, body))
        });
        let text = message.and_then(|(header, body)| statement_text(header.kind, body));
        let default = ClassId(settings.config.classes.len().saturating_sub(1));
        let class = classify(&self.rules, &self.identity, text, default);
        let has_no_side_effects = settings.config.classes[class.0].side_effects == SideEffects::None;
        let may_replay = |(header, body): &(Header, &[u8])| {
            has_no_side_effects && header.length <= MAX_REPLAY_BYTES && is_repeatable(header.kind, body)
        };
        let replay = message.filter(may_replay);
        let replay = replay.map(|(header, _)| Bytes::copy_from_slice(&input[..HEADER_BYTES + header.length]));
        Classified { class, replay }
    }

    /// Submits one transaction to the core and waits for the answer.
    async fn run_transaction(&self) -> Answer {
        let settings = self.host.settings();
        let Classified { class, replay } = self.classify(&settings);
        self.client.begin_transaction(replay);
        let side_effects = settings.config.classes[class.0].side_effects;
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
        let exchange = Rc::new(Transaction { client: self.client.clone(), servers: self.servers.clone() });
        let labels = || RequestLabels { id: String::new(), class: "transaction".into(), key: String::new() };
        let (id, mut answer) = self.host.submit(arrival, exchange, side_effects, labels);
        let deadline = tokio::time::sleep(to_duration(time_left));
        tokio::pin!(deadline);
        let mut has_expired = false;
        loop {
            tokio::select! {
                received = &mut answer => return received.unwrap_or(Answer::Failed),
                _ = self.client.ended.notified() => {
                    self.host.client_disconnected(id);
                    return Answer::Failed;
                }
                _ = &mut deadline, if !has_expired => {
                    has_expired = true;
                    self.host.deadline_expired(id);
                }
            }
        }
    }

    /// Waits for more bytes from the client.
    async fn receive_more(&self) -> Result<(), SessionEnd> {
        match fill(&self.client.tcp, &self.client.input).await {
            Ok(1..) => Ok(()),
            _ => Err(SessionEnd::ClientLeft),
        }
    }
}
