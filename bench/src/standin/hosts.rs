//! The platform's host list, which shows each change some lag after it was made.

use futures_util::future::BoxFuture;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::IF_NONE_MATCH;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::http;
use crate::http::HandlerResult;
use crate::http::Server;
use crate::standin::lagged::Lagged;
use crate::truth::lock;
use crate::wire::platform::Host;
use crate::wire::platform::HostList;

/// The running host list.
#[derive(Debug)]
pub struct HostListService {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    list: Mutex<Lagged<HostList>>,
    down: AtomicBool,
}

impl HostListService {
    /// Starts with an empty list that shows changes after `lag`.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    pub async fn start(listen: SocketAddr, lag: Duration) -> io::Result<HostListService> {
        let first = HostList {
            hosts: Vec::new(),
            version: 0,
        };
        let shared = Arc::new(Shared {
            list: Mutex::new(Lagged::new(lag, first)),
            down: AtomicBool::new(false),
        });
        let handling = shared.clone();
        let handler = Arc::new(
            move |req: Request<Incoming>| -> BoxFuture<'static, HandlerResult> {
                let answer = handling.answer(&req);
                Box::pin(async move { answer })
            },
        );
        let server = Server::start(listen, handler).await?;
        Ok(HostListService { server, shared })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Inserts a host, or replaces the one of its name.
    pub fn set(&self, host: Host) {
        self.shared.change(|hosts| {
            match hosts.binary_search_by(|other| other.name.cmp(&host.name)) {
                Ok(i) => hosts[i] = host,
                Err(i) => hosts.insert(i, host),
            }
        });
    }

    /// Removes the host of a name.
    pub fn remove(&self, name: &str) {
        self.shared
            .change(|hosts| hosts.retain(|host| host.name != name));
    }

    /// Answers 503 while set.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Relaxed);
    }

    /// Stops it at once.
    pub async fn close(self) {
        self.server.abort().await;
    }
}

impl Shared {
    fn answer(&self, req: &Request<Incoming>) -> HandlerResult {
        if self.down.load(Relaxed) {
            return Ok(http::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        if req.uri().path() != "/hosts" {
            return Ok(http::empty(StatusCode::NOT_FOUND));
        }
        let mut list = lock(&self.list);
        let seen = list.seen();
        let tag = format!("\"{}\"", seen.version);
        let known = req.headers().get(IF_NONE_MATCH);
        if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            return Ok(http::empty(StatusCode::NOT_MODIFIED));
        }
        Ok(http::json(StatusCode::OK, seen))
    }

    fn change(&self, f: impl FnOnce(&mut Vec<Host>)) {
        let mut list = lock(&self.list);
        let mut next = list.newest().clone();
        f(&mut next.hosts);
        next.version += 1;
        list.set(next);
    }
}
