//! Signs attempts between nodes and verifies them: the sender, the receiver, the body, and that the attempt was not
//! received before.

use super::HEAD_HEADER;
use super::MAC_HEADER;
use super::codec;
use super::mac;
use super::replay::ReplayFilter;
use crate::border::generated::peer::HopHead;
use crate::settings::DeploymentKey;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use sha2::Digest;
use sha2::Sha256;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Header with the receiver's name and incarnation and the sender's epoch and count.
const ROUTE_HEADER: &str = "cb-route";
/// Header with the hash of the body.
const BODY_HEADER: &str = "cb-body";

/// Reason why an attempt is refused before anything is run. The variants' names appear in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum VerifyError {
    /// The sender is not authenticated: a header is missing or malformed, or the code was not made with the
    /// deployment's key.
    Stranger,
    /// The attempt is addressed to another node, or to an earlier process of this node.
    Misdirected,
    /// The attempt was received before, or is so old that this can't be determined.
    Replayed,
}

/// An attempt whose headers were verified; its body was not read yet.
#[derive(Clone, Debug)]
pub(super) struct VerifiedAttempt {
    /// Head of the attempt.
    pub(super) head: HopHead,
    body_hash: Vec<u8>,
}

impl VerifiedAttempt {
    /// Returns whether `body` is the body that the sender signed.
    pub(super) fn has_body(&self, body: &[u8]) -> bool {
        body.len() as u64 == self.head.body_len && self.body_hash == hash(body)
    }
}

/// Signs attempts that this node sends.
pub(super) struct Signer {
    key: DeploymentKey,
    /// Time of the signer's creation, in microseconds since 1970.
    epoch: u64,
    /// Number of the next attempt within the epoch.
    count: AtomicU64,
}

impl Signer {
    /// Creates a signer. Its epoch is the time of creation, so that the receiver can tell signers apart.
    pub(super) fn new(key: DeploymentKey) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            key,
            epoch: since_epoch.map_or(1, |since_epoch| since_epoch.as_micros() as u64),
            count: AtomicU64::new(1),
        }
    }

    /// Builds the headers of an attempt that is sent to `path` of the node `to` with the given incarnation. Returns
    /// `None` if the head or the node's name can't be encoded as a header.
    pub(super) fn sign(
        &self,
        path: &str,
        to: &str,
        incarnation: u64,
        head: &HopHead,
        body: &[u8],
    ) -> Option<[(&'static str, HeaderValue); 4]> {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let epoch = self.epoch;
        let route = format!("{to} {incarnation} {epoch} {count}");
        let head = codec::to_header(head).ok()?;
        let body = codec::encode_base64(&hash(body));
        let text = signed_text(path, route.as_bytes(), head.as_bytes(), body.as_bytes());
        let code = codec::encode_base64(&mac::code(&self.key, &text));
        let value = |text: &str| HeaderValue::from_str(text).ok();
        Some([
            (HEAD_HEADER, value(&head)?),
            (ROUTE_HEADER, value(&route)?),
            (BODY_HEADER, value(&body)?),
            (MAC_HEADER, value(&code)?),
        ])
    }
}

/// Verifies attempts that this node receives.
pub(super) struct Verifier {
    node: String,
    key: DeploymentKey,
    replays: ReplayFilter,
}

impl Verifier {
    /// Creates a verifier for the node named `node`.
    pub(super) fn new(node: &str, key: DeploymentKey) -> Self {
        Self {
            node: node.to_owned(),
            key,
            replays: ReplayFilter::default(),
        }
    }

    /// Returns a reference to the key shared by all nodes.
    pub(super) fn key(&self) -> &DeploymentKey {
        &self.key
    }

    /// Verifies the headers of an attempt received at `path`. `incarnation` is the incarnation of this process.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the attempt; nothing was run.
    pub(super) fn verify(
        &self,
        path: &str,
        headers: &HeaderMap,
        incarnation: u64,
    ) -> Result<VerifiedAttempt, VerifyError> {
        let (head, route, body_hash) = self
            .verify_headers(path, headers)
            .ok_or(VerifyError::Stranger)?;
        if route.to != self.node || route.incarnation != incarnation {
            return Err(VerifyError::Misdirected);
        }
        if !self.replays.insert(&head.from, route.epoch, route.count) {
            return Err(VerifyError::Replayed);
        }
        Ok(VerifiedAttempt { head, body_hash })
    }

    /// Decodes the headers of an attempt if their code is valid.
    fn verify_headers(&self, path: &str, headers: &HeaderMap) -> Option<(HopHead, Route, Vec<u8>)> {
        let value = |name: &str| headers.get(name).map(HeaderValue::as_bytes);
        let head = value(HEAD_HEADER)?;
        let route = value(ROUTE_HEADER)?;
        let body = value(BODY_HEADER)?;
        let code = codec::decode_base64(value(MAC_HEADER)?).ok()?;
        if !mac::is_valid(&self.key, &signed_text(path, route, head, body), &code) {
            return None;
        }
        Some((
            codec::from_header(head).ok()?,
            Route::parse(route)?,
            codec::decode_base64(body).ok()?,
        ))
    }
}

/// Content of the route header: the receiver, and the sender's epoch and count.
struct Route {
    to: String,
    incarnation: u64,
    epoch: u64,
    count: u64,
}

impl Route {
    fn parse(text: &[u8]) -> Option<Self> {
        let mut parts = std::str::from_utf8(text).ok()?.split(' ');
        Some(Self {
            to: parts.next()?.to_owned(),
            incarnation: parts.next()?.parse().ok()?,
            epoch: parts.next()?.parse().ok()?,
            count: parts.next()?.parse().ok()?,
        })
    }
}

/// Joins the signed values by line breaks. No value contains a line break, so different attempts have different texts.
fn signed_text(path: &str, route: &[u8], head: &[u8], body: &[u8]) -> Vec<u8> {
    [path.as_bytes(), route, head, body].join(&b'\n')
}

fn hash(body: &[u8]) -> Vec<u8> {
    Sha256::digest(body).to_vec()
}
