//! Judges the promises by what callers were told and what really ran.

use std::time::Duration;
use std::time::Instant;

use super::ratio;
use crate::load::CallKind;
use crate::load::CallOutcome;
use crate::load::CallRecord;
use crate::standin::cache::hash_bytes;
use crate::truth::EngineStart;
use crate::truth::ServiceRun;

#[cfg(test)]
mod tests;

/// Time after which a leaving backend server must get no new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Counts the payments that ran more than once, under one key or under several.
pub fn double_runs(calls: &[CallRecord], runs: &[ServiceRun]) -> u64 {
    let runs = Runs::new(runs);
    let payments = calls.iter().filter(|call| call.kind == CallKind::Payment);
    payments.filter(|call| runs.times(call) > 1).count() as u64
}

/// Counts the calls whose callers were told that they did not run though they had: a call refused at last must never
/// run, and one refused on the way must not have run by then.
pub fn false_not_run(calls: &[CallRecord], starts: &[EngineStart], runs: &[ServiceRun]) -> u64 {
    let starts = sorted_starts(starts);
    let runs = Runs::new(runs);
    let is_false = |call: &&CallRecord| match first_run(call, &starts, &runs) {
        Some(ran_at) => was_denied(call, ran_at),
        None => false,
    };
    calls.iter().filter(is_false).count() as u64
}

fn was_denied(call: &CallRecord, ran_at: Instant) -> bool {
    let denied_at_last = matches!(
        call.outcome,
        CallOutcome::NotRun { .. } | CallOutcome::Refused
    );
    denied_at_last || call.not_run_at.iter().any(|refused| ran_at <= *refused)
}

/// Finds when a call ran first, if it ever did.
fn first_run(call: &CallRecord, starts: &[(u64, Instant)], runs: &Runs) -> Option<Instant> {
    match call.kind {
        CallKind::ChatStream | CallKind::ChatWhole => first_at(starts, &call.body_hash),
        CallKind::Payment => {
            let by_key = first_at(&runs.named, call.key.as_ref()?);
            let by_body = first_at(&runs.bodies, &call.body_hash);
            by_key.into_iter().chain(by_body).min()
        }
        CallKind::Lookup => first_at(&runs.named, &call.call),
    }
}

/// Gives the time of the first entry under `key`; entries are sorted by key and time.
fn first_at<K: Ord>(entries: &[(K, Instant)], key: &K) -> Option<Instant> {
    let first = entries.partition_point(|(other, _)| other < key);
    entries
        .get(first)
        .filter(|(other, _)| other == key)
        .map(|(_, at)| *at)
}

fn sorted_starts(starts: &[EngineStart]) -> Vec<(u64, Instant)> {
    let mut entries: Vec<(u64, Instant)> = starts
        .iter()
        .map(|start| (start.body_hash, start.at))
        .collect();
    entries.sort_unstable();
    entries
}

/// Runs at plain services, sorted by what names them and by time.
struct Runs {
    /// By idempotency key or, for a lookup, by the call in its query.
    named: Vec<(String, Instant)>,
    /// Those with a key by their body, since a payment may go under a key first and under a ticket then.
    bodies: Vec<(u64, Instant)>,
}

impl Runs {
    fn new(runs: &[ServiceRun]) -> Runs {
        let name = |run: &ServiceRun| {
            let call = run.path.split_once("?call=").map(|(_, call)| call);
            let name = run.idempotency_key.as_deref().or(call)?;
            Some((name.to_owned(), run.at))
        };
        let mut named: Vec<(String, Instant)> = runs.iter().filter_map(name).collect();
        named.sort_unstable();
        let keyed = runs.iter().filter(|run| run.idempotency_key.is_some());
        let bodies = keyed.map(|run| (hash_bytes(0, run.body.as_bytes()), run.at));
        let mut bodies: Vec<(u64, Instant)> = bodies.collect();
        bodies.sort_unstable();
        Runs { named, bodies }
    }

    /// Counts how often a payment ran.
    fn times(&self, call: &CallRecord) -> usize {
        let by_key = call.key.as_ref().map_or(0, |key| count(&self.named, key));
        by_key.max(count(&self.bodies, &call.body_hash))
    }
}

/// Share of the payments under tickets that were answered, in the data centre where it is lowest; nothing where there
/// were none.
pub fn ticketed_answered_min(calls: &[CallRecord]) -> Option<f64> {
    let mut centres: Vec<&str> = calls.iter().filter_map(issuer_centre).collect();
    centres.sort_unstable();
    centres.dedup();
    let share = |centre: &&str| {
        let of_centre = calls
            .iter()
            .filter(|call| issuer_centre(call) == Some(*centre));
        let answered = of_centre
            .clone()
            .filter(|call| call.outcome == CallOutcome::Answered);
        ratio(answered.count() as f64, of_centre.count() as f64)
    };
    centres.iter().map(share).reduce(f64::min)
}

/// Data centre of the node that issued the call's ticket.
fn issuer_centre(call: &CallRecord) -> Option<&str> {
    call.issuer.as_deref()?.split('-').next()
}

/// Counts the requests that were started at backend servers after they had been leaving for some seconds.
pub fn late_new_work(starts: &[EngineStart], runs: &[ServiceRun]) -> u64 {
    let late = |leaving: Option<Duration>| leaving.is_some_and(|leaving| leaving > LEAVING_GRACE);
    let at_engines = starts
        .iter()
        .filter(|start| late(start.leaving_for))
        .count();
    let at_services = runs.iter().filter(|run| late(run.leaving_for)).count();
    (at_engines + at_services) as u64
}

/// Counts the requests whose start took an engine over the load bound.
pub fn overload_samples(starts: &[EngineStart], bound: f64, floor: u32) -> u64 {
    let over = starts
        .iter()
        .filter(|start| is_over_bound(start, bound, floor));
    over.count() as u64
}

/// Tells whether a request's start took its engine over the load bound.
pub fn is_over_bound(start: &EngineStart, bound: f64, floor: u32) -> bool {
    f64::from(start.load_with) > (bound * start.mean).ceil().max(f64::from(floor))
}

/// Share of prompt tokens that were cached, over the engine starts of answered calls.
pub fn cache_reuse(calls: &[CallRecord], starts: &[EngineStart]) -> f64 {
    let answered = calls
        .iter()
        .filter(|call| call.is_chat() && call.outcome == CallOutcome::Answered);
    let mut answered: Vec<u64> = answered.map(|call| call.body_hash).collect();
    answered.sort_unstable();
    let counted = starts
        .iter()
        .filter(|start| answered.binary_search(&start.body_hash).is_ok());
    let (cached, prompt) = counted.fold((0, 0), |(cached, prompt), start| {
        (cached + start.cached_tokens, prompt + start.prompt_tokens)
    });
    ratio(cached as f64, prompt as f64)
}

/// Counts the entries under `key`; entries are sorted by key.
fn count<K: Ord>(entries: &[(K, Instant)], key: &K) -> usize {
    let first = entries.partition_point(|(other, _)| other < key);
    let end = entries.partition_point(|(other, _)| other <= key);
    end - first
}
