//! Requests of many gateways that are cut off from the servers of a service, and the helpers that each of them asks. Nothing is
//! sent: a helper opens a tunnel if it is not cut off itself.

use super::tunnels::node;
use super::tunnels::server;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::HelperView;
use crate::decide::RefusalScope;
use crate::decide::helper_order;
use crate::peers::NodeEntry;
use crate::peers::tunnel_table::OpenTunnel;
use crate::peers::tunnel_table::TunnelTable;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const DATA_CENTRES: usize = 4;
/// Gateways in each data centre, and how many of these are cut off.
const GATEWAYS: usize = 22;
const CUT_OFF: usize = 12;
const SERVERS: usize = 60;
/// Servers that a request is tried at.
const SERVERS_TRIED: usize = 4;
/// Time between two requests of a gateway, and for which a request has its tunnel.
const REQUEST_INTERVAL: Duration = Duration::from_millis(140);
const REQUEST_TIME: Duration = Duration::from_secs(2);
/// Time after which the users' measure holds, and for which requests are counted.
const STABLE: Duration = Duration::from_secs(3);
const COUNTED: Duration = Duration::from_secs(2);

struct Requester {
    own: NodeEntry,
    table: TunnelTable,
    tunnels: Vec<(BootInstant, OpenTunnel)>,
}

/// What became of the requests of all gateways that are cut off.
#[derive(Debug, Default)]
struct Counts {
    requests: usize,
    served: usize,
    refusals: usize,
}

fn gateway(data_centre: usize, number: usize) -> NodeEntry {
    let name = format!("g-{data_centre}-{number:02}");
    node(&name, &format!("dc-{data_centre}"))
}

/// Returns the gateways of a fleet and whether each is cut off.
fn fleet() -> Vec<(NodeEntry, bool)> {
    let centres = 0..DATA_CENTRES;
    let of_centre = |centre| {
        let numbers = 0..GATEWAYS;
        numbers.map(move |number| (gateway(centre, number), number < CUT_OFF))
    };
    centres.flat_map(of_centre).collect()
}

impl Requester {
    fn new(own: &NodeEntry) -> Self {
        Self {
            own: own.clone(),
            table: TunnelTable::default(),
            tunnels: Vec::new(),
        }
    }

    /// Asks helpers for a tunnel to `server`, in turn; returns whether one opened it, and adds the refusals to `counts`.
    fn reach(
        &mut self,
        server: &BackendServer,
        fleet: &[(NodeEntry, bool)],
        now: BootInstant,
        counts: &mut Counts,
    ) -> bool {
        let views: Vec<HelperView<'_>> = fleet
            .iter()
            .map(|(node, _)| self.table.view(node, server, now))
            .collect();
        for helper in helper_order(&self.own, &server.id, &views) {
            let index = fleet.binary_search_by(|(node, _)| node.name.cmp(&helper.name));
            let is_cut_off = fleet[index.unwrap()].1;
            if is_cut_off {
                let scope = RefusalScope::Server;
                self.table.record_refusal(&helper.name, server, scope, now);
                counts.refusals += 1;
            } else {
                self.table.record_opened(&helper.name, server, now);
                let open = self.table.count_open(&helper.name);
                self.tunnels.push((now.plus(REQUEST_TIME), open));
                return true;
            }
        }
        false
    }

    /// Tries a request at one server after another; returns whether one was reached.
    fn send(
        &mut self,
        servers: &[BackendServer],
        fleet: &[(NodeEntry, bool)],
        (now, rng): (BootInstant, &mut StdRng),
        counts: &mut Counts,
    ) -> bool {
        self.tunnels.retain(|(until, _)| *until > now);
        (0..SERVERS_TRIED).any(|_| {
            let server = &servers[rng.random_range(0..servers.len())];
            self.reach(server, fleet, now, counts)
        })
    }
}

/// Plays a cut and returns what became of the requests that come later than [`STABLE`] after its begin.
fn play(seed: u64) -> Counts {
    let fleet = fleet();
    let servers: Vec<BackendServer> = (0..SERVERS)
        .map(|number| server(&format!("i-{number}"), "llm"))
        .collect();
    let cut_off = fleet.iter().filter(|(_, is_cut_off)| *is_cut_off);
    let mut requesters: Vec<Requester> = cut_off.map(|(node, _)| Requester::new(node)).collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let began = BootInstant::from_boot(Duration::from_secs(100));
    let mut counts = Counts::default();
    let mut now = began;
    while now.since(began) < STABLE + COUNTED {
        let is_counted = now.since(began) >= STABLE;
        for requester in &mut requesters {
            let mut of_request = Counts::default();
            let clock = (now, &mut rng);
            let is_served = requester.send(&servers, &fleet, clock, &mut of_request);
            if is_counted {
                counts.requests += 1;
                counts.served += usize::from(is_served);
                counts.refusals += of_request.refusals;
            }
        }
        now = now.plus(REQUEST_INTERVAL);
    }
    counts
}

// The helpers asked first were those without a tunnel, which were those that refused.
#[test]
fn gateways_that_are_cut_off_ask_only_helpers_that_reach_no_server() {
    let counts = play(1);

    // Gateways of each data centre reach the servers, so none is refused.
    assert_eq!(counts.served, counts.requests, "{counts:?}");
}

// What a gateway learnt of a helper held for one server, so that it was refused by each helper for each server.
#[test]
fn gateways_that_are_cut_off_learn_of_each_helper_for_each_server() {
    let counts = play(2);

    // Each gateway may find out once a second that another one reaches no server of the service.
    let requesters = DATA_CENTRES * CUT_OFF;
    let allowed = requesters * (requesters - 1) * COUNTED.as_secs() as usize;
    assert!(counts.refusals <= allowed, "{allowed} allowed, {counts:?}");
}
