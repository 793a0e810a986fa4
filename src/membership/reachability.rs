//! Which nodes can be reached from here, by this node's own connections to its peers.

use std::time::Duration;
use std::time::Instant;

/// Pause before a peer that answered a suspicion is suspected again.
const REPEATED_SUSPICION_DELAY: Duration = Duration::from_secs(3);

/// A peer that this node holds, or tries to hold, a connection to.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Name of the peer.
    pub(super) name: String,
    /// Its data centre.
    pub(super) data_centre: String,
    /// Whether a connection has been tried at least once.
    pub(super) tried: bool,
    /// Since when there has been no working connection; nothing while there is one.
    pub(super) down_since: Option<Instant>,
    /// When it was last suspected in the present time without a connection.
    suspected_at: Option<Instant>,
}

impl Peer {
    fn is_down(&self, grace: Duration, now: Instant) -> bool {
        self.down_since
            .is_some_and(|since| now.saturating_duration_since(since) >= grace)
    }
}

/// All peers of this node.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    // Sorted by name.
    peers: Vec<Peer>,
}

impl Reachability {
    /// Begins to watch a peer that a connection is about to be opened to.
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

    /// Ends watching a peer.
    pub(super) fn remove(&mut self, name: &str) {
        if let Ok(i) = self.find(name) {
            self.peers.remove(i);
        }
    }

    /// Notes that the connection to a peer works.
    pub(super) fn record_connected(&mut self, name: &str) {
        if let Ok(i) = self.find(name) {
            self.peers[i].tried = true;
            self.peers[i].down_since = None;
            self.peers[i].suspected_at = None;
        }
    }

    /// Notes that there is no connection to a peer.
    pub(super) fn record_disconnected(&mut self, name: &str, now: Instant) {
        if let Ok(i) = self.find(name) {
            self.peers[i].tried = true;
            self.peers[i].down_since.get_or_insert(now);
        }
    }

    /// Tells whether every peer has been tried.
    pub(super) fn all_tried(&self) -> bool {
        self.peers.iter().all(|peer| peer.tried)
    }

    /// Takes the peers of `data_centre` that are due to be suspected: out of reach for `grace`, after at least one try.
    ///
    /// One that answers a suspicion is reached by others, and is suspected again only after a pause.
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

    /// Tells whether a node can be reached from here, as far as this node's connections show.
    ///
    /// A node of another data centre that is no peer counts as reachable while one peer of its data centre is.
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
