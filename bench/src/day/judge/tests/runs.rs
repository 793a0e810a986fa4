use super::AnswerEnd;
use super::Bytes;
use super::DayRecord;
use super::HeaderValue;
use super::Rule;
use super::broken;
use super::config;
use super::millis;
use super::one;
use super::run;
use super::send;
use super::serve;
use super::sound_day;

/// Changes the last run of a request that is served.
fn with_run(change: impl Fn(&mut crate::standin::replica::Run)) -> DayRecord {
    let mut day = sound_day();
    serve(&mut day, "chat", "bad", 1_000);
    change(day.runs.last_mut().unwrap());
    day
}

#[test]
fn a_second_run_of_what_may_run_once_breaks_twice() {
    for (route, server) in [("once", "p-2"), ("talk", "i-2")] {
        let mut day = sound_day();
        serve(&mut day, route, "bad", 1_000);
        run(&mut day, "bad", server, 20);

        assert_eq!(broken(&day), one(Rule::Twice, "bad"), "{route}");
    }
}

#[test]
fn a_second_run_of_what_may_be_repeated_breaks_no_rule() {
    for (route, server) in [("safe", "p-2"), ("chat", "i-2")] {
        let mut day = sound_day();
        serve(&mut day, route, "twice", 1_000);
        run(&mut day, "twice", server, 20);

        assert_eq!(broken(&day), [], "{route}");
    }
}

#[test]
fn a_refused_request_that_runs_breaks_refused() {
    for status in [408, 421, 429, 503] {
        for delay in [10, 900] {
            let mut day = sound_day();
            let attempt = send(&mut day, "once", "bad", 1_000);
            attempt.status = status;
            attempt.end = AnswerEnd::Complete;
            run(&mut day, "bad", "p-1", delay);

            assert_eq!(broken(&day), one(Rule::Refused, "bad"), "{status} {delay}");
        }
    }
}

#[test]
fn a_failure_without_promise_or_a_safe_request_breaks_no_promise() {
    for (route, status) in [("once", 504), ("once", 502), ("safe", 503)] {
        let mut day = sound_day();
        let attempt = send(&mut day, route, "failed", 1_000);
        attempt.status = status;
        attempt.end = AnswerEnd::Complete;
        run(&mut day, "failed", "p-1", 10);

        assert_eq!(broken(&day), [], "{route} {status}");
    }
}

#[test]
fn a_run_that_nobody_asked_for_breaks_unasked() {
    let mut day = sound_day();
    serve(&mut day, "safe", "known", 1_000);
    let mut stray = day.runs.last().unwrap().clone();
    stray.request_id = "stray".to_owned();
    day.runs.push(stray);

    assert_eq!(broken(&day), one(Rule::Unasked, "stray"));
}

#[test]
fn a_run_with_something_changed_breaks_unasked() {
    let header = |name: &'static str, value: &'static str| {
        with_run(move |run| {
            run.headers.insert(name, HeaderValue::from_static(value));
        })
    };
    for day in [
        with_run(|run| run.target = "/chat/2".to_owned()),
        with_run(|run| run.body = Bytes::from_static(b"other")),
        header("currantbend-prompt-prefix", "5c1e07a2:800"),
        header("currantbend-tenant", "team-2"),
        header("currantbend-tenant", ""),
        header("authorization", "Token k-1"),
    ] {
        assert_eq!(broken(&day), one(Rule::Unasked, "bad"));
    }
}

#[test]
fn a_run_at_a_service_that_no_configuration_names_breaks_route() {
    let mut day = sound_day();
    send(&mut day, "safe", "bad", 1_000);
    run(&mut day, "bad", "i-1", 10);

    assert_eq!(broken(&day), one(Rule::Route, "bad"));
}

#[test]
fn a_run_before_the_configuration_that_allows_it_is_sent_breaks_route() {
    for (sent, expected) in [(500, vec![]), (1_500, one(Rule::Route, "moved"))] {
        let mut day = sound_day();
        let mut moved = config(2, day.started + millis(sent));
        moved.routes[2].service = "engines".to_owned();
        day.configs.push(moved);
        send(&mut day, "safe", "moved", 1_000);
        run(&mut day, "moved", "i-1", 10);
        super::answer(&mut day);

        assert_eq!(broken(&day), expected, "{sent}");
    }
}

#[test]
fn a_run_with_a_key_of_no_configuration_breaks_route() {
    let mut day = sound_day();
    serve(&mut day, "safe", "bad", 1_000).key = "k-9".to_owned();

    assert_eq!(broken(&day), one(Rule::Route, "bad"));
}
