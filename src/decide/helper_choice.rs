//! Decides which gateways are asked for a tunnel to a backend server, and remembers what is known of them.
//!
//! Load pattern: a large part of many gateways loses its paths to all servers of a service at the same moment, whole data centres
//! or some gateways of each. All of them look for helpers for all their requests, while most of those that they may ask are cut off
//! too. A gateway that reaches no server of a service refuses for each server, so what is learnt of it holds for the service;
//! and a helper that has opened tunnels is asked again rather than one of which nothing is known. `docs/REACHING-SERVERS.md` has
//! the whole protocol.

use super::hash::hash;
use crate::clock::BootInstant;
use crate::peers::CutOffNodes;
use crate::peers::NodeEntry;
use std::time::Duration;

/// Time for which a helper that refused isn't asked again.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Time for which what a helper did for one server of a service tells whether it reaches the others.
const EVIDENCE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of helpers that are asked for one connection.
const MAX_HELPERS: usize = 8;
/// Maximum number of these in the gateway's own data centre while there are others, since all gateways of a data centre may be
/// cut off together.
const MAX_NEAR_HELPERS: usize = 4;
/// Tunnels that a near helper carries for this gateway beyond those of a far one before the far one is asked first.
const NEAR_LEAD: u32 = 16;

/// What is known of whether a gateway reaches the servers of a service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HelperReach {
    /// It opened a tunnel to one of them a moment ago, or isn't among the gateways that say that they reach none.
    Likely,
    /// Nothing.
    Unknown,
    /// It did not reach one a moment ago, or says that it reaches none.
    Doubtful,
}

/// What is known of a gateway that may be a helper.
#[derive(Clone, Copy, Debug)]
pub struct HelperView<'a> {
    /// The gateway's entry in the node list.
    pub node: &'a NodeEntry,
    /// Number of this gateway's tunnels through it.
    pub tunnels: u32,
    /// Whether it reaches the servers of the service.
    pub reach: HelperReach,
    /// Whether it could not be reached, refused a tunnel to the server, or reaches no server itself, a moment ago.
    pub has_refused: bool,
}

/// Returns the helpers to ask for a connection to the server called `server`, in order.
///
/// While all may reach it, the tunnels are spread, with a preference for near helpers. Once some have been found not to reach
/// servers of the service, those that do come first and those that don't come last. The order of equals differs from gateway
/// to gateway and server to server, so that no helper is asked by all.
pub fn helper_order<'a>(
    own: &NodeEntry,
    server: &str,
    helpers: &[HelperView<'a>],
) -> Vec<&'a NodeEntry> {
    let others = helpers.iter().filter(|helper| helper.node.name != own.name);
    let is_far = |node: &NodeEntry| node.data_centre != own.data_centre;
    let is_any_doubtful = others
        .clone()
        .any(|helper| helper.reach == HelperReach::Doubtful);
    let mut usable: Vec<&HelperView<'_>> = others.filter(|helper| !helper.has_refused).collect();
    usable.sort_by_cached_key(|helper| {
        let is_far = is_far(helper.node);
        let reach = is_any_doubtful.then_some(helper.reach);
        let lead = if is_far { NEAR_LEAD } else { 0 };
        let name = helper.node.name.as_bytes();
        let random = hash(&[own.name.as_bytes(), name, server.as_bytes()]);
        (reach, helper.tunnels.saturating_add(lead), is_far, random)
    });
    let far = usable.iter().filter(|helper| is_far(helper.node)).count();
    let mut near_left = MAX_HELPERS - far.min(MAX_HELPERS - MAX_NEAR_HELPERS);
    let usable = usable.into_iter().map(|helper| helper.node);
    let chosen = usable.filter(|node| {
        let may_ask = is_far(node) || near_left > 0;
        near_left = near_left.saturating_sub(usize::from(!is_far(node)));
        may_ask
    });
    chosen.take(MAX_HELPERS).collect()
}

/// What a refusal holds for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalScope {
    /// The helper opens no tunnels at all.
    AllServers,
    /// All servers of the service.
    Service,
    /// The server, which the helper does not reach; it may reach others of the service.
    Server,
    /// The server alone, which is not on the helper's list.
    UnlistedServer,
}

/// What one helper did for one service.
#[derive(Debug, Default)]
struct Row {
    helper: String,
    service: String,
    /// When it last opened a tunnel.
    opened_at: Option<BootInstant>,
    /// When it last did not reach a server.
    failed_at: Option<BootInstant>,
    /// When it last said that it reaches no server.
    cut_off_at: Option<BootInstant>,
    /// Servers to which it opened no tunnel, and when.
    refused: Vec<(String, BootInstant)>,
}

/// What a gateway has learnt of its helpers from their answers.
#[derive(Debug, Default)]
pub struct HelperMemory {
    /// Sorted by helper and service.
    rows: Vec<Row>,
    /// Gateways that say that they reach no server of a service, sorted by service, and when this was received.
    cut_off: Option<(Vec<CutOffNodes>, BootInstant)>,
    /// Helpers that opened no tunnel whatever the server, and when, sorted by name.
    closed: Vec<(String, BootInstant)>,
}

