//! Keeps a stream at the software version that began it, within one response and over a caller's attempts.
//!
//! What servers of two software versions write does not fit together, and servers don't check it. A request that resumes
//! a stream is therefore refused unless the version is known (`docs/PLATFORM.md`).

use super::choice::hash_request_id;
use super::exchange::Exchange;
use super::refusal::Refusal;
use crate::catalog::BackendServer;
use crate::catalog::RetryMode;
use crate::clock::BootInstant;
use crate::decide::Incarnation;
use crate::peers::StreamKey;
use crate::peers::StreamStart;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Number of times that a request waits for another gateway's knowledge of its stream: once for a record that is on its way, and a sync
/// interval for a gateway that has just started and connects to its peers.
const MAX_WAITS: u32 = 2;
/// Part of the request's time that may pass until its stream's version is known, so that time is left to run it, or for its
/// caller to return.
const LOOKUP_DIVISOR: u32 = 2;
/// Age of the server list from which the process that begins a stream is asked for.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_500);
/// Recorded for a stream whose server may be another than the list says. No server has it.
const UNKNOWN_VERSION: &str = "";

/// The software version that the servers of a request must have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StreamVersion {
    /// The caller has no event of the stream, so any version may begin it.
    Any,
    /// The caller has events of this version.
    Only(String),
    /// The caller has events of an unknown version, so no server may continue the stream.
    Unknown,
}

/// By what the software version of a resumed stream is known.
#[derive(Clone, Debug, Eq, PartialEq)]
enum VersionProof {
    /// A record of the stream at this gateway, or at the one of this name.
    Record(Option<String>),
    /// Streams can have begun at servers of one version only.
    OnlyVersion {
        /// Time for which no other one is known to have been listed.
        known_for: Duration,
        /// Age of the read of the server list that told it last.
        read_age: Duration,
    },
}

impl fmt::Display for VersionProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Record(None) => f.write_str("own record"),
            Self::Record(Some(holder)) => write!(f, "record of {holder}"),
            Self::OnlyVersion {
                known_for,
                read_age,
            } => {
                let (known_for, read_age) = (known_for.as_millis(), read_age.as_millis());
                write!(f, "only version for {known_for} ms, read {read_age} ms ago")
            }
        }
    }
}

/// A software version and by what it is known.
type ProvenVersion = (String, VersionProof);

impl Exchange {
    /// Finds the software version of the stream that the caller resumes, if it resumes one.
    ///
    /// Refuses the request if the version is unknown.
    pub(super) async fn resolve_stream_version(&mut self) -> Result<(), Refusal> {
        if self.metadata.resumed_stream.is_none() || !self.route.retry_mode.is_stream() {
            return Ok(());
        }
        let stream = self.resumed_stream();
        let asked_at = BootInstant::now();
        let until = Instant::now() + self.time_left() / LOOKUP_DIVISOR;
        let searching = self.search_version(stream, asked_at);
        let version = tokio::time::timeout_at(until, searching).await;
        // What this gateway knows by itself needs no time.
        let version = version.unwrap_or_else(|_| self.only_version(asked_at));
        let Some((version, proof)) = version else {
            return Err(self.no_server_refusal("stream of unknown version"));
        };
        self.report.version_proof = proof.to_string();
        self.has_stream_record = matches!(proof, VersionProof::Record(_));
        if version == UNKNOWN_VERSION {
            return Err(self.no_server_refusal("stream of unknown version"));
        }
        self.stream_version = StreamVersion::Only(version);
        Ok(())
    }

    /// Returns the version at which `stream` began, which a request resumes that was read at `asked_at`: from the records of
    /// gateways, or because no other version has served lately. `stream` is `None` if the caller doesn't name it.
    ///
    /// Waits for records on their way to the relays and, where a single version may have served, for a read of the server list
    /// that began after the request came; so a version that joined a moment ago, of which only other gateways know, is not
    /// overlooked.
    async fn search_version(
        &self,
        stream: Option<StreamKey>,
        asked_at: BootInstant,
    ) -> Option<ProvenVersion> {
        let streams = self.gateway.streams.get();
        let mut waits = 0;
        loop {
            if let (Some(stream), Some(streams)) = (stream, streams) {
                let found = if waits <= MAX_WAITS {
                    streams.find(stream).await
                } else {
                    streams.find_here(stream)
                };
                if let Some(found) = found {
                    return Some((found.software_version, VersionProof::Record(found.holder)));
                }
            }
            let version = self.only_version(asked_at);
            // An attempt that isn't named is on no record, so only a single version can tell.
            let is_known_unknown = stream.is_none() && self.has_several_versions(asked_at);
            let may_come = waits < MAX_WAITS && !is_known_unknown;
            if version.is_some() || !(may_come || self.may_have_one_version(asked_at)) {
                return version;
            }
            streams?.wait_for_records(waits == 0).await;
            waits += 1;
        }
    }

