//! CONFIG: which configurations gateways follow, and whether requests end at their timeouts.

use std::time::Duration;
use std::time::Instant;

use super::Finding;
use super::Rule;
use super::finding;
use super::finding_of_many;
use super::index::Index;
use super::index::key_of;
use super::index::route_of_path;
use super::index::since;
use super::ms;
use crate::day::record::AnswerEnd;
use crate::day::record::CallerAttempt;
use crate::day::record::ConfigRecord;
use crate::standin::replica::Run;

/// Time after a route's timeout within which a request must have ended.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);
/// Number of requests without an answer that must have outlasted their timeouts for it to count: one alone may be the machine's.
const MIN_UNANSWERED: usize = 2;
/// Number of requests that must have outlasted their timeouts for it to count, and the part of all that reached them.
const MIN_OUTLASTING: usize = 8;
const OUTLASTING_PART: usize = 4;

pub(super) fn check(index: &Index<'_>, findings: &mut Vec<Finding>) {
    for run in &index.day.runs {
        let Some(attempt) = index.attempt(&run.request_id) else {
            continue;
        };
        let fault = with_revoked_key(index, attempt, run).or_else(|| by_old(index, attempt, run));
        findings.extend(fault.map(|it| finding(Rule::Config, &attempt.id, run.at, it)));
    }
    for attempt in &index.day.attempts {
        let fault = refused_by_old(index, attempt);
        findings.extend(fault.map(|it| finding(Rule::Config, &attempt.id, attempt.ended, it)));
    }
    findings.extend(without_end(index));
}

/// Returns why a run has a key that was taken away too long ago, whichever gateway passed it on.
fn with_revoked_key(index: &Index<'_>, attempt: &CallerAttempt, run: &Run) -> Option<String> {
    let configs = &index.day.configs;
    let known = &configs[..configs.partition_point(|config| config.sent <= run.at)];
    let has_key = |config: &ConfigRecord| key_of(config, &attempt.key).is_some();
    let revoked = known.get(known.iter().rposition(has_key)? + 1)?;
    let limit = revoked.confirmed + index.day.bounds.revoke;
    (attempt.sent > limit).then(|| {
        let late = since(attempt.sent, revoked.confirmed);
        format!("sent {} after its key was taken away, and ran", ms(late))
    })
}

/// Returns the configurations that may be in force for a request that was sent and ended at these times: the last that every gateway
/// must follow, and all that were sent later.
fn in_force<'a>(
    index: &Index<'a>,
    (sent, ended): (Instant, Instant),
) -> (&'a [ConfigRecord], &'a [ConfigRecord]) {
    let configs = index.day.configs.as_slice();
    let apply = index.day.bounds.config_apply;
    let binding = configs.iter().rposition(|it| it.confirmed + apply < sent);
    let end = configs.partition_point(|it| it.sent <= ended);
    let begin = binding.unwrap_or(0).min(end);
    (&configs[..begin], &configs[begin..end])
}

/// Returns whether an attempt's gateway and the store were undisturbed, so that its bounds hold, from the time before it in which a
/// version may have come.
fn is_bound(index: &Index<'_>, attempt: &CallerAttempt, to: Instant) -> bool {
    let from = attempt.sent.checked_sub(index.day.bounds.config_apply);
    let times = (from.unwrap_or(attempt.sent), to);
    let is_in_touch = |gateway| index.is_in_touch(gateway, times);
    attempt.gateway.is_some_and(is_in_touch) && index.is_store_stable(times)
}

/// Returns how a run follows only a version that is too old.
fn by_old(index: &Index<'_>, attempt: &CallerAttempt, run: &Run) -> Option<String> {
    let (old, current) = in_force(index, (attempt.sent, run.at));
    let service = &index.server(&run.server)?.service;
    let allows = |config: &ConfigRecord| {
        let route = route_of_path(config, &attempt.target);
        let has_key = key_of(config, &attempt.key).is_some();
        has_key && route.is_some_and(|route| route.service == *service)
    };
    if current.iter().any(allows) {
        return None;
    }
    let followed = old.iter().rev().find(|config| allows(config))?;
    is_bound(index, attempt, run.at).then(|| {
        format!(
            "ran at {service} as only version {} allows",
            followed.version
        )
    })
}

