//! Maintains the connections to the selected peers and the current view.

use super::Acceptor;
use super::HostDirectory;
use super::LoadTable;
use super::Membership;
use super::Node;
use super::NodeConfigTable;
use super::Settings;
use super::View;
use super::dial;
use super::live;
use super::peers;
use super::shared::Shared;
use crate::operations::Metrics;
use crate::operations::Readiness;
use crate::settings::NodeSettings;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Readiness condition that is met when a connection to each selected peer has been tried, so that the node either has
/// its peers' records or knows that they don't answer.
pub const READY_GOSSIP: &str = "other nodes";
/// Interval at which deadlines are checked when nothing else happens.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Handle of a node's membership: the view and the connections to peers.
pub struct Members {
    shared: Arc<Shared>,
    view: watch::Receiver<Arc<View>>,
    task: JoinHandle<()>,
}

/// The task that follows the host list, maintains the connections to peers and publishes the view.
struct MembershipTask {
    shared: Arc<Shared>,
    /// Receives the view of each new host list.
    hosts: watch::Receiver<Arc<View>>,
    /// View of the current host list, dead and unreachable nodes included.
    listed: Arc<View>,
    /// Publishes the view that other modules read.
    view: watch::Sender<Arc<View>>,
    readiness: Readiness,
    /// Limits the number of connections that are being opened at the same time.
    connect_permits: Arc<Semaphore>,
    // Sorted by the peer's name.
    connections: Vec<PeerConnection>,
}

/// The task that keeps the connection to one peer; aborted on drop.
struct PeerConnection {
    peer: Node,
    task: JoinHandle<()>,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Members {
    /// Starts to exchange messages with the nodes of the host list in `hosts`.
    pub fn start(
        settings: &Settings,
        node: &NodeSettings,
        hosts: Arc<HostDirectory>,
        readiness: Readiness,
        metrics: Arc<Metrics>,
        timeline: Arc<Timeline>,
    ) -> Self {
        let incarnation = incarnation();
        let shared = Shared::new(
            settings,
            node,
            incarnation,
            Arc::clone(&hosts),
            timeline,
            metrics,
        );
        let shared = Arc::new(shared);
        let (tx, view) = watch::channel(Arc::new(View::default()));
        let membership_task = MembershipTask {
            shared: Arc::clone(&shared),
            hosts: hosts.subscribe(),
            listed: Arc::default(),
            view: tx,
            readiness,
            connect_permits: Arc::new(Semaphore::new(settings.max_connects)),
            connections: Vec::new(),
        };
        let task = tokio::spawn(membership_task.run());
        Self { shared, view, task }
    }

    /// Returns a handle by which other modules read the view.
    pub fn membership(&self) -> Arc<dyn Membership> {
        Arc::new(WatchedView(self.view.clone()))
    }

    /// Returns the table of the region's loads.
    pub fn loads(&self) -> Arc<LoadTable> {
        Arc::clone(&self.shared.loads)
    }

    /// Returns the table of the configuration versions that nodes have in force.
    pub fn configs(&self) -> Arc<NodeConfigTable> {
        Arc::clone(&self.shared.configs)
    }

    /// Returns the acceptor for connections that other nodes open.
    pub fn acceptor(&self) -> Acceptor {
        Acceptor::new(Arc::clone(&self.shared))
    }

    /// Announces that this node is leaving.
    pub fn leave(&self) {
        self.shared
            .update_table(|table| table.announce_leaving(Instant::now()));
    }

    /// Stops the membership task and closes all connections.
    pub fn close(self) {
        self.task.abort();
        self.shared.close();
    }
}

struct WatchedView(watch::Receiver<Arc<View>>);

impl Membership for WatchedView {
    fn view(&self) -> Arc<View> {
        Arc::clone(&self.0.borrow())
    }
}

impl MembershipTask {
    async fn run(mut self) {
        let mut changes = self.shared.changes.subscribe();
        self.hosts.mark_changed();
        loop {
            if self.hosts.has_changed().unwrap_or(false) {
                self.apply_host_list();
            }
            self.update_suspicions();
            self.update_connections();
            self.update_view();
            self.update_readiness();
            tokio::select! {
                _ = changes.changed() => {}
                // `changed` marks the list as seen; it has to be unseen for the next round to apply it.
                _ = self.hosts.changed() => self.hosts.mark_changed(),
                () = tokio::time::sleep(TICK_INTERVAL) => {}
            }
        }
    }

