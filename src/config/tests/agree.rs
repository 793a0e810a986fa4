//! Whatever is in the log, and however it reaches a node, all nodes end in the same state.

use super::fixtures::deployment_key;
use super::fixtures::first;
use super::fixtures::replay;
use super::fixtures::replay_from;
use super::fixtures::weight;
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

/// Fixed seeds of the properties.
const SEEDS: std::ops::Range<u64> = 1..33;
/// Bytes of random input of each seed.
const INPUT_BYTES: u64 = 4_096;
/// Teams that the changes race for.
const TEAMS: [&str; 3] = ["falun", "gavle", "sundsvall"];

/// Makes records with stale bases, duplicates, noise and snapshots in any order.
fn records(u: &mut Unstructured<'_>) -> Result<Vec<String>> {
    let mut records = vec![first()];
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
                weight(&format!("c{number}"), read as u64, name, number, base)
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

/// Checks `property` once for each seed, so that every run checks the same.
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
        let (whole, _) = replay(&records);
        let cut = u.int_in_range(1..=records.len())?;
        let (part, _) = replay(&records[..cut]);
        let record = snapshot::to_record(&part.snapshot().unwrap(), &deployment_key()).unwrap();

        let found = snapshot::from_record(&record, &deployment_key()).unwrap();
        let (again, _) = replay_from(State::from_snapshot(found), &records);

        assert_eq!(again.hash(), whole.hash());
        assert_eq!(again.version, whole.version);
        Ok(())
    });
}

#[test]
fn records_that_arrive_twice_or_out_of_order_give_the_same_state() {
    check(|u| {
        let records = records(u)?;
        let (whole, _) = replay(&records);
        let store = store();
        let mut newest = 0;

        while (store.next() as usize) < records.len() {
            // A neighbour may be behind or ahead, and may answer with what is long in force.
            let from = u
                .int_in_range(0..=store.next() as usize)
                .unwrap_or(store.next() as usize);
            let len = u.int_in_range(1..=4).unwrap_or(4);
            let to = (from + len).min(records.len());
            for (offset, data) in records.iter().enumerate().take(to).skip(from) {
                let (offset, data) = (offset as u64, data.clone());
                store.apply(PeerRecord {
                    offset,
                    time_ms: 0,
                    data,
                });
                assert!(store.next() >= newest, "the version went back");
                newest = store.next();
            }
        }

        assert_eq!(store.state().hash(), whole.hash());
        Ok(())
    });
}

#[test]
fn a_snapshot_that_no_node_wrote_is_not_taken() {
    let (state, _) = replay(&[first()]);
    let record = snapshot::to_record(&state.snapshot().unwrap(), &deployment_key()).unwrap();
    let other = "cd".repeat(32).parse().unwrap();

    let forged = record.replace("interactive", "batch");

    assert!(snapshot::from_record(&record, &other).is_none());
    assert!(snapshot::from_record(&forged, &deployment_key()).is_none());
}

#[test]
fn an_older_snapshot_takes_nothing_back() {
    let store = store();
    let records = [first(), weight("a", 0, "falun", 2, Some(0))];
    let old = replay(&records[..1]).0.snapshot().unwrap();
    for (offset, data) in records.iter().enumerate() {
        let (offset, data) = (offset as u64, data.clone());
        store.apply(PeerRecord {
            offset,
            time_ms: 0,
            data,
        });
    }

    store.adopt(old);

    assert_eq!(store.state().version, Some(1));
    assert_eq!(store.state().team("falun").unwrap().weight, 2);
}
