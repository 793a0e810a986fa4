use super::BalancerOptions;
use super::Rotation;
use std::ffi::OsString;

/// Returns the rotation of four gateways in data centre 0 and one each in 1, of the same region, and in 2, all of them ready.
fn rotation() -> Rotation {
    let regions = ["north", "north", "south"].map(str::to_owned);
    let mut rotation = Rotation::new(regions.to_vec(), vec![0, 0, 0, 0, 1, 2]);
    (0..6).for_each(|gateway| rotation.set_ready(gateway, true));
    rotation
}

/// Returns the gateways that callers of data centre 0 reach.
fn reached(rotation: &Rotation) -> Vec<usize> {
    let chosen = (0..100).filter_map(|hash| rotation.choose(0, hash));
    let mut chosen: Vec<usize> = chosen.collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

#[test]
fn gateways_that_are_not_ready_get_no_callers() {
    let mut rotation = rotation();

    rotation.set_ready(1, false);
    rotation.set_ready(2, false);

    assert_eq!(reached(&rotation), [0, 3]);
}

#[test]
fn all_gateways_of_a_data_centre_are_used_if_fewer_than_half_are_ready() {
    let mut rotation = rotation();

    (1..4).for_each(|gateway| rotation.set_ready(gateway, false));

    assert_eq!(reached(&rotation), [0, 1, 2, 3]);
}

#[test]
fn the_nearest_data_centres_are_used_if_no_gateway_is_ready() {
    let mut rotation = rotation();

    (0..4).for_each(|gateway| rotation.set_ready(gateway, false));
    let nearest = reached(&rotation);
    rotation.set_ready(4, false);
    let others = reached(&rotation);
    rotation.set_ready(5, false);

    assert_eq!(nearest, [4]);
    assert_eq!(others, [5]);
    assert_eq!(reached(&rotation), [0, 1, 2, 3]);
}

#[test]
fn gateways_that_were_never_ready_do_not_count() {
    let regions = vec!["north".to_owned()];
    let mut rotation = Rotation::new(regions, vec![0; 5]);

    rotation.set_ready(0, true);
    rotation.set_ready(1, true);
    rotation.set_ready(1, false);

    assert_eq!(reached(&rotation), [0]);
}

#[test]
fn the_arguments_hold_all_options() {
    let args = [
        "--place=north,127.0.0.1:1",
        "--gateway=0,127.0.0.1:2,127.0.0.1:3",
    ];

    let options = BalancerOptions::parse(args.map(OsString::from).to_vec());

    assert_eq!(
        options.ok().map(|it| it.to_args()),
        Some(args.map(str::to_owned).to_vec())
    );
}
