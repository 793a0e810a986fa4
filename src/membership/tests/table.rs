//! How records replace each other.

use crate::membership::record::Record;
use crate::membership::record::Standing;
use crate::membership::table::Applied;
use crate::membership::table::Table;
use std::time::Duration;
use std::time::Instant;

fn record(name: &str, incarnation: u64, sequence: u64, standing: Standing) -> Record {
    Record {
        name: name.to_owned(),
        incarnation,
        sequence,
        standing,
    }
}

fn standing(table: &Table, name: &str) -> Standing {
    table.get(name).unwrap().standing
}

#[test]
fn an_old_incarnation_changes_nothing() {
    let now = Instant::now();
    let mut table = Table::new("n1", 5);
    table.apply(&record("n2", 8, 1, Standing::Leaving), now);

    let applied = table.apply(&record("n2", 7, 9, Standing::Live), now);

    assert_eq!(applied, Applied::OldIncarnation);
    assert_eq!(standing(&table, "n2"), Standing::Leaving);
}

#[test]
fn a_suspected_node_that_does_not_answer_is_dead_and_comes_back_by_a_new_incarnation() {
    let now = Instant::now();
    let limit = Duration::from_secs(1);
    let mut table = Table::new("n1", 5);
    table.apply(&record("n2", 8, 1, Standing::Live), now);

    assert!(table.suspect("n2", now));
    assert!(!table.suspect("n2", now));
    assert!(table.expire(limit, now + limit / 2).is_empty());
    assert_eq!(table.expire(limit, now + limit), ["n2"]);
    assert_eq!(standing(&table, "n2"), Standing::Dead);

    table.apply(&record("n2", 9, 1, Standing::Live), now);
    assert_eq!(standing(&table, "n2"), Standing::Live);
}

#[test]
fn a_suspicion_of_this_node_is_answered_and_the_answer_wins_elsewhere() {
    let now = Instant::now();
    let mut mine = Table::new("n1", 5);
    let mut theirs = Table::new("n2", 5);
    theirs.apply(mine.me(), now);
    theirs.suspect("n1", now);
    let suspicion = theirs.get("n1").unwrap().clone();

    assert_eq!(mine.apply(&suspicion, now), Applied::Refuted);
    assert_eq!(theirs.apply(mine.me(), now), Applied::Newer);

    assert_eq!(standing(&theirs, "n1"), Standing::Live);
    assert_eq!(theirs.expire(Duration::ZERO, now), Vec::<String>::new());
}

#[test]
fn a_node_whose_clock_went_back_goes_on_after_its_former_self() {
    let now = Instant::now();
    let mut table = Table::new("n1", 5);

    let applied = table.apply(&record("n1", 9, 3, Standing::Dead), now);

    assert_eq!(applied, Applied::Refuted);
    assert_eq!(table.me().incarnation, 10);
    assert_eq!(standing(&table, "n1"), Standing::Live);
}

#[test]
fn a_later_process_of_the_same_name_is_noticed_and_not_fought() {
    let now = Instant::now();
    let mut table = Table::new("n1", 5);

    let applied = table.apply(&record("n1", 9, 1, Standing::Live), now);

    assert_eq!(applied, Applied::NameTaken);
    assert_eq!(table.me().incarnation, 5);
}

/// Tables that hear the same records in any order, any number of times, end up with the same digest.
#[test]
fn records_in_any_order_lead_to_the_same_table() {
    arbtest::arbtest(|u| {
        let now = Instant::now();
        let standings = [
            Standing::Live,
            Standing::Suspect,
            Standing::Dead,
            Standing::Leaving,
        ];
        let mut records = Vec::new();
        for _ in 0..u.int_in_range(1..=12)? {
            let name = format!("n{}", u.int_in_range(2..=4)?);
            let standing = *u.choose(&standings)?;
            records.push(record(
                &name,
                u.int_in_range(1..=3)?,
                u.int_in_range(1..=3)?,
                standing,
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
        assert_eq!(one.after(0), other.after(0));
        Ok(())
    })
    .seed(0x6d65_6d62_0000_0200);
}
