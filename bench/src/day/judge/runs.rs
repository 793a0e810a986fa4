//! TWICE, REFUSED, UNASKED and ROUTE: what servers ran.

use super::Finding;
use super::Rule;
use super::finding;
use super::index::Index;
use super::index::key_of;
use super::index::route_of_path;
use super::index::since;
use super::ms;
use crate::day::record::CallerAttempt;
use crate::http;
use crate::standin::replica::Run;

/// Statuses that promise that a request hasn't run and never will.
pub(super) const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub(super) fn check(index: &Index<'_>, findings: &mut Vec<Finding>) {
    for attempt in &index.day.attempts {
        if index.runs_once(attempt) {
            findings.extend(twice(index, attempt));
            findings.extend(refused(index, attempt));
        }
    }
    for run in &index.day.runs {
        let id = &run.request_id;
        let Some(attempt) = index.attempt(id) else {
            let detail = format!("{} ran it, but no caller sent it", run.server);
            findings.push(finding(Rule::Unasked, id, run.at, detail));
            continue;
        };
        let changed = changed(index, run, attempt);
        findings.extend(changed.map(|detail| finding(Rule::Unasked, id, run.at, detail)));
        let astray = astray(index, run, attempt);
        findings.extend(astray.map(|detail| finding(Rule::Route, id, run.at, detail)));
    }
}

fn twice(index: &Index<'_>, attempt: &CallerAttempt) -> Option<Finding> {
    let runs = index.runs_of(&attempt.id);
    let second = runs.clone().nth(1)?;
    let places =
        runs.map(|run| format!("{} after {}", run.server, ms(since(run.at, attempt.sent))));
    let places = places.collect::<Vec<_>>().join(", ");
    let detail = format!("{} ran at {places}", attempt.route);
    Some(finding(Rule::Twice, &attempt.id, second.at, detail))
}

fn refused(index: &Index<'_>, attempt: &CallerAttempt) -> Option<Finding> {
    let run = index.runs_of(&attempt.id).next()?;
    let CallerAttempt { id, status, .. } = attempt;
    let (ran, answered) = (
        since(run.at, attempt.sent),
        since(attempt.ended, attempt.sent),
    );
    let detail = format!(
        "answered {status} after {}, ran at {} after {}",
        ms(answered),
        run.server,
        ms(ran)
    );
    PROMISES
        .contains(status)
        .then(|| finding(Rule::Refused, id, attempt.ended, detail))
}

/// Returns how a run differs from what its caller sent.
fn changed(index: &Index<'_>, run: &Run, attempt: &CallerAttempt) -> Option<String> {
    if run.target != attempt.target {
        return Some(format!("path {:?} as {:?}", attempt.target, run.target));
    }
    if run.body != attempt.request_body {
        let (sent, ran) = (attempt.request_body.len(), run.body.len());
        return Some(format!("a body of {sent} bytes as another of {ran} bytes"));
    }
    let changed = attempt
        .headers
        .iter()
        .find(|(name, sent)| http::header(&run.headers, name) != sent);
    if let Some((name, sent)) = changed {
        let ran = http::header(&run.headers, name);
        return Some(format!("{name} {sent:?} as {ran:?}"));
    }
    if run.headers.contains_key("authorization") {
        return Some(format!("{} got the key", run.server));
    }
    let team = http::header(&run.headers, "currantbend-tenant");
    let holder = index.team(&attempt.key);
    (holder.is_some_and(|holder| holder != team))
        .then(|| format!("as of team {team:?}, the key is of {holder:?}"))
}

/// Returns why no configuration that had been sent allows a run.
fn astray(index: &Index<'_>, run: &Run, attempt: &CallerAttempt) -> Option<String> {
    let configs = index.day.configs.iter();
    let mut configs = configs.filter(|config| config.sent <= run.at);
    let Some(server) = index.server(&run.server) else {
        return Some(format!("ran at {:?}, which is no server", run.server));
    };
    let is_allowed = configs.clone().any(|config| {
        let route = route_of_path(config, &run.target);
        route.is_some_and(|route| route.service == server.service)
    });
    if !is_allowed {
        return Some(format!("{} ran at {server:?}", run.target));
    }
    let has_key = configs.any(|config| key_of(config, &attempt.key).is_some());
    (!has_key).then(|| format!("ran with key {:?}", attempt.key))
}
