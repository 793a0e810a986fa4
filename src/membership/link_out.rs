//! Decides which message a connection sends next, and when.

use super::BackendLoad;
use super::NodeLoadSummary;
use super::link::LinkInfo;
use super::record::Record;
use super::seal::Side;
use super::shared::Shared;
use crate::border::generated::gossip::HostChange;
use crate::border::generated::gossip::Load;
use crate::border::generated::gossip::LoadSummary;
use crate::border::generated::gossip::Message;
use crate::border::generated::gossip::NodeRecord;
use crate::hop::PROTOCOL_VERSION;
use crate::operations::ControlKind;
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of records in one frame, which keeps it well under the receiver's frame size limit.
const MAX_RECORDS_PER_FRAME: usize = 500;
/// Number of consecutive received digests that differ from the own one before all records are sent. Fewer mismatches
/// can come from changes that are still in flight.
const MISMATCHES_BEFORE_FULL_SYNC: u32 = 3;
/// Budget of a region for load messages. A node's share is the budget divided by the number of nodes in the region.
const REGION_LOAD_BYTES_PER_SECOND: usize = 20_000;
/// Bounds of the share of one node.
const NODE_LOAD_BYTES_PER_SECOND: RangeInclusive<usize> = 1_500..=5_000;
/// Approximate size of a message without records, loads or host changes.
const EMPTY_MESSAGE_BYTES: usize = 115;

/// Messages that one connection has to send.
pub(super) struct Outgoing {
    shared: Arc<Shared>,
    info: LinkInfo,
    /// Change count of the table up to which changed records were queued.
    queued_change_count: u64,
    /// Records to send.
    pending: VecDeque<Record>,
    /// Whether no digest of the peer has been compared on this connection yet.
    is_first_digest: bool,
    /// Consecutive digests that differed from the own one.
    digest_mismatches: u32,
    /// Time of the last message, or of the connection's start; the next heartbeat is due one interval later.
    sent_at: Instant,
    /// Earliest time of the next load message.
    next_loads_at: Instant,
    /// Versions of the load summaries that were sent, sorted by node.
    sent_summaries: Vec<(String, (u64, u64))>,
    /// Version of the host list up to which changes were sent.
    sent_host_list_version: Option<u64>,
}

impl Outgoing {
    pub(super) fn new(shared: Arc<Shared>, info: &LinkInfo) -> Self {
        let (queued_change_count, own) = {
            let state = shared.state();
            (state.table.change_count(), state.table.own_record().clone())
        };
        let now = Instant::now();
        let sent_host_list_version = shared.hosts.version();
        Self {
            shared,
            info: info.clone(),
            queued_change_count,
            pending: VecDeque::from([own]),
            is_first_digest: true,
            digest_mismatches: 0,
            sent_at: now,
            next_loads_at: now,
            sent_summaries: Vec::new(),
            sent_host_list_version,
        }
    }

    /// Returns the next message, if one is due: records and host changes at once, a heartbeat after its interval, loads
    /// within the budget.
    pub(super) fn next_message(&mut self) -> Option<(ControlKind, Message)> {
        let now = Instant::now();
        self.queue_changes();
        let is_due = now >= self.sent_at + self.heartbeat();
        let hosts = self.new_host_changes();
        if is_due || !self.pending.is_empty() || !hosts.is_empty() {
            self.sent_at = now;
            let count = self.pending.len().min(MAX_RECORDS_PER_FRAME);
            let records = self.pending.drain(..count).map(|r| NodeRecord::from(&r));
            let r = records.collect();
            let message = Message {
                r,
                o: hosts,
                ..self.empty_message()
            };
            return Some((ControlKind::Gossip, message));
        }
        if !self.sends_loads() || now < self.next_loads_at {
            return None;
        }
        let summaries = self.new_summaries();
        self.next_loads_at = now + self.load_delay(&summaries);
        if summaries.is_empty() {
            return None;
        }
        self.sent_at = now;
        let message = Message {
            l: summaries,
            ..self.empty_message()
        };
        Some((ControlKind::Load, message))
    }

    /// Returns the next time at which a message may be due without a change.
    pub(super) fn wake_at(&self) -> Instant {
        let heartbeat = self.sent_at + self.heartbeat();
        match self.sends_loads() {
            true => heartbeat.min(self.next_loads_at),
            false => heartbeat,
        }
    }

    /// Compares the digest of the peer's table with the own one. Queues all records if the first digest of the
    /// connection differs, or after [`MISMATCHES_BEFORE_FULL_SYNC`] mismatches in a row.
    pub(super) fn compare_digest(&mut self, digest: u64) {
        let mut state = self.shared.state();
        let table = &mut state.table;
        if digest == table.digest() {
            self.digest_mismatches = 0;
            self.is_first_digest = false;
            return;
        }
        self.digest_mismatches += 1;
        if self.is_first_digest || self.digest_mismatches >= MISMATCHES_BEFORE_FULL_SYNC {
            self.is_first_digest = false;
            self.digest_mismatches = 0;
            self.pending = table.changed_since(0).into();
            self.queued_change_count = table.change_count();
        }
    }

