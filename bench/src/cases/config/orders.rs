//! Wanted states of engines that change while owners are paused and late orders arrive.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::CHAT_CALLERS;
use super::writer::ConfigWriter;
use super::writer::newest_offset;
use super::writer::offset_of;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;
use crate::cases::RunOptions;
use crate::fleet::Fleet;
use crate::http::Client;
use crate::standin::weights::WeightStore;
use crate::truth::lock;
use crate::wire::backend::EngineRole;
use crate::wire::backend::Order;
use crate::wire::backend::OrderAction;
use crate::wire::config::AdapterRef;
use crate::wire::config::Backend;
use crate::wire::config::Object;

/// Loads that the weight store takes at a time, and that the nodes are told of.
const MAX_LOADS: u32 = 2;
/// Bytes that the weight store gives out a second.
const BYTES_PER_SECOND: u64 = 1_000_000;
/// Bytes of each model and adapter; two at a time load in 0.2 seconds.
const MODEL_BYTES: u64 = 100_000;
/// Longest time of a load that the nodes are told of, in milliseconds.
const LOAD_LIMIT_MS: u32 = 500;
/// Time between two changes of wanted states.
const CHANGE_PAUSE: Duration = Duration::from_millis(700);
/// Time for which a node is paused.
const PAUSED_FOR: Duration = Duration::from_millis(2_500);
/// Longest wait for all engines to be as wanted after the load.
const SETTLED_WITHIN: Duration = Duration::from_secs(40);
/// Pause between two looks at the engines.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Adapters that engines are told to load.
const ADAPTERS: [&str; 3] = ["codes", "invoices", "reviews"];
/// Roles that engines are told to take.
const ROLES: [(&str, EngineRole); 3] = [
    ("prefill", EngineRole::Prefill),
    ("decode", EngineRole::Decode),
    ("mixed", EngineRole::Mixed),
];

/// The case.
#[derive(Default)]
pub struct OrdersCase {
    /// The weight store of the run.
    store: Mutex<Option<Arc<WeightStore>>>,
}

/// What the case wants of one engine.
struct Wanted {
    engine: String,
    adapters: Vec<String>,
    role: (&'static str, EngineRole),
    version: Option<u64>,
}

#[async_trait]
impl Case for OrdersCase {
    fn name(&self) -> &'static str {
        "orders"
    }

    fn description(&self) -> &'static str {
        "wanted states of engines change while owners are paused and late orders arrive"
    }

    fn options(&self, options: &mut RunOptions) {
        let store = WeightStore::new(BYTES_PER_SECOND, MODEL_BYTES, MAX_LOADS);
        options.fleet.engine.weights = Some(Arc::clone(&store));
        // Half of the seeds have engines that ignore fencing numbers.
        options.fleet.engine.checks_fencing = options.fleet.seed.is_multiple_of(2);
        options.load.chat_callers = CHAT_CALLERS;
        options.fleet.extra_settings.extend([
            String::from("[reconcile]"),
            String::from("interval_ms = 100"),
            format!("weight_loads = {MAX_LOADS}"),
            format!("load_limit_ms = {LOAD_LIMIT_MS}"),
        ]);
        *lock(&self.store) = Some(store);
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut findings = Findings::default();
        let mut wanted = wanted_at_first(cx.fleet);
        let ((), ()) = tokio::join!(
            change(cx, &mut wanted, &mut findings.failures),
            pause_nodes(cx)
        );
        late_orders(cx.fleet).await;
        let until = Instant::now() + SETTLED_WITHIN;
        while Instant::now() < until && !unsettled(cx.fleet, &wanted).is_empty() {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        findings.failures.extend(unsettled(cx.fleet, &wanted));
        findings.failures.extend(self.over_limit());
        findings
    }
}

impl OrdersCase {
    fn over_limit(&self) -> Option<String> {
        let usage = lock(&self.store).as_ref()?.usage();
        eprintln!("orders: {usage:?}");
        if usage.finished == 0 {
            return Some(String::from("nothing was loaded"));
        }
        (usage.refused > 0).then(|| format!("the weight store refused {} loads", usage.refused))
    }
}

