//! An engine as a process of its own, which ends at once when it begins to run a request that crashes it.
//!
//! It says on its output what it got and ran; the process that started it reports it to the store.

use crate::http;
use crate::http::Head;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Number of events of a stream, and the time until each further one.
const EVENTS: u32 = 4;
const STEP: Duration = Duration::from_millis(20);

/// Beginning of the body of a request that crashes the engines that run it.
pub const CRASHING_BODY: &str = "crash";

struct Engine {
    id: String,
    slots: Semaphore,
    slot_count: u32,
    queue: u32,
    running: AtomicU32,
    waiting: AtomicU32,
    /// Time until the first event.
    prefill: Duration,
}

fn say(line: &str) {
    // Written at once, since the process may end with the next request.
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

/// Runs an engine: ID ADDRESS SLOTS QUEUE PREFILL-MS.
pub async fn run(args: &[String]) -> Option<()> {
    let number = |index: usize| args.get(index)?.parse::<u32>().ok();
    let address: SocketAddr = args.get(1)?.parse().ok()?;
    let engine = Rc::new(Engine {
        id: args.first()?.clone(),
        slots: Semaphore::new(number(2)? as usize),
        slot_count: number(2)?,
        queue: number(3)?,
        running: AtomicU32::new(0),
        waiting: AtomicU32::new(0),
        prefill: Duration::from_millis(number(4)?.into()),
    });
    let listener = TcpListener::bind(address).await.ok()?;
    say("listening");
    let set = tokio::task::LocalSet::new();
    set.run_until(async {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::task::spawn_local(serve(Rc::clone(&engine), BufReader::new(stream)));
        }
    })
    .await;
    Some(())
}

async fn serve(engine: Rc<Engine>, mut stream: BufReader<TcpStream>) {
    while let Ok(Ok(Some(head))) = timeout(http::IDLE_TIMEOUT, http::read_head(&mut stream)).await {
        if engine.answer(&mut stream, &head).await.is_err() {
            return;
        }
    }
}

/// Counts down when it is dropped.
struct Count<'a>(&'a AtomicU32);

impl<'a> Count<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Relaxed);
        Self(count)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

impl Engine {
    fn headers(&self, request_id: &str) -> String {
        format!(
            "currantbend-request-id: {request_id}\r\ncurrantbend-server-load: {},{},{}\r\nkeep-alive: timeout=10\r\n",
            self.running.load(Relaxed),
            self.waiting.load(Relaxed),
            self.slot_count
        )
    }

    async fn reject(
        &self,
        stream: &mut BufReader<TcpStream>,
        status: &str,
        request_id: &str,
    ) -> std::io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status}\r\n{}currantbend-not-run: 1\r\ncontent-length: 0\r\n\r\n",
            self.headers(request_id)
        );
        http::write(stream, text.as_bytes()).await
    }

    async fn answer(&self, stream: &mut BufReader<TcpStream>, head: &Head) -> std::io::Result<()> {
        let body = http::read_body(stream, head, false).await?;
        let request_id = head.get("currantbend-request-id").unwrap_or_default();
        let expected = head.get("currantbend-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self
                .reject(stream, "421 Misdirected Request", request_id)
                .await;
        }
        let is_crashing = body.starts_with(CRASHING_BODY.as_bytes());
        if is_crashing {
            say(&format!("got {request_id}"));
        }
        let is_full =
            self.slots.available_permits() == 0 && self.waiting.load(Relaxed) >= self.queue;
        if is_full {
            return self
                .reject(stream, "503 Service Unavailable", request_id)
                .await;
        }
        let _permit = {
            let _waiting = Count::new(&self.waiting);
            let mut wait = std::pin::pin!(self.slots.acquire());
            loop {
                tokio::select! {
                    permit = &mut wait => break permit.map_err(std::io::Error::other)?,
                    // A caller that has left is not served.
                    closed = is_closed(stream) => if closed { return Err(std::io::ErrorKind::BrokenPipe.into()) },
                }
            }
        };
        let _running = Count::new(&self.running);
        if is_crashing {
            say(&format!(
                "crashes by {request_id} with {} running, {} waiting",
                self.running.load(Relaxed),
                self.waiting.load(Relaxed)
            ));
            std::process::abort();
        }
        say(&format!("runs {request_id}"));
        tokio::time::sleep(self.prefill).await;
        let text = format!(
            "HTTP/1.1 200 OK\r\n{}currantbend-response-seal: seal.{request_id}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.headers(request_id)
        );
        http::write(stream, text.as_bytes()).await?;
        for number in 1..=EVENTS {
            if number > 1 {
                tokio::time::sleep(STEP).await;
            }
            let event = format!("id: {number}\ndata: {} of {request_id}\n\n", self.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            http::write(stream, chunk.as_bytes()).await?;
        }
        http::write(stream, b"0\r\n\r\n").await
    }
}

/// Returns after a while whether the other end has closed the connection.
async fn is_closed(stream: &BufReader<TcpStream>) -> bool {
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut byte = [0];
    matches!(stream.get_ref().try_read(&mut byte), Ok(0))
}
