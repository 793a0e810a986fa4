//! Compares the reported state of an engine with its wanted state and determines the next order.

use crate::border::generated::backend::EngineRole;
use crate::border::generated::backend::EngineState;
use crate::border::generated::backend::LoadedModel;
use crate::border::generated::backend::OrderAction;
use crate::border::generated::config::AdapterRef;
use crate::border::generated::config::Backend;
use crate::config::State;

/// Maximum number of orders that are planned for one engine.
const MAX_PLANNED_ORDERS: usize = 64;

/// Returns the next order, or `None` if the engine is in the wanted state. Loads come before unloads, so that the
/// engine can serve requests all the time.
pub(super) fn next_order(
    config: &State,
    wanted: &Backend,
    reported: &EngineState,
) -> Option<OrderAction> {
    role_change(wanted, reported)
        .or_else(|| model_to_load(config, wanted, reported))
        .or_else(|| adapter_to_load(wanted, reported))
        .or_else(|| adapter_to_unload(wanted, reported))
        .or_else(|| model_to_unload(wanted, reported))
}

/// Returns whether the order makes the engine load a model or adapter from the weight store.
pub(super) fn is_load(action: &OrderAction) -> bool {
    matches!(
        action,
        OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. }
    )
}

/// Returns the order that changes the engine's role. Returns `None` if the configuration sets no known role, or the
/// engine already has it.
fn role_change(wanted: &Backend, reported: &EngineState) -> Option<OrderAction> {
    let role: EngineRole = wanted.role.as_deref()?.parse().ok()?;
    (role != reported.role).then_some(OrderAction::SetRole { role })
}

fn model_to_load(config: &State, wanted: &Backend, reported: &EngineState) -> Option<OrderAction> {
    wanted.models.iter().find_map(|model| {
        // An undeclared model has no version, so it can't be loaded.
        let version = config.model(model)?.version.as_str();
        let is_loaded =
            loaded_model(reported, model).is_some_and(|loaded| loaded.version == version);
        (!is_loaded).then(|| OrderAction::LoadModel {
            model: model.clone(),
            version: version.to_owned(),
        })
    })
}

/// Returns the order that loads a missing adapter. An adapter can be loaded only after its model.
fn adapter_to_load(wanted: &Backend, reported: &EngineState) -> Option<OrderAction> {
    let missing = wanted.adapters.iter().find(|adapter| {
        let model = loaded_model(reported, &adapter.model);
        model.is_some_and(|model| !model.adapters.contains(&adapter.adapter))
    })?;
    Some(OrderAction::LoadAdapter {
        model: missing.model.clone(),
        adapter: missing.adapter.clone(),
    })
}

/// Returns the order that unloads an adapter that is not wanted. Returns `None` if the configuration lists no models
/// for the engine: no model or adapter of it is then unloaded.
fn adapter_to_unload(wanted: &Backend, reported: &EngineState) -> Option<OrderAction> {
    if wanted.models.is_empty() {
        return None;
    }
    let loaded_adapters = reported.models.iter().flat_map(|loaded| {
        let adapters = loaded.adapters.iter();
        adapters.map(|adapter| AdapterRef {
            model: loaded.model.clone(),
            adapter: adapter.clone(),
        })
    });
    let is_wanted = |held: &AdapterRef| {
        let mut adapters = wanted.adapters.iter();
        adapters.any(|other| other.model == held.model && other.adapter == held.adapter)
    };
    let surplus = loaded_adapters.into_iter().find(|held| !is_wanted(held))?;
    Some(OrderAction::UnloadAdapter {
        model: surplus.model,
        adapter: surplus.adapter,
    })
}

/// Returns the order that unloads a model that is not wanted, under the same condition as [`adapter_to_unload`].
fn model_to_unload(wanted: &Backend, reported: &EngineState) -> Option<OrderAction> {
    if wanted.models.is_empty() {
        return None;
    }
    let mut loaded_models = reported.models.iter();
    let surplus = loaded_models.find(|held| !wanted.models.contains(&held.model))?;
    Some(OrderAction::UnloadModel {
        model: surplus.model.clone(),
    })
}

fn loaded_model<'a>(reported: &'a EngineState, model: &str) -> Option<&'a LoadedModel> {
    reported.models.iter().find(|loaded| loaded.model == model)
}

/// Returns descriptions of the orders that would bring an engine from its reported to its wanted state, at most
/// `MAX_PLANNED_ORDERS`.
pub fn planned_orders(config: &State, wanted: &Backend, reported: &EngineState) -> Vec<String> {
    let mut state = reported.clone();
    let mut orders = Vec::new();
    while let Some(action) = next_order(config, wanted, &state) {
        if orders.len() == MAX_PLANNED_ORDERS {
            break;
        }
        orders.push(describe(&action));
        apply_order(&mut state, action);
    }
    orders
}

/// Changes `state` in the way in which an engine changes its state on an order.
pub(super) fn apply_order(state: &mut EngineState, action: OrderAction) {
    match action {
        OrderAction::LoadModel { model, version } => {
            state.models.retain(|other| other.model != model);
            state.models.push(LoadedModel {
                adapters: Vec::new(),
                model,
                version,
            });
        }
        OrderAction::UnloadModel { model } => state.models.retain(|other| other.model != model),
        OrderAction::LoadAdapter { model, adapter } => {
            if let Some(base) = loaded_model_mut(state, &model) {
                base.adapters.push(adapter);
            }
        }
        OrderAction::UnloadAdapter { model, adapter } => {
            if let Some(base) = loaded_model_mut(state, &model) {
                base.adapters.retain(|other| *other != adapter);
            }
        }
        OrderAction::SetRole { role } => state.role = role,
    }
}

fn loaded_model_mut<'a>(state: &'a mut EngineState, model: &str) -> Option<&'a mut LoadedModel> {
    state.models.iter_mut().find(|loaded| loaded.model == model)
}

/// Returns a description of an order, for log lines and plans.
pub(super) fn describe(action: &OrderAction) -> String {
    match action {
        OrderAction::LoadModel { model, version } => format!("load model {model} {version}"),
        OrderAction::UnloadModel { model } => format!("unload model {model}"),
        OrderAction::LoadAdapter { model, adapter } => format!("load adapter {model}/{adapter}"),
        OrderAction::UnloadAdapter { model, adapter } => {
            format!("unload adapter {model}/{adapter}")
        }
        OrderAction::SetRole { role } => format!("set role {role}"),
    }
}
