//! A backend server as the users' platform has them: echoes the request's name, seals its answers, tells its load, and
//! misbehaves as told.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Abort;
use crate::http::HandlerResult;
use crate::http::ResponseBody;
use crate::http::Server;
use crate::truth::lock;

/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(15);
/// Events of a stream.
pub const EVENTS: u64 = 12;

/// How the server treats requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behavior {
    /// Runs and answers them.
    #[default]
    Healthy,
    /// Says that it did not run them.
    Rejects,
    /// Runs them and answers 500.
    Fails,
    /// Runs them and never answers.
    Hangs,
    /// Runs them and resets the connection, streams after so many events.
    Breaks(u64),
    /// Streams stop after so many events, with the connection open.
    Stalls(u64),
    /// Answers with the name of another request.
    WrongRequestId,
    /// Answers without the signature.
    OmitsSignature,
}

/// One request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it began.
    pub at: Instant,
    /// The request's name.
    pub request_id: String,
    /// The head that the server saw.
    pub headers: HeaderMap,
    /// Path and query.
    pub target: String,
    /// The body.
    pub body: Bytes,
}

#[derive(Debug)]
struct Shared {
    id: String,
    work: Duration,
    behavior: Mutex<Behavior>,
    runs: Mutex<Vec<Run>>,
    running: AtomicU32,
}

/// Counts a request while the server works on it.
struct Running(Arc<Shared>);

impl Running {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.running.fetch_add(1, Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Relaxed);
    }
}

/// A running server.
#[derive(Debug)]
pub struct Replica {
    server: Server,
    shared: Arc<Shared>,
}

impl Replica {
    /// Starts a server called `id` that works for `work` on each plain request.
    ///
    /// # Errors
    ///
    /// Where no address can be bound.
    pub async fn start(id: &str, work: Duration) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            work,
            behavior: Mutex::default(),
            runs: Mutex::default(),
            running: AtomicU32::new(0),
        });
        let serving = Arc::clone(&shared);
        let handler: http::Handler = Arc::new(move |req| -> BoxFuture<'static, HandlerResult> {
            let shared = Arc::clone(&serving);
            Box::pin(async move { answer(shared, req).await })
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(any, handler).await?;
        Ok(Self { server, shared })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its name.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Sets how it treats requests from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        *lock(&self.shared.behavior) = behavior;
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Requests that it works on now.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Relaxed)
    }

    /// Its entry on the server list, as JSON.
    pub fn entry(&self, service: &str, data_centre: &str, state: &str, sequence: u64) -> Vec<u8> {
        let entry = serde_json::json!({
            "service": service, "address": self.address(), "zone": data_centre, "version": "v1",
            "slots": 8, "state": state, "cold-left-ms": 0, "seq": sequence, "born": 1_700_000_000_000u64,
        });
        entry.to_string().into_bytes()
    }

    /// Stops at once, as a crash does.
    pub async fn abort(self) {
        self.server.abort().await;
    }
}

fn head(shared: &Shared, status: StatusCode, body: ResponseBody) -> Response<ResponseBody> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    http::set_header(&mut res, "currantbend-instance-id", &shared.id);
    http::set_header(&mut res, "keep-alive", "timeout=10");
    let load = format!("{},0,8", shared.running.load(Relaxed));
    http::set_header(&mut res, "currantbend-server-load", &load);
    res
}

fn not_run(shared: &Shared, status: StatusCode) -> Response<ResponseBody> {
    let mut res = head(shared, status, http::full("not run"));
    http::set_header(&mut res, "currantbend-not-run", "1");
    res
}

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> HandlerResult {
    let headers = req.headers().clone();
    let target = req.uri().to_string();
    let expected = http::header(&headers, "currantbend-expect-instance").to_owned();
    let request_id = http::header(&headers, "currantbend-request-id").to_owned();
    let behavior = *lock(&shared.behavior);
    let body = http::read_body(req.into_body()).await.map_err(|_| Abort)?;
    if !expected.is_empty() && expected != shared.id {
        return Ok(not_run(&shared, StatusCode::MISDIRECTED_REQUEST));
    }
    if behavior == Behavior::Rejects {
        return Ok(not_run(&shared, StatusCode::SERVICE_UNAVAILABLE));
    }
    lock(&shared.runs).push(Run {
        at: Instant::now(),
        request_id: request_id.clone(),
        headers: headers.clone(),
        target,
        body,
    });
    let running = Running::new(&shared);
    if behavior == Behavior::Hangs {
        std::future::pending::<()>().await;
    }
    let is_stream = headers.contains_key("currantbend-token-counts");
    let mut res = if is_stream {
        let after = http::header(&headers, "last-event-id").parse().unwrap_or(0);
        head(&shared, StatusCode::OK, events(running, behavior, after))
    } else {
        tokio::time::sleep(shared.work).await;
        match behavior {
            Behavior::Breaks(_) => return Err(Abort),
            Behavior::Fails => head(
                &shared,
                StatusCode::INTERNAL_SERVER_ERROR,
                http::full("failed"),
            ),
            _ => head(
                &shared,
                StatusCode::OK,
                http::full(format!("run by {}", shared.id)),
            ),
        }
    };
    let echoed = if behavior == Behavior::WrongRequestId {
        "another"
    } else {
        &request_id
    };
    http::set_header(&mut res, "currantbend-request-id", echoed);
    if behavior != Behavior::OmitsSignature {
        http::set_header(
            &mut res,
            "currantbend-response-seal",
            &format!("{}.1", shared.id),
        );
    }
    Ok(res)
}

/// Streams the events after number `after`; each arrives in two pieces, so that pieces and events differ.
fn events(running: Running, behavior: Behavior, after: u64) -> ResponseBody {
    let (tx, body) = http::channel(1);
    tokio::spawn(async move {
        let _running = running;
        for number in after + 1..=EVENTS {
            let made = number - after - 1;
            match behavior {
                Behavior::Breaks(most) if made >= most => {
                    // A reader that left needs no abort.
                    let _ = tx.send(Err(Abort)).await;
                    return;
                }
                Behavior::Stalls(most) if made >= most => {
                    tx.closed().await;
                    return;
                }
                _ => {}
            }
            let pieces = [
                format!("id: {number}\ndata: to"),
                format!("ken {number}\n\n"),
            ];
            for piece in pieces {
                if tx.send(Ok(Bytes::from(piece))).await.is_err() {
                    return;
                }
            }
            tokio::time::sleep(EVENT_GAP).await;
        }
    });
    body
}
