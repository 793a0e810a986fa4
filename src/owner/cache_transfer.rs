//! Brings a chat's KV cache along to another engine, where that costs less than the prefill that it saves.

use super::Settings;
use crate::border::Backends;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of a request's body that make a token, about.
const BYTES_PER_TOKEN: usize = 4;
/// Time that the two questions take besides the moving itself.
const REQUEST_OVERHEAD: Duration = Duration::from_millis(2);

/// Estimates the time that it takes to prefill a request of `body_len` bytes.
pub(super) fn prefill_time(settings: &Settings, body_len: usize) -> Duration {
    token_time(body_len, settings.prefill_tokens_per_s)
}

/// Tells whether to move the cache of a chat whose request has `body_len` bytes.
pub(super) fn is_worth_it(settings: &Settings, body_len: usize) -> bool {
    // The cache is moved twice: out of one engine and into the other.
    let moving = token_time(body_len, settings.kv_tokens_per_s) * 2 + REQUEST_OVERHEAD;
    moving < prefill_time(settings, body_len)
}

fn token_time(body_len: usize, tokens_per_s: u32) -> Duration {
    let tokens = (body_len / BYTES_PER_TOKEN) as f64;
    Duration::from_secs_f64(tokens / f64::from(tokens_per_s))
}

/// Moves the cache of `chat`; one that is not there, or takes longer than `limit`, is left, since it is only a saving.
pub(super) async fn transfer(
    backends: &dyn Backends,
    chat: &str,
    from: SocketAddr,
    to: SocketAddr,
    limit: Duration,
) -> bool {
    let moving = async {
        let blob = backends.engine(from).kv_export(chat).await?;
        backends.engine(to).kv_import(&blob).await
    };
    matches!(tokio::time::timeout(limit, moving).await, Ok(Ok(())))
}
