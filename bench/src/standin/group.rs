//! The live engines of one service in this process, with the actual mean of their loads.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering::Relaxed;

use crate::truth::lock;

/// The engines of one service.
#[derive(Debug)]
pub struct EngineGroup {
    service: String,
    members: Mutex<Vec<Arc<Member>>>,
}

/// An engine in its group: its load and whether it is draining.
#[derive(Debug, Default)]
pub struct Member {
    load: AtomicU32,
    draining: AtomicBool,
}

/// Loads at the instant at which an engine accepted a request, including that request.
#[derive(Clone, Copy, Debug)]
pub struct Loads {
    /// Load of the engine that accepted the request.
    pub own_load: u32,
    /// Mean load of the live engines, without those that are draining.
    pub mean_load: f64,
    /// Number of live engines, without those that are draining.
    pub live_count: u32,
}

impl EngineGroup {
    /// Creates a group without engines.
    pub fn new(service: &str) -> Arc<EngineGroup> {
        Arc::new(EngineGroup {
            service: service.to_owned(),
            members: Mutex::new(Vec::new()),
        })
    }

    /// Returns the name of the service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns the mean load of the live engines that are not draining, and their number.
    pub fn mean(&self) -> (f64, u32) {
        mean(&lock(&self.members))
    }

    pub(super) fn join(&self) -> Arc<Member> {
        let member = Arc::new(Member::default());
        lock(&self.members).push(member.clone());
        member
    }

    pub(super) fn leave(&self, member: &Arc<Member>) {
        lock(&self.members).retain(|other| !Arc::ptr_eq(other, member));
    }

    /// Counts a request. The lock makes the load and the mean consistent with each other.
    pub(super) fn accept_request(&self, member: &Member) -> Loads {
        let members = lock(&self.members);
        let own_load = member.load.fetch_add(1, Relaxed) + 1;
        let (mean_load, live_count) = mean(&members);
        Loads {
            own_load,
            mean_load,
            live_count,
        }
    }
}

impl Member {
    /// Returns the number of running and waiting requests.
    pub fn load(&self) -> u32 {
        self.load.load(Relaxed)
    }

    pub(super) fn finish_request(&self) {
        self.load.fetch_sub(1, Relaxed);
    }

    pub(super) fn set_draining(&self) {
        self.draining.store(true, Relaxed);
    }
}

fn mean(members: &[Arc<Member>]) -> (f64, u32) {
    let live = members
        .iter()
        .filter(|member| !member.draining.load(Relaxed));
    let (sum, n) = live.fold((0, 0u32), |(sum, n), member| (sum + member.load(), n + 1));
    (f64::from(sum) / f64::from(n.max(1)), n)
}
