//! A request crashes each engine that begins to run it, and comes again and again: how often does it still reach engines?
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
    /// Time between two sendings of the crashing request.
    pub interval: Duration,
    /// Number of sendings of the crashing request.
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
    per_second: 700,
    interval: Duration::from_millis(4_500),
    sendings: 10,
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
    let Some(gateways) = gateways else {
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
            let sound = Arc::clone(&sound);
            tasks.spawn(async move {
                let (shared, own) = (0xa000 + number * 7 % 79, 0x10_0000 + number);
                let parts = format!("{shared:x}:2041,{own:x}:360");
                let id = format!("r{number:08}");
                sound.add(
                    consumer::send(address, &request(&id, &headers(&parts), b"a brand")).await,
                );
            });
        }
        let is_due = pace.elapsed() > lead + scenario.interval * sendings;
        if has_trouble && is_due && sendings < scenario.sendings {
            sendings += 1;
            let address = callers[sendings as usize % callers.len()];
            let record = record.clone();
            tasks.spawn(async move {
                let id = format!("c{sendings:08}");
                record.add(&format!("{id}, which crashes engines, is sent"));
                let headers = headers("beef:2041,c0de:360");
                let outcome = consumer::send(address, &request(&id, &headers, CRASHING_BODY)).await;
                record.add(&format!("{id} ends: {outcome:?}"));
            });
        }
    }
    while tasks.join_next().await.is_some() {}
    let crashes = seen.crashes();
    let arrivals = seen.arrivals();
    let from = crashes.get(2).map(|third| *third + STABLE);
    let late = arrivals
        .iter()
        .filter(|at| from.is_some_and(|from| **at > from));
    let late = late.count();
    record.say(&format!("sound requests: {}", sound.describe()));
    record.say(&format!(
        "the crashing request was sent {sendings} times, reached engines {} times and crashed {}; {late} times later \
         than {} ms after the third crash, {ALLOWED_RETRIES} are allowed",
        arrivals.len(),
        crashes.len(),
        STABLE.as_millis()
    ));
    Ok(if late > ALLOWED_RETRIES {
        End::Broken
    } else {
        End::Held
    })
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
