//! Asks owned backend servers for their own view of their load, one task.

use super::Owner;
use super::owned::OwnedBackend;
use super::slots::Slot;
use crate::border::BackendError;
use crate::border::generated::backend::LoadReport;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::task::JoinHandle;

/// Time between two questions to a backend server whose load is not known yet.
const UNKNOWN_INTERVAL: Duration = Duration::from_millis(50);

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
    let mut last = Instant::now();
    loop {
        let is_due = last.elapsed() >= owner.settings.poll_interval;
        if is_due {
            last = Instant::now();
        }
        for owned in owner.owned_now().iter() {
            if is_due || !owner.is_load_known(owned) {
                // One that is silent must not hold up the others.
                tokio::spawn(poll_one(Arc::clone(&owner), owned.clone()));
            }
        }
        let interval = owner.settings.poll_interval;
        tokio::time::sleep(interval.min(UNKNOWN_INTERVAL)).await;
    }
}

async fn poll_one(owner: Arc<Owner>, owned: OwnedBackend) {
    let slot = owner.slot(&owned.backend.name);
    if slot.ask() {
        ask(&owner, &owned, &slot).await;
        slot.asked();
    }
}

async fn ask(owner: &Owner, owned: &OwnedBackend, slot: &Slot) {
    let asked = Instant::now();
    let Ok(report) = load(owner, owned).await else {
        return;
    };
    let age = Duration::from_millis(report.age_ms) + asked.elapsed();
    let load = report.running + report.waiting;
    slot.report(load, age);
}

async fn load(owner: &Owner, owned: &OwnedBackend) -> Result<LoadReport, BackendError> {
    let address = owned.backend.address;
    if owned.backend.is_engine {
        owner.backends.engine(address).load().await
    } else {
        owner.backends.service(address).load().await
    }
}
