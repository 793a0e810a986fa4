mod streams;

use super::reply::RequestTracker;
use super::tracked_body::CacheUse;
use super::tracked_body::parse_cache_use;
use crate::net::Body;
use crate::net::BodyError;
use crate::net::collect;
use crate::operations::Metrics;
use crate::owner::Answer;
use crate::timeline::Timeline;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::sync::Arc;

const LAST_CHUNK: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":90,\"completion_tokens\":2,\
    \"prompt_tokens_details\":{\"cached_tokens\":70}}}\n\ndata: [DONE]\n\n";

fn body(frames: Vec<Result<&'static str, &'static str>>) -> Body {
    let frames = frames.into_iter().map(|frame| {
        frame
            .map(|text| Frame::data(Bytes::from_static(text.as_bytes())))
            .map_err(BodyError::from)
    });
    StreamBody::new(stream::iter(frames)).boxed_unsync()
}

/// Sends an answer with `frames`, reads at most `read` of them, drops the rest and returns the rendered metrics.
async fn metrics_after(frames: Vec<Result<&'static str, &'static str>>, read: usize) -> String {
    let metrics = Arc::new(Metrics::new());
    let tracker = RequestTracker::begin(Arc::clone(&metrics), Arc::new(Timeline::silent()), "r1");
    let answer = Answer {
        status: 200,
        content_type: None,
        load: 1,
        hint: None,
        body: body(frames),
    };
    let mut response = tracker.respond(Ok(answer));
    for _ in 0..read {
        let _ = response.body_mut().frame().await;
    }
    drop(response);
    String::from_utf8(metrics.render()).unwrap()
}

#[tokio::test]
async fn a_complete_answer_is_counted_with_its_cached_tokens() {
    let frames = vec![Ok("data: {\"choices\":[]}\n\n"), Ok(LAST_CHUNK)];

    let text = metrics_after(frames, 3).await;

    assert!(text.contains("currantbend_requests_total{outcome=\"answered\",reason=\"\"} 1"));
    assert!(text.contains("currantbend_prompt_tokens_total 90"));
    assert!(text.contains("currantbend_cached_prompt_tokens_total 70"));
    assert!(text.contains("currantbend_first_byte_seconds_count 1"));
}

#[tokio::test]
async fn a_truncated_answer_is_not_counted_as_answered() {
    let frames = vec![Ok("data: {}\n\n"), Err("cut")];

    let text = metrics_after(frames, 2).await;

    assert!(
        text.contains("currantbend_requests_total{outcome=\"unknown\",reason=\"truncated\"} 1")
    );
}

#[tokio::test]
async fn a_caller_that_disconnects_midway_is_not_counted_as_answered() {
    let frames = vec![Ok("data: {}\n\n"), Ok(LAST_CHUNK)];

    let text = metrics_after(frames, 1).await;

    assert!(
        text.contains("currantbend_requests_total{outcome=\"unknown\",reason=\"caller-gone\"} 1")
    );
}

#[tokio::test]
async fn frames_pass_unchanged() {
    let metrics = Arc::new(Metrics::new());
    let tracker = RequestTracker::begin(metrics, Arc::new(Timeline::silent()), "r1");
    let answer = Answer {
        status: 200,
        content_type: None,
        load: 1,
        hint: None,
        body: body(vec![Ok("data: {}\n\n"), Ok(LAST_CHUNK)]),
    };

    let response = tracker.respond(Ok(answer));

    let passed = collect(response.into_body(), 1_024).await.unwrap();
    assert_eq!(passed, format!("data: {{}}\n\n{LAST_CHUNK}"));
}

#[test]
fn usage_is_parsed_from_streams_and_complete_answers_only() {
    let complete = br#"{"usage":{"prompt_tokens":5,"prompt_tokens_details":{"cached_tokens":0}}}"#;
    let expected = |prompt, cached| Some(CacheUse { prompt, cached });

    assert_eq!(parse_cache_use(LAST_CHUNK.as_bytes()), expected(90, 70));
    assert_eq!(parse_cache_use(complete), expected(5, 0));
    assert_eq!(
        parse_cache_use(b"data: {\"usage\":{\"prompt_tokens\":5}}"),
        None
    );
    assert_eq!(parse_cache_use(b"\xff\n{"), None);
}