    fn apply_host_list(&mut self) {
        self.listed = Arc::clone(&self.hosts.borrow_and_update());
        self.shared.notify_changes();
        let own = &self.shared.node;
        let names = |test: &dyn Fn(&&Node) -> bool| -> Vec<String> {
            let nodes = self.listed.nodes().iter().filter(test);
            nodes.map(|node| node.name.clone()).collect()
        };
        let region = names(&|node| node.region == own.region);
        let near = names(&|node| node.data_centre == own.data_centre);
        let other_data_centres =
            peers::count_other_data_centres(&own.data_centre, self.listed.nodes());
        let mut state = self.shared.state();
        state.region = region;
        state.near = near;
        // With up to two other data centres they get heartbeats at the configured interval. With more, the interval
        // grows with their number, so that the total traffic to other data centres doesn't.
        state.far_factor = u32::try_from(other_data_centres * 2 / 3)
            .unwrap_or(1)
            .max(1);
    }

    /// Marks unreachable peers of the same data centre as suspected, and suspected nodes as dead if they have not
    /// refuted the suspicion in time.
    fn update_suspicions(&self) {
        let now = Instant::now();
        let own = &self.shared.node.data_centre;
        let suspects = {
            let mut state = self.shared.state();
            state
                .reachability
                .take_suspects(own, live::SUSPECT_GRACE, now)
        };
        let limit = self.shared.settings.dead_after;
        let (suspected, dead) = self.shared.update_table(|table| {
            let mut suspected = suspects;
            suspected.retain(|name| table.suspect(name, now));
            (suspected, table.expire_suspects(limit, now))
        });
        for (names, detail) in [(suspected, "suspected"), (dead, "dead")] {
            for name in names {
                let event = Event::new(EventKind::ViewChanged);
                self.shared.timeline.event(event.peer(&name).detail(detail));
            }
        }
    }

    fn update_connections(&mut self) {
        let own = &self.shared.node;
        let wanted: Vec<Node> = {
            let state = self.shared.state();
            let is_dead = |name: &str| state.table.get(name).is_some_and(|r| !r.is_live());
            let nodes = self.listed.nodes();
            let chosen = peers::choose(
                &self.shared.settings,
                &own.name,
                &own.data_centre,
                nodes,
                is_dead,
            );
            chosen.into_iter().cloned().collect()
        };
        let shared = &self.shared;
        self.connections.retain(|connection| {
            let is_kept = wanted.contains(&connection.peer);
            if !is_kept {
                shared.state().reachability.remove(&connection.peer.name);
            }
            is_kept
        });
        for peer in wanted {
            if self
                .connections
                .iter()
                .any(|connection| connection.peer == peer)
            {
                continue;
            }
            let now = Instant::now();
            shared
                .state()
                .reachability
                .insert(&peer.name, &peer.data_centre, now);
            let connect_permits = Arc::clone(&self.connect_permits);
            let task = tokio::spawn(dial::maintain(
                Arc::clone(shared),
                peer.clone(),
                connect_permits,
            ));
            self.connections.push(PeerConnection { peer, task });
        }
        let in_region =
            |connection: &&PeerConnection| connection.peer.region == self.shared.node.region;
        let links = self.connections.iter().filter(in_region).count();
        shared.state().load_links = links;
    }

    fn update_view(&self) {
        let view = live::view(&self.shared, &self.listed, Instant::now());
        if **self.view.borrow() == view {
            return;
        }
        let event = Event::new(EventKind::ViewChanged);
        self.shared.timeline.event(event);
        self.shared.gauges.update(&view);
        self.view.send_replace(Arc::new(view));
    }

    fn update_readiness(&self) {
        let is_listed = !self.listed.nodes().is_empty();
        if is_listed && self.shared.state().reachability.all_tried() {
            self.readiness.set_met(READY_GOSSIP);
        }
    }
}

/// Returns the start time in milliseconds, which is higher at each start unless the clock went back. In that case
/// peers send back the record that has the higher incarnation, and `Table::apply` decides whether to continue after it.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| since.as_millis() as u64)
}
