//! Keeps the records of streams in the store while servers of several software versions serve, so that streams go on after all gateways
//! have lost their memory (`docs/PLATFORM.md`).

use super::message::Role;
use super::node::Shared;
use super::streams::RecordSource;
use super::streams::StreamKey;
use super::sync::SYNC_INTERVAL;
use crate::catalog::AdaptiveTimeout;
use crate::catalog::SourceError;
use crate::clock::BootInstant;
use async_trait::async_trait;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

/// Timeout of a call to the store; the initial one of reads.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum time between two batches. A kill of all gateways loses the streams that began within it.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Number of batches that the store keeps of a data centre: those of two minutes, for which records are kept at most.
const SLOTS: u32 = 1_200;
/// Time by which the clocks of two hosts may differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// Records of streams that began at about the same time, as the store keeps them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ArchivedStreams {
    /// Unix time in milliseconds at which the batch was written.
    pub written_at_ms: u64,
    /// Each stream with its software version and the time in milliseconds for which its record was still kept then.
    pub streams: Vec<(StreamKey, String, u32)>,
}

/// Keeps batches of records in the store.
#[async_trait]
pub trait StreamArchive: Send + Sync + 'static {
    /// Keeps `batch` in the slot of this number of a data centre, in place of the batch before. Fails if the store has not answered
    /// within `timeout`.
    async fn write(
        &self,
        (data_centre, slot): (&str, u32),
        batch: &ArchivedStreams,
        timeout: Duration,
    ) -> Result<(), SourceError>;

    /// Returns all batches, in no order.
    async fn read(&self, timeout: Duration) -> Result<Vec<ArchivedStreams>, SourceError>;
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let ms = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(ms).unwrap_or(u64::MAX)
}

/// Writes the records of this data centre while this node is its relay, and reads those of all when it becomes the relay, until the
/// task is aborted.
pub(super) async fn run(shared: Arc<Shared>, archive: Arc<dyn StreamArchive>) {
    let mut next_record = 0;
    // Another relay may have written the first ones a moment ago.
    let mut slot = rand::random_range(0..SLOTS);
    let mut has_read = false;
    let read_timeout = AdaptiveTimeout::new(TIMEOUT);
    let mut failures = 0u32;
    let mut changes = shared.streams.changes();
    loop {
        // The sender lives as long as `shared`, so waiting does not fail.
        let _ = tokio::time::timeout(SYNC_INTERVAL, changes.changed()).await;
        changes.mark_unchanged();
        let pause = MIN_INTERVAL * 2u32.saturating_pow(failures.min(8));
        tokio::time::sleep(pause.min(MAX_PAUSE)).await;
        if shared.role() != Role::Relay {
            continue;
        }
        let calls = async {
            if !has_read {
                let reading = archive.read(read_timeout.current());
                let batches = read_timeout.record_result(reading.await)?;
                keep(&shared, batches);
                has_read = true;
            }
            let now = BootInstant::now();
            let (streams, next) = shared.streams.mixed_from(next_record, now);
            if !streams.is_empty() {
                let batch = ArchivedStreams {
                    written_at_ms: unix_ms(),
                    streams,
                };
                let place = (shared.own.data_centre.as_str(), slot);
                archive.write(place, &batch, TIMEOUT).await?;
                slot = (slot + 1) % SLOTS;
            }
            next_record = next;
            Ok::<(), SourceError>(())
        };
        match calls.await {
            Ok(()) => failures = 0,
            Err(err) => {
                if failures == 0 {
                    info!(shared.logs.log(), "records of streams not synchronized with the store"; "cause" => %err);
                }
                failures += 1;
            }
        }
    }
}

/// Takes over the records of `batches` that are still kept.
fn keep(shared: &Shared, batches: Vec<ArchivedStreams>) {
    let (now, unix_now) = (BootInstant::now(), unix_ms());
    let mut kept = 0;
    for batch in batches {
        let age = Duration::from_millis(unix_now.saturating_sub(batch.written_at_ms));
        let age = age.saturating_sub(MAX_CLOCK_SKEW);
        for (stream, software_version, left_ms) in batch.streams {
            let left = Duration::from_millis(left_ms.into()).saturating_sub(age);
            if !left.is_zero() {
                kept += 1;
                let row = (stream, software_version.as_str(), left);
                shared.streams.record_from(row, RecordSource::Archive, now);
            }
        }
    }
    if kept > 0 {
        info!(shared.logs.log(), "records of streams read from the store"; "streams" => kept);
    }
}
