//! Tests of what is read of an engine's answers.

use super::decode_state;

// An odd model hid the state of its engine, which got no orders any more.
#[test]
fn an_odd_model_costs_the_state_of_its_engine() {
    for odd in [
        "null",
        "7",
        r#"{"model":"m"}"#,
        r#"{"model":1,"version":"v1"}"#,
    ] {
        let body = format!(
            r#"{{"fencing":3,"loading":false,"role":"mixed","models":[{odd},
            {{"model":"a","version":"v1"}},{odd},{{"model":"b","version":"v2"}}]}}"#
        );

        let state = decode_state(body.as_bytes()).unwrap();

        let models: Vec<&str> = state.models.iter().map(|it| it.model.as_str()).collect();
        assert_eq!(models, ["a", "b"], "{odd}");
    }
    assert!(decode_state(br#"{"fencing":3,"loading":false,"role":"mixed","models":7}"#).is_err());
}
