//! Errors sent to clients ("Error and Notice Message Fields"; codes from "PostgreSQL Error Codes").

use crate::wire::put;
use bytes::BytesMut;
use lotusdeck_policy::Micros;

/// An error sent to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClientError {
    /// Whether the error ends the session.
    pub fatal: bool,
    /// The SQLSTATE.
    pub code: &'static str,
    pub message: String,
    pub detail: Option<String>,
}

impl ClientError {
    /// Creates an error that ends the session.
    pub(crate) fn fatal(code: &'static str, message: impl Into<String>) -> ClientError {
        ClientError { fatal: true, code, message: message.into(), detail: None }
    }

    /// Creates an error after which the session continues.
    pub(crate) fn error(code: &'static str, message: impl Into<String>) -> ClientError {
        ClientError { fatal: false, code, message: message.into(), detail: None }
    }

    /// Creates the error for a transaction that no server has capacity for: `too_many_connections`, as a full server
    /// reports it. `sent` is whether the transaction may have run on a server, which is possible only if it may be
    /// repeated.
    pub(crate) fn no_capacity(retry_after: Micros, sent: bool) -> ClientError {
        let effect = if sent { "It may have run, and may be repeated." } else { "Nothing was done." };
        let detail = Some(format!("Come again in {:.3} s. {effect}", retry_after.secs()));
        ClientError { detail, ..ClientError::error("53300", "no server has room at the moment") }
    }

    /// Appends the error as an ErrorResponse.
    pub(crate) fn put(&self, out: &mut BytesMut) {
        let severity = if self.fatal { "FATAL" } else { "ERROR" };
        let mut body = Vec::new();
        let fields = [(b'S', severity), (b'V', severity), (b'C', self.code), (b'M', &self.message)];
        for (field, text) in fields.into_iter().chain(self.detail.as_deref().map(|detail| (b'D', detail))) {
            body.push(field);
            body.extend(text.bytes().filter(|byte| *byte != 0));
            body.push(0);
        }
        body.push(0);
        put(out, b'E', &body);
    }
}
