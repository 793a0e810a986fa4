//! What applies to a single connection: hop-by-hop headers, and what ends a body.

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use std::time::Duration;

/// Header names of RFC 9110, section 7.6.1, sorted.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns whether the `Connection` header asks to close the connection.
pub(super) fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Returns the idle timeout that the other end announces in `Keep-Alive`, if any.
pub(super) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|text| text.trim().parse::<f64>().ok())?;
    Duration::try_from_secs_f64(seconds).ok()
}
