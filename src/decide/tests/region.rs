//! Replays requests that are bound to regions.

use super::super::Regions;

fn regions() -> Regions {
    let pairs = [("gavle", "north"), ("falun", "north"), ("malmo", "south")];
    Regions::new(pairs.map(|(a, b)| (a.to_owned(), b.to_owned())).to_vec())
}

fn list(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Guards against a binding that is read as a preference, and against one that binds requests without any.
#[test]
fn a_bound_request_is_served_in_its_regions_only() {
    let (regions, north) = (regions(), list(&["north"]));

    assert!(regions.may_serve("malmo", &[&[], &[]]));
    assert!(regions.may_serve("gavle", &[&north, &[]]));
    assert!(!regions.may_serve("malmo", &[&north, &[]]));
    assert!(!regions.may_serve("malmo", &[&[], &north]));
}

/// Guards against a team's wider binding that lifts the one of its route.
#[test]
fn the_bindings_of_route_and_team_hold_together() {
    let (regions, both, south) = (regions(), list(&["north", "south"]), list(&["south"]));

    assert!(regions.may_serve("malmo", &[&both, &south]));
    assert!(!regions.may_serve("gavle", &[&both, &south]));
}

/// Guards against bound requests that go to a data centre of which the settings say nothing.
#[test]
fn a_data_centre_of_an_unknown_region_gets_no_bound_request() {
    let (regions, north) = (regions(), list(&["north"]));

    assert!(!regions.may_serve("umea", &[&north, &[]]));
    assert!(regions.may_serve("umea", &[&[], &[]]));
}

/// Guards against a helper through which a bound request leaves its region.
#[test]
fn connections_are_carried_within_the_servers_region() {
    let regions = regions();

    assert!(regions.may_carry("falun", "gavle"));
    assert!(!regions.may_carry("malmo", "gavle"));
    assert!(Regions::default().may_carry("malmo", "gavle"));
}
