use crate::owner::queue::AGED_BATCH_INTERVAL;
use crate::owner::queue::Class;
use crate::owner::queue::Queue;
use crate::owner::queue::QueueBounds;
use std::time::Duration;
use std::time::Instant;

const BOUNDS: QueueBounds = QueueBounds {
    max_len: 200,
    max_team_len: 100,
    ageing: Duration::from_secs(2),
};

/// A queued item: its class, its team and its index within the team.
type Item = (Class, usize, usize);

fn any(_: Class) -> bool {
    true
}

fn push(queue: &mut Queue<Item>, class: Class, team: usize, index: usize, now: Instant) -> bool {
    let name = format!("team-{team}");
    let item = (class, team, index);
    queue.push(class, &name, 1, now, &BOUNDS, item).is_ok()
}

#[test]
fn a_surging_team_gets_no_more_than_its_turns() {
    arbtest::arbtest(|u| {
        let now = Instant::now();
        let mut queue = Queue::default();
        let teams: usize = u.int_in_range(2..=6)?;
        let mut waiting = Vec::new();
        for team in 0..teams {
            let count: usize = u.int_in_range(1..=30)?;
            waiting.push(count);
            for index in 0..count {
                assert!(push(&mut queue, Class::Interactive, team, index, now));
            }
        }

        let mut served = vec![0; teams];
        while let Some((_, team, index)) = queue.pop(now, &BOUNDS, any) {
            assert_eq!(index, served[team], "order within a team");
            served[team] += 1;
            for other in 0..teams {
                let is_waiting = served[other] < waiting[other];
                let ahead = served[team] > served[other] + 1;
                assert!(!(is_waiting && ahead), "{served:?} of {waiting:?}");
            }
        }
        assert_eq!(served, waiting);
        Ok(())
    })
    .seed(0x5eed_0002_0000_0400);
}

#[test]
fn aged_batch_work_is_served_despite_steady_interactive_work() {
    let begin = Instant::now();
    let later = begin + BOUNDS.ageing;
    let mut queue = Queue::default();
    push(&mut queue, Class::Batch, 0, 0, begin);
    for index in 0..40 {
        push(&mut queue, Class::Interactive, 1, index, begin);
    }

    let recent: Vec<Class> = (0..AGED_BATCH_INTERVAL * 2)
        .filter_map(|_| queue.pop(begin, &BOUNDS, any))
        .map(|item| item.0)
        .collect();
    let aged: Vec<Class> = (0..AGED_BATCH_INTERVAL)
        .filter_map(|_| queue.pop(later, &BOUNDS, any))
        .map(|item| item.0)
        .collect();

    assert!(!recent.contains(&Class::Batch));
    assert!(aged.contains(&Class::Batch));
}

#[test]
fn a_team_can_fill_only_its_own_share_of_the_queue() {
    let now = Instant::now();
    let mut queue = Queue::default();

    let accepted = (0..150)
        .filter(|&index| push(&mut queue, Class::Interactive, 0, index, now))
        .count();

    assert_eq!(accepted, BOUNDS.max_team_len);
    assert!(push(&mut queue, Class::Interactive, 1, 0, now));
}

#[test]
fn work_that_may_not_run_stays_queued() {
    let now = Instant::now();
    let mut queue = Queue::default();
    push(&mut queue, Class::Batch, 0, 0, now);

    let popped = queue.pop(now, &BOUNDS, |class| class == Class::Interactive);

    assert_eq!(popped, None);
    assert_eq!(queue.len(), 1);
}
