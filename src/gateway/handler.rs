//! A caller's request from the connection to its exchange, and an answer in any case.

use super::answer::Refusal;
use super::attempt::Outbound;
use super::crowds::Crowds;
use super::dialect::Ask;
use super::dialect::Dialect;
use super::exchange::Exchange;
use super::headers::strip_connection;
use super::loads::Loads;
use super::meters::Meters;
use super::pool::Pool;
use super::report::Report;
use crate::catalog::Catalog;
use crate::catalog::Limits;
use crate::catalog::Route;
use crate::clock::Moment;
use crate::decide::Admission;
use crate::decide::DrainPolicy;
use crate::decide::EnginePlacement;
use crate::decide::PlainPlacement;
use crate::decide::RetryBudget;
use crate::decide::RetryPolicy;
use crate::logs::Logs;
use crate::net::Body;
use crate::net::CollectError;
use crate::net::Handler;
use crate::net::collect;
use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use tokio::time::Instant;

/// Bytes of a body before a configuration tells the limit.
const BODY_BYTES_UNCONFIGURED: usize = 4 * 1024 * 1024;

/// What the operator may change while the gateway runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    pub(super) retry: RetryPolicy,
    pub(super) leave: DrainPolicy,
}

/// Everything that the tasks of a gateway share.
pub(super) struct Gateway {
    pub(super) data_centre: String,
    pub(super) catalog: Arc<Catalog>,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) logs: Logs,
    pub(super) meters: Arc<Meters>,
    pub(super) pool: Pool,
    pub(super) loads: Loads,
    pub(super) budgets: Mutex<Vec<(String, RetryBudget)>>,
    pub(super) terms: Mutex<Terms>,
    pub(super) crowds: Crowds,
    /// Nodes that share the fixed part of the budget of repeats.
    pub(super) nodes: OnceLock<Arc<dyn Fn() -> u32 + Send + Sync>>,
    pub(super) engines: EnginePlacement,
    pub(super) plain: PlainPlacement,
    pub(super) admission: Admission,
    /// Set once the node has been asked to stop.
    pub(super) leaving_since: OnceLock<Moment>,
}

#[async_trait]
impl Handler for Caller {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        Arc::clone(&self.0).answer(req).await
    }
}

/// Serves the callers' address.
pub(super) struct Caller(pub(super) Arc<Gateway>);

impl Gateway {
    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let ask = self.dialect.read_ask(req.headers());
        let request_id = ask.request_id.clone().unwrap_or_default();
        let mut report = Report::new(&self, &request_id);
        let result = match self.receive(req, ask, &request_id, &mut report).await {
            Ok((outbound, ask)) => Exchange::admit(&self, outbound, ask, report),
            Err(refusal) => Err(Box::new((refusal, report))),
        };
        let (refusal, mut report) = match result {
            Ok(exchange) => match exchange.run().await {
                Ok(response) => return response,
                Err(failed) => *failed,
            },
            Err(failed) => *failed,
        };
        let outcome = match refusal.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => "refused",
            status if status.is_client_error() => "denied",
            _ => "failed",
        };
        let cause = if refusal.detail.is_empty() {
            refusal.cause.to_owned()
        } else {
            format!("{}: {}", refusal.cause, refusal.detail)
        };
        report.end(refusal.status, outcome, &cause);
        refusal.answer(|headers| self.dialect.mark_own(headers, &request_id))
    }

    /// Reads the whole request, so that whatever is answered, the connection can go on.
    async fn receive(
        &self,
        req: Request<Incoming>,
        ask: Ask,
        request_id: &str,
        report: &mut Report,
    ) -> Result<(Outbound, Ask), Refusal> {
        let limits = self
            .catalog
            .configuration()
            .map(|configuration| configuration.limits());
        let most = limits.map_or(BODY_BYTES_UNCONFIGURED, |limits: Limits| limits.body_bytes);
        let (head, body) = req.into_parts();
        let body = match collect(body, most).await {
            Ok(body) => body,
            Err(CollectError::TooLarge) => {
                return Err(Refusal::new(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body too large",
                ));
            }
            Err(CollectError::Lost(err)) => {
                return Err(Refusal::new(StatusCode::BAD_REQUEST, "body incomplete")
                    .detail(err.to_string()));
            }
        };
        report.began = report.began.min(Instant::now());
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let target = target.to_owned();
        let mut headers = head.headers;
        strip_connection(&mut headers);
        let outbound = Outbound {
            method: head.method,
            target,
            headers,
            body,
            request_id: request_id.to_owned(),
        };
        Ok((outbound, ask))
    }

    /// Tells whether a request can be served before this node is gone.
    pub(super) fn takes(&self, route: &Route, now: Moment) -> bool {
        self.leaving_since.get().is_none_or(|since| {
            self.terms().leave.accepts(
                now.since(*since),
                route.retry_mode.is_stream(),
                route.timeout,
            )
        })
    }

    pub(super) fn terms(&self) -> Terms {
        *self.terms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Goes by other terms from now on; repeats of the past still count.
    pub(super) fn set_terms(&self, terms: Terms) {
        *self.terms.lock().unwrap_or_else(PoisonError::into_inner) = terms;
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, budget) in budgets.iter_mut() {
            budget.set_policy(terms.retry);
        }
    }

    pub(super) fn with_budget<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let at = match budgets.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let budget = RetryBudget::new(self.terms().retry);
                budgets.insert(at, (service.to_owned(), budget));
                at
            }
        };
        act(&mut budgets[at].1)
    }
}
