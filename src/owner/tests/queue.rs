use crate::owner::queue::AGED_TURN;
use crate::owner::queue::Bounds;
use crate::owner::queue::Class;
use crate::owner::queue::Queue;
use std::time::Duration;
use std::time::Instant;

const BOUNDS: Bounds = Bounds {
    length: 200,
    team_length: 100,
    ageing: Duration::from_secs(2),
};

/// What waits: its class, its team and its place within the team.
type Item = (Class, usize, usize);

fn any(_: Class) -> bool {
    true
}

fn push(queue: &mut Queue<Item>, class: Class, team: usize, place: usize, now: Instant) -> bool {
    let name = format!("team-{team}");
    let item = (class, team, place);
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
            for place in 0..count {
                assert!(push(&mut queue, Class::Interactive, team, place, now));
            }
        }

        let mut served = vec![0; teams];
        while let Some((_, team, place)) = queue.pop(now, &BOUNDS, any) {
            assert_eq!(place, served[team], "order within a team");
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
fn aged_batch_work_passes_a_steady_stream_of_interactive_work() {
    let begin = Instant::now();
    let later = begin + BOUNDS.ageing;
    let mut queue = Queue::default();
    push(&mut queue, Class::Batch, 0, 0, begin);
    for place in 0..40 {
        push(&mut queue, Class::Interactive, 1, place, begin);
    }

    let young: Vec<Class> = (0..AGED_TURN * 2)
        .filter_map(|_| queue.pop(begin, &BOUNDS, any))
        .map(|item| item.0)
        .collect();
    let aged: Vec<Class> = (0..AGED_TURN)
        .filter_map(|_| queue.pop(later, &BOUNDS, any))
        .map(|item| item.0)
        .collect();

    assert!(!young.contains(&Class::Batch));
    assert!(aged.contains(&Class::Batch));
}

#[test]
fn a_team_fills_its_own_share_of_the_queue_only() {
    let now = Instant::now();
    let mut queue = Queue::default();

    let taken = (0..150)
        .filter(|&place| push(&mut queue, Class::Interactive, 0, place, now))
        .count();

    assert_eq!(taken, BOUNDS.team_length);
    assert!(push(&mut queue, Class::Interactive, 1, 0, now));
}

#[test]
fn work_that_may_not_run_stays() {
    let now = Instant::now();
    let mut queue = Queue::default();
    push(&mut queue, Class::Batch, 0, 0, now);

    let held = queue.pop(now, &BOUNDS, |class| class == Class::Interactive);

    assert_eq!(held, None);
    assert_eq!(queue.len(), 1);
}
