//! Tells whether two requests are the same one, sent again.

use super::attempt::OutboundRequest;
use crate::decide::PartId;
use crate::decide::PromptPart;
use sha2::Digest;
use sha2::Sha256;

/// Returns the id of what a request asks, and for whom: its method, path and query, team, prompt and body.
///
/// A caller that sends a request again keeps all of them, at any gateway, while the request id and most headers change. The
/// id is the same over restarts and releases, since it is kept in the store; the digest is cryptographic, so that no
/// caller can find a request with the id of another one's. See `docs/CRASHING-PARTS.md`.
pub(super) fn whole_request_id(
    outbound: &OutboundRequest,
    team: Option<&str>,
    parts: &[PromptPart],
) -> PartId {
    let mut digest = Sha256::new();
    let mut add = |field: &[u8]| {
        digest.update((field.len() as u64).to_le_bytes());
        digest.update(field);
    };
    add(outbound.method.as_str().as_bytes());
    add(outbound.target.as_bytes());
    // A request without a key differs from that of a team with an empty name.
    add(&[u8::from(team.is_some())]);
    add(team.unwrap_or_default().as_bytes());
    add(&outbound.body);
    for part in parts {
        add(&part.id.to_le_bytes());
    }
    let digest = digest.finalize();
    let mut id = [0; size_of::<PartId>()];
    id.copy_from_slice(&digest[..size_of::<PartId>()]);
    PartId::from_le_bytes(id)
}
