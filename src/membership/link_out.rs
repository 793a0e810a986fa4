//! What a connection sends, and when.

use super::BackendLoad;
use super::NodeLoadSummary;
use super::link::Ends;
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

/// Most records in one frame, so that a frame stays well under the limit.
const MAX_RECORDS: usize = 500;
/// Heartbeats with another digest before all records are sent; changes that are under way explain fewer.
const UNEQUAL_HEARTBEATS: u32 = 3;
/// Bytes a second that a node may send for loads, shared by the nodes of its region.
const REGION_LOAD_BYTES: usize = 20_000;
/// Least and most of them for one node.
const NODE_LOAD_BYTES: RangeInclusive<usize> = 1_500..=5_000;
/// Bytes of a message without what it carries, about.
const EMPTY_BYTES: usize = 115;

/// What a connection sends, and when.
pub(super) struct Outgoing {
    shared: Arc<Shared>,
    ends: Ends,
    /// Change of the table up to which all records were sent.
    stamp: u64,
    pending: VecDeque<Record>,
    is_first: bool,
    unequal: u32,
    sent_at: Instant,
    /// When loads may be sent next.
    loads_at: Instant,
    /// Versions of the summaries that were sent, sorted by node.
    summaries: Vec<(String, (u64, u64))>,
    /// Version of the host list up to which all changes were sent.
    hosts: Option<u64>,
}

impl Outgoing {
    pub(super) fn new(shared: Arc<Shared>, ends: &Ends) -> Self {
        let (stamp, own) = {
            let state = shared.state();
            (state.table.stamp(), state.table.me().clone())
        };
        let now = Instant::now();
        let hosts = shared.hosts.version();
        Self {
            shared,
            ends: ends.clone(),
            stamp,
            pending: VecDeque::from([own]),
            is_first: true,
            unequal: 0,
            sent_at: now,
            loads_at: now,
            summaries: Vec::new(),
            hosts,
        }
    }

    /// Gives the next message where one is due.
    pub(super) fn next(&mut self) -> Option<(ControlKind, Message)> {
        let now = Instant::now();
        self.queue_changes();
        let is_due = now >= self.sent_at + self.heartbeat();
        let hosts = self.new_hosts();
        if is_due || !self.pending.is_empty() || !hosts.is_empty() {
            self.sent_at = now;
            let count = self.pending.len().min(MAX_RECORDS);
            let records = self.pending.drain(..count).map(|r| NodeRecord::from(&r));
            let r = records.collect();
            let message = Message {
                r,
                o: hosts,
                ..self.message()
            };
            return Some((ControlKind::Gossip, message));
        }
        if !self.carries_loads() || now < self.loads_at {
            return None;
        }
        let summaries = self.new_summaries();
        self.loads_at = now + self.load_pause(&summaries);
        if summaries.is_empty() {
            return None;
        }
        self.sent_at = now;
        let message = Message {
            l: summaries,
            ..self.message()
        };
        Some((ControlKind::Load, message))
    }

    /// Gives the time at which something may be due.
    pub(super) fn wake_at(&self) -> Instant {
        let heartbeat = self.sent_at + self.heartbeat();
        match self.carries_loads() {
            true => heartbeat.min(self.loads_at),
            false => heartbeat,
        }
    }

    /// Compares the peer's digest with the own one, and queues all records where they differ for long.
    pub(super) fn compare(&mut self, digest: u64) {
        let mut state = self.shared.state();
        let table = &mut state.table;
        if digest == table.digest() {
            self.unequal = 0;
            self.is_first = false;
            return;
        }
        self.unequal += 1;
        if self.is_first || self.unequal >= UNEQUAL_HEARTBEATS {
            self.is_first = false;
            self.unequal = 0;
            self.pending = table.after(0).into();
            self.stamp = table.stamp();
        }
    }

    fn queue_changes(&mut self) {
        let state = self.shared.state();
        if state.table.stamp() != self.stamp {
            self.pending.extend(state.table.after(self.stamp));
            self.stamp = state.table.stamp();
        }
    }

    /// Loads go one way, from the node that opened the connection, and stay in the region.
    fn carries_loads(&self) -> bool {
        let peer = &self.ends.peer;
        self.ends.side == Side::Dialer && self.shared.state().region.binary_search(peer).is_ok()
    }

    fn heartbeat(&self) -> Duration {
        let heartbeat = self.shared.settings.heartbeat;
        match self.ends.is_near {
            true => heartbeat,
            false => heartbeat * self.shared.state().far_factor,
        }
    }

    /// Gives the time until loads may be sent again, so that all connections together keep to the node's share.
    fn load_pause(&self, sent: &[LoadSummary]) -> Duration {
        let (nodes, links) = {
            let state = self.shared.state();
            (state.region.len().max(1), state.region_links.max(1))
        };
        let least = *NODE_LOAD_BYTES.start();
        let share = (REGION_LOAD_BYTES / nodes).clamp(least, *NODE_LOAD_BYTES.end());
        let bytes = EMPTY_BYTES + sent.iter().map(summary_bytes).sum::<usize>();
        let pause = Duration::from_secs_f64((bytes * links) as f64 / share as f64);
        match sent.is_empty() {
            true => self.shared.settings.load_interval,
            false => pause.max(self.shared.settings.load_interval),
        }
    }

    fn message(&self) -> Message {
        let (incarnation, digest) = {
            let state = self.shared.state();
            (state.table.me().incarnation, state.table.digest())
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

    fn new_hosts(&mut self) -> Vec<HostChange> {
        let version = self.shared.hosts.version();
        if version == self.hosts {
            return Vec::new();
        }
        let sent = std::mem::replace(&mut self.hosts, version);
        sent.map_or_else(Vec::new, |sent| self.shared.hosts.changes_after(sent))
    }

    fn new_summaries(&mut self) -> Vec<LoadSummary> {
        let mut new = Vec::new();
        for summary in self.shared.loads.summaries() {
            let sent = self
                .summaries
                .binary_search_by(|(node, _)| node.as_str().cmp(&summary.node));
            match sent {
                Ok(i) if self.summaries[i].1 >= summary.version => continue,
                Ok(i) => self.summaries[i].1 = summary.version,
                Err(i) => {
                    let entry = (summary.node.clone(), summary.version);
                    self.summaries.insert(i, entry);
                }
            }
            new.push(LoadSummary::from(&summary));
        }
        new
    }
}

/// Gives the bytes of a summary in a message, about.
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
