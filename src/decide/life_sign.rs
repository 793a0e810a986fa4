//! Decides what the answer to a question tells of the server process that was asked for.
//!
//! Load pattern: a relay, a balancer or a parent process stands before each server and goes on accepting connections when the
//! server is gone. It closes or resets them, answers for the server that there is none, or leaves them silent. A sound server
//! that is full or slow is silent too, and one that has as many connections as it takes resets further ones. So an accepted
//! connection is no sign of life, and neither silence nor a reset is one of an end.

/// What a server's address tells of the process that its entry names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifeSign {
    /// That process answers.
    SameProcess,
    /// Another process answers.
    OtherProcess,
    /// A server answers that does not tell which process it is, or there is nothing to ask it.
    Unnamed,
    /// Something accepts connections, but closes them or answers that there is no server.
    NoAnswer,
    /// Something accepts connections and resets them.
    Reset,
    /// Something accepts connections, and nothing comes on them in time.
    Silent,
    /// Nothing accepts a connection in time.
    Unreachable,
}

impl LifeSign {
    /// Returns the name that log lines and metrics give it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SameProcess => "same process",
            Self::OtherProcess => "other process",
            Self::Unnamed => "unnamed",
            Self::NoAnswer => "no answer",
            Self::Reset => "reset",
            Self::Silent => "silent",
            Self::Unreachable => "unreachable",
        }
    }

    /// Returns whether the process has ended, or its path is cut where it can't be seen from here.
    pub fn is_gone(self) -> bool {
        matches!(self, Self::OtherProcess | Self::NoAnswer)
    }
}