fn is_recent(at: Option<BootInstant>, time: Duration, now: BootInstant) -> bool {
    at.is_some_and(|at| now.since(at) < time)
}

impl HelperMemory {
    /// Records that `helper` opened a tunnel to a server of `service`.
    pub fn record_opened(&mut self, helper: &str, service: &str, now: BootInstant) {
        let row = self.row(helper, service);
        row.opened_at = Some(now);
        row.cut_off_at = None;
    }

    /// Records which gateways say that they reach no server of a service, sorted by service.
    pub fn record_cut_off(&mut self, services: Vec<CutOffNodes>, now: BootInstant) {
        self.cut_off = Some((services, now));
    }

    /// Records that `helper` opened no tunnel to `server`, given by its service and name, which holds for the servers in `scope`.
    pub fn record_refusal(
        &mut self,
        helper: &str,
        (service, server): (&str, &str),
        scope: RefusalScope,
        now: BootInstant,
    ) {
        self.forget(now);
        if scope == RefusalScope::AllServers {
            let found = self
                .closed
                .binary_search_by(|(name, _)| name.as_str().cmp(helper));
            match found {
                Ok(index) => self.closed[index].1 = now,
                Err(index) => self.closed.insert(index, (helper.to_owned(), now)),
            }
            return;
        }
        let row = self.row(helper, service);
        if scope != RefusalScope::UnlistedServer {
            row.failed_at = Some(now);
        }
        if scope == RefusalScope::Service {
            row.cut_off_at = Some(now);
        }
        row.refused.push((server.to_owned(), now));
    }

    /// Returns whether `helper` refused a tunnel a moment ago in a way that holds for `server`, given by its service and name.
    pub fn has_refused(
        &self,
        helper: &str,
        (service, server): (&str, &str),
        now: BootInstant,
    ) -> bool {
        let is_recent = |at: BootInstant| now.since(at) < REFUSAL_TIME;
        let closed = self
            .closed
            .binary_search_by(|(name, _)| name.as_str().cmp(helper));
        let is_closed = closed.is_ok_and(|index| is_recent(self.closed[index].1));
        let row = self
            .find(helper, service)
            .ok()
            .map(|index| &self.rows[index]);
        is_closed
            || row.is_some_and(|row| {
                let mut refused = row.refused.iter();
                row.cut_off_at.is_some_and(is_recent)
                    || refused.any(|(name, at)| name == server && is_recent(*at))
            })
    }

    /// Returns whether `helper` reaches the servers of `service`, as far as is known. What it has just done says more than what it
    /// told all gateways some exchanges ago.
    pub fn reach(&self, helper: &str, service: &str, now: BootInstant) -> HelperReach {
        let row = self
            .find(helper, service)
            .ok()
            .map(|index| &self.rows[index]);
        let (opened_at, failed_at) = row.map_or((None, None), |row| (row.opened_at, row.failed_at));
        if is_recent(failed_at, EVIDENCE_TIME, now) && failed_at > opened_at {
            return HelperReach::Doubtful;
        }
        if is_recent(opened_at, REFUSAL_TIME, now) {
            return HelperReach::Likely;
        }
        match self.is_told_cut_off(helper, service, now) {
            Some(true) => HelperReach::Doubtful,
            Some(false) => HelperReach::Likely,
            None if is_recent(opened_at, EVIDENCE_TIME, now) => HelperReach::Likely,
            None => HelperReach::Unknown,
        }
    }

    /// Returns whether `helper` says that it reaches no server of `service`; `None` if no gateway says so.
    fn is_told_cut_off(&self, helper: &str, service: &str, now: BootInstant) -> Option<bool> {
        let (services, told_at) = self.cut_off.as_ref()?;
        let index = services.binary_search_by(|known| known.service.as_str().cmp(service));
        let nodes = &services[index.ok()?].nodes;
        let is_told = nodes
            .binary_search_by(|node| node.as_str().cmp(helper))
            .is_ok();
        is_recent(Some(*told_at), EVIDENCE_TIME, now).then_some(is_told)
    }

    /// Drops what is too old to be used.
    fn forget(&mut self, now: BootInstant) {
        self.closed.retain(|(_, at)| now.since(*at) < REFUSAL_TIME);
        self.rows.retain_mut(|row| {
            row.refused.retain(|(_, at)| now.since(*at) < REFUSAL_TIME);
            let newest = row.opened_at.max(row.failed_at);
            !row.refused.is_empty() || is_recent(newest, EVIDENCE_TIME, now)
        });
    }

    fn find(&self, helper: &str, service: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (&*row.helper, &*row.service).cmp(&(helper, service)))
    }

    /// Returns the row of `helper` for `service`, which is added if there is none.
    fn row(&mut self, helper: &str, service: &str) -> &mut Row {
        let index = self.find(helper, service).unwrap_or_else(|index| {
            let row = Row {
                helper: helper.to_owned(),
                service: service.to_owned(),
                ..Row::default()
            };
            self.rows.insert(index, row);
            index
        });
        &mut self.rows[index]
    }
}
