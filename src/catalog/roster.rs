//! The list of backend servers, built from the reports that the servers send about themselves.

use crate::clock::BootInstant;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// A backend server's report about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServerEntry {
    /// Name of the service that it provides.
    pub service: String,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Version of its software; `None` in an entry received from a gateway that doesn't pass versions on.
    #[serde(default)]
    pub software_version: Option<String>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining: it finishes its requests and takes no new ones.
    pub is_draining: bool,
    /// Remaining warm-up time, during which the server is slow after its start.
    pub cold_left: Duration,
    /// Sequence number of the report, counted since the server's start.
    pub sequence: u64,
    /// Unix time of its start in milliseconds; distinguishes incarnations of a server that use the same name.
    #[serde(rename = "born_ms")]
    pub start_time_ms: u64,
}

/// Latest start of a server that is believed, in milliseconds of Unix time: the year 2100.
const MAX_START_TIME_MS: u64 = 4_102_444_800_000;
/// Maximum number of slots, so that the sum over all servers of a fleet fits the counts.
const MAX_SLOTS: u32 = 65_535;
/// Maximum remaining warm-up time.
const MAX_COLD_LEFT: Duration = Duration::from_secs(24 * 3_600);
/// Maximum length of a name, in bytes; the store's keys have no more.
const MAX_NAME_BYTES: usize = 255;
/// Number of reports by which a delayed copy may be older than the newest one, some minutes of them. An older report is not late,
/// but the newest one was not the server's own.
const MAX_DELAYED_REPORTS: u64 = 64;

/// A record of the server list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServerRecord {
    /// A report of the server.
    Report(ServerEntry),
    /// The server was removed from the list.
    Removed,
    /// The record cannot be used, for the given reason.
    Unusable(String),
}

impl ServerRecord {
    /// Returns the record of the server called `id`, or an unusable one if it names a server that can't exist.
    pub fn checked(self, id: &str) -> Self {
        match self {
            Self::Report(entry) => match entry.check(id) {
                Ok(()) => Self::Report(entry),
                Err(cause) => Self::Unusable(cause.to_owned()),
            },
            other => other,
        }
    }
}

/// A backend server with its name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Name of the server on the list.
    pub id: String,
    /// Its newest report.
    pub entry: ServerEntry,
}

/// The newest report of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportStatus {
    /// Unix time of the server's start in milliseconds.
    pub start_time_ms: u64,
    /// Sequence number of the report.
    pub sequence: u64,
    /// Whether it is on the list now.
    pub is_listed: bool,
}

/// A backend server on a peer's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerServer {
    /// The server with the newest report that the peer has.
    pub server: BackendServer,
    /// End of the server's grace period at the peer, if it is in one.
    pub grace_until: Option<BootInstant>,
}

/// Status of a server on the list.
#[derive(Clone, Debug)]
enum ServerStatus {
    Listed,
    /// Missing from the list after a gap in its reads; stays usable until `until` because the entry may merely have
    /// expired.
    InGracePeriod {
        until: BootInstant,
    },
    Removed,
    /// The newest record cannot be used, for the given reason.
    Unusable(String),
}

/// A server with its newest report.
#[derive(Clone, Debug)]
struct Row {
    id: String,
    entry: Option<ServerEntry>,
    status: ServerStatus,
    /// Report of a process that started earlier than the known one, if nothing has come from that since.
    earlier: Option<EarlierReport>,
}

/// A report that is a delayed copy, unless the clock of the server's host was set back before the server started again.
#[derive(Clone, Debug)]
struct EarlierReport {
    entry: ServerEntry,
    /// When the first one was read.
    since: BootInstant,
}

/// All servers sorted by name, including recently removed ones.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    rows: Vec<Row>,
}

/// Maximum number of removed servers that are remembered, so that delayed copies of their reports are recognized and
/// ignored.
const MAX_REMOVED_ROWS: usize = 512;

