//! SCRAM-SHA-256 towards clients (RFC 5802, RFC 7677), from verifiers as PostgreSQL stores them: no password is known
//! here. Sans-IO: one message goes in, one comes out.

use base64::prelude::{Engine, BASE64_STANDARD};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// The name of the mechanism.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// Why a client is not who it says, or says it badly.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScramError {
    /// A text that is none of the mechanism's.
    #[error("{0}")]
    Malformed(&'static str),
    /// The proof does not fit: a wrong password, or no such user.
    #[error("the proof does not fit")]
    Wrong,
}

/// What is stored of a password: `SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY`, base64 for the last three.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    iterations: u32,
    salt: Vec<u8>,
    stored: [u8; 32],
    server: [u8; 32],
}

impl std::fmt::Debug for Verifier {
    /// Its keys are nobody's to read.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Verifier({} iterations)", self.iterations)
    }
}

fn mac(key: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    // A key of any length is taken.
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("any length");
    parts.iter().for_each(|p| mac.update(p));
    mac.finalize().into_bytes().into()
}

impl Verifier {
    /// Reads one as it is stored.
    ///
    /// # Errors
    /// A text of another form.
    pub fn parse(text: &str) -> Result<Verifier, ScramError> {
        const FORM: ScramError =
            ScramError::Malformed("expected SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY");
        let rest = text.strip_prefix("SCRAM-SHA-256$").ok_or(FORM)?;
        let (first, keys) = rest.split_once('$').ok_or(FORM)?;
        let (iterations, salt) = first.split_once(':').ok_or(FORM)?;
        let (stored, server) = keys.split_once(':').ok_or(FORM)?;
        let key = |text: &str| -> Result<[u8; 32], ScramError> {
            BASE64_STANDARD.decode(text).ok().and_then(|k| k.try_into().ok()).ok_or(FORM)
        };
        let iterations = iterations.parse().ok().filter(|n| *n > 0).ok_or(FORM)?;
        let salt = BASE64_STANDARD.decode(salt).ok().filter(|s| !s.is_empty()).ok_or(FORM)?;
        Ok(Verifier { iterations, salt, stored: key(stored)?, server: key(server)? })
    }

    /// As it is stored: what [`Verifier::parse`] reads.
    pub fn stored(&self) -> String {
        let text = |bytes: &[u8]| BASE64_STANDARD.encode(bytes);
        let (salt, stored, server) = (text(&self.salt), text(&self.stored), text(&self.server));
        format!("SCRAM-SHA-256${}:{salt}${stored}:{server}", self.iterations)
    }

    /// One that no password fits, for a user who does not exist: the same salt for the same name, and looks like the
    /// one of somebody who does, so that names cannot be told apart by it. `secret` is the process's own.
    pub fn of_nobody(name: &str, secret: &[u8; 32], like: Option<&Verifier>) -> Verifier {
        let (iterations, length) = like.map_or((4096, 16), |v| (v.iterations, v.salt.len().min(32)));
        let salt = mac(secret, &[b"salt", name.as_bytes()])[..length].to_vec();
        let key = |what: &[u8]| mac(secret, &[what, name.as_bytes()]);
        Verifier { iterations, salt, stored: key(b"stored"), server: key(b"server") }
    }

    /// Of a password, as a client tool would store it.
    pub fn of_password(password: &[u8], salt: &[u8], iterations: u32) -> Verifier {
        let mut block = mac(password, &[salt, &1u32.to_be_bytes()]);
        let mut salted = block;
        for _ in 1..iterations {
            block = mac(password, &[&block]);
            salted.iter_mut().zip(block).for_each(|(s, b)| *s ^= b);
        }
        let stored = Sha256::digest(mac(&salted, &[b"Client Key"])).into();
        Verifier { iterations, salt: salt.to_vec(), stored, server: mac(&salted, &[b"Server Key"]) }
    }
}

/// An exchange that waits for the client's last word.
pub struct Exchange {
    verifier: Verifier,
    /// `n=...,r=...` of the client and the server's answer to it, joined as they are signed.
    said: String,
    /// The base64 of the client's header for channel binding.
    binding: String,
    nonce: String,
}

impl Exchange {
    /// Answers the client's first message; `nonce` is random text of the server's own.
    ///
    /// # Errors
    /// A message of another form, or one that demands what is not there.
    pub fn begin(verifier: Verifier, first: &str, nonce: &str) -> Result<(Exchange, String), ScramError> {
        let form = ScramError::Malformed("the first message is no n,,n=NAME,r=NONCE");
        // No channel is bound: `n`, or `y` where the client thinks that the server cannot.
        let bare = first.strip_prefix("n,,").or_else(|| first.strip_prefix("y,,"));
        let bare = bare.ok_or(ScramError::Malformed("channel binding is not offered"))?;
        let mut parts = bare.split(',');
        let (Some(_), Some(own)) = (
            parts.next().filter(|p| p.starts_with("n=")),
            parts.next().and_then(|p| p.strip_prefix("r=")).filter(|r| !r.is_empty()),
        ) else {
            return Err(form);
        };
        let nonce = format!("{own}{nonce}");
        let salt = BASE64_STANDARD.encode(&verifier.salt);
        let answer = format!("r={nonce},s={salt},i={}", verifier.iterations);
        let said = format!("{bare},{answer}");
        let binding = BASE64_STANDARD.encode(&first[..3]);
        Ok((Exchange { verifier, said, binding, nonce }, answer))
    }

    /// Judges the client's last message; what to answer it.
    ///
    /// # Errors
    /// A message of another form, or a proof that does not fit.
    pub fn end(self, last: &str) -> Result<String, ScramError> {
        let form = ScramError::Malformed("the last message is no c=BINDING,r=NONCE,p=PROOF");
        let (plain, proof) = last.rsplit_once(",p=").ok_or(form.clone())?;
        let due = format!("c={},r={}", self.binding, self.nonce);
        if !plain.starts_with(&due) || plain[due.len()..].bytes().next().is_some_and(|b| b != b',') {
            return Err(form);
        }
        let proof: [u8; 32] =
            BASE64_STANDARD.decode(proof).ok().and_then(|p| p.try_into().ok()).ok_or(form)?;
        let signed = [self.said.as_bytes(), b",", plain.as_bytes()];
        let mut key = mac(&self.verifier.stored, &signed);
        key.iter_mut().zip(proof).for_each(|(k, p)| *k ^= p);
        let stored: [u8; 32] = Sha256::digest(key).into();
        // All bytes are looked at, whatever the first ones are.
        let differs = stored.iter().zip(self.verifier.stored).fold(0, |d, (a, b)| d | (a ^ b));
        match differs {
            0 => Ok(format!("v={}", BASE64_STANDARD.encode(mac(&self.verifier.server, &signed)))),
            _ => Err(ScramError::Wrong),
        }
    }
}

#[cfg(test)]
mod tests;
