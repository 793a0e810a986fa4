//! One connection to another node: sends and receives messages, and closes when the peer is silent.

use super::NodeConfig;
use super::NodeLoadSummary;
use super::link_out::Outgoing;
use super::record::Record;
use super::seal::Seal;
use super::seal::Side;
use super::shared::Shared;
use crate::border::generated::gossip::Message;
use crate::operations::ControlKind;
use futures_util::SinkExt;
use futures_util::StreamExt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::error::CapacityError;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Maximum size of a received frame.
pub(super) const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Approximate bytes of a handshake, request and response together.
pub(super) const HANDSHAKE_BYTES: usize = 700;
/// Number of heartbeat intervals without a message after which the peer counts as silent.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Timeout for the first frame on a new connection.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_millis(800);
/// Oldest protocol version of messages that this program reads.
const MIN_PROTOCOL_VERSION: u32 = 1;

/// Reason for which a connection was closed.
#[derive(Debug)]
pub(super) enum CloseReason {
    /// The connection was closed by either end or broke, or the peer sent a frame other than binary, ping or pong.
    Lost,
    /// The peer sent or read nothing before the deadline.
    Silent,
    /// A frame's MAC was wrong or missing.
    Unauthenticated,
    /// A frame exceeded [`MAX_FRAME_BYTES`].
    Oversized,
    /// A message could not be encoded or decoded, has an unsupported version or names another sender.
    Malformed,
    /// The peer is an old process; a later process of the same node name is known.
    OldIncarnation,
}

/// The peer of a connection, and the side that this node has.
#[derive(Clone, Debug)]
pub(super) struct LinkInfo {
    /// Name of the peer.
    pub(super) peer: String,
    /// Whether the peer is in the same data centre.
    pub(super) is_near: bool,
    /// Side of this node.
    pub(super) side: Side,
}

/// Returns the WebSocket limits of a connection.
pub(super) fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .read_buffer_size(8 * 1024)
        .write_buffer_size(0)
}

