use crate::owner::queue::Bounds;
use crate::owner::queue::Class;
use crate::owner::slots::Admission;
use crate::owner::slots::Limits;
use crate::owner::slots::Occupied;
use crate::owner::slots::Slot;
use crate::owner::slots::Slots;
use crate::owner::slots::Waiting;
use std::sync::Arc;
use std::time::Duration;

const LIMITS: Limits = Limits { total: 3, batch: 1 };

fn slot(reported: u32) -> Arc<Slot> {
    let bounds = Bounds {
        length: 64,
        team_length: 64,
        ageing: Duration::from_secs(2),
    };
    Slots::new(bounds).slot("e1", || reported)
}

fn admit(slot: &Arc<Slot>, class: Class) -> Result<Occupied, Waiting> {
    match slot.admit(class, "team", 1, LIMITS).unwrap() {
        Admission::Admitted(occupied) => Ok(occupied),
        Admission::Queued(waiting) => Err(waiting),
    }
}

#[test]
fn the_limit_holds_whatever_the_order_of_starts_ends_and_giving_up() {
    arbtest::arbtest(|u| {
        let slot = slot(0);
        let mut running: Vec<Occupied> = Vec::new();
        let mut waiting: Vec<Waiting> = Vec::new();
        for _ in 0..u.int_in_range(1..=200)? {
            match u.int_in_range(0..=3)? {
                0 | 1 => {
                    let is_batch: bool = u.arbitrary()?;
                    let class = if is_batch {
                        Class::Batch
                    } else {
                        Class::Interactive
                    };
                    match admit(&slot, class) {
                        Ok(occupied) => running.push(occupied),
                        Err(queued) => waiting.push(queued),
                    }
                }
                2 if !running.is_empty() => drop(running.swap_remove(0)),
                3 if !waiting.is_empty() => drop(waiting.swap_remove(0)),
                _ => {}
            }
            // A request that has been granted its place but not yet taken it is in flight too.
            assert!(slot.load() <= LIMITS.total, "{}", slot.load());
        }
        drop(running);
        let mut granted = 1;
        while granted > 0 {
            let before = waiting.len();
            waiting.retain_mut(|queued| queued.try_recv().is_err());
            granted = before - waiting.len();
        }
        assert!(waiting.is_empty(), "{} wait for ever", waiting.len());
        assert_eq!(slot.load(), 0);
        Ok(())
    })
    .seed(0x5eed_0003_0000_1000);
}

#[test]
fn a_place_that_nobody_waits_for_any_more_goes_to_the_next() {
    let slot = slot(0);
    let mut running: Vec<Occupied> = (0..3)
        .map(|_| admit(&slot, Class::Interactive).unwrap())
        .collect();
    let gone = admit(&slot, Class::Interactive).unwrap_err();
    let mut next = admit(&slot, Class::Interactive).unwrap_err();

    drop(gone);
    running.pop();

    assert!(next.try_recv().is_ok());
}

#[test]
fn batch_work_leaves_places_to_interactive_work() {
    let slot = slot(0);

    let _batch = admit(&slot, Class::Batch).unwrap();

    assert!(admit(&slot, Class::Batch).is_err());
}

#[test]
fn interactive_work_does_not_wait_behind_batch_work_that_has_no_place() {
    let slot = slot(0);
    let _batch = admit(&slot, Class::Batch).unwrap();
    let _waits = admit(&slot, Class::Batch).unwrap_err();

    let mut interactive = admit(&slot, Class::Interactive).unwrap_err();

    assert!(interactive.try_recv().is_ok());
}

#[test]
fn a_backend_server_is_taken_over_at_its_reported_load() {
    let slot = slot(3);

    let first = admit(&slot, Class::Interactive);
    slot.report(1, Duration::ZERO);
    slot.pump(LIMITS);

    assert!(first.is_err_and(|mut queued| queued.try_recv().is_ok()));
}

#[test]
fn own_requests_are_not_counted_twice_by_a_report() {
    let slot = slot(0);
    let _running = [
        admit(&slot, Class::Interactive).unwrap(),
        admit(&slot, Class::Interactive).unwrap(),
    ];

    slot.report(2, Duration::ZERO);

    assert_eq!(slot.load(), 2);
}
