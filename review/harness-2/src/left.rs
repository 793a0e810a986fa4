//! A request that crashes each replica that runs it, whose consumer leaves before the crash and sends it again.

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
    let patience = if case.has_trouble {
        Duration::from_millis(150)
    } else {
        Duration::from_secs(4)
    };
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < Duration::from_secs(40) {
        number += 1;
        let id = format!("bad-{number}");
        let gateway = &gateways[number % 2];
        let request = Request {
            path: "/once/7",
            id: &id,
            body: b"crash",
            budget: Duration::from_secs(4),
            patience,
        };
        let answer = send(gateway.callers, &request);
        case.note(format!(
            "consumer: {id} sent to {}, answer {answer:?}",
            gateway.name
        ));
        for sound in 0..2 {
            let id = format!("sound-{number}-{sound}");
            let request = Request {
                path: "/once/1",
                id: &id,
                body: id.as_bytes(),
                budget: Duration::from_secs(4),
                patience: Duration::from_secs(4),
            };
            let answer = send(gateway.callers, &request);
            case.note(format!(
                "consumer: {id} sent to {}, answer {answer:?}",
                gateway.name
            ));
        }
        std::thread::sleep(Duration::from_millis(1_200));
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
