use super::fixtures::change;
use super::fixtures::first_record;
use super::fixtures::key;
use super::fixtures::operator;
use super::fixtures::replay;
use super::fixtures::signed_record;
use super::fixtures::team;
use super::fixtures::weight_record;
use crate::border::generated::config::Base;
use crate::border::generated::config::ObjectRef;
use crate::config::ObjectKind;
use crate::config::OperatorKey;
use crate::config::RefusalReason;
use crate::config::State;
use crate::config::UnsupportedRecord;
use crate::config::Verdict;
use crate::config::apply::CHANGE_WINDOW_RECORDS;

#[test]
fn a_key_matches_only_its_team() {
    let records = [first_record(), weight_record("b", 0, "gavle", 1, None)];

    let (state, _) = replay(&records);

    let team = state.team_of_key("gavle").map(|team| team.name.as_str());
    assert_eq!(team, Some("gavle"));
    assert!(state.team_of_key("sundsvall").is_none());
}

#[test]
fn of_two_changes_on_the_same_base_the_first_wins() {
    let records = [
        first_record(),
        weight_record("a", 0, "falun", 2, Some(0)),
        weight_record("b", 0, "falun", 3, Some(0)),
    ];

    let (state, verdicts) = replay(&records);

    assert_eq!(state.team("falun").unwrap().weight, 2);
    let Verdict::Refused(RefusalReason::Stale(stale)) = &verdicts[2] else {
        panic!("{verdicts:?}");
    };
    assert_eq!(stale.current_version, Some(1));
    assert_eq!(stale.changed_by.as_deref(), Some("op"));
}

#[test]
fn an_unreadable_record_changes_nothing_but_the_version() {
    let valid = weight_record("a", 0, "falun", 2, Some(0));
    for unreadable in ["", "{\"kind\":\"chan", "[]", "{\"v\":1}", &valid[..40]] {
        let records = [first_record(), unreadable.to_owned(), valid.clone()];

        let (state, verdicts) = replay(&records);

        let is_refused = matches!(verdicts[1], Verdict::Refused(RefusalReason::Unreadable(_)));
        assert!(is_refused, "{unreadable}: {verdicts:?}");
        assert_eq!(verdicts[2], Verdict::Accepted);
        assert_eq!(state.version, Some(2));
    }
}

#[test]
fn a_repeated_change_takes_effect_once_even_after_a_delete() {
    let create = weight_record("a", 0, "gavle", 1, None);
    let mut delete = change("b", Some(1), Vec::new());
    let gavle = ("team".to_owned(), "gavle".to_owned());
    delete.bases.push(Base {
        kind: gavle.0.clone(),
        name: gavle.1.clone(),
        version: Some(1),
    });
    delete.delete.push(ObjectRef {
        kind: gavle.0,
        name: gavle.1,
    });
    let records = [
        first_record(),
        create.clone(),
        signed_record(&delete, &key()),
        create,
    ];

    let (state, verdicts) = replay(&records);

    assert_eq!(verdicts[3], Verdict::Refused(RefusalReason::Duplicate));
    assert!(state.team("gavle").is_none());
}

#[test]
fn a_change_appended_after_the_window_is_refused_because_its_id_is_no_longer_remembered() {
    let mut records = vec![first_record()];
    records.extend((0..CHANGE_WINDOW_RECORDS).map(|_| String::from("noise")));
    let in_time = weight_record("a", 0, "falun", 2, Some(0));
    let late = weight_record("b", 0, "gavle", 2, None);
    records.extend([in_time, late]);

    let (_, verdicts) = replay(&records);

    let last = verdicts.len() - 1;
    assert_eq!(verdicts[last - 1], Verdict::Accepted);
    assert_eq!(verdicts[last], Verdict::Refused(RefusalReason::Expired));
}

#[test]
fn only_a_declared_operator_can_change_the_configuration() {
    let undeclared = OperatorKey::from_seed([8; 32]);
    let wanted = change("a", Some(0), vec![(team("falun", 2), Some(0))]);
    let mut other_name = wanted.clone();
    other_name.operator = "nobody".to_owned();
    let mut altered = signed_record(&wanted, &key());
    altered = altered.replace("falun", "gavle");
    let unsigned = signed_record(&wanted, &key()).replace("signature", "no_signature");
    let forged = [
        signed_record(&wanted, &undeclared),
        signed_record(&other_name, &key()),
        altered,
        unsigned,
    ];

    for record in forged {
        let (state, verdicts) = replay(&[first_record(), record]);

        assert_eq!(verdicts[1], Verdict::Refused(RefusalReason::NotAuthentic));
        assert_eq!(state.team("falun").unwrap().weight, 1);
    }
}

#[test]
fn the_last_operator_cannot_be_deleted() {
    let mut delete = change("a", Some(0), Vec::new());
    let base = change("", None, vec![(operator(), Some(0))]).bases;
    delete.bases = base;
    delete.delete.push(ObjectRef {
        kind: "operator".to_owned(),
        name: "op".to_owned(),
    });

    let (state, verdicts) = replay(&[first_record(), signed_record(&delete, &key())]);

    assert!(matches!(
        verdicts[1],
        Verdict::Refused(RefusalReason::Invalid(_))
    ));
    assert!(state.entry(ObjectKind::Operator, "op").is_some());
}

#[test]
fn unsupported_records_of_a_newer_program_are_errors() {
    let (state, _) = replay(&[first_record()]);
    let newer = first_record().replace("\"v\":1", "\"v\":2");
    let unknown = "{\"kind\":\"quota\",\"v\":1}";
    let body = change("a", Some(0), vec![(team("falun", 2), Some(0))]);
    let mut body = serde_json::to_value(&body).unwrap();
    body["put"][0]["kind"] = "region".into();
    let body = body.to_string();
    let object = serde_json::json!({
        "kind": "change", "v": 1, "body": body, "signature": key().sign(&body),
    });

    let errors = [
        state.apply(1, &newer).unwrap_err(),
        state.apply(1, unknown).unwrap_err(),
        state.apply(1, &object.to_string()).unwrap_err(),
    ];

    assert_eq!(errors[0], UnsupportedRecord::NewerVersion(2));
    assert_eq!(
        errors[1],
        UnsupportedRecord::UnknownKind("quota".to_owned())
    );
    assert_eq!(
        errors[2],
        UnsupportedRecord::UnknownKind("region".to_owned())
    );
}

#[test]
fn a_change_without_a_base_version_for_its_object_is_refused() {
    let mut without_base = change("a", Some(0), vec![(team("falun", 2), Some(0))]);
    without_base.bases.clear();

    let (_, verdicts) = replay(&[first_record(), signed_record(&without_base, &key())]);

    assert!(matches!(
        verdicts[1],
        Verdict::Refused(RefusalReason::Invalid(_))
    ));
    assert_eq!(State::default().next_offset(), 0);
}
