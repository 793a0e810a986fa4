//! Sends a call with its retries and determines the outcome of each attempt. All kinds of calls use it.

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

/// Delay before the next attempt if the response has no `retry-after` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Reason in a response if an earlier attempt with the same idempotency key is still running.
const KEY_RUNNING_REASON: &str = "key-running";

/// State of a caller that all attempts of its calls use.
pub struct CallContext<'a> {
    /// The caller's HTTP client, with its open connections.
    pub client: &'a mut Client,
    /// The directory of nodes.
    pub directory: &'a Arc<Directory>,
    /// The caller's random number generator.
    pub rng: &'a mut StdRng,
    /// Node that all attempts go to, instead of a node selected by the balancer.
    pub pinned: Option<&'a str>,
}

/// Sends a call with up to [`MAX_ATTEMPTS`] attempts, fills in its record and returns the routing hint of the last
/// response.
pub async fn send_call(
    context: &mut CallContext<'_>,
    record: &mut CallRecord,
    request: impl Fn(&str) -> Request<Full<Bytes>>,
    expected: &Expected,
) -> Option<String> {
    let mut hint = None;
    let mut unknown = None;
    for number in 0..MAX_ATTEMPTS {
        let id = format!("{}-{number}", record.call);
        let (outcome, new_hint) = send_attempt(context, record, &id, &request, expected).await;
        record.outcome = outcome;
        record.ended = Instant::now();
        hint = new_hint;
        match record.outcome {
            CallOutcome::Unknown { .. } => unknown = Some(record.outcome.clone()),
            // After an attempt with an unknown outcome, `NotRun` of a later attempt does not mean that the call has not
            // run, so it is not recorded.
            CallOutcome::NotRun { .. } if unknown.is_none() => record.not_run_at.push(record.ended),
            _ => {}
        }
        let Some(retry_after) = retry_delay(&record.outcome) else {
            break;
        };
        if number + 1 == MAX_ATTEMPTS {
            break;
        }
        let delay = retry_after
            .unwrap_or(DEFAULT_RETRY_AFTER)
            .min(MAX_RETRY_AFTER);
        tokio::time::sleep(delay).await;
    }
    // That the last attempt did not run says nothing about an earlier attempt with an unknown outcome.
    if let (CallOutcome::NotRun { .. } | CallOutcome::Refused, Some(unknown)) =
        (&record.outcome, unknown)
    {
        record.outcome = unknown;
    }
    hint
}

/// Returns the delay before the same request may be retried, or `None` if it must not be retried. The delay is
/// `Some(None)` if the response named none.
fn retry_delay(outcome: &CallOutcome) -> Option<Option<Duration>> {
    match outcome {
        outcome if outcome.needs_ticket() => None,
        CallOutcome::NotRun { retry_after, .. } => Some(*retry_after),
        // The idempotency key prevents the retry from running the call a second time.
        CallOutcome::Unknown { reason } if reason == KEY_RUNNING_REASON => Some(None),
        _ => None,
    }
}

async fn send_attempt(
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
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(_))) => continue,
            Ok(Err(SendError::MaybeSent(reason))) => {
                return (
                    connection_lost_outcome(context.directory, &node, reason),
                    None,
                );
            }
            Err(_) => {
                return (
                    CallOutcome::Unknown {
                        reason: String::from("no response in time"),
                    },
                    None,
                );
            }
        };
        let hint = header(response.headers(), "x-routing-hint");
        let read = tokio::time::timeout(
            CALL_TIMEOUT,
            read_response(response, id, expected, &mut record.first_byte),
        )
        .await;
        let mut outcome = read.unwrap_or_else(|_| CallOutcome::Broken {
            reason: String::from("the response body stalled"),
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

/// Returns the outcome of an attempt whose connection was lost before a response.
fn connection_lost_outcome(directory: &Directory, node: &NodeEntry, reason: String) -> CallOutcome {
    match directory.is_stopping(&node.name) {
        true => CallOutcome::CutOff,
        false => CallOutcome::Unknown { reason },
    }
}

async fn read_response(
    response: Response<Incoming>,
    id: &str,
    expected: &Expected,
    first_byte: &mut Option<Instant>,
) -> CallOutcome {
    let status = response.status();
    let echoed = header(response.headers(), "x-request-id");
    if echoed.as_deref() != Some(id) {
        return CallOutcome::Wrong {
            reason: format!("response to request {echoed:?} instead of {id}"),
        };
    }
    match header(response.headers(), "x-outcome").as_deref() {
        Some("answered") if status.is_success() => {
            expected
                .read_and_check(response.into_body(), first_byte)
                .await
        }
        Some("answered") => CallOutcome::ErrorEvent {
            reason: format!("status {status}"),
        },
        Some("not-run") => {
            let retry_after = header(response.headers(), "retry-after")
                .and_then(|value| value.parse::<f64>().ok());
            let retry_after =
                retry_after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
            CallOutcome::NotRun {
                reason: read_reason(response).await,
                retry_after,
            }
        }
        Some("unknown") => CallOutcome::Unknown {
            reason: read_reason(response).await,
        },
        other => CallOutcome::Unknown {
            reason: format!("outcome {other:?}, status {status}"),
        },
    }
}

/// Reads the reason from the body of an error response.
async fn read_reason(response: Response<Incoming>) -> String {
    let Ok(body) = response.into_body().collect().await else {
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
