//! Table of all kinds of events.

use slog::Level;

/// Generates [`EventKind`] from a table. Each row has a doc comment, the variant, its name in the log and its level.
macro_rules! event_kinds {
    ($($(#[$doc:meta])+ $kind:ident => $name:literal, $level:ident;)+) => {
        /// Kind of an event.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum EventKind {
            $($(#[$doc])+ $kind,)+
        }

        impl EventKind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$kind,)+];

            /// Returns the name of the kind as written in the log.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)+
                }
            }

            /// Returns the log level of the kind.
            pub fn level(self) -> Level {
                match self {
                    $(Self::$kind => Level::$level,)+
                }
            }
        }
    };
}

event_kinds! {
    /// The process started to serve requests.
    NodeStarted => "node_started", Info;
    /// The process was asked to stop.
    NodeStopping => "node_stopping", Info;
    /// A caller's request arrived.
    RequestReceived => "request_received", Info;
    /// An attempt was sent to the owner of a backend server.
    AttemptSent => "attempt_sent", Info;
    /// An owner received an attempt.
    AttemptReceived => "attempt_received", Info;
    /// An attempt was put into its owner's queue.
    Queued => "queued", Info;
    /// An attempt left the queue for its backend server.
    Admitted => "admitted", Debug;
    /// An owner refused an attempt because its backend server is at its bound and the attempt could not wait.
    RefusedBusy => "refused_busy", Info;
    /// An owner passed an attempt on to its backend server.
    HandedOver => "handed_over", Info;
    /// An owner received the head of the backend server's response to an attempt, or the attempt was refused.
    AttemptEnded => "attempt_ended", Info;
    /// The entry received the head of the response to an attempt, or the attempt failed before that.
    AttemptReturned => "attempt_returned", Info;
    /// The entry retries a request with another attempt.
    Retry => "retry", Info;
    /// A stream was resumed over another connection or owner.
    Resumed => "resumed", Info;
    /// A request was cancelled at its backend server.
    Cancelled => "cancelled", Info;
    /// A caller's request ended with an outcome.
    RequestEnded => "request_ended", Info;
    /// A claim of a non-idempotent call was appended to the log.
    ClaimAppended => "claim_appended", Info;
    /// A claim is the first for its key, so the call may run.
    ClaimWon => "claim_won", Info;
    /// Another claim for the same key came first, so the call may not run.
    ClaimLost => "claim_lost", Info;
    /// A ticket was issued to a caller.
    TicketIssued => "ticket_issued", Info;
    /// No messages have arrived from a peer for some time.
    PeerSuspected => "peer_suspected", Info;
    /// Messages arrive from a peer again, or for the first time.
    PeerAlive => "peer_alive", Info;
    /// A node or a backend server is shutting down.
    Leaving => "leaving", Info;
    /// The view of hosts changed.
    ViewChanged => "view_changed", Info;
    /// A configuration version came into force.
    ConfigApplied => "config_applied", Info;
    /// A configuration record was refused.
    ConfigRefused => "config_refused", Warning;
    /// An order was sent to a backend server.
    OrderGiven => "order_given", Info;
    /// A backend server refused an order.
    OrderRefused => "order_refused", Warning;
    /// The stamp of a message was dropped because it is too far ahead of this host's clock.
    StampDropped => "stamp_dropped", Warning;
}