/// Returns how an attempt was refused though all versions that may be in force have its route and key.
fn refused_by_old(index: &Index<'_>, attempt: &CallerAttempt) -> Option<String> {
    if !matches!(attempt.status, 401 | 403 | 404) || !attempt.seal.is_empty() {
        return None;
    }
    let (old, current) = in_force(index, (attempt.sent, attempt.ended));
    let allows = |config: &ConfigRecord| {
        key_of(config, &attempt.key).is_some() && route_of_path(config, &attempt.target).is_some()
    };
    let followed = old.iter().rev().find(|config| !allows(config))?;
    let is_allowed = !current.is_empty() && current.iter().all(allows);
    (is_allowed && is_bound(index, attempt, attempt.ended)).then(|| {
        format!(
            "answered {} as version {} does",
            attempt.status, followed.version
        )
    })
}

/// Finds requests that gateways in touch let last longer than their routes' timeouts, if these are many of all that last so long, or
/// most of those that had no answer by then.
fn without_end(index: &Index<'_>) -> Option<Finding> {
    let (mut reached, mut unanswered) = (0, 0);
    let mut outlasting = Vec::new();
    let mut without_answer = Vec::new();
    for attempt in &index.day.attempts {
        let Some(route) = index.route(&attempt.route) else {
            continue;
        };
        let (timeout, took) = (route.timeout, since(attempt.ended, attempt.sent));
        let limit = timeout + TIMEOUT_SLACK;
        // A caller that leaves before then doesn't see whether an end would have come.
        let is_left = matches!(attempt.end, AnswerEnd::Left | AnswerEnd::TimedOut);
        let leaves_before = is_left && (took <= limit || attempt.deadline <= limit);
        if took < timeout || leaves_before || !index.is_attempt_in_touch(attempt) {
            continue;
        }
        let request = (attempt, attempt.sent + limit);
        let is_answered_by = |at: Instant| attempt.head_at.is_some_and(|head| head <= at);
        reached += 1;
        unanswered += usize::from(!is_answered_by(attempt.sent + timeout));
        if took > limit {
            outlasting.push(request);
            without_answer.extend((!is_answered_by(request.1)).then_some(request));
        }
    }
    let count = outlasting.len();
    if without_answer.len() >= MIN_UNANSWERED && without_answer.len() * 2 > unanswered {
        let count = without_answer.len();
        let told = told(&without_answer);
        let detail =
            format!("{count} of {unanswered} requests had no answer after their timeout: {told}");
        let requests = without_answer.iter().map(|(it, at)| (it.id.as_str(), *at));
        return finding_of_many(Rule::Config, requests, detail);
    }
    let is_broken = count >= MIN_OUTLASTING && count * OUTLASTING_PART > reached;
    let detail = format!(
        "{count} of {reached} requests that reached their timeout had no end then: {}",
        told(&outlasting)
    );
    let requests = outlasting.iter().map(|(it, at)| (it.id.as_str(), *at));
    is_broken.then(|| finding_of_many(Rule::Config, requests, detail))?
}

/// Returns how the first of some requests ended.
fn told(requests: &[(&CallerAttempt, Instant)]) -> String {
    const TOLD: usize = 5;
    let first = requests.iter().take(TOLD).map(|(attempt, _)| {
        let took = ms(since(attempt.ended, attempt.sent));
        let CallerAttempt { route, end, .. } = attempt;
        format!(
            "{route} with status {} {end:?} after {took}",
            attempt.status
        )
    });
    first.collect::<Vec<_>>().join(", ")
}
