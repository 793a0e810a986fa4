//! Records of the claims streams, checked when they are read.

use super::IdempotencyKey;
use super::key_table::Fingerprint;
use super::stored_outcome::StoredOutcome;
use crate::border::generated::claims::ClaimsEntry;
use crate::border::generated::claims::ClaimsRecord;
use crate::outcome::Unknown;
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use bytes::Bytes;
use uuid::Uuid;

/// Version of the records that this program writes, and the newest that it reads.
pub(super) const VERSION: u32 = 1;

/// A record that this program does not understand, so that it can't tell who holds a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RecordError(pub(super) String);

/// A record of a claims stream.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// The process that wrote it.
    pub(super) incarnation: Uuid,
    /// Number of the record within the process and stream.
    pub(super) batch: u64,
    /// What it says, in order.
    pub(super) entries: Vec<Entry>,
}

/// One entry of a record.
#[derive(Clone, Debug)]
pub(super) enum Entry {
    /// A claim of a key.
    Claim {
        /// The key.
        key: IdempotencyKey,
        /// Number of the claim.
        claim: u64,
        /// The call.
        fingerprint: Fingerprint,
    },
    /// The call of a claim ended.
    Ended {
        /// The key.
        key: IdempotencyKey,
        /// Number of the claim.
        claim: u64,
        /// How it ended.
        stored: StoredOutcome,
    },
    /// A claim is given up.
    Released {
        /// The key.
        key: IdempotencyKey,
        /// Number of the claim.
        claim: u64,
    },
}

impl Entry {
    /// Number of the claim that the entry is about.
    pub(super) fn claim(&self) -> u64 {
        match self {
            Self::Claim { claim, .. }
            | Self::Ended { claim, .. }
            | Self::Released { claim, .. } => *claim,
        }
    }
}

/// Writes a record.
pub(super) fn encode(
    node: &str,
    incarnation: Uuid,
    batch: u64,
    entries: &[Entry],
) -> Result<String, RecordError> {
    let record = ClaimsRecord {
        batch,
        entries: entries.iter().map(raw).collect(),
        incarnation: incarnation.to_string(),
        node: node.to_owned(),
        v: VERSION,
    };
    serde_json::to_string(&record).map_err(|err| RecordError(err.to_string()))
}

/// Reads a record.
pub(super) fn decode(data: &str) -> Result<Record, RecordError> {
    let record: ClaimsRecord =
        serde_json::from_str(data).map_err(|err| RecordError(err.to_string()))?;
    if record.v > VERSION {
        return Err(RecordError(format!("version {}", record.v)));
    }
    let incarnation = Uuid::parse_str(&record.incarnation);
    let entries: Result<_, _> = record.entries.into_iter().map(checked).collect();
    Ok(Record {
        incarnation: incarnation.map_err(|err| RecordError(err.to_string()))?,
        batch: record.batch,
        entries: entries?,
    })
}

fn raw(entry: &Entry) -> ClaimsEntry {
    match entry {
        Entry::Claim {
            key,
            claim,
            fingerprint,
        } => ClaimsEntry::Claim {
            claim: *claim,
            key: key.to_string(),
            print: BASE64_URL_SAFE_NO_PAD.encode(fingerprint),
        },
        Entry::Ended { key, claim, stored } => match stored {
            StoredOutcome::Answered {
                status,
                content_type,
                body,
            } => ClaimsEntry::Answered {
                body: body
                    .as_ref()
                    .map(|body| BASE64_URL_SAFE_NO_PAD.encode(body)),
                claim: *claim,
                content_type: content_type.clone(),
                key: key.to_string(),
                status: *status,
            },
            StoredOutcome::Unknown(reason) => ClaimsEntry::Unknown {
                claim: *claim,
                key: key.to_string(),
                reason: reason.as_str().to_owned(),
            },
        },
        Entry::Released { key, claim } => ClaimsEntry::Released {
            claim: *claim,
            key: key.to_string(),
        },
    }
}

fn checked(entry: ClaimsEntry) -> Result<Entry, RecordError> {
    Ok(match entry {
        ClaimsEntry::Claim { claim, key, print } => Entry::Claim {
            key: key_of(&key)?,
            claim,
            fingerprint: bytes_of(&print)?
                .try_into()
                .map_err(|_| RecordError("fingerprint".to_owned()))?,
        },
        ClaimsEntry::Answered {
            body,
            claim,
            content_type,
            key,
            status,
        } => Entry::Ended {
            key: key_of(&key)?,
            claim,
            stored: StoredOutcome::Answered {
                status,
                content_type,
                body: body
                    .map(|body| bytes_of(&body))
                    .transpose()?
                    .map(Bytes::from),
            },
        },
        ClaimsEntry::Unknown { claim, key, reason } => Entry::Ended {
            key: key_of(&key)?,
            claim,
            // A reason that this version does not know keeps its outcome.
            stored: StoredOutcome::Unknown(
                Unknown::from_name(&reason).unwrap_or(Unknown::ConnectionLost),
            ),
        },
        ClaimsEntry::Released { claim, key } => Entry::Released {
            key: key_of(&key)?,
            claim,
        },
    })
}

fn key_of(text: &str) -> Result<IdempotencyKey, RecordError> {
    text.parse()
        .map_err(|_| RecordError(format!("key {text:?}")))
}

fn bytes_of(text: &str) -> Result<Vec<u8>, RecordError> {
    BASE64_URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|err| RecordError(err.to_string()))
}