/// One open connection to another node.
pub(super) struct Link<S> {
    shared: Arc<Shared>,
    info: LinkInfo,
    seal: Seal,
    socket: WebSocketStream<S>,
    outgoing: Outgoing,
    /// Time at which the peer counts as silent; each message from it extends the time.
    deadline: Instant,
    /// Whether a message from the peer has been accepted. Only then does the connection count as working.
    has_received: bool,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Link<S> {
    /// Creates a connection from a socket after the handshake.
    pub(super) fn new(
        shared: &Arc<Shared>,
        info: LinkInfo,
        seal: Seal,
        socket: WebSocketStream<S>,
    ) -> Self {
        Self {
            outgoing: Outgoing::new(Arc::clone(shared), &info),
            shared: Arc::clone(shared),
            info,
            seal,
            socket,
            deadline: Instant::now() + FIRST_FRAME_TIMEOUT,
            has_received: false,
        }
    }

    /// Exchanges messages until the connection closes. Counts and returns the reason.
    pub(super) async fn run(mut self) -> CloseReason {
        let reason = self.run_until_closed().await;
        let refusals = &self.shared.refusals;
        match reason {
            CloseReason::Unauthenticated => refusals.unauthenticated.inc(),
            CloseReason::Oversized => refusals.oversized.inc(),
            CloseReason::Malformed => refusals.malformed.inc(),
            CloseReason::OldIncarnation => refusals.old_incarnation.inc(),
            CloseReason::Lost | CloseReason::Silent => {}
        }
        if self.info.side == Side::Dialer && self.has_received {
            let peer = &self.info.peer;
            self.shared
                .state()
                .reachability
                .record_disconnected(peer, Instant::now());
        }
        reason
    }

    async fn run_until_closed(&mut self) -> CloseReason {
        let mut changes = self.shared.changes.subscribe();
        loop {
            if self.shared.is_closed() {
                return CloseReason::Lost;
            }
            if Instant::now() >= self.deadline {
                return CloseReason::Silent;
            }
            if let Some((kind, message)) = self.outgoing.next_message() {
                if let Err(err) = self.send(kind, &message).await {
                    return err;
                }
                continue;
            }
            let wake = self.outgoing.wake_at().min(self.deadline);
            tokio::select! {
                frame = self.socket.next() => if let Err(err) = self.receive_frame(frame) {
                    return err;
                },
                // This never fails: the sender is in `shared`, which this connection holds.
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(wake.into()) => {}
            }
        }
    }

    async fn send(&mut self, kind: ControlKind, message: &Message) -> Result<(), CloseReason> {
        let mut buf = Vec::new();
        ciborium::into_writer(message, &mut buf).map_err(|_| CloseReason::Malformed)?;
        let frame = self.seal.seal(buf);
        let is_masked = self.info.side == Side::Dialer;
        let bytes = frame_bytes(frame.len(), is_masked);
        self.shared.metrics.add_control_bytes(kind, bytes);
        let sending = self.socket.send(tungstenite::Message::Binary(frame.into()));
        // A peer that doesn't read is treated like one that doesn't send.
        match tokio::time::timeout_at(self.deadline.into(), sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(CloseReason::Lost),
            Err(_) => Err(CloseReason::Silent),
        }
    }

    fn receive_frame(
        &mut self,
        frame: Option<Result<tungstenite::Message, tungstenite::Error>>,
    ) -> Result<(), CloseReason> {
        let frame = match frame {
            Some(Ok(tungstenite::Message::Binary(frame))) => frame,
            Some(Ok(tungstenite::Message::Ping(_) | tungstenite::Message::Pong(_))) => {
                return Ok(());
            }
            Some(Err(tungstenite::Error::Capacity(CapacityError::MessageTooLong { .. }))) => {
                return Err(CloseReason::Oversized);
            }
            _ => return Err(CloseReason::Lost),
        };
        let payload = self.seal.open(&frame).ok_or(CloseReason::Unauthenticated)?;
        let message: Message =
            ciborium::from_reader(payload).map_err(|_| CloseReason::Malformed)?;
        let kind = match message.l.is_empty() {
            true => ControlKind::Gossip,
            false => ControlKind::Load,
        };
        let is_masked = self.info.side == Side::Acceptor;
        let bytes = frame_bytes(frame.len(), is_masked);
        self.shared.metrics.add_control_bytes(kind, bytes);
        self.handle_message(message)
    }

    fn handle_message(&mut self, message: Message) -> Result<(), CloseReason> {
        if message.v < MIN_PROTOCOL_VERSION || message.f != self.info.peer {
            return Err(CloseReason::Malformed);
        }
        let known = self.shared.state().table.get(&message.f).cloned();
        if known.is_some_and(|known| message.i < known.incarnation) {
            return Err(CloseReason::OldIncarnation);
        }
        self.deadline = Instant::now() + silence_timeout(Duration::from_millis(message.h.into()));
        self.shared.timeline.observe(&message.t);
        let records: Vec<Record> = message.r.into_iter().map(Record::from).collect();
        self.shared.apply_records(&records);
        self.record_first_message();
        for change in &message.o {
            if self.shared.hosts.apply(change) {
                self.shared.notify_changes();
            }
        }
        for summary in message.l {
            self.shared.loads.apply(NodeLoadSummary::from(summary));
        }
        if let (Some(version), Some(hash)) = (message.c, message.x) {
            let node = message.f;
            self.shared.configs.insert(NodeConfig {
                node,
                version,
                hash,
            });
        }
        if let Some(digest) = message.d {
            self.outgoing.compare_digest(digest);
        }
        Ok(())
    }

    fn record_first_message(&mut self) {
        if self.has_received {
            return;
        }
        self.has_received = true;
        if self.info.side == Side::Dialer {
            self.shared
                .state()
                .reachability
                .record_connected(&self.info.peer);
        }
    }
}

/// Returns the time without a message after which a peer with the heartbeat interval `heartbeat` counts as silent.
fn silence_timeout(heartbeat: Duration) -> Duration {
    // The peer sends its own interval; without a limit, an interval of hours would keep a dead connection for days.
    heartbeat.min(Duration::from_secs(60)) * MAX_MISSED_HEARTBEATS
}

/// Returns the size of a WebSocket frame on the wire, with header and mask.
fn frame_bytes(payload: usize, is_masked: bool) -> usize {
    let head = match payload {
        0..=125 => 2,
        126..=65_535 => 4,
        _ => 10,
    };
    head + payload + if is_masked { 4 } else { 0 }
}
