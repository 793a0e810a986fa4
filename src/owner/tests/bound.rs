use crate::border::generated::config::Service;
use crate::owner::bound::Bound;

fn service(bound_permille: u32, floor: u32) -> Service {
    Service {
        bound_permille,
        deadline_ms: 1_000,
        floor,
        kind: "model".to_owned(),
        name: "assistant".to_owned(),
        data_centres: Vec::new(),
        non_idempotent: Vec::new(),
    }
}

#[test]
fn the_limit_is_above_the_mean_and_within_the_bound() {
    arbtest::arbtest(|u| {
        let floor = u.int_in_range(1..=8)?;
        let count: u32 = u.int_in_range(1..=64)?;
        let sum: u32 = u.int_in_range(1..=4_000)?;
        let mean = f64::from(sum) / f64::from(count);

        let limit = Bound::new(&service(1_250, floor), 400).limit(mean);

        let allowed = (1.25 * mean).ceil().max(f64::from(floor));
        assert!(
            f64::from(limit) > mean,
            "{limit} at {mean} keeps the mean from growing"
        );
        assert!(f64::from(limit) <= allowed, "{limit} at {mean}");
        Ok(())
    })
    .seed(0x5eed_0001_0000_0400);
}

#[test]
fn the_floor_holds_at_low_load() {
    let bound = Bound::new(&service(1_250, 4), 400);

    assert_eq!(bound.limit(0.0), 4);
    assert_eq!(bound.limit(2.0), 4);
    assert_eq!(bound.limit(10.0), 11);
}
