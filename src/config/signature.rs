//! Operators' Ed25519 keys. An operator signs each change, and every node verifies the signature with the operator's
//! public key in the configuration in force.

use super::state::hex;
use super::state::unhex;
use ed25519_dalek::SECRET_KEY_LENGTH;
use ed25519_dalek::Signature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use std::fmt;
use std::str::FromStr;

/// An operator's private key. Its `Debug` output does not contain the key.
pub struct OperatorKey(SigningKey);

/// The error returned when a text is not a key in hex.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyError;

impl OperatorKey {
    /// Creates a key from `seed`, which must be fresh random bytes.
    pub fn from_seed(seed: [u8; SECRET_KEY_LENGTH]) -> Self {
        Self(SigningKey::from_bytes(&seed))
    }

    /// Returns the public key in hex, as written in declarations.
    pub fn public(&self) -> String {
        hex(self.0.verifying_key().as_bytes())
    }

    /// Returns the private key in hex, for the key file that only the operator may read.
    pub fn secret(&self) -> String {
        hex(&self.0.to_bytes())
    }

    /// Returns the signature of `body`, the text of a change, in hex.
    pub fn sign(&self, body: &str) -> String {
        hex(&self.0.sign(body.as_bytes()).to_bytes())
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorKey(..)")
    }
}

impl FromStr for OperatorKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = unhex(text.trim()).ok_or(KeyError)?;
        let seed = bytes.try_into().map_err(|_| KeyError)?;
        Ok(Self::from_seed(seed))
    }
}

/// Returns whether `text` is a public key in hex.
pub fn is_public_key(text: &str) -> bool {
    public_key(text).is_some()
}

/// Returns whether `signature` over `body` was made with the private key that belongs to the public key `key`.
///
/// Uses strict verification: it rejects the malformed keys and signatures that some Ed25519 implementations accept and
/// others reject, so that all nodes agree on every signature.
pub(super) fn is_valid(key: &str, body: &str, signature: &str) -> bool {
    let verified = public_key(key).zip(signature_of(signature));
    verified.is_some_and(|(key, signature)| key.verify_strict(body.as_bytes(), &signature).is_ok())
}

fn public_key(text: &str) -> Option<VerifyingKey> {
    let bytes = unhex(text)?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}

fn signature_of(text: &str) -> Option<Signature> {
    Signature::from_slice(&unhex(text)?).ok()
}
