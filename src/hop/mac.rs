//! Message authentication codes (HMAC-SHA-256) for messages between nodes, with the deployment's key.

use crate::settings::DeploymentKey;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// Returns the message authentication code of `message`.
///
/// # Panics
///
/// Never in practice: HMAC takes keys of any length.
pub fn code(key: &DeploymentKey, message: &[u8]) -> Vec<u8> {
    keyed(key, message).finalize().into_bytes().to_vec()
}

/// Returns whether `code` is the message authentication code of `message`. The comparison takes constant time.
pub fn is_valid(key: &DeploymentKey, message: &[u8], code: &[u8]) -> bool {
    keyed(key, message).verify_slice(code).is_ok()
}

fn keyed(key: &DeploymentKey, message: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(message);
    mac
}
