//! Decides what follows when a server has not answered a request: another send, more waiting, or giving up.
//!
//! Load pattern: servers fall silent for a second and go on, one alone or all at once, while others have ended for good.
//! Silence does not tell which. A send that is silent is therefore never given up: another server is asked beside it, if
//! the request may run twice, and the caller gets the answer that comes first. Servers that are all silent leave a part
//! of the retry budget for requests that fail without a retry.
//!
//! What proves that a send has ended, such as a broken connection, is followed by another send or, if no send is left
//! that may still be answered, by the end of the request. `docs/LOAD.md` has the limits that apply.

use super::retry_budget::RetryNeed;

/// How a send ended, or that it has been silent for longer than servers usually take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendState {
    /// Nothing has come from the server for some time; its answer may still come.
    Silent,
    /// No byte of the request reached a server.
    NotReached,
    /// Another server has the address, and did not run the request.
    Misdirected,
    /// The server reported that it did not run the request.
    NotRun,
    /// The server responded with a failure of its own.
    Failed,
    /// The connection broke or the response is of no use; the request may have run.
    Broken,
    /// The server has crashed, and the request may be the reason.
    Crashed,
    /// The time of the request is over.
    Late,
}

/// What bounds the sends of one request.
#[derive(Clone, Copy, Debug)]
pub struct FailoverView {
    /// Whether the request may run more than once.
    pub is_retryable: bool,
    /// Whether sends are left of the route's attempts, or a server that was released may get the request again.
    pub has_sends_left: bool,
    /// Whether the number of sends that reached no server is below its bound.
    pub may_miss_again: bool,
    /// Whether there is time for another send.
    pub has_time_left: bool,
    /// Whether a server may be sent the request that has not been sent it yet.
    pub has_untried_server: bool,
    /// Whether one of these is known to respond.
    pub has_responsive_server: bool,
    /// Whether a server crashed under the request, so that no other one may get it.
    pub may_crash_servers: bool,
    /// Whether another send of the request may still be answered.
    pub is_other_pending: bool,
}

/// What follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailoverStep {
    /// The request is sent to another server.
    Send,
    /// Another send, or the silent one, is waited for.
    Wait,
    /// The request ends with this result.
    GiveUp,
}

/// What bounds the question for the rest of a stream.
#[derive(Clone, Copy, Debug)]
pub struct RestView {
    /// Whether the stream may be resumed, after the event that the caller has last.
    pub can_resume: bool,
    /// Whether the server may get the request once more.
    pub has_sends_left: bool,
    /// Whether there is time for another send.
    pub has_time_left: bool,
    /// Whether the server is known to respond, and takes requests.
    pub is_responsive: bool,
    /// Whether a server crashed under the request, so that none may get it.
    pub may_crash_servers: bool,
}

/// Decides whether the server of a stream is asked for what follows its last event, since only the end of a connection told
/// that nothing does. A living server may have broken the stream off, and a relay before it may have closed where it should
/// have reset. Most such streams are whole, so the question takes only what failures leave of the budget.
pub fn asks_for_rest(view: &RestView, take_from_budget: impl FnOnce(RetryNeed) -> bool) -> bool {
    view.can_resume
        && view.has_sends_left
        && view.has_time_left
        && view.is_responsive
        && !view.may_crash_servers
        && take_from_budget(RetryNeed::Question)
}

/// Decides what follows after a send reached `state`. `take_from_budget` takes one retry from the service's retry budget
/// and returns whether it was granted; it is called only if nothing else forbids another send.
pub fn failover_step(
    state: SendState,
    view: &FailoverView,
    take_from_budget: impl FnOnce(RetryNeed) -> bool,
) -> FailoverStep {
    let need = if state == SendState::Silent && !view.has_responsive_server {
        RetryNeed::Spare
    } else {
        RetryNeed::Full
    };
    let take_from_budget = || take_from_budget(need);
    let may_run_again =
        view.is_retryable && view.has_sends_left && view.has_time_left && view.has_untried_server;
    let may_send = !view.may_crash_servers
        && match state {
            SendState::NotReached => view.may_miss_again,
            // A misdirected request arrived at a server, so the retry budget bounds it; one that was not sent did not.
            SendState::Misdirected => view.may_miss_again && take_from_budget(),
            // The request did not run, so it may be sent again on any route.
            SendState::NotRun => view.has_sends_left && take_from_budget(),
            SendState::Silent | SendState::Failed | SendState::Broken => {
                may_run_again && take_from_budget()
            }
            SendState::Crashed | SendState::Late => false,
        };
    if may_send {
        FailoverStep::Send
    } else if view.is_other_pending || state == SendState::Silent {
        FailoverStep::Wait
    } else {
        FailoverStep::GiveUp
    }
}
