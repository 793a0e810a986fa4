//! What this node knows of each backend server's load and health.

use super::dialect::ServerLoad;
use crate::catalog::BackendServer;
use crate::clock::Moment;
use crate::decide::Health;
use crate::decide::HealthPolicy;
use crate::decide::RunResult;
use crate::peers::LoadEntry;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Age up to which a server's own report of its load is used: some runs' length, beyond which others began and ended.
const REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Age up to which the loads of other nodes are used: some unanswered questions to the relay.
const OTHERS_AGE: Duration = Duration::from_millis(2_000);

/// Weight of the newest of four loads a second in their moving mean, which then looks back about a second.
const USUAL_GAIN: f64 = 0.25;
/// Time without any sign of a server that has work after which it gets none: twice the longest prompt of the sheets,
/// and nearly twice the longest plain call.
const SILENCE_LIMIT: Duration = Duration::from_millis(800);
/// Time after which a server that joined holds what it is the home of: most parts are asked for several times in it.
const YOUNG_FOR: Duration = Duration::from_secs(12);

#[derive(Clone, Copy, Debug)]
struct Report {
    load: u32,
    own_then: u32,
    at: Moment,
}

#[derive(Clone, Debug, Default)]
struct Row {
    id: String,
    born_ms: u64,
    service: String,
    own: u32,
    report: Option<Report>,
    others: Option<(u32, Moment)>,
    /// Moving mean of the load.
    usual: f64,
    /// Since when requests have waited there without any sign of the server.
    unanswered_since: Option<Moment>,
    /// When it joined the servers that were known already.
    joined: Option<Moment>,
    health: Health,
}

/// Loads of all servers that were ever placed on.
#[derive(Clone, Default)]
pub(super) struct Loads {
    rows: Arc<Mutex<Vec<Row>>>,
    policy: HealthPolicy,
}

/// One request at a server, counted until it is dropped.
pub(super) struct Place {
    loads: Loads,
    id: String,
    born_ms: u64,
}

/// Load and standing of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Standing {
    pub(super) load: u32,
    pub(super) usual: f64,
    pub(super) is_aside: bool,
    pub(super) is_young: bool,
}

impl Loads {
    /// Gives load and standing of each of `servers`, in their order.
    pub(super) fn standings(&self, servers: &[BackendServer], now: Moment) -> Vec<Standing> {
        let rows = self.lock();
        let standing = |server: &BackendServer| {
            let at = rows.binary_search_by(|row| row.id.as_str().cmp(&server.id));
            let row = at.ok().map(|at| &rows[at]);
            row.filter(|row| row.born_ms == server.entry.start_time_ms)
                .map_or_else(Standing::default, |row| row.standing(now))
        };
        servers.iter().map(standing).collect()
    }

    /// Counts a request that is about to be sent to `server`.
    pub(super) fn begin(&self, server: &BackendServer) -> Place {
        let mut rows = self.lock();
        let row = row_of(&mut rows, server);
        row.own += 1;
        row.unanswered_since = row.unanswered_since.or(Some(Moment::now()));
        Place {
            loads: self.clone(),
            id: server.id.clone(),
            born_ms: server.entry.start_time_ms,
        }
    }

    /// Gives this node's own requests by server, sorted.
    pub(super) fn own(&self) -> Vec<LoadEntry> {
        self.lock()
            .iter()
            .filter(|row| row.own > 0)
            .map(|row| LoadEntry {
                server: row.id.clone(),
                in_flight: row.own,
            })
            .collect()
    }

    /// Takes in the requests of all other nodes together, sorted by server; a server that is not named has none.
    pub(super) fn note_others(&self, others: &[LoadEntry]) {
        let now = Moment::now();
        for row in self.lock().iter_mut() {
            let found = others.binary_search_by(|entry| entry.server.cmp(&row.id));
            row.others = Some((found.map_or(0, |at| others[at].in_flight), now));
            row.usual += (f64::from(row.load(now)) - row.usual) * USUAL_GAIN;
        }
    }

    /// Makes a row for each server that has none, so that the loads of other nodes find it.
    pub(super) fn know(&self, servers: &[BackendServer]) {
        let mut rows = self.lock();
        let is_first = rows.is_empty();
        for server in servers {
            let row = row_of(&mut rows, server);
            if is_first {
                // These were there before this node; nothing tells that they are new.
                row.joined = None;
            }
        }
    }

