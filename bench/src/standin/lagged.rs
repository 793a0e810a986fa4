//! A value that is seen some time after it changed.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The versions of a value, of which readers see the one that was in force `lag` ago.
#[derive(Debug)]
pub struct Lagged<T> {
    lag: Duration,
    versions: VecDeque<(Instant, T)>,
}

impl<T> Lagged<T> {
    /// Starts with one version, seen at once.
    pub fn new(lag: Duration, first: T) -> Lagged<T> {
        Lagged {
            lag,
            versions: VecDeque::from([(Instant::now(), first)]),
        }
    }

    /// Sets a new version, seen after the lag.
    pub fn set(&mut self, value: T) {
        self.prune();
        self.versions.push_back((Instant::now(), value));
    }

    /// The newest version, not seen by readers yet.
    pub fn newest(&self) -> &T {
        let newest = self.versions.back();
        &newest.expect("there is always one version").1
    }

    /// The version that readers see now.
    pub fn seen(&mut self) -> &T {
        self.prune();
        &self.versions[0].1
    }

    /// Drops the versions that a newer one has replaced in the readers' eyes.
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
