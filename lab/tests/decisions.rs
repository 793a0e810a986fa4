//! Tests of the load decisions with the load patterns that they are made for: the current policy must be better than
//! those that it replaced.

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
    let simulation = simulate(pattern, policy.expect("a policy of this name"), SEED);
    summarize(pattern, &simulation, name, SEED)
}

fn chats(pattern: &str, policy: &str) -> Summary {
    let pattern = pattern::chats(pattern, SEED).expect("a pattern of this name");
    summary(&pattern, &policy::for_chats(), policy)
}

fn calls(pattern: &str, policy: &str) -> Summary {
    let pattern = pattern::calls(pattern, SEED).expect("a pattern of this name");
    summary(&pattern, &policy::for_calls(), policy)
}

#[test]
fn the_same_seed_gives_the_same_summary() {
    assert_eq!(chats("burst", CURRENT), chats("burst", CURRENT));
}

#[test]
fn placement_at_homes_processes_fewer_shared_prompt_tokens_than_least_loaded_placement() {
    let (before, now) = (chats("even", "least-loaded"), chats("even", CURRENT));

    assert!(now.shared_read_k * 3.0 < before.shared_read_k);
    assert!(now.all.on_time > 0.99, "{}", now.all.on_time);
    assert!(before.all.on_time < 0.5, "{}", before.all.on_time);
}

#[test]
fn spreading_a_hot_part_shortens_the_time_to_the_first_event() {
    let (before, now) = (chats("hot-part", "by-hash"), chats("hot-part", CURRENT));

    assert!(now.all.first_p99 < before.all.first_p99);
    assert!(now.all.credit > before.all.credit);
}

#[test]
fn rejecting_chats_that_would_be_late_keeps_more_of_the_others_on_time() {
    for pattern in ["burst", "hot-team", "retry-storm"] {
        let (before, now) = (chats(pattern, "homes"), chats(pattern, CURRENT));

        assert!(now.all.credit > before.all.credit + 0.1, "{pattern}");
        assert!(now.all.on_time > before.all.on_time + 0.1, "{pattern}");
        assert!(now.worst_team > before.worst_team, "{pattern}");
    }
}

#[test]
fn no_kind_of_chat_is_starved_in_a_burst() {
    let min_answered_share = |summary: &Summary| {
        let answered_share = |kind: &(String, _)| -> f64 {
            let (_, stats): &(String, currantbend_lab::summary::RequestStats) = kind;
            stats.on_time + stats.late
        };
        summary.kinds.iter().map(answered_share).fold(1.0, f64::min)
    };

    let rank_ordered = min_answered_share(&chats("burst", "homes, urgency"));
    let now = min_answered_share(&chats("burst", CURRENT));

    assert!(now > 0.7, "{now}");
    assert!(rank_ordered < now, "{rank_ordered}, {now}");
}

#[test]
fn long_retry_delays_and_the_retry_preference_leave_fewer_calls_unanswered() {
    const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
    let policies = policy::for_calls();
    for name in ["burst", "retry-storm"] {
        let summaries = |policy: &str| -> Vec<Summary> {
            let summary_of_seed = |seed| {
                let pattern = pattern::calls(name, seed).expect("a pattern of this name");
                summary(&pattern, &policies, policy)
            };
            SEEDS.map(summary_of_seed).collect()
        };
        let (before, now) = (summaries("drawn"), summaries(CURRENT));
        let mean = |summaries: &[Summary], figure: fn(&Summary) -> f64| {
            summaries.iter().map(figure).sum::<f64>() / summaries.len() as f64
        };

        let unanswered_share = |summary: &Summary| summary.all.refused + summary.all.failed;
        assert!(
            mean(&now, unanswered_share) < mean(&before, unanswered_share) * 0.75,
            "{name}"
        );
        let answered_after_rejection = |summary: &Summary| summary.answered_after_rejection;
        assert!(
            mean(&now, answered_after_rejection) > mean(&before, answered_after_rejection),
            "{name}"
        );
        let credit = |summary: &Summary| summary.all.credit;
        assert!(mean(&now, credit) > mean(&before, credit) - 0.01, "{name}");
    }
}

#[test]
fn calls_that_avoid_a_slow_server_are_late_less_often() {
    let (before, now) = (
        calls("slow-server", "without paces"),
        calls("slow-server", CURRENT),
    );

    assert!(now.all.late < before.all.late * 0.5, "{}", now.all.late);
    assert!(now.all.credit > before.all.credit, "{}", now.all.credit);
    assert!(now.all.refused == 0.0, "{}", now.all.refused);
}

#[test]
fn no_call_is_rejected_while_the_service_has_capacity() {
    for pattern in ["even", "hot-part", "release", "crash"] {
        let refused = calls(pattern, CURRENT).all.refused;

        assert!(refused == 0.0, "{pattern}: {refused}");
    }
}
