//! What a gateway sends to cold servers while it learns of them, is paused, or is cut off.

use super::server;
use crate::catalog::BackendServer;
use crate::catalog::Catalog;
use crate::catalog::CatalogBounds;
use crate::catalog::Evacuations;
use crate::catalog::ServerRecord;
use crate::catalog::tests::apply_changes;
use crate::clock::BootInstant;
use crate::decide::ColdPolicy;
use crate::decide::LIST_SETTLING_TIME;
use crate::gateway::loads::ServerLoads;
use crate::gateway::send_gate::ColdAllowance;
use crate::gateway::send_gate::SendGate;
use crate::logs::Logs;
use crate::peers::NodeNames;
use std::sync::Arc;
use std::time::Duration;

/// A fleet of one gateway.
struct OwnName;

impl NodeNames for OwnName {
    fn version(&self) -> u64 {
        1
    }

    fn names(&self) -> Vec<String> {
        vec!["n-1".to_owned()]
    }
}

fn policy() -> ColdPolicy {
    ColdPolicy {
        time: Duration::from_secs(3),
        max_per_second: 4.0,
    }
}

fn cold_server(sequence: u64, cold_left: Duration) -> BackendServer {
    let mut server = server("a", 1);
    server.entry.sequence = sequence;
    server.entry.cold_left = cold_left;
    server
}

/// Returns the gate of a gateway that has run for long and whose configuration was verified at `verified_at`.
fn gate(loads: &ServerLoads, verified_at: BootInstant) -> (SendGate, Arc<Catalog>) {
    let catalog = Arc::new(Catalog::new(CatalogBounds {
        max_key_verification_age: None,
        max_denial_age: Duration::from_secs(2),
        list_grace: Duration::from_secs(2),
        max_list_gap: Duration::from_secs(3),
    }));
    catalog.record_config_verified(verified_at);
    let started_at = verified_at.before(LIST_SETTLING_TIME * 2);
    let gate = SendGate::new(
        "n-1",
        (&catalog, loads),
        &Logs::silent(),
        ColdAllowance::default(),
        started_at,
    );
    gate.set_node_names(Arc::new(OwnName));
    (gate, catalog)
}

/// Guards against a server that counts as warm from the moment at which it is listed until its load is exchanged.
#[test]
fn a_server_that_has_just_been_listed_is_as_cold_as_its_entry_says() {
    let loads = ServerLoads::default();
    let now = BootInstant::now();
    let (gate, _) = gate(&loads, now);
    let server = cold_server(1, Duration::from_secs(3));

    let statuses = loads.statuses(std::slice::from_ref(&server), now);

    let evacuations = Evacuations::default();
    let left = gate.cold_left(&server, &statuses[0].warmth, &policy(), &evacuations, now);
    assert_eq!(left, Some(Duration::from_secs(3)));
}

/// Guards against a share that is spent twice by a server that is warm for a moment.
#[test]
fn a_server_that_turns_cold_again_has_no_second_token() {
    let loads = ServerLoads::default();
    let now = BootInstant::now();
    let (gate, catalog) = gate(&loads, now);
    let cold = cold_server(1, Duration::from_secs(3));
    let record = ServerRecord::Report(cold.entry.clone());
    apply_changes(&catalog, vec![(cold.id.clone(), record)], now);
    gate.update(now);
    let first = gate.take_token(&cold, &policy(), now);

    // The service names no limits here, so the server is warm for the gate.
    gate.update(now.plus(Duration::from_millis(50)));
    let second = gate.take_token(&cold, &policy(), now.plus(Duration::from_millis(100)));

    assert!(first);
    assert!(!second);
}

/// Guards against a share without a term: others may have taken it over since.
#[test]
fn a_gateway_that_was_paused_or_cut_off_sends_nothing_to_cold_servers() {
    let loads = ServerLoads::default();
    let now = BootInstant::now();
    let (gate, catalog) = gate(&loads, now);
    let server = cold_server(1, Duration::from_secs(3));
    let at = |seconds| now.plus(Duration::from_secs(seconds));
    gate.update(now);

    // The process stands still for a minute; its configuration is verified before its next exchange of loads.
    catalog.record_config_verified(at(60));
    let after_pause = gate.take_token(&server, &policy(), at(60));
    gate.update(at(60));
    let after_news = gate.take_token(&server, &policy(), at(60));
    // Loads are still exchanged, but nobody reaches the store.
    gate.update(at(69));
    let cut_off = gate.take_token(&server, &policy(), at(69));

    assert!(!after_pause);
    assert!(after_news);
    assert!(!cut_off);
}
