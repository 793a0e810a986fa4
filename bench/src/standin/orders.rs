//! Orders to an engine (load, unload, role) under fencing numbers.

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

/// One order that an engine got.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// When it came.
    pub at: Instant,
    /// The order.
    pub order: Order,
    /// The newest fencing number that the engine had seen before.
    pub newest: u64,
    /// Whether it was taken; otherwise its fencing number was old.
    pub taken: bool,
}

/// The order's fencing number is old.
#[derive(Clone, Debug)]
pub struct Fenced(pub EngineState);

/// State of one engine as orders change it.
#[derive(Debug)]
pub struct Orders {
    checks_fencing: bool,
    weights: Option<Arc<WeightStore>>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: EngineState,
    loads: u32,
    records: Vec<OrderRecord>,
}

impl Orders {
    /// An engine of mixed role that has `model` loaded.
    pub fn new(model: &str, checks_fencing: bool, weights: Option<Arc<WeightStore>>) -> Orders {
        let state = EngineState {
            fencing: 0,
            loading: false,
            models: vec![loaded(model, "1")],
            role: EngineRole::Mixed,
        };
        Orders {
            checks_fencing,
            weights,
            inner: Mutex::new(Inner {
                state,
                loads: 0,
                records: Vec::new(),
            }),
        }
    }

    /// State of the engine.
    pub fn state(&self) -> EngineState {
        lock(&self.inner).state.clone()
    }

    /// All orders that came.
    pub fn records(&self) -> Vec<OrderRecord> {
        lock(&self.inner).records.clone()
    }

    /// Whether a model is loaded.
    pub fn has_model(&self, model: &str) -> bool {
        let inner = lock(&self.inner);
        inner
            .state
            .models
            .iter()
            .any(|loaded| loaded.model == model)
    }

    /// Takes an order; a load goes on after the answer. An order with a known id changes nothing.
    ///
    /// # Errors
    ///
    /// Where the fencing number is old and the engine checks it.
    pub fn take(self: &Arc<Self>, order: Order) -> Result<EngineState, Fenced> {
        let mut inner = lock(&self.inner);
        let newest = inner.state.fencing;
        let taken = !self.checks_fencing || order.fencing >= newest;
        let known = inner
            .records
            .iter()
            .any(|record| record.taken && record.order.id == order.id);
        inner.records.push(OrderRecord {
            at: Instant::now(),
            order: order.clone(),
            newest,
            taken,
        });
        if !taken {
            return Err(Fenced(inner.state.clone()));
        }
        inner.state.fencing = newest.max(order.fencing);
        if !known {
            self.apply(&mut inner, order.action);
        }
        Ok(inner.state.clone())
    }

    fn apply(self: &Arc<Self>, inner: &mut Inner, action: OrderAction) {
        match action {
            OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. } => {
                inner.loads += 1;
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
        inner.loads -= 1;
        inner.state.loading = inner.loads > 0;
        if fetched {
            finish_load(&mut inner.state.models, action);
        }
    }
}

fn finish_load(models: &mut Vec<LoadedModel>, action: OrderAction) {
    match action {
        OrderAction::LoadModel { model, version } => {
            models.retain(|other| other.model != model);
            models.push(loaded(&model, &version));
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

fn loaded(model: &str, version: &str) -> LoadedModel {
    LoadedModel {
        adapters: Vec::new(),
        model: model.to_owned(),
        version: version.to_owned(),
    }
}
