use super::explain::parse_parts;
use super::plan::difference;
use super::plan_file::ChangeDraft;
use crate::border::generated::config::Entry;
use crate::border::generated::config::Model;
use crate::border::generated::config::Object;
use crate::border::generated::config::Snapshot;
use crate::config::RefusalReason;
use crate::config::State;
use crate::config::name_of;

fn model(name: &str, version: &str) -> Object {
    Object::Model {
        model: Model {
            name: name.to_owned(),
            version: version.to_owned(),
            adapters: Vec::new(),
        },
    }
}

/// Returns a state in which each model has the given version.
fn in_force(models: Vec<(Object, u64)>) -> State {
    let entry = |(object, version)| Entry {
        version,
        change: format!("c{version}"),
        operator: "gerd".to_owned(),
        object,
    };
    State::from_snapshot(Snapshot {
        at: 20,
        entries: models.into_iter().map(entry).collect(),
        seen: Vec::new(),
    })
}

fn draft(object: Object) -> ChangeDraft {
    ChangeDraft {
        operator: "ola".to_owned(),
        note: String::new(),
        put: vec![object],
        delete: Vec::new(),
    }
}

#[test]
fn a_plan_from_declarations_contains_only_the_differences() {
    let state = in_force(vec![
        (model("a", "1"), 3),
        (model("b", "1"), 4),
        (model("c", "1"), 5),
    ]);
    let declared = vec![model("a", "1"), model("b", "2"), model("d", "1")];

    let draft = difference(&state, declared, "ola");

    let put: Vec<&str> = draft.put.iter().map(name_of).collect();
    let deleted: Vec<&str> = draft
        .delete
        .iter()
        .map(|object| object.name.as_str())
        .collect();
    assert_eq!(put, ["b", "d"]);
    assert_eq!(deleted, ["c"]);
}

#[test]
fn a_plan_becomes_stale_when_its_object_is_changed_and_the_error_names_the_operator() {
    let planned_on = in_force(vec![(model("a", "1"), 3)]);
    let change = draft(model("a", "2")).into_change(&planned_on);
    let now = in_force(vec![(model("a", "7"), 9)]);

    let refused = now.preview(&change).unwrap_err();

    assert!(matches!(refused, RefusalReason::Stale(_)));
    let text = refused.to_string();
    assert_eq!(text, "model a was changed at version 9 by operator gerd");
}

#[test]
fn a_plan_stays_valid_after_changes_of_other_objects() {
    let planned_on = in_force(vec![(model("a", "1"), 3)]);
    let change = draft(model("a", "2")).into_change(&planned_on);
    let now = in_force(vec![(model("a", "1"), 3), (model("b", "1"), 9)]);

    let after = now.preview(&change).unwrap();

    assert_eq!(after.model("a").unwrap().version, "2");
}

/// Guards against parts that are dropped or taken for others than the operator named.
#[test]
fn parts_of_a_prompt_to_explain_are_read_or_refused() {
    let read = parse_parts("5c1e07a2:800, 91bd3f06:250").unwrap();
    let expected = [("5c1e07a2", 800), ("91bd3f06", 250)];
    let refused = ["", "5c1e07a2", "5c1e07a2:many", "5c1e07a2:800,"];

    let found: Vec<(&str, u32)> = read
        .iter()
        .map(|part| (part.id.as_str(), part.tokens))
        .collect();

    assert_eq!(found, expected);
    for list in refused {
        assert!(parse_parts(list).is_err(), "{list}");
    }
}
