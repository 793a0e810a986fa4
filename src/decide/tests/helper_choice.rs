//! Helpers that are asked while some gateways of the fleet reach no server.

use super::server_path::at;
use super::server_path::node;
use crate::decide::HelperMemory;
use crate::decide::HelperReach;
use crate::decide::HelperView;
use crate::decide::RefusalScope;
use crate::decide::helper_order;
use crate::peers::CutOffNodes;
use crate::peers::NodeEntry;

fn view(node: &NodeEntry, tunnels: u32, reach: HelperReach) -> HelperView<'_> {
    HelperView {
        node,
        tunnels,
        reach,
        has_refused: false,
    }
}

fn names(own: &NodeEntry, views: &[HelperView<'_>]) -> Vec<String> {
    let order = helper_order(own, "i-1", views);
    order.into_iter().map(|node| node.name.clone()).collect()
}

#[test]
fn a_helper_without_tunnels_that_reaches_no_server_is_asked_first() {
    let (own, cut_off, unknown, likely) = (
        node("a", "x"),
        node("b", "x"),
        node("c", "x"),
        node("d", "y"),
    );
    let views = [
        view(&cut_off, 0, HelperReach::Doubtful),
        view(&unknown, 0, HelperReach::Unknown),
        view(&likely, 9, HelperReach::Likely),
    ];

    let order = names(&own, &views);

    assert_eq!(order, ["d", "c", "b"]);
}

#[test]
fn one_of_many_near_helpers_carries_all_while_none_is_known_to_be_cut_off() {
    let (own, likely, unknown) = (node("a", "x"), node("b", "x"), node("c", "x"));
    let views = [
        view(&likely, 1, HelperReach::Likely),
        view(&unknown, 0, HelperReach::Unknown),
    ];

    let order = names(&own, &views);

    assert_eq!(order, ["c", "b"]);
}

#[test]
fn only_helpers_of_a_data_centre_that_is_cut_off_as_a_whole_are_asked() {
    let own = node("a", "x");
    let near: Vec<NodeEntry> = (0..20).map(|n| node(&format!("n-{n}"), "x")).collect();
    let far: Vec<NodeEntry> = (0..20).map(|n| node(&format!("f-{n}"), "y")).collect();
    let views: Vec<HelperView<'_>> = near
        .iter()
        .chain(&far)
        .map(|node| view(node, 0, HelperReach::Unknown))
        .collect();

    let order = helper_order(&own, "i-1", &views);
    let alone = helper_order(&own, "i-1", &views[..20]);

    let far = order.iter().filter(|node| node.data_centre == "y").count();
    assert_eq!((order.len(), far), (8, 4));
    assert_eq!(alone.len(), 8);
}

#[test]
fn the_last_near_helper_carries_all_tunnels_of_its_data_centre() {
    let (own, near, far) = (node("a", "x"), node("b", "x"), node("c", "y"));
    let views = [
        view(&near, 40, HelperReach::Unknown),
        view(&far, 2, HelperReach::Unknown),
    ];

    let order = names(&own, &views);

    assert_eq!(order, ["c", "b"]);
}

#[test]
fn a_refusal_for_one_server_tells_of_the_others_of_its_service() {
    let mut memory = HelperMemory::default();

    memory.record_refusal("h", ("llm", "i-1"), RefusalScope::Server, at(0));

    assert_eq!(memory.reach("h", "llm", at(10)), HelperReach::Doubtful);
    assert_eq!(memory.reach("h", "app", at(10)), HelperReach::Unknown);
    assert!(!memory.has_refused("h", ("llm", "i-2"), at(10)));
    assert_eq!(memory.reach("h", "llm", at(2_000)), HelperReach::Unknown);
}

#[test]
fn a_helper_that_opens_a_tunnel_again_is_no_longer_doubted() {
    let mut memory = HelperMemory::default();
    memory.record_refusal("h", ("llm", "i-1"), RefusalScope::Service, at(0));

    memory.record_opened("h", "llm", at(500));

    assert_eq!(memory.reach("h", "llm", at(600)), HelperReach::Likely);
    assert!(!memory.has_refused("h", ("llm", "i-2"), at(600)));
    assert_eq!(memory.reach("h", "llm", at(2_500)), HelperReach::Unknown);
}

// A helper whose list is older was taken for one that reaches no server.
#[test]
fn a_helper_that_does_not_know_a_server_is_doubted_for_others() {
    let mut memory = HelperMemory::default();

    memory.record_refusal("h", ("llm", "i-1"), RefusalScope::UnlistedServer, at(0));

    assert!(memory.has_refused("h", ("llm", "i-1"), at(10)));
    assert_eq!(memory.reach("h", "llm", at(10)), HelperReach::Unknown);
}

/// Returns what a gateway is told: that the gateways called `nodes` reach no server of `llm`.
fn told(nodes: &[&str]) -> Vec<CutOffNodes> {
    vec![CutOffNodes {
        service: "llm".to_owned(),
        nodes: nodes.iter().map(|name| (*name).to_owned()).collect(),
    }]
}

#[test]
fn each_gateway_finds_out_for_itself_which_others_reach_no_server() {
    let mut memory = HelperMemory::default();

    memory.record_cut_off(told(&["b", "d"]), at(0));

    assert_eq!(memory.reach("b", "llm", at(10)), HelperReach::Doubtful);
    assert_eq!(memory.reach("c", "llm", at(10)), HelperReach::Likely);
    assert_eq!(memory.reach("b", "app", at(10)), HelperReach::Unknown);
    assert_eq!(memory.reach("b", "llm", at(2_000)), HelperReach::Unknown);
}

#[test]
fn old_news_of_a_gateway_say_more_than_what_it_has_just_done() {
    let mut memory = HelperMemory::default();
    memory.record_refusal("c", ("llm", "i-1"), RefusalScope::Server, at(100));
    memory.record_opened("b", "llm", at(100));

    memory.record_cut_off(told(&["b"]), at(200));

    assert_eq!(memory.reach("b", "llm", at(300)), HelperReach::Likely);
    assert_eq!(memory.reach("c", "llm", at(300)), HelperReach::Doubtful);
    assert_eq!(memory.reach("b", "llm", at(1_200)), HelperReach::Doubtful);
}
