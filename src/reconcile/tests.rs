use super::Settings;
use super::difference::apply_order;
use super::difference::next_order;
use super::load_turns::LoadTurns;
use crate::border::generated::backend::EngineRole;
use crate::border::generated::backend::EngineState;
use crate::border::generated::backend::LoadedModel;
use crate::border::generated::backend::OrderAction;
use crate::border::generated::config::AdapterRef;
use crate::border::generated::config::Backend;
use crate::border::generated::config::Entry;
use crate::border::generated::config::Model;
use crate::border::generated::config::Object;
use crate::border::generated::config::Snapshot;
use crate::config::State;
use std::time::Duration;

/// Maximum number of orders until an engine must be in its wanted state.
const MAX_ORDERS: usize = 16;

fn state(objects: Vec<Object>) -> State {
    let entry = |object| Entry {
        version: 0,
        change: "c".to_owned(),
        operator: "op".to_owned(),
        object,
    };
    State::from_snapshot(Snapshot {
        at: 0,
        entries: objects.into_iter().map(entry).collect(),
        seen: Vec::new(),
    })
}

fn model(name: &str, version: &str) -> Object {
    Object::Model {
        model: Model {
            name: name.to_owned(),
            version: version.to_owned(),
            adapters: vec!["codes".to_owned()],
        },
    }
}

fn wanted(name: &str) -> Backend {
    Backend {
        name: name.to_owned(),
        drain: false,
        role: Some("decode".to_owned()),
        models: vec!["assistant".to_owned()],
        adapters: vec![AdapterRef {
            model: "assistant".to_owned(),
            adapter: "codes".to_owned(),
        }],
    }
}

fn reported() -> EngineState {
    EngineState {
        fencing: 0,
        loading: false,
        role: EngineRole::Mixed,
        models: vec![
            loaded("assistant", "1", &["old"]),
            loaded("former", "1", &[]),
        ],
    }
}

fn loaded(model: &str, version: &str, adapters: &[&str]) -> LoadedModel {
    LoadedModel {
        model: model.to_owned(),
        version: version.to_owned(),
        adapters: adapters
            .iter()
            .map(|adapter| (*adapter).to_owned())
            .collect(),
    }
}

/// Applies orders until the engine is in its wanted state, and returns their number.
fn settle(config: &State, engine: &mut EngineState) -> usize {
    for orders in 0..MAX_ORDERS {
        match next_order(config, &wanted("e1"), engine) {
            Some(action) => apply_order(engine, action),
            None => return orders,
        }
    }
    panic!("not settled: {engine:?}");
}

#[test]
fn orders_end_when_the_wanted_state_is_reached() {
    let config = state(vec![model("assistant", "2")]);
    let mut engine = reported();

    let orders = settle(&config, &mut engine);

    assert_eq!(orders, 4);
    assert_eq!(engine.role, EngineRole::Decode);
    assert_eq!(engine.models.len(), 1);
    assert_eq!(engine.models[0].version, "2");
    assert_eq!(engine.models[0].adapters, ["codes"]);
}

#[test]
fn a_late_order_of_a_former_owner_is_undone() {
    let config = state(vec![model("assistant", "2")]);
    let mut engine = reported();
    settle(&config, &mut engine);

    apply_order(
        &mut engine,
        OrderAction::SetRole {
            role: EngineRole::Prefill,
        },
    );
    apply_order(
        &mut engine,
        OrderAction::UnloadModel {
            model: "assistant".to_owned(),
        },
    );
    let orders = settle(&config, &mut engine);

    assert!(orders > 0);
    assert_eq!(engine.role, EngineRole::Decode);
    assert_eq!(engine.models[0].adapters, ["codes"]);
}

#[test]
fn an_engine_without_configured_models_gets_no_orders() {
    let config = state(Vec::new());
    let unmanaged = Backend {
        role: None,
        models: Vec::new(),
        adapters: Vec::new(),
        ..wanted("e1")
    };

    assert!(next_order(&config, &unmanaged, &reported()).is_none());
}

#[test]
fn simultaneous_loads_never_exceed_the_limit_of_the_weight_store() {
    let settings = Settings {
        interval: Duration::from_millis(100),
        max_concurrent_loads: 3,
        max_load_time: Duration::from_millis(1_000),
    };
    let names: Vec<String> = (0..11).map(|number| format!("e{number:02}")).collect();
    let backends = names.iter().map(|name| Object::Backend {
        backend: wanted(name),
    });
    let config = state(backends.collect());
    let mut turns = LoadTurns::default();
    // Start times of the loads of each engine. Each load is assumed to take the maximum time.
    let mut begun: Vec<Vec<u64>> = vec![Vec::new(); names.len()];

    for now in (0..20_000).step_by(50) {
        turns.update(&config, &settings, now);
        for (name, begun) in names.iter().zip(&mut begun) {
            if turns.load_turn(&settings, name, now).is_some() {
                begun.push(now);
            }
        }
        let is_loading = |begun: &&Vec<u64>| begun.iter().any(|at| now - at <= 1_000);
        let loading = begun.iter().filter(is_loading).count();
        assert!(loading <= 3, "{loading} engines load at {now} ms");
    }

    assert!(begun.iter().all(|begun| !begun.is_empty()));
}

/// Two owners receive a configuration with a new engine at different times, both while loads may start. They must still
/// agree about the turns, so that no more engines load at a time than the limit allows.
#[test]
fn a_configuration_change_within_a_turn_does_not_affect_that_turn() {
    let settings = Settings {
        interval: Duration::from_millis(100),
        max_concurrent_loads: 1,
        max_load_time: Duration::from_millis(1_000),
    };
    let config_of = |names: &[&str]| {
        let backend = |name: &&str| Object::Backend {
            backend: wanted(name),
        };
        state(names.iter().map(backend).collect())
    };
    let before = config_of(&["e1", "e3"]);
    let after = config_of(&["e1", "e2", "e3"]);
    let mut owners = [(LoadTurns::default(), 8_100), (LoadTurns::default(), 8_300)];
    let mut loaded = Vec::new();

    for now in (0..40_000).step_by(50) {
        let mut loading = Vec::new();
        for (turns, received_at) in &mut owners {
            let config = if now < *received_at { &before } else { &after };
            turns.update(config, &settings, now);
            let may_load = |name: &&str| turns.load_turn(&settings, name, now).is_some();
            loading.extend(["e1", "e2", "e3"].into_iter().filter(may_load));
        }
        loading.sort_unstable();
        loading.dedup();

        assert!(loading.len() <= 1, "{loading:?} load at {now} ms");
        loaded.extend(loading);
    }

    assert!(loaded.contains(&"e2"));
}
