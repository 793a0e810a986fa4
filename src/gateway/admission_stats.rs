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
    retry_detector: CallerRetryDetector,
    /// By service name, sorted.
    services: Vec<(String, ServiceStats)>,
}

impl State {
    fn service(&mut self, service: &str) -> &mut ServiceStats {
        let found = self
            .services
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        let index = found.unwrap_or_else(|index| {
            let stats = ServiceStats::default();
            self.services.insert(index, (service.to_owned(), stats));
            index
        });
        &mut self.services[index].1
    }
}

/// The time left that callers announce, by route; requests and response times, by service.
#[derive(Debug, Default)]
pub(super) struct AdmissionStats {
    state: Mutex<State>,
}

impl AdmissionStats {
    /// Records how long a caller still waits for a response, as it announced, and returns whether the request seems to
    /// be a retry after a rejection.
    pub(super) fn detect_retry(&self, route: &str, time_left: Option<Duration>) -> bool {
        time_left.is_some_and(|time_left| self.lock().retry_detector.detect_retry(route, time_left))
    }

    /// Records the time that a server of `service` took to respond; `load_per_slot` is its load before the send, in
    /// multiples of its slots.
    pub(super) fn record_response_time(&self, service: &str, time: Duration, load_per_slot: f64) {
        self.lock()
            .service(service)
            .record_response_time(time, load_per_slot);
    }

    /// Records a request of `route` for `service` and returns the load of the service; `load_per_slot` is the smoothed
    /// load of its servers, in multiples of their slots.
    pub(super) fn record_request(
        &self,
        route: &str,
        service: &str,
        load_per_slot: f64,
        request: &AdmissionRequest<'_>,
    ) -> ServiceLoad {
        let mut state = self.lock();
        let retry_share = state.retry_detector.retry_share(route);
        let stats = state.service(service);
        stats.record_request(request);
        stats.service_load(load_per_slot, retry_share)
    }

    /// Returns the load of the service like [`Self::record_request`], without recording a request.
    pub(super) fn service_load(
        &self,
        route: &str,
        service: &str,
        load_per_slot: f64,
    ) -> ServiceLoad {
        let state = self.lock();
        let retry_share = state.retry_detector.retry_share(route);
        let found = state
            .services
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        let stats = found.map_or_else(|_| ServiceStats::default(), |index| state.services[index].1);
        stats.service_load(load_per_slot, retry_share)
    }

    /// Removes routes and services that are no longer in the configuration.
    pub(super) fn prune(&self, is_route: &dyn Fn(&str) -> bool, is_service: &dyn Fn(&str) -> bool) {
        let state = &mut *self.lock();
        state.retry_detector.prune(is_route);
        state.services.retain(|(name, _)| is_service(name));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
