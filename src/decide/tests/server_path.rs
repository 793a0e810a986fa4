//! Paths to servers that are lost and found, and the gateways that are asked for help.

use crate::clock::BootInstant;
use crate::decide::ConnectFailure;
use crate::decide::HelperReach;
use crate::decide::HelperView;
use crate::decide::PathState;
use crate::decide::ServerPath;
use crate::decide::helper_order;
use crate::decide::is_cut_off;
use crate::decide::last_loss;
use crate::decide::may_carry;
use crate::peers::NodeEntry;
use std::net::SocketAddr;
use std::time::Duration;

pub(super) fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_millis(ms))
}

pub(super) fn node(name: &str, data_centre: &str) -> NodeEntry {
    NodeEntry {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7340)),
        start_time_ms: 1,
        link_mbps: 1_000,
    }
}

fn view(node: &NodeEntry, tunnels: u32, has_refused: bool) -> HelperView<'_> {
    HelperView {
        node,
        tunnels,
        reach: HelperReach::Unknown,
        has_refused,
    }
}

fn names(own: &NodeEntry, server: &str, views: &[HelperView<'_>]) -> Vec<String> {
    let order = helper_order(own, server, views);
    order.into_iter().map(|node| node.name.clone()).collect()
}

/// Returns a path that failed at 0 ms and was blocked at 60 ms.
fn blocked_path() -> ServerPath {
    let mut path = ServerPath::default();
    path.record_try(at(0));
    path.record_failed(ConnectFailure::Refused, at(0));
    path.record_tunnelled(at(60));
    path
}

#[test]
fn a_path_is_blocked_only_once_a_helper_reached_the_server() {
    let mut path = ServerPath::default();
    path.record_failed(ConnectFailure::Refused, at(0));

    let before = path.state(at(10));
    path.record_tunnelled(at(20));

    assert_eq!(before, PathState::Open);
    assert_eq!(path.state(at(20)), PathState::Blocked);
    assert_eq!(path.blocked_since(at(20)), Some(at(0)));
}

#[test]
fn a_helper_that_was_faster_blocks_no_path() {
    let mut path = ServerPath::default();

    path.record_tunnelled(at(60));
    path.record_connected(at(1_100));

    assert_eq!(path.state(at(70)), PathState::Open);
    assert!(!path.has_just_failed(at(70)));
}

// While new connections were refused, each server's open ones had to hang once in a silent cut that followed.
#[test]
fn connections_open_beside_refused_ones_are_used_in_a_silent_cut_that_follows() {
    let mut path = blocked_path();
    let before = last_loss([ServerPath::default(), path].iter(), at(4_000));

    path.record_failed(ConnectFailure::TimedOut, at(5_000));
    path.record_failed(ConnectFailure::TimedOut, at(6_000));

    let lost_at = last_loss([ServerPath::default(), path].iter(), at(6_000));
    assert_eq!((before, lost_at), (Some(at(0)), Some(at(5_000))));
}

// A server heard between the first and the last loss of a path was trusted, though its connections were reset then.
#[test]
fn connections_to_servers_heard_since_the_first_loss_are_used_after_a_later_one() {
    let paths = [0, 100].map(|ms| {
        let mut path = ServerPath::default();
        path.record_failed(ConnectFailure::Refused, at(ms));
        path.record_tunnelled(at(ms + 20));
        path
    });

    let lost_at = last_loss(paths.iter(), at(200));

    assert_eq!(lost_at, Some(at(100)));
}

#[test]
fn a_server_that_nobody_reaches_is_left_alone_for_a_while() {
    let mut path = ServerPath::default();
    path.record_failed(ConnectFailure::Refused, at(0));

    path.record_lost(at(100));

    assert_eq!(path.state(at(300)), PathState::Lost);
    assert_eq!(path.state(at(700)), PathState::Open);
    assert_eq!(path.blocked_since(at(700)), None);
}

#[test]
fn a_blocked_path_is_tried_again_each_second_and_is_open_at_once() {
    let mut path = blocked_path();

    let is_due_early = path.is_retry_due(at(900));
    let is_due = path.is_retry_due(at(1_000));
    path.record_try(at(1_000));
    let is_due_again = path.is_retry_due(at(1_100));
    path.record_connected(at(1_100));

    assert!(!is_due_early);
    assert!(is_due);
    assert!(!is_due_again);
    assert_eq!(path.state(at(1_200)), PathState::Open);
}

/// Returns a path on which connections were accepted and not answered from 0 ms on.
fn unanswered_path() -> ServerPath {
    let mut path = ServerPath::default();
    path.record_try(at(0));
    path.record_connected(at(0));
    path.record_unanswered(at(0));
    path
}

#[test]
fn a_server_that_does_not_answer_gets_requests_since_something_accepts_connections() {
    let mut path = unanswered_path();

    path.record_try(at(1_000));
    path.record_connected(at(1_000));
    path.record_unanswered(at(1_000));
    path.record_connected(at(1_500));

    assert_eq!(path.state(at(60_000)), PathState::Lost);
    assert!(path.has_just_failed(at(60_000)));
    assert_eq!(path.contact().failed_at, Some(at(1_000)));
}

#[test]
fn a_server_that_did_not_answer_is_asked_each_second_and_used_once_it_answers() {
    let mut path = unanswered_path();

    let is_due_early = path.is_retry_due(at(900));
    let is_due = path.is_retry_due(at(1_000));
    path.record_answered(at(1_010));

    assert!(!is_due_early);
    assert!(is_due);
    assert_eq!(path.state(at(1_020)), PathState::Open);
    assert!(!path.is_retry_due(at(5_000)));
}

#[test]
fn a_server_that_answers_through_a_helper_is_lost_behind_a_cut_relay() {
    let mut path = unanswered_path();

    path.record_tunnelled(at(100));

    assert_eq!(path.state(at(200)), PathState::Blocked);
    assert!(path.is_retry_due(at(1_000)));
    path.record_answered(at(1_010));
    assert_eq!(path.state(at(1_020)), PathState::Open);
}

#[test]
fn a_gateway_says_that_it_reaches_servers_that_are_gone_behind_their_relays() {
    let paths = [0; 3].map(|_| {
        let mut path = unanswered_path();
        path.record_unanswered(at(1_000));
        path.record_connected(at(1_050));
        path
    });

    let contacts = paths.map(|path| path.contact());

    assert!(is_cut_off(&contacts, at(1_100)));
}

#[test]
fn an_address_that_refuses_connections_again_counts_as_unanswered() {
    let mut path = unanswered_path();

    path.record_failed(ConnectFailure::Refused, at(1_000));
    path.record_connected(at(1_200));

    assert_eq!(path.state(at(1_300)), PathState::Open);
}

#[test]
fn each_failure_of_a_server_that_names_no_request_costs_a_question() {
    let mut path = ServerPath::default();

    let asked = [0, 10, 999, 1_000, 1_500].map(|ms| path.record_doubt(at(ms)));

    assert_eq!(asked, [true, false, false, true, false]);
    assert!(!unanswered_path().record_doubt(at(10)));
}

#[test]
fn a_server_that_helpers_lose_too_is_not_blocked_but_lost() {
    let mut path = blocked_path();

    path.record_lost(at(500));

    assert_eq!(path.state(at(600)), PathState::Lost);
    assert_eq!(path.blocked_since(at(2_000)), None);
}

#[test]
fn near_helpers_with_few_tunnels_are_asked_first() {
    let (own, near, busy, far) = (
        node("a", "x"),
        node("b", "x"),
        node("c", "x"),
        node("d", "y"),
    );
    let views = [
        view(&own, 0, false),
        view(&far, 0, false),
        view(&busy, 9, false),
        view(&near, 1, false),
    ];

    let order = names(&own, "i-1", &views);

    assert_eq!(order, ["b", "c", "d"]);
}

#[test]
fn helpers_that_refused_are_not_asked() {
    let (own, near, far) = (node("a", "x"), node("b", "x"), node("c", "y"));
    let views = [view(&near, 0, true), view(&far, 0, false)];

    let order = names(&own, "i-1", &views);

    assert_eq!(order, ["c"]);
}

#[test]
fn gateways_that_are_cut_off_together_ask_different_helpers() {
    let helpers: Vec<NodeEntry> = (0..10).map(|n| node(&format!("h-{n}"), "y")).collect();
    let views: Vec<HelperView<'_>> = helpers.iter().map(|node| view(node, 0, false)).collect();

    let mut first: Vec<String> = (0..20)
        .map(|n| names(&node(&format!("a-{n}"), "x"), "i-1", &views)[0].clone())
        .collect();
    first.sort();
    first.dedup();

    assert!(first.len() >= 5, "{first:?}");
}

#[test]
fn no_requester_gets_all_the_room_of_a_helper_that_others_ask_too() {
    assert!(may_carry(200, 0));
    assert!(!may_carry(256, 0));
    assert!(may_carry(127, 1));
    assert!(!may_carry(128, 1));
    assert!(!may_carry(10, 246));
}
