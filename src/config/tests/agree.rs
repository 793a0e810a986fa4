//! Property tests: all nodes reach the same state, whatever records the log holds and in whatever order, number or form
//! (records or snapshots) a node receives them.

use super::fixtures::deployment_key;
use super::fixtures::first_record;
use super::fixtures::replay;
use super::fixtures::replay_from;
use super::fixtures::weight_record;
use crate::border::generated::config::PeerRecord;
use crate::config::ObjectKind;
use crate::config::State;
use crate::config::snapshot;
use crate::config::store::Store;
use crate::membership::NodeConfigTable;
use crate::operations::Metrics;
use crate::timeline::Timeline;
use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use std::sync::Arc;

/// Seeds of the property tests; fixed, so that every run checks the same cases.
const SEEDS: std::ops::Range<u64> = 1..33;
/// Size in bytes of the random input for each seed.
const INPUT_BYTES: u64 = 4_096;
/// Teams that the generated changes modify, so that they conflict.
const TEAMS: [&str; 3] = ["falun", "gavle", "sundsvall"];

/// Generates a stream of changes, some with stale bases or duplicate ids, unreadable records and snapshots.
fn records(u: &mut Unstructured<'_>) -> Result<Vec<String>> {
    let mut records = vec![first_record()];
    let mut states = vec![State::default().apply(0, &records[0]).unwrap().0];
    for number in 0..u.int_in_range(1..=16)? {
        let record = match u.int_in_range(0..=9)? {
            0 => "noise".to_owned(),
            1 | 2 => u.choose(&records)?.clone(),
            3 => snapshot::to_record(
                &states[states.len() - 1].snapshot().unwrap(),
                &deployment_key(),
            )
            .unwrap(),
            _ => {
                let name = *u.choose(&TEAMS)?;
                let read = u.int_in_range(0..=states.len() - 1)?;
                let entry = states[read].entry(ObjectKind::Team, name);
                let base = entry.map(|entry| entry.version);
                weight_record(&format!("c{number}"), read as u64, name, number, base)
            }
        };
        let state = &states[states.len() - 1];
        states.push(state.apply(records.len() as u64, &record).unwrap().0);
        records.push(record);
    }
    Ok(records)
}

fn store() -> Store {
    Store::new(
        Arc::new(NodeConfigTable::new("n1")),
        Arc::new(Metrics::new()),
        Arc::new(Timeline::silent()),
    )
}

/// Checks `property` once for each seed.
fn check(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    for seed in SEEDS {
        // The upper half seeds the generator, the lower half is the size of its output.
        arbtest(property).seed(seed << 32 | INPUT_BYTES).run();
    }
}

#[test]
fn a_snapshot_with_the_tail_equals_the_whole_stream() {
    check(|u| {
        let records = records(u)?;
        let (expected, _) = replay(&records);
        let cut = u.int_in_range(1..=records.len())?;
        let (part, _) = replay(&records[..cut]);
        let record = snapshot::to_record(&part.snapshot().unwrap(), &deployment_key()).unwrap();

        let found = snapshot::from_record(&record, &deployment_key()).unwrap();
        let (restored, _) = replay_from(State::from_snapshot(found), &records);

        assert_eq!(restored.hash(), expected.hash());
        assert_eq!(restored.version, expected.version);
        Ok(())
    });
}

#[test]
fn records_that_arrive_twice_or_out_of_order_give_the_same_state() {
    check(|u| {
        let records = records(u)?;
        let (expected, _) = replay(&records);
        let store = store();
        let mut newest = 0;

        while (store.next_offset() as usize) < records.len() {
            // A neighbour may be behind or ahead, and may send records that were applied long ago.
            let from = u
                .int_in_range(0..=store.next_offset() as usize)
                .unwrap_or(store.next_offset() as usize);
            let len = u.int_in_range(1..=4).unwrap_or(4);
            let to = (from + len).min(records.len());
            for (offset, data) in records.iter().enumerate().take(to).skip(from) {
                let (offset, data) = (offset as u64, data.clone());
                store.apply(PeerRecord {
                    offset,
                    time_ms: 0,
                    data,
                });
                assert!(store.next_offset() >= newest, "the version went back");
                newest = store.next_offset();
            }
        }

        assert_eq!(store.state().hash(), expected.hash());
        Ok(())
    });
}

#[test]
fn a_snapshot_with_an_invalid_mac_is_rejected() {
    let (state, _) = replay(&[first_record()]);
    let record = snapshot::to_record(&state.snapshot().unwrap(), &deployment_key()).unwrap();
    let other = "cd".repeat(32).parse().unwrap();

    let forged = record.replace("interactive", "batch");

    assert!(snapshot::from_record(&record, &other).is_none());
    assert!(snapshot::from_record(&forged, &deployment_key()).is_none());
}

#[test]
fn an_older_snapshot_does_not_replace_a_newer_state() {
    let store = store();
    let records = [first_record(), weight_record("a", 0, "falun", 2, Some(0))];
    let old = replay(&records[..1]).0.snapshot().unwrap();
    for (offset, data) in records.iter().enumerate() {
        let (offset, data) = (offset as u64, data.clone());
        store.apply(PeerRecord {
            offset,
            time_ms: 0,
            data,
        });
    }

    store.restore(old);

    assert_eq!(store.state().version, Some(1));
    assert_eq!(store.state().team("falun").unwrap().weight, 2);
}
