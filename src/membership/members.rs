//! Keeps connections to the chosen peers, and the view up to date.

use super::Acceptor;
use super::ConfigBoard;
use super::HostBoard;
use super::LoadBoard;
use super::Membership;
use super::Node;
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

/// What a node waits for before it is ready: a peer's records, or the certainty that none answers.
pub const READY_GOSSIP: &str = "other nodes";
/// Time between two looks at deadlines.
const TICK: Duration = Duration::from_millis(100);

/// The nodes that this node knows, and its connections to some of them.
pub struct Members {
    shared: Arc<Shared>,
    view: watch::Receiver<Arc<View>>,
    task: JoinHandle<()>,
}

struct Keeping {
    shared: Arc<Shared>,
    hosts: watch::Receiver<Arc<View>>,
    listed: Arc<View>,
    view: watch::Sender<Arc<View>>,
    readiness: Readiness,
    connects: Arc<Semaphore>,
    // Sorted by the peer's name.
    dials: Vec<Dial>,
}

/// The task of one peer.
struct Dial {
    peer: Node,
    task: JoinHandle<()>,
}

impl Drop for Dial {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Members {
    /// Starts to exchange messages with the nodes that `hosts` lists.
    pub fn start(
        settings: &Settings,
        node: &NodeSettings,
        hosts: Arc<HostBoard>,
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
        let keeping = Keeping {
            shared: Arc::clone(&shared),
            hosts: hosts.listed(),
            listed: Arc::default(),
            view: tx,
            readiness,
            connects: Arc::new(Semaphore::new(settings.max_connects)),
            dials: Vec::new(),
        };
        let task = tokio::spawn(keeping.run());
        Self { shared, view, task }
    }

    /// Gives a handle by which other slices see the view.
    pub fn membership(&self) -> Arc<dyn Membership> {
        Arc::new(Watched(self.view.clone()))
    }

    /// Gives the board of the region's loads.
    pub fn loads(&self) -> Arc<LoadBoard> {
        Arc::clone(&self.shared.loads)
    }

    /// Gives the board of the configurations in force.
    pub fn configs(&self) -> Arc<ConfigBoard> {
        Arc::clone(&self.shared.configs)
    }

    /// Gives what answers other nodes that ask for a connection.
    pub fn acceptor(&self) -> Acceptor {
        Acceptor::new(Arc::clone(&self.shared))
    }

    /// Announces that this node is leaving.
    pub fn leave(&self) {
        self.shared.with_table(|table| table.leave(Instant::now()));
    }

    /// Ends all connections.
    pub fn close(self) {
        self.task.abort();
        self.shared.close();
    }
}

struct Watched(watch::Receiver<Arc<View>>);

impl Membership for Watched {
    fn view(&self) -> Arc<View> {
        Arc::clone(&self.0.borrow())
    }
}

impl Keeping {
    async fn run(mut self) {
        let mut changes = self.shared.changes.subscribe();
        self.hosts.mark_changed();
        loop {
            if self.hosts.has_changed().unwrap_or(false) {
                self.take_hosts();
            }
            self.judge();
            self.update_dials();
            self.update_view();
            self.update_readiness();
            tokio::select! {
                _ = changes.changed() => {}
                _ = self.hosts.changed() => self.hosts.mark_changed(),
                () = tokio::time::sleep(TICK) => {}
            }
        }
    }

    fn take_hosts(&mut self) {
        self.listed = Arc::clone(&self.hosts.borrow_and_update());
        self.shared.wake();
        let own = &self.shared.node;
        let names = |test: &dyn Fn(&&Node) -> bool| -> Vec<String> {
            let nodes = self.listed.nodes().iter().filter(test);
            nodes.map(|node| node.name.clone()).collect()
        };
        let region = names(&|node| node.region == own.region);
        let near = names(&|node| node.data_centre == own.data_centre);
        let far = peers::far_centres(&own.data_centre, self.listed.nodes());
        let mut state = self.shared.state();
        state.region = region;
        state.near = near;
        // One other data centre gets the full pace; more of them share what that takes.
        state.far_factor = u32::try_from(far * 2 / 3).unwrap_or(1).max(1);
    }

    /// Suspects neighbours that are out of reach, and gives up those that did not answer a suspicion.
    fn judge(&self) {
        let now = Instant::now();
        let own = &self.shared.node.data_centre;
        let lost = {
            let mut state = self.shared.state();
            state.reach.take_lost(own, live::SUSPECT_GRACE, now)
        };
        let limit = self.shared.settings.dead_after;
        let (suspected, dead) = self.shared.with_table(|table| {
            let mut suspected = lost;
            suspected.retain(|name| table.suspect(name, now));
            (suspected, table.expire(limit, now))
        });
        for (names, detail) in [(suspected, "suspected"), (dead, "dead")] {
            for name in names {
                let event = Event::new(EventKind::ViewChanged);
                self.shared.timeline.event(event.peer(&name).detail(detail));
            }
        }
    }

    fn update_dials(&mut self) {
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
        self.dials.retain(|dial| {
            let is_kept = wanted.contains(&dial.peer);
            if !is_kept {
                shared.state().reach.remove(&dial.peer.name);
            }
            is_kept
        });
        for peer in wanted {
            if self.dials.iter().any(|dial| dial.peer == peer) {
                continue;
            }
            let now = Instant::now();
            shared.state().reach.add(&peer.name, &peer.data_centre, now);
            let connects = Arc::clone(&self.connects);
            let task = tokio::spawn(dial::keep(Arc::clone(shared), peer.clone(), connects));
            self.dials.push(Dial { peer, task });
        }
        let in_region = |dial: &&Dial| dial.peer.region == self.shared.node.region;
        let links = self.dials.iter().filter(in_region).count();
        shared.state().region_links = links;
    }

    fn update_view(&self) {
        let view = live::view(&self.shared, &self.listed, Instant::now());
        if **self.view.borrow() == view {
            return;
        }
        let event = Event::new(EventKind::ViewChanged);
        self.shared.timeline.event(event);
        self.shared.gauges.show(&view);
        self.view.send_replace(Arc::new(view));
    }

    fn update_readiness(&self) {
        let is_listed = !self.listed.nodes().is_empty();
        if is_listed && self.shared.state().reach.all_tried() {
            self.readiness.set_met(READY_GOSSIP);
        }
    }
}

/// Gives a number that is higher at each start, by the clock; a peer that knows a higher one says so.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| since.as_millis() as u64)
}
