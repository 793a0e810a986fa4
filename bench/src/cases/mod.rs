//! The test cases. Each case adjusts the options of a fleet and its load, and applies faults while the load runs.
//!
//! A run may combine several cases, which apply their faults at the same time, because faults in production also
//! coincide.

mod config;
mod membership;
mod once;
mod routing;
mod run;
mod steady;
mod timeline;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;

use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::load::CallRecord;
use crate::load::LoadOptions;

pub use self::run::RunError;
pub use self::run::run;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Duration of the load, during which callers start calls.
    pub load_for: Duration,
    /// Options of the fleet.
    pub fleet: FleetOptions,
    /// Options of the load. Its seed and teams are replaced by those of the fleet.
    pub load: LoadOptions,
}

impl Default for RunOptions {
    fn default() -> RunOptions {
        let mut fleet = FleetOptions::default();
        fleet.engine.max_batch = 32;
        fleet.engine.token_ms = 12;
        RunOptions {
            load_for: Duration::from_secs(20),
            fleet,
            load: LoadOptions::default(),
        }
    }
}

/// Context of a case during a run.
pub struct CaseContext<'a> {
    /// The running fleet.
    pub fleet: &'a Fleet,
    /// Start of the load.
    pub started: Instant,
    /// End of the load.
    pub until: Instant,
    /// Seed of the run.
    pub seed: u64,
}

impl CaseContext<'_> {
    /// Sleeps for `pause`, but not beyond the end of the load. Returns whether the load is still running.
    pub async fn pause(&self, pause: Duration) -> bool {
        let left = self.until.saturating_duration_since(Instant::now());
        tokio::time::sleep(pause.min(left)).await;
        Instant::now() < self.until
    }

    /// Waits until the given share of the load's duration has passed.
    pub async fn wait_until_share(&self, share: f64) {
        let at = self.started
            + self
                .until
                .saturating_duration_since(self.started)
                .mul_f64(share);
        tokio::time::sleep(at.saturating_duration_since(Instant::now())).await;
    }
}

/// Results that a case itself adds to the report.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Number of times that accepted configuration reverted.
    pub reverted: u64,
    /// Descriptions of conditions that were not met.
    pub failures: Vec<String>,
    /// Additional figures, by name.
    pub figures: BTreeMap<&'static str, f64>,
}

impl Findings {
    /// Records an additional figure.
    pub fn record_figure(&mut self, name: &'static str, value: f64) {
        self.figures.insert(name, value);
    }
}

/// A test case.
#[async_trait]
pub trait Case: Send + Sync {
    /// Returns the name of the case on the command line.
    fn name(&self) -> &'static str;

    /// Returns a description of the case in one line.
    fn description(&self) -> &'static str;

    /// Changes the options of the run before the fleet is started.
    fn options(&self, _options: &mut RunOptions) {}

    /// Applies the faults while the load runs. The run waits until it returns, so it must return soon after the end of
    /// the load.
    async fn apply_faults(&self, _cx: &CaseContext<'_>) -> Findings {
        Findings::default()
    }

    /// Checks the records of the calls after the load.
    fn check_calls(&self, _calls: &[CallRecord]) -> Findings {
        Findings::default()
    }

    /// Checks the fleet after the load, before it is closed.
    async fn check_fleet(&self, _cx: &CaseContext<'_>) -> Findings {
        Findings::default()
    }
}

/// Returns all cases, grouped by module.
pub fn all() -> Vec<Box<dyn Case>> {
    let modules = [
        steady::cases(),
        routing::cases(),
        once::cases(),
        membership::cases(),
        config::cases(),
        timeline::cases(),
    ];
    modules.into_iter().flatten().collect()
}

/// Returns the cases with the given names, which are separated by commas.
///
/// # Errors
///
/// Returns the first name that is unknown or repeated.
pub fn pick(names: &str) -> Result<Vec<Box<dyn Case>>, String> {
    let mut known = all();
    let mut picked = Vec::new();
    for name in names.split(',').map(str::trim) {
        let index = known
            .iter()
            .position(|case| case.name() == name)
            .ok_or_else(|| name.to_owned())?;
        picked.push(known.remove(index));
    }
    Ok(picked)
}