    /// Returns the version of all servers that may have begun a stream before `asked_at`; `None` if there were several or if
    /// that is not known.
    fn only_version(&self, asked_at: BootInstant) -> Option<ProvenVersion> {
        let catalog = &self.gateway.catalog;
        let since = self.first_start(asked_at);
        let (only, read_at) = catalog.only_version(&self.service_name, since, asked_at)?;
        let now = BootInstant::now();
        let proof = VersionProof::OnlyVersion {
            known_for: now.since(only.since),
            read_age: now.since(read_at),
        };
        Some((only.software_version, proof))
    }

    /// Returns whether a newer read of the server list may show that a single version has served.
    fn may_have_one_version(&self, asked_at: BootInstant) -> bool {
        let is_old = !self.gateway.catalog.has_read_list_since(asked_at);
        is_old && !self.has_several_versions(asked_at)
    }

    fn has_several_versions(&self, asked_at: BootInstant) -> bool {
        let catalog = &self.gateway.catalog;
        catalog.has_several_versions(&self.service_name, self.first_start(asked_at))
    }

    /// Returns the earliest time at which a stream can have begun that is resumed at `asked_at`: callers are not expected to wait longer
    /// than the route's timeout.
    fn first_start(&self, asked_at: BootInstant) -> BootInstant {
        asked_at.before(self.route.timeout)
    }

    /// Returns whether a stream that may be resumed begins by a list so old that a server may have started again since, with another
    /// version.
    pub(super) fn begins_by_old_list(&self) -> bool {
        let is_resumable = self.route.retry_mode == RetryMode::ResumableStream;
        let recent = BootInstant::now().before(MAX_LIST_AGE);
        is_resumable
            && self.stream_version == StreamVersion::Any
            && !self.gateway.catalog.has_read_list_since(recent)
    }

    /// Records that the caller gets the first event of the answer, from the server whose answer is passed on: a stream that begins, or
    /// one that goes on and may break off again.
    pub(super) fn record_stream_start(&mut self) {
        match &self.stream_version {
            StreamVersion::Any => {}
            StreamVersion::Only(version) => {
                // A conclusion is no record: a later read of the list may refute it.
                if self.has_stream_record
                    && let Some(stream) = self.resumed_stream()
                {
                    self.record(stream, version);
                }
                return;
            }
            StreamVersion::Unknown => return,
        }
        let server = self.crash_guard.sent().map(|sent| &sent.server);
        let version = server.and_then(|server| server.entry.software_version.clone());
        let Some(version) = version.filter(|version| !version.is_empty()) else {
            self.stream_version = StreamVersion::Unknown;
            return;
        };
        let (record, stream_version) = if server.is_some_and(|server| self.is_replaced(server)) {
            (UNKNOWN_VERSION.to_owned(), StreamVersion::Unknown)
        } else {
            (version.clone(), StreamVersion::Only(version))
        };
        self.report.recorded_version = Some(record.clone());
        self.record(self.salt, &record);
        self.stream_version = stream_version;
    }

    /// Returns what identifies the stream that the caller resumes, if it names that.
    fn resumed_stream(&self) -> Option<StreamKey> {
        let resumed_stream = self.metadata.resumed_stream.as_ref()?;
        resumed_stream.first_attempt.as_deref().map(hash_request_id)
    }

    fn record(&self, stream: StreamKey, software_version: &str) {
        if let Some(streams) = self.gateway.streams.get() {
            streams.record(StreamStart {
                stream,
                software_version,
                lifetime: self.metadata.time_left.unwrap_or(self.route.timeout),
                is_resumable: self.route.retry_mode == RetryMode::ResumableStream,
                is_mixed: self.has_several_versions(BootInstant::now()),
            });
        }
    }

    /// Returns the id of the event after which the caller resumes a stream, if the route allows it.
    pub(super) fn named_event(&self) -> Option<u64> {
        let resumed_stream = self.metadata.resumed_stream.as_ref();
        let may_resume = self.route.retry_mode == RetryMode::ResumableStream;
        resumed_stream.filter(|_| may_resume)?.last_event_id
    }

    /// Returns whether `server` may be sent the request as far as its software version is concerned.
    pub(super) fn has_stream_version(&self, server: &BackendServer) -> bool {
        match &self.stream_version {
            StreamVersion::Any => true,
            StreamVersion::Only(version) => {
                server.entry.software_version.as_ref() == Some(version) && !self.is_replaced(server)
            }
            StreamVersion::Unknown => false,
        }
    }

    /// Returns whether another process may answer for `server` than the one that its entry tells of.
    fn is_replaced(&self, server: &BackendServer) -> bool {
        self.gateway.catalog.may_be_replaced(server)
            || self.gateway.paths.may_have_restarted(server)
            || self
                .gateway
                .quarantine
                .is_known_crash(&Incarnation::of(server))
    }
}
