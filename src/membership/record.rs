//! What is known of a node, with its version.

use crate::border::generated::gossip::NodeRecord;
use crate::border::generated::gossip::RecordState;
use crate::routing::rendezvous;

/// How a node stands, in the order in which one replaces another of the same version.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum NodeStatus {
    /// It serves.
    Live,
    /// A neighbour can't reach it; it may answer by a newer record.
    Suspect,
    /// It was suspected and has not answered in time.
    Dead,
    /// It is about to stop, by its own word.
    Leaving,
}

/// A node's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Record {
    /// Name in the host list.
    pub(super) name: String,
    /// Incarnation of its process.
    pub(super) incarnation: u64,
    /// Sequence number that the node itself gave.
    pub(super) sequence: u64,
    /// How it stands.
    pub(super) status: NodeStatus,
}

impl Record {
    /// Gives what decides which of two records is newer.
    pub(super) fn precedence(&self) -> (u64, u64, NodeStatus) {
        (self.incarnation, self.sequence, self.status)
    }

    /// Gives the same version with another status.
    pub(super) fn with_status(&self, status: NodeStatus) -> Self {
        Self {
            status,
            ..self.clone()
        }
    }

    /// Tells whether the node serves, as far as is known.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.status, NodeStatus::Live | NodeStatus::Suspect)
    }

    /// Gives a hash of the whole record.
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
