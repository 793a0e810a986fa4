use super::DayRecord;
use super::HeaderValue;
use super::Rule;
use super::broken;
use super::run;
use super::send;
use super::serve;
use super::sound_day;
use super::trouble;

fn rules(day: &DayRecord) -> Vec<Rule> {
    broken(day).into_iter().map(|(rule, _)| rule).collect()
}

/// Adds requests that run at three servers, one more than their route allows.
fn wide_day(count: u64) -> DayRecord {
    let mut day = sound_day();
    for number in 0..count {
        let id = format!("wide-{number}");
        serve(&mut day, "safe", &id, 20_000 * number);
        run(&mut day, &id, "p-2", 20);
        run(&mut day, &id, "p-3", 30);
    }
    day
}

#[test]
fn more_than_three_requests_at_too_many_servers_break_budget() {
    for (count, expected) in [(3, vec![]), (4, vec![Rule::Budget])] {
        assert_eq!(rules(&wide_day(count)), expected, "{count}");
    }
}

#[test]
fn servers_that_are_struck_do_not_count() {
    let mut day = wide_day(4);
    let mut crash = trouble(&day, "srv_crash", (0, 60_000));
    crash.gateways.clear();
    crash.servers = vec!["p-2".to_owned()];
    day.troubles = vec![crash];

    assert_eq!(rules(&day), []);
}

#[test]
fn too_many_repeats_within_a_window_break_budget() {
    for (repeats, spread, expected) in [
        (13, 100, vec![]),
        (16, 100, vec![Rule::Budget]),
        (16, 1_000, vec![]),
    ] {
        let mut day = sound_day();
        for number in 0..40 {
            serve(
                &mut day,
                "safe",
                &format!("before-{number}"),
                10_000 + 250 * number,
            );
        }
        for number in 0..40 {
            let id = format!("r-{number}");
            let at = 20_000 + spread * number;
            serve(&mut day, "safe", &id, at);
            if number < repeats {
                run(&mut day, &id, "p-2", 30);
            }
        }

        assert_eq!(rules(&day), expected, "{repeats} {spread}");
    }
}

#[test]
fn requests_handed_too_much_time_break_budget() {
    for (count, handed, expected) in [
        (21, Some("4600"), vec![Rule::Budget]),
        (21, None, vec![Rule::Budget]),
        (21, Some("4400"), vec![]),
        (20, Some("4600"), vec![]),
    ] {
        let mut day = sound_day();
        for number in 0..count {
            serve(&mut day, "once", &format!("r-{number}"), 200 * number);
            let headers = &mut day.runs.last_mut().unwrap().headers;
            headers.remove("currantbend-deadline-ms");
            if let Some(handed) = handed {
                let value = HeaderValue::from_static(handed);
                headers.insert("currantbend-deadline-ms", value);
            }
        }

        assert_eq!(rules(&day), expected, "{count} {handed:?}");
    }
}

#[test]
fn late_repeats_handed_the_whole_time_again_break_budget() {
    for (handed, expected) in [("4000", vec![Rule::Budget]), ("3000", vec![])] {
        let mut day = sound_day();
        day.bounds.retry_slack = 100.0;
        for number in 0..30 {
            let id = format!("r-{number}");
            send(&mut day, "safe", &id, 200 * number);
            run(&mut day, &id, "p-1", 10);
            let repeat = run(&mut day, &id, "p-2", 900);
            let value = HeaderValue::from_static(handed);
            repeat.headers.insert("currantbend-deadline-ms", value);
            super::answer(&mut day);
        }

        assert_eq!(rules(&day), expected, "{handed}");
    }
}
