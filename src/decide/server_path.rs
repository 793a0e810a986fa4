//! Decides how a gateway connects to a backend server: directly, or through another gateway as helper.
//!
//! Load pattern: a gateway loses its paths to some or all servers for seconds, while other gateways reach them. Its
//! connections hang, are reset, or live on while new ones are refused. A server that has gone looks the same to it, but then
//! no other gateway reaches the server either. Nothing is concluded from failures alone: a path counts as blocked when a
//! helper reached the server that this gateway could not connect to. A relay before a server that is gone still accepts
//! connections and closes them, each with a request that may have run; so once no server has answered on one, only an answer
//! shows that the path leads to a server again. `docs/REACHING-SERVERS.md` has the whole protocol.

use super::service_reach::ServerContact;
use crate::clock::BootInstant;
use std::time::Duration;

/// Time for which a server that no gateway asked could reach gets no requests.
const LOST_TIME: Duration = Duration::from_millis(500);
/// Interval at which a blocked path is tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// What a gateway knows of its path to one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerPath {
    /// When a direct connection last failed, if none has been established since.
    failed_at: Option<BootInstant>,
    /// When the first of these failures was, or the first one that timed out after others were refused.
    failing_since: Option<BootInstant>,
    /// How the last of these failures looked.
    failure: Option<ConnectFailure>,
    /// When a helper last reached the server, if no direct connection has been established since.
    tunnelled_at: Option<BootInstant>,
    /// When neither this gateway nor any helper that it asked reached the server, if none has since.
    lost_at: Option<BootInstant>,
    /// When a direct connection was last tried.
    tried_at: Option<BootInstant>,
    /// When a direct connection was last established.
    connected_at: Option<BootInstant>,
    /// Whether direct connections were accepted and no server answered on the last one, as it was asked whether it lives.
    is_unanswered: bool,
    /// When a server was last asked since an answer was not its own.
    doubted_at: Option<BootInstant>,
}

/// How a connection could not be established.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectFailure {
    /// The host refused it, or the operating system knows no way to it. Open connections may go on.
    Refused,
    /// Nothing came back. Open connections hang too.
    TimedOut,
}

/// How a server is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathState {
    /// Directly, as far as is known.
    Open,
    /// Through helpers only.
    Blocked,
    /// Not at all.
    Lost,
}

impl ServerPath {
    /// Returns how the server is reached at `now`.
    pub fn state(&self, now: BootInstant) -> PathState {
        let is_lost = self.lost_at.is_some_and(|at| now.since(at) < LOST_TIME);
        if is_lost {
            PathState::Lost
        } else if self.failed_at.is_some() && self.tunnelled_at.is_some() {
            PathState::Blocked
        } else if self.is_unanswered {
            PathState::Lost
        } else {
            PathState::Open
        }
    }

    /// Records that a direct connection is tried.
    pub fn record_try(&mut self, now: BootInstant) {
        self.tried_at = Some(now);
    }

    /// Records that a direct connection was established, which tells nothing of a server that did not answer on one before.
    pub fn record_connected(&mut self, now: BootInstant) {
        if !self.is_unanswered {
            self.record_answered(now);
        }
    }

    /// Records that a server answered on a direct connection.
    pub fn record_answered(&mut self, now: BootInstant) {
        *self = Self {
            tried_at: self.tried_at,
            connected_at: Some(now),
            doubted_at: self.doubted_at,
            ..Self::default()
        };
    }

    /// Records that a direct connection could not be established.
    pub fn record_failed(&mut self, failure: ConnectFailure, now: BootInstant) {
        self.is_unanswered = false;
        self.record_failure(failure, now);
    }

    /// Records that a direct connection was accepted, but ended without an answer of a server. Open ones may go on.
    pub fn record_unanswered(&mut self, now: BootInstant) {
        self.is_unanswered = true;
        self.record_failure(ConnectFailure::Refused, now);
    }

    fn record_failure(&mut self, failure: ConnectFailure, now: BootInstant) {
        let is_worse =
            self.failure == Some(ConnectFailure::Refused) && failure == ConnectFailure::TimedOut;
        if self.failing_since.is_none() || is_worse {
            self.failing_since = Some(now);
        }
        self.failed_at = Some(now);
        self.failure = Some(failure);
    }

    /// Records that a helper reached the server.
    pub fn record_tunnelled(&mut self, now: BootInstant) {
        self.tunnelled_at = Some(now);
        self.lost_at = None;
    }

    /// Records that neither this gateway nor any helper that it asked reached the server.
    pub fn record_lost(&mut self, now: BootInstant) {
        self.tunnelled_at = None;
        self.lost_at = Some(now);
    }

    /// Records that an answer names no request, so that a relay may have given it. Returns whether the server is to be asked
    /// whether it lives.
    pub fn record_doubt(&mut self, now: BootInstant) -> bool {
        let was_asked = self
            .doubted_at
            .is_some_and(|at| now.since(at) < RETRY_INTERVAL);
        let is_due = !was_asked && !self.is_unanswered;
        if is_due {
            self.doubted_at = Some(now);
        }
        is_due
    }

    /// Returns whether connections are accepted, but no server answered on the last one.
    pub fn is_unanswered(&self) -> bool {
        self.is_unanswered
    }

    /// Returns whether a direct connection failed a moment ago and none has been established since.
    pub fn has_just_failed(&self, now: BootInstant) -> bool {
        let is_blocked = self.state(now) == PathState::Blocked;
        is_blocked
            || self.is_unanswered
            || self.failed_at.is_some_and(|at| now.since(at) < LOST_TIME)
    }

    /// Returns what direct connections showed last.
    pub fn contact(&self) -> ServerContact {
        ServerContact {
            failed_at: self.failed_at,
            heard_at: self.connected_at,
        }
    }

    /// Returns since when direct connections have failed although helpers reach the server; `None` if the path is not
    /// blocked.
    pub fn blocked_since(&self, now: BootInstant) -> Option<BootInstant> {
        let since = self.failing_since;
        since.filter(|_| self.state(now) == PathState::Blocked)
    }

    /// Returns whether requests don't take the direct path until a try shows that it is free, and one is due.
    pub fn is_retry_due(&self, now: BootInstant) -> bool {
        let is_left = self.is_unanswered || self.state(now) == PathState::Blocked;
        is_left && self.has_not_been_tried_lately(now)
    }

    /// Returns whether the last try of a direct connection was some time ago.
    pub fn has_not_been_tried_lately(&self, now: BootInstant) -> bool {
        self.tried_at
            .is_none_or(|at| now.since(at) >= RETRY_INTERVAL)
    }
}

/// Returns when the last of `paths` was lost that are blocked now; connections that were open then may hang or be dead, whichever
/// server they lead to, unless something has arrived on one of that server's since. `None` if no path is blocked.
pub fn last_loss<'a>(
    paths: impl Iterator<Item = &'a ServerPath>,
    now: BootInstant,
) -> Option<BootInstant> {
    paths.filter_map(|path| path.blocked_since(now)).max()
}

/// Maximum number of tunnels that a gateway carries for others.
const MAX_CARRIED: u32 = 256;

/// Returns whether a gateway carries another tunnel for a requester for which it carries `own` already, and `others` for
/// other requesters. While others ask too, no requester gets more than half of the room.
pub fn may_carry(own: u32, others: u32) -> bool {
    let is_alone = others == 0;
    own + others < MAX_CARRIED && (is_alone || own < MAX_CARRIED / 2)
}
