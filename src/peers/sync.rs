//! Syncs this node from the relay of its data centre, and makes it the relay where there is none.

use super::crash_cursor::CrashCursor;
use super::directory::NodeEntry;
use super::link::Link;
use super::load_table::subtract_own;
use super::message::Role;
use super::message::STREAM_PUSH_PROTOCOL;
use super::message::SyncResponse;
use super::node::FleetLoads;
use super::node::ReceivedStamps;
use super::node::Shared;
use super::streams::RecordSource;
use crate::clock::BootInstant;
use crate::decide::SourceRole;
use crate::decide::SourceScope;
use crate::decide::SourceStep;
use crate::decide::source_step;
use crate::decide::sync_sources;
use std::sync::Arc;
use std::time::Duration;

/// Time between two sync requests; the load of a backend server changes by about one request in that time.
pub(super) const SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two sync requests of a node that has just started, while its source has no data for it either.
const START_SYNC_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum period of syncing or exchanging loads with one node, unless a request fails or, for an exchange, this node
/// is no longer the relay. After it, this node checks whether another node has become the first reachable relay; a sync
/// that asks all nodes ends without this check. The check contacts no node: one counts as reachable again once it has not
/// been contacted for a pause.
pub(super) const RELAY_RECHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of nodes tried in a row before this node reads the store itself. If all of them are disconnected from
/// the store, the store is down, and trying more nodes does not help.
const MAX_NODES_TRIED: usize = 3;
/// Time for which a node that the store refuses stays with a relay that it refuses too, before it asks other nodes again.
const MAX_DISCONNECTED_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of times in a row that a node goes to the source of its source.
const MAX_SWITCHES: u32 = 2;

/// Why a sync with one node ended without a failure.
enum SyncEnd {
    /// It has gone on for [`RELAY_RECHECK_INTERVAL`], and this node is to look for its source anew.
    Over,
    /// The node syncs from another one.
    SwitchTo(NodeEntry),
    /// This node is to be the relay, or to go on as such.
    BecomeRelay,
    /// The node can't serve, since the store refuses it.
    Disconnected,
}

/// Syncs from the first source that answers and can serve, and acts as relay while there is none.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut directory = shared.has_asked_directory.subscribe();
    // The sender lives as long as `shared`, so waiting does not fail.
    let _ = directory.wait_for(|has_asked| *has_asked).await;
    let mut scope = SourceScope::DataCentre;
    loop {
        let has_synced = sync_with_any(&shared, scope).await;
        // A node disconnected from the store syncs from any other node for one period of RELAY_RECHECK_INTERVAL. Then,
        // for one turn, it asks only the nodes that rank before it in its data centre and acts as relay if none
        // answers, so that it tries the store again. Otherwise it would never learn that the store is reachable again. It
        // takes such a turn too when it has found no node that serves it.
        scope = if shared.catalog.is_disconnected() && scope != SourceScope::All {
            SourceScope::All
        } else {
            SourceScope::Preceding
        };
        if !has_synced {
            act_as_relay(&shared);
            tokio::time::sleep(SYNC_INTERVAL).await;
        }
    }
}

/// Tries sources in order until [`sync_with`] succeeds with one of them; returns whether one did and this node is not to be
/// the relay.
///
/// The sources are those of `scope`.
async fn sync_with_any(shared: &Shared, scope: SourceScope) -> bool {
    let (nodes, _) = shared.nodes.nodes();
    let asks_all_nodes = scope == SourceScope::All;
    let sources = sync_sources(&nodes, &shared.own, scope);
    let may_wait = scope == SourceScope::Preceding && shared.catalog.is_disconnected();
    let sources = sources.into_iter().filter(|node| {
        if may_wait {
            !shared.nodes.is_silent(node)
        } else {
            !shared.nodes.is_unreachable(node)
        }
    });
    for node in sources.take(MAX_NODES_TRIED) {
        match sync_with(shared, node, asks_all_nodes, MAX_SWITCHES).await {
            Ok(SyncEnd::Over) => return true,
            Ok(SyncEnd::BecomeRelay) => return false,
            Ok(SyncEnd::Disconnected) => shared.nodes.mark_disconnected(node),
            Ok(SyncEnd::SwitchTo(next)) => return sync_with_next(shared, next).await,
            Err(cause) => shared.nodes.mark_unreachable(node, &cause),
        }
    }
    false
}

/// Syncs from `next`, the source of a node that was asked, or from the source of that one. Returns the same as
/// [`sync_with_any`]; a node that can't serve is not asked again for a while.
async fn sync_with_next(shared: &Shared, mut next: NodeEntry) -> bool {
    let mut switches = MAX_SWITCHES;
    loop {
        switches -= 1;
        match sync_with(shared, &next, false, switches).await {
            Ok(SyncEnd::Over) => return true,
            Ok(SyncEnd::BecomeRelay) => return false,
            Ok(SyncEnd::SwitchTo(node)) => next = node,
            Ok(SyncEnd::Disconnected) => {
                shared.nodes.mark_disconnected(&next);
                return true;
            }
            Err(cause) => {
                shared.nodes.mark_unreachable(&next, &cause);
                return true;
            }
        }
    }
}

