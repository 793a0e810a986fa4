//! The server list in sync requests: what a gateway sends of it, and what it takes over from a peer.

use super::message::Stamp;
use super::message::SyncResponse;
use super::message::SyncedServer;
use super::message::SyncedVersionHistory;
use crate::catalog::BackendServer;
use crate::catalog::Catalog;
use crate::catalog::ListSnapshot;
use crate::catalog::PeerHistory;
use crate::catalog::PeerList;
use crate::catalog::PeerServer;
use crate::catalog::Position;
use crate::clock::BootInstant;
use std::time::Duration;

/// Returns the servers of `list` as sent to another gateway at `now`.
pub(super) fn synced_servers(list: &ListSnapshot, now: BootInstant) -> Vec<SyncedServer> {
    let grace_ends = &list.grace_ends;
    let grace_left_ms = |id: &String| {
        let index = grace_ends.binary_search_by(|(name, _)| name.cmp(id)).ok()?;
        let left = grace_ends[index].1.since(now);
        Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    };
    let synced = list.servers.iter().map(|server| SyncedServer {
        id: server.id.clone(),
        entry: server.entry.clone(),
        grace_left_ms: grace_left_ms(&server.id),
    });
    synced.collect()
}

/// The part of a response that is about the server list.
#[derive(Debug)]
pub(super) struct SyncedList {
    /// Time since the start of the read from which the list comes.
    pub(super) age: Duration,
    /// Position up to which the peer has read the list.
    pub(super) position: Option<Position>,
    pub(super) stamp: Stamp,
    /// The complete list, if its stamp differs from the requested one.
    pub(super) servers: Option<Vec<SyncedServer>>,
    /// Which software versions the peer has seen on the list, if it tells that.
    pub(super) history: Option<SyncedVersionHistory>,
}

impl SyncedList {
    /// Takes the server list out of a response; returns `None` if the peer has none.
    pub(super) fn take_from(response: &mut SyncResponse) -> Option<Self> {
        let era = response.servers_era;
        Some(Self {
            age: Duration::from_millis(response.servers_age_ms?),
            position: response
                .servers_position
                .map(|offset| Position { era, offset }),
            stamp: response.servers_stamp,
            servers: response.servers.take(),
            history: response.version_history.clone(),
        })
    }
}

/// Which server list was last received on a connection.
#[derive(Debug, Default)]
pub(super) struct ReceivedList {
    /// Stamp of the list, with the number of this node's own reads before it was applied.
    received: Option<(Stamp, u64)>,
}

impl ReceivedList {
    /// Returns the stamp of the peer's list that this node holds. It holds none after a read of its own, which may have
    /// changed servers that don't change at the peer.
    pub(super) fn stamp(&self, catalog: &Catalog) -> Option<Stamp> {
        let own_reads = catalog.own_list_reads();
        let held = self.received.filter(|(_, reads)| *reads == own_reads);
        held.map(|(stamp, _)| stamp)
    }

    /// Applies the list in the response to a request sent at `sent_at`; returns the names of the servers that changed.
    ///
    /// With the stamp held here the list is unchanged, and only its age and position are updated. A list that this node
    /// doesn't hold and that the response lacks is ignored, and so is one that is older than what this node has read:
    /// then neither its stamp nor its position hold here.
    pub(super) fn apply(
        &mut self,
        catalog: &Catalog,
        list: SyncedList,
        sent_at: BootInstant,
    ) -> Vec<String> {
        let own_reads = catalog.own_list_reads();
        let is_held = self.stamp(catalog) == Some(list.stamp);
        self.received = None;
        if list.servers.is_none() && !is_held {
            return Vec::new();
        }
        let servers = list.servers.map(|servers| {
            let servers = servers.into_iter().map(|server| PeerServer {
                server: BackendServer {
                    id: server.id,
                    entry: server.entry,
                },
                grace_until: server
                    .grace_left_ms
                    .map(|left_ms| sent_at.plus(Duration::from_millis(left_ms))),
            });
            servers.collect()
        });
        let history = list.history.map(|history| {
            let (known_since, versions) = history.into_parts(BootInstant::now());
            PeerHistory {
                known_since,
                versions,
            }
        });
        // With its position, this node reads on from where the peer's list ends when it reads the source itself, as the relay or
        // because the data received from peers is stale.
        let list_of_peer = PeerList {
            servers,
            read_at: sent_at.before(list.age),
            position: list.position,
            history,
        };
        let Some(changed) = catalog.apply_peer_list(list_of_peer) else {
            return Vec::new();
        };
        self.received = Some((list.stamp, own_reads));
        changed
    }
}
