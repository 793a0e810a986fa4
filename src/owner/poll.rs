//! Asks owned backend servers for their own view of their load, one task.

use super::Owner;
use super::owned::OwnedBackend;
use crate::border::BackendError;
use crate::border::generated::backend::LoadReport;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::task::JoinHandle;

/// The task that polls.
pub struct LoadPoller(JoinHandle<()>);

impl LoadPoller {
    /// Starts to ask each backend server that `owner` owns.
    pub fn start(owner: Arc<Owner>) -> Self {
        Self(tokio::spawn(poll(owner)))
    }

    /// Stops asking.
    pub fn close(self) {
        self.0.abort();
    }
}

async fn poll(owner: Arc<Owner>) {
    loop {
        for owned in owner.owned_now().iter() {
            // One that is silent must not hold up the others.
            tokio::spawn(poll_one(Arc::clone(&owner), owned.clone()));
        }
        tokio::time::sleep(owner.settings.poll_interval).await;
    }
}

async fn poll_one(owner: Arc<Owner>, owned: OwnedBackend) {
    let asked = Instant::now();
    let Ok(report) = load(&owner, &owned).await else {
        return;
    };
    let age = Duration::from_millis(report.age_ms) + asked.elapsed();
    let load = report.running + report.waiting;
    owner.slot(&owned.backend.name).report(load, age);
}

async fn load(owner: &Owner, owned: &OwnedBackend) -> Result<LoadReport, BackendError> {
    let address = owned.backend.address;
    if owned.backend.is_engine {
        owner.backends.engine(address).load().await
    } else {
        owner.backends.service(address).load().await
    }
}
