//! Reads the body of a response and compares it with the expected answer to the request.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use super::record::CallOutcome;

#[cfg(test)]
mod tests;

/// Maximum length of a text that a reason quotes, in characters.
const MAX_REASON_CHARS: usize = 200;

/// The expected answer to a request.
#[derive(Clone, Debug)]
pub enum Expected {
    /// The text of a chat's answer, which is streamed.
    Stream(String),
    /// The text of a chat's answer, which is sent without streaming.
    NonStreaming(String),
    /// The request body, which a plain service repeats in its answer.
    Echo(Bytes),
}

impl Expected {
    /// Reads the answer to its end, records the time of its first byte (for an answer without streaming, the time at
    /// which it was complete) and returns the outcome.
    pub async fn read_and_check(
        &self,
        body: Incoming,
        first_byte: &mut Option<Instant>,
    ) -> CallOutcome {
        if let Expected::Stream(text) = self {
            return read_stream(body, text, first_byte).await;
        }
        let bytes = match body.collect().await {
            Ok(collected) => collected.to_bytes(),
            Err(err) => {
                return CallOutcome::Broken {
                    reason: err.to_string(),
                };
            }
        };
        *first_byte = Some(Instant::now());
        match self {
            Expected::Stream(text) | Expected::NonStreaming(text) => {
                check_non_streaming(&bytes, text)
            }
            Expected::Echo(sent) => check_echo(&bytes, sent),
        }
    }
}

/// Splits a stream of server-sent events into events.
#[derive(Debug, Default)]
struct EventParser {
    buf: Vec<u8>,
}

impl EventParser {
    /// Appends received bytes and returns the data of the events that are complete now.
    fn push(&mut self, bytes: &Bytes) -> Vec<String> {
        self.buf.extend_from_slice(bytes);
        let mut complete = Vec::new();
        while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buf.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&event).into_owned();
            complete.extend(
                text.lines()
                    .filter_map(|line| line.strip_prefix("data:"))
                    .map(|data| data.trim().to_owned()),
            );
        }
        complete
    }
}

/// Content and end markers that have been read from a stream.
#[derive(Debug, Default)]
struct StreamState {
    text: String,
    stopped: bool,
    done: bool,
    error: Option<String>,
}

impl StreamState {
    fn apply_event(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            // Data that is not JSON cannot be part of a correct answer. As part of the text it makes the answer wrong.
            self.text.push_str(data);
            return;
        };
        if let Some(error) = event.get("error") {
            self.error = Some(truncate(&error.to_string()));
            return;
        }
        let choice = &event["choices"][0];
        if let Some(content) = choice["delta"]["content"].as_str() {
            self.text.push_str(content);
        }
        self.stopped |= choice["finish_reason"].as_str() == Some("stop");
    }
}

async fn read_stream(
    mut body: Incoming,
    expected: &str,
    first_byte: &mut Option<Instant>,
) -> CallOutcome {
    let mut events = EventParser::default();
    let mut state = StreamState::default();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(err) if expected.starts_with(&state.text) => {
                return CallOutcome::Broken {
                    reason: err.to_string(),
                };
            }
            Err(_) => return wrong_answer(&state.text, expected),
        };
        if let Ok(data) = frame.into_data() {
            first_byte.get_or_insert_with(Instant::now);
            events
                .push(&data)
                .iter()
                .for_each(|data| state.apply_event(data));
        }
    }
    check_stream(&state, expected)
}

fn check_stream(state: &StreamState, expected: &str) -> CallOutcome {
    if !expected.starts_with(&state.text) {
        return wrong_answer(&state.text, expected);
    }
    if let Some(reason) = &state.error {
        return CallOutcome::ErrorEvent {
            reason: reason.clone(),
        };
    }
    if state.text != expected || !state.stopped || !state.done {
        return CallOutcome::Incomplete;
    }
    CallOutcome::Answered
}

fn check_non_streaming(bytes: &Bytes, expected: &str) -> CallOutcome {
    let Ok(answer) = serde_json::from_slice::<Value>(bytes) else {
        return CallOutcome::Incomplete;
    };
    let text = answer["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    if text == expected {
        return CallOutcome::Answered;
    }
    if expected.starts_with(text) {
        return CallOutcome::Incomplete;
    }
    wrong_answer(text, expected)
}

fn check_echo(bytes: &Bytes, sent: &Bytes) -> CallOutcome {
    let Ok(answer) = serde_json::from_slice::<Value>(bytes) else {
        return CallOutcome::Incomplete;
    };
    match answer["echo"].as_str().map(str::as_bytes) == Some(sent) {
        true => CallOutcome::Answered,
        false => CallOutcome::Wrong {
            reason: format!(
                "answer to a different call: {}",
                truncate(&answer.to_string())
            ),
        },
    }
}

fn wrong_answer(text: &str, expected: &str) -> CallOutcome {
    CallOutcome::Wrong {
        reason: format!(
            "got \"{}\", expected \"{}\"",
            truncate(text),
            truncate(expected)
        ),
    }
}

/// Returns the first [`MAX_REASON_CHARS`] characters of a text.
pub fn truncate(text: &str) -> String {
    text.chars().take(MAX_REASON_CHARS).collect()
}
