//! Polls owned backend servers for their load reports, in one background task.

use super::Owner;
use super::backend_state::BackendState;
use super::owned::OwnedBackend;
use crate::border::BackendError;
use crate::border::generated::backend::LoadReport;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::task::JoinHandle;

/// Interval between polls of a backend server whose load is not known yet.
const UNKNOWN_LOAD_INTERVAL: Duration = Duration::from_millis(50);

/// Handle of the polling task.
pub struct LoadPoller(JoinHandle<()>);

impl LoadPoller {
    /// Starts polling the backend servers that `owner` owns.
    pub fn start(owner: Arc<Owner>) -> Self {
        Self(tokio::spawn(poll(owner)))
    }

    /// Stops polling.
    pub fn close(self) {
        self.0.abort();
    }
}

async fn poll(owner: Arc<Owner>) {
    let mut last_round = Instant::now();
    loop {
        let is_due = last_round.elapsed() >= owner.settings.poll_interval;
        if is_due {
            last_round = Instant::now();
        }
        for owned in owner.update_owned().iter() {
            if is_due || !owner.is_load_known(owned) {
                // Each poll runs in its own task, so that an unresponsive server does not delay the others.
                tokio::spawn(poll_one(Arc::clone(&owner), owned.clone()));
            }
        }
        let interval = owner.settings.poll_interval;
        tokio::time::sleep(interval.min(UNKNOWN_LOAD_INTERVAL)).await;
    }
}

async fn poll_one(owner: Arc<Owner>, owned: OwnedBackend) {
    let backend_state = owner.backend_state(&owned.backend.name);
    if backend_state.begin_poll() {
        fetch_report(&owner, &owned, &backend_state).await;
        backend_state.end_poll();
    }
}

async fn fetch_report(owner: &Owner, owned: &OwnedBackend, backend_state: &BackendState) {
    let asked = Instant::now();
    let Ok(report) = fetch_load(owner, owned).await else {
        return;
    };
    let age = Duration::from_millis(report.age_ms) + asked.elapsed();
    let load = report.running + report.waiting;
    backend_state.record_report(load, age);
}

async fn fetch_load(owner: &Owner, owned: &OwnedBackend) -> Result<LoadReport, BackendError> {
    let address = owned.backend.address;
    if owned.backend.is_engine {
        owner.backends.engine(address).load().await
    } else {
        owner.backends.service(address).load().await
    }
}
