//! LOST and GONE: how the attempts of callers ended.

use std::time::Duration;
use std::time::Instant;

use super::Finding;
use super::Rule;
use super::finding;
use super::finding_of_many;
use super::index::Index;
use super::index::is_change;
use super::index::since;
use super::ms;
use crate::day::record::AnswerEnd;
use crate::day::record::CallerAttempt;
use crate::day::record::TroubleRecord;
use crate::standin::replica::Run;

/// Kind of the work by which gateways are told to read their settings.
const HUP: &str = "hup";
/// Number of requests from kept connections that may be dropped in a day.
const MAX_DROPPED: usize = 3;
/// Time after the end of the time for a stop, and after the time for a new version, that still belongs to it.
const AFTER_PLANNED: Duration = Duration::from_secs(1);
/// Time after a request to stop until which requests are sent that may outlast it.
const OUTLASTING: Duration = Duration::from_secs(3);
/// How many times as often as else a gateway must cut requests off beside a new version.
const CUT_FACTOR: f64 = 3.0;
/// Time after which what a caller left may reach no server any more.
const LEFT_SLACK: Duration = Duration::from_millis(500);
/// Number of requests that may reach a server later than that.
const MAX_LEFT: usize = 5;
/// Number of requests that a detail tells of.
const TOLD: usize = 5;

pub(super) fn check(index: &Index<'_>, findings: &mut Vec<Finding>) {
    findings.extend(dropped(index));
    for attempt in &index.day.attempts {
        findings.extend(lost_at_work(index, attempt));
    }
    for gateway in 0..index.day.gateways.len() {
        findings.extend(lost_beside_configs(index, gateway));
    }
    findings.extend(gone(index));
}

/// Returns the run of a request that was passed on and dropped, though its server was sound all the while.
fn dropped_run<'a>(index: &Index<'a>, attempt: &CallerAttempt) -> Option<&'a Run> {
    if attempt.end != AnswerEnd::Broken || attempt.gateway.is_none() {
        return None;
    }
    let times = (attempt.sent, attempt.ended);
    let is_sound = |run: &&Run| !index.is_server_struck(&run.server, times);
    let mut runs = index.runs_of(&attempt.id);
    runs.clone()
        .all(|run| is_sound(&run))
        .then(|| runs.next())?
}

/// Finds requests from kept connections that gateways in touch passed on and dropped without an answer.
fn dropped(index: &Index<'_>) -> Option<Finding> {
    let attempts = index.day.attempts.iter();
    let dropped = attempts.filter(|attempt| {
        attempt.status == 0
            && attempt.is_on_kept_connection
            && index.is_attempt_in_touch(attempt)
            && dropped_run(index, attempt).is_some()
    });
    let dropped: Vec<&CallerAttempt> = dropped.collect();
    let count = dropped.len();
    let detail = format!("{count} requests from kept connections passed on and dropped");
    let requests = dropped.iter().map(|it| (it.id.as_str(), it.ended));
    (count > MAX_DROPPED).then(|| finding_of_many(Rule::Lost, requests, detail))?
}

/// Finds a request that a gateway passed on and cut off as it was stopped, or told to read its settings, as planned.
fn lost_at_work(index: &Index<'_>, attempt: &CallerAttempt) -> Option<Finding> {
    let run = cut_off(index, attempt)?;
    let grace = index.day.bounds.grace;
    let work = index.day.troubles.iter();
    let work = work.filter(|it| it.is_planned && is_of(it, attempt) && attempt.ended >= it.start);
    let mut work = work.filter(|it| {
        if it.kind == HUP {
            return attempt.sent <= it.start + index.day.bounds.config_apply;
        }
        let since_stop = since(attempt.ended, it.start);
        let outlasts = since_stop * 6 >= grace * 5 && attempt.sent <= it.start + OUTLASTING;
        !is_change(it) && since_stop <= grace + AFTER_PLANNED && !outlasts
    });
    let work = work.next()?;
    let detail = format!(
        "{} at {} cut off {} after planned work at its gateway began ({}), {} after it was sent",
        attempt.route,
        run.server,
        ms(since(attempt.ended, work.start)),
        work.kind,
        ms(since(attempt.ended, attempt.sent)),
    );
    Some(finding(Rule::Lost, &attempt.id, attempt.ended, detail))
}