    /// Forgets servers that `is_known` doesn't name and that nothing runs at.
    pub(super) fn prune(&self, is_known: &dyn Fn(&str) -> bool) {
        self.lock().retain(|row| row.own > 0 || is_known(&row.id));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Row>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Finds the row of a server's present incarnation, or makes one.
fn row_of<'a>(rows: &'a mut Vec<Row>, server: &BackendServer) -> &'a mut Row {
    let at = match rows.binary_search_by(|row| row.id.as_str().cmp(&server.id)) {
        Ok(at) => at,
        Err(at) => {
            rows.insert(at, Row::default());
            at
        }
    };
    let row = &mut rows[at];
    if row.id.is_empty() || row.born_ms != server.entry.start_time_ms {
        // Nothing that was known of an earlier incarnation holds for this one.
        *row = Row {
            id: server.id.clone(),
            born_ms: server.entry.start_time_ms,
            service: server.entry.service.clone(),
            joined: Some(Moment::now()),
            ..Row::default()
        };
    }
    row
}

impl Row {
    fn standing(&self, now: Moment) -> Standing {
        Standing {
            load: self.load(now),
            // A node's own calls are known at once; the rest is known four times a second.
            usual: self.usual.max(f64::from(self.own)),
            is_aside: self.health.is_suspended(now) || self.is_silent(now),
            is_young: self
                .joined
                .is_some_and(|joined| now.since(joined) < YOUNG_FOR),
        }
    }

    fn is_silent(&self, now: Moment) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) > SILENCE_LIMIT)
    }

    /// Own requests and those of the other nodes where these are known, else what the server itself told.
    fn load(&self, now: Moment) -> u32 {
        let others = self.others.filter(|(_, at)| now.since(*at) < OTHERS_AGE);
        if let Some((others, _)) = others {
            return others + self.own;
        }
        let reported = self
            .report
            .filter(|report| now.since(report.at) < REPORT_AGE)
            .map_or(0, |report| {
                (report.load + self.own).saturating_sub(report.own_then)
            });
        reported.max(self.own)
    }
}

impl Place {
    /// Notes that bytes came from the server.
    pub(super) fn note_sign(&self) {
        self.with_row(|row| row.unanswered_since = Some(Moment::now()));
    }

    /// Takes in the load that the server told with an answer.
    pub(super) fn note_load(&self, load: ServerLoad) {
        self.with_row(|row| {
            row.report = Some(Report {
                load: load.running + load.waiting,
                own_then: row.own,
                at: Moment::now(),
            });
        });
    }

    /// Takes in how a request at the server ended; returns for how long the server is set aside, if it is.
    pub(super) fn note_result(&self, result: RunResult) -> Option<Duration> {
        let mut rows = self.loads.lock();
        let at = rows
            .binary_search_by(|row| row.id.as_str().cmp(&self.id))
            .ok()?;
        if rows[at].born_ms != self.born_ms {
            return None;
        }
        let service = &rows[at].service;
        let others = rows
            .iter()
            .filter(|row| &row.service == service && row.id != self.id);
        let (count, sum) = others.fold((0u32, 0.0), |(count, sum), row| {
            (count + 1, sum + row.health.failure_rate())
        });
        let mean = if count > 0 {
            sum / f64::from(count)
        } else {
            0.0
        };
        rows[at]
            .health
            .record(result, mean, Moment::now(), &self.loads.policy)
    }

    fn with_row(&self, change: impl FnOnce(&mut Row)) {
        let mut rows = self.loads.lock();
        if let Ok(at) = rows.binary_search_by(|row| row.id.as_str().cmp(&self.id))
            && rows[at].born_ms == self.born_ms
        {
            change(&mut rows[at]);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let is_silent = {
            let now = Moment::now();
            let mut is_silent = false;
            self.with_row(|row| is_silent = row.is_silent(now));
            is_silent
        };
        if is_silent {
            // The caller left, or the time was over, without any sign of the server.
            self.note_result(RunResult::Silent);
        }
        self.with_row(|row| {
            row.own = row.own.saturating_sub(1);
            if row.own == 0 {
                row.unanswered_since = None;
            }
        });
    }
}
