use crate::owner::spill::SpillTable;

#[test]
fn the_two_latest_backend_servers_of_a_chat_are_remembered() {
    let table = SpillTable::new(1 << 12);

    for backend in ["e1", "e2", "e3", "e3"] {
        table.note("chat", backend);
    }

    let last_on = table.last_on("chat").unwrap();
    assert!(last_on.is_newest("e3"));
    assert!(last_on.contains("e2"));
    assert!(!last_on.contains("e1"));
    assert!(table.last_on("other").is_none());
}

#[test]
fn a_full_table_keeps_the_chats_used_last() {
    let table = SpillTable::new(1 << 10);

    for i in 0..10_000 {
        table.note(&format!("chat-{i}"), "e1");
    }

    let kept = (0..10_000).filter(|i| table.last_on(&format!("chat-{i}")).is_some());
    assert!(kept.count() <= 32);
    assert!(table.last_on("chat-9999").is_some());
}
