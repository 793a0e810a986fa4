//! Authenticates the frames between nodes by a message authentication code (MAC). Frames are not encrypted.
//!
//! Both ends send a nonce in the handshake, and the key of a connection is derived from the deployment's key and both
//! nonces. The MAC of a frame also covers the direction and the frame's number. A frame that was recorded on another
//! connection, earlier on the same connection or in the other direction therefore fails the check, which prevents
//! replay.

use crate::hop::mac;
use crate::settings::DeploymentKey;
use uuid::Uuid;

/// Length of the MAC at the end of a frame.
const MAC_BYTES: usize = 16;
/// First word of the text that a handshake's MAC covers.
const HANDSHAKE_CONTEXT: &str = "gossip-open";
/// First word of the text that a connection's key is derived from.
const SESSION_CONTEXT: &str = "gossip-session";

/// One of the two ends of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Side {
    /// The node that opened the connection.
    Dialer,
    /// The node that accepted the connection.
    Acceptor,
}

impl Side {
    fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }
}

/// Returns a new random nonce, which is never used again.
pub(super) fn nonce() -> String {
    Uuid::new_v4().simple().to_string()
}

/// Returns the MAC of the request by which the node `from` opens a connection to the node `to`.
pub(super) fn handshake_mac(key: &DeploymentKey, from: &str, to: &str, nonce: &str) -> Vec<u8> {
    mac::code(key, &handshake_text(from, to, nonce))
}

/// Returns whether `mac` is the MAC that [`handshake_mac`] returns, comparing in constant time.
pub(super) fn is_handshake_mac_valid(
    key: &DeploymentKey,
    from: &str,
    to: &str,
    nonce: &str,
    mac: &[u8],
) -> bool {
    mac::is_valid(key, &handshake_text(from, to, nonce), mac)
}

fn handshake_text(from: &str, to: &str, nonce: &str) -> Vec<u8> {
    // Node names contain no spaces, so different handshakes never have the same text.
    format!("{HANDSHAKE_CONTEXT} {from} {to} {nonce}").into_bytes()
}

/// Adds and checks the MACs of the frames of one connection.
pub(super) struct Seal {
    key: DeploymentKey,
    side: Side,
    sent_frames: u64,
    received_frames: u64,
}

impl Seal {
    /// Creates the seal for the end `side` of a connection. `dialer` and `acceptor` are the nonces of the two ends.
    pub(super) fn new(key: &DeploymentKey, side: Side, dialer: &str, acceptor: &str) -> Self {
        let text = format!("{SESSION_CONTEXT} {dialer} {acceptor}");
        let session_key = mac::code(key, text.as_bytes());
        Self {
            key: DeploymentKey::from_mac(&session_key),
            side,
            sent_frames: 0,
            received_frames: 0,
        }
    }

    /// Appends the MAC to the payload of the next frame to send.
    pub(super) fn seal(&mut self, mut payload: Vec<u8>) -> Vec<u8> {
        let mac = self.frame_mac(self.side, self.sent_frames, &payload);
        self.sent_frames += 1;
        payload.extend_from_slice(&mac[..MAC_BYTES]);
        payload
    }

    /// Checks the MAC of the next received frame and returns the payload, or `None` if the MAC is wrong or missing.
    pub(super) fn open<'a>(&mut self, frame: &'a [u8]) -> Option<&'a [u8]> {
        let (payload, mac) = frame.split_at_checked(frame.len().checked_sub(MAC_BYTES)?)?;
        let expected = self.frame_mac(self.side.other(), self.received_frames, payload);
        if !bool::from(subtle::ConstantTimeEq::ct_eq(&expected[..MAC_BYTES], mac)) {
            return None;
        }
        self.received_frames += 1;
        Some(payload)
    }

    fn frame_mac(&self, side: Side, count: u64, payload: &[u8]) -> Vec<u8> {
        let side = match side {
            Side::Dialer => 0,
            Side::Acceptor => 1,
        };
        let mut text = vec![side];
        text.extend_from_slice(&count.to_be_bytes());
        text.extend_from_slice(payload);
        mac::code(&self.key, &text)
    }
}
