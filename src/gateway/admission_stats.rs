//! Statistics on callers and services from which admission control decides which requests to reject.

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
    /// By service name, sorted.
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

/// The time left that callers announce, by route, and the time that servers take, by service.
#[derive(Debug, Default)]
pub(super) struct AdmissionStats {
    state: Mutex<State>,
}

impl AdmissionStats {
    /// Records the time left that a caller announced, and returns whether the request seems to be a retry after a
    /// rejection.
    pub(super) fn record_arrival(&self, route: &str, time_left: Option<Duration>) -> bool {
        time_left.is_some_and(|left| self.lock().arrivals.detect_retry(route, left))
    }

    /// Records that a server of `service` took `took` for a request; its load before was `load_per_slot` times its
    /// slots.
    pub(super) fn record_time(&self, service: &str, took: Duration, load_per_slot: f64) {
        self.lock()
            .service(service)
            .record_response_time(took, load_per_slot);
    }

    /// Records a request of `route` for `service`, and returns the load of the service, whose smoothed load is
    /// `load_per_slot` times its slots.
    pub(super) fn record_request(
        &self,
        route: &str,
        service: &str,
        load_per_slot: f64,
        call: &AdmissionRequest,
    ) -> ServiceLoad {
        let mut state = self.lock();
        let return_share = state.arrivals.retry_share(route);
        let log = state.service(service);
        log.record_request(call);
        log.service_load(load_per_slot, return_share)
    }

    /// Removes routes and services that are no longer in the configuration.
    pub(super) fn prune(&self, is_route: &dyn Fn(&str) -> bool, is_service: &dyn Fn(&str) -> bool) {
        let state = &mut *self.lock();
        state.arrivals.prune(is_route);
        state.services.retain(|(name, _)| is_service(name));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
