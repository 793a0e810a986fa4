//! The versioned record of one node, which nodes exchange by gossip.

use crate::border::generated::gossip::NodeRecord;
use crate::border::generated::gossip::RecordState;
use crate::routing::rendezvous;

/// Status of a node. Of two records with the same incarnation and sequence number, the one with the later variant has
/// precedence.
///
/// The names of the variants are hashed into the digest that nodes compare (see [`Record::digest`]), so renaming one
/// makes the digests of old and new programs differ.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum NodeStatus {
    /// The node is running.
    Live,
    /// A peer can't reach the node, which can still refute the suspicion by a record with a higher sequence number.
    Suspect,
    /// The node was suspected and has not refuted that in time.
    Dead,
    /// The node has announced that it is about to stop.
    Leaving,
}

/// The known status of a node, with the version of that knowledge.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Record {
    /// Name in the host list.
    pub(super) name: String,
    /// Incarnation of its process.
    pub(super) incarnation: u64,
    /// Sequence number, which only the node itself increases.
    pub(super) sequence: u64,
    /// Status of the node.
    pub(super) status: NodeStatus,
}

impl Record {
    /// Returns the key by which records of the same node are ordered; the higher one is newer.
    pub(super) fn precedence(&self) -> (u64, u64, NodeStatus) {
        (self.incarnation, self.sequence, self.status)
    }

    /// Returns a copy with the same incarnation and sequence number and the given status.
    pub(super) fn with_status(&self, status: NodeStatus) -> Self {
        Self {
            status,
            ..self.clone()
        }
    }

    /// Returns whether the node counts as live: it is running, or only suspected.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.status, NodeStatus::Live | NodeStatus::Suspect)
    }

    /// Returns a hash of the whole record.
    pub(super) fn digest(&self) -> u64 {
        let precedence = self.precedence();
        rendezvous::score(&self.name, &format!("{precedence:?}"))
    }
}

impl From<&Record> for NodeRecord {
    fn from(record: &Record) -> Self {
        Self {
            n: record.name.clone(),
            i: record.incarnation,
            s: record.sequence,
            st: match record.status {
                NodeStatus::Live => RecordState::Live,
                NodeStatus::Suspect => RecordState::Suspect,
                NodeStatus::Dead => RecordState::Dead,
                NodeStatus::Leaving => RecordState::Leaving,
            },
        }
    }
}

impl From<NodeRecord> for Record {
    fn from(record: NodeRecord) -> Self {
        Self {
            name: record.n,
            incarnation: record.i,
            sequence: record.s,
            status: match record.st {
                RecordState::Live => NodeStatus::Live,
                RecordState::Suspect => NodeStatus::Suspect,
                RecordState::Dead => NodeStatus::Dead,
                RecordState::Leaving => NodeStatus::Leaving,
            },
        }
    }
}
