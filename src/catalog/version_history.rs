//! The software versions that served each service recently.

use super::roster::BackendServer;
use super::roster::ServerEntry;
use crate::clock::BootInstant;
use std::time::Duration;

/// Time for which a software version that is no longer listed is remembered.
pub const VERSION_MEMORY: Duration = Duration::from_secs(600);

/// Time for which a server that has left the list may still be given streams and serve them, beyond that in which a stream
/// lasts: servers that leave go on serving for many seconds, and gateways that can't read the list go on using them.
pub const SERVING_AFTER_LEAVING: Duration = Duration::from_secs(30);

/// Time for which gateways are told of a version after it has left the list: that in which it counts, for streams of some minutes.
const TELLING_TIME: Duration = Duration::from_secs(150);

/// Name of a service and a software version of it; `None` if the version is unknown.
pub type ServiceVersion = (String, Option<String>);

/// A software version that servers of a service have or had.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeenVersion {
    /// Name of the service.
    pub service: String,
    /// The version; `None` if it is unknown.
    pub software_version: Option<String>,
    /// Time until which a server of this version was listed.
    pub last_listed_at: BootInstant,
}

/// The software version of all servers of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OnlyVersion {
    /// The version.
    pub software_version: String,
    /// Time since which no other one is known to have been listed.
    pub since: BootInstant,
}

/// The software versions on the server list since a point in time.
///
/// A stream goes on only at the software version that began it (`docs/PLATFORM.md`). Where a service has had a single
/// version for longer than any stream lasts, that is the version of each of its streams.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Time since which the list has been followed without a gap; `None` before its first read.
    known_since: Option<BootInstant>,
    /// Versions of the listed servers, sorted, each once.
    listed: Vec<ServiceVersion>,
    /// Versions that no listed server has any more.
    former: Vec<SeenVersion>,
}

impl VersionHistory {
    /// Records that the list has been followed only since `read_at`: it was read for the first time, or after a gap in
    /// which servers may have come and gone.
    pub fn restart(&mut self, read_at: BootInstant) {
        self.known_since = Some(read_at);
    }

    /// Records a server's report, which may be followed by its removal before the list is next recorded.
    pub fn record_report(&mut self, entry: &ServerEntry, now: BootInstant) {
        let version = (entry.service.clone(), entry.software_version.clone());
        if self.listed.binary_search(&version).is_err() {
            let (service, software_version) = version;
            self.former.push(SeenVersion {
                service,
                software_version,
                last_listed_at: now,
            });
            self.forget(now);
        }
    }

    /// Records the servers that are listed from `now` on. `told` says when versions that have left meanwhile did so, as far as a peer
    /// knows that.
    pub fn record_list(
        &mut self,
        servers: &[BackendServer],
        told: &[SeenVersion],
        now: BootInstant,
    ) {
        let version = |server: &BackendServer| {
            let entry = &server.entry;
            (entry.service.clone(), entry.software_version.clone())
        };
        let mut listed: Vec<ServiceVersion> = servers.iter().map(version).collect();
        listed.sort();
        listed.dedup();
        for (service, software_version) in std::mem::replace(&mut self.listed, listed) {
            let mut told = told.iter().filter(|told| {
                told.service == service && told.software_version == software_version
            });
            let last_listed_at = told.next().map_or(now, |told| told.last_listed_at);
            self.former.push(SeenVersion {
                service,
                software_version,
                last_listed_at,
            });
        }
        self.forget(now);
    }

    /// Adds what a peer knows: it has followed the list since `known_since` until its read at `read_at`, and `versions` are those
    /// that it has seen there, each with the time at which it was last listed. Has no effect before the first read of the list, and
    /// if servers may have come and gone between the peer's read and the first one here.
    pub fn adopt(
        &mut self,
        (known_since, read_at): (BootInstant, BootInstant),
        versions: Vec<SeenVersion>,
        now: BootInstant,
    ) {
        let has_gap = |own: BootInstant| read_at < own;
        self.known_since = self.known_since.map(|own| {
            if has_gap(own) {
                own
            } else {
                own.min(known_since)
            }
        });
        self.former.extend(versions);
        self.forget(now);
    }

    /// Returns the versions of the listed servers with their services, sorted, each once.
    pub fn listed(&self) -> &[ServiceVersion] {
        &self.listed
    }

    /// Returns the time since which the list has been followed without a gap, if it has been read.
    pub fn known_since(&self) -> Option<BootInstant> {
        self.known_since
    }

    /// Returns the versions that left the list.
    pub fn former(&self) -> &[SeenVersion] {
        &self.former
    }

    /// Returns the version of all servers of `service` at which a stream may have begun since `since`; `None` if there are several,
    /// or if the list or a version is not known for that long. A version may still begin streams for
    /// [`SERVING_AFTER_LEAVING`] after its last server has left the list.
    pub fn only_version(&self, service: &str, since: BootInstant) -> Option<OnlyVersion> {
        let known_since = self.known_since.filter(|known| *known <= since)?;
        let mut versions = self.versions_since(service, since);
        let first = versions.next()?;
        let software_version = versions.next().is_none().then_some(first)?.clone()?;
        let others = self.former.iter().filter(|former| {
            former.service == service
                && former.software_version.as_deref() != Some(&*software_version)
        });
        let last_other = others.map(|other| other.last_listed_at).max();
        Some(OnlyVersion {
            software_version,
            since: last_other.unwrap_or_default().max(known_since),
        })
    }

    /// Returns whether a version left the list so lately that other gateways may not know of it.
    pub fn has_recent_change(&self, now: BootInstant) -> bool {
        let mut former = self.former.iter();
        former.any(|former| now.since(former.last_listed_at) < TELLING_TIME)
    }

    /// Returns whether streams may have begun at servers of `service` of several versions since `since`, as far as the list is
    /// known.
    pub fn has_several_versions(&self, service: &str, since: BootInstant) -> bool {
        self.versions_since(service, since).nth(1).is_some()
    }

    /// Returns the versions of servers of `service` at which streams may have begun since `since`, each once.
    fn versions_since(
        &self,
        service: &str,
        since: BootInstant,
    ) -> impl Iterator<Item = &Option<String>> {
        let left_since = since.before(SERVING_AFTER_LEAVING);
        let listed = self.listed.iter().filter(move |(name, _)| name == service);
        let former = self
            .former
            .iter()
            .filter(move |former| former.service == service && former.last_listed_at >= left_since);
        listed
            .map(|(_, version)| version)
            .chain(former.map(|former| &former.software_version))
    }

    /// Drops former versions that are listed again or older than [`VERSION_MEMORY`], and all but the newest of each.
    fn forget(&mut self, now: BootInstant) {
        let listed = &self.listed;
        self.former.retain(|former| {
            let version = (former.service.clone(), former.software_version.clone());
            now.since(former.last_listed_at) < VERSION_MEMORY
                && listed.binary_search(&version).is_err()
        });
        self.former.sort_by(|a, b| {
            let name =
                |former: &SeenVersion| (former.service.clone(), former.software_version.clone());
            (name(a), b.last_listed_at).cmp(&(name(b), a.last_listed_at))
        });
        self.former.dedup_by(|later, first| {
            later.service == first.service && later.software_version == first.software_version
        });
    }
}
