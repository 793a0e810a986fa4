//! A request, or each of several, crashes each engine that begins to run it, and comes again and again: how often does it
//! still reach engines?
//!
//! The rule: in three retries at most, sent later than `stable-ms` after it has crashed the third engine.

use crate::End;
use crate::consumer;
use crate::consumer::Outcomes;
use crate::consumer::Pace;
use crate::consumer::Request;
use crate::engine::CRASHING_BODY;
use crate::engines::Engines;
use crate::engines::SLOTS;
use crate::fleet;
use crate::fleet::Place;
use crate::fleet::Route;
use crate::fleet::Service;
use crate::record::Record;
use crate::replica::HEARTBEAT;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// `stable-ms` of the sheet.
const STABLE: Duration = Duration::from_millis(3_000);
const ALLOWED_RETRIES: usize = 3;
/// Time budget of brand-guess.
const BUDGET: Duration = Duration::from_millis(3_000);
/// Time of sound requests alone before the first crashing one, at least.
const LEAD: Duration = Duration::from_secs(4);
/// Time from a report of the engines to the first crashing request, so that the reports and the crashes follow each other in
/// the same order in each run.
const AFTER_REPORT: Duration = Duration::from_millis(200);

/// What is played.
pub struct Scenario {
    pub gateways: u8,
    pub engines: Engines,
    /// Sound requests a second.
    pub per_second: u64,
    /// Number of different crashing requests, which are sent in turn.
    pub requests: u32,
    /// Time between two sendings.
    pub interval: Duration,
    /// Number of all sendings.
    pub sendings: u32,
}

/// A gateway in each of three zones, and the sheet's load of brand-guess.
pub const RETRACTION: Scenario = Scenario {
    gateways: 3,
    engines: Engines {
        service: "tolk-servers",
        count: 9,
        prefill: Duration::from_millis(100),
        down: Duration::from_millis(6_750),
    },
    per_second: 24,
    requests: 1,
    interval: Duration::from_millis(5_000),
    sendings: 10,
};

/// One gateway, whose engines have their slots taken.
pub const SUSPECTS: Scenario = Scenario {
    gateways: 1,
    engines: Engines {
        service: "tolk-servers",
        count: 9,
        prefill: Duration::from_millis(700),
        down: Duration::from_millis(4_000),
    },
    per_second: 600,
    requests: 3,
    interval: Duration::from_millis(1_500),
    sendings: 30,
};

pub async fn play(
    place: &Place,
    record: &Record,
    has_trouble: bool,
    scenario: &Scenario,
) -> std::io::Result<End> {
    let store = fleet::start_store().await?;
    let route = Route {
        name: "brand-guess",
        kind: "streaming",
        service: "tolk-servers",
        timeout_ms: 3_000,
        aim_ms: 400,
        attempts: 2,
    };
    let service = Service {
        name: "tolk-servers",
        max_conns: 360,
        engine: Some((SLOTS, 605_236)),
    };
    fleet::put_manifest(&store, &[route], &[service]);
    let started_at = Instant::now();
    let seen = scenario.engines.start(&store, record);
    let gateways = fleet::start_gateways(place, scenario.gateways, &store, record).await?;
    let Some(mut gateways) = gateways else {
        return Ok(End::NotRun);
    };
    let callers: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let sound: Arc<Outcomes> = Arc::default();
    let mut pace = Pace::new(scenario.per_second);
    let mut lead = LEAD;
    let phase = (started_at.elapsed() + LEAD).as_millis() % HEARTBEAT.as_millis();
    let phase = Duration::from_millis(u64::try_from(phase).unwrap_or(0));
    lead += (HEARTBEAT + AFTER_REPORT).saturating_sub(phase);
    let mut sendings = 0;
    let mut tasks = tokio::task::JoinSet::new();
    let length = lead + scenario.interval * scenario.sendings;
    while pace.elapsed() < length {
        for number in pace.due().await {
            let address = callers[number as usize % callers.len()];
            let (record, sound) = (record.clone(), Arc::clone(&sound));
            tasks.spawn(async move {
                let (shared, own) = (0xa000 + number * 7 % 79, 0x10_0000 + number);
                let parts = format!("{shared:x}:2041,{own:x}:360");
                let id = format!("r{number:08}");
                record.add(&format!("{id} is sent"));
                let headers = headers(&parts);
                let outcome = consumer::send(address, &request(&id, &headers, b"a brand")).await;
                record.add(&format!("{id} ends: {outcome:?}"));
                sound.add(outcome);
            });
        }
        let is_due = pace.elapsed() > lead + scenario.interval * sendings;
        if has_trouble && is_due && sendings < scenario.sendings {
            let which = sendings % scenario.requests;
            sendings += 1;
            let address = callers[sendings as usize % callers.len()];
            let record = record.clone();
            tasks.spawn(async move {
                let id = format!("{}{sendings:06}", prefix(which));
                record.add(&format!("{id}, which crashes engines, is sent"));
                let headers = headers(&format!("beef{which}:2041,c0de{which}:360"));
                let body = format!("{CRASHING_BODY} {which}");
                let request = request(&id, &headers, body.as_bytes());
                let outcome = consumer::send(address, &request).await;
                record.add(&format!("{id} ends: {outcome:?}"));
            });
        }
    }
    while tasks.join_next().await.is_some() {}
    record.say(&format!("sound requests: {}", sound.describe()));
    let has_run = fleet::are_running(&mut gateways, record)
        && sound.served() * 2 > pace.sent()
        && (!has_trouble || !seen.crashes("").is_empty());
    if !has_run {
        return Ok(End::NotRun);
    }
    let mut is_broken = false;
    for which in 0..scenario.requests {
        let crashes = seen.crashes(&prefix(which));
        let arrivals = seen.arrivals(&prefix(which));
        let from = crashes.get(2).map(|third| *third + STABLE);
        let late = arrivals
            .iter()
            .filter(|at| from.is_some_and(|from| **at > from));
        let late = late.count();
        record.say(&format!(
            "crashing request {which}, of {sendings} sendings in all: reached engines {} times and crashed {}; {late} \
             times later than {} ms after its third crash, {ALLOWED_RETRIES} are allowed",
            arrivals.len(),
            crashes.len(),
            STABLE.as_millis()
        ));
        is_broken |= late > ALLOWED_RETRIES;
    }
    Ok(if is_broken { End::Broken } else { End::Held })
}

/// Returns the beginning of the ids of the sendings of a crashing request.
fn prefix(which: u32) -> String {
    format!("c{which}-")
}

fn headers(parts: &str) -> String {
    format!(
        "currantbend-model: m\r\ncurrantbend-token-counts: 2401,24\r\ncurrantbend-prompt-prefix: {parts}\r\n"
    )
}

fn request<'a>(id: &'a str, headers: &'a str, body: &'a [u8]) -> Request<'a> {
    Request {
        method: "POST",
        route: "brand-guess",
        id,
        time: BUDGET,
        headers,
        body,
    }
}
