//! Checks the promises: compares the outcomes that callers received with the records of what the backend servers ran.

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

/// Time from the start of leaving after which a backend server must not get new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Returns the number of payments that ran more than once, under the same key or under different keys.
pub fn double_runs(calls: &[CallRecord], runs: &[ServiceRun]) -> u64 {
    let runs = Runs::new(runs);
    let payments = calls.iter().filter(|call| call.kind == CallKind::Payment);
    payments.filter(|call| runs.times(call) > 1).count() as u64
}

/// Returns the number of calls for which a response said that they did not run although they had run.
///
/// A call whose final outcome is "not run" must never run. A call that got the outcome "not run" in an earlier attempt
/// must not have run before that response.
pub fn false_not_run(calls: &[CallRecord], starts: &[EngineStart], runs: &[ServiceRun]) -> u64 {
    let starts = sorted_starts(starts);
    let runs = Runs::new(runs);
    let is_false = |call: &&CallRecord| match first_run(call, &starts, &runs) {
        Some(ran_at) => was_reported_not_run(call, ran_at),
        None => false,
    };
    calls.iter().filter(is_false).count() as u64
}

fn was_reported_not_run(call: &CallRecord, ran_at: Instant) -> bool {
    let finally_not_run = matches!(
        call.outcome,
        CallOutcome::NotRun { .. } | CallOutcome::Refused
    );
    finally_not_run || call.not_run_at.iter().any(|not_run| ran_at <= *not_run)
}

/// Returns the time at which a call ran first, or `None` if it did not run.
fn first_run(call: &CallRecord, starts: &[(u64, Instant)], runs: &Runs) -> Option<Instant> {
    match call.kind {
        CallKind::ChatStream | CallKind::ChatNonStreaming => first_at(starts, &call.body_hash),
        CallKind::Payment => {
            let first_by_id = first_at(&runs.by_id, call.key.as_ref()?);
            let first_by_body = first_at(&runs.by_body_hash, &call.body_hash);
            first_by_id.into_iter().chain(first_by_body).min()
        }
        CallKind::Lookup => first_at(&runs.by_id, &call.call),
    }
}

/// Returns the time of the first entry with `key`. The entries must be sorted by key and time.
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

/// Runs at plain services, indexed by the id and by the body of their call and sorted by time.
struct Runs {
    /// Runs by idempotency key or, for a lookup, by the call id in its query.
    by_id: Vec<(String, Instant)>,
    /// Runs with an idempotency key, by the hash of their body, because a payment may be sent with its own key first
    /// and with a ticket afterwards.
    by_body_hash: Vec<(u64, Instant)>,
}

impl Runs {
    fn new(runs: &[ServiceRun]) -> Runs {
        let with_id = |run: &ServiceRun| {
            let call = run.path.split_once("?call=").map(|(_, call)| call);
            let id = run.idempotency_key.as_deref().or(call)?;
            Some((id.to_owned(), run.at))
        };
        let mut by_id: Vec<(String, Instant)> = runs.iter().filter_map(with_id).collect();
        by_id.sort_unstable();
        let keyed = runs.iter().filter(|run| run.idempotency_key.is_some());
        let by_body_hash = keyed.map(|run| (hash_bytes(0, run.body.as_bytes()), run.at));
        let mut by_body_hash: Vec<(u64, Instant)> = by_body_hash.collect();
        by_body_hash.sort_unstable();
        Runs {
            by_id,
            by_body_hash,
        }
    }

    /// Returns how often a payment ran.
    fn times(&self, call: &CallRecord) -> usize {
        let runs_by_id = call.key.as_ref().map_or(0, |key| count(&self.by_id, key));
        runs_by_id.max(count(&self.by_body_hash, &call.body_hash))
    }
}

/// Returns the share of payments with a ticket that were answered, in the data centre with the lowest share, or `None`
/// if no payment was sent with a ticket.
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

/// Returns the data centre of the node that issued the call's ticket.
fn issuer_centre(call: &CallRecord) -> Option<&str> {
    call.issuer.as_deref()?.split('-').next()
}

/// Returns the number of requests that were started at backend servers which had been leaving for more than
/// [`LEAVING_GRACE`].
pub fn late_new_work(starts: &[EngineStart], runs: &[ServiceRun]) -> u64 {
    let late = |leaving: Option<Duration>| leaving.is_some_and(|leaving| leaving > LEAVING_GRACE);
    let at_engines = starts
        .iter()
        .filter(|start| late(start.draining_for))
        .count();
    let at_services = runs.iter().filter(|run| late(run.draining_for)).count();
    (at_engines + at_services) as u64
}

/// Returns the number of requests whose start brought an engine above the load bound.
pub fn overload_samples(starts: &[EngineStart], bound: f64, floor: u32) -> u64 {
    let over = starts
        .iter()
        .filter(|start| is_over_bound(start, bound, floor));
    over.count() as u64
}

/// Returns whether the start of a request brought its engine above the load bound.
pub fn is_over_bound(start: &EngineStart, bound: f64, floor: u32) -> bool {
    f64::from(start.engine_load) > (bound * start.mean_load).ceil().max(f64::from(floor))
}

/// Returns the share of prompt tokens that were cached, over the engine starts of answered calls.
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

/// Returns the number of entries with `key`. The entries must be sorted by key.
fn count<K: Ord>(entries: &[(K, Instant)], key: &K) -> usize {
    let first = entries.partition_point(|(other, _)| other < key);
    let end = entries.partition_point(|(other, _)| other <= key);
    end - first
}
