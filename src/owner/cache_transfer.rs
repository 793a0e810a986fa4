//! Transfers a chat's KV cache to another engine, where that takes less time than the prefill that it saves.

use super::Settings;
use crate::border::Backends;
use std::net::SocketAddr;
use std::time::Duration;

/// Approximate number of bytes per token in a request's body.
const BYTES_PER_TOKEN: usize = 4;
/// Time for the export and import requests themselves, without the transfer of data.
const REQUEST_OVERHEAD: Duration = Duration::from_millis(2);

/// Estimates the time to prefill a request whose body has `body_len` bytes.
pub(super) fn prefill_time(settings: &Settings, body_len: usize) -> Duration {
    token_time(body_len, settings.prefill_tokens_per_s)
}

/// Returns whether the transfer is faster than a prefill, for a request whose body has `body_len` bytes.
pub(super) fn is_worth_it(settings: &Settings, body_len: usize) -> bool {
    // The cache is transferred twice: out of one engine and into the other.
    let moving = token_time(body_len, settings.kv_tokens_per_s) * 2 + REQUEST_OVERHEAD;
    moving < prefill_time(settings, body_len)
}

fn token_time(body_len: usize, tokens_per_s: u32) -> Duration {
    let tokens = (body_len / BYTES_PER_TOKEN) as f64;
    Duration::from_secs_f64(tokens / f64::from(tokens_per_s))
}

/// Transfers the cache of `chat` from the engine at `from` to the one at `to`, and returns whether that succeeded. A
/// cache that is missing or takes longer than `limit` is skipped, since the transfer is only an optimisation.
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
