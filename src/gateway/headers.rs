//! Headers that concern one connection alone.

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use std::time::Duration;

/// Names of RFC 9110, section 7.6.1, sorted.
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

/// Takes out what concerns the connection that a head came on.
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

/// Tells whether a head asks for the connection to be closed.
pub(super) fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Reads how long the other end keeps an idle connection.
pub(super) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|text| text.trim().parse::<f64>().ok())?;
    Duration::try_from_secs_f64(seconds).ok()
}
