//! Servers that seem to have crashed under requests, but were cut off or lost power together.

use crate::clock::BootInstant;
use crate::decide::Crash;
use crate::decide::CrashBlame;
use crate::decide::Hold;
use crate::decide::Incarnation;
use crate::decide::PartId;
use crate::decide::Sight;
use crate::decide::Sighting;
use crate::decide::Suspect;
use crate::decide::is_common_loss;
use crate::tests::check;
use std::time::Duration;

const PART: PartId = 0x5;
const OTHER: PartId = 0x6;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_secs(1_000) + Duration::from_millis(ms))
}

fn incarnation(server: &str, start_time_ms: u64) -> Incarnation {
    Incarnation {
        server: server.to_owned(),
        start_time_ms,
    }
}

/// Returns a crash of `server` at `ms` under one request with `parts` that was sent `age_ms` before.
fn crash(server: &str, ms: u64, age_ms: u64, parts: &[PartId]) -> Crash {
    Crash {
        server: server.to_owned(),
        start_time_ms: 1,
        at: at(ms),
        suspects: vec![Suspect {
            request: ms,
            parts: parts.to_vec(),
            whole: None,
            sent_at: at(ms).before(Duration::from_millis(age_ms)),
        }],
    }
}

/// Returns what the list shows of a server that has reported again with its start time.
fn renewed(server: &str, start_time_ms: u64, ms: u64) -> Sighting {
    seen(
        server,
        start_time_ms,
        ms,
        Sight::Alive {
            since: BootInstant::default(),
        },
    )
}

fn seen(server: &str, start_time_ms: u64, ms: u64, sight: Sight) -> Sighting {
    Sighting {
        incarnation: incarnation(server, start_time_ms),
        at: at(ms),
        sight,
    }
}

fn record(blame: &mut CrashBlame, crash: Crash) {
    let now = crash.at;
    blame.record_crash(crash);
    blame.update_holds(now);
}

fn see(blame: &mut CrashBlame, sighting: Sighting) -> bool {
    let now = sighting.at;
    let is_news = blame.record_sighting(sighting);
    blame.update_holds(now);
    is_news
}

fn held(blame: &CrashBlame) -> Vec<PartId> {
    blame.holds().iter().map(|hold| hold.part).collect()
}

/// Returns the blame after two servers seemed to crash under [`PART`].
fn after_two() -> CrashBlame {
    let mut blame = CrashBlame::default();
    record(&mut blame, crash("i-1", 100, 50, &[PART]));
    record(&mut blame, crash("i-2", 900, 50, &[PART]));
    assert_eq!(held(&blame), [PART]);
    blame
}

#[test]
fn a_hold_ends_when_one_of_two_servers_is_back_with_its_start_time() {
    let mut blame = after_two();

    let is_news = see(&mut blame, renewed("i-1", 1, 1_500));

    assert!(is_news);
    assert!(held(&blame).is_empty());
}

#[test]
fn a_hold_stands_when_a_server_is_back_with_another_start_time() {
    let mut blame = after_two();

    see(&mut blame, renewed("i-1", 7, 1_500));

    assert_eq!(held(&blame), [PART]);
}

#[test]
fn a_hold_stands_when_a_server_was_seen_alive_before_its_crash_only() {
    let mut blame = after_two();

    see(&mut blame, renewed("i-1", 1, 90));

    assert_eq!(held(&blame), [PART]);
}

#[test]
fn a_stream_that_began_after_a_crash_shows_nothing_of_the_incarnation_before() {
    let mut blame = after_two();

    let sight = Sight::Alive { since: at(120) };
    see(&mut blame, seen("i-1", 1, 1_500, sight));
    let after_new_stream = held(&blame);
    let sight = Sight::Alive { since: at(80) };
    see(&mut blame, seen("i-1", 1, 1_500, sight));

    assert_eq!(after_new_stream, [PART]);
    assert!(held(&blame).is_empty());
}

#[test]
fn a_third_crash_keeps_a_hold_of_which_one_crash_was_none() {
    let mut blame = after_two();
    record(&mut blame, crash("i-3", 1_200, 50, &[PART]));

    see(&mut blame, renewed("i-2", 1, 1_500));

    assert_eq!(held(&blame), [PART]);
}

#[test]
fn reports_that_arrive_after_the_retraction_hold_nothing() {
    let mut blame = CrashBlame::default();
    see(&mut blame, renewed("i-1", 1, 1_500));

    record(&mut blame, crash("i-1", 100, 50, &[PART]));
    record(&mut blame, crash("i-2", 900, 50, &[PART]));
    let is_held = blame.record_hold(Hold {
        part: PART,
        since: at(900),
        trials: 0,
        last_trial_at: None,
    });

    assert!(!is_held);
    assert!(held(&blame).is_empty());
}

#[test]
fn a_server_that_was_retracted_and_then_crashes_counts() {
    let mut blame = CrashBlame::default();
    record(&mut blame, crash("i-1", 100, 50, &[PART]));
    see(&mut blame, renewed("i-1", 1, 1_500));

    record(&mut blame, crash("i-1", 2_000, 50, &[PART]));
    record(&mut blame, crash("i-2", 2_900, 50, &[PART]));

    assert_eq!(held(&blame), [PART]);
}

