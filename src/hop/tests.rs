mod signing;

use super::HEAD_HEADER;
use super::PROTOCOL_VERSION;
use super::RemoteOwner;
use super::codec;
use super::mac;
use crate::border::generated::peer::HopHead;
use crate::border::generated::peer::HopReply;
use crate::border::generated::peer::Priority;
use crate::membership::Node;
use crate::net::Client;
use crate::net::ClientOptions;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Attempt;
use crate::settings::DeploymentKey;
use crate::tests::check;
use crate::timeline::Timeline;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use uhlc::Timestamp;

fn key(digit: char) -> DeploymentKey {
    digit.to_string().repeat(64).parse().unwrap()
}

#[test]
fn an_encoded_refusal_decodes_to_the_same_refusal() {
    let mut refusals = vec![Refusal::NotRun {
        reason: NotRun::Busy,
        retry_after: Some(Duration::from_millis(70)),
        next: Some("e2".to_owned()),
    }];
    refusals.extend(NotRun::ALL.iter().map(|&reason| Refusal::not_run(reason)));
    refusals.extend(Unknown::ALL.iter().map(|&reason| Refusal::unknown(reason)));

    for refusal in refusals {
        let sent = codec::to_header(&codec::refused_reply("a1", &refusal, String::new())).unwrap();
        let reply = codec::from_header(sent.as_bytes()).unwrap();

        assert_eq!(codec::refusal_of(&reply), Some(refusal));
    }
}

#[test]
fn a_code_is_valid_for_its_key_and_message_only() {
    let code = mac::code(&key('1'), b"head");

    assert!(mac::is_valid(&key('1'), b"head", &code));
    assert!(!mac::is_valid(&key('2'), b"head", &code));
    assert!(!mac::is_valid(&key('1'), b"heaD", &code));
}

fn attempt(hlc: String) -> Attempt {
    let head = HopHead {
        v: PROTOCOL_VERSION,
        id: "a1".to_owned(),
        request: "r1".to_owned(),
        from: "n1".to_owned(),
        service: "assistant".to_owned(),
        backend: "e1".to_owned(),
        team: "t1".to_owned(),
        chat: None,
        priority: Priority::Interactive,
        deadline_ms: 1_000,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        content_type: None,
        body_len: 0,
        hops: 0,
        tried: Vec::new(),
        key: None,
        resume_from: None,
        no_spill: false,
        cached_on: None,
        hlc,
    };
    Attempt {
        head,
        body: Bytes::new(),
    }
}

fn node() -> Node {
    Node {
        name: "n2".to_owned(),
        data_centre: "gavle".to_owned(),
        region: "north".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 7,
    }
}

#[tokio::test]
async fn the_stamp_of_an_attempt_is_later_than_the_event_that_records_its_sending() {
    let timeline = Arc::new(Timeline::silent());
    let client = Client::new(&ClientOptions::default());
    let remote = RemoteOwner::new(client, key('1'), Arc::clone(&timeline));
    let attempt = attempt(timeline.stamp());
    let sent: Timestamp = timeline.stamp().parse().unwrap();

    let req = remote.encode(&node(), super::HOP_PATH, &attempt).unwrap();

    let head = req.headers().get(HEAD_HEADER).unwrap();
    let head: HopHead = codec::from_header(head.as_bytes()).unwrap();
    assert!(head.hlc.parse::<Timestamp>().unwrap() > sent);
}

#[test]
fn decoding_any_header_bytes_does_not_panic() {
    check(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let mut cbor = Vec::new();
        cbor.extend_from_slice(codec::encode_base64(&bytes).as_bytes());

        for value in [&bytes, &cbor] {
            let _ = codec::from_header::<HopHead>(value);
            let _ = codec::from_header::<HopReply>(value);
        }
        assert_eq!(codec::decode_base64(&cbor), Ok(bytes));
        Ok(())
    });
}

#[test]
fn decoding_a_changed_or_truncated_head_does_not_panic() {
    check(|u| {
        let encoded = codec::to_header(&attempt("1/1".to_owned()).head).unwrap();
        let mut value = encoded.into_bytes();
        let i = u.choose_index(value.len())?;
        value[i] = u.arbitrary()?;
        value.truncate(u.int_in_range(0..=value.len())?);

        let _ = codec::from_header::<HopHead>(&value);
        Ok(())
    });
}
