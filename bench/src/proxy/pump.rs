//! Carries the bytes of one connection, one loop per direction.

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
use crate::proxy::exchange;
use crate::proxy::exchange::Held;
use crate::proxy::reset;

/// Bytes read at a time.
const CHUNK: usize = 16 * 1024;
/// Bytes that are held before the proxy stops reading.
const MAX_HELD: usize = 4 * 1024 * 1024;

/// The two directions of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// From the connecting side.
    Forward,
    /// To the connecting side.
    Back,
}

/// One direction was broken off.
struct Broken;

/// What the rules in force do to one direction.
#[derive(Debug, Default)]
struct Effect {
    delay: Duration,
    hold: bool,
    cross: bool,
}

/// Carries a connection until both directions have ended, one is broken off, or it is cut.
pub(super) async fn carry(
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
    let whole = tokio::select! {
        ended = async { tokio::try_join!(forward.run(from_client), back.run(from_server)) } => {
            ended.is_ok()
        }
        () = conn.wait_cut() => false,
    };
    if !whole {
        reset(&client);
        reset(&server);
    }
}

struct Pump<'a> {
    proxy: &'a Proxy,
    conn: &'a Arc<Conn>,
    direction: Direction,
    out: WriteHalf<'a>,
    count: &'a AtomicU64,
    effect: Effect,
    /// Bytes on their way with their time of arrival; empty bytes are the end.
    queue: VecDeque<(Instant, Bytes)>,
    queued: usize,
    /// Bytes of an answer that isn't whole yet, while answers are crossed.
    part: BytesMut,
}

impl<'a> Pump<'a> {
    fn new(
        proxy: &'a Proxy,
        conn: &'a Arc<Conn>,
        direction: Direction,
        out: WriteHalf<'a>,
    ) -> Pump<'a> {
        let count = match direction {
            Direction::Forward => &conn.sent,
            Direction::Back => &conn.received,
        };
        Pump {
            proxy,
            conn,
            direction,
            out,
            count,
            effect: Effect::default(),
            queue: VecDeque::new(),
            queued: 0,
            part: BytesMut::new(),
        }
    }

    async fn run(mut self, mut input: ReadHalf<'a>) -> Result<(), Broken> {
        let mut generation = self.proxy.generation.subscribe();
        self.update();
        let mut open = true;
        let mut buf = vec![0; CHUNK];
        loop {
            let due = self.due();
            // The rules come first, so that no byte sent under a rule escapes it.
            tokio::select! {
                biased;
                _ = generation.changed() => self.update(),
                () = sleep_until(due) => {
                    if self.deliver().await? {
                        return Ok(());
                    }
                }
                read = input.read(&mut buf), if open && self.queued < MAX_HELD => {
                    let n = read.map_err(|_| Broken)?;
                    open = n > 0;
                    if generation.has_changed().unwrap_or(false) {
                        generation.mark_unchanged();
                        self.update();
                    }
                    self.take(Bytes::copy_from_slice(&buf[..n])).await;
                }
            }
        }
    }

    /// When the next bytes are to be delivered, if any.
    fn due(&self) -> Option<Instant> {
        if self.effect.hold {
            return None;
        }
        self.queue.front().map(|(at, _)| *at)
    }

    fn update(&mut self) {
        self.effect = Effect::default();
        for fault in self.proxy.faults(self.conn) {
            match (fault, self.direction) {
                (Fault::Delay(by), _) => self.effect.delay += by,
                (Fault::SilentAll, _)
                | (Fault::HoldForward, Direction::Forward)
                | (Fault::HoldBack, Direction::Back) => self.effect.hold = true,
                (Fault::SwapResponses, Direction::Back) => self.effect.cross = true,
                _ => {}
            }
        }
        if !self.effect.cross && !self.part.is_empty() {
            let part = self.part.split().freeze();
            self.push(part);
        }
    }

    /// Takes what was read; empty bytes are the end.
    async fn take(&mut self, bytes: Bytes) {
        if self.conn.is_silent() {
            return;
        }
        if !self.effect.cross {
            return self.push(bytes);
        }
        self.part.extend_from_slice(&bytes);
        while !self.part.is_empty() {
            match exchange::held(&self.part) {
                Held::Part => break,
                Held::Whole(end) => {
                    let own = self.part.split_to(end).freeze();
                    let to = &self.conn.to.name;
                    let other = self.proxy.exchange.swap(to, own).await;
                    self.push(other);
                }
                Held::Other => {
                    let other = self.part.split().freeze();
                    self.push(other);
                }
            }
        }
        if bytes.is_empty() {
            let part = self.part.split().freeze();
            if !part.is_empty() {
                self.push(part);
            }
            self.push(bytes);
        }
    }

    fn push(&mut self, bytes: Bytes) {
        self.queued += bytes.len();
        let at = Instant::now() + self.effect.delay;
        self.queue.push_back((at, bytes));
    }

    /// Delivers the next bytes; gives whether they were the end.
    async fn deliver(&mut self) -> Result<bool, Broken> {
        let Some((_, bytes)) = self.queue.pop_front() else {
            return Ok(false);
        };
        self.queued -= bytes.len();
        if self.conn.is_silent() {
            return Ok(false);
        }
        if bytes.is_empty() {
            self.out.shutdown().await.map_err(|_| Broken)?;
            return Ok(true);
        }
        self.out.write_all(&bytes).await.map_err(|_| Broken)?;
        self.count.fetch_add(bytes.len() as u64, Relaxed);
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
