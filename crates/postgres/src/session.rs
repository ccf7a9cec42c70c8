//! Client sessions: each transaction is submitted to the core as one request.

use crate::bridge::{Client, Transaction};
use crate::classes::{classify, is_repeatable, statement_text, ClientIdentity, Rule};
use crate::error::ClientError;
use crate::io::{drain, fill};
use crate::login::put_ready;
use crate::statements::SessionEnd;
use crate::track::ConnectionTracker;
use crate::upstream::Servers;
use crate::wire::{header, Header, HEADER_BYTES};
use bytes::{Buf, Bytes, BytesMut};
use lotusdeck_core::{to_duration, Answer, Host, RequestLabels};
use lotusdeck_policy::settings::Settings;
use lotusdeck_policy::{Arrival, ClassId, RequestId, SideEffects};
use std::rc::Rc;
use tokio::sync::watch;
use tracing::debug;

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

fn result_unknown() -> ClientError {
    ClientError::error("08007", "the server was lost: whether this was done is not known")
}

fn deadline_exceeded() -> ClientError {
    ClientError::error("57014", "its time was up before its answer came")
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

    /// Returns the error that the client gets for the core's answer; `None` if its transaction was served.
    fn error_for(&self, answer: &Answer) -> Option<ClientError> {
        let client = &self.client;
        let is_result_unknown = client.tracker.get().is_result_unknown();
        Some(match answer {
            Answer::Served(_) => return None,
            // The statement may be repeated, but the core makes no further attempt: report the loss of the server.
            Answer::Rejected(_) if client.server_lost.get() && is_result_unknown => result_unknown(),
            Answer::Rejected(after) => ClientError::no_capacity(*after, client.sent.get()),
            Answer::TimedOut => deadline_exceeded(),
            // The core cancelled the attempt shortly before the client's deadline.
            Answer::Failed if client.sent.get() && !client.server_lost.get() => deadline_exceeded(),
            Answer::Failed if is_result_unknown => result_unknown(),
            Answer::Failed => ClientError::error("08006", "the server was lost before anything was done"),
        })
    }

    /// Waits for the first message of a transaction, or for as much of it as is inspected. No server connection is
    /// reserved for a client that has not sent a request.
    async fn wait_for_transaction(&self) -> Result<(), SessionEnd> {
        loop {
            self.skip_rest().await?;
            match self.next_kind()? {
                Some(b'X') => return Err(SessionEnd::ClientLeft),
                // CopyData, CopyDone, CopyFail and Flush request nothing; they may follow a failed transaction.
                Some(b'd' | b'c' | b'f' | b'H') => self.skip_until(|_| true).await?,
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

    /// Sends the client the error of its failed transaction in place of the pending replies; returns whether the
    /// session continues.
    async fn report_error(&self, error: ClientError) -> bool {
        debug!(code = error.code, fatal = error.fatal, "transaction not served");
        if !self.client.to_client.borrow().is_at_boundary() {
            return false; // the client has received part of a message, which an error cannot follow
        }
        let tracker = self.client.tracker.get();
        let is_client_waiting =
            tracker.pending_ready() > 0 || tracker.needs_sync() || !self.client.sent.get();
        if error.fatal || !is_client_waiting {
            ClientError { fatal: true, ..error }.put(&mut self.client.output.borrow_mut());
            // To a client that waits for no reply, a lost transaction can be reported only by ending its session.
            return false;
        }
        error.put(&mut self.client.output.borrow_mut());
        // The client may wait for the error before it sends more messages.
        if drain(&self.client.output, &self.client.tcp).await.is_err() {
            return false;
        }
        // Each pending ReadyForQuery is sent. If none is pending, or a Sync is missing, the client expects one only
        // after its next Query, FunctionCall or Sync.
        let is_end = |kind| matches!(kind, b'Q' | b'F' | b'S');
        if (tracker.pending_ready() == 0 || tracker.needs_sync()) && self.skip_until(is_end).await.is_err() {
            return false;
        }
        put_ready(&mut self.client.output.borrow_mut());
        // Each pending part of a pipeline gets the error: a ReadyForQuery alone would mean an empty result.
        for _ in 1..tracker.pending_ready() {
            error.put(&mut self.client.output.borrow_mut());
            put_ready(&mut self.client.output.borrow_mut());
        }
        self.client.tracker.set(ConnectionTracker::default());
        drain(&self.client.output, &self.client.tcp).await.is_ok()
    }

    /// Skips the rest of a partially forwarded message.
    async fn skip_rest(&self) -> Result<(), SessionEnd> {
        while !self.client.to_server.borrow().is_at_boundary() {
            let (mut input, mut discarded) = (self.client.input.take(), BytesMut::new());
            let forwarded =
                self.client.to_server.borrow_mut().forward(&mut input, &mut discarded, |_, _| false);
            self.client.input.replace(input);
            forwarded?;
            if !self.client.to_server.borrow().is_at_boundary() {
                self.receive_more().await?;
            }
        }
        Ok(())
    }

    /// Skips all messages up to and including the first one for which `is_end` returns true.
    async fn skip_until(&self, is_end: impl Fn(u8) -> bool) -> Result<(), SessionEnd> {
        loop {
            self.skip_rest().await?;
            let next_header = header(&self.client.input.borrow())?;
            let Some(Header { kind, length }) = next_header else {
                self.receive_more().await?;
                continue;
            };
            if kind == b'X' {
                return Err(SessionEnd::ClientLeft);
            }
            self.client.input.borrow_mut().advance(HEADER_BYTES);
            self.client.to_server.borrow_mut().continue_message(length);
            if is_end(kind) {
                return self.skip_rest().await;
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
