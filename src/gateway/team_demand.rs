//! What teams ask of services: this gateway's counts, and which teams are heavy in the whole fleet.

use crate::clock::BootInstant;
use crate::decide::HeavyTeam;
use crate::decide::RateWindow;
use crate::peers::ServiceTeams;
use crate::peers::TeamRequests;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Maximum age of what is known of heavy teams, the time that a few sync requests to the relay take.
const MAX_AGE: Duration = Duration::from_millis(2_000);

#[derive(Debug)]
struct Row {
    service: String,
    team: String,
    requests: RateWindow,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by service and team.
    rows: Vec<Row>,
    /// Heavy teams by service, sorted by its name, and when they were received.
    heavy: Option<(Vec<ServiceTeams>, BootInstant)>,
}

/// Counts callers' requests by service and team.
#[derive(Debug)]
pub(super) struct TeamDemand {
    is_enabled: bool,
    state: Mutex<State>,
}

impl TeamDemand {
    pub(super) fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            state: Mutex::default(),
        }
    }

    /// Counts a request of `team` for `service`.
    pub(super) fn record(&self, service: &str, team: Option<&str>, now: BootInstant) {
        let Some(team) = team.filter(|_| self.is_enabled) else {
            return;
        };
        let mut state = self.lock();
        let found = state.rows.binary_search_by(|row| {
            (row.service.as_str(), row.team.as_str()).cmp(&(service, team))
        });
        let index = found.unwrap_or_else(|index| {
            let row = Row {
                service: service.to_owned(),
                team: team.to_owned(),
                requests: RateWindow::default(),
            };
            state.rows.insert(index, row);
            index
        });
        state.rows[index].requests.record(now);
    }

    /// Returns the requests of the counted time, and forgets teams without any.
    pub(super) fn own_requests(&self) -> Vec<TeamRequests> {
        let now = BootInstant::now();
        let mut state = self.lock();
        let counts = state.rows.iter_mut().map(|row| TeamRequests {
            service: row.service.clone(),
            team: row.team.clone(),
            requests: row.requests.count(now),
        });
        let counts: Vec<TeamRequests> = counts.filter(|row| row.requests > 0).collect();
        state.rows.retain_mut(|row| row.requests.count(now) > 0);
        counts
    }

    /// Records which teams are heavy in the whole fleet.
    pub(super) fn record_heavy(&self, heavy: Vec<ServiceTeams>) {
        self.lock().heavy = Some((heavy, BootInstant::now()));
    }

    /// Returns the heavy teams of `service`; none if nothing is known that is recent.
    pub(super) fn heavy(&self, service: &str, now: BootInstant) -> Vec<HeavyTeam> {
        let state = self.lock();
        let recent = state.heavy.as_ref();
        let recent = recent.filter(|(_, at)| now.since(*at) < MAX_AGE);
        let found = recent.and_then(|(heavy, _)| {
            let index = heavy.binary_search_by(|known| known.service.as_str().cmp(service));
            index.ok().map(|index| heavy[index].teams.clone())
        });
        found.unwrap_or_default()
    }

    /// Returns all that is known of heavy teams and is recent, for the page and metrics.
    pub(super) fn all_heavy(&self, now: BootInstant) -> Vec<ServiceTeams> {
        let state = self.lock();
        let recent = state.heavy.as_ref();
        let recent = recent.filter(|(_, at)| now.since(*at) < MAX_AGE);
        recent.map(|(heavy, _)| heavy.clone()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
