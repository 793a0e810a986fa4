//! Tests of signing, verification and replay detection.

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

/// Returns the headers of an attempt to incarnation 7 of the node `n2`.
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
fn an_attempt_is_accepted_once() {
    let signer = Signer::new(key('1'));
    let verifier = Verifier::new("n2", key('1'));
    let headers = signed(&signer);

    let verified = verifier.verify("/hop", &headers, 7).unwrap();

    assert_eq!(verified.head.from, "n1");
    assert_eq!(refused(&verifier, &headers, 7), VerifyError::Replayed);
    assert!(verifier.verify("/hop", &signed(&signer), 7).is_ok());
}

#[test]
fn a_replayed_attempt_is_refused_after_a_restart_by_other_nodes_and_on_other_paths() {
    let headers = signed(&Signer::new(key('1')));
    let other = Verifier::new("n3", key('1'));
    let restarted = Verifier::new("n2", key('1'));

    assert_eq!(refused(&other, &headers, 7), VerifyError::Misdirected);
    assert_eq!(refused(&restarted, &headers, 8), VerifyError::Misdirected);
    let other_path = restarted.verify("/call", &headers, 7).unwrap_err();
    assert_eq!(other_path, VerifyError::Stranger);
}

#[test]
fn a_body_that_was_not_signed_is_detected() {
    let verifier = Verifier::new("n2", key('1'));
    let verified = verifier
        .verify("/hop", &signed(&Signer::new(key('1'))), 7)
        .unwrap();

    assert!(verified.has_body(BODY));
    assert!(!verified.has_body(b"[]"));
    assert!(!verified.has_body(b"{} "));
}

/// A client without the deployment's key can send any headers. Headers that were changed, left out or forged must be
/// refused.
#[test]
fn changed_missing_or_forged_headers_are_refused_as_unauthenticated() {
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

        let mut incomplete = headers.clone();
        incomplete.remove(&name);
        assert_eq!(refused(&verifier, &incomplete, 7), VerifyError::Stranger);
    }
    assert!(verifier.verify("/hop", &headers, 7).is_ok());
}

/// In any order of arrival, no attempt is accepted twice, and no new attempt within the window is refused.
#[test]
fn attempts_out_of_order_are_accepted_once_each() {
    arbtest::arbtest(|u| {
        let replays = ReplayFilter::default();
        let mut received = Vec::new();
        let mut highest: u64 = 0;
        for _ in 0..64 {
            let back = u.int_in_range(0..=5_000)?;
            let ahead = u.int_in_range(0..=600)?;
            let count = (highest + ahead).saturating_sub(back).max(1);
            let is_new = replays.insert("n1", 1, count);
            let is_recent = count > highest || highest - count < 4_096;
            assert_eq!(is_new, is_recent && !received.contains(&count));
            received.push(count);
            highest = highest.max(count);
        }
        Ok(())
    })
    .seed(0x686f_7000_0000_0200);
}

#[test]
fn attempts_of_epochs_that_are_no_longer_stored_are_refused() {
    let replays = ReplayFilter::default();
    for epoch in 1..=5 {
        assert!(replays.insert("n1", epoch, 1));
    }

    assert!(!replays.insert("n1", 1, 2));
    assert!(!replays.insert("n1", 2, 1));
    assert!(replays.insert("n1", 2, 2));
    assert!(replays.insert("n3", 1, 1));
}
