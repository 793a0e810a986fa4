//! What this node learns of callers and services for turning requests away in time.

use crate::decide::AdmissionRequest;
use crate::decide::CallerRetryDetector;
use crate::decide::ServiceLoad;
use crate::decide::ServiceStats;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

#[derive(Debug, Default)]
struct State {
    arrivals: CallerRetryDetector,
    /// By service, sorted.
    services: Vec<(String, ServiceStats)>,
}

impl State {
    fn service(&mut self, service: &str) -> &mut ServiceStats {
        let found = self
            .services
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            let log = ServiceStats::default();
            self.services.insert(at, (service.to_owned(), log));
            at
        });
        &mut self.services[at].1
    }
}

/// Times that callers announce, by route, and times at servers, by service.
#[derive(Debug, Default)]
pub(super) struct Crowds {
    state: Mutex<State>,
}

impl Crowds {
    /// Notes a caller's time, and tells whether it was turned away before.
    pub(super) fn is_return(&self, route: &str, time_left: Option<Duration>) -> bool {
        time_left.is_some_and(|left| self.lock().arrivals.detect_retry(route, left))
    }

    /// Notes that a server of `service` took `took` for a request and was `fill` times as full as its slots before.
    pub(super) fn note_time(&self, service: &str, took: Duration, fill: f64) {
        self.lock()
            .service(service)
            .record_response_time(took, fill);
    }

    /// Notes a request of `route` for `service`, and gives how crowded that is at a usual load of `fill` times its slots.
    pub(super) fn crowd(
        &self,
        route: &str,
        service: &str,
        fill: f64,
        call: &AdmissionRequest,
    ) -> ServiceLoad {
        let mut state = self.lock();
        let return_share = state.arrivals.retry_share(route);
        let log = state.service(service);
        log.record_request(call);
        log.service_load(fill, return_share)
    }

    /// Forgets routes and services that are no longer known.
    pub(super) fn prune(&self, is_route: &dyn Fn(&str) -> bool, is_service: &dyn Fn(&str) -> bool) {
        let state = &mut *self.lock();
        state.arrivals.prune(is_route);
        state.services.retain(|(name, _)| is_service(name));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
