//! Reads an answer and judges it against the one that its request must bring.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use super::record::CallOutcome;

#[cfg(test)]
mod tests;

/// Tail of a stream that ended with an error, as far as it is kept.
const MAX_REASON_BYTES: usize = 200;

/// The answer that a request must bring.
#[derive(Clone, Debug)]
pub enum Expected {
    /// A chat's answer as a stream.
    Stream(String),
    /// A chat's answer as a whole.
    Whole(String),
    /// A plain service's answer, which echoes the body that it was run for.
    Echo(Bytes),
}

impl Expected {
    /// Reads the answer to its end, notes the time of its first bytes, and judges it.
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
            Expected::Stream(text) | Expected::Whole(text) => judge_whole(&bytes, text),
            Expected::Echo(sent) => judge_echo(&bytes, sent),
        }
    }
}

/// Reads events of a stream as they come.
#[derive(Debug, Default)]
struct Events {
    buf: Vec<u8>,
}

impl Events {
    /// Takes in bytes and returns the data of the events that are now whole.
    fn push(&mut self, bytes: &Bytes) -> Vec<String> {
        self.buf.extend_from_slice(bytes);
        let mut whole = Vec::new();
        while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buf.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&event).into_owned();
            whole.extend(
                text.lines()
                    .filter_map(|line| line.strip_prefix("data:"))
                    .map(|data| data.trim().to_owned()),
            );
        }
        whole
    }
}

/// What was read of a stream.
#[derive(Debug, Default)]
struct StreamState {
    text: String,
    stopped: bool,
    done: bool,
    error: Option<String>,
}

impl StreamState {
    fn take_in(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            // Text that is no event can't be a part of any right answer.
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
    let mut events = Events::default();
    let mut state = StreamState::default();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(err) if expected.starts_with(&state.text) => {
                return CallOutcome::Broken {
                    reason: err.to_string(),
                };
            }
            Err(_) => return wrong(&state.text, expected),
        };
        if let Ok(data) = frame.into_data() {
            first_byte.get_or_insert_with(Instant::now);
            events
                .push(&data)
                .iter()
                .for_each(|data| state.take_in(data));
        }
    }
    judge_stream(&state, expected)
}

fn judge_stream(state: &StreamState, expected: &str) -> CallOutcome {
    if !expected.starts_with(&state.text) {
        return wrong(&state.text, expected);
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

fn judge_whole(bytes: &Bytes, expected: &str) -> CallOutcome {
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
    wrong(text, expected)
}

fn judge_echo(bytes: &Bytes, sent: &Bytes) -> CallOutcome {
    let Ok(answer) = serde_json::from_slice::<Value>(bytes) else {
        return CallOutcome::Incomplete;
    };
    match answer["echo"].as_str().map(str::as_bytes) == Some(sent) {
        true => CallOutcome::Answered,
        false => CallOutcome::Wrong {
            reason: format!("answer to another call: {}", truncate(&answer.to_string())),
        },
    }
}

fn wrong(text: &str, expected: &str) -> CallOutcome {
    CallOutcome::Wrong {
        reason: format!("got \"{}\", not \"{}\"", truncate(text), truncate(expected)),
    }
}

/// Keeps the beginning of a text for a record.
pub fn truncate(text: &str) -> String {
    text.chars().take(MAX_REASON_BYTES).collect()
}
