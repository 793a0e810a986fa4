//! Tests an owner with a simulated engine: when it sends requests to the engine, and until when a request counts
//! towards the engine's load.

#![expect(
    clippy::unwrap_used,
    reason = "A test panics on any unexpected result."
)]

use bytes::Bytes;
use currantbend::border::HttpBackends;
use currantbend::border::generated::config::Entry;
use currantbend::border::generated::config::Object;
use currantbend::border::generated::config::Service;
use currantbend::border::generated::config::Snapshot;
use currantbend::border::generated::peer::HopHead;
use currantbend::border::generated::peer::Priority;
use currantbend::border::generated::platform::Host;
use currantbend::border::generated::platform::HostRole;
use currantbend::border::generated::platform::HostState;
use currantbend::config::ConfigSource;
use currantbend::config::State;
use currantbend::membership::Membership;
use currantbend::membership::View;
use currantbend::operations::Metrics;
use currantbend::outcome::NotRun;
use currantbend::outcome::Refusal;
use currantbend::owner::Attempt;
use currantbend::owner::LoadPoller;
use currantbend::owner::Owner;
use currantbend::owner::OwnerParts;
use currantbend::routing::Loads;
use currantbend::settings::Settings;
use currantbend::timeline::Timeline;
use currantbend_bench::standin::engine::Engine;
use currantbend_bench::standin::engine::EngineGroup;
use currantbend_bench::standin::engine::EngineOptions;
use currantbend_bench::truth::Truth;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

const SERVICE: &str = "assistant";
/// Maximum time to wait for an expected state.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const SETTINGS: &str = "[node]\nname = n1\ndata_centre = dc1\nregion = r1\ncaller_address = 127.0.0.1:1\n\
    peer_address = 127.0.0.1:2\noperations_address = 127.0.0.1:3\n\
    key = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n\
    [platform]\nlog_address = 127.0.0.1:4\nhost_list_address = 127.0.0.1:5\n";

/// Hosts and configuration that never change.
struct StaticFleet {
    view: Arc<View>,
    state: Arc<State>,
}

impl Membership for StaticFleet {
    fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }
}

impl ConfigSource for StaticFleet {
    fn state(&self) -> Arc<State> {
        Arc::clone(&self.state)
    }
}

fn host(name: &str, address: SocketAddr, role: HostRole) -> Host {
    Host {
        name: name.to_owned(),
        address: address.to_string(),
        data_centre: "dc1".to_owned(),
        region: "r1".to_owned(),
        role,
        state: HostState::Live,
        service: Some(SERVICE.to_owned()),
        checks_fencing: None,
    }
}

/// Builds the configuration, which declares the engines' service only.
fn config_state() -> State {
    let service = Service {
        bound_permille: 1_250,
        data_centres: Vec::new(),
        deadline_ms: 10_000,
        floor: 4,
        kind: "model".to_owned(),
        name: SERVICE.to_owned(),
        non_idempotent: Vec::new(),
    };
    let entry = Entry {
        version: 0,
        change: "c".to_owned(),
        operator: "op".to_owned(),
        object: Object::Service { service },
    };
    State::from_snapshot(Snapshot {
        at: 0,
        entries: vec![entry],
        seen: Vec::new(),
    })
}

/// Starts an engine that generates one token every 20 ms.
async fn start_engine() -> Engine {
    let options = EngineOptions {
        name: "e1".to_owned(),
        service: SERVICE.to_owned(),
        token_ms: 20,
        ..EngineOptions::default()
    };
    let any_port = ([127, 0, 0, 1], 0).into();
    let group = EngineGroup::new(SERVICE);
    Engine::start(any_port, options, Truth::new(), group)
        .await
        .unwrap()
}

