//! What all kinds of calls share: attempts, refusals and the reading of outcomes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use rand::rngs::StdRng;
use serde_json::Value;

use super::CALL_TIMEOUT;
use super::MAX_ATTEMPTS;
use super::MAX_CONNECT_ATTEMPTS;
use super::MAX_RETRY_AFTER;
use super::client::Client;
use super::client::SendError;
use super::directory::Directory;
use super::directory::NodeEntry;
use super::expected::Expected;
use super::expected::truncate;
use super::record::CallOutcome;
use super::record::CallRecord;

/// Pause after a refusal that names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Reason of a refusal whose key is in use by an earlier attempt.
const KEY_RUNNING: &str = "key-running";

/// What an attempt needs of its caller.
pub struct CallContext<'a> {
    /// The caller's connections.
    pub client: &'a mut Client,
    /// The nodes.
    pub directory: &'a Arc<Directory>,
    /// The caller's generator.
    pub rng: &'a mut StdRng,
    /// Node that all attempts go to, in place of the balancer's choice.
    pub pinned: Option<&'a str>,
}

/// Makes a call with all its attempts, fills in its record and returns the routing hint of its answer.
pub async fn send_call(
    context: &mut CallContext<'_>,
    record: &mut CallRecord,
    request: impl Fn(&str) -> Request<Full<Bytes>>,
    expected: &Expected,
) -> Option<String> {
    let mut hint = None;
    let mut doubt = None;
    for number in 0..MAX_ATTEMPTS {
        let id = format!("{}-{number}", record.call);
        let (outcome, new_hint) = one_attempt(context, record, &id, &request, expected).await;
        record.outcome = outcome;
        record.ended = Instant::now();
        hint = new_hint;
        match record.outcome {
            CallOutcome::Unknown { .. } => doubt = Some(record.outcome.clone()),
            // After a doubt a refusal says nothing of the attempt before it.
            CallOutcome::NotRun { .. } if doubt.is_none() => record.not_run_at.push(record.ended),
            _ => {}
        }
        let Some(retry_after) = may_repeat(&record.outcome) else {
            break;
        };
        if number + 1 == MAX_ATTEMPTS {
            break;
        }
        let pause = retry_after
            .unwrap_or(DEFAULT_RETRY_AFTER)
            .min(MAX_RETRY_AFTER);
        tokio::time::sleep(pause).await;
    }
    // That a repeat did not run says nothing of the attempt before it.
    if let (CallOutcome::NotRun { .. } | CallOutcome::Refused, Some(doubt)) =
        (&record.outcome, doubt)
    {
        record.outcome = doubt;
    }
    hint
}

/// Tells whether the same request may be sent again, and after what pause where one was named.
fn may_repeat(outcome: &CallOutcome) -> Option<Option<Duration>> {
    match outcome {
        outcome if outcome.needs_ticket() => None,
        CallOutcome::NotRun { retry_after, .. } => Some(*retry_after),
        // The key protects the repeat.
        CallOutcome::Unknown { reason } if reason == KEY_RUNNING => Some(None),
        _ => None,
    }
}

async fn one_attempt(
    context: &mut CallContext<'_>,
    record: &mut CallRecord,
    id: &str,
    request: &impl Fn(&str) -> Request<Full<Bytes>>,
    expected: &Expected,
) -> (CallOutcome, Option<String>) {
    record.first_byte = None;
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        let node = match context.pinned {
            Some(name) => context.directory.find(name),
            None => Some(context.directory.pick(context.rng)),
        };
        let Some(node) = node else {
            break;
        };
        record.node.clone_from(&node.name);
        let sent =
            tokio::time::timeout(CALL_TIMEOUT, context.client.send(node.address, request(id)))
                .await;
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent(_))) => continue,
            Ok(Err(SendError::MaybeSent(reason))) => {
                return (lost(context.directory, &node, reason), None);
            }
            Err(_) => {
                return (
                    CallOutcome::Unknown {
                        reason: String::from("no answer in time"),
                    },
                    None,
                );
            }
        };
        let hint = header(answer.headers(), "x-routing-hint");
        let read = tokio::time::timeout(
            CALL_TIMEOUT,
            read_answer(answer, id, expected, &mut record.first_byte),
        )
        .await;
        let mut outcome = read.unwrap_or_else(|_| CallOutcome::Broken {
            reason: String::from("the answer stalled"),
        });
        if matches!(outcome, CallOutcome::Broken { .. }) {
            context.client.close_connection(node.address);
            if context.directory.is_stopping(&node.name) {
                outcome = CallOutcome::CutOff;
            }
        }
        return (outcome, hint);
    }
    (CallOutcome::Refused, None)
}

/// Judges a connection that was lost before any answer.
fn lost(directory: &Directory, node: &NodeEntry, reason: String) -> CallOutcome {
    match directory.is_stopping(&node.name) {
        true => CallOutcome::CutOff,
        false => CallOutcome::Unknown { reason },
    }
}

async fn read_answer(
    answer: Response<Incoming>,
    id: &str,
    expected: &Expected,
    first_byte: &mut Option<Instant>,
) -> CallOutcome {
    let status = answer.status();
    let echoed = header(answer.headers(), "x-request-id");
    if echoed.as_deref() != Some(id) {
        return CallOutcome::Wrong {
            reason: format!("answer of request {echoed:?}, not {id}"),
        };
    }
    match header(answer.headers(), "x-outcome").as_deref() {
        Some("answered") if status.is_success() => {
            expected
                .read_and_check(answer.into_body(), first_byte)
                .await
        }
        Some("answered") => CallOutcome::ErrorEvent {
            reason: format!("status {status}"),
        },
        Some("not-run") => {
            let retry_after =
                header(answer.headers(), "retry-after").and_then(|value| value.parse::<f64>().ok());
            let retry_after =
                retry_after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
            CallOutcome::NotRun {
                reason: refusal_reason(answer).await,
                retry_after,
            }
        }
        Some("unknown") => CallOutcome::Unknown {
            reason: refusal_reason(answer).await,
        },
        other => CallOutcome::Unknown {
            reason: format!("outcome {other:?}, status {status}"),
        },
    }
}

/// Reads the reason in a refusal's body.
async fn refusal_reason(answer: Response<Incoming>) -> String {
    let Ok(body) = answer.into_body().collect().await else {
        return String::from("unreadable");
    };
    let problem: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    problem["reason"]
        .as_str()
        .map_or_else(|| truncate(&problem.to_string()), truncate)
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
