//! Desired states of engines that change while the engines' owners are paused and stale orders arrive.

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

/// Maximum number of concurrent loads from the weight store, which the nodes get as a setting.
const MAX_LOADS: u32 = 2;
/// Bytes per second that the weight store sends.
const BYTES_PER_SECOND: u64 = 1_000_000;
/// Size of each model and adapter in bytes. Two concurrent loads take 0.2 seconds.
const MODEL_BYTES: u64 = 100_000;
/// Maximum duration of a load, which the nodes get as a setting, in milliseconds.
const MAX_LOAD_MS: u32 = 500;
/// Interval between two changes of desired states.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which a node is paused.
const PAUSED_FOR: Duration = Duration::from_millis(2_500);
/// Maximum time after the load until all engines have their desired state.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between two checks of the engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Adapters that desired states select from.
const ADAPTERS: [&str; 3] = ["codes", "invoices", "reviews"];
/// Roles that desired states select from.
const ROLES: [(&str, EngineRole); 3] = [
    ("prefill", EngineRole::Prefill),
    ("decode", EngineRole::Decode),
    ("mixed", EngineRole::Mixed),
];

/// Changing desired states of engines.
#[derive(Default)]
pub struct OrdersCase {
    /// The weight store of the run.
    store: Mutex<Option<Arc<WeightStore>>>,
}

/// Desired state of one engine.
struct DesiredState {
    engine: String,
    adapters: Vec<String>,
    role: (&'static str, EngineRole),
    /// Offset of the last change of this state in the log, `None` before the first change.
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
        // With odd seeds, the engines ignore fencing numbers, so that runs with several seeds test both kinds of
        // engines.
        options.fleet.engine.checks_fencing = options.fleet.seed.is_multiple_of(2);
        options.load.chat_callers = CHAT_CALLERS;
        options.fleet.extra_settings.extend([
            String::from("[reconcile]"),
            String::from("interval_ms = 100"),
            format!("weight_loads = {MAX_LOADS}"),
            format!("load_limit_ms = {MAX_LOAD_MS}"),
        ]);
        *lock(&self.store) = Some(store);
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut findings = Findings::default();
        let mut desired = initial_states(cx.fleet);
        let ((), ()) = tokio::join!(
            change_states(cx, &mut desired, &mut findings.failures),
            pause_nodes(cx)
        );
        send_stale_orders(cx.fleet).await;
        let until = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < until && !find_mismatches(cx.fleet, &desired).is_empty() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        findings
            .failures
            .extend(find_mismatches(cx.fleet, &desired));
        findings.failures.extend(self.check_loads());
        findings
    }
}

impl OrdersCase {
    fn check_loads(&self) -> Option<String> {
        let usage = lock(&self.store).as_ref()?.usage();
        eprintln!("orders: {usage:?}");
        if usage.finished == 0 {
            return Some(String::from("nothing was loaded"));
        }
        (usage.refused > 0).then(|| format!("the weight store refused {} loads", usage.refused))
    }
}

fn initial_states(fleet: &Fleet) -> Vec<DesiredState> {
    let names = fleet.engine_names().into_iter();
    let desired = names.map(|engine| DesiredState {
        engine,
        adapters: Vec::new(),
        role: ROLES[2],
        version: None,
    });
    desired.collect()
}

async fn change_states(
    cx: &CaseContext<'_>,
    desired: &mut [DesiredState],
    failures: &mut Vec<String>,
) {
    let writer = ConfigWriter::new(cx.fleet, cx.fleet.options().operator());
    let mut rng = StdRng::seed_from_u64(cx.seed);
    let mut number = 0;
    while cx.pause(CHANGE_INTERVAL).await {
        number += 1;
        let index = rng.random_range(0..desired.len());
        let target = &mut desired[index];
        target.role = ROLES[rng.random_range(0..ROLES.len())];
        let adapters = ADAPTERS.iter().filter(|_| rng.random_bool(0.5));
        target.adapters = adapters.map(|adapter| (*adapter).to_owned()).collect();
        let object = object(&cx.fleet.options().model, target);
        let id = format!("wanted-{number}");
        let record = writer.put(&id, newest_offset(cx.fleet), object, target.version);
        if !writer.append(&record, cx.until).await {
            failures.push(format!("{id} did not reach the log"));
        }
        target.version = offset_of(cx.fleet, &record).or(target.version);
    }
}

fn object(model: &str, desired: &DesiredState) -> Object {
    let adapter = |adapter: &String| AdapterRef {
        model: model.to_owned(),
        adapter: adapter.clone(),
    };
    Object::Backend {
        backend: Backend {
            name: desired.engine.clone(),
            drain: false,
            role: Some(desired.role.0.to_owned()),
            models: vec![model.to_owned()],
            adapters: desired.adapters.iter().map(adapter).collect(),
        },
    }
}

/// Pauses nodes one at a time, so that a new owner sends orders before the former owner is resumed.
async fn pause_nodes(cx: &CaseContext<'_>) {
    let names = cx.fleet.node_names();
    let mut rng = StdRng::seed_from_u64(cx.seed + 1);
    while cx.pause(CHANGE_INTERVAL).await {
        let name = &names[rng.random_range(0..names.len())];
        // Fails if another case has stopped the node, which is no error here.
        let _ = cx.fleet.pause_node(name);
        cx.pause(PAUSED_FOR).await;
        let _ = cx.fleet.resume_node(name);
    }
}

/// Sends every engine the orders that a former owner would send after a long pause, with an old fencing number.
async fn send_stale_orders(fleet: &Fleet) {
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
            // An engine that checks fencing numbers rejects the order, which is also correct.
            let _ = Client::new(address).post("/orders", &order).await;
        }
    }
}

/// Returns a message for each engine that does not have its desired state.
fn find_mismatches(fleet: &Fleet, desired: &[DesiredState]) -> Vec<String> {
    let model = &fleet.options().model;
    let desired = desired.iter().filter(|target| target.version.is_some());
    let differs = |target: &DesiredState| {
        let state = fleet.with_engine(&target.engine, |engine| engine.state())?;
        let loaded = state.models.iter().find(|loaded| &loaded.model == model);
        let mut adapters = loaded.map_or(Vec::new(), |loaded| loaded.adapters.clone());
        adapters.sort();
        let is_settled = adapters == target.adapters && state.role == target.role.1;
        (!is_settled).then(|| {
            format!(
                "{} has adapters {adapters:?} and role {}, expected {:?} and {}",
                target.engine, state.role, target.adapters, target.role.0
            )
        })
    };
    desired.filter_map(differs).collect()
}
