//! One connection to another node: its heartbeats, its deadline, and what it passes on.

use super::NodeConfig;
use super::Summary;
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

/// Largest frame that is read, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Bytes that the opening of a connection takes, both ways, about.
pub(super) const OPEN_BYTES: usize = 700;
/// Heartbeats that may be missed before a connection counts as silent.
const MISSED_HEARTBEATS: u32 = 3;
/// Longest wait for the first frame of a new connection.
const FIRST_FRAME_WITHIN: Duration = Duration::from_millis(800);
/// Oldest version of the messages that this program reads.
const OLDEST_VERSION: u32 = 1;

/// Why a connection ended.
#[derive(Debug)]
pub(super) enum EndError {
    /// It was closed or lost.
    Lost,
    /// Nothing came for too long.
    Silent,
    /// A frame had no right code.
    Stranger,
    /// A frame was too large.
    Oversized,
    /// A frame could not be understood.
    Malformed,
    /// The other end is a process that a later one has replaced.
    OldIncarnation,
}

/// The other end of a connection, and this one's part in it.
#[derive(Clone, Debug)]
pub(super) struct Ends {
    /// Name of the other node.
    pub(super) peer: String,
    /// Whether it is in the own data centre.
    pub(super) is_near: bool,
    /// Part of this end.
    pub(super) side: Side,
}

/// Gives the limits of a connection's frames.
pub(super) fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .read_buffer_size(8 * 1024)
        .write_buffer_size(0)
}

/// One connection.
pub(super) struct Link<S> {
    shared: Arc<Shared>,
    ends: Ends,
    seal: Seal,
    socket: WebSocketStream<S>,
    outgoing: Outgoing,
    deadline: Instant,
    is_up: bool,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Link<S> {
    /// Makes a connection of an open socket.
    pub(super) fn new(
        shared: &Arc<Shared>,
        ends: Ends,
        seal: Seal,
        socket: WebSocketStream<S>,
    ) -> Self {
        Self {
            outgoing: Outgoing::new(Arc::clone(shared), &ends),
            shared: Arc::clone(shared),
            ends,
            seal,
            socket,
            deadline: Instant::now() + FIRST_FRAME_WITHIN,
            is_up: false,
        }
    }

    /// Carries messages until the connection ends.
    pub(super) async fn run(mut self) -> EndError {
        let ended = self.carry().await;
        let refusals = &self.shared.refusals;
        match ended {
            EndError::Stranger => refusals.stranger.inc(),
            EndError::Oversized => refusals.oversized.inc(),
            EndError::Malformed => refusals.malformed.inc(),
            EndError::OldIncarnation => refusals.old_incarnation.inc(),
            EndError::Lost | EndError::Silent => {}
        }
        if self.ends.side == Side::Dialer && self.is_up {
            let peer = &self.ends.peer;
            self.shared.state().reach.down(peer, Instant::now());
        }
        ended
    }

    async fn carry(&mut self) -> EndError {
        let mut changes = self.shared.changes.subscribe();
        loop {
            if self.shared.is_closed() {
                return EndError::Lost;
            }
            if Instant::now() >= self.deadline {
                return EndError::Silent;
            }
            if let Some((kind, message)) = self.outgoing.next() {
                if let Err(err) = self.send(kind, &message).await {
                    return err;
                }
                continue;
            }
            let wake = self.outgoing.wake_at().min(self.deadline);
            tokio::select! {
                frame = self.socket.next() => if let Err(err) = self.take(frame) {
                    return err;
                },
                // The sender lives in what this connection shares.
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(wake.into()) => {}
            }
        }
    }

    async fn send(&mut self, kind: ControlKind, message: &Message) -> Result<(), EndError> {
        let mut buf = Vec::new();
        ciborium::into_writer(message, &mut buf).map_err(|_| EndError::Malformed)?;
        let frame = self.seal.seal(buf);
        let is_masked = self.ends.side == Side::Dialer;
        let bytes = frame_bytes(frame.len(), is_masked);
        self.shared.metrics.add_control_bytes(kind, bytes);
        let sending = self.socket.send(tungstenite::Message::Binary(frame.into()));
        // A peer that takes nothing in is as good as silent.
        match tokio::time::timeout_at(self.deadline.into(), sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(EndError::Lost),
            Err(_) => Err(EndError::Silent),
        }
    }

    fn take(
        &mut self,
        frame: Option<Result<tungstenite::Message, tungstenite::Error>>,
    ) -> Result<(), EndError> {
        let frame = match frame {
            Some(Ok(tungstenite::Message::Binary(frame))) => frame,
            Some(Ok(tungstenite::Message::Ping(_) | tungstenite::Message::Pong(_))) => {
                return Ok(());
            }
            Some(Err(tungstenite::Error::Capacity(CapacityError::MessageTooLong { .. }))) => {
                return Err(EndError::Oversized);
            }
            _ => return Err(EndError::Lost),
        };
        let payload = self.seal.open(&frame).ok_or(EndError::Stranger)?;
        let message: Message = ciborium::from_reader(payload).map_err(|_| EndError::Malformed)?;
        let kind = match message.l.is_empty() {
            true => ControlKind::Gossip,
            false => ControlKind::Load,
        };
        let is_masked = self.ends.side == Side::Acceptor;
        let bytes = frame_bytes(frame.len(), is_masked);
        self.shared.metrics.add_control_bytes(kind, bytes);
        self.receive(message)
    }

    fn receive(&mut self, message: Message) -> Result<(), EndError> {
        if message.v < OLDEST_VERSION || message.f != self.ends.peer {
            return Err(EndError::Malformed);
        }
        let known = self.shared.state().table.get(&message.f).cloned();
        if known.is_some_and(|known| message.i < known.incarnation) {
            return Err(EndError::OldIncarnation);
        }
        self.deadline = Instant::now() + silence(Duration::from_millis(message.h.into()));
        self.shared.timeline.observe(&message.t);
        let records: Vec<Record> = message.r.into_iter().map(Record::from).collect();
        self.shared.receive(&records);
        self.note_up();
        for change in &message.o {
            if self.shared.hosts.apply(change) {
                self.shared.wake();
            }
        }
        for summary in message.l {
            self.shared.loads.receive(Summary::from(summary));
        }
        if let (Some(version), Some(hash)) = (message.c, message.x) {
            let node = message.f;
            self.shared.configs.put(NodeConfig {
                node,
                version,
                hash,
            });
        }
        if let Some(digest) = message.d {
            self.outgoing.compare(digest);
        }
        Ok(())
    }

    fn note_up(&mut self) {
        if self.is_up {
            return;
        }
        self.is_up = true;
        if self.ends.side == Side::Dialer {
            self.shared.state().reach.up(&self.ends.peer);
        }
    }
}

/// Gives the time after which a peer with that heartbeat counts as silent.
fn silence(heartbeat: Duration) -> Duration {
    // A heartbeat of hours would keep a dead connection for days.
    heartbeat.min(Duration::from_secs(60)) * MISSED_HEARTBEATS
}

/// Gives the bytes of a frame on the wire.
fn frame_bytes(payload: usize, is_masked: bool) -> usize {
    let head = match payload {
        0..=125 => 2,
        126..=65_535 => 4,
        _ => 10,
    };
    head + payload + if is_masked { 4 } else { 0 }
}
