//! Policies that are compared: today's decisions, what they replaced, and what was weighed against them.

use currantbend::decide::Admission;
use currantbend::decide::Choice;
use currantbend::decide::EnginePlacement;
use currantbend::decide::Placement;
use currantbend::decide::PlacementRequest;
use currantbend::decide::PlainPlacement;
use currantbend::decide::RetryAfter;
use currantbend::decide::ServerView;

/// Name of the policy that the gateway follows.
pub const TODAY: &str = "today";

/// Where requests wait that can't start at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Waiting {
    /// In the server's queue, the oldest first.
    AtServer,
    /// In the server's queue, the most urgent first: nodes tell it the rank.
    AtServerByUrgency,
    /// In a queue of the node that got it, the most urgent first.
    AtNode,
}

/// One way to decide.
pub struct Policy {
    /// Name in tables.
    pub name: &'static str,
    /// Chooses the server.
    pub placement: Box<dyn Placement>,
    /// Turns calls away early.
    pub admission: Option<Admission>,
    /// Where requests wait.
    pub waiting: Waiting,
    /// When callers that are turned away are told to come back.
    pub returns: RetryAfter,
}

/// Takes the server with the least known load.
struct LeastLoaded;

impl Placement for LeastLoaded {
    fn choose(&self, _: &PlacementRequest<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let sound = (0..servers.len()).filter(|&at| servers[at].is_available());
        let at = sound.min_by_key(|&at| servers[at].load)?;
        Some(Choice {
            index: at,
            passed_over: 0,
            copy_from: None,
        })
    }
}

/// Keeps every part at its first home, whatever the load.
struct ByHash;

impl Placement for ByHash {
    fn choose(&self, work: &PlacementRequest<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let mut idle = servers.to_vec();
        for server in &mut idle {
            server.load = 0;
        }
        EnginePlacement::default().choose(work, &idle)
    }
}

/// Today's admission, without a favour for callers that come back.
fn equal_admission() -> Admission {
    Admission {
        caller_retry_preference: 0.0,
        ..Admission::default()
    }
}

/// Gives the policies for chats at engines; the last is today's.
pub fn for_chats() -> Vec<Policy> {
    let policy = |name, placement, waiting| Policy {
        name,
        placement,
        admission: None,
        waiting,
        returns: RetryAfter::OTHER_NODE,
    };
    let homes = || Box::new(EnginePlacement::default());
    vec![
        policy("least-loaded", Box::new(LeastLoaded), Waiting::AtServer),
        policy("by-hash", Box::new(ByHash), Waiting::AtServer),
        policy("homes", homes(), Waiting::AtServer),
        policy("homes, urgency", homes(), Waiting::AtServerByUrgency),
        policy("homes, node queues", homes(), Waiting::AtNode),
        Policy {
            admission: Some(Admission::default()),
            returns: RetryAfter::SERVICE_FULL,
            ..policy("admission, urgency", homes(), Waiting::AtServerByUrgency)
        },
        Policy {
            admission: Some(equal_admission()),
            ..policy("admission, soon", homes(), Waiting::AtServer)
        },
        Policy {
            admission: Some(equal_admission()),
            returns: RetryAfter::SERVICE_FULL,
            ..policy("admission, equal", homes(), Waiting::AtServer)
        },
        Policy {
            admission: Some(Admission::default()),
            returns: RetryAfter::SERVICE_FULL,
            ..policy(TODAY, homes(), Waiting::AtServer)
        },
    ]
}

/// Gives the policies for calls at plain servers; the last is today's.
pub fn for_calls() -> Vec<Policy> {
    let policy = |name, placement, admission, returns| Policy {
        name,
        placement,
        admission,
        waiting: Waiting::AtServer,
        returns,
    };
    let drawn = || Box::new(PlainPlacement::default());
    let soon = RetryAfter::OTHER_NODE;
    vec![
        policy("least-loaded", Box::new(LeastLoaded), None, soon),
        policy("drawn", drawn(), None, soon),
        policy("admission, soon", drawn(), Some(equal_admission()), soon),
        policy(
            "admission, equal",
            drawn(),
            Some(equal_admission()),
            RetryAfter::SERVICE_FULL,
        ),
        policy(
            TODAY,
            drawn(),
            Some(Admission::default()),
            RetryAfter::SERVICE_FULL,
        ),
    ]
}
