//! Sends the records of streams to other gateways as soon as the streams begin, so that a stream outlives a gateway that is killed a
//! moment later (`docs/PLATFORM.md`).

use super::directory::NodeEntry;
use super::link::Link;
use super::message::Role;
use super::node::Shared;
use super::streams::RecordSource;
use super::streams::StreamRecords;
use super::sync::SYNC_INTERVAL;
use crate::clock::BootInstant;
use crate::decide::near_holders;
use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use std::sync::Arc;
use std::time::Duration;

/// Minimum time between two messages to one gateway; streams that begin within it share a message.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of gateways of which a task remembers what they have got.
const MAX_KNOWN: usize = 4;

/// Records of streams that have just begun.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct StreamPush {
    /// Data centre of the sending gateway.
    pub(super) data_centre: String,
    /// The records; the name tells the message from others.
    pub(super) pushed_streams: Vec<StreamRecords>,
}

/// Response to a [`StreamPush`]: the records are kept.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct StreamPushResponse {
    pub(super) is_kept: bool,
}

/// Who is sent the records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Holder {
    /// The gateway of this rank among those of this data centre that keep records.
    Near(usize),
    /// While this gateway is the relay, the relay of the data centre that keeps copies.
    Backup,
}

impl Holder {
    /// Returns the sources of the records that this holder is sent.
    fn sources(self) -> &'static [RecordSource] {
        match self {
            Self::Near(_) => &[RecordSource::Own],
            Self::Backup => &[RecordSource::Own, RecordSource::Member],
        }
    }
}

/// A gateway that was sent records.
struct KnownHolder {
    node: NodeEntry,
    link: Option<Link>,
    /// Number of the first record that it hasn't got.
    next_record: u64,
}

/// Sends new records to one holder, or to another one while that fails.
pub(super) struct Pusher {
    shared: Arc<Shared>,
    holder: Holder,
    /// The gateways that were sent records, the last one at the end.
    known: Vec<KnownHolder>,
}

impl Pusher {
    pub(super) fn new(shared: Arc<Shared>, holder: Holder) -> Self {
        Self {
            shared,
            holder,
            known: Vec::new(),
        }
    }

    /// Sends records until the task is aborted: as streams begin, and each sync interval to a holder that has changed.
    pub(super) async fn run(mut self) {
        let mut changes = self.shared.streams.changes();
        loop {
            // The sender lives as long as `shared`, so waiting does not fail.
            let _ = tokio::time::timeout(SYNC_INTERVAL, changes.changed()).await;
            changes.mark_unchanged();
            self.push().await;
            tokio::time::sleep(MIN_INTERVAL).await;
        }
    }

    /// Sends the records that the holder hasn't got; tries once more on a new connection, as a kept one may have been closed.
    async fn push(&mut self) {
        let Some(node) = self.choose() else {
            return;
        };
        for _ in 0..2 {
            let asked_at = BootInstant::now();
            let had_link = self.holder_of(&node).link.is_some();
            let Err(cause) = self.push_to(&node).await else {
                return;
            };
            debug!(self.shared.logs.log(), "records not sent"; "peer" => &node.name, "cause" => cause);
            self.holder_of(&node).link = None;
            if !had_link {
                self.shared.mute_nodes.record(&node, asked_at);
                return;
            }
        }
    }

    async fn push_to(&mut self, node: &NodeEntry) -> Result<(), String> {
        let sources = self.holder.sources();
        let shared = Arc::clone(&self.shared);
        let holder = self.holder_of(node);
        loop {
            let now = BootInstant::now();
            let (records, next) = shared
                .streams
                .records_from(holder.next_record, sources, now);
            if !records.is_empty() {
                let push = StreamPush {
                    data_centre: shared.own.data_centre.clone(),
                    pushed_streams: records,
                };
                let link = match &mut holder.link {
                    Some(link) => link,
                    link => link.insert(Link::open(node).await?),
                };
                let _: StreamPushResponse = link.request(&push).await?;
            }
            if next == holder.next_record {
                return Ok(());
            }
            holder.next_record = next;
        }
    }

    /// Returns what is known of `node`, which has none of the records if it was not sent any.
    fn holder_of(&mut self, node: &NodeEntry) -> &mut KnownHolder {
        let found = self.known.iter().position(|known| known.node == *node);
        let holder = match found {
            Some(index) => self.known.remove(index),
            None => KnownHolder {
                node: node.clone(),
                link: None,
                next_record: 0,
            },
        };
        if self.known.len() == MAX_KNOWN {
            self.known.remove(0);
        }
        self.known.push(holder);
        let last = self.known.len() - 1;
        &mut self.known[last]
    }

    /// Returns the gateway that is sent the records now.
    fn choose(&self) -> Option<NodeEntry> {
        let shared = &self.shared;
        match self.holder {
            Holder::Near(rank) => {
                let (nodes, _) = shared.nodes.nodes();
                let answering = shared.mute_nodes.without(&nodes);
                let holders = near_holders(&answering, &shared.own);
                // Where too few answer, the others may do so again.
                let holder = holders.get(rank).copied();
                let holder =
                    holder.or_else(|| near_holders(&nodes, &shared.own).get(rank).copied());
                holder.cloned()
            }
            Holder::Backup => {
                let is_relay = shared.role() == Role::Relay;
                let centre = shared.backup_centre.as_deref().filter(|_| is_relay)?;
                let relay = shared.nodes.first_relay(centre)?;
                let now = BootInstant::now();
                (!shared.mute_nodes.contains(&relay, now)).then_some(relay)
            }
        }
    }
}
