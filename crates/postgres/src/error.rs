//! Errors as clients are told them ("Error and Notice Message Fields"; codes by "PostgreSQL Error Codes").

use crate::wire::put;
use bytes::BytesMut;
use lotusdeck_policy::Micros;

/// One error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClientError {
    /// The session ends with it.
    pub fatal: bool,
    pub code: &'static str,
    pub message: String,
    pub detail: Option<String>,
}

impl ClientError {
    pub(crate) fn fatal(code: &'static str, message: impl Into<String>) -> ClientError {
        ClientError { fatal: true, code, message: message.into(), detail: None }
    }

    pub(crate) fn error(code: &'static str, message: impl Into<String>) -> ClientError {
        ClientError { fatal: false, code, message: message.into(), detail: None }
    }

    /// No server can take it now: `too_many_connections`, as a full server says it.
    /// One that is declared safe to repeat may have been sent all the same.
    pub(crate) fn refused(after: Micros, sent: bool) -> ClientError {
        let done = if sent { "It may have run, and may be repeated." } else { "Nothing was done." };
        let detail = Some(format!("Come again in {:.3} s. {done}", after.secs()));
        ClientError { detail, ..ClientError::error("53300", "no server has room at the moment") }
    }

    pub(crate) fn put(&self, out: &mut BytesMut) {
        let severity = if self.fatal { "FATAL" } else { "ERROR" };
        let mut body = Vec::new();
        let fields = [(b'S', severity), (b'V', severity), (b'C', self.code), (b'M', &self.message)];
        for (field, text) in fields.into_iter().chain(self.detail.as_deref().map(|d| (b'D', d))) {
            body.push(field);
            body.extend(text.bytes().filter(|b| *b != 0));
            body.push(0);
        }
        body.push(0);
        put(out, b'E', &body);
    }
}
