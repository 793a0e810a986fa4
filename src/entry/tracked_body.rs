//! The body of an answer to a caller: records its first byte, how it ended, and the cached tokens that it reports.

use super::reply::RequestTracker;
use crate::net::Body;
use crate::net::BodyError;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::SizeHint;
use serde::Deserialize;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

/// Prefix of an event's data in a stream.
const DATA_PREFIX: &[u8] = b"data: ";
/// Maximum total size of an answer's last two frames, in bytes; larger ones are not searched for the token usage.
const MAX_USAGE_BYTES: usize = 64 * 1024;

/// Prompt tokens of a chat, and how many of them were cached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct CacheUse {
    /// All tokens of the prompt.
    pub(super) prompt: u64,
    /// Prompt tokens that came from the cache.
    pub(super) cached: u64,
}

/// The fields of a chat completion, or of its last chunk, that are read here.
#[derive(Deserialize)]
struct Completion {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    prompt_tokens_details: Option<Details>,
}

#[derive(Deserialize)]
struct Details {
    cached_tokens: u64,
}

/// A body that reports its progress to a [`RequestTracker`].
pub(super) struct TrackedBody {
    inner: Body,
    tracker: RequestTracker,
    has_started: bool,
    /// The last two frames, which contain the token usage of a stream.
    last_frames: [Bytes; 2],
}

impl TrackedBody {
    /// Wraps the body of an answer.
    pub(super) fn wrap(inner: Body, tracker: RequestTracker) -> Body {
        let mut body = Self {
            inner,
            tracker,
            has_started: false,
            last_frames: [Bytes::new(), Bytes::new()],
        };
        if body.inner.size_hint().exact() == Some(0) {
            body.record_end();
        }
        body.boxed_unsync()
    }

    fn record_data(&mut self, data: &Bytes) {
        if !self.has_started {
            self.has_started = true;
            self.tracker.record_first_byte();
        }
        self.last_frames.swap(0, 1);
        self.last_frames[1] = data.clone();
        // The server does not poll a body of known length again after its last byte, so its end is recorded here.
        if self.inner.size_hint().exact() == Some(0) {
            self.record_end();
        }
    }

    fn record_end(&mut self) {
        let last_frames = std::mem::take(&mut self.last_frames);
        self.tracker
            .record_answered(parse_cache_use(&last_frames.concat()));
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &polled {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.record_data(data);
                }
            }
            Some(Err(_)) => self.tracker.record_broken(),
            None => self.record_end(),
        }
        Poll::Ready(polled)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Parses the token usage from the end of a streamed or complete answer; `None` where it reports none.
pub(super) fn parse_cache_use(tail: &[u8]) -> Option<CacheUse> {
    if tail.len() > MAX_USAGE_BYTES {
        return None;
    }
    let usage = tail
        .split(|byte| *byte == b'\n')
        .filter_map(|line| parse_usage(line.strip_prefix(DATA_PREFIX).unwrap_or(line)))
        .next_back()?;
    Some(CacheUse {
        prompt: usage.prompt_tokens,
        cached: usage.prompt_tokens_details?.cached_tokens,
    })
}

fn parse_usage(json: &[u8]) -> Option<Usage> {
    serde_json::from_slice::<Completion>(json).ok()?.usage
}