fn is_of(trouble: &TroubleRecord, attempt: &CallerAttempt) -> bool {
    attempt
        .gateway
        .is_some_and(|gateway| trouble.gateways.contains(&gateway))
}

/// Returns the run of a request that was passed on and cut off before its time, while nothing went wrong that nobody planned.
fn cut_off<'a>(index: &Index<'a>, attempt: &CallerAttempt) -> Option<&'a Run> {
    let run = dropped_run(index, attempt)?;
    let times = (attempt.sent, attempt.ended);
    let time = time_of(index, attempt);
    let is_over = since(attempt.ended, attempt.sent) >= time;
    (!is_over && !index.is_disrupted(times)).then_some(run)
}

/// Returns the time that a request has: that of its caller or of its route.
fn time_of(index: &Index<'_>, attempt: &CallerAttempt) -> Duration {
    let route = index.route(&attempt.route);
    route.map_or(attempt.deadline, |route| {
        route.timeout.min(attempt.deadline)
    })
}

/// Finds the requests that a gateway cut off beside new versions of the configuration, if it did so more often than else.
fn lost_beside_configs(index: &Index<'_>, gateway: usize) -> Option<Finding> {
    let bounds = &index.day.bounds;
    let is_beside = |at: Instant| {
        let mut configs = index.day.configs.iter().skip(1);
        configs
            .any(|it| (it.sent..it.confirmed + bounds.config_apply + AFTER_PLANNED).contains(&at))
    };
    let attempts = index.day.attempts.iter();
    let of_gateway = attempts.filter(|attempt| attempt.gateway == Some(gateway));
    let (beside, else_): (Vec<&CallerAttempt>, Vec<_>) =
        of_gateway.partition(|attempt| is_beside(attempt.ended));
    let cut = |attempt: &&&CallerAttempt| cut_off(index, attempt).is_some();
    let cut_beside: Vec<&&CallerAttempt> = beside.iter().filter(cut).collect();
    let cut_else = else_.iter().filter(cut).count();
    let share = |count: usize, of: usize| count as f64 / of.max(1) as f64;
    let (often, usual) = (
        share(cut_beside.len(), beside.len()),
        share(cut_else, else_.len()),
    );
    if often <= usual * CUT_FACTOR {
        return None;
    }
    let lost = cut_beside
        .into_iter()
        .filter(|attempt| since(attempt.ended, attempt.sent) * 10 < time_of(index, attempt) * 7);
    let requests = lost.map(|it| (it.id.as_str(), it.ended));
    let detail = format!(
        "{} cut off {:.2} % of its requests beside new versions, {:.2} % else",
        index.day.gateways[gateway],
        often * 100.0,
        usual * 100.0
    );
    finding_of_many(Rule::Lost, requests, detail)
}

/// Finds requests that gateways in touch sent to servers after their callers had left.
fn gone(index: &Index<'_>) -> Option<Finding> {
    let attempts = index.day.attempts.iter();
    let left =
        attempts.filter(|attempt| matches!(attempt.end, AnswerEnd::Left | AnswerEnd::TimedOut));
    let late = left.filter_map(|attempt| {
        let mut runs = index.runs_of(&attempt.id);
        let run = runs.find(|run| run.at > attempt.ended + LEFT_SLACK)?;
        let is_in_touch = attempt
            .gateway
            .is_some_and(|gateway| index.is_in_touch(gateway, (attempt.sent, run.at)));
        is_in_touch.then_some((attempt, run.at))
    });
    let late: Vec<(&CallerAttempt, Instant)> = late.collect();
    let told = late.iter().take(TOLD).map(|(attempt, at)| {
        let (route, end) = (&attempt.route, attempt.end);
        format!("{route} {} after {end:?}", ms(since(*at, attempt.ended)))
    });
    let detail = format!(
        "{} requests reached a server after their callers had left: {}",
        late.len(),
        told.collect::<Vec<_>>().join(", ")
    );
    let requests = late.iter().map(|(attempt, at)| (attempt.id.as_str(), *at));
    (late.len() > MAX_LEFT).then(|| finding_of_many(Rule::Gone, requests, detail))?
}
