use super::IdempotencyKey;
use super::KeyError;

#[test]
fn only_uuids_of_version_7_are_keys() {
    let seven = "0190b6c5-7c3e-7e4a-9d5b-2f6c8a1e4b3d";
    let four = "0190b6c5-7c3e-4e4a-9d5b-2f6c8a1e4b3d";

    assert_eq!(seven.parse::<IdempotencyKey>().unwrap().to_string(), seven);
    assert_eq!(four.parse::<IdempotencyKey>(), Err(KeyError));
    assert_eq!("".parse::<IdempotencyKey>(), Err(KeyError));
}
