//! The replicas of a service are brittle and say so: how often do they fall over?
//!
//! The rule: no more often than 2 + a tenth of their number, in one time in which they say so.

use crate::End;
use crate::consumer;
use crate::consumer::Outcomes;
use crate::consumer::Pace;
use crate::consumer::Request;
use crate::fleet;
use crate::fleet::Place;
use crate::fleet::Route;
use crate::fleet::Service;
use crate::record::Record;
use crate::replica::Brittle;
use crate::replica::Plan;
use crate::replica::Replica;
use crate::replica::lock;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

const GATEWAYS: u8 = 3;
/// The sheet's register-app.
const REPLICAS: u8 = 3;
const SLOTS: u32 = 6;
const QUEUE: u32 = 24;
const WORK: Duration = Duration::from_millis(60);
const BUDGET: Duration = Duration::from_secs(4);
/// As many requests a second as the replicas can run.
const PER_SECOND: u64 = 300;
/// Rejections in a second that a brittle replica bears.
const REJECTIONS: usize = 10;
/// Number of requests that a brittle replica lets wait: half of the usual.
const BRITTLE_QUEUE: u32 = 12;
/// `stable-ms` of the sheet: the time from which brittle replicas let fewer wait.
const STABLE: Duration = Duration::from_millis(3_000);
const DOWN: Duration = Duration::from_secs(4);
const LEAD: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(30);

pub async fn play(place: &Place, record: &Record, has_trouble: bool) -> std::io::Result<End> {
    let store = fleet::start_store().await?;
    let route = Route {
        name: "code-register",
        kind: "unsafe",
        service: "register-app",
        timeout_ms: 4_000,
        aim_ms: 300,
        attempts: 2,
    };
    let service = Service {
        name: "register-app",
        max_conns: 100,
        engine: None,
    };
    fleet::put_manifest(&store, &[route], &[service]);
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let plan = Plan {
            id: format!("i-{number}"),
            service: "register-app".to_owned(),
            zone: fleet::zone(number).to_owned(),
            slots: SLOTS,
            queue: QUEUE,
            work: WORK,
        };
        let host = fleet::host(100 + number);
        replicas.push(Replica::start(plan, host, &store, record).await?);
    }
    let gateways = fleet::start_gateways(place, GATEWAYS, &store, record).await?;
    let Some(mut gateways) = gateways else {
        return Ok(End::NotRun);
    };
    let callers: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let outcomes: Arc<Outcomes> = Arc::default();
    let mut pace = Pace::new(PER_SECOND);
    let mut is_brittle = false;
    let mut tasks = tokio::task::JoinSet::new();
    while pace.elapsed() < LENGTH {
        if has_trouble && !is_brittle && pace.elapsed() > LEAD {
            is_brittle = true;
            record.say(&format!(
                "the replicas are brittle: they bear {REJECTIONS} rejections a second"
            ));
            for replica in &replicas {
                *lock(&replica.shared.brittle) = Some(Brittle {
                    rejections: REJECTIONS,
                    queue: BRITTLE_QUEUE,
                    since: Instant::now(),
                    delay: STABLE,
                    down: DOWN,
                });
            }
        }
        for number in pace.due().await {
            let address = callers[number as usize % callers.len()];
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            tasks.spawn(async move {
                let id = format!("r{number:08}");
                record.add(&format!("{id} is sent"));
                let request = Request {
                    method: "POST",
                    route: "code-register",
                    id: &id,
                    time: BUDGET,
                    headers: "",
                    body: &[b'x'; 600],
                };
                let outcome = consumer::send(address, &request).await;
                record.add(&format!("{id} ends: {outcome:?}"));
                outcomes.add(outcome);
            });
        }
    }
    while tasks.join_next().await.is_some() {}
    let count = |of: &dyn Fn(&Replica) -> &AtomicU64| -> u64 {
        replicas
            .iter()
            .map(|replica| of(replica).load(Relaxed))
            .sum()
    };
    let falls = replicas
        .iter()
        .map(|replica| lock(&replica.shared.falls).len());
    let falls: usize = falls.sum();
    record.say(&format!("consumers' requests: {}", outcomes.describe()));
    record.say(&format!(
        "replicas: {} requests run, {} rejected, {} broken off; they fell over {falls} times, 2 + a tenth of \
         {REPLICAS} are allowed",
        count(&|replica| &replica.shared.ran),
        count(&|replica| &replica.shared.rejected),
        count(&|replica| &replica.shared.lost)
    ));
    let has_run = fleet::are_running(&mut gateways, record)
        && outcomes.served() * if has_trouble { 10 } else { 2 } > pace.sent();
    if !has_run {
        return Ok(End::NotRun);
    }
    let is_broken = falls * 10 > 20 + usize::from(REPLICAS);
    Ok(if is_broken { End::Broken } else { End::Held })
}
