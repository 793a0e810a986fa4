//! State of one proxied connection that its two directions share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use tokio::sync::watch;

use crate::proxy::Side;

/// A connection that `from` opened to `to`.
#[derive(Debug)]
pub(super) struct Conn {
    pub from: Side,
    pub to: Side,
    /// Bytes copied from `from` to `to`, over all connections between the two.
    pub sent: Arc<AtomicU64>,
    /// Bytes copied from `to` to `from`, over all connections between the two.
    pub received: Arc<AtomicU64>,
    /// Whether all bytes are dropped.
    silent: AtomicBool,
    reset: watch::Sender<bool>,
}

impl Conn {
    pub fn new(from: Side, to: Side, sent: Arc<AtomicU64>, received: Arc<AtomicU64>) -> Conn {
        Conn {
            from,
            to,
            sent,
            received,
            silent: AtomicBool::new(false),
            reset: watch::channel(false).0,
        }
    }

    /// Resets the connection.
    pub fn reset(&self) {
        self.reset.send_replace(true);
    }

    /// Waits until [`Conn::reset`] is called.
    pub async fn wait_reset(&self) {
        // The sender lives as long as `self`.
        let _ = self.reset.subscribe().wait_for(|reset| *reset).await;
    }

    /// Drops all bytes from now on, without closing the connection.
    pub fn set_silent(&self) {
        self.silent.store(true, Relaxed);
    }

    pub fn is_silent(&self) -> bool {
        self.silent.load(Relaxed)
    }
}