/// Creates the owner that runs on `node`, in a fleet whose only live node is n1. Therefore, n1 owns the engine.
fn new_owner(node: &str, engine: &Engine) -> Arc<Owner> {
    let hosts = [
        host("n1", ([127, 0, 0, 1], 9).into(), HostRole::Entry),
        host("e1", engine.address(), HostRole::Engine),
    ];
    let fleet = Arc::new(StaticFleet {
        view: Arc::new(View::from_hosts(&hosts)),
        state: Arc::new(config_state()),
    });
    Arc::new(Owner::new(OwnerParts {
        node: node.to_owned(),
        settings: Settings::parse(SETTINGS).unwrap().owner,
        exchange_interval: Duration::from_millis(50),
        is_bounded: true,
        config: Arc::clone(&fleet) as Arc<dyn ConfigSource>,
        membership: fleet,
        backends: Arc::new(HttpBackends::new(None, Arc::new(Metrics::new()))),
        loads: Arc::new(Loads::default()),
        timeline: Arc::new(Timeline::silent()),
    }))
}

fn attempt(id: &str, tokens: u32) -> Attempt {
    let body = format!(
        r#"{{"model":"{SERVICE}","stream":true,"max_tokens":{tokens},"messages":[{{"role":"user","content":"{id}"}}]}}"#
    );
    let body = Bytes::from(body);
    let head = HopHead {
        v: 1,
        id: id.to_owned(),
        request: id.to_owned(),
        from: "n2".to_owned(),
        service: SERVICE.to_owned(),
        backend: "e1".to_owned(),
        team: "team-1".to_owned(),
        chat: None,
        priority: Priority::Interactive,
        deadline_ms: 5_000,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        content_type: Some("application/json".to_owned()),
        body_len: body.len() as u64,
        hops: 0,
        tried: Vec::new(),
        key: None,
        resume_from: None,
        no_spill: false,
        cached_on: None,
        hlc: String::new(),
    };
    Attempt { head, body }
}

/// Returns how many requests the owner counts at its engines.
fn owned_load(owner: &Owner) -> u32 {
    owner.owned_loads().iter().map(|load| load.l).sum()
}

async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < MAX_WAIT,
            "timed out waiting for {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends attempts until one is answered, as an entry does for callers that retry rejected requests.
async fn run_until_answered(owner: &Owner, tokens: u32) -> currantbend::owner::Answer {
    let start = Instant::now();
    loop {
        match owner
            .run(&attempt(&format!("a{:?}", start.elapsed()), tokens))
            .await
        {
            Ok(answer) => return answer,
            Err(refusal) => assert!(refusal.is_not_run(), "{refusal:?}"),
        }
        assert!(
            start.elapsed() < MAX_WAIT,
            "no attempt was answered in time"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_does_not_own_an_engine_sends_it_no_request() {
    let engine = start_engine().await;
    let owner = new_owner("n2", &engine);

    let refused = owner.run(&attempt("a1", 4)).await;

    let reason = refused.err().map(|refusal| refusal.reason());
    assert_eq!(reason, Some(NotRun::NotOwner.as_str()));
    assert_eq!(engine.load(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_whose_load_is_unknown_gets_no_request() {
    let engine = start_engine().await;
    let owner = new_owner("n1", &engine);

    let before = owner.run(&attempt("a1", 4)).await;
    let poller = LoadPoller::start(Arc::clone(&owner));
    let after = run_until_answered(&owner, 4).await;

    assert!(matches!(before, Err(Refusal::NotRun { .. })), "{before:?}");
    assert_eq!(after.status, 200);
    poller.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_counts_as_in_flight_until_the_engine_has_finished_it() {
    let engine = start_engine().await;
    let owner = new_owner("n1", &engine);
    let poller = LoadPoller::start(Arc::clone(&owner));
    let answer = run_until_answered(&owner, 300).await;

    drop(answer);

    // The engine continues to generate the answer for at least six seconds, because the reader may resume it.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!((owned_load(&owner), engine.load()), (1, 1));
    wait_until("an idle engine", || engine.load() == 0).await;
    wait_until("an owner without requests in flight", || {
        owned_load(&owner) == 0
    })
    .await;
    poller.close();
}
