//! Reasons why a request was not answered, each with its name in messages and its HTTP status.

use hyper::StatusCode;

/// Declares an enum of reasons as a table of variant, name and HTTP status, so that no variant lacks a name or status.
macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal, $status:ident;)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $name { $($(#[$vdoc])* $variant,)* }

        impl $name {
            /// All reasons, in the order of declaration.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the name of the reason, as used in messages.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }

            /// Returns the HTTP status of the response to the caller.
            pub fn status(self) -> StatusCode {
                match self { $(Self::$variant => StatusCode::$status,)* }
            }

            /// Returns the reason with the given name, or `None` if this version does not know the name.
            pub fn from_name(name: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|reason| reason.as_str() == name)
            }
        }
    };
}

reasons! {
    /// Why a request certainly did not run.
    NotRun {
        /// The request is invalid.
        BadRequest = "bad-request", BAD_REQUEST;
        /// The body is larger than the entry accepts.
        TooLarge = "too-large", PAYLOAD_TOO_LARGE;
        /// The bearer key belongs to no team.
        Unauthorized = "unauthorized", UNAUTHORIZED;
        /// No route matches the request path.
        NotFound = "not-found", NOT_FOUND;
        /// No such model or service is configured.
        UnknownService = "unknown-service", NOT_FOUND;
        /// No backend server of the service can be reached.
        NoBackend = "no-backend", SERVICE_UNAVAILABLE;
        /// The chosen backend server is at its load bound.
        Busy = "busy", SERVICE_UNAVAILABLE;
        /// The queue in front of the backend server is full, or the maximum number of keys or tickets is stored.
        QueueFull = "queue-full", TOO_MANY_REQUESTS;
        /// The request reached the maximum waiting time in the queue.
        QueueTimeout = "queue-timeout", SERVICE_UNAVAILABLE;
        /// The deadline of the request passed, or can't be met any more.
        Deadline = "deadline", GATEWAY_TIMEOUT;
        /// No connection could be opened to the backend server or to the node that owns it.
        ConnectFailed = "connect-failed", SERVICE_UNAVAILABLE;
        /// The backend server itself reported that it did not run the request.
        RefusedByBackend = "refused-by-backend", SERVICE_UNAVAILABLE;
        /// The receiving node is not the owner of the backend server.
        NotOwner = "not-owner", SERVICE_UNAVAILABLE;
        /// The node or the backend server is shutting down.
        Stopping = "stopping", SERVICE_UNAVAILABLE;
        /// The call is non-idempotent and has no valid idempotency key or ticket.
        KeyRequired = "key-required", BAD_REQUEST;
        /// The key was used before for a different call: team, service, method, path or body differ.
        KeyReused = "key-reused", UNPROCESSABLE_ENTITY;
        /// The time in the key is in the future, beyond the allowed clock skew.
        KeyFromFuture = "key-from-future", BAD_REQUEST;
        /// The ticket expired before it was redeemed and can't be redeemed any more.
        TicketExpired = "ticket-expired", GONE;
        /// The log did not decide in time whether this node holds the call's key, so the claim was given up.
        LogUnavailable = "log-unavailable", SERVICE_UNAVAILABLE;
        /// The retry budget is exhausted.
        RetryBudget = "retry-budget", SERVICE_UNAVAILABLE;
    }
}

impl NotRun {
    /// Returns whether the cause is temporary, so that a later retry of the same request may be answered.
    pub fn is_temporary(self) -> bool {
        let statuses = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        statuses.contains(&self.status())
    }
}

reasons! {
    /// Why it is not known whether a request ran.
    Unknown {
        /// The connection was lost after the request was sent.
        ConnectionLost = "connection-lost", BAD_GATEWAY;
        /// The request was sent, and no answer arrived in time.
        Timeout = "timeout", GATEWAY_TIMEOUT;
        /// The received answer belongs to another request.
        CrossedAnswer = "crossed-answer", BAD_GATEWAY;
        /// The answer ended before it was complete, or is too large to read.
        Truncated = "truncated", BAD_GATEWAY;
        /// The answer is malformed.
        BadAnswer = "bad-answer", BAD_GATEWAY;
        /// The key's first request is still running, or was running when its node was last seen.
        KeyRunning = "key-running", CONFLICT;
        /// The key's first call was answered, but its answer is not stored: it was too large, or was evicted.
        AnswerNotKept = "answer-not-kept", GONE;
        /// The key or ticket is so old that the record of an earlier call may have been discarded.
        Expired = "expired", GONE;
        /// The node or process that may have run the call can't report its outcome any more.
        ClaimerLost = "claimer-lost", BAD_GATEWAY;
    }
}
