//! The cases: each one sets up a fleet and a load and applies its faults while the load runs. Several cases at once
//! apply their faults together, because faults come together.

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

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Time during which callers start calls.
    pub load_for: Duration,
    /// The fleet.
    pub fleet: FleetOptions,
    /// The load; its seed and teams are set from the fleet's.
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

/// What a case's faults get to work with.
pub struct CaseContext<'a> {
    /// The fleet.
    pub fleet: &'a Fleet,
    /// Start of the load.
    pub started: Instant,
    /// Time at which the load ends.
    pub until: Instant,
    /// Seed of the run.
    pub seed: u64,
}

impl CaseContext<'_> {
    /// Waits, and tells whether the load still goes on.
    pub async fn pause(&self, pause: Duration) -> bool {
        let left = self.until.saturating_duration_since(Instant::now());
        tokio::time::sleep(pause.min(left)).await;
        Instant::now() < self.until
    }

    /// Waits until the given share of the load's time has passed.
    pub async fn wait_until_share(&self, share: f64) {
        let at = self.started
            + self
                .until
                .saturating_duration_since(self.started)
                .mul_f64(share);
        tokio::time::sleep(at.saturating_duration_since(Instant::now())).await;
    }
}

/// What a case found out by itself.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Accepted configuration that was seen to revert.
    pub reverted: u64,
    /// Conditions that were not met.
    pub failures: Vec<String>,
    /// Figures of the case's own, by name.
    pub figures: BTreeMap<&'static str, f64>,
}

impl Findings {
    /// Notes a figure of the case's own.
    pub fn record_figure(&mut self, name: &'static str, value: f64) {
        self.figures.insert(name, value);
    }
}

/// One case.
#[async_trait]
pub trait Case: Send + Sync {
    /// Name on the command line.
    fn name(&self) -> &'static str;

    /// What the case is about, in one line.
    fn description(&self) -> &'static str;

    /// Changes the run's options before the fleet starts.
    fn options(&self, _options: &mut RunOptions) {}

    /// Applies the faults while the load runs; ends with it.
    async fn apply_faults(&self, _cx: &CaseContext<'_>) -> Findings {
        Findings::default()
    }

    /// Looks at what callers got.
    fn check_calls(&self, _calls: &[CallRecord]) -> Findings {
        Findings::default()
    }

    /// Looks at the fleet after the load, before it is closed.
    async fn check_fleet(&self, _cx: &CaseContext<'_>) -> Findings {
        Findings::default()
    }
}

/// All cases, in the order of their slices.
pub fn all() -> Vec<Box<dyn Case>> {
    let slices = [
        steady::cases(),
        routing::cases(),
        once::cases(),
        membership::cases(),
        config::cases(),
        timeline::cases(),
    ];
    slices.into_iter().flatten().collect()
}

/// Picks the cases with the given names, separated by commas.
///
/// # Errors
///
/// Returns the first name that no case has.
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
