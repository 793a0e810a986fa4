//! Authenticates frames by the deployment's key, bound to one connection, direction and place in the order.
//!
//! Both ends give a nonce when the connection opens. A frame that was recorded elsewhere, earlier or in the other
//! direction has another code, so that it can't be replayed.

use crate::hop::mac;
use crate::settings::DeploymentKey;
use uuid::Uuid;

/// Bytes of a frame's code.
const MAC_BYTES: usize = 16;
/// What codes of a connection's opening begin with.
const HANDSHAKE_CONTEXT: &str = "gossip-open";
/// What codes of a connection's own key begin with.
const SESSION_CONTEXT: &str = "gossip-session";

/// The side of a connection that sends a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Side {
    /// The node that opened it.
    Dialer,
    /// The node that accepted it.
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

/// Makes a nonce that is not used again.
pub(super) fn nonce() -> String {
    Uuid::new_v4().simple().to_string()
}

/// Makes the code by which the node `from` asks the node `to` for a connection.
pub(super) fn handshake_mac(key: &DeploymentKey, from: &str, to: &str, nonce: &str) -> Vec<u8> {
    mac::code(key, &handshake_text(from, to, nonce))
}

/// Tells whether the code of an opening is right.
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
    // No name holds a space, so that no two openings have the same text.
    format!("{HANDSHAKE_CONTEXT} {from} {to} {nonce}").into_bytes()
}

/// Seals and opens the frames of one connection.
pub(super) struct Seal {
    key: DeploymentKey,
    side: Side,
    sent_frames: u64,
    received_frames: u64,
}

impl Seal {
    /// Makes the seal of a connection from the nonces of both ends.
    pub(super) fn new(key: &DeploymentKey, side: Side, dialer: &str, acceptor: &str) -> Self {
        let text = format!("{SESSION_CONTEXT} {dialer} {acceptor}");
        let session_key = mac::code(key, text.as_bytes());
        Self {
            key: DeploymentKey::from_code(&session_key),
            side,
            sent_frames: 0,
            received_frames: 0,
        }
    }

    /// Adds the code to the next frame to be sent.
    pub(super) fn seal(&mut self, mut payload: Vec<u8>) -> Vec<u8> {
        let mac = self.frame_mac(self.side, self.sent_frames, &payload);
        self.sent_frames += 1;
        payload.extend_from_slice(&mac[..MAC_BYTES]);
        payload
    }

    /// Checks the next frame that was received and takes its code off.
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
