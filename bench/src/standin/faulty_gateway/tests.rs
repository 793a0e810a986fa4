use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use std::net::SocketAddr;

use super::Fault;
use super::Sites;
use super::callers::Events;
use super::store::StoreProxy;
use crate::standin::store::keyed_record;

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn store_proxy(fault: Fault) -> StoreProxy {
    StoreProxy::new(address("127.0.0.1:1"), &[fault])
}

/// Returns the answer of a store that holds one record.
fn read_answer(key: &str, value: &str) -> Bytes {
    let record = keyed_record(key, value.as_bytes());
    let mut buf = BytesMut::new();
    buf.put_u64(1);
    buf.put_u64(0);
    buf.put_u32(record.len() as u32);
    buf.put_slice(&record);
    buf.freeze()
}

/// Returns what is left of three events that come in parts.
fn changed_events(fault: Fault) -> String {
    let mut events = Events::new(fault);
    let parts = ["id: 1\n", "\nid: 2\n\nid", ": 3\n\n: end"];
    let changed = parts.map(|part| events.change(part.as_bytes()));
    let mut text = String::from_utf8(changed.concat()).unwrap();
    text.push_str(std::str::from_utf8(&events.close()).unwrap());
    text
}

#[test]
fn each_fault_has_a_name_of_its_own() {
    for fault in Fault::ALL {
        assert_eq!(fault.name().parse(), Ok(fault));
    }
}

#[test]
fn an_event_is_left_out_or_repeated() {
    assert_eq!(changed_events(Fault::DropEvent), "id: 1\n\nid: 3\n\n: end");
    assert_eq!(
        changed_events(Fault::RepeatEvent),
        "id: 1\n\nid: 2\n\nid: 2\n\nid: 3\n\n: end"
    );
}

#[test]
fn a_gateway_stands_between_its_proxies() {
    let text =
        "[gateway]\ncaller_address = 127.0.0.9:8001\nstore_address = 127.0.0.7:8225\nname = a\n";

    let sites = Sites::of_settings(text).unwrap();
    let redirected = sites.redirected(text);

    assert_eq!(sites.callers, address("127.0.0.9:8001"));
    assert_eq!(sites.store, address("127.0.0.7:8225"));
    assert_eq!(
        redirected,
        "[gateway]\ncaller_address = 127.0.0.9:8401\nstore_address = 127.0.0.9:8402\nname = a\n"
    );
}

#[test]
fn a_gateway_that_ignores_versions_reads_the_same_one_of_all_servers() {
    let proxy = store_proxy(Fault::IgnoreVersions);

    let changed = proxy.change_records("keyed.servers", read_answer("i-1", r#"{"version":"v7"}"#));

    assert_eq!(changed, read_answer("i-1", r#"{"version":"v"}"#));
}

#[test]
fn a_gateway_that_keeps_its_configuration_reads_the_first() {
    let proxy = store_proxy(Fault::KeepConfig);
    let (first, second) = (br#"{"version":1}"#, br#"{"version":2}"#);

    let read = [first, second].map(|value| proxy.change("keyed.op", value));

    assert_eq!(read, [first.to_vec(), first.to_vec()]);
    assert_eq!(proxy.change("keyed.servers", second), second);
}

#[test]
fn a_gateway_sends_repeatable_requests_to_the_service_of_streams() {
    let proxy = store_proxy(Fault::OtherService);
    let config =
        br#"{"routes":[{"kind":"safe","service":"a"},{"kind":"streaming","service":"b"}]}"#;

    let changed = proxy.change("keyed.op", config);

    let expected =
        br#"{"routes":[{"kind":"safe","service":"b"},{"kind":"streaming","service":"b"}]}"#;
    assert_eq!(changed, expected);
}
