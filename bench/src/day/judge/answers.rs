//! ORDER and MIXED: what callers got.

use super::Finding;
use super::Rule;
use super::Verdict;
use super::finding;
use super::index::Index;
use crate::day::order;
use crate::day::order::AnswerKind;
use crate::day::order::Attempt;
use crate::day::order::Fault;
use crate::day::record::AnswerEnd;
use crate::day::record::CallerAttempt;
use crate::day::record::RouteKind;

pub(super) fn check(index: &Index<'_>, verdict: &mut Verdict) {
    let successes = index.day.attempts.iter();
    let successes = successes.filter(|attempt| (200..300).contains(&attempt.status));
    let mut streams = Vec::new();
    for attempt in successes.clone() {
        match answer_kind(index, attempt) {
            AnswerKind::Plain => verdict.plain_answers += 1,
            AnswerKind::Stream | AnswerKind::ResumableStream => {
                streams.push(attempt.first_attempt.as_str());
            }
        }
        let fault = head_fault(index, attempt);
        let found = fault.map(|fault| finding(Rule::Mixed, &attempt.id, attempt.ended, fault));
        verdict.findings.extend(found);
    }
    verdict.begun_streams = different(streams);
    let attempts: Vec<_> = successes.map(|it| view(index, it)).collect();
    let found = order::check(&attempts, &index.day.runs, &[]).findings;
    count(index, &found, verdict);
    // One finding for each answer and rule, however many of its pieces are wrong.
    for of_answer in found.chunk_by(|a, b| a.id == b.id) {
        for rule in [Rule::Order, Rule::Mixed] {
            let of_rule = of_answer.iter().filter(|it| rule_of(index, it) == rule);
            verdict.findings.extend(joined(index, rule, of_rule));
        }
    }
}

fn answer_kind(index: &Index<'_>, attempt: &CallerAttempt) -> AnswerKind {
    match index.kind(attempt) {
        Some(RouteKind::Stream) => AnswerKind::Stream,
        Some(RouteKind::ResumableStream) => AnswerKind::ResumableStream,
        Some(RouteKind::Safe | RouteKind::Unsafe) | None => AnswerKind::Plain,
    }
}

fn view<'a>(index: &Index<'a>, attempt: &'a CallerAttempt) -> Attempt<'a> {
    Attempt {
        id: &attempt.id,
        first_attempt: &attempt.first_attempt,
        kind: answer_kind(index, attempt),
        sent: attempt.sent,
        resume_after: attempt.resume_after,
        is_complete: attempt.end == AnswerEnd::Complete,
        body: &attempt.body,
    }
}

/// Returns what is wrong with the head of a successful answer.
fn head_fault(index: &Index<'_>, attempt: &CallerAttempt) -> Option<String> {
    let CallerAttempt {
        id,
        answered_id,
        seal,
        ..
    } = attempt;
    if answered_id != id {
        return Some(format!("the answer is to request {answered_id:?}"));
    }
    if seal.is_empty() {
        return Some("success without a signature".to_owned());
    }
    let is_of_run = index.runs_of(id).any(|run| {
        let rest = seal.strip_prefix(run.server.as_str());
        rest.is_some_and(|rest| rest.starts_with('.'))
    });
    (!is_of_run).then(|| format!("signature {seal:?} of a server that didn't run the request"))
}

/// Returns the rule that something wrong with the order of an answer broke.
fn rule_of(index: &Index<'_>, found: &order::Finding) -> Rule {
    let attempt = index.attempt(&found.id);
    let kind = attempt.map(|attempt| answer_kind(index, attempt));
    match (kind, found.fault) {
        (Some(AnswerKind::Plain) | None, _) => Rule::Mixed,
        (_, Fault::OtherRequest | Fault::Unknown) => Rule::Mixed,
        (
            _,
            Fault::Missing
            | Fault::Repeated
            | Fault::Joined
            | Fault::NotAskedFor
            | Fault::OtherVersion
            | Fault::CutShort,
        ) => Rule::Order,
    }
}

fn joined<'a>(
    index: &Index<'_>,
    rule: Rule,
    of_rule: impl Iterator<Item = &'a order::Finding> + Clone,
) -> Option<Finding> {
    const TOLD: usize = 3;
    let first = of_rule.clone().next()?;
    let told = of_rule.clone().take(TOLD);
    let told = told.map(|it| format!("{:?}: {}", it.fault, it.detail));
    let detail = told.collect::<Vec<_>>().join("; ");
    let further = of_rule.count().saturating_sub(TOLD);
    let further = if further > 0 {
        format!("; {further} more")
    } else {
        String::new()
    };
    let attempt = index.attempt(&first.id)?;
    let first_attempt = &first.first_attempt;
    let of_stream = if *first_attempt == first.id {
        String::new()
    } else {
        format!("of {first_attempt}: ")
    };
    let detail = format!("{of_stream}{detail}{further}");
    Some(finding(rule, &first.id, attempt.ended, detail))
}

fn count(index: &Index<'_>, found: &[order::Finding], verdict: &mut Verdict) {
    let of = |rule| found.iter().filter(move |it| rule_of(index, it) == rule);
    let streams = of(Rule::Order).map(|it| it.first_attempt.as_str());
    verdict.streams_out_of_order = different(streams.collect());
    let is_plain = |id: &str| {
        let attempt = index.attempt(id);
        attempt.is_some_and(|attempt| answer_kind(index, attempt) == AnswerKind::Plain)
    };
    let found = of(Rule::Mixed).map(|it| it.id.as_str());
    let heads = verdict.findings.iter().flat_map(|it| &it.ids);
    let wrong = found.chain(heads.map(String::as_str));
    let wrong = wrong.filter(|id| is_plain(id)).collect();
    verdict.plain_answers_wrong = different(wrong);
}

/// Returns how many of the IDs are different.
fn different(mut ids: Vec<&str>) -> usize {
    ids.sort_unstable();
    ids.dedup();
    ids.len()
}
