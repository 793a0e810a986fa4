//! The table of all kinds of events.

use slog::Level;

/// Makes the kinds out of one line each: the doc comment, the variant, its name in the log and its level.
macro_rules! event_kinds {
    ($($(#[$doc:meta])+ $kind:ident => $name:literal, $level:ident;)+) => {
        /// What happened.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum EventKind {
            $($(#[$doc])+ $kind,)+
        }

        impl EventKind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$kind,)+];

            /// Names the kind as it stands in the log.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)+
                }
            }

            /// Gives the level at which the kind is written.
            pub fn level(self) -> Level {
                match self {
                    $(Self::$kind => Level::$level,)+
                }
            }
        }
    };
}

event_kinds! {
    /// The process serves.
    NodeStarted => "node_started", Info;
    /// The process was asked to stop.
    NodeStopping => "node_stopping", Info;
    /// A caller's request arrived.
    RequestReceived => "request_received", Info;
    /// One attempt was sent to the owner of a backend server.
    AttemptSent => "attempt_sent", Info;
    /// An owner received an attempt.
    AttemptReceived => "attempt_received", Info;
    /// An attempt waits in its owner's queue.
    Queued => "queued", Info;
    /// An attempt left the queue for its backend server.
    Admitted => "admitted", Debug;
    /// An owner refused an attempt, since its backend server is at its bound.
    RefusedBusy => "refused_busy", Info;
    /// An owner handed an attempt to its backend server.
    HandedOver => "handed_over", Info;
    /// The head of an attempt's answer came, or the attempt was refused.
    AttemptEnded => "attempt_ended", Info;
    /// The head of an attempt's answer reached the entry, or the attempt failed on its way.
    AttemptReturned => "attempt_returned", Info;
    /// An entry sends a request once more.
    Retry => "retry", Info;
    /// A stream goes on through another connection or owner.
    Resumed => "resumed", Info;
    /// A request was cancelled at its backend server.
    Cancelled => "cancelled", Info;
    /// A caller's request got its outcome.
    RequestEnded => "request_ended", Info;
    /// A claim of a non-idempotent call was appended to the log.
    ClaimAppended => "claim_appended", Info;
    /// A claim is the first for its key, so that the call may run.
    ClaimWon => "claim_won", Info;
    /// Another claim came first, so that the call may not run.
    ClaimLost => "claim_lost", Info;
    /// A caller got a ticket.
    TicketIssued => "ticket_issued", Info;
    /// A peer is no longer heard of.
    PeerSuspected => "peer_suspected", Info;
    /// A peer is heard of again, or for the first time.
    PeerAlive => "peer_alive", Info;
    /// A node or a backend server leaves.
    Leaving => "leaving", Info;
    /// The view of hosts changed.
    ViewChanged => "view_changed", Info;
    /// A configuration version came into force.
    ConfigApplied => "config_applied", Info;
    /// A configuration record was refused.
    ConfigRefused => "config_refused", Warning;
    /// A backend server was given an order.
    OrderGiven => "order_given", Info;
    /// A backend server refused an order.
    OrderRefused => "order_refused", Warning;
    /// A message was stamped so far ahead that its stamp was dropped.
    StampDropped => "stamp_dropped", Warning;
}
