//! Copies the bytes of one connection, with a loop for each direction that applies delays and faults.

use bytes::Bytes;
use bytes::BytesMut;
use std::collections::VecDeque;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;

use crate::proxy::Fault;
use crate::proxy::Proxy;
use crate::proxy::conn::Conn;
use crate::proxy::reset;
use crate::proxy::response_swap;
use crate::proxy::response_swap::BufferContent;

/// Maximum number of bytes of one read.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Number of queued bytes from which on the proxy stops reading from the sender.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// The two directions of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// From the connecting side.
    Forward,
    /// To the connecting side.
    Back,
}

/// A read or write of one direction failed.
struct DirectionFailed;

/// Combined effect of all current rules on one direction.
#[derive(Debug, Default)]
struct Effect {
    delay: Duration,
    hold: bool,
    swap_responses: bool,
}

/// Copies the bytes of a connection until both directions have ended, one fails, or the connection is reset.
pub(super) async fn run_connection(
    proxy: &Proxy,
    conn: &Arc<Conn>,
    mut client: TcpStream,
    mut server: TcpStream,
) {
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.split();
    let (from_server, to_server) = server.split();
    let forward = Pump::new(proxy, conn, Direction::Forward, to_server);
    let back = Pump::new(proxy, conn, Direction::Back, to_client);
    let is_complete = tokio::select! {
        ended = async { tokio::try_join!(forward.run(from_client), back.run(from_server)) } => {
            ended.is_ok()
        }
        () = conn.wait_reset() => false,
    };
    if !is_complete {
        reset(&client);
        reset(&server);
    }
}

struct Pump<'a> {
    proxy: &'a Proxy,
    conn: &'a Arc<Conn>,
    direction: Direction,
    out: WriteHalf<'a>,
    counter: &'a AtomicU64,
    effect: Effect,
    /// Bytes to deliver, with their delivery times; empty bytes stand for the end of the direction.
    queue: VecDeque<(Instant, Bytes)>,
    queued_bytes: usize,
    /// Bytes of an incomplete response, while responses are swapped.
    partial_response: BytesMut,
}

impl<'a> Pump<'a> {
    fn new(
        proxy: &'a Proxy,
        conn: &'a Arc<Conn>,
        direction: Direction,
        out: WriteHalf<'a>,
    ) -> Pump<'a> {
        let counter = match direction {
            Direction::Forward => &conn.sent,
            Direction::Back => &conn.received,
        };
        Pump {
            proxy,
            conn,
            direction,
            out,
            counter,
            effect: Effect::default(),
            queue: VecDeque::new(),
            queued_bytes: 0,
            partial_response: BytesMut::new(),
        }
    }

    async fn run(mut self, mut input: ReadHalf<'a>) -> Result<(), DirectionFailed> {
        let mut generation = self.proxy.generation.subscribe();
        self.update_effect();
        let mut open = true;
        let mut buf = vec![0; READ_BUFFER_BYTES];
        loop {
            let due = self.due();
            // Changed rules are applied first, so that a rule applies to every byte that is sent after it was set.
            tokio::select! {
                biased;
                _ = generation.changed() => self.update_effect(),
                () = sleep_until(due) => {
                    if self.deliver().await? {
                        return Ok(());
                    }
                }
                read = input.read(&mut buf), if open && self.queued_bytes < MAX_QUEUED_BYTES => {
                    let n = read.map_err(|_| DirectionFailed)?;
                    open = n > 0;
                    if generation.has_changed().unwrap_or(false) {
                        generation.mark_unchanged();
                        self.update_effect();
                    }
                    self.receive(Bytes::copy_from_slice(&buf[..n])).await;
                }
            }
        }
    }

    /// Returns when the next bytes are to be delivered; `None` if there are none or they are held.
    fn due(&self) -> Option<Instant> {
        if self.effect.hold {
            return None;
        }
        self.queue.front().map(|(at, _)| *at)
    }

    /// Recomputes the effect from the current rules; queues an incomplete response once no rule swaps responses.
    fn update_effect(&mut self) {
        self.effect = Effect::default();
        for fault in self.proxy.faults(self.conn) {
            match (fault, self.direction) {
                (Fault::Delay(by), _) => self.effect.delay += by,
                (Fault::SilentAll, _)
                | (Fault::HoldForward, Direction::Forward)
                | (Fault::HoldBack, Direction::Back) => self.effect.hold = true,
                (Fault::SwapResponses, Direction::Back) => self.effect.swap_responses = true,
                _ => {}
            }
        }
        if !self.effect.swap_responses && !self.partial_response.is_empty() {
            let partial_response = self.partial_response.split().freeze();
            self.push(partial_response);
        }
    }

    /// Queues the bytes of one read; empty bytes are the end of the direction.
    async fn receive(&mut self, bytes: Bytes) {
        if self.conn.is_silent() {
            return;
        }
        if !self.effect.swap_responses {
            return self.push(bytes);
        }
        self.partial_response.extend_from_slice(&bytes);
        while !self.partial_response.is_empty() {
            match response_swap::inspect_buffer(&self.partial_response) {
                BufferContent::Partial => break,
                BufferContent::Complete(end) => {
                    let own = self.partial_response.split_to(end).freeze();
                    let to = &self.conn.to.name;
                    let other = self.proxy.response_swap.swap(to, own).await;
                    self.push(other);
                }
                BufferContent::Other => {
                    let other = self.partial_response.split().freeze();
                    self.push(other);
                }
            }
        }
        if bytes.is_empty() {
            let partial_response = self.partial_response.split().freeze();
            if !partial_response.is_empty() {
                self.push(partial_response);
            }
            self.push(bytes);
        }
    }

    fn push(&mut self, bytes: Bytes) {
        self.queued_bytes += bytes.len();
        let at = Instant::now() + self.effect.delay;
        self.queue.push_back((at, bytes));
    }

    /// Delivers the next bytes; returns whether they were the end of the direction.
    async fn deliver(&mut self) -> Result<bool, DirectionFailed> {
        let Some((_, bytes)) = self.queue.pop_front() else {
            return Ok(false);
        };
        self.queued_bytes -= bytes.len();
        if self.conn.is_silent() {
            return Ok(false);
        }
        if bytes.is_empty() {
            self.out.shutdown().await.map_err(|_| DirectionFailed)?;
            return Ok(true);
        }
        self.out
            .write_all(&bytes)
            .await
            .map_err(|_| DirectionFailed)?;
        self.counter.fetch_add(bytes.len() as u64, Relaxed);
        Ok(false)
    }
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(at) if at <= Instant::now() => {}
        Some(at) => tokio::time::sleep_until(at).await,
        None => pending().await,
    }
}
