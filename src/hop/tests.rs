use super::codec;
use super::mac;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::settings::DeploymentKey;
use std::time::Duration;

fn key(digit: char) -> DeploymentKey {
    digit.to_string().repeat(64).parse().unwrap()
}

#[test]
fn refusals_survive_the_hop() {
    let mut refusals = vec![Refusal::NotRun {
        reason: NotRun::Busy,
        retry_after: Some(Duration::from_millis(70)),
        next: Some("e2".to_owned()),
    }];
    refusals.extend(NotRun::ALL.iter().map(|&reason| Refusal::not_run(reason)));
    refusals.extend(Unknown::ALL.iter().map(|&reason| Refusal::unknown(reason)));

    for refusal in refusals {
        let sent = codec::to_header(&codec::refused("a1", &refusal, String::new())).unwrap();
        let reply = codec::from_header(sent.as_bytes()).unwrap();

        assert_eq!(codec::refusal_of(&reply), Some(refusal));
    }
}

#[test]
fn only_the_same_key_makes_the_code() {
    let code = mac::code(&key('1'), b"head");

    assert!(mac::is_valid(&key('1'), b"head", &code));
    assert!(!mac::is_valid(&key('2'), b"head", &code));
    assert!(!mac::is_valid(&key('1'), b"heaD", &code));
}