/// Takes the role of the relay and sums the loads received from the nodes of this data centre and from other relays.
fn act_as_relay(shared: &Shared) {
    shared.set_role(Role::Relay);
    let is_reader = shared.nodes.store_reader().as_ref() == Some(&shared.own.name);
    shared.duties.set_reader(is_reader);
    if !shared.nodes.has_own() {
        shared.nodes.register_own();
    }
    let own = (shared.own_loads)();
    let now = BootInstant::now();
    shared.load_table.record_own(own.clone(), now);
    let own_cut_off = shared.own_cut_off();
    shared
        .cut_off_table
        .record_member(&shared.own.name, own_cut_off, now);
    let cut_off = shared.cut_off_table.all(now);
    shared.tunnel_table.record_cut_off(cut_off, now);
    let all = shared.load_table.all(now);
    shared.update_paces(&all, now);
    shared.update_heavy_teams(now);
    (shared.other_loads)(FleetLoads {
        others: subtract_own(all, &own),
        slow: shared.slow_servers(),
        heavy: shared.heavy_teams(),
    });
}

/// Sends sync requests to `node` for at least [`RELAY_RECHECK_INTERVAL`], and then until another node is the first
/// reachable relay of this data centre. That can be this node itself, which then takes over as relay.
///
/// If `asks_all_nodes`, the requests report this node as disconnected from the store, so that a node of any data centre
/// returns the full catalog state, and they end after that interval in any case. Otherwise they end early if `node` is no
/// relay and [`source_step`] says so, going to its source at most `switches` times.
///
/// # Errors
///
/// Returns the reason if a request fails.
async fn sync_with(
    shared: &Shared,
    node: &NodeEntry,
    asks_all_nodes: bool,
    switches: u32,
) -> Result<SyncEnd, String> {
    shared.start_asking(node);
    let mut link = Link::open(node).await?;
    let mut received = ReceivedStamps::default();
    let mut next_record = 0;
    let mut needs_records = false;
    let mut crash_cursor = CrashCursor::new(&shared.quarantine);
    let began = BootInstant::now();
    loop {
        let sent_at = BootInstant::now();
        let own = (shared.own_loads)();
        let mut request = shared.sync_request(own.clone(), &received);
        request.teams = (shared.own_teams)();
        request.cut_off = shared.own_cut_off();
        request.is_disconnected = asks_all_nodes;
        request.entry = (!shared.nodes.has_own()).then(|| shared.own.clone());
        if needs_records {
            let sources = [RecordSource::Own];
            (request.streams, next_record) =
                shared.streams.records_from(next_record, &sources, sent_at);
        }
        crash_cursor.add_records(&shared.quarantine, &mut request, sent_at);
        request.next_crash_record = Some(crash_cursor.next_received);
        let mut response: SyncResponse = link.request(&request).await?;
        // Gateways of other data centres are not sent records otherwise.
        needs_records =
            response.protocol < STREAM_PUSH_PROTOCOL || node.data_centre != shared.own.data_centre;
        // If the store refuses this node too, it waits for a while at a relay that goes on asking the store.
        let may_wait = !asks_all_nodes
            && response.protocol > 0
            && shared.catalog.is_disconnected()
            && sent_at.since(began) < MAX_DISCONNECTED_WAIT;
        if shared.is_behind(&response) || (response.is_disconnected && !may_wait) {
            return Ok(SyncEnd::Disconnected);
        }
        shared.nodes.mark_reachable(node);
        crash_cursor.apply(&shared.quarantine, &mut response);
        let role = response.role.take();
        let registers_others = response.protocol > 0;
        shared.apply_response(response, sent_at, &own, &mut received);
        if !registers_others && !shared.nodes.has_own() {
            shared.nodes.register_own();
        }
        if !asks_all_nodes && let Some(role) = &role {
            match shared.step_from(node, role, sent_at.since(began)) {
                SourceStep::Stay => {}
                SourceStep::BecomeRelay => return Ok(SyncEnd::BecomeRelay),
                SourceStep::SwitchTo(next) if switches > 0 => {
                    return Ok(SyncEnd::SwitchTo(next));
                }
                SourceStep::SwitchTo(_) => {}
            }
        }
        if role.is_none_or(|role| role == Role::Relay) || asks_all_nodes {
            shared.set_role(Role::Member(node.name.clone()));
        } else if shared.role() == Role::Relay {
            // The other one comes before this node, but is no relay yet.
            return Ok(SyncEnd::BecomeRelay);
        }
        let is_over = sent_at.since(began) > RELAY_RECHECK_INTERVAL;
        let data_centre = &shared.own.data_centre;
        if is_over && (asks_all_nodes || shared.nodes.has_other_relay(data_centre, node)) {
            return Ok(SyncEnd::Over);
        }
        let has_data = shared.catalog.configuration().is_some();
        crash_cursor
            .wait(if has_data {
                SYNC_INTERVAL
            } else {
                START_SYNC_INTERVAL
            })
            .await;
    }
}

impl Shared {
    /// Decides what to do after a response of `source`, which has the given role and has been asked for `waited`.
    fn step_from(&self, source: &NodeEntry, role: &Role, waited: Duration) -> SourceStep {
        let (nodes, _) = self.nodes.nodes();
        let role = match role {
            Role::Relay => SourceRole::Relay,
            Role::Member(name) => SourceRole::Member { of: name },
            Role::Undecided(name) => SourceRole::Undecided {
                asks: name.as_deref(),
            },
        };
        let reachable: Vec<NodeEntry> = nodes
            .into_iter()
            .filter(|node| !self.nodes.is_unreachable(node))
            .collect();
        source_step(&reachable, &self.own, source, &role, waited)
    }
}
