use std::time::Instant;

use super::*;

fn call(kind: CallKind, name: &str, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        team: String::from("team-1"),
        chat: String::from("chat-1"),
        call: name.to_owned(),
        key: (kind == CallKind::Payment).then(|| format!("key-{name}")),
        issuer: None,
        kind,
        node: String::from("dc1-n1"),
        body_hash: name.len() as u64,
        prompt: Vec::new(),
        answer: None,
        started: Instant::now(),
        first_byte: None,
        ended: Instant::now(),
        not_run_at: Vec::new(),
        outcome,
    }
}

fn start(engine_load: u32, mean_load: f64, draining_for: Option<Duration>) -> EngineStart {
    EngineStart {
        at: Instant::now(),
        engine: String::from("engine-1"),
        request_id: String::from("id"),
        chat: String::from("chat-1"),
        engine_load,
        mean_load,
        live_engines: 2,
        prompt_tokens: 100,
        cached_tokens: 25,
        answer_tokens: 8,
        draining_for,
        batch: false,
        body_hash: 1,
    }
}

fn run_of(key: Option<&str>, path: &str) -> ServiceRun {
    ServiceRun {
        at: Instant::now(),
        service: String::from("payments"),
        server: String::from("payments-1"),
        request_id: String::from("id"),
        method: String::from("POST"),
        path: path.to_owned(),
        idempotency_key: key.map(str::to_owned),
        body: String::new(),
        draining_for: None,
    }
}

fn not_run() -> CallOutcome {
    CallOutcome::NotRun {
        reason: String::from("busy"),
        retry_after: None,
    }
}

#[test]
fn double_runs_are_counted_per_key() {
    let unknown = CallOutcome::Unknown {
        reason: String::from("lost"),
    };
    let calls = [
        call(CallKind::Payment, "a", CallOutcome::Answered),
        call(CallKind::Payment, "b", unknown),
    ];
    let runs = [
        run_of(Some("key-a"), "/payments"),
        run_of(Some("key-b"), "/payments"),
        run_of(Some("key-b"), "/payments"),
    ];

    let doubled = double_runs(&calls, &runs);

    assert_eq!(doubled, 1);
}

#[test]
fn not_run_outcomes_of_calls_that_ran_are_false() {
    let calls = [
        call(CallKind::ChatStream, "a", not_run()),
        call(CallKind::ChatStream, "unlike", not_run()),
        call(CallKind::Payment, "b", not_run()),
        call(CallKind::Payment, "c", not_run()),
        call(CallKind::Lookup, "d", not_run()),
        call(CallKind::Lookup, "e", CallOutcome::Answered),
    ];
    let runs = [
        run_of(Some("key-b"), "/payments"),
        run_of(None, "/balance?call=d"),
        run_of(None, "/balance?call=e"),
    ];

    let false_count = false_not_run(&calls, &[start(1, 1.0, None)], &runs);

    assert_eq!(false_count, 3);
}

#[test]
fn not_run_of_an_attempt_is_false_if_the_call_had_run_before() {
    let ran = start(1, 1.0, None);
    let not_run_before = ran.at.checked_sub(Duration::from_millis(5));
    let mut not_run_then_ran = call(CallKind::ChatStream, "a", CallOutcome::Answered);
    not_run_then_ran.not_run_at.extend(not_run_before);
    let mut ran_then_not_run = call(CallKind::ChatStream, "b", CallOutcome::Answered);
    ran_then_not_run
        .not_run_at
        .push(ran.at + Duration::from_millis(5));

    let false_before_run = false_not_run(&[not_run_then_ran], std::slice::from_ref(&ran), &[]);
    let false_after_run = false_not_run(&[ran_then_not_run], &[ran], &[]);

    assert_eq!((false_before_run, false_after_run), (0, 1));
}

#[test]
fn starts_above_the_bound_are_counted_only_above_the_floor() {
    let within_floor = start(4, 1.0, None);
    let at_bound = start(13, 10.0, None);
    let over = start(14, 10.0, None);

    let samples = overload_samples(&[within_floor, at_bound, over], 1.25, 4);

    assert_eq!(samples, 1);
}

#[test]
fn new_work_is_late_after_the_grace_period() {
    let soon = start(1, 1.0, Some(Duration::from_secs(1)));
    let late = start(1, 1.0, Some(Duration::from_secs(4)));

    let count = late_new_work(&[soon, late, start(1, 1.0, None)], &[]);

    assert_eq!(count, 1);
}

#[test]
fn cache_reuse_counts_only_answered_calls() {
    let answered = call(CallKind::ChatNonStreaming, "a", CallOutcome::Answered);
    let mut other = start(1, 1.0, None);
    other.body_hash = 7;
    other.cached_tokens = 100;

    let reuse = cache_reuse(&[answered], &[start(1, 1.0, None), other]);

    assert!((reuse - 0.25).abs() < 1e-9);
}
