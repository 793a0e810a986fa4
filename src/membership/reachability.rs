//! Which nodes this node can reach, judged by its own connections to its peers.

use std::time::Duration;
use std::time::Instant;

/// Time after which a peer that is still without a connection is suspected again.
const REPEATED_SUSPICION_DELAY: Duration = Duration::from_secs(3);

/// A peer that this node has, or tries to open, a connection to.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Name of the peer.
    pub(super) name: String,
    /// Data centre of the peer.
    pub(super) data_centre: String,
    /// Whether an attempt to connect has succeeded or failed since the peer was inserted.
    pub(super) tried: bool,
    /// Since when there has been no working connection, or `None` while there is one.
    pub(super) down_since: Option<Instant>,
    /// When the peer was last suspected since the connection was lost.
    suspected_at: Option<Instant>,
}

impl Peer {
    fn is_down(&self, grace: Duration, now: Instant) -> bool {
        self.down_since
            .is_some_and(|since| now.saturating_duration_since(since) >= grace)
    }
}

/// Connection state of all peers of this node.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    // Sorted by name.
    peers: Vec<Peer>,
}

impl Reachability {
    /// Inserts a peer that a connection is about to be opened to, as not connected since `now`.
    pub(super) fn insert(&mut self, name: &str, data_centre: &str, now: Instant) {
        let peer = Peer {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            tried: false,
            down_since: Some(now),
            suspected_at: None,
        };
        match self.find(name) {
            Ok(i) => self.peers[i] = peer,
            Err(i) => self.peers.insert(i, peer),
        }
    }

    /// Removes a peer.
    pub(super) fn remove(&mut self, name: &str) {
        if let Ok(i) = self.find(name) {
            self.peers.remove(i);
        }
    }

    /// Records that the connection to a peer works.
    pub(super) fn record_connected(&mut self, name: &str) {
        if let Ok(i) = self.find(name) {
            self.peers[i].tried = true;
            self.peers[i].down_since = None;
            self.peers[i].suspected_at = None;
        }
    }

    /// Records that there is no connection to a peer.
    pub(super) fn record_disconnected(&mut self, name: &str, now: Instant) {
        if let Ok(i) = self.find(name) {
            self.peers[i].tried = true;
            self.peers[i].down_since.get_or_insert(now);
        }
    }

    /// Returns whether each peer has been tried.
    pub(super) fn all_tried(&self) -> bool {
        self.peers.iter().all(|peer| peer.tried)
    }

    /// Returns the peers of `data_centre` that are to be suspected now, and records when they were suspected. These are
    /// the peers without a connection for at least `grace`, after at least one attempt to connect.
    ///
    /// A peer that refutes the suspicion is reached by other nodes. It is suspected again only after
    /// [`REPEATED_SUSPICION_DELAY`], since otherwise suspicions and answers would go on without a pause.
    pub(super) fn take_suspects(
        &mut self,
        data_centre: &str,
        grace: Duration,
        now: Instant,
    ) -> Vec<String> {
        let mut suspects = Vec::new();
        for peer in &mut self.peers {
            let is_recent =
                |at: Instant| now.saturating_duration_since(at) < REPEATED_SUSPICION_DELAY;
            let is_unreachable =
                peer.tried && peer.data_centre == data_centre && peer.is_down(grace, now);
            if is_unreachable && !peer.suspected_at.is_some_and(is_recent) {
                peer.suspected_at = Some(now);
                suspects.push(peer.name.clone());
            }
        }
        suspects
    }

    /// Returns whether this node can reach the node `name`, as far as its connections show. `is_near` says whether the
    /// node is in the same data centre.
    ///
    /// A peer is unreachable after `grace` without a connection. A node that is no peer counts as reachable if it is in
    /// the same data centre, if at least one peer of its data centre is reachable, or if there is no peer there.
    pub(super) fn is_reachable(
        &self,
        name: &str,
        data_centre: &str,
        is_near: bool,
        grace: Duration,
        now: Instant,
    ) -> bool {
        if let Ok(i) = self.find(name) {
            return !self.peers[i].is_down(grace, now);
        }
        let mut peers_there = self
            .peers
            .iter()
            .filter(|peer| peer.data_centre == data_centre)
            .peekable();
        is_near || peers_there.peek().is_none() || peers_there.any(|peer| !peer.is_down(grace, now))
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.name.as_str().cmp(name))
    }
}
