use super::AnswerEnd;
use super::Bytes;
use super::Rule;
use super::answer;
use super::broken;
use super::events;
use super::judge;
use super::millis;
use super::one;
use super::run;
use super::send;
use super::serve;
use super::sound_day;

#[test]
fn a_stream_that_looks_complete_early_breaks_order() {
    for route in ["chat", "talk"] {
        let mut day = sound_day();
        let attempt = serve(&mut day, route, "bad", 1_000);
        attempt.body = events(route, "i-1 bad", 0)[..2].concat().into();

        assert_eq!(broken(&day), one(Rule::Order, "bad"), "{route}");
        assert_eq!(judge(&day).streams_out_of_order, 1);
        assert_eq!(judge(&day).plain_answers_wrong, 0);
    }
}

#[test]
fn a_stream_that_breaks_off_visibly_breaks_no_rule() {
    let mut day = sound_day();
    let attempt = serve(&mut day, "talk", "part", 1_000);
    attempt.body = events("talk", "i-1 part", 0)[..2].concat().into();
    attempt.end = AnswerEnd::Broken;
    day.troubles = vec![super::trouble(&day, "node_kill", (900, 1_100))];

    assert_eq!(broken(&day), []);
}

#[test]
fn a_stream_that_repeats_misses_or_joins_pieces_breaks_order() {
    let [first, second] = ["i-1 bad", "i-2 bad"].map(|name| events("chat", name, 0));
    for pieces in [
        [&first[..2], &first[1..]].concat(),
        [&first[..1], &first[2..]].concat(),
        [&first[..2], &second[2..]].concat(),
        [&first[..2], &second[..]].concat(),
    ] {
        let mut day = sound_day();
        send(&mut day, "chat", "bad", 1_000);
        run(&mut day, "bad", "i-1", 10);
        run(&mut day, "bad", "i-2", 20);
        answer(&mut day).body = pieces.concat().into();

        assert_eq!(broken(&day), one(Rule::Order, "bad"), "{pieces:?}");
    }
}

#[test]
fn runs_joined_within_an_event_break_order() {
    let mut day = sound_day();
    send(&mut day, "chat", "bad", 1_000);
    run(&mut day, "bad", "i-1", 10);
    run(&mut day, "bad", "i-2", 20);
    let first = events("chat", "i-1 bad", 0)[0].slice(..12);
    let second = events("chat", "i-2 bad", 0);
    let attempt = answer(&mut day);
    attempt.body = [&[first], &second[..]].concat().concat().into();

    let rules: Vec<Rule> = broken(&day).into_iter().map(|(rule, _)| rule).collect();

    assert_eq!(rules, [Rule::Order]);
}

#[test]
fn a_stream_that_its_caller_resumes_elsewhere_than_asked_breaks_order() {
    for (after, rules) in [(2, vec![]), (1, vec![Rule::Order]), (3, vec![Rule::Order])] {
        let mut day = sound_day();
        let attempt = serve(&mut day, "chat", "first", 1_000);
        attempt.body = events("chat", "i-1 first", 0)[..2].concat().into();
        attempt.end = AnswerEnd::Broken;
        day.troubles = vec![super::trouble(&day, "node_kill", (900, 1_100))];
        let attempt = send(&mut day, "chat", "second", 1_200);
        attempt.first_attempt = "first".to_owned();
        attempt.resume_after = Some(after);
        run(&mut day, "second", "i-2", 10);
        answer(&mut day).resume_after = Some(2);

        let found: Vec<Rule> = broken(&day).into_iter().map(|(rule, _)| rule).collect();

        assert_eq!(found, rules, "{after}");
        assert_eq!(judge(&day).begun_streams, 3);
    }
}

#[test]
fn a_plain_answer_cut_short_that_looks_complete_breaks_mixed() {
    for route in ["safe", "once"] {
        let mut day = sound_day();
        let attempt = serve(&mut day, route, "bad", 1_000);
        attempt.body = attempt.body.slice(..5);

        assert_eq!(broken(&day), one(Rule::Mixed, "bad"), "{route}");
        assert_eq!(judge(&day).plain_answers_wrong, 1);
        assert_eq!(judge(&day).streams_out_of_order, 0);
    }
}

#[test]
fn bytes_of_another_request_break_mixed() {
    for route in ["chat", "safe", "talk"] {
        let mut day = sound_day();
        serve(&mut day, route, "other", 900);
        let body = day.attempts.last().unwrap().body.clone();
        serve(&mut day, route, "bad", 1_000).body = body;

        let found = broken(&day);

        assert!(found.contains(&one(Rule::Mixed, "bad")[0]), "{route}");
    }
}

#[test]
fn bytes_that_no_server_wrote_break_mixed() {
    for route in ["chat", "safe", "talk"] {
        let mut day = sound_day();
        let attempt = serve(&mut day, route, "bad", 1_000);
        attempt.body = Bytes::from_static(b"HTTP/1.1 200 OK\r\n\r\n");
        attempt.end = AnswerEnd::TimedOut;

        assert_eq!(broken(&day), one(Rule::Mixed, "bad"), "{route}");
    }
}

#[test]
fn a_success_without_signature_or_with_that_of_another_breaks_mixed() {
    for (seal, answered_id) in [("", "bad"), ("p-2.1", "bad"), ("p-1.1", "other")] {
        let mut day = sound_day();
        let attempt = serve(&mut day, "safe", "bad", 1_000);
        attempt.seal = seal.to_owned();
        attempt.answered_id = answered_id.to_owned();
        attempt.ended = attempt.sent + millis(100);

        assert_eq!(broken(&day), one(Rule::Mixed, "bad"), "{seal:?}");
        assert_eq!(judge(&day).plain_answers_wrong, 1);
    }
}
