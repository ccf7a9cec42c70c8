//! The server side of SCRAM-SHA-256 (RFC 5802, RFC 7677), with the verifiers that PostgreSQL stores instead of
//! passwords. Sans-IO: takes the client's messages and returns the answers.

use base64::prelude::{Engine, BASE64_STANDARD};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// A SHA-256 hash, or a key of the same length.
type Sha256Hash = [u8; 32];
/// Iterations of an unknown user's verifier if no users are configured.
const DEFAULT_ITERATIONS: u32 = 4096;
/// Salt length of an unknown user's verifier if no users are configured, bytes.
const DEFAULT_SALT_BYTES: usize = 16;

/// The name of the mechanism.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// Why a client is not authenticated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScramError {
    /// A message or a stored verifier is malformed.
    #[error("{0}")]
    Malformed(&'static str),
    /// The proof does not match: the password is wrong, or the user does not exist.
    #[error("the proof does not fit")]
    ProofMismatch,
}

/// The stored form of a password: `SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY`, base64 for the last three.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    iterations: u32,
    salt: Vec<u8>,
    stored_key: Sha256Hash,
    server_key: Sha256Hash,
}

impl std::fmt::Debug for Verifier {
    /// Omits the keys, which must not be logged.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Verifier({} iterations)", self.iterations)
    }
}

#[allow(clippy::expect_used, reason = "HMAC accepts keys of any length")]
fn hmac_sha256(key: &[u8], parts: &[&[u8]]) -> Sha256Hash {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC accepts keys of any length");
    parts.iter().for_each(|part| mac.update(part));
    mac.finalize().into_bytes().into()
}

impl Verifier {
    /// Parses the stored form.
    ///
    /// # Errors
    /// Returns an error if the text is malformed.
    pub fn parse(text: &str) -> Result<Verifier, ScramError> {
        const MALFORMED: ScramError =
            ScramError::Malformed("expected SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY");
        let rest = text.strip_prefix("SCRAM-SHA-256$").ok_or(MALFORMED)?;
        let (first, keys) = rest.split_once('$').ok_or(MALFORMED)?;
        let (iterations, salt) = first.split_once(':').ok_or(MALFORMED)?;
        let (stored, server) = keys.split_once(':').ok_or(MALFORMED)?;
        let key = |text: &str| -> Result<Sha256Hash, ScramError> {
            BASE64_STANDARD.decode(text).ok().and_then(|k| k.try_into().ok()).ok_or(MALFORMED)
        };
        let iterations = iterations.parse().ok().filter(|n| *n > 0).ok_or(MALFORMED)?;
        let salt = BASE64_STANDARD.decode(salt).ok().filter(|s| !s.is_empty()).ok_or(MALFORMED)?;
        Ok(Verifier { iterations, salt, stored_key: key(stored)?, server_key: key(server)? })
    }

    /// Returns the stored form, which [`Verifier::parse`] parses.
    pub fn stored(&self) -> String {
        let text = |bytes: &[u8]| BASE64_STANDARD.encode(bytes);
        let (salt, stored, server) = (text(&self.salt), text(&self.stored_key), text(&self.server_key));
        format!("SCRAM-SHA-256${}:{salt}${stored}:{server}", self.iterations)
    }

    /// Creates a verifier for a user who does not exist, which no password matches. So that clients cannot find out
    /// which names exist, the same name always gets the same salt, and the other parameters are those of `template`, the
    /// verifier of an existing user. `secret` is known to this process only.
    pub fn for_unknown_user(name: &str, secret: &[u8; 32], template: Option<&Verifier>) -> Verifier {
        let (iterations, length) = template.map_or((DEFAULT_ITERATIONS, DEFAULT_SALT_BYTES), |verifier| {
            (verifier.iterations, verifier.salt.len().min(32))
        });
        let salt = hmac_sha256(secret, &[b"salt", name.as_bytes()])[..length].to_vec();
        let key = |purpose: &[u8]| hmac_sha256(secret, &[purpose, name.as_bytes()]);
        Verifier { iterations, salt, stored_key: key(b"stored"), server_key: key(b"server") }
    }

