//! An operator identity that signs configuration changes and builds their records.

use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;

use crate::wire::config;
use crate::wire::config::Base;
use crate::wire::config::Change;
use crate::wire::config::ConfigRecord;
use crate::wire::config::Object;

/// Format version of the records that the bench writes.
const RECORD_VERSION: u32 = 1;
/// Length of a private key in bytes.
const KEY_BYTES: usize = 32;

/// An operator with its private key.
#[derive(Clone)]
pub struct Operator {
    name: String,
    secret: String,
    key: SigningKey,
}

impl Operator {
    /// Creates an operator from its private key `secret`, which has 64 hex digits.
    pub fn new(name: &str, secret: &str) -> Operator {
        let mut seed = [0; KEY_BYTES];
        for (byte, pair) in seed.iter_mut().zip(secret.as_bytes().chunks_exact(2)) {
            let digit = |digit: u8| char::from(digit).to_digit(16).unwrap_or_default() as u8;
            *byte = digit(pair[0]) << 4 | digit(pair[1]);
        }
        Operator {
            name: name.to_owned(),
            secret: secret.to_owned(),
            key: SigningKey::from_bytes(&seed),
        }
    }

    /// Returns the name of the operator.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the private key in hex.
    pub fn secret(&self) -> &str {
        &self.secret
    }

    /// Returns the configuration object that declares the operator.
    pub fn object(&self) -> Object {
        Object::Operator {
            operator: config::Operator {
                name: self.name.clone(),
                public_key: hex(self.key.verifying_key().as_bytes()),
            },
        }
    }

    /// Signs a change and returns its record as JSON.
    pub fn record(&self, change: &Change) -> String {
        let body = serde_json::to_string(change).expect("a change has only text keys");
        let record = ConfigRecord::Change {
            signature: Some(hex(&self.key.sign(body.as_bytes()).to_bytes())),
            body,
            v: RECORD_VERSION,
        };
        serde_json::to_string(&record).expect("a record has only text keys")
    }
}

/// Returns the base of an object that a change writes. `version` is the version that the change was made from, or
/// `None` for a new object.
pub fn base(object: &Object, version: Option<u64>) -> Base {
    let (kind, name) = match object {
        Object::Backend { backend } => ("backend", &backend.name),
        Object::Model { model } => ("model", &model.name),
        Object::Operator { operator } => ("operator", &operator.name),
        Object::Service { service } => ("service", &service.name),
        Object::Team { team } => ("team", &team.name),
    };
    Base {
        kind: kind.to_owned(),
        name: name.clone(),
        version,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
