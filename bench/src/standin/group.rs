//! All live engines of one service in this process, for the true mean of their loads.

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

/// One engine's place in its group.
#[derive(Debug, Default)]
pub struct Member {
    load: AtomicU32,
    draining: AtomicBool,
}

/// Loads at the moment at which an engine took up a request, with that request.
#[derive(Clone, Copy, Debug)]
pub struct Loads {
    /// The engine's own load.
    pub own: u32,
    /// Mean over the live engines.
    pub mean: f64,
    /// Number of live engines.
    pub live: u32,
}

impl EngineGroup {
    /// A group without engines.
    pub fn new(service: &str) -> Arc<EngineGroup> {
        Arc::new(EngineGroup {
            service: service.to_owned(),
            members: Mutex::new(Vec::new()),
        })
    }

    /// Name of the service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Mean load over the engines that live and aren't leaving, and their number.
    pub fn mean(&self) -> (f64, u32) {
        mean(&lock(&self.members))
    }

    pub(super) fn join(&self) -> Arc<Member> {
        let member = Arc::new(Member::default());
        lock(&self.members).push(member.clone());
        member
    }

    pub(super) fn part(&self, member: &Arc<Member>) {
        lock(&self.members).retain(|other| !Arc::ptr_eq(other, member));
    }

    /// Counts a request; the lock keeps loads and mean of one moment.
    pub(super) fn take_up(&self, member: &Member) -> Loads {
        let members = lock(&self.members);
        let own = member.load.fetch_add(1, Relaxed) + 1;
        let (mean, live) = mean(&members);
        Loads { own, mean, live }
    }
}

impl Member {
    /// Requests that run and wait.
    pub fn load(&self) -> u32 {
        self.load.load(Relaxed)
    }

    pub(super) fn finish(&self) {
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
