use super::*;

const ANSWER: &str = "abc def ";

fn chunk(text: &str) -> String {
    serde_json::json!({"choices": [{"delta": {"content": text}, "finish_reason": null}]})
        .to_string()
}

fn stop() -> String {
    serde_json::json!({"choices": [{"delta": {}, "finish_reason": "stop"}]}).to_string()
}

fn outcome_of(events: &[String]) -> CallOutcome {
    let mut state = StreamState::default();
    events.iter().for_each(|event| state.apply_event(event));
    check_stream(&state, ANSWER)
}

#[test]
fn streams_are_checked_by_content_and_end() {
    let done = String::from("[DONE]");
    let error = String::from("{\"error\": {\"message\": \"lost\"}}");
    let complete = [chunk("abc "), chunk("def "), stop(), done.clone()];
    let no_stop = [chunk("abc "), chunk("def "), done.clone()];
    let no_done = [chunk("abc "), chunk("def "), stop()];
    let short = [chunk("abc "), stop(), done.clone()];
    let long = [
        chunk("abc "),
        chunk("def "),
        chunk("abc "),
        stop(),
        done.clone(),
    ];
    let other = [chunk("abc "), chunk("xyz "), stop(), done];
    let failed = [chunk("abc "), error.clone()];
    let failed_other = [chunk("xyz "), error];

    assert_eq!(outcome_of(&complete), CallOutcome::Answered);
    assert_eq!(outcome_of(&no_stop), CallOutcome::Incomplete);
    assert_eq!(outcome_of(&no_done), CallOutcome::Incomplete);
    assert_eq!(outcome_of(&short), CallOutcome::Incomplete);
    assert!(matches!(outcome_of(&long), CallOutcome::Wrong { .. }));
    assert!(matches!(outcome_of(&other), CallOutcome::Wrong { .. }));
    assert!(matches!(
        outcome_of(&failed),
        CallOutcome::ErrorEvent { .. }
    ));
    assert!(matches!(
        outcome_of(&failed_other),
        CallOutcome::Wrong { .. }
    ));
}

#[test]
fn events_are_complete_for_any_split_of_the_bytes() {
    let text = format!("data: {}\n\n: comment\n\ndata: [DONE]\n\n", chunk("abc "));
    let mut events = EventParser::default();

    let pieces = text.as_bytes().chunks(3).map(Bytes::copy_from_slice);
    let data: Vec<String> = pieces.flat_map(|piece| events.push(&piece)).collect();

    assert_eq!(data, [chunk("abc "), String::from("[DONE]")]);
}

#[test]
fn non_streaming_answers_and_echoes_are_checked_by_content() {
    let answer = |text: &str| {
        let answer = serde_json::json!({"choices": [{"message": {"content": text}}]});
        Bytes::from(answer.to_string())
    };
    let echo = Bytes::from(serde_json::json!({"echo": "pay"}).to_string());

    assert_eq!(
        check_non_streaming(&answer(ANSWER), ANSWER),
        CallOutcome::Answered
    );
    assert_eq!(
        check_non_streaming(&answer("abc "), ANSWER),
        CallOutcome::Incomplete
    );
    assert!(matches!(
        check_non_streaming(&answer("xyz "), ANSWER),
        CallOutcome::Wrong { .. }
    ));
    assert_eq!(
        check_non_streaming(&Bytes::from("{\"choices\": ["), ANSWER),
        CallOutcome::Incomplete
    );
    assert_eq!(
        check_echo(&echo, &Bytes::from("pay")),
        CallOutcome::Answered
    );
    assert!(matches!(
        check_echo(&echo, &Bytes::from("other")),
        CallOutcome::Wrong { .. }
    ));
}
