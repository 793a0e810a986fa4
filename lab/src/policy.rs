//! The policies that the lab compares: the gateway's current one, those that it replaced, and alternatives.

use currantbend::decide::Admission;
use currantbend::decide::Choice;
use currantbend::decide::EnginePlacement;
use currantbend::decide::Placement;
use currantbend::decide::PlacementRequest;
use currantbend::decide::PlainPlacement;
use currantbend::decide::RetryAfter;
use currantbend::decide::ServerView;

/// Name of the gateway's current policy.
pub const CURRENT: &str = "today";

/// Where requests that can't start immediately wait, and in which order they start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDiscipline {
    /// In the queue of the server; the oldest request starts first.
    ServerByArrival,
    /// In the queue of the server; the most urgent request starts first, by the rank that the node sends along.
    ServerByRank,
    /// In a queue of the node that received the request, until the chosen server has a free slot; the most urgent
    /// request is sent first.
    NodeByRank,
}

/// How requests are admitted, placed and queued, and when rejected callers may retry.
pub struct Policy {
    /// Name in tables.
    pub name: &'static str,
    /// Chooses the server for a request.
    pub placement: Box<dyn Placement>,
    /// Admission control, which rejects requests before the queues are full; `None` accepts all.
    pub admission: Option<Admission>,
    /// Where requests wait, and in which order they start.
    pub queue_discipline: QueueDiscipline,
    /// Range of the retry-after delays that rejected callers receive.
    pub retry_after: RetryAfter,
    /// Whether the nodes tell each other how long servers take, and place calls by it.
    pub uses_paces: bool,
}

/// Chooses the server with the least known load.
struct LeastLoaded;

impl Placement for LeastLoaded {
    fn choose(&self, _: &PlacementRequest<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let available = (0..servers.len()).filter(|&index| servers[index].is_available());
        let chosen = available.min_by_key(|&index| servers[index].load)?;
        Some(Choice {
            index: chosen,
            passed_over: 0,
            copy_from: None,
        })
    }
}

/// Chooses the first home of the request's shared prompt parts, regardless of its load.
struct ByHash;

impl Placement for ByHash {
    fn choose(&self, request: &PlacementRequest<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let mut idle = servers.to_vec();
        for server in &mut idle {
            server.load = 0;
        }
        EnginePlacement::default().choose(request, &idle)
    }
}

/// Returns the current admission control without the preference for caller retries.
fn admission_without_preference() -> Admission {
    Admission {
        caller_retry_preference: 0.0,
        ..Admission::default()
    }
}

/// Returns the policies for chats at engines; the last one is the gateway's current policy.
///
/// The names say what differs: `homes` places chats at the homes of their shared prompt parts, and `admission` adds
/// admission control. With `urgency` the most urgent waiting request starts first. With `soon` the retry-after delays
/// are short, and with `equal` they are long; both have no preference for caller retries.
pub fn for_chats() -> Vec<Policy> {
    let policy = |name, placement, queue_discipline| Policy {
        name,
        placement,
        admission: None,
        queue_discipline,
        retry_after: RetryAfter::OTHER_NODE,
        uses_paces: true,
    };
    let engine_placement = || Box::new(EnginePlacement::default());
    vec![
        policy(
            "least-loaded",
            Box::new(LeastLoaded),
            QueueDiscipline::ServerByArrival,
        ),
        policy(
            "by-hash",
            Box::new(ByHash),
            QueueDiscipline::ServerByArrival,
        ),
        policy(
            "homes",
            engine_placement(),
            QueueDiscipline::ServerByArrival,
        ),
        policy(
            "homes, urgency",
            engine_placement(),
            QueueDiscipline::ServerByRank,
        ),
        policy(
            "homes, node queues",
            engine_placement(),
            QueueDiscipline::NodeByRank,
        ),
        Policy {
            admission: Some(Admission::default()),
            retry_after: RetryAfter::SERVICE_FULL,
            ..policy(
                "admission, urgency",
                engine_placement(),
                QueueDiscipline::ServerByRank,
            )
        },
        Policy {
            admission: Some(admission_without_preference()),
            ..policy(
                "admission, soon",
                engine_placement(),
                QueueDiscipline::ServerByArrival,
            )
        },
        Policy {
            admission: Some(admission_without_preference()),
            retry_after: RetryAfter::SERVICE_FULL,
            ..policy(
                "admission, equal",
                engine_placement(),
                QueueDiscipline::ServerByArrival,
            )
        },
        Policy {
            admission: Some(Admission::default()),
            retry_after: RetryAfter::SERVICE_FULL,
            ..policy(
                CURRENT,
                engine_placement(),
                QueueDiscipline::ServerByArrival,
            )
        },
    ]
}

/// Returns the policies for calls at plain servers; the last one is the gateway's current policy.
///
/// `drawn` chooses servers at random, weighted by their free capacity. `admission` adds admission control, with `soon`
/// and `equal` as for chats. `without paces` treats a slow server like any other.
pub fn for_calls() -> Vec<Policy> {
    let policy = |name, placement, admission, retry_after| Policy {
        name,
        placement,
        admission,
        queue_discipline: QueueDiscipline::ServerByArrival,
        retry_after,
        uses_paces: true,
    };
    let plain_placement = || Box::new(PlainPlacement::default());
    let other_node = RetryAfter::OTHER_NODE;
    vec![
        policy("least-loaded", Box::new(LeastLoaded), None, other_node),
        policy("drawn", plain_placement(), None, other_node),
        policy(
            "admission, soon",
            plain_placement(),
            Some(admission_without_preference()),
            other_node,
        ),
        policy(
            "admission, equal",
            plain_placement(),
            Some(admission_without_preference()),
            RetryAfter::SERVICE_FULL,
        ),
        Policy {
            uses_paces: false,
            ..policy(
                "without paces",
                plain_placement(),
                Some(Admission::default()),
                RetryAfter::SERVICE_FULL,
            )
        },
        policy(
            CURRENT,
            plain_placement(),
            Some(Admission::default()),
            RetryAfter::SERVICE_FULL,
        ),
    ]
}
