//! Authenticates frames by the deployment's key, bound to one connection, direction and place in the order.
//!
//! Both ends give a nonce when the connection opens. A frame that was recorded elsewhere, earlier or in the other
//! direction has another code, so that it can't be replayed.

use crate::hop::mac;
use crate::settings::DeploymentKey;
use uuid::Uuid;

/// Bytes of a frame's code.
const CODE_BYTES: usize = 16;
/// What codes of a connection's opening begin with.
const OPEN: &str = "gossip-open";
/// What codes of a connection's own key begin with.
const SESSION: &str = "gossip-session";

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
pub(super) fn open_code(key: &DeploymentKey, from: &str, to: &str, nonce: &str) -> Vec<u8> {
    mac::code(key, &open_text(from, to, nonce))
}

/// Tells whether the code of an opening is right.
pub(super) fn is_open_code(
    key: &DeploymentKey,
    from: &str,
    to: &str,
    nonce: &str,
    code: &[u8],
) -> bool {
    mac::is_valid(key, &open_text(from, to, nonce), code)
}

fn open_text(from: &str, to: &str, nonce: &str) -> Vec<u8> {
    // No name holds a space, so that no two openings have the same text.
    format!("{OPEN} {from} {to} {nonce}").into_bytes()
}

/// Seals and opens the frames of one connection.
pub(super) struct Seal {
    key: DeploymentKey,
    side: Side,
    sent: u64,
    received: u64,
}

impl Seal {
    /// Makes the seal of a connection from the nonces of both ends.
    pub(super) fn new(key: &DeploymentKey, side: Side, dialer: &str, acceptor: &str) -> Self {
        let text = format!("{SESSION} {dialer} {acceptor}");
        let code = mac::code(key, text.as_bytes());
        Self {
            key: DeploymentKey::from_mac(&code),
            side,
            sent: 0,
            received: 0,
        }
    }

    /// Adds the code to the next frame to be sent.
    pub(super) fn seal(&mut self, mut payload: Vec<u8>) -> Vec<u8> {
        let code = self.code(self.side, self.sent, &payload);
        self.sent += 1;
        payload.extend_from_slice(&code[..CODE_BYTES]);
        payload
    }

    /// Checks the next frame that was received and takes its code off.
    pub(super) fn open<'a>(&mut self, frame: &'a [u8]) -> Option<&'a [u8]> {
        let (payload, code) = frame.split_at_checked(frame.len().checked_sub(CODE_BYTES)?)?;
        let right = self.code(self.side.other(), self.received, payload);
        if !bool::from(subtle::ConstantTimeEq::ct_eq(&right[..CODE_BYTES], code)) {
            return None;
        }
        self.received += 1;
        Some(payload)
    }

    fn code(&self, side: Side, count: u64, payload: &[u8]) -> Vec<u8> {
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
