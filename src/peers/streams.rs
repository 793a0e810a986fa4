//! The software versions at which streams began, kept by several gateways so that a stream outlives its gateway.
//!
//! A gateway records each stream that it begins and sends its records at once to two others of its data centre, mostly the relay and
//! the next in the relay order. The relay sends those of its data centre to the relay of one other data centre. A gateway at which a
//! caller resumes a stream asks the first ones of all data centres, and in its own also those that others there may take for the
//! relay: gateways disagree about it for seconds, above all while some don't reach the store. A record that is lost costs a refusal,
//! never a wrong version.

use super::directory::NodeEntry;
use super::link::Link;
use super::node::Shared;
use super::sync::SYNC_INTERVAL;
use crate::clock::BootInstant;
use crate::decide::stream_holders;
use async_trait::async_trait;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;

/// Maximum number of records kept; the oldest are dropped first.
const MAX_RECORDS: usize = 200_000;
/// Maximum number of records in one message; the others follow in the next ones.
const MAX_RECORDS_SENT: usize = 2_000;
/// Maximum time for which a record is kept, whatever its caller announces.
const MAX_LIFETIME: Duration = Duration::from_secs(120);
/// Time for which a request waits for the record of a stream that has just begun; it is sent at most 20 ms later.
const PUSH_TIME: Duration = Duration::from_millis(50);
/// Time within which a relay must answer whether it knows a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Identifies a stream: the hash of the id of the attempt that brought its first event.
pub type StreamKey = u64;

/// A stream that begins at a gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamStart<'a> {
    /// What identifies the stream.
    pub stream: StreamKey,
    /// Version of its server; empty if it is not known.
    pub software_version: &'a str,
    /// Time for which its caller may resume it.
    pub lifetime: Duration,
    /// Whether its route lets callers resume it, so that other gateways are told at once.
    pub is_resumable: bool,
    /// Whether servers of several versions serve, so that only a record tells the version.
    pub is_mixed: bool,
}

/// The software version at which a stream began, from a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FoundStream {
    /// The version; empty if the record says that it is not known.
    pub software_version: String,
    /// Name of the gateway that has the record; `None` if it is this one.
    pub holder: Option<String>,
}

/// Knows the software versions at which streams began.
#[async_trait]
pub trait StreamDirectory: Send + Sync {
    /// Records that a stream began at this gateway, or goes on here.
    fn record(&self, start: StreamStart<'_>);

    /// Returns the software version at which `stream` began, from this gateway's records or those of the gateways that may have been
    /// told of it; `None` if none of them answers that it knows the stream.
    async fn find(&self, stream: StreamKey) -> Option<FoundStream>;

    /// Returns the software version at which `stream` began, from this gateway's records alone.
    fn find_here(&self, stream: StreamKey) -> Option<FoundStream>;

    /// Waits until the records that other gateways had at the time of the call have reached others; `is_first` if the request has not
    /// waited before. Gateways of an earlier build send theirs only with sync requests.
    async fn wait_for_records(&self, is_first: bool);
}

/// Records of streams of one software version, as sent between gateways.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct StreamRecords {
    pub(super) software_version: String,
    /// Each stream with the time in milliseconds for which its record is kept.
    pub(super) streams: Vec<(StreamKey, u32)>,
    /// Whether servers of several versions served when the streams began. Missing: none of these records is kept in the store.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) is_mixed: bool,
}

/// Request for the software version at which a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct StreamLookup {
    pub(super) stream: StreamKey,
}

/// Response to a [`StreamLookup`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct StreamLookupResponse {
    /// `None` if the responding gateway doesn't know the stream.
    pub(super) software_version: Option<String>,
}

/// Where a record comes from, which decides to whom it is sent on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RecordSource {
    /// The stream began at this gateway.
    Own,
    /// Received from a gateway that this one serves as relay.
    Member,
    /// Received from the relay of another data centre.
    OtherCentre,
    /// Read from the store.
    Archive,
}

struct Row {
    stream: StreamKey,
    software_version: Arc<str>,
    expires_at: BootInstant,
    source: RecordSource,
    /// Whether servers of several versions served when the stream began.
    is_mixed: bool,
}

#[derive(Default)]
struct State {
    /// Number of the first row. Rows are numbered in order of arrival, so that each receiver is sent the rows after the
    /// last one that it got.
    first_number: u64,
    rows: VecDeque<Row>,
}

/// The records of one gateway, in order of arrival.
#[derive(Default)]
pub(super) struct StreamTable {
    state: Mutex<State>,
    /// Counts the times at which there were records that others must get at once.
    changes: watch::Sender<u64>,
}

