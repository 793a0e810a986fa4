//! Why a request got no answer, each reason with its name in messages and its HTTP status.

use hyper::StatusCode;

/// Declares an enum of reasons with their names and statuses in one table, so that none can be left out.
macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal, $status:ident;)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $name { $($(#[$vdoc])* $variant,)* }

        impl $name {
            /// All reasons.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Names the reason as it stands in messages.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }

            /// Gives the HTTP status that a caller gets.
            pub fn status(self) -> StatusCode {
                match self { $(Self::$variant => StatusCode::$status,)* }
            }

            /// Finds the reason by its name in messages.
            pub fn from_name(name: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|reason| reason.as_str() == name)
            }
        }
    };
}

reasons! {
    /// Why a request certainly did not run.
    NotRun {
        /// The request itself is at fault.
        BadRequest = "bad-request", BAD_REQUEST;
        /// The body is larger than the entry accepts.
        TooLarge = "too-large", PAYLOAD_TOO_LARGE;
        /// The bearer key belongs to no team.
        Unauthorized = "unauthorized", UNAUTHORIZED;
        /// There is nothing at that path.
        NotFound = "not-found", NOT_FOUND;
        /// No such model or service is configured.
        UnknownService = "unknown-service", NOT_FOUND;
        /// No backend server of the service can be reached.
        NoBackend = "no-backend", SERVICE_UNAVAILABLE;
        /// The chosen backend server is at its bound.
        Busy = "busy", SERVICE_UNAVAILABLE;
        /// The queue before the backend server is full.
        QueueFull = "queue-full", TOO_MANY_REQUESTS;
        /// The request waited in the queue for as long as is allowed.
        QueueTimeout = "queue-timeout", SERVICE_UNAVAILABLE;
        /// The deadline can't be met.
        Deadline = "deadline", GATEWAY_TIMEOUT;
        /// No connection to the backend server or the node before it could be had.
        ConnectFailed = "connect-failed", SERVICE_UNAVAILABLE;
        /// The backend server itself said that it did not run the request.
        RefusedByBackend = "refused-by-backend", SERVICE_UNAVAILABLE;
        /// The asked node does not know the backend server or does not trust the sender.
        NotOwner = "not-owner", SERVICE_UNAVAILABLE;
        /// The node is about to stop.
        Stopping = "stopping", SERVICE_UNAVAILABLE;
        /// The call is non-idempotent and carries no usable key.
        KeyRequired = "key-required", BAD_REQUEST;
        /// The key was used before with another body.
        KeyReused = "key-reused", UNPROCESSABLE_ENTITY;
        /// The key names a time in the future.
        KeyFromFuture = "key-from-future", BAD_REQUEST;
        /// The ticket was not redeemed in time and never will be.
        TicketExpired = "ticket-expired", GONE;
        /// The log can't take the claim that the call needs.
        LogUnavailable = "log-unavailable", SERVICE_UNAVAILABLE;
        /// The retry budget is spent.
        RetryBudget = "retry-budget", SERVICE_UNAVAILABLE;
    }
}

impl NotRun {
    /// Tells whether the same request may be answered later.
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
        /// The connection was lost after the hand-over.
        ConnectionLost = "connection-lost", BAD_GATEWAY;
        /// No answer came in time after the hand-over.
        Timeout = "timeout", GATEWAY_TIMEOUT;
        /// The answer belongs to another request.
        CrossedAnswer = "crossed-answer", BAD_GATEWAY;
        /// The answer was cut short.
        Truncated = "truncated", BAD_GATEWAY;
        /// The answer can't be understood.
        BadAnswer = "bad-answer", BAD_GATEWAY;
        /// The key's first request is still running, or was when its node was last heard of.
        KeyRunning = "key-running", CONFLICT;
        /// The key's call was answered, but its answer was too large to be kept.
        AnswerNotKept = "answer-not-kept", GONE;
        /// The key is older than what the log still holds.
        Expired = "expired", GONE;
        /// The node that ran the request is gone.
        ClaimerLost = "claimer-lost", BAD_GATEWAY;
    }
}
