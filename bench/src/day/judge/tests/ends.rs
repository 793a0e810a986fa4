use super::AnswerEnd;
use super::DayRecord;
use super::Rule;
use super::broken;
use super::config;
use super::millis;
use super::one;
use super::run;
use super::send;
use super::sound_day;
use super::trouble;

/// Adds a request that is passed on and whose connection ends without an answer 100 ms after it was sent.
fn drop_request(day: &mut DayRecord, id: &str, at: u64) {
    send(day, "once", id, at);
    run(day, id, "p-1", 10);
}

/// Adds requests that are sent every 100 ms from `at` on and dropped.
fn drop_requests(day: &mut DayRecord, count: u64, at: u64) {
    for number in 0..count {
        drop_request(day, &format!("lost-{number}"), at + 100 * number);
    }
}

fn rules(day: &DayRecord) -> Vec<Rule> {
    broken(day).into_iter().map(|(rule, _)| rule).collect()
}

#[test]
fn more_than_three_requests_dropped_in_touch_break_lost() {
    for (count, expected) in [(3, vec![]), (4, vec![Rule::Lost])] {
        let mut day = sound_day();
        drop_requests(&mut day, count, 10_000);

        assert_eq!(rules(&day), expected, "{count}");
    }
}

#[test]
fn requests_that_were_not_passed_on_or_came_on_new_connections_are_not_lost() {
    let mut day = sound_day();
    drop_requests(&mut day, 8, 10_000);
    for attempt in day.attempts.iter_mut().rev().take(4) {
        attempt.is_on_kept_connection = false;
    }
    day.runs
        .retain(|run| !["lost-0", "lost-1"].contains(&run.request_id.as_str()));

    assert_eq!(rules(&day), []);
}

#[test]
fn what_is_dropped_while_its_gateway_or_server_is_struck_is_not_lost() {
    for (is_server, start, expected) in [
        (false, 9_900, vec![]),
        (true, 9_900, vec![]),
        (false, 5_000, vec![Rule::Lost]),
    ] {
        let mut day = sound_day();
        let mut it = trouble(&day, "node_kill", (start, start + 600));
        if is_server {
            it.gateways.clear();
            it.servers = vec!["p-1".to_owned()];
        }
        day.troubles = vec![it];
        drop_requests(&mut day, 5, 10_000);

        assert_eq!(rules(&day), expected, "{is_server} {start}");
    }
}

#[test]
fn a_request_cut_off_as_its_gateway_stops_as_planned_breaks_lost() {
    for (kind, start, expected) in [
        ("roll_term", 9_950, one(Rule::Lost, "bad")),
        ("roll_term", 5_000, one(Rule::Lost, "bad")),
        ("hup", 9_000, one(Rule::Lost, "bad")),
        ("hup", 7_000, vec![]),
        // The time for the stop is over.
        ("roll_term", 500, vec![]),
    ] {
        let mut day = sound_day();
        let mut stop = trouble(&day, kind, (start, start + 3_000));
        stop.is_planned = true;
        day.troubles = vec![stop];
        drop_request(&mut day, "bad", 10_000);

        assert_eq!(broken(&day), expected, "{kind} {start}");
    }
}

#[test]
fn a_request_that_outlasts_the_stop_of_its_gateway_is_not_lost() {
    for (sent, expected) in [(9_900, vec![]), (14_000, one(Rule::Lost, "long"))] {
        let mut day = sound_day();
        day.configs[0].routes[1].timeout = millis(60_000);
        let mut stop = trouble(&day, "roll_term", (10_000, 18_000));
        stop.is_planned = true;
        day.troubles = vec![stop];
        drop_request(&mut day, "long", sent);
        let ended = day.started + millis(17_500);
        let attempt = day.attempts.last_mut().unwrap();
        attempt.deadline = millis(60_000);
        attempt.ended = ended;

        assert_eq!(broken(&day), expected, "{sent}");
    }
}

#[test]
fn a_request_cut_off_beside_an_unplanned_trouble_is_not_lost() {
    let mut day = sound_day();
    let mut stop = trouble(&day, "roll_term", (9_950, 12_000));
    stop.is_planned = true;
    let mut elsewhere = trouble(&day, "node_freeze", (8_000, 8_100));
    elsewhere.gateways = vec![1];
    day.troubles = vec![stop, elsewhere];
    drop_request(&mut day, "cut", 10_000);

    assert_eq!(broken(&day), []);
}

#[test]
fn requests_cut_off_beside_a_new_version_break_lost_if_there_are_more_than_else() {
    for (else_, expected) in [(0, one(Rule::Lost, "bad")), (2, vec![])] {
        let mut day = sound_day();
        day.configs.push(config(2, day.started + millis(20_000)));
        for number in 0..3 {
            super::serve(&mut day, "safe", &format!("served-{number}"), 20_500);
        }
        drop_requests(&mut day, else_, 10_000);
        drop_request(&mut day, "bad", 21_000);

        assert_eq!(broken(&day), expected, "{else_}");
    }
}

#[test]
fn requests_that_reach_servers_after_their_callers_left_break_gone() {
    for (count, delay, expected) in [
        (6, 700, vec![Rule::Gone]),
        (5, 700, vec![]),
        (9, 500, vec![]),
    ] {
        let mut day = sound_day();
        for number in 0..count {
            let id = format!("left-{number}");
            send(&mut day, "chat", &id, 10_000 + number).end = AnswerEnd::Left;
            run(&mut day, &id, "i-1", delay);
        }

        assert_eq!(rules(&day), expected, "{count} {delay}");
    }
}

#[test]
fn what_callers_do_excuses_nothing() {
    for kind in ["burst", "hot_key", "hot_tenant", "give_up", "retry_abuse"] {
        let mut day = sound_day();
        let mut it = trouble(&day, kind, (9_000, 12_000));
        it.gateways.clear();
        day.troubles = vec![it];
        drop_requests(&mut day, 4, 10_000);

        assert_eq!(rules(&day), [Rule::Lost], "{kind}");
    }
}