#[test]
fn a_request_sent_to_a_server_that_was_lost_before_did_not_crash_it() {
    let mut blame = CrashBlame::default();
    record(&mut blame, crash("i-1", 100, 50, &[PART]));
    see(&mut blame, seen("i-2", 1, 103, Sight::Lost));

    // A connection from before the cut breaks as the request is sent.
    record(&mut blame, crash("i-2", 901, 1, &[PART]));

    assert!(held(&blame).is_empty());
}

#[test]
fn a_loss_that_is_told_after_the_crash_retracts_it() {
    let mut blame = CrashBlame::default();
    record(&mut blame, crash("i-1", 100, 50, &[PART]));
    record(&mut blame, crash("i-2", 901, 1, &[PART]));
    let before = held(&blame);

    see(&mut blame, seen("i-2", 1, 103, Sight::Lost));

    assert_eq!(before, [PART]);
    assert!(held(&blame).is_empty());
}

#[test]
fn a_server_that_was_lost_and_is_back_counts_when_it_crashes() {
    let mut blame = CrashBlame::default();
    record(&mut blame, crash("i-1", 100, 50, &[PART]));
    see(&mut blame, seen("i-2", 1, 103, Sight::Lost));
    see(&mut blame, renewed("i-2", 1, 500));

    record(&mut blame, crash("i-2", 1_500, 50, &[PART]));

    assert_eq!(held(&blame), [PART]);
}

#[test]
fn a_server_that_has_crashed_is_gone_for_later_requests() {
    let mut blame = CrashBlame::default();
    record(&mut blame, crash("i-1", 100, 50, &[PART]));

    assert!(!blame.was_gone(&incarnation("i-1", 1), at(50)));
    assert!(blame.was_gone(&incarnation("i-1", 1), at(151)));
    assert!(!blame.was_gone(&incarnation("i-1", 2), at(151)));
}

#[test]
fn three_servers_that_crash_one_after_another_are_blamed_on_the_request_that_is_repeated() {
    let mut blame = CrashBlame::default();
    let mut held_after = Vec::new();

    // Each other server is reached when one crashes; those that crashed before are found lost.
    for (number, ms) in [(1, 100), (2, 600), (3, 1_400)] {
        for lost in 1..number {
            see(&mut blame, seen(&format!("i-{lost}"), 1, ms, Sight::Lost));
        }
        record(&mut blame, crash(&format!("i-{number}"), ms, 40, &[PART]));
        held_after.push(held(&blame));
    }

    assert_eq!(held_after, [vec![], vec![PART], vec![PART]]);
    assert!(!is_common_loss(2, 2));
}

#[test]
fn most_servers_lost_at_once_are_a_common_loss() {
    assert!(is_common_loss(12, 12));
    assert!(is_common_loss(4, 8));
    assert!(!is_common_loss(4, 9));
    assert!(!is_common_loss(3, 3));
    assert!(!is_common_loss(0, 0));
}

/// Plays a cut under which servers seem to crash, in any order of what gateways tell of it: no part is held once all is
/// known, and a part that crashes servers for certain is.
#[test]
fn the_order_of_reports_and_retractions_does_not_matter() {
    check(|u| {
        let count = u.int_in_range(2..=8)?;
        let mut crashes = Vec::new();
        let mut sightings = Vec::new();
        for number in 0..count {
            let server = format!("i-{number}");
            let ms = 100 + number * 300;
            crashes.push(crash(&server, ms, 20, &[OTHER, PART]));
            sightings.push(renewed(&server, 1, 6_000));
        }
        let mut blame = CrashBlame::default();
        while !crashes.is_empty() || !sightings.is_empty() {
            if sightings.is_empty() || (!crashes.is_empty() && u.arbitrary()?) {
                let index = u.choose_index(crashes.len())?;
                blame.record_crash(crashes.swap_remove(index));
            } else {
                let index = u.choose_index(sightings.len())?;
                blame.record_sighting(sightings.swap_remove(index));
            }
            blame.update_holds(at(6_100));
        }
        assert!(held(&blame).is_empty(), "{:?}", blame.holds());

        record(&mut blame, crash("i-8", 7_000, 50, &[PART]));
        record(&mut blame, crash("i-9", 7_500, 50, &[PART]));
        assert_eq!(held(&blame), [PART]);
        Ok(())
    });
}

#[test]
fn sightings_are_bounded_and_forgotten() {
    let mut blame = CrashBlame::default();
    for number in 0..3_000 {
        blame.record_sighting(seen(&format!("i-{number}"), 1, number, Sight::Lost));
    }
    let newest = incarnation("i-2999", 1);

    let is_known = blame.was_gone(&newest, at(3_000));
    let is_oldest_known = blame.was_gone(&incarnation("i-0", 1), at(3_000));
    blame.update_holds(at(15_000));

    assert!(is_known);
    assert!(!is_oldest_known);
    assert!(!blame.was_gone(&newest, at(15_000)));
}
