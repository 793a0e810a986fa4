use super::AnswerEnd;
use super::DayRecord;
use super::Rule;
use super::broken;
use super::config;
use super::millis;
use super::one;
use super::run;
use super::send;
use super::serve;
use super::sound_day;
use super::trouble;

/// A day with a second version, sent at 10 s, that takes key `k-1` away and moves route `safe` to the engines.
fn changed_day() -> DayRecord {
    let mut day = sound_day();
    let mut second = config(2, day.started + millis(10_000));
    second.routes[2].service = "engines".to_owned();
    day.configs.push(second);
    day
}

fn revoking_day() -> DayRecord {
    let mut day = sound_day();
    let mut second = config(2, day.started + millis(10_000));
    second.keys.remove(0);
    day.configs.push(second);
    day
}

#[test]
fn a_run_with_a_key_taken_away_too_long_ago_breaks_config_at_any_gateway() {
    for (at, expected) in [(14_900, vec![]), (15_100, one(Rule::Config, "late"))] {
        let mut day = revoking_day();
        day.troubles = vec![trouble(&day, "core_cut", (9_000, 20_000))];
        serve(&mut day, "once", "late", at);

        assert_eq!(broken(&day), expected, "{at}");
    }
}

#[test]
fn a_key_that_is_given_back_is_good_from_then_on() {
    for (at, expected) in [(16_000, one(Rule::Config, "late")), (21_000, vec![])] {
        let mut day = revoking_day();
        day.configs.push(config(3, day.started + millis(20_000)));
        day.troubles = vec![trouble(&day, "core_cut", (9_000, 25_000))];
        serve(&mut day, "once", "late", at);

        assert_eq!(broken(&day), expected, "{at}");
    }
}

#[test]
fn a_run_as_only_an_old_version_allows_breaks_config() {
    for (at, expected) in [(11_900, vec![]), (12_100, one(Rule::Config, "old"))] {
        let mut day = changed_day();
        serve(&mut day, "safe", "old", at);

        assert_eq!(broken(&day), expected, "{at}");
    }
}

#[test]
fn gateways_out_of_touch_and_an_unstable_store_may_follow_an_old_version() {
    for kind in ["core_cut", "platform_slow", "node_freeze"] {
        for (end, expected) in [(8_000, vec![]), (6_000, one(Rule::Config, "old"))] {
            let mut day = changed_day();
            let mut it = trouble(&day, kind, (5_000, end));
            if kind == "platform_slow" {
                it.gateways.clear();
            }
            day.troubles = vec![it];
            serve(&mut day, "safe", "old", 12_100);

            assert_eq!(broken(&day), expected, "{kind} {end}");
        }
    }
}

#[test]
fn a_refusal_as_only_an_old_version_gives_breaks_config() {
    for (status, seal, at, expected) in [
        (404, "", 12_100, one(Rule::Config, "refused")),
        (404, "", 11_900, vec![]),
        (404, "p-1.1", 12_100, vec![]),
        (503, "", 12_100, vec![]),
    ] {
        let mut day = sound_day();
        day.configs.push(config(2, day.started + millis(10_000)));
        day.configs[0].routes.remove(2);
        day.attempts.retain(|attempt| attempt.route != "safe");
        day.runs.retain(|run| !run.target.starts_with("/safe/"));
        let attempt = send(&mut day, "safe", "refused", at);
        attempt.status = status;
        attempt.seal = seal.to_owned();
        attempt.end = AnswerEnd::Complete;

        assert_eq!(broken(&day), expected, "{status} {seal:?} {at}");
    }
}

#[test]
fn requests_without_an_answer_after_their_timeout_break_config() {
    for (count, took, expected) in [
        (2, 2_600, vec![Rule::Config]),
        (1, 2_600, vec![]),
        (9, 2_400, vec![]),
    ] {
        let mut day = sound_day();
        for number in 0..count {
            let id = format!("r-{number}");
            let attempt = send(&mut day, "safe", &id, 5_000 + number);
            attempt.ended = attempt.sent + millis(took);
            attempt.end = AnswerEnd::Left;
            run(&mut day, &id, "p-1", 10);
        }

        let rules: Vec<Rule> = broken(&day).into_iter().map(|(rule, _)| rule).collect();

        assert_eq!(rules, expected, "{count} {took}");
    }
}

#[test]
fn streams_that_outlast_their_timeout_break_config_if_they_are_many() {
    for (outlasting, ended, expected) in
        [(8, 20, vec![Rule::Config]), (8, 30, vec![]), (7, 0, vec![])]
    {
        let mut day = sound_day();
        for number in 0..outlasting + ended {
            let took = if number < outlasting { 2_600 } else { 2_100 };
            let attempt = serve(&mut day, "talk", &format!("r-{number}"), 5_000 + number);
            attempt.ended = attempt.sent + millis(took);
        }

        let rules: Vec<Rule> = broken(&day).into_iter().map(|(rule, _)| rule).collect();

        assert_eq!(rules, expected, "{outlasting} {ended}");
    }
}

#[test]
fn callers_that_leave_before_the_limit_but_notice_it_late_break_no_rule() {
    let mut day = sound_day();
    for number in 0..9 {
        let attempt = send(&mut day, "safe", &format!("r-{number}"), 5_000 + number);
        attempt.deadline = millis(2_400);
        attempt.ended = attempt.sent + millis(2_900);
        attempt.end = AnswerEnd::TimedOut;
    }

    assert_eq!(broken(&day), []);
}
