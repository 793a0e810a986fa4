use super::*;

const ANSWER: &str = "abc def ";

fn chunk(text: &str) -> String {
    serde_json::json!({"choices": [{"delta": {"content": text}, "finish_reason": null}]})
        .to_string()
}

fn stop() -> String {
    serde_json::json!({"choices": [{"delta": {}, "finish_reason": "stop"}]}).to_string()
}

fn judge(events: &[String]) -> CallOutcome {
    let mut state = StreamState::default();
    events.iter().for_each(|event| state.take_in(event));
    judge_stream(&state, ANSWER)
}

#[test]
fn streams_are_judged_by_content_and_end() {
    let done = String::from("[DONE]");
    let error = String::from("{\"error\": {\"message\": \"lost\"}}");
    let whole = [chunk("abc "), chunk("def "), stop(), done.clone()];
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

    assert_eq!(judge(&whole), CallOutcome::Answered);
    assert_eq!(judge(&no_stop), CallOutcome::Incomplete);
    assert_eq!(judge(&no_done), CallOutcome::Incomplete);
    assert_eq!(judge(&short), CallOutcome::Incomplete);
    assert!(matches!(judge(&long), CallOutcome::Wrong { .. }));
    assert!(matches!(judge(&other), CallOutcome::Wrong { .. }));
    assert!(matches!(judge(&failed), CallOutcome::ErrorEvent { .. }));
    assert!(matches!(judge(&failed_other), CallOutcome::Wrong { .. }));
}

#[test]
fn events_are_whole_however_the_bytes_come() {
    let text = format!("data: {}\n\n: comment\n\ndata: [DONE]\n\n", chunk("abc "));
    let mut events = Events::default();

    let pieces = text.as_bytes().chunks(3).map(Bytes::copy_from_slice);
    let data: Vec<String> = pieces.flat_map(|piece| events.push(&piece)).collect();

    assert_eq!(data, [chunk("abc "), String::from("[DONE]")]);
}

#[test]
fn whole_answers_and_echoes_are_judged_by_content() {
    let answer = |text: &str| {
        let answer = serde_json::json!({"choices": [{"message": {"content": text}}]});
        Bytes::from(answer.to_string())
    };
    let echo = Bytes::from(serde_json::json!({"echo": "pay"}).to_string());

    assert_eq!(judge_whole(&answer(ANSWER), ANSWER), CallOutcome::Answered);
    assert_eq!(
        judge_whole(&answer("abc "), ANSWER),
        CallOutcome::Incomplete
    );
    assert!(matches!(
        judge_whole(&answer("xyz "), ANSWER),
        CallOutcome::Wrong { .. }
    ));
    assert_eq!(
        judge_whole(&Bytes::from("{\"choices\": ["), ANSWER),
        CallOutcome::Incomplete
    );
    assert_eq!(
        judge_echo(&echo, &Bytes::from("pay")),
        CallOutcome::Answered
    );
    assert!(matches!(
        judge_echo(&echo, &Bytes::from("other")),
        CallOutcome::Wrong { .. }
    ));
}