impl StreamTable {
    pub(super) fn record(&self, start: StreamStart<'_>, now: BootInstant) {
        let row = Row {
            stream: start.stream,
            software_version: start.software_version.into(),
            expires_at: now.plus(start.lifetime.min(MAX_LIFETIME)),
            source: RecordSource::Own,
            is_mixed: start.is_mixed && start.is_resumable,
        };
        self.lock().add(row, now);
        if start.is_resumable {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Returns a receiver that is told when there are records that others must get at once.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(super) fn record_received(
        &self,
        records: Vec<StreamRecords>,
        source: RecordSource,
        now: BootInstant,
    ) {
        let mut state = self.lock();
        for records in records {
            let software_version: Arc<str> = records.software_version.into();
            for (stream, lifetime_ms) in records.streams {
                let lifetime = Duration::from_millis(lifetime_ms.into());
                let row = Row {
                    stream,
                    software_version: Arc::clone(&software_version),
                    expires_at: now.plus(lifetime.min(MAX_LIFETIME)),
                    source,
                    is_mixed: records.is_mixed,
                };
                state.add(row, now);
            }
        }
        drop(state);
        if source == RecordSource::Member {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Adds a record that is kept for `lifetime`: the stream, its software version and the lifetime.
    pub(super) fn record_from(
        &self,
        (stream, software_version, lifetime): (StreamKey, &str, Duration),
        source: RecordSource,
        now: BootInstant,
    ) {
        let row = Row {
            stream,
            software_version: software_version.into(),
            expires_at: now.plus(lifetime.min(MAX_LIFETIME)),
            source,
            is_mixed: false,
        };
        self.lock().add(row, now);
    }

    /// Returns the records numbered from `first` on of this data centre's streams that began while servers of several versions
    /// served, each with the time in milliseconds for which it is kept, and the number to continue from.
    pub(super) fn mixed_from(
        &self,
        first: u64,
        now: BootInstant,
    ) -> (Vec<(StreamKey, String, u32)>, u64) {
        let state = self.lock();
        let mut streams = Vec::new();
        let mut next = first.max(state.first_number);
        for row in state.rows_from(first) {
            next += 1;
            let is_near = matches!(row.source, RecordSource::Own | RecordSource::Member);
            if is_near && row.is_mixed && row.expires_at > now {
                streams.push((
                    row.stream,
                    row.software_version.to_string(),
                    row.left_ms(now),
                ));
            }
        }
        (streams, next)
    }

    /// Returns the software version of `stream`. Scans the records, since streams are rarely resumed.
    pub(super) fn find(&self, stream: StreamKey, now: BootInstant) -> Option<String> {
        let state = self.lock();
        let found = state
            .rows
            .iter()
            .rev()
            .find(|row| row.stream == stream && row.expires_at > now);
        found.map(|row| row.software_version.to_string())
    }

    /// Returns the records numbered from `first` on that come from one of `sources`, and the number to continue from.
    pub(super) fn records_from(
        &self,
        first: u64,
        sources: &[RecordSource],
        now: BootInstant,
    ) -> (Vec<StreamRecords>, u64) {
        let state = self.lock();
        let mut next = first.max(state.first_number);
        let mut records: Vec<StreamRecords> = Vec::new();
        for row in state.rows_from(first) {
            next += 1;
            if row.expires_at <= now || !sources.contains(&row.source) {
                continue;
            }
            let stream = (row.stream, row.left_ms(now));
            let known = records.binary_search_by(|known| {
                let known = (&*known.software_version, known.is_mixed);
                known.cmp(&(&*row.software_version, row.is_mixed))
            });
            match known {
                Ok(index) => records[index].streams.push(stream),
                Err(index) => records.insert(
                    index,
                    StreamRecords {
                        software_version: row.software_version.to_string(),
                        streams: vec![stream],
                        is_mixed: row.is_mixed,
                    },
                ),
            }
        }
        (records, next)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Row {
    /// Returns the time in milliseconds for which the row is still kept.
    fn left_ms(&self, now: BootInstant) -> u32 {
        let left = self.expires_at.since(now).as_millis();
        u32::try_from(left).unwrap_or(u32::MAX)
    }
}

impl State {
    /// Returns the rows numbered from `first` on, as many as one message holds.
    fn rows_from(&self, first: u64) -> impl Iterator<Item = &Row> {
        let skipped = first.saturating_sub(self.first_number);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        self.rows.iter().skip(skipped).take(MAX_RECORDS_SENT)
    }

    /// Adds a row, and drops rows from the front that have expired or are too many.
    fn add(&mut self, row: Row, now: BootInstant) {
        self.rows.push_back(row);
        while self.rows.len() > MAX_RECORDS
            || self.rows.front().is_some_and(|row| row.expires_at <= now)
        {
            self.rows.pop_front();
            self.first_number += 1;
        }
    }
}

#[async_trait]
impl StreamDirectory for Shared {
    fn record(&self, start: StreamStart<'_>) {
        self.streams.record(start, BootInstant::now());
    }

    fn find_here(&self, stream: StreamKey) -> Option<FoundStream> {
        let software_version = self.streams.find(stream, BootInstant::now())?;
        Some(FoundStream {
            software_version,
            holder: None,
        })
    }

    async fn find(&self, stream: StreamKey) -> Option<FoundStream> {
        if let Some(found) = self.find_here(stream) {
            return Some(found);
        }
        let (nodes, _) = self.nodes.nodes();
        let answering = self.mute_nodes.without(&nodes);
        // Those that did not answer lately are asked too, and others in their places.
        let mut holders = stream_holders(&nodes, &self.own);
        for node in stream_holders(&answering, &self.own) {
            if !holders.iter().any(|known| known.name == node.name) {
                holders.push(node);
            }
        }
        let asked_at = BootInstant::now();
        let mut lookups: FuturesUnordered<_> = holders
            .into_iter()
            .map(async |node| {
                let answer = tokio::time::timeout(LOOKUP_TIMEOUT, look_up(node, stream)).await;
                let Ok(Ok(answer)) = answer else {
                    self.mute_nodes.record(node, asked_at);
                    return None;
                };
                Some(FoundStream {
                    software_version: answer.software_version?,
                    holder: Some(node.name.clone()),
                })
            })
            .collect();
        while let Some(found) = lookups.next().await {
            if found.is_some() {
                return found;
            }
        }
        None
    }

    async fn wait_for_records(&self, is_first: bool) {
        let time = if is_first { PUSH_TIME } else { SYNC_INTERVAL };
        tokio::time::sleep(time).await;
    }
}

/// Asks a node for the software version at which `stream` began.
async fn look_up(node: &NodeEntry, stream: StreamKey) -> Result<StreamLookupResponse, String> {
    let mut link = Link::open(node).await?;
    link.request(&StreamLookup { stream }).await
}
