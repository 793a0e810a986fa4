//! Each decision against its load pattern: today's policy beside the one that it replaced.

use currantbend_lab::pattern;
use currantbend_lab::pattern::Pattern;
use currantbend_lab::policy;
use currantbend_lab::policy::CURRENT;
use currantbend_lab::policy::Policy;
use currantbend_lab::simulation::simulate;
use currantbend_lab::summary::Summary;
use currantbend_lab::summary::summarize;

const SEED: u64 = 7;

fn summary(pattern: &Pattern, policies: &[Policy], name: &str) -> Summary {
    let policy = policies.iter().find(|policy| policy.name == name);
    let simulation = simulate(pattern, policy.expect("a policy of the list"), SEED);
    summarize(pattern, &simulation, name, SEED)
}

fn chats(pattern: &str, policy: &str) -> Summary {
    let pattern = pattern::chats(pattern, SEED).expect("a pattern of the list");
    summary(&pattern, &policy::for_chats(), policy)
}

fn calls(pattern: &str, policy: &str) -> Summary {
    let pattern = pattern::calls(pattern, SEED).expect("a pattern of the list");
    summary(&pattern, &policy::for_calls(), policy)
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    assert_eq!(chats("burst", CURRENT), chats("burst", CURRENT));
}

#[test]
fn homes_spare_reading_shared_parts_that_the_least_loaded_engine_lacks() {
    let (before, now) = (chats("even", "least-loaded"), chats("even", CURRENT));

    assert!(now.shared_read_k * 3.0 < before.shared_read_k);
    assert!(now.all.on_time > 0.99, "{}", now.all.on_time);
    assert!(before.all.on_time < 0.5, "{}", before.all.on_time);
}

#[test]
fn a_hot_part_spreads_instead_of_drowning_its_engine() {
    let (before, now) = (chats("hot-part", "by-hash"), chats("hot-part", CURRENT));

    assert!(now.all.first_p99 < before.all.first_p99);
    assert!(now.all.credit > before.all.credit);
}

#[test]
fn chats_that_could_only_be_late_are_turned_away_and_the_others_are_on_time() {
    for pattern in ["burst", "hot-team", "retry-storm"] {
        let (before, now) = (chats(pattern, "homes"), chats(pattern, CURRENT));

        assert!(now.all.credit > before.all.credit + 0.1, "{pattern}");
        assert!(now.all.on_time > before.all.on_time + 0.1, "{pattern}");
        assert!(now.worst_team > before.worst_team, "{pattern}");
    }
}

#[test]
fn no_kind_of_chat_is_starved_in_a_burst() {
    let served = |summary: &Summary| {
        let share = |kind: &(String, _)| -> f64 {
            let (_, service): &(String, currantbend_lab::summary::RequestStats) = kind;
            service.on_time + service.late
        };
        summary.kinds.iter().map(share).fold(1.0, f64::min)
    };

    let by_urgency = served(&chats("burst", "homes, urgency"));
    let now = served(&chats("burst", CURRENT));

    assert!(now > 0.7, "{now}");
    assert!(by_urgency < now, "{by_urgency}, {now}");
}

#[test]
fn fewer_callers_are_left_without_an_answer_when_returns_are_late_and_favoured() {
    const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
    let policies = policy::for_calls();
    for name in ["burst", "retry-storm"] {
        let plays = |policy: &str| -> Vec<Summary> {
            let of_seed = |seed| {
                let pattern = pattern::calls(name, seed).expect("a pattern of the list");
                summary(&pattern, &policies, policy)
            };
            SEEDS.map(of_seed).collect()
        };
        let (before, now) = (plays("drawn"), plays(CURRENT));
        let mean = |plays: &[Summary], figure: fn(&Summary) -> f64| {
            plays.iter().map(figure).sum::<f64>() / plays.len() as f64
        };

        let unserved = |summary: &Summary| summary.all.refused + summary.all.failed;
        assert!(
            mean(&now, unserved) < mean(&before, unserved) * 0.75,
            "{name}"
        );
        let returns = |summary: &Summary| summary.answered_after_rejection;
        assert!(mean(&now, returns) > mean(&before, returns), "{name}");
        let credit = |summary: &Summary| summary.all.credit;
        assert!(mean(&now, credit) > mean(&before, credit) - 0.01, "{name}");
    }
}

#[test]
fn nobody_is_turned_away_while_there_is_room() {
    for pattern in ["even", "hot-part", "release", "crash"] {
        let refused = calls(pattern, CURRENT).all.refused;

        assert!(refused == 0.0, "{pattern}: {refused}");
    }
}
