//! A model of a server, which the sessions of the model share or have to themselves.

use super::MAX_MESSAGE_BYTES;
use crate::wire::{message, put};
use bytes::BytesMut;
use std::collections::HashMap;

/// A text that a server cannot parse.
pub(super) const INVALID_TEXT: &str = "invalid";
/// A text that copies rows from the client.
pub(super) const COPY_TEXT: &str = "copy";

/// A server as PostgreSQL's documentation describes it ("Message Flow"), without transaction blocks.
#[derive(Default)]
pub(super) struct ModelServer {
    by_name: HashMap<Vec<u8>, Vec<u8>>,
    /// The text of the unnamed portal, which ends with the part of the pipeline.
    portal: Option<Vec<u8>>,
    skips_to_sync: bool,
    /// The message that began the COPY which is in progress.
    copying_since: Option<u8>,
}

impl ModelServer {
    /// Answers a message.
    pub(super) fn answer(&mut self, kind: u8, body: &[u8], out: &mut BytesMut) {
        if self.skips_to_sync && kind != b'S' {
            return;
        }
        if let Some(begun_by) = self.copying_since {
            return self.answer_in_copy(kind, begun_by, out);
        }
        let texts: Vec<&[u8]> = body.split(|byte| *byte == 0).collect();
        match kind {
            b'P' => {
                if texts[0].is_empty() {
                    self.by_name.remove(texts[0]); // also where the new text is invalid
                }
                if texts[1] == INVALID_TEXT.as_bytes() || self.by_name.contains_key(texts[0]) {
                    return self.fail(out);
                }
                self.by_name.insert(texts[0].to_vec(), texts[1].to_vec());
                put(out, b'1', b"");
            }
            b'B' => match self.by_name.get(texts[1]) {
                Some(text) => {
                    self.portal = Some(text.clone());
                    put(out, b'2', b"");
                }
                None => self.fail(out),
            },
            b'D' => match self.by_name.get(&texts[0][1..]) {
                Some(text) => put(out, b'T', text),
                None => self.fail(out),
            },
            b'E' => match &self.portal {
                Some(text) if text == COPY_TEXT.as_bytes() => self.begin_copy(kind, out),
                Some(text) => {
                    put(out, b'D', text);
                    put(out, b'C', b"\0");
                }
                None => self.fail(out),
            },
            b'C' => {
                self.by_name.remove(&texts[0][1..]);
                put(out, b'3', b"");
            }
            b'Q' => {
                self.by_name.remove(b"".as_ref());
                self.portal = None;
                if texts[0] == COPY_TEXT.as_bytes() {
                    return self.begin_copy(kind, out);
                }
                put(out, b'D', texts[0]);
                put(out, b'C', b"\0");
                put(out, b'Z', b"I");
            }
            b'd' | b'c' | b'f' | b'H' => {}
            _ => {
                self.skips_to_sync = false;
                self.portal = None;
                put(out, b'Z', b"I");
            }
        }
    }

    fn begin_copy(&mut self, kind: u8, out: &mut BytesMut) {
        self.copying_since = Some(kind);
        put(out, b'G', &[0; 3]);
    }

    /// In copy-in mode Flush and Sync are ignored, and any other message than those of a COPY is an error.
    fn answer_in_copy(&mut self, kind: u8, begun_by: u8, out: &mut BytesMut) {
        if matches!(kind, b'd' | b'H' | b'S') {
            return;
        }
        self.copying_since = None;
        let is_done = kind == b'c';
        put(out, if is_done { b'C' } else { b'E' }, b"\0");
        if begun_by == b'Q' {
            put(out, b'Z', b"I");
        } else if !is_done {
            self.skips_to_sync = true;
        }
    }

    fn fail(&mut self, out: &mut BytesMut) {
        self.skips_to_sync = true;
        put(out, b'E', b"\0");
    }

    /// Returns how many ReadyForQuery messages a client waits for that has seen all answers of the server and has sent
    /// these messages since.
    pub(super) fn owed_ready(&self, mut unanswered: BytesMut) -> u32 {
        let mut copying_since = self.copying_since;
        let mut owed = 0;
        while let Some(next) = message(&mut unanswered, MAX_MESSAGE_BYTES).unwrap() {
            match (copying_since, next.kind) {
                (Some(_), b'd' | b'H' | b'S') => {}
                (Some(begun_by), _) => {
                    copying_since = None;
                    owed += u32::from(begun_by == b'Q');
                }
                (None, kind) => owed += u32::from(matches!(kind, b'Q' | b'S')),
            }
        }
        owed + u32::from(copying_since == Some(b'Q'))
    }
}
