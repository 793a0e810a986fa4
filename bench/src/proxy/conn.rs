//! One connection through the proxy, as its two directions share it.

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
    pub sent: Arc<AtomicU64>,
    pub received: Arc<AtomicU64>,
    silent: AtomicBool,
    cut: watch::Sender<bool>,
}

impl Conn {
    pub fn new(from: Side, to: Side, sent: Arc<AtomicU64>, received: Arc<AtomicU64>) -> Conn {
        Conn {
            from,
            to,
            sent,
            received,
            silent: AtomicBool::new(false),
            cut: watch::channel(false).0,
        }
    }

    /// Resets it.
    pub fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Waits until it is reset.
    pub async fn wait_cut(&self) {
        // The sender lives as long as `self`.
        let _ = self.cut.subscribe().wait_for(|cut| *cut).await;
    }

    /// Lets it carry no bytes any more.
    pub fn silence(&self) {
        self.silent.store(true, Relaxed);
    }

    pub fn is_silent(&self) -> bool {
        self.silent.load(Relaxed)
    }
}
