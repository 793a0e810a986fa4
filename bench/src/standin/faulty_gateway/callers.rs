//! The proxy before a faulty gateway: what it changes is what callers send and read.

use async_trait::async_trait;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use super::Fault;
use super::Proxy;
use super::store::TIMEOUT_FACTOR;
use crate::http;
use crate::http::Abort;
use crate::http::HandlerResult;
use crate::truth::lock;

/// Of this number of requests that a fault may strike, it strikes one.
const STRIKE_EVERY: usize = 3;
/// Number of times that a request is sent again without a reason.
const FURTHER_SENDS: usize = 8;
/// Number of the event that is left out or repeated, from 1.
const WRONG_EVENT: usize = 2;
/// Time after which a request is sent whose caller has left.
const LATE: Duration = Duration::from_millis(900);
/// Time for which an answer is held back.
const HOLD: Duration = Duration::from_secs(3);
const DEADLINE: &str = "currantbend-deadline-ms";
const SEAL: &str = "currantbend-response-seal";
const TOKEN_COUNTS: &str = "currantbend-token-counts";

pub(super) struct CallersProxy {
    gateway: SocketAddr,
    faults: Vec<Fault>,
    /// Number of requests that a fault might have struck.
    candidates: AtomicUsize,
    /// The plain answer before.
    last_answer: Mutex<Bytes>,
}

/// A request whose body has been read.
#[derive(Clone)]
struct Whole {
    head: Parts,
    body: Bytes,
}

impl Whole {
    fn is_stream(&self) -> bool {
        self.head.headers.contains_key(TOKEN_COUNTS)
    }

    fn is_plain_post(&self) -> bool {
        !self.is_stream() && self.head.method == Method::POST
    }

    fn is_repeatable(&self) -> bool {
        !self.is_stream()
            && (self.head.method == Method::GET || self.head.uri.path().starts_with("/safe/"))
    }

    async fn send(&self, to: SocketAddr) -> Result<Response<Incoming>, Abort> {
        let req = Request::from_parts(self.head.clone(), Full::new(self.body.clone()));
        let mut sender = http::connect(to).await.map_err(|_| Abort)?;
        sender.send_request(req).await.map_err(|_| Abort)
    }

    /// Sends it for nobody.
    async fn send_in_vain(&self, to: SocketAddr) {
        if let Ok(res) = self.send(to).await {
            let _ = http::read_body(res.into_body()).await;
        }
    }
}

/// Sends a request once more if it is dropped before the answer's head came, as it is when the caller leaves.
struct SentLate {
    gateway: SocketAddr,
    req: Option<Whole>,
}

impl Drop for SentLate {
    fn drop(&mut self) {
        let Some(req) = self.req.take() else {
            return;
        };
        let gateway = self.gateway;
        tokio::spawn(async move {
            tokio::time::sleep(LATE).await;
            req.send_in_vain(gateway).await;
        });
    }
}

impl CallersProxy {
    pub(super) fn new(gateway: SocketAddr, faults: &[Fault]) -> Self {
        Self {
            gateway,
            faults: faults.to_vec(),
            candidates: AtomicUsize::new(0),
            last_answer: Mutex::default(),
        }
    }

    /// Returns the fault of these that strikes the next request.
    fn draw(&self, possible: &[Fault]) -> Option<Fault> {
        let own = self.faults.iter().filter(|it| possible.contains(it));
        let own: Vec<Fault> = own.copied().collect();
        if own.is_empty() {
            return None;
        }
        let number = self.candidates.fetch_add(1, Relaxed);
        let is_struck = number.is_multiple_of(STRIKE_EVERY);
        is_struck.then(|| own[number / STRIKE_EVERY % own.len()])
    }

    /// Returns the fault that strikes a request.
    fn fault_of(&self, req: &Whole) -> Option<Fault> {
        let mut possible = Vec::new();
        if req.is_stream() {
            possible.extend([Fault::DropEvent, Fault::RepeatEvent, Fault::ChangeHeader]);
        } else {
            possible.extend([Fault::CutAnswer, Fault::OtherAnswer, Fault::DropSeal]);
            possible.extend([Fault::HoldAnswer, Fault::ChangePath]);
        }
        if req.is_plain_post() {
            possible.extend([Fault::RunTwice, Fault::FalseRefusal, Fault::DropRequest]);
        }
        self.draw(&possible)
    }

    fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// Passes the answer to a stream on, which a fault may change.
    fn stream(fault: Option<Fault>, res: Response<Incoming>) -> HandlerResult {
        let (mut head, mut body) = res.into_parts();
        let (tx, passed) = http::channel(1);
        let mut events = match fault {
            Some(fault @ (Fault::DropEvent | Fault::RepeatEvent)) => {
                head.headers.remove(CONTENT_LENGTH);
                Some(Events::new(fault))
            }
            _ => None,
        };
        tokio::spawn(async move {
            loop {
                let frame = tokio::select! {
                    frame = body.frame() => frame,
                    () = tx.closed() => return,
                };
                let bytes = match frame {
                    Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                    Some(Err(_)) => {
                        let _ = tx.send(Err(Abort)).await;
                        return;
                    }
                    None => break,
                };
                let bytes = match &mut events {
                    Some(events) => events.change(&bytes),
                    None => bytes,
                };
                if tx.send(Ok(bytes)).await.is_err() {
                    return;
                }
            }
            if let Some(events) = events {
                // A caller that has left needs no rest.
                let _ = tx.send(Ok(events.close())).await;
            }
        });
        Ok(Response::from_parts(head, passed))
    }

    /// Passes a plain answer on, which a fault may change.
    async fn plain(&self, fault: Option<Fault>, res: Response<Incoming>) -> HandlerResult {
        let (mut head, body) = res.into_parts();
        let mut body = http::read_body(body).await.map_err(|_| Abort)?;
        if head.status == StatusCode::OK {
            let before = std::mem::replace(&mut *lock(&self.last_answer), body.clone());
            match fault {
                Some(Fault::CutAnswer) => body.truncate(body.len() / 2),
                Some(Fault::OtherAnswer) if !before.is_empty() => body = before,
                Some(Fault::FalseRefusal) => {
                    let mut res = http::empty(StatusCode::SERVICE_UNAVAILABLE);
                    http::set_header(&mut res, "retry-after", "1");
                    return Ok(res);
                }
                Some(Fault::DropRequest) => return Err(Abort),
                Some(Fault::DropSeal) => {
                    head.headers.remove(SEAL);
                }
                Some(Fault::HoldAnswer) => tokio::time::sleep(HOLD).await,
                _ => {}
            }
        }
        head.headers.remove(CONTENT_LENGTH);
        Ok(Response::from_parts(head, http::full(body)))
    }
}

#[async_trait]
impl Proxy for CallersProxy {
    async fn pass(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        let (head, body) = req.into_parts();
        let body = http::read_body(body).await.map_err(|_| Abort)?;
        let mut req = Whole { head, body };
        let fault = self.fault_of(&req);
        match fault {
            Some(Fault::ChangePath) => {
                let path = format!("{}/changed", req.head.uri);
                req.head.uri = path.parse().map_err(|_| Abort)?;
            }
            Some(Fault::ChangeHeader) => {
                let changed = HeaderValue::from_static("7,7");
                req.head.headers.insert(TOKEN_COUNTS, changed);
            }
            Some(Fault::RunTwice) => req.send_in_vain(self.gateway).await,
            _ => {}
        }
        if self.has(Fault::ExtendDeadline) {
            let ms: u64 = http::header(&req.head.headers, DEADLINE)
                .parse()
                .unwrap_or(0);
            let extended = HeaderValue::from(ms * TIMEOUT_FACTOR);
            req.head.headers.insert(DEADLINE, extended);
        }
        if self.has(Fault::Retry) && req.is_repeatable() {
            for _ in 0..FURTHER_SENDS {
                req.send_in_vain(self.gateway).await;
            }
        }
        let mut late = SentLate {
            gateway: self.gateway,
            req: self.has(Fault::SendLate).then(|| req.clone()),
        };
        let res = req.send(self.gateway).await;
        late.req = None;
        let res = res?;
        if req.is_stream() {
            Self::stream(fault, res)
        } else {
            self.plain(fault, res).await
        }
    }
}

/// The events of a stream, one of which is left out or repeated.
pub(super) struct Events {
    fault: Fault,
    count: usize,
    /// The part of an event that has come.
    part: BytesMut,
}

impl Events {
    pub(super) fn new(fault: Fault) -> Self {
        Self {
            fault,
            count: 0,
            part: BytesMut::new(),
        }
    }

    /// Returns the whole events that end with `bytes`, as the fault changes them.
    pub(super) fn change(&mut self, bytes: &[u8]) -> Bytes {
        self.part.extend_from_slice(bytes);
        let mut changed = BytesMut::new();
        while let Some(end) = self.part.windows(2).position(|it| it == b"\n\n") {
            let event = self.part.split_to(end + 2);
            self.count += 1;
            let times = match (self.count == WRONG_EVENT, self.fault) {
                (true, Fault::DropEvent) => 0,
                (true, _) => 2,
                (false, _) => 1,
            };
            for _ in 0..times {
                changed.extend_from_slice(&event);
            }
        }
        changed.freeze()
    }

    /// Returns what has come of an event without an end.
    pub(super) fn close(self) -> Bytes {
        self.part.freeze()
    }
}