fn wanted_at_first(fleet: &Fleet) -> Vec<Wanted> {
    let names = fleet.engine_names().into_iter();
    let wanted = names.map(|engine| Wanted {
        engine,
        adapters: Vec::new(),
        role: ROLES[2],
        version: None,
    });
    wanted.collect()
}

async fn change(cx: &CaseContext<'_>, wanted: &mut [Wanted], failures: &mut Vec<String>) {
    let writer = ConfigWriter::new(cx.fleet, cx.fleet.options().operator());
    let mut rng = StdRng::seed_from_u64(cx.seed);
    let mut number = 0;
    while cx.pause(CHANGE_PAUSE).await {
        number += 1;
        let index = rng.random_range(0..wanted.len());
        let one = &mut wanted[index];
        one.role = ROLES[rng.random_range(0..ROLES.len())];
        let adapters = ADAPTERS.iter().filter(|_| rng.random_bool(0.5));
        one.adapters = adapters.map(|adapter| (*adapter).to_owned()).collect();
        let object = object(&cx.fleet.options().model, one);
        let id = format!("wanted-{number}");
        let record = writer.put(&id, newest_offset(cx.fleet), object, one.version);
        if !writer.append(&record, cx.until).await {
            failures.push(format!("{id} did not reach the log"));
        }
        one.version = offset_of(cx.fleet, &record).or(one.version);
    }
}

fn object(model: &str, wanted: &Wanted) -> Object {
    let adapter = |adapter: &String| AdapterRef {
        model: model.to_owned(),
        adapter: adapter.clone(),
    };
    Object::Backend {
        backend: Backend {
            name: wanted.engine.clone(),
            drain: false,
            role: Some(wanted.role.0.to_owned()),
            models: vec![model.to_owned()],
            adapters: wanted.adapters.iter().map(adapter).collect(),
        },
    }
}

/// Pauses one node after another, so that a new owner orders before the former one goes on.
async fn pause_nodes(cx: &CaseContext<'_>) {
    let names = cx.fleet.node_names();
    let mut rng = StdRng::seed_from_u64(cx.seed + 1);
    while cx.pause(CHANGE_PAUSE).await {
        let name = &names[rng.random_range(0..names.len())];
        // A node that another case has stopped can't be paused.
        let _ = cx.fleet.pause_node(name);
        cx.pause(PAUSED_FOR).await;
        let _ = cx.fleet.resume_node(name);
    }
}

/// Gives every engine the orders that a former owner would give after a long pause: with an old fencing number.
async fn late_orders(fleet: &Fleet) {
    let model = fleet.options().model.clone();
    for name in fleet.engine_names() {
        let Some(address) = fleet.direct_address(&name) else {
            continue;
        };
        let actions = [
            OrderAction::SetRole {
                role: EngineRole::Prefill,
            },
            OrderAction::UnloadAdapter {
                model: model.clone(),
                adapter: ADAPTERS[0].to_owned(),
            },
        ];
        for (number, action) in actions.into_iter().enumerate() {
            let order = Order {
                id: format!("late-{name}-{number}"),
                fencing: 0,
                action,
            };
            // An engine that checks the number refuses, which is as good.
            let _ = Client::new(address).post("/orders", &order).await;
        }
    }
}

/// Tells which engines are not as wanted.
fn unsettled(fleet: &Fleet, wanted: &[Wanted]) -> Vec<String> {
    let model = &fleet.options().model;
    let wanted = wanted.iter().filter(|one| one.version.is_some());
    let differs = |one: &Wanted| {
        let state = fleet.with_engine(&one.engine, |engine| engine.state())?;
        let loaded = state.models.iter().find(|loaded| &loaded.model == model);
        let mut adapters = loaded.map_or(Vec::new(), |loaded| loaded.adapters.clone());
        adapters.sort();
        let is_settled = adapters == one.adapters && state.role == one.role.1;
        (!is_settled).then(|| {
            format!(
                "{} has {adapters:?} as {}, wanted are {:?} as {}",
                one.engine, state.role, one.adapters, one.role.0
            )
        })
    };
    wanted.filter_map(differs).collect()
}