impl Roster {
    /// Applies one record. `grace_until` is set while entries may be missing although their servers still run.
    ///
    /// Returns whether anything changed that matters for the choice of servers.
    pub fn apply(
        &mut self,
        id: &str,
        record: ServerRecord,
        grace_until: Option<BootInstant>,
        read_at: BootInstant,
    ) -> bool {
        match self.rows.binary_search_by(|row| row.id.as_str().cmp(id)) {
            Ok(index) => self.rows[index].update(record, grace_until, read_at),
            Err(index) => self.insert(index, id, record),
        }
    }

    /// Takes over a server from a peer's list that was read later than this one; returns whether anything changed that
    /// matters for the choice of servers.
    ///
    /// The server's grace period is the peer's too: whether it reports again or leaves is known there first.
    pub fn apply_peer_server(&mut self, peer: PeerServer, read_at: BootInstant) -> bool {
        let PeerServer {
            server: BackendServer { id, entry },
            grace_until,
        } = peer;
        let status = match grace_until {
            Some(until) => ServerStatus::InGracePeriod { until },
            None => ServerStatus::Listed,
        };
        match self.rows.binary_search_by(|row| row.id.cmp(&id)) {
            Ok(index) => self.rows[index].take_over(entry, status, read_at),
            Err(index) => {
                let row = Row {
                    id,
                    entry: Some(entry),
                    status,
                    earlier: None,
                };
                self.rows.insert(index, row);
                true
            }
        }
    }

    /// Adds a row at `index` for a server that has none, and returns whether the server is now listed.
    fn insert(&mut self, index: usize, id: &str, record: ServerRecord) -> bool {
        let (entry, status) = match record {
            ServerRecord::Report(entry) => (Some(entry), ServerStatus::Listed),
            // Remembered so that it is logged once.
            ServerRecord::Unusable(cause) => (None, ServerStatus::Unusable(cause)),
            // No report of this server is known, so there is nothing to remember.
            ServerRecord::Removed => return false,
        };
        let row = Row {
            id: id.to_owned(),
            entry,
            status,
            earlier: None,
        };
        let is_listed = row.listed().is_some();
        self.rows.insert(index, row);
        is_listed
    }

    /// Removes every server missing from `names`, the sorted names of the complete list: at `grace_until` if it is set,
    /// otherwise at once. Returns the names of the servers that changed.
    pub fn keep_only(&mut self, names: &[String], grace_until: Option<BootInstant>) -> Vec<String> {
        let mut removed = Vec::new();
        for row in &mut self.rows {
            let is_named = names.binary_search(&row.id).is_ok();
            let before = row.clone();
            if !is_named {
                row.remove(grace_until);
            }
            if row.differs(&before) {
                removed.push(row.id.clone());
            }
        }
        removed
    }

    /// Applies the reports of earlier processes that the list, last read at `read_at`, has had for longer than `max_age`, in
    /// which a later process would have reported again. Returns the names of their servers.
    pub fn accept_earlier(&mut self, read_at: BootInstant, max_age: Duration) -> Vec<String> {
        let mut accepted = Vec::new();
        for row in &mut self.rows {
            let is_kept = |earlier: &EarlierReport| read_at.since(earlier.since) > max_age;
            if row.earlier.as_ref().is_some_and(is_kept)
                && let Some(earlier) = row.earlier.take()
            {
                row.entry = Some(earlier.entry);
                row.status = ServerStatus::Listed;
                accepted.push(row.id.clone());
            }
        }
        accepted
    }

    /// Removes the servers whose grace period is over and returns their names. Also limits how many removed servers are
    /// remembered; those with the lowest names are forgotten first.
    pub fn expire(&mut self, now: BootInstant) -> Vec<String> {
        let mut expired = Vec::new();
        for row in &mut self.rows {
            if matches!(row.status, ServerStatus::InGracePeriod { until } if until <= now) {
                row.status = ServerStatus::Removed;
                expired.push(row.id.clone());
            }
        }
        let is_removed = |row: &Row| matches!(row.status, ServerStatus::Removed);
        // Without a report, a copy can't be told from the server's first one.
        self.rows
            .retain(|row| !is_removed(row) || row.entry.is_some());
        let mut surplus = self
            .rows
            .iter()
            .filter(|row| is_removed(row))
            .count()
            .saturating_sub(MAX_REMOVED_ROWS);
        self.rows.retain(|row| {
            let is_dropped = surplus > 0 && is_removed(row);
            surplus -= usize::from(is_dropped);
            !is_dropped
        });
        expired
    }

