//! One server of a service that answers several times slower than the others.

use crate::clock::BootInstant;
use crate::decide::PaceKind;
use crate::decide::PaceTable;
use crate::decide::PaceWindow;
use crate::peers::ServerPace;
use std::time::Duration;

const START: BootInstant = BootInstant::from_boot(Duration::from_secs(1_000));

fn after(millis: u64) -> BootInstant {
    START.plus(Duration::from_millis(millis))
}

fn pace(answers: u32, mean_ms: u32) -> Option<ServerPace> {
    Some(ServerPace {
        answers,
        took_ms: answers * mean_ms,
    })
}

fn slow(table: &PaceTable) -> Vec<(&str, f64)> {
    let slow = table.slow().iter();
    slow.map(|slow| (slow.id.as_str(), slow.slowness)).collect()
}

#[test]
fn a_server_that_takes_five_times_as_long_is_slow_until_it_recovers() {
    let mut table = PaceTable::default();
    let others = [("b", pace(60, 60)), ("c", pace(55, 70))];
    let update = |table: &mut PaceTable, first| {
        let [second, third] = others;
        table.update(PaceKind::Answers, &[("a", first), second, third], START);
    };

    update(&mut table, pace(20, 300));
    let at_first = table.clone();
    update(&mut table, pace(3, 150));
    let with_few_answers = table.clone();
    update(&mut table, pace(3, 110));

    assert_eq!(slow(&at_first), [("a", 5.0)]);
    assert_eq!(slow(&with_few_answers), [("a", 2.5)]);
    assert!(slow(&table).is_empty());
}

#[test]
fn servers_that_are_all_slow_alike_or_loaded_unequally_are_not_slow() {
    let mut table = PaceTable::default();

    table.update(
        PaceKind::Answers,
        &[("a", pace(9, 400)), ("b", pace(9, 420))],
        START,
    );
    table.update(
        PaceKind::Answers,
        &[("a", pace(90, 60)), ("b", pace(90, 150))],
        START,
    );

    assert!(slow(&table).is_empty());
}

#[test]
fn most_servers_of_a_service_may_be_slow() {
    let mut table = PaceTable::default();
    let service = [
        ("a", pace(9, 60)),
        ("b", pace(9, 60)),
        ("c", pace(9, 240)),
        ("d", pace(9, 240)),
        ("e", pace(9, 240)),
    ];

    table.update(PaceKind::Answers, &service, START);

    assert_eq!(slow(&table), [("c", 4.0), ("d", 4.0), ("e", 4.0)]);
}

// Engines that read long prompts counted as slow and lost the homes of their parts, which others then read again.
#[test]
fn engines_that_pause_their_streams_for_a_prompt_are_not_slow() {
    let mut table = PaceTable::default();
    let service = [
        ("a", pace(90, 90)),
        ("b", pace(90, 30)),
        ("c", pace(90, 150)),
    ];

    table.update(PaceKind::Events, &service, START);

    assert_eq!(slow(&table), [("c", 5.0)]);
}

#[test]
fn a_few_late_answers_do_not_make_a_server_slow() {
    let mut table = PaceTable::default();

    table.update(
        PaceKind::Answers,
        &[("a", pace(4, 300)), ("b", pace(60, 60))],
        START,
    );
    table.update(PaceKind::Answers, &[("a", pace(40, 300))], START);

    assert!(slow(&table).is_empty());
}

#[test]
fn a_slow_server_of_which_nothing_is_known_any_more_is_forgotten() {
    let mut table = PaceTable::default();
    table.update(
        PaceKind::Answers,
        &[("a", pace(9, 300)), ("b", pace(60, 60))],
        START,
    );

    table.update(
        PaceKind::Answers,
        &[("a", None), ("b", pace(60, 60))],
        after(3_000),
    );
    table.expire(after(3_000));
    let early = table.clone();
    table.expire(after(7_000));

    assert_eq!(slow(&early), [("a", 5.0)]);
    assert!(slow(&table).is_empty());
}

#[test]
fn answers_leave_the_window_after_two_seconds() {
    let mut window = PaceWindow::default();
    window.record(Duration::from_millis(80), START);
    window.record(Duration::from_millis(40), after(600));

    let both = window.sum(after(1_400));
    let last = window.sum(after(2_100));
    let none = window.sum(after(9_000));

    assert_eq!(both, pace(2, 60));
    assert_eq!(last, pace(1, 40));
    assert_eq!(none, None);
}
