//! Operators' keys: each change is signed by one, and every node checks the signature by the public key in force.

use super::state::hex;
use super::state::unhex;
use ed25519_dalek::SECRET_KEY_LENGTH;
use ed25519_dalek::Signature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use std::fmt;
use std::str::FromStr;

/// An operator's private key; it never shows in output.
pub struct OperatorKey(SigningKey);

/// The text is not a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyError;

impl OperatorKey {
    /// Makes a key from fresh random bytes.
    pub fn from_seed(seed: [u8; SECRET_KEY_LENGTH]) -> Self {
        Self(SigningKey::from_bytes(&seed))
    }

    /// Gives the public key in hex, as it stands in declarations.
    pub fn public(&self) -> String {
        hex(self.0.verifying_key().as_bytes())
    }

    /// Gives the private key in hex, for the file that only its operator reads.
    pub fn secret(&self) -> String {
        hex(&self.0.to_bytes())
    }

    /// Signs the body of a change.
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

/// Tells whether `text` is a public key in hex.
pub fn is_public_key(text: &str) -> bool {
    public_key(text).is_some()
}

/// Tells whether `signature` over `body` is that of the operator with `public_key`. The strict check leaves no
/// signature on which two programs may disagree.
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
