//! Decides what the ends of a gateway's connections to a server tell of its process.
//!
//! Load pattern: a server ends behind a relay that goes on accepting for it and then resets new connections or leaves them
//! silent. A sound server does the same to new connections while it is full, but those that it has taken go on, while the end of a
//! process ends them all at the same moment. A connection is taken if the server has answered on it, or if it has been open for
//! longer than a server takes to turn it away. `docs/design/CONNECTION-SIGNS.md` has what other signs are worth.

use crate::clock::BootInstant;
use std::time::Duration;

/// Time within which a server turns a connection away that it does not take, and within which the connections of a process that
/// ends are closed, each behind a relay too.
const END_TIME: Duration = Duration::from_millis(50);

/// What became of the connections to one server process.
#[derive(Clone, Debug, Default)]
pub struct ConnectionEnds {
    /// Number of the open ones on which the server has answered.
    answered: usize,
    /// When the other open ones were opened.
    unanswered: Vec<BootInstant>,
    /// When the other side last ended one that the server had taken, if the server has not answered since.
    ended_at: Option<BootInstant>,
}

/// A connection to a server.
#[derive(Clone, Copy, Debug)]
pub struct OpenConnection {
    /// When it was opened.
    pub opened_at: BootInstant,
    /// Whether the server has answered on it.
    pub is_answered: bool,
}

impl ConnectionEnds {
    /// Records that a connection was opened.
    pub fn record_opened(&mut self, now: BootInstant) {
        self.unanswered.push(now);
    }

    /// Records that the server answers on `connection`, which tells whether it did before.
    pub fn record_answer(&mut self, connection: OpenConnection) {
        if !connection.is_answered {
            self.remove(connection);
            self.answered += 1;
        }
        self.ended_at = None;
    }

    /// Records that the other side ended `connection`.
    pub fn record_ended(&mut self, connection: OpenConnection, now: BootInstant) {
        self.remove(connection);
        if connection.is_taken(now) {
            self.ended_at = Some(now);
        }
    }

    /// Records that `connection` was closed here or that its path failed. If another one had ended well before, the server's
    /// process has not ended with that.
    pub fn record_closed(&mut self, connection: OpenConnection, now: BootInstant) {
        self.remove(connection);
        self.ended_at = self
            .ended_at
            .filter(|at| !connection.is_taken(*at) || now.since(*at) < END_TIME);
    }

    /// Records that the server has answered on a connection that carries no request.
    pub fn record_life(&mut self) {
        self.ended_at = None;
    }

    /// Returns whether the server answers on an open connection.
    pub fn is_open(&self) -> bool {
        self.answered > 0
    }

    /// Returns whether the other side ended connections, and none that the server had taken by then goes on. What was opened
    /// since may have reached no further than a relay.
    pub fn have_all_ended(&self) -> bool {
        self.ended_at.is_some_and(|at| self.have_others_ended(at))
    }

    /// Returns [`ConnectionEnds::have_all_ended`] for ends since `since`.
    pub fn have_all_ended_since(&self, since: BootInstant) -> bool {
        self.ended_at
            .is_some_and(|at| at >= since && self.have_others_ended(at))
    }

    fn have_others_ended(&self, at: BootInstant) -> bool {
        let is_taken = |opened_at: &BootInstant| {
            let connection = OpenConnection {
                opened_at: *opened_at,
                is_answered: false,
            };
            connection.is_taken(at)
        };
        self.answered == 0 && !self.unanswered.iter().any(is_taken)
    }

    fn remove(&mut self, connection: OpenConnection) {
        if connection.is_answered {
            self.answered -= 1;
        } else {
            let opened_at = connection.opened_at;
            let index = self.unanswered.iter().position(|at| *at == opened_at);
            index.map(|index| self.unanswered.swap_remove(index));
        }
    }
}

impl OpenConnection {
    /// Returns whether the server had taken the connection at `now`.
    fn is_taken(&self, now: BootInstant) -> bool {
        self.is_answered || now.since(self.opened_at) >= END_TIME
    }
}
