//! Encodes and decodes the records of the claims streams.

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

/// Version of the records that this program writes, and the highest version that it reads.
pub(super) const VERSION: u32 = 1;

/// Error in a record. Without the record's entries this program can't determine which claim holds a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RecordError(pub(super) String);

/// A record of a claims stream.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Incarnation of the process that wrote the record.
    pub(super) incarnation: Uuid,
    /// Number of the record within the incarnation and stream.
    pub(super) batch: u64,
    /// Entries of the record, in the order in which they apply.
    pub(super) entries: Vec<Entry>,
}

/// One entry of a record.
#[derive(Clone, Debug)]
pub(super) enum Entry {
    /// A process claims a key.
    Claim {
        /// The key.
        key: IdempotencyKey,
        /// Number of the claim.
        claim: u64,
        /// Fingerprint of the call.
        fingerprint: Fingerprint,
    },
    /// The call of the holding claim ended.
    Ended {
        /// The key.
        key: IdempotencyKey,
        /// Number of the claim.
        claim: u64,
        /// Outcome of the call.
        stored: StoredOutcome,
    },
    /// A claim is given up, so that the key can be claimed again.
    Released {
        /// The key.
        key: IdempotencyKey,
        /// Number of the claim.
        claim: u64,
    },
}

impl Entry {
    /// Returns the number of the claim to which the entry belongs.
    pub(super) fn claim(&self) -> u64 {
        match self {
            Self::Claim { claim, .. }
            | Self::Ended { claim, .. }
            | Self::Released { claim, .. } => *claim,
        }
    }
}

/// Encodes a record as JSON.
pub(super) fn encode(
    node: &str,
    incarnation: Uuid,
    batch: u64,
    entries: &[Entry],
) -> Result<String, RecordError> {
    let record = ClaimsRecord {
        batch,
        entries: entries.iter().map(encode_entry).collect(),
        incarnation: incarnation.to_string(),
        node: node.to_owned(),
        v: VERSION,
    };
    serde_json::to_string(&record).map_err(|err| RecordError(err.to_string()))
}

/// Decodes a record from JSON.
pub(super) fn decode(data: &str) -> Result<Record, RecordError> {
    let record: ClaimsRecord =
        serde_json::from_str(data).map_err(|err| RecordError(err.to_string()))?;
    if record.v > VERSION {
        return Err(RecordError(format!(
            "record version {} is not supported",
            record.v
        )));
    }
    let incarnation = Uuid::parse_str(&record.incarnation);
    let entries: Result<_, _> = record.entries.into_iter().map(decode_entry).collect();
    Ok(Record {
        incarnation: incarnation.map_err(|err| RecordError(err.to_string()))?,
        batch: record.batch,
        entries: entries?,
    })
}

fn encode_entry(entry: &Entry) -> ClaimsEntry {
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

fn decode_entry(entry: ClaimsEntry) -> Result<Entry, RecordError> {
    Ok(match entry {
        ClaimsEntry::Claim { claim, key, print } => Entry::Claim {
            key: parse_key(&key)?,
            claim,
            fingerprint: decode_base64(&print)?
                .try_into()
                .map_err(|_| RecordError("fingerprint is not 32 bytes long".to_owned()))?,
        },
        ClaimsEntry::Answered {
            body,
            claim,
            content_type,
            key,
            status,
        } => Entry::Ended {
            key: parse_key(&key)?,
            claim,
            stored: StoredOutcome::Answered {
                status,
                content_type,
                body: body
                    .map(|body| decode_base64(&body))
                    .transpose()?
                    .map(Bytes::from),
            },
        },
        ClaimsEntry::Unknown { claim, key, reason } => Entry::Ended {
            key: parse_key(&key)?,
            claim,
            // A reason that this version does not know is replaced, so that the outcome is still `unknown`.
            stored: StoredOutcome::Unknown(
                Unknown::from_name(&reason).unwrap_or(Unknown::ConnectionLost),
            ),
        },
        ClaimsEntry::Released { claim, key } => Entry::Released {
            key: parse_key(&key)?,
            claim,
        },
    })
}

fn parse_key(text: &str) -> Result<IdempotencyKey, RecordError> {
    text.parse()
        .map_err(|_| RecordError(format!("key {text:?} is not a UUID of version 7")))
}

fn decode_base64(text: &str) -> Result<Vec<u8>, RecordError> {
    BASE64_URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|err| RecordError(err.to_string()))
}