    /// Returns what is known of the newest report of server `id`.
    pub fn report_of(&self, id: &str) -> Option<ReportStatus> {
        let index = self.rows.binary_search_by(|row| row.id.as_str().cmp(id));
        let row = &self.rows[index.ok()?];
        let entry = row.entry.as_ref()?;
        Some(ReportStatus {
            start_time_ms: entry.start_time_ms,
            sequence: entry.sequence,
            is_listed: matches!(row.status, ServerStatus::Listed),
        })
    }

    /// Returns whether another process than the known one has reported as server `id` since the last report of that.
    pub fn has_earlier(&self, id: &str) -> bool {
        let index = self.rows.binary_search_by(|row| row.id.as_str().cmp(id));
        index.is_ok_and(|index| self.rows[index].earlier.is_some())
    }

    /// Returns why the newest record of server `id` cannot be used; `None` if it can.
    pub fn unusable_cause(&self, id: &str) -> Option<&str> {
        let index = self.rows.binary_search_by(|row| row.id.as_str().cmp(id));
        match &self.rows[index.ok()?].status {
            ServerStatus::Unusable(cause) => Some(cause),
            _ => None,
        }
    }

    /// Returns the number of servers whose newest record cannot be used.
    pub fn unusable_count(&self) -> usize {
        let is_unusable = |row: &&Row| matches!(row.status, ServerStatus::Unusable(_));
        self.rows.iter().filter(is_unusable).count()
    }

    /// Returns the servers in their grace period, sorted by name, with the ends of these periods.
    pub fn grace_ends(&self) -> Vec<(String, BootInstant)> {
        let end = |row: &Row| Some((row.id.clone(), row.grace_until()?));
        self.rows.iter().filter_map(end).collect()
    }

    /// Returns the servers on the list and those in their grace period, draining ones included, sorted by name.
    pub fn listed(&self) -> Vec<BackendServer> {
        let server = |row: &Row| {
            let entry = row.listed()?.clone();
            Some(BackendServer {
                id: row.id.clone(),
                entry,
            })
        };
        self.rows.iter().filter_map(server).collect()
    }
}

impl Row {
    /// Applies a record and returns whether anything changed that matters for the choice of servers, here or at a peer
    /// that holds a copy of the list.
    fn update(
        &mut self,
        record: ServerRecord,
        grace_until: Option<BootInstant>,
        read_at: BootInstant,
    ) -> bool {
        let before = self.clone();
        match record {
            ServerRecord::Report(entry) => self.apply_report(entry, read_at),
            ServerRecord::Removed => self.remove(grace_until),
            // A server in its grace period stays usable until the period ends.
            ServerRecord::Unusable(cause) => {
                if matches!(
                    self.status,
                    ServerStatus::Listed | ServerStatus::Unusable(_)
                ) {
                    self.status = ServerStatus::Unusable(cause);
                }
            }
        }
        self.differs(&before)
    }

    /// Takes over a peer's report and status, unless the report is a delayed copy; returns whether anything changed, as
    /// [`Self::update`] does.
    fn take_over(
        &mut self,
        entry: ServerEntry,
        status: ServerStatus,
        read_at: BootInstant,
    ) -> bool {
        let is_removed = matches!(self.status, ServerStatus::Removed);
        if self.is_delayed(&entry, is_removed) {
            self.record_earlier(entry, read_at);
            return false;
        }
        let row = Row {
            id: self.id.clone(),
            entry: Some(entry),
            status,
            earlier: None,
        };
        let before = std::mem::replace(self, row);
        self.differs(&before)
    }

    /// Returns whether the rows differ in whether the server is listed or in its grace period, or in more of its report
    /// than the sequence number.
    fn differs(&self, other: &Self) -> bool {
        let differs = match (self.listed(), other.listed()) {
            (Some(own), Some(other)) => own.differs(other),
            (own, other) => own.is_some() != other.is_some(),
        };
        // A peer that has read the removal itself needs to know that the server has reported again.
        differs || self.grace_until().is_some() != other.grace_until().is_some()
    }

