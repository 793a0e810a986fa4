//! A value whose changes become visible to readers after a lag.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The latest versions of a value; readers see the one that was the newest `lag` ago.
#[derive(Debug)]
pub struct Lagged<T> {
    lag: Duration,
    versions: VecDeque<(Instant, T)>,
}

impl<T> Lagged<T> {
    /// Creates a value whose first version is visible at once.
    pub fn new(lag: Duration, first: T) -> Lagged<T> {
        Lagged {
            lag,
            versions: VecDeque::from([(Instant::now(), first)]),
        }
    }

    /// Sets a new version, which becomes visible after the lag.
    pub fn set(&mut self, value: T) {
        self.prune();
        self.versions.push_back((Instant::now(), value));
    }

    /// Returns the newest version, which readers may not see yet.
    pub fn newest(&self) -> &T {
        let newest = self.versions.back();
        &newest.expect("there is always one version").1
    }

    /// Returns the version that readers see now.
    pub fn visible(&mut self) -> &T {
        self.prune();
        &self.versions[0].1
    }

    /// Drops the versions before the visible one.
    fn prune(&mut self) {
        let now = Instant::now();
        while self
            .versions
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= self.lag)
        {
            self.versions.pop_front();
        }
    }
}
