use super::DeclarationsError;
use super::Problem;
use super::parse;
use crate::border::generated::config::Object;
use crate::config::OperatorKey;

fn operator() -> String {
    let key = OperatorKey::from_seed([3; 32]);
    format!("[operator ola]\npublic_key = {}\n", key.public())
}

fn problems(text: &str) -> Vec<Problem> {
    let files = [
        ("operators.ini".to_owned(), operator()),
        ("a.ini".to_owned(), text.to_owned()),
    ];
    match parse(&files) {
        Err(DeclarationsError::Invalid { problems }) => problems,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_objects_of_several_files_are_returned() {
    let hash = "0a".repeat(32);
    let files = [
        ("operators.ini".to_owned(), operator()),
        (
            "b.ini".to_owned(),
            format!("[team helpdesk]\nkey_hashes = {hash}\nexcluded_data_centres = gavle, falun\n"),
        ),
        (
            "c.ini".to_owned(),
            "[service register]\nkind = plain\nnon_idempotent = POST /codes, PUT /codes/*\n"
                .to_owned(),
        ),
    ];

    let objects = parse(&files).unwrap();

    assert_eq!(objects.len(), 3);
    let Object::Service { service } = &objects[1] else {
        panic!("{objects:?}");
    };
    assert_eq!(service.non_idempotent[1].path, "/codes/*");
    let Object::Team { team } = &objects[2] else {
        panic!("{objects:?}");
    };
    assert_eq!(team.excluded_data_centres, ["gavle", "falun"]);
}

#[test]
fn each_problem_has_file_line_key_and_accepted_values_but_not_the_rejected_value() {
    let text =
        "[team helpdesk]\nkey_hashes = s3cret\nweight = 0\ncolour = s3cret\n\n[region north]\n";

    let problems = problems(text);

    let lines: Vec<(usize, Option<&str>)> = problems
        .iter()
        .map(|problem| (problem.line, problem.key.as_deref()))
        .collect();
    let expected = [
        (2, Some("key_hashes")),
        (3, Some("weight")),
        (4, Some("colour")),
        (6, None),
    ];
    assert_eq!(lines, expected);
    for problem in problems {
        let text = problem.to_string();
        assert!(text.starts_with("a.ini:") && text.contains("; accepted: "));
        assert!(!text.contains("s3cret"), "{text}");
    }
}

#[test]
fn references_to_undeclared_models_and_adapters_are_reported() {
    let text = "[model assistant]\nversion = 3\nadapters = codes\n\n[backend e1]\nmodels = assistant, other\nadapters = assistant/reviews\n";

    let problems = problems(text);

    let found: Vec<&str> = problems
        .iter()
        .map(|problem| problem.found.as_str())
        .collect();
    let expected = [
        "model other is not declared",
        "adapter assistant/reviews is not declared",
    ];
    assert_eq!(found, expected);
    assert_eq!([problems[0].line, problems[1].line], [6, 7]);
}

#[test]
fn the_same_object_in_two_files_is_refused() {
    let files = [
        ("a.ini".to_owned(), operator()),
        ("b.ini".to_owned(), operator()),
    ];

    let refused = parse(&files).unwrap_err().to_string();

    assert!(
        refused.contains("b.ini:1: [operator ola]: declared twice"),
        "{refused}"
    );
}

#[test]
fn declarations_without_an_operator_are_refused() {
    let refused = parse(&[]).unwrap_err().to_string();

    assert!(refused.contains("no operator is declared"));
}