    /// Computes the verifier of a password.
    pub fn from_password(password: &[u8], salt: &[u8], iterations: u32) -> Verifier {
        let mut block = hmac_sha256(password, &[salt, &1u32.to_be_bytes()]);
        let mut salted = block;
        for _ in 1..iterations {
            block = hmac_sha256(password, &[&block]);
            salted.iter_mut().zip(block).for_each(|(salted, byte)| *salted ^= byte);
        }
        let stored_key = Sha256::digest(hmac_sha256(&salted, &[b"Client Key"])).into();
        let server_key = hmac_sha256(&salted, &[b"Server Key"]);
        Verifier { iterations, salt: salt.to_vec(), stored_key, server_key }
    }
}

/// An exchange that waits for the client's last message.
pub struct Exchange {
    verifier: Verifier,
    /// The first part of the text that is signed: the client's first message without its header, and the server's
    /// answer.
    auth_message: String,
    /// The client's header for channel binding, in base64.
    channel_binding: String,
    nonce: String,
}

impl Exchange {
    /// Begins an exchange with the client's first message; returns it with the answer. `nonce` is the server's part
    /// of the nonce, a random text.
    ///
    /// # Errors
    /// Returns an error if the message is malformed or requests channel binding.
    pub fn begin(verifier: Verifier, first: &str, nonce: &str) -> Result<(Exchange, String), ScramError> {
        let malformed = ScramError::Malformed("the first message is no n,,n=NAME,r=NONCE");
        // Without channel binding: `n`, or `y` if the client supports it but assumes that the server does not.
        let bare = first.strip_prefix("n,,").or_else(|| first.strip_prefix("y,,"));
        let bare = bare.ok_or(ScramError::Malformed("channel binding is not offered"))?;
        let mut parts = bare.split(',');
        let (Some(_), Some(client_nonce)) = (
            parts.next().filter(|p| p.starts_with("n=")),
            parts.next().and_then(|p| p.strip_prefix("r=")).filter(|r| !r.is_empty()),
        ) else {
            return Err(malformed);
        };
        let nonce = format!("{client_nonce}{nonce}");
        let salt = BASE64_STANDARD.encode(&verifier.salt);
        let answer = format!("r={nonce},s={salt},i={}", verifier.iterations);
        let auth_message = format!("{bare},{answer}");
        let channel_binding = BASE64_STANDARD.encode(&first[..3]);
        Ok((Exchange { verifier, auth_message, channel_binding, nonce }, answer))
    }

    /// Verifies the client's last message; returns the answer.
    ///
    /// # Errors
    /// Returns an error if the message is malformed or the proof does not match.
    pub fn end(self, last: &str) -> Result<String, ScramError> {
        let malformed = ScramError::Malformed("the last message is no c=BINDING,r=NONCE,p=PROOF");
        let (without_proof, proof) = last.rsplit_once(",p=").ok_or(malformed.clone())?;
        let expected = format!("c={},r={}", self.channel_binding, self.nonce);
        if !without_proof.starts_with(&expected)
            || without_proof[expected.len()..].bytes().next().is_some_and(|b| b != b',')
        {
            return Err(malformed);
        }
        let proof: Sha256Hash =
            BASE64_STANDARD.decode(proof).ok().and_then(|proof| proof.try_into().ok()).ok_or(malformed)?;
        let signed = [self.auth_message.as_bytes(), b",", without_proof.as_bytes()];
        let mut key = hmac_sha256(&self.verifier.stored_key, &signed);
        key.iter_mut().zip(proof).for_each(|(key, proof)| *key ^= proof);
        let stored: Sha256Hash = Sha256::digest(key).into();
        // Compares all bytes, so that the time does not reveal how many match.
        let difference = stored.iter().zip(self.verifier.stored_key).fold(0, |d, (a, b)| d | (a ^ b));
        match difference {
            0 => Ok(format!("v={}", BASE64_STANDARD.encode(hmac_sha256(&self.verifier.server_key, &signed)))),
            _ => Err(ScramError::ProofMismatch),
        }
    }
}

#[cfg(test)]
mod tests;
