//! Orders to an engine (load, unload, set the role). Each order has a fencing number; the engine rejects an order whose
//! number is lower than the highest one that it has accepted, unless it is set not to check.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use crate::standin::weights::WeightStore;
use crate::truth::lock;
use crate::wire::backend::EngineRole;
use crate::wire::backend::EngineState;
use crate::wire::backend::LoadedModel;
use crate::wire::backend::Order;
use crate::wire::backend::OrderAction;

/// An order that an engine received.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// When the engine received it.
    pub at: Instant,
    /// The order.
    pub order: Order,
    /// The highest fencing number that the engine had accepted before.
    pub highest_fencing: u64,
    /// Whether it was accepted; otherwise its fencing number was stale.
    pub is_accepted: bool,
}

/// The fencing number of the order is stale; contains the state of the engine.
#[derive(Clone, Debug)]
pub struct StaleFencing(pub EngineState);

/// The state of one engine that orders change, and the orders that it received.
#[derive(Debug)]
pub struct Orders {
    checks_fencing: bool,
    weights: Option<Arc<WeightStore>>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: EngineState,
    active_loads: u32,
    records: Vec<OrderRecord>,
}

impl Orders {
    /// Creates the state of an engine with the mixed role and `model` loaded.
    pub fn new(model: &str, checks_fencing: bool, weights: Option<Arc<WeightStore>>) -> Orders {
        let state = EngineState {
            fencing: 0,
            loading: false,
            models: vec![loaded_model(model, "1")],
            role: EngineRole::Mixed,
        };
        Orders {
            checks_fencing,
            weights,
            inner: Mutex::new(Inner {
                state,
                active_loads: 0,
                records: Vec::new(),
            }),
        }
    }

    /// Returns the state of the engine.
    pub fn state(&self) -> EngineState {
        lock(&self.inner).state.clone()
    }

    /// Returns all orders that the engine received.
    pub fn records(&self) -> Vec<OrderRecord> {
        lock(&self.inner).records.clone()
    }

    /// Returns whether a model is loaded.
    pub fn has_model(&self, model: &str) -> bool {
        let inner = lock(&self.inner);
        inner
            .state
            .models
            .iter()
            .any(|loaded| loaded.model == model)
    }

    /// Receives an order and returns the state after it. A load continues in the background. An order with the ID of an
    /// accepted order is not applied again.
    ///
    /// # Errors
    ///
    /// Returns an error if the fencing number is stale and the engine checks it.
    pub fn receive(self: &Arc<Self>, order: Order) -> Result<EngineState, StaleFencing> {
        let mut inner = lock(&self.inner);
        let highest_fencing = inner.state.fencing;
        let is_accepted = !self.checks_fencing || order.fencing >= highest_fencing;
        let is_duplicate = inner
            .records
            .iter()
            .any(|record| record.is_accepted && record.order.id == order.id);
        inner.records.push(OrderRecord {
            at: Instant::now(),
            order: order.clone(),
            highest_fencing,
            is_accepted,
        });
        if !is_accepted {
            return Err(StaleFencing(inner.state.clone()));
        }
        inner.state.fencing = highest_fencing.max(order.fencing);
        if !is_duplicate {
            self.apply(&mut inner, order.action);
        }
        Ok(inner.state.clone())
    }

    fn apply(self: &Arc<Self>, inner: &mut Inner, action: OrderAction) {
        match action {
            OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. } => {
                inner.active_loads += 1;
                inner.state.loading = true;
                tokio::spawn(self.clone().load(action));
            }
            OrderAction::UnloadModel { model } => {
                inner.state.models.retain(|loaded| loaded.model != model);
            }
            OrderAction::UnloadAdapter { adapter, model } => {
                for loaded in &mut inner.state.models {
                    loaded
                        .adapters
                        .retain(|other| loaded.model != model || *other != adapter);
                }
            }
            OrderAction::SetRole { role } => inner.state.role = role,
        }
    }

    async fn load(self: Arc<Self>, action: OrderAction) {
        let name = match &action {
            OrderAction::LoadModel { model, .. } => model,
            OrderAction::LoadAdapter { adapter, .. } => adapter,
            _ => return,
        };
        let fetched = match &self.weights {
            Some(weights) => weights.fetch(name).await.is_ok(),
            None => true,
        };
        let mut inner = lock(&self.inner);
        inner.active_loads -= 1;
        inner.state.loading = inner.active_loads > 0;
        if fetched {
            record_loaded(&mut inner.state.models, action);
        }
    }
}

fn record_loaded(models: &mut Vec<LoadedModel>, action: OrderAction) {
    match action {
        OrderAction::LoadModel { model, version } => {
            models.retain(|other| other.model != model);
            models.push(loaded_model(&model, &version));
        }
        OrderAction::LoadAdapter { adapter, model } => {
            let base = models.iter_mut().find(|other| other.model == model);
            if let Some(base) = base.filter(|base| !base.adapters.contains(&adapter)) {
                base.adapters.push(adapter);
            }
        }
        _ => {}
    }
}

fn loaded_model(model: &str, version: &str) -> LoadedModel {
    LoadedModel {
        adapters: Vec::new(),
        model: model.to_owned(),
        version: version.to_owned(),
    }
}
