//! What consumers send, and how it ends.

use crate::fleet;
use crate::http;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;
use tokio::io::BufReader;
use tokio::net::TcpStream;

/// A request of a consumer.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'static str,
    pub route: &'static str,
    pub id: &'a str,
    /// Time that the consumer waits.
    pub time: Duration,
    /// Further header lines, each with its line break.
    pub headers: &'a str,
    pub body: &'a [u8],
}

/// How a request ended at its consumer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer with this status.
    Answered(u16),
    /// The channel ended before the answer was whole.
    Cut,
    /// The consumer's time was over.
    Late,
}

/// Counts outcomes.
#[derive(Default)]
pub struct Outcomes {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    cut: AtomicU64,
    late: AtomicU64,
}

impl Outcomes {
    pub fn add(&self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Answered(200) => &self.served,
            Outcome::Answered(429 | 503) => &self.refused,
            Outcome::Answered(_) => &self.failed,
            Outcome::Cut => &self.cut,
            Outcome::Late => &self.late,
        };
        count.fetch_add(1, Relaxed);
    }

    /// Returns the number of requests that were served.
    pub fn served(&self) -> u64 {
        self.served.load(Relaxed)
    }

    pub fn describe(&self) -> String {
        let count = |count: &AtomicU64| count.load(Relaxed);
        format!(
            "{} served, {} refused, {} failed, {} without a whole answer, {} late",
            count(&self.served),
            count(&self.refused),
            count(&self.failed),
            count(&self.cut),
            count(&self.late)
        )
    }
}

/// Sends requests at a steady rate.
pub struct Pace {
    began: Instant,
    per_second: u64,
    sent: u64,
}

impl Pace {
    pub fn new(per_second: u64) -> Self {
        Self {
            began: Instant::now(),
            per_second,
            sent: 0,
        }
    }

    /// Returns the number of requests that were due until now.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Returns the numbers of the requests that are due, and waits a moment if there is none.
    pub async fn due(&mut self) -> std::ops::Range<u64> {
        let due = u128::from(self.per_second) * self.elapsed().as_millis() / 1_000;
        let first = self.sent;
        self.sent = u64::try_from(due).unwrap_or(first).max(first);
        if first == self.sent {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        first..self.sent
    }
}

/// Sends a request on a channel of its own.
pub async fn send(address: SocketAddr, request: &Request<'_>) -> Outcome {
    match http::connect(address).await {
        Ok(mut stream) => send_on(&mut stream, request).await,
        Err(_) => Outcome::Cut,
    }
}

/// Sends a request on an open channel and reads its answer.
pub async fn send_on(stream: &mut BufReader<TcpStream>, request: &Request<'_>) -> Outcome {
    let exchange = async {
        let head = format!(
            "{} /{}/7f HTTP/1.1\r\nhost: {}\r\ncurrantbend-request-id: {}\r\ncurrantbend-deadline-ms: {}\r\n\
             authorization: Token {}\r\ncontent-length: {}\r\n{}\r\n",
            request.method,
            request.route,
            fleet::HOST,
            request.id,
            request.time.as_millis(),
            fleet::KEY,
            request.body.len(),
            request.headers
        );
        http::write(stream, head.as_bytes()).await?;
        http::write(stream, request.body).await?;
        let head = http::read_head(stream).await?;
        let head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        http::read_body(stream, &head, true).await?;
        Ok::<u16, std::io::Error>(head.status())
    };
    match tokio::time::timeout(request.time, exchange).await {
        Ok(Ok(status)) => Outcome::Answered(status),
        Ok(Err(_)) => Outcome::Cut,
        Err(_) => Outcome::Late,
    }
}
