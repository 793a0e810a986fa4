//! A team that sends many times its usual at a service that is full.

use crate::decide::Admission;
use crate::decide::AdmissionRequest;
use crate::decide::HeavyTeam;
use crate::decide::RANK_COUNT;
use crate::decide::ServiceLoad;
use crate::decide::heavy_teams;
use crate::decide::rejected_share_of_team;
use std::time::Duration;

const TEAMS: usize = 24;

fn name(number: usize) -> String {
    format!("t-{number}")
}

/// Returns the requests of teams that send 20 each, but for the first ones, which send `first`.
fn demand(first: &[u32]) -> Vec<(String, u32)> {
    let count = |number: usize| first.get(number).copied().unwrap_or(20);
    (0..TEAMS)
        .map(|number| (name(number), count(number)))
        .collect()
}

fn heavy(demand: &[(String, u32)]) -> Vec<HeavyTeam> {
    let rows: Vec<(&str, u32)> = demand
        .iter()
        .map(|(team, count)| (team.as_str(), *count))
        .collect();
    heavy_teams(&rows)
}

/// Returns how many of all requests are rejected, as a share.
fn rejected_in_all(demand: &[(String, u32)], rejected: f64) -> f64 {
    let heavy = heavy(demand);
    let total: u32 = demand.iter().map(|(_, count)| count).sum();
    let rejected = demand.iter().map(|(team, count)| {
        f64::from(*count) * rejected_share_of_team(rejected, Some(team), &heavy)
    });
    rejected.sum::<f64>() / f64::from(total)
}

#[test]
fn teams_within_their_share_do_not_pay_for_one_beyond_it() {
    let demand = demand(&[180]);
    let heavy = heavy(&demand);

    let modest = rejected_share_of_team(0.15, Some("t-5"), &heavy);
    let surging = rejected_share_of_team(0.15, Some("t-0"), &heavy);

    assert_eq!(heavy.len(), 1);
    assert!(modest.abs() < 1e-9, "{modest}");
    assert!((0.5..0.6).contains(&surging), "{surging}");
}

#[test]
fn as_much_is_rejected_in_all_whoever_pays() {
    for first in [vec![180], vec![180, 120], vec![20], vec![400, 400, 60]] {
        for rejected in [0.01, 0.1, 0.3, 0.6] {
            let found = rejected_in_all(&demand(&first), rejected);
            assert!(
                (found - rejected).abs() < 0.01,
                "{found} of {rejected}, {first:?}"
            );
        }
    }
}

#[test]
fn of_two_heavy_teams_the_heavier_pays_first() {
    let heavy = heavy(&demand(&[180, 100]));

    let shares = ["t-0", "t-1"].map(|team| rejected_share_of_team(0.05, Some(team), &heavy));

    assert!(shares[0] > 0.15 && shares[1].abs() < 0.01, "{shares:?}");
}

#[test]
fn equal_teams_and_few_requests_name_nobody() {
    assert!(heavy(&demand(&[])).is_empty());
    assert!(heavy_teams(&[("a", 30), ("b", 1)]).is_empty());
    assert_eq!(rejected_share_of_team(0.3, Some("a"), &[]), 0.3);
}

/// Replays a second of 640 requests, 180 of them of one team, at a service that has to reject a quarter; the decision without teams
/// rejects as many of the modest teams.
#[test]
fn modest_teams_are_served_beside_a_ninefold_one_as_without_it() {
    let demand = demand(&[180]);
    let heavy = heavy(&demand);
    let mut rank_shares = [0.0; RANK_COUNT];
    rank_shares[0] = 1.0;
    let load = ServiceLoad {
        load_per_slot: 3.45,
        slot_time: Some(Duration::from_millis(30)),
        wait_budget: Duration::from_millis(120),
        rank_shares,
        caller_retry_share: 0.0,
    };
    let served = |team: &str, heavy: &[HeavyTeam]| {
        let accepted = (0..1_000).filter(|number| {
            let request = AdmissionRequest {
                random_fraction: f64::from(*number) / 1_000.0,
                rank: 0,
                is_caller_retry: false,
                latency_target: Duration::from_millis(150),
                is_stream: false,
                team: Some(team),
                heavy_teams: heavy,
            };
            Admission::default().accepts(&load, &request)
        });
        accepted.count() as f64 / 1_000.0
    };

    let with_shares = served("t-5", &heavy);
    let without = served("t-5", &[]);

    assert!(with_shares >= 0.95, "{with_shares}");
    assert!(without < 0.9, "{without}");
    assert!(served("t-0", &heavy) >= 0.2);
}
