//! Finds the next order by which an engine comes nearer to its wanted state.

use crate::border::generated::backend::EngineRole;
use crate::border::generated::backend::EngineState;
use crate::border::generated::backend::LoadedModel;
use crate::border::generated::backend::OrderAction;
use crate::border::generated::config::AdapterRef;
use crate::border::generated::config::Backend;
use crate::config::State;

/// Version of a model that the configuration does not declare.
const UNDECLARED_VERSION: &str = "1";

/// Gives the next order, or nothing where the engine is as wanted. Loads come before unloads, so that the engine never
/// lacks what it has to serve meanwhile.
pub(super) fn next_order(
    config: &State,
    wanted: &Backend,
    reported: &EngineState,
) -> Option<OrderAction> {
    role(wanted, reported)
        .or_else(|| model_to_load(config, wanted, reported))
        .or_else(|| adapter_to_load(wanted, reported))
        .or_else(|| adapter_to_unload(wanted, reported))
        .or_else(|| model_to_unload(wanted, reported))
}

/// Tells whether an order makes the engine load something from the weight store.
pub(super) fn is_load(action: &OrderAction) -> bool {
    matches!(
        action,
        OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. }
    )
}

fn role(wanted: &Backend, reported: &EngineState) -> Option<OrderAction> {
    let role: EngineRole = wanted.role.as_deref()?.parse().ok()?;
    (role != reported.role).then_some(OrderAction::SetRole { role })
}

fn model_to_load(config: &State, wanted: &Backend, reported: &EngineState) -> Option<OrderAction> {
    wanted.models.iter().find_map(|model| {
        let declared = config.model(model);
        let version = declared.map_or(UNDECLARED_VERSION, |declared| declared.version.as_str());
        let is_loaded = loaded(reported, model).is_some_and(|loaded| loaded.version == version);
        (!is_loaded).then(|| OrderAction::LoadModel {
            model: model.clone(),
            version: version.to_owned(),
        })
    })
}

fn adapter_to_load(wanted: &Backend, reported: &EngineState) -> Option<OrderAction> {
    let missing = wanted.adapters.iter().find(|adapter| {
        let model = loaded(reported, &adapter.model);
        model.is_some_and(|model| !model.adapters.contains(&adapter.adapter))
    })?;
    Some(OrderAction::LoadAdapter {
        model: missing.model.clone(),
        adapter: missing.adapter.clone(),
    })
}

/// What the engine holds is left alone where nothing is said of its models.
fn adapter_to_unload(wanted: &Backend, reported: &EngineState) -> Option<OrderAction> {
    if wanted.models.is_empty() {
        return None;
    }
    let held = reported.models.iter().flat_map(|loaded| {
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
    let surplus = held.into_iter().find(|held| !is_wanted(held))?;
    Some(OrderAction::UnloadAdapter {
        model: surplus.model,
        adapter: surplus.adapter,
    })
}

fn model_to_unload(wanted: &Backend, reported: &EngineState) -> Option<OrderAction> {
    if wanted.models.is_empty() {
        return None;
    }
    let mut held = reported.models.iter();
    let surplus = held.find(|held| !wanted.models.contains(&held.model))?;
    Some(OrderAction::UnloadModel {
        model: surplus.model.clone(),
    })
}

fn loaded<'a>(reported: &'a EngineState, model: &str) -> Option<&'a LoadedModel> {
    reported.models.iter().find(|loaded| loaded.model == model)
}