    fn queue_changes(&mut self) {
        let state = self.shared.state();
        if state.table.change_count() != self.queued_change_count {
            self.pending
                .extend(state.table.changed_since(self.queued_change_count));
            self.queued_change_count = state.table.change_count();
        }
    }

    /// Returns whether this end sends loads: only the dialer does, and only to a node of the same region.
    fn sends_loads(&self) -> bool {
        let peer = &self.info.peer;
        self.info.side == Side::Dialer && self.shared.state().region.binary_search(peer).is_ok()
    }

    fn heartbeat(&self) -> Duration {
        let heartbeat = self.shared.settings.heartbeat;
        match self.info.is_near {
            true => heartbeat,
            false => heartbeat * self.shared.state().far_factor,
        }
    }

    /// Returns the time until loads may be sent again. The delay keeps all connections of this node together within its
    /// share of the region's budget.
    fn load_delay(&self, sent: &[LoadSummary]) -> Duration {
        let (nodes, links) = {
            let state = self.shared.state();
            (state.region.len().max(1), state.load_links.max(1))
        };
        let min_share = *NODE_LOAD_BYTES_PER_SECOND.start();
        let share = (REGION_LOAD_BYTES_PER_SECOND / nodes)
            .clamp(min_share, *NODE_LOAD_BYTES_PER_SECOND.end());
        let bytes = EMPTY_MESSAGE_BYTES + sent.iter().map(summary_bytes).sum::<usize>();
        let delay = Duration::from_secs_f64((bytes * links) as f64 / share as f64);
        match sent.is_empty() {
            true => self.shared.settings.load_interval,
            false => delay.max(self.shared.settings.load_interval),
        }
    }

    fn empty_message(&self) -> Message {
        let (incarnation, digest) = {
            let state = self.shared.state();
            (state.table.own_record().incarnation, state.table.digest())
        };
        let config = self.shared.configs.own();
        Message {
            v: PROTOCOL_VERSION,
            f: self.shared.node.name.clone(),
            i: incarnation,
            h: u32::try_from(self.heartbeat().as_millis()).unwrap_or(u32::MAX),
            t: self.shared.timeline.stamp(),
            d: self.pending.is_empty().then_some(digest),
            c: config.as_ref().map(|config| config.version),
            x: config.as_ref().map(|config| config.hash),
            r: Vec::new(),
            l: Vec::new(),
            o: Vec::new(),
        }
    }

    fn new_host_changes(&mut self) -> Vec<HostChange> {
        let version = self.shared.hosts.version();
        if version == self.sent_host_list_version {
            return Vec::new();
        }
        let sent = std::mem::replace(&mut self.sent_host_list_version, version);
        sent.map_or_else(Vec::new, |sent| self.shared.hosts.changes_after(sent))
    }

    fn new_summaries(&mut self) -> Vec<LoadSummary> {
        let mut new = Vec::new();
        for summary in self.shared.loads.summaries() {
            let sent = self
                .sent_summaries
                .binary_search_by(|(node, _)| node.as_str().cmp(&summary.node));
            match sent {
                Ok(i) if self.sent_summaries[i].1 >= summary.version => continue,
                Ok(i) => self.sent_summaries[i].1 = summary.version,
                Err(i) => {
                    let entry = (summary.node.clone(), summary.version);
                    self.sent_summaries.insert(i, entry);
                }
            }
            new.push(LoadSummary::from(&summary));
        }
        new
    }
}

/// Returns the approximate size of a summary in a message: the names, plus 24 bytes for the rest of the summary and 12
/// for the rest of each load.
fn summary_bytes(summary: &LoadSummary) -> usize {
    let loads = summary
        .l
        .iter()
        .map(|load| load.s.len() + load.b.len() + 12);
    summary.n.len() + 24 + loads.sum::<usize>()
}

impl From<&NodeLoadSummary> for LoadSummary {
    fn from(summary: &NodeLoadSummary) -> Self {
        let loads = summary.loads.iter().map(|load| Load {
            s: load.service.clone(),
            b: load.backend.clone(),
            l: load.load,
        });
        Self {
            n: summary.node.clone(),
            i: summary.version.0,
            s: summary.version.1,
            g: u32::try_from(summary.published_at.elapsed().as_millis()).unwrap_or(u32::MAX),
            l: loads.collect(),
        }
    }
}

impl From<LoadSummary> for NodeLoadSummary {
    fn from(summary: LoadSummary) -> Self {
        let loads = summary.l.into_iter().map(|load| BackendLoad {
            service: load.s,
            backend: load.b,
            load: load.l,
        });
        let age = Duration::from_millis(summary.g.into());
        let now = Instant::now();
        Self {
            node: summary.n,
            version: (summary.i, summary.s),
            published_at: now.checked_sub(age).unwrap_or(now),
            loads: loads.collect(),
        }
    }
}
