use crate::border::generated::peer::HopHead;
use crate::border::generated::peer::Priority;
use crate::entry::attempts::Progress;
use crate::entry::budget::RetryBudget;
use crate::entry::resume::ResumePlan;
use crate::entry::resume::resumable;
use crate::hop::Dispatch;
use crate::hop::PROTOCOL_VERSION;
use crate::net::Body;
use crate::net::BodyError;
use crate::net::collect;
use crate::net::full_body;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use crate::owner::Attempt;
use crate::timeline::Timeline;
use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

const COMPLETE_STREAM: &str = "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n";
const MAX_BODY_BYTES: usize = 1 << 16;

/// An engine that answers each request to resume the stream by one of its steps.
struct Engine {
    /// The steps, last one first. `Some` holds the number of further bytes served before the connection is lost. At
    /// `None`, and after the last step, the engine does not know the stream.
    steps: Mutex<Vec<Option<usize>>>,
    /// Methods of the received requests, in order.
    methods: Mutex<Vec<String>>,
}

#[async_trait]
impl Dispatch for Engine {
    async fn dispatch(&self, attempt: &Attempt) -> Result<Answer, Refusal> {
        let head = &attempt.head;
        self.methods.lock().unwrap().push(head.method.clone());
        let step = self.steps.lock().unwrap().pop();
        let Some(Some(count)) = step else {
            return Err(Refusal::not_run(NotRun::RefusedByBackend));
        };
        assert_eq!(head.path, "/v1/streams/a1");
        Ok(Answer {
            status: 200,
            content_type: None,
            load: 1,
            hint: None,
            body: partial_body(head.resume_from.unwrap() as usize, count),
        })
    }
}

/// Returns a body with `count` bytes from `from` on; it ends with an error unless it reaches the end of the stream.
fn partial_body(from: usize, count: usize) -> Body {
    let to = (from + count).min(COMPLETE_STREAM.len());
    let part = Bytes::from_static(&COMPLETE_STREAM.as_bytes()[from..to]);
    let mut frames: Vec<Result<Frame<Bytes>, BodyError>> = vec![Ok(Frame::data(part))];
    if to < COMPLETE_STREAM.len() {
        frames.push(Err("lost".into()));
    }
    StreamBody::new(stream::iter(frames)).boxed_unsync()
}

fn head() -> HopHead {
    HopHead {
        v: PROTOCOL_VERSION,
        id: "a1".to_owned(),
        request: "r1".to_owned(),
        from: "n1".to_owned(),
        service: "assistant".to_owned(),
        backend: "e1".to_owned(),
        team: "team".to_owned(),
        chat: None,
        priority: Priority::Interactive,
        deadline_ms: 1_000,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        content_type: None,
        body_len: 0,
        hops: 0,
        tried: Vec::new(),
        key: None,
        resume_from: None,
        no_spill: false,
        cached_on: None,
        hlc: String::new(),
    }
}

/// Creates an engine that takes `steps` in the given order.
fn engine(mut steps: Vec<Option<usize>>) -> Arc<Engine> {
    steps.reverse();
    Arc::new(Engine {
        steps: Mutex::new(steps),
        methods: Mutex::default(),
    })
}

fn stream_over(engine: &Arc<Engine>, body: Body) -> Body {
    let plan = ResumePlan {
        dispatch: Arc::clone(engine) as Arc<dyn Dispatch>,
        timeline: Arc::new(Timeline::silent()),
        head: head(),
        stall_timeout: Duration::from_secs(5),
        give_up_after: Duration::from_secs(5),
    };
    resumable(body, plan)
}

#[test]
fn a_stream_is_complete_wherever_it_breaks() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    arbtest::arbtest(|u| {
        let first = u.int_in_range(0..=COMPLETE_STREAM.len() - 1)?;
        let second = u.int_in_range(1..=COMPLETE_STREAM.len())?;
        let engine = engine(vec![Some(second), Some(COMPLETE_STREAM.len())]);

        let body = stream_over(&engine, partial_body(0, first));
        let received = runtime.block_on(collect(body, MAX_BODY_BYTES)).unwrap();

        assert_eq!(received.as_ref(), COMPLETE_STREAM.as_bytes());
        Ok(())
    })
    .seed(0x5eed_0004_0000_0200);
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_ends_with_an_error_event_and_a_failed_body() {
    let engine = engine(vec![None]);
    let mut body = stream_over(&engine, partial_body(0, 20));

    let mut text = Vec::new();
    let mut end = None;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend_from_slice(frame.data_ref().unwrap()),
            Err(err) => end = Some(err),
        }
    }

    let text = String::from_utf8(text).unwrap();
    assert!(text.contains("\"error\""), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
    assert!(end.is_some());
}

#[tokio::test]
async fn the_work_of_a_disconnected_caller_is_cancelled() {
    let engine = engine(Vec::new());
    let mut body = stream_over(&engine, partial_body(0, 20));

    let _ = body.frame().await;
    drop(body);
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;

    assert_eq!(*engine.methods.lock().unwrap(), ["DELETE"]);
}

#[tokio::test]
async fn a_complete_stream_is_not_cancelled() {
    let engine = engine(Vec::new());

    let received = collect(
        stream_over(&engine, full_body(COMPLETE_STREAM)),
        MAX_BODY_BYTES,
    )
    .await;
    tokio::task::yield_now().await;

    assert_eq!(received.unwrap().as_ref(), COMPLETE_STREAM.as_bytes());
    assert!(engine.methods.lock().unwrap().is_empty());
}

#[test]
fn an_unknown_outcome_is_kept_after_later_refusals() {
    arbtest::arbtest(|u| {
        let mut progress = Progress::default();
        let mut is_uncertain = false;
        for i in 0..u.int_in_range(1..=6)? {
            let refusal = if u.arbitrary()? {
                Refusal::unknown(Unknown::ConnectionLost)
            } else {
                Refusal::not_run(NotRun::Busy)
            };
            is_uncertain |= !refusal.is_not_run();
            progress.record(&format!("e{i}"), refusal);
        }

        let last = progress.refusal();

        assert_eq!(last.is_not_run(), !is_uncertain);
        assert!(is_uncertain || last.retry_after().is_some());
        Ok(())
    })
    .seed(0x5eed_0005_0000_0200);
}

#[test]
fn retries_are_limited_to_a_share_of_the_successes() {
    let budget = RetryBudget::new(200);
    while budget.try_take() {}

    let retries = (0..1_000)
        .filter(|_| {
            budget.record_success();
            budget.try_take()
        })
        .count();

    assert_eq!(retries, 200);
}
