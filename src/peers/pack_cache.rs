//! The packed form of a message that many responses carry.

use super::message::pack;
use crate::logs::Logs;
use bytes::Bytes;
use serde::Serialize;
use slog::warn;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Keeps the packed form of the last version of a message, since packing takes far longer than sending.
#[derive(Debug, Default)]
pub(super) struct PackCache(Mutex<Option<(u64, Bytes)>>);

impl PackCache {
    /// Returns the message of the given version packed, which is built if it isn't kept; `None` if it can't be encoded.
    pub(super) fn get<T: Serialize>(
        &self,
        version: u64,
        message: impl FnOnce() -> T,
        logs: &Logs,
    ) -> Option<Bytes> {
        let mut packed = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((known, bytes)) = &*packed
            && *known == version
        {
            return Some(bytes.clone());
        }
        let bytes = pack(&message()).inspect_err(|cause| {
            warn!(logs.log(), "message could not be encoded for peers"; "cause" => cause);
        });
        let bytes = Bytes::from(bytes.ok()?);
        *packed = Some((version, bytes.clone()));
        Some(bytes)
    }
}
