//! The platform's host list, in memory; readers see each change only after a configurable lag.

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

/// The running host list service.
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
    /// Starts with an empty list whose changes become visible after `lag`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: SocketAddr, lag: Duration) -> io::Result<HostListService> {
        let first = HostList {
            hosts: Vec::new(),
            version: 0,
        };
        let shared = Arc::new(Shared {
            list: Mutex::new(Lagged::new(lag, first)),
            down: AtomicBool::new(false),
        });
        let handler_shared = shared.clone();
        let handler = Arc::new(
            move |req: Request<Incoming>| -> BoxFuture<'static, HandlerResult> {
                let response = handler_shared.respond(&req);
                Box::pin(async move { response })
            },
        );
        let server = Server::start(listen, handler).await?;
        Ok(HostListService { server, shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Inserts a host, or replaces the one with the same name.
    pub fn set(&self, host: Host) {
        self.shared.update(|hosts| {
            match hosts.binary_search_by(|other| other.name.cmp(&host.name)) {
                Ok(i) => hosts[i] = host,
                Err(i) => hosts.insert(i, host),
            }
        });
    }

    /// Removes the host with this name.
    pub fn remove(&self, name: &str) {
        self.shared
            .update(|hosts| hosts.retain(|host| host.name != name));
    }

    /// Sets whether all requests are refused with status 503.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Relaxed);
    }

    /// Stops at once and aborts all connections.
    pub async fn close(self) {
        self.server.abort().await;
    }
}

impl Shared {
    fn respond(&self, req: &Request<Incoming>) -> HandlerResult {
        if self.down.load(Relaxed) {
            return Ok(http::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        if req.uri().path() != "/hosts" {
            return Ok(http::empty(StatusCode::NOT_FOUND));
        }
        let mut list = lock(&self.list);
        let visible = list.visible();
        let etag = format!("\"{}\"", visible.version);
        let if_none_match = req.headers().get(IF_NONE_MATCH);
        if if_none_match.is_some_and(|if_none_match| if_none_match.as_bytes() == etag.as_bytes()) {
            return Ok(http::empty(StatusCode::NOT_MODIFIED));
        }
        Ok(http::json(StatusCode::OK, visible))
    }

    fn update(&self, f: impl FnOnce(&mut Vec<Host>)) {
        let mut list = lock(&self.list);
        let mut next = list.newest().clone();
        f(&mut next.hosts);
        next.version += 1;
        list.set(next);
    }
}
