//! Sends the records of streams to other gateways as soon as the streams begin, so that a stream outlives a gateway that is killed a
//! moment later (`docs/PLATFORM.md`).

use super::directory::NodeEntry;
use super::link::Link;
use super::message::Role;
use super::node::Shared;
use super::streams::RecordSource;
use super::streams::StreamRecords;
use crate::clock::BootInstant;
use crate::decide::near_holders;
use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use std::sync::Arc;
use std::time::Duration;

/// Minimum time between two messages to one gateway; streams that begin within it share a message.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time during which a gateway that did not take records is not sent any.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);

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

/// A connection to a holder, and the number of the first record that it hasn't got.
struct HolderLink {
    node: NodeEntry,
    link: Link,
    next_record: u64,
}

/// Sends new records to one holder, another one if that fails.
pub(super) struct Pusher {
    shared: Arc<Shared>,
    holder: Holder,
    open: Option<HolderLink>,
    /// Names of gateways that took no records, with the times.
    failed: Vec<(String, BootInstant)>,
}

impl Pusher {
    pub(super) fn new(shared: Arc<Shared>, holder: Holder) -> Self {
        Self {
            shared,
            holder,
            open: None,
            failed: Vec::new(),
        }
    }

    /// Sends records until the task is aborted.
    pub(super) async fn run(mut self) {
        let mut changes = self.shared.streams.changes();
        // The sender lives as long as `shared`, so waiting does not fail.
        while changes.changed().await.is_ok() {
            self.push().await;
            tokio::time::sleep(MIN_INTERVAL).await;
        }
    }

    /// Sends the records that the holder hasn't got; tries once more on a new connection, as a kept one may have been closed.
    async fn push(&mut self) {
        for _ in 0..2 {
            let Some(node) = self.choose() else {
                self.open = None;
                return;
            };
            let was_open = self.open.as_ref().is_some_and(|open| open.node == node);
            match self.push_to(&node).await {
                Ok(()) => return,
                Err(cause) => {
                    debug!(self.shared.logs.log(), "records not sent"; "peer" => &node.name, "cause" => cause);
                    self.open = None;
                    if !was_open {
                        self.failed.push((node.name, BootInstant::now()));
                    }
                }
            }
        }
    }

    async fn push_to(&mut self, node: &NodeEntry) -> Result<(), String> {
        let open = match &mut self.open {
            Some(open) if open.node == *node => open,
            open => open.insert(HolderLink {
                node: node.clone(),
                link: Link::open(node).await?,
                next_record: 0,
            }),
        };
        let streams = &self.shared.streams;
        loop {
            let now = BootInstant::now();
            let first = open.next_record;
            let (records, next) = streams.records_from(first, self.holder.sources(), now);
            if next == first {
                return Ok(());
            }
            if !records.is_empty() {
                let push = StreamPush {
                    data_centre: self.shared.own.data_centre.clone(),
                    pushed_streams: records,
                };
                let _: StreamPushResponse = open.link.request(&push).await?;
            }
            open.next_record = next;
        }
    }

    /// Returns the gateway that is sent the records now.
    fn choose(&mut self) -> Option<NodeEntry> {
        let now = BootInstant::now();
        self.failed
            .retain(|(_, since)| now.since(*since) < FAILURE_PAUSE);
        match self.holder {
            Holder::Near(rank) => {
                let (mut nodes, _) = self.shared.nodes.nodes();
                nodes.retain(|node| !self.failed.iter().any(|(name, _)| *name == node.name));
                let holders = near_holders(&nodes, &self.shared.own);
                holders.get(rank).map(|node| (*node).clone())
            }
            Holder::Backup => {
                let is_relay = self.shared.role() == Role::Relay;
                let centre = self.shared.backup_centre.as_deref().filter(|_| is_relay)?;
                let relay = self.shared.nodes.first_relay(centre)?;
                let has_failed = self.failed.iter().any(|(name, _)| *name == relay.name);
                (!has_failed).then_some(relay)
            }
        }
    }
}
