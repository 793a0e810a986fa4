use crate::owner::spill::SpillTable;

#[test]
fn the_two_most_recent_backend_servers_of_a_chat_are_kept() {
    let table = SpillTable::new(1 << 12);

    for backend in ["e1", "e2", "e3", "e3"] {
        table.record("chat", backend);
    }

    let recent_backends = table.recent_backends("chat").unwrap();
    assert!(recent_backends.is_newest("e3"));
    assert!(recent_backends.contains("e2"));
    assert!(!recent_backends.contains("e1"));
    assert!(table.recent_backends("other").is_none());
}

#[test]
fn a_full_table_keeps_the_most_recently_used_chats() {
    let table = SpillTable::new(1 << 10);

    for i in 0..10_000 {
        table.record(&format!("chat-{i}"), "e1");
    }

    let kept = (0..10_000).filter(|i| table.recent_backends(&format!("chat-{i}")).is_some());
    assert!(kept.count() <= 32);
    assert!(table.recent_backends("chat-9999").is_some());
}
