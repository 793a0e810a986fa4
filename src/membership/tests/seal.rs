//! Frames and handshakes that the MAC check accepts and refuses.

use super::fixtures::key;
use crate::membership::seal;
use crate::membership::seal::Seal;
use crate::membership::seal::Side;

fn ends(dialer: &str, acceptor: &str) -> (Seal, Seal) {
    let side = |side| Seal::new(&key('1'), side, dialer, acceptor);
    (side(Side::Dialer), side(Side::Acceptor))
}

#[test]
fn frames_are_accepted_in_order() {
    let (mut dialer, mut acceptor) = ends("a", "b");

    for payload in [b"one", b"two"] {
        let frame = dialer.seal(payload.to_vec());
        assert_eq!(acceptor.open(&frame), Some(payload.as_slice()));
    }
}

#[test]
fn repeated_changed_reflected_and_foreign_frames_are_refused() {
    let (mut dialer, mut acceptor) = ends("a", "b");
    let frame = dialer.seal(b"one".to_vec());
    let mut changed = frame.clone();
    changed[0] ^= 1;

    assert_eq!(acceptor.open(&changed), None);
    assert_eq!(acceptor.open(&frame[..7]), None);
    assert!(acceptor.open(&frame).is_some());
    assert_eq!(acceptor.open(&frame), None);
    assert_eq!(dialer.open(&frame), None);
    assert_eq!(ends("a", "c").1.open(&frame), None);
}

#[test]
fn a_handshake_mac_covers_both_nodes_and_needs_the_key() {
    let mac = seal::handshake_mac(&key('1'), "n1", "n2", "nonce");

    assert!(seal::is_handshake_mac_valid(
        &key('1'),
        "n1",
        "n2",
        "nonce",
        &mac
    ));
    assert!(!seal::is_handshake_mac_valid(
        &key('2'),
        "n1",
        "n2",
        "nonce",
        &mac
    ));
    assert!(!seal::is_handshake_mac_valid(
        &key('1'),
        "n1",
        "n3",
        "nonce",
        &mac
    ));
    assert!(!seal::is_handshake_mac_valid(
        &key('1'),
        "n3",
        "n2",
        "nonce",
        &mac
    ));
}
