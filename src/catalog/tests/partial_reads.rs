//! Reads of the server list that ended early: what they lack is neither removed nor proved to be absent.

use super::*;

#[test]
fn a_partial_read_removes_what_it_lacks() {
    let catalog = new_catalog();
    let now = BootInstant::now();
    let both = vec![report("a", 1, false, 1), report("b", 1, false, 1)];
    apply_whole(&catalog, both, now.before(Duration::from_secs(60)));

    let records = vec![report("a", 2, true, 1), report("c", 1, false, 1)];
    apply_read(&catalog, ServerRead::Partial(records), now);

    assert_eq!(usable(&catalog), ["b", "c"]);
    assert!(catalog.has_read_list_since(now));
}

// A peer would remove the servers that the list lacks.
#[test]
fn a_partial_list_is_told_to_peers() {
    let catalog = new_catalog();
    let start = BootInstant::now();
    let at = |times: u32| start.plus(MAX_LIST_GAP * times);
    let is_told = || catalog.list_snapshot().read_at.is_some();
    apply_read(&catalog, ServerRead::Partial(Vec::new()), start);
    assert!(!is_told());

    apply_changes(&catalog, vec![report("a", 1, false, 1)], at(1));
    assert!(!is_told());
    // All servers that live have reported by now.
    apply_changes(&catalog, Vec::new(), at(2));
    assert!(is_told());

    apply_read(&catalog, ServerRead::Partial(Vec::new()), at(3));
    apply_whole(&catalog, vec![report("a", 1, false, 1)], at(3));
    assert!(is_told());
}

#[test]
fn a_partial_read_proves_that_servers_have_only_one_version() {
    let catalog = new_catalog();
    let start = BootInstant::now();
    let later = start.plus(MAX_LIST_GAP * 2);
    let v1 = || report_of_version("a", 1, "v1");
    apply_whole(&catalog, vec![v1()], start.before(MAX_LIST_GAP));

    apply_read(&catalog, ServerRead::Partial(vec![v1()]), start);

    assert_eq!(only_version(&catalog, "app", start), None);
    assert_eq!(only_version(&catalog, "app", later).as_deref(), Some("v1"));
}
