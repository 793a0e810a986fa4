//! What the hop keeps out.

use super::attempt;
use super::key;
use crate::hop::replay::ReplayFilter;
use crate::hop::signing::Signer;
use crate::hop::signing::Verifier;
use crate::hop::signing::VerifyError;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

const BODY: &[u8] = b"{}";

/// Headers of an attempt to incarnation 7 of the node `n2`.
fn signed(signer: &Signer) -> HeaderMap {
    let mut head = attempt(String::new()).head;
    head.body_len = BODY.len() as u64;
    let headers = signer.sign("/hop", "n2", 7, &head, BODY).unwrap();
    headers
        .into_iter()
        .map(|(name, value)| (HeaderName::from_static(name), value))
        .collect()
}

fn refused(verifier: &Verifier, headers: &HeaderMap, incarnation: u64) -> VerifyError {
    verifier.verify("/hop", headers, incarnation).unwrap_err()
}

#[test]
fn an_attempt_comes_once() {
    let signer = Signer::new(key('1'));
    let verifier = Verifier::new("n2", key('1'));
    let headers = signed(&signer);

    let verified = verifier.verify("/hop", &headers, 7).unwrap();

    assert_eq!(verified.head.from, "n1");
    assert_eq!(refused(&verifier, &headers, 7), VerifyError::Replayed);
    assert!(verifier.verify("/hop", &signed(&signer), 7).is_ok());
}

#[test]
fn a_recorded_attempt_is_refused_after_a_restart_by_other_nodes_and_on_other_paths() {
    let headers = signed(&Signer::new(key('1')));
    let other = Verifier::new("n3", key('1'));
    let restarted = Verifier::new("n2", key('1'));

    assert_eq!(refused(&other, &headers, 7), VerifyError::Misdirected);
    assert_eq!(refused(&restarted, &headers, 8), VerifyError::Misdirected);
    let elsewhere = restarted.verify("/call", &headers, 7).unwrap_err();
    assert_eq!(elsewhere, VerifyError::Stranger);
}

#[test]
fn a_body_that_was_not_signed_is_noticed() {
    let verifier = Verifier::new("n2", key('1'));
    let verified = verifier
        .verify("/hop", &signed(&Signer::new(key('1'))), 7)
        .unwrap();

    assert!(verified.has_body(BODY));
    assert!(!verified.has_body(b"[]"));
    assert!(!verified.has_body(b"{} "));
}

/// A caller who does not know the key can send what it likes: no header may be changed, left out or made up.
#[test]
fn headers_that_were_changed_or_made_without_the_key_are_a_strangers() {
    let verifier = Verifier::new("n2", key('1'));
    let forged = signed(&Signer::new(key('2')));
    assert_eq!(refused(&verifier, &forged, 7), VerifyError::Stranger);

    let headers = signed(&Signer::new(key('1')));
    let names: Vec<HeaderName> = headers.keys().cloned().collect();
    assert_eq!(names.len(), 4);
    for name in names {
        let mut changed = headers.clone();
        let mut value = changed[&name].as_bytes().to_vec();
        *value.last_mut().unwrap() ^= 1;
        changed.insert(&name, HeaderValue::from_bytes(&value).unwrap());
        assert_eq!(refused(&verifier, &changed, 7), VerifyError::Stranger);

        let mut lacking = headers.clone();
        lacking.remove(&name);
        assert_eq!(refused(&verifier, &lacking, 7), VerifyError::Stranger);
    }
    assert!(verifier.verify("/hop", &headers, 7).is_ok());
}

/// Whatever the order in which attempts come, none is taken twice, and none that is recent is refused.
#[test]
fn attempts_out_of_order_are_taken_once_each() {
    arbtest::arbtest(|u| {
        let replays = ReplayFilter::default();
        let mut taken = Vec::new();
        let mut highest: u64 = 0;
        for _ in 0..64 {
            let back = u.int_in_range(0..=5_000)?;
            let ahead = u.int_in_range(0..=600)?;
            let count = (highest + ahead).saturating_sub(back).max(1);
            let is_new = replays.insert("n1", 1, count);
            let is_recent = count > highest || highest - count < 4_096;
            assert_eq!(is_new, is_recent && !taken.contains(&count));
            taken.push(count);
            highest = highest.max(count);
        }
        Ok(())
    })
    .seed(0x686f_7000_0000_0200);
}

#[test]
fn processes_of_a_sender_that_are_no_longer_remembered_are_refused() {
    let replays = ReplayFilter::default();
    for epoch in 1..=5 {
        assert!(replays.insert("n1", epoch, 1));
    }

    assert!(!replays.insert("n1", 1, 2));
    assert!(!replays.insert("n1", 2, 1));
    assert!(replays.insert("n1", 2, 2));
    assert!(replays.insert("n3", 1, 1));
}
