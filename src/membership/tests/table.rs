//! Which of two records of a node replaces the other.

use crate::membership::record::NodeStatus;
use crate::membership::record::Record;
use crate::membership::table::ApplyOutcome;
use crate::membership::table::Table;
use std::time::Duration;
use std::time::Instant;

fn record(name: &str, incarnation: u64, sequence: u64, status: NodeStatus) -> Record {
    Record {
        name: name.to_owned(),
        incarnation,
        sequence,
        status,
    }
}

fn status(table: &Table, name: &str) -> NodeStatus {
    table.get(name).unwrap().status
}

#[test]
fn a_record_of_an_old_incarnation_is_ignored() {
    let now = Instant::now();
    let mut table = Table::new("n1", 5);
    table.apply(&record("n2", 8, 1, NodeStatus::Leaving), now);

    let applied = table.apply(&record("n2", 7, 9, NodeStatus::Live), now);

    assert_eq!(applied, ApplyOutcome::OldIncarnation);
    assert_eq!(status(&table, "n2"), NodeStatus::Leaving);
}

#[test]
fn a_suspected_node_that_does_not_refute_is_dead_until_a_new_incarnation() {
    let now = Instant::now();
    let limit = Duration::from_secs(1);
    let mut table = Table::new("n1", 5);
    table.apply(&record("n2", 8, 1, NodeStatus::Live), now);

    assert!(table.suspect("n2", now));
    assert!(!table.suspect("n2", now));
    assert!(table.expire_suspects(limit, now + limit / 2).is_empty());
    assert_eq!(table.expire_suspects(limit, now + limit), ["n2"]);
    assert_eq!(status(&table, "n2"), NodeStatus::Dead);

    table.apply(&record("n2", 9, 1, NodeStatus::Live), now);
    assert_eq!(status(&table, "n2"), NodeStatus::Live);
}

#[test]
fn a_node_refutes_a_suspicion_and_the_refutation_has_precedence() {
    let now = Instant::now();
    let mut own_table = Table::new("n1", 5);
    let mut peer_table = Table::new("n2", 5);
    peer_table.apply(own_table.own_record(), now);
    peer_table.suspect("n1", now);
    let suspicion = peer_table.get("n1").unwrap().clone();

    assert_eq!(own_table.apply(&suspicion, now), ApplyOutcome::Refuted);
    assert_eq!(
        peer_table.apply(own_table.own_record(), now),
        ApplyOutcome::Newer
    );

    assert_eq!(status(&peer_table, "n1"), NodeStatus::Live);
    assert_eq!(
        peer_table.expire_suspects(Duration::ZERO, now),
        Vec::<String>::new()
    );
}

#[test]
fn a_node_whose_clock_went_back_takes_the_next_higher_incarnation() {
    let now = Instant::now();
    let mut table = Table::new("n1", 5);

    let applied = table.apply(&record("n1", 9, 3, NodeStatus::Dead), now);

    assert_eq!(applied, ApplyOutcome::Refuted);
    assert_eq!(table.own_record().incarnation, 10);
    assert_eq!(status(&table, "n1"), NodeStatus::Live);
}

#[test]
fn a_later_process_of_the_same_name_is_reported_and_not_refuted() {
    let now = Instant::now();
    let mut table = Table::new("n1", 5);

    let applied = table.apply(&record("n1", 9, 1, NodeStatus::Live), now);

    assert_eq!(applied, ApplyOutcome::NameTaken);
    assert_eq!(table.own_record().incarnation, 5);
}

/// Tables that apply the same records in any order, any number of times, have the same records and digest in the end.
#[test]
fn records_in_any_order_lead_to_the_same_table() {
    arbtest::arbtest(|u| {
        let now = Instant::now();
        let statuses = [
            NodeStatus::Live,
            NodeStatus::Suspect,
            NodeStatus::Dead,
            NodeStatus::Leaving,
        ];
        let mut records = Vec::new();
        for _ in 0..u.int_in_range(1..=12)? {
            let name = format!("n{}", u.int_in_range(2..=4)?);
            let status = *u.choose(&statuses)?;
            records.push(record(
                &name,
                u.int_in_range(1..=3)?,
                u.int_in_range(1..=3)?,
                status,
            ));
        }
        let mut one = Table::new("n1", 5);
        let mut other = Table::new("n1", 5);
        for record in &records {
            one.apply(record, now);
        }
        for _ in 0..records.len() {
            other.apply(u.choose(&records)?, now);
        }
        for record in records.iter().rev() {
            other.apply(record, now);
        }
        assert_eq!(one.digest(), other.digest());
        assert_eq!(one.changed_since(0), other.changed_since(0));
        Ok(())
    })
    .seed(0x6d65_6d62_0000_0200);
}