    /// Returns the end of the server's grace period if it is in one.
    fn grace_until(&self) -> Option<BootInstant> {
        match self.status {
            ServerStatus::InGracePeriod { until } => Some(until),
            _ => None,
        }
    }

    /// Returns the server's report if the server is on the list or in its grace period.
    fn listed(&self) -> Option<&ServerEntry> {
        let is_listed = matches!(
            self.status,
            ServerStatus::Listed | ServerStatus::InGracePeriod { .. }
        );
        self.entry.as_ref().filter(|_| is_listed)
    }

    /// Applies a report, unless it is a delayed copy: older than the newest known one, or the same one although the
    /// server was removed in the meantime.
    fn apply_report(&mut self, entry: ServerEntry, read_at: BootInstant) {
        let is_removed = matches!(
            self.status,
            ServerStatus::Removed | ServerStatus::InGracePeriod { .. }
        );
        if self.is_delayed(&entry, is_removed) {
            self.record_earlier(entry, read_at);
        } else {
            self.status = ServerStatus::Listed;
            self.entry = Some(entry);
            self.earlier = None;
        }
    }

    /// Remembers a report that is taken for a delayed copy, if another process wrote it than the known one.
    fn record_earlier(&mut self, entry: ServerEntry, read_at: BootInstant) {
        let known = self.entry.as_ref();
        if known.is_some_and(|known| entry.start_time_ms < known.start_time_ms) {
            let since = self
                .earlier
                .as_ref()
                .map_or(read_at, |earlier| earlier.since);
            self.earlier = Some(EarlierReport { entry, since });
        }
    }

    /// Returns whether `entry` is older than the newest known report or, if `is_removed`, the same one.
    fn is_delayed(&self, entry: &ServerEntry, is_removed: bool) -> bool {
        let order = |entry: &ServerEntry| (entry.start_time_ms, entry.sequence);
        self.entry.as_ref().is_some_and(|known| {
            let is_far_behind = entry.start_time_ms == known.start_time_ms
                && known.sequence.saturating_sub(entry.sequence) > MAX_DELAYED_REPORTS;
            (order(entry) < order(known) && !is_far_behind)
                || (is_removed && order(entry) == order(known))
        })
    }

    /// Removes the server, at once or at the end of the grace period.
    fn remove(&mut self, grace_until: Option<BootInstant>) {
        self.earlier = None;
        if matches!(
            self.status,
            ServerStatus::Listed | ServerStatus::Unusable(_)
        ) {
            self.status = match grace_until {
                Some(until) => ServerStatus::InGracePeriod { until },
                None => ServerStatus::Removed,
            };
        }
    }
}

impl ServerEntry {
    /// Checks that the server called `id` can exist. Another writer may leave an entry that decodes, with values that no server
    /// has; it must not displace the server's own reports, nor count in sums.
    pub(super) fn check(&self, id: &str) -> Result<(), &'static str> {
        let is_name = |name: &str| name.len() <= MAX_NAME_BYTES;
        let texts = [&self.service, &self.data_centre];
        let version = self.software_version.as_deref().unwrap_or_default();
        if id.is_empty() || !is_name(id) || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
            Err("name that no request can carry")
        } else if self.service.is_empty() || !texts.into_iter().all(|text| is_name(text)) {
            Err("service or data centre without a valid name")
        } else if !is_name(version) {
            Err("software version too long")
        } else if self.address.port() == 0
            || self.address.ip().is_unspecified()
            || self.address.ip().is_multicast()
        {
            Err("address that is no host's")
        } else if self.slots > MAX_SLOTS {
            Err("too many slots")
        } else if self.cold_left > MAX_COLD_LEFT {
            Err("warm-up time too long")
        } else if self.start_time_ms > MAX_START_TIME_MS {
            Err("start in the far future")
        } else {
            Ok(())
        }
    }

    /// Returns whether the reports differ in more than their sequence number.
    fn differs(&self, other: &Self) -> bool {
        let mut other = other.clone();
        other.sequence = self.sequence;
        *self != other
    }
}
