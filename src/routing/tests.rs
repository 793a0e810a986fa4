use super::Loads;
use super::PolicyInput;
use super::PolicyName;
use super::rendezvous;
use crate::membership::Backend;

fn backend(name: &str) -> Backend {
    Backend {
        name: name.to_owned(),
        service: "assistant".to_owned(),
        data_centre: "gavle".to_owned(),
        region: "north".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        is_engine: true,
        leaving: false,
        checks_fencing: false,
    }
}

fn backends(count: usize) -> Vec<Backend> {
    (0..count).map(|i| backend(&format!("e{i}"))).collect()
}

fn choose(policy: PolicyName, key: &str, candidates: &[&Backend], hint: Option<&str>) -> String {
    let loads = Loads::default();
    loads.record("e0", 5);
    loads.record("e1", 1);
    loads.record("e2", 3);
    let input = PolicyInput {
        key,
        candidates,
        loads: &loads,
        hint,
        owner_proposal: None,
    };
    policy.build().choose(&input).unwrap().name.clone()
}

#[test]
fn only_the_keys_of_a_removed_member_move() {
    let all = backends(10);
    let all: Vec<&Backend> = all.iter().collect();
    let fewer = &all[..9];

    for i in 0..500 {
        let key = format!("chat-{i}");
        let before = choose(PolicyName::Hash, &key, &all, None);
        let after = choose(PolicyName::Hash, &key, fewer, None);

        assert!(before == "e9" || before == after, "{key} moved");
    }
}

#[test]
fn scores_are_deterministic_and_separate_key_from_member() {
    let score = rendezvous::score("chat", "e1");

    assert_eq!(score, rendezvous::score("chat", "e1"));
    assert_ne!(rendezvous::score("ab", "c"), rendezvous::score("a", "bc"));
}

#[test]
fn a_hint_is_followed_only_if_it_names_a_candidate() {
    let all = backends(3);
    let all: Vec<&Backend> = all.iter().collect();

    let hinted = choose(PolicyName::Owner, "chat", &all, Some("e2"));
    let unknown = choose(PolicyName::Owner, "chat", &all, Some("gone"));

    assert_eq!(hinted, "e2");
    assert_eq!(unknown, choose(PolicyName::Hash, "chat", &all, None));
}

#[test]
fn the_least_loaded_backend_is_chosen() {
    let all = backends(3);
    let all: Vec<&Backend> = all.iter().collect();

    assert_eq!(choose(PolicyName::LeastLoaded, "chat", &all, None), "e1");
}
