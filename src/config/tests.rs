use super::ApplyError;
use super::State;
use super::state::hex;
use sha2::Digest;
use sha2::Sha256;

fn team_record(name: &str, key: &str) -> String {
    let hash = hex(&Sha256::digest(key.as_bytes()));
    format!(
        r#"{{"kind":"change","v":1,"id":"{name}","operator":"t","put":[{{"kind":"team","team":{{"name":"{name}","key_hashes":["{hash}"]}}}}]}}"#
    )
}

#[test]
fn a_key_finds_its_team_alone() {
    let state = State::default()
        .apply(0, &team_record("falun", "k1"))
        .and_then(|state| state.apply(1, &team_record("gavle", "k2")))
        .unwrap();

    let team = state.team_of_key("k2").map(|team| team.name.as_str());

    assert_eq!(team, Some("gavle"));
    assert!(state.team_of_key("k3").is_none());
    assert_eq!(state.version, Some(1));
}

#[test]
fn an_unreadable_record_changes_nothing() {
    let state = State::default()
        .apply(0, &team_record("falun", "k1"))
        .unwrap();

    let refused = state.apply(1, "{\"kind\":\"chan");

    assert!(matches!(refused, Err(ApplyError::Unreadable(_))));
    assert_eq!(state.version, Some(0));
}
