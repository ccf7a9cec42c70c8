//! Typed access to the values of one line.

use crate::error::WireError;
use lotusdeck_policy::{AttemptNo, Micros, Outcome, RequestId};
use serde_json::Value;

/// Request ids are 64-bit numbers in lower-case hexadecimal.
const REQUEST_ID_DIGITS: usize = 16;

/// The name and the values of one line.
pub(crate) struct Fields<'a> {
    /// The message's name.
    pub(crate) message: &'a str,
    /// The values after the name.
    pub(crate) values: &'a [Value],
}

impl<'a> Fields<'a> {
    /// Returns the error that the value at `index` is not as expected.
    pub(crate) fn unexpected(&self, index: usize, expected: &'static str) -> WireError {
        let got = self.values.get(index).cloned().unwrap_or(Value::Null);
        WireError::Value { message: self.message.to_owned(), index, expected, got }
    }

    pub(crate) fn text(&self, index: usize, expected: &'static str) -> Result<&'a str, WireError> {
        let text = self.values.get(index).and_then(Value::as_str);
        text.ok_or_else(|| self.unexpected(index, expected))
    }

    pub(crate) fn unsigned(&self, index: usize, expected: &'static str) -> Result<u64, WireError> {
        let number = self.values.get(index).and_then(Value::as_u64);
        number.ok_or_else(|| self.unexpected(index, expected))
    }

    pub(crate) fn flag(&self, index: usize, expected: &'static str) -> Result<bool, WireError> {
        let flag = self.values.get(index).and_then(Value::as_bool);
        flag.ok_or_else(|| self.unexpected(index, expected))
    }

    pub(crate) fn array(&self, index: usize, expected: &'static str) -> Result<&'a [Value], WireError> {
        let items = self.values.get(index).and_then(Value::as_array);
        items.map(Vec::as_slice).ok_or_else(|| self.unexpected(index, expected))
    }

    pub(crate) fn micros(&self, index: usize, expected: &'static str) -> Result<Micros, WireError> {
        self.unsigned(index, expected).map(Micros)
    }

    pub(crate) fn attempt(&self, index: usize) -> Result<AttemptNo, WireError> {
        Ok(AttemptNo(self.unsigned(index, "an attempt")? as u32))
    }

    pub(crate) fn request(&self, index: usize) -> Result<RequestId, WireError> {
        let text = self.text(index, "a request id of 16 hex digits")?;
        let is_lower_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        let number = if text.len() == REQUEST_ID_DIGITS && is_lower_hex {
            u64::from_str_radix(text, 16).ok()
        } else {
            None
        };
        number
            .map(RequestId)
            .ok_or_else(|| self.unexpected(index, "a request id of 16 lower-case hex digits"))
    }

    pub(crate) fn outcome(&self, index: usize) -> Result<Outcome, WireError> {
        const EXPECTED: &str = "an outcome code from 0 to 7";
        match self.unsigned(index, EXPECTED)? {
            0 => Ok(Outcome::Error),
            1 => Ok(Outcome::Success),
            2 => Ok(Outcome::Rejected),
            3 => Ok(Outcome::TimedOut),
            4 => Ok(Outcome::ConnectFailed),
            5 => Ok(Outcome::Reset),
            6 => Ok(Outcome::Cancelled),
            7 => Ok(Outcome::NeverSent),
            _ => Err(self.unexpected(index, EXPECTED)),
        }
    }
}
