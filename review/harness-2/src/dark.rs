//! A request that silences each replica that runs it, as a host does that goes dark.

use crate::Case;
use crate::Request;
use crate::Verdict;
use crate::http::wait_until;
use crate::manifest;
use crate::replica::Replica;
use crate::send;
use crate::store::Store;
use std::time::Duration;
use std::time::Instant;

/// `stable-ms` of the deployment.
const STABLE_MS: u64 = 3_000;
const MAX_RETRIES: usize = 3;
const BUDGET: Duration = Duration::from_secs(4);

pub fn run(case: &Case) -> Verdict {
    let store = Store::start().expect("the store");
    store.put("keyed.op", "config", &manifest(1, "tenant-one"));
    let _replicas: Vec<Replica> = ["i-1", "i-2", "i-3"]
        .iter()
        .map(|id| Replica::start(id, "register", &case.folder, &store, Duration::from_secs(2)))
        .collect();
    let gateways: Vec<_> = ["front-1", "front-2"]
        .iter()
        .map(|name| case.start_gateway(name, store.address))
        .collect();
    let are_ready = || gateways.iter().all(|gateway| gateway.is_ready());
    assert!(wait_until(Duration::from_secs(10), are_ready), "not ready");
    std::thread::sleep(Duration::from_secs(2));
    let body: &[u8] = if case.has_trouble { b"dark" } else { b"crash" };
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < Duration::from_secs(45) {
        number += 1;
        let id = format!("bad-{number}");
        let gateway = &gateways[number % 2];
        let request = Request {
            path: "/once/7",
            id: &id,
            body,
            budget: BUDGET,
            patience: BUDGET + Duration::from_secs(1),
        };
        let answer = send(gateway.callers, &request);
        case.note(format!(
            "consumer: {id} sent to {}, answer {answer:?}",
            gateway.name
        ));
        std::thread::sleep(Duration::from_millis(500));
    }
    let runs = case.note_runs();
    let at = |line: &String| {
        line.split(' ')
            .next()
            .and_then(|at| at.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let crashes: Vec<u64> = runs
        .iter()
        .filter(|line| line.contains(" crash of "))
        .map(at)
        .collect();
    let Some(third) = crashes.get(2).copied() else {
        case.note(format!("{} crashes", crashes.len()));
        return Verdict::Held;
    };
    let late = runs
        .iter()
        .filter(|line| line.contains(" run bad-") && at(line) > third + STABLE_MS)
        .count();
    case.note(format!(
        "{} crashes; retries that reached a replica later than stable-ms after the third: {late}",
        crashes.len()
    ));
    if late > MAX_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
