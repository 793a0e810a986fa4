//! The task that compares the state of all engines owned by this node with their wanted state and sends them orders.

use super::Settings;
use super::difference::describe;
use super::difference::is_load;
use super::difference::next_order;
use super::load_turns::LoadTurns;
use crate::border::BackendError;
use crate::border::Backends;
use crate::border::Engine;
use crate::border::generated::backend::Order;
use crate::config::ConfigSource;
use crate::config::State;
use crate::membership;
use crate::membership::Membership;
use crate::timeline::Timeline;
use futures_util::future::join_all;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::task::JoinHandle;
use uuid::Uuid;

/// Parts that a [`Reconciler`] is built from.
pub struct ReconcilerParts {
    /// Name of the node.
    pub node: String,
    /// Settings for bringing engines into their wanted state.
    pub settings: Settings,
    /// The configuration in force.
    pub config: Arc<dyn ConfigSource>,
    /// Membership, which lists the engines and their owners.
    pub membership: Arc<dyn Membership>,
    /// Clients for engines.
    pub backends: Arc<dyn Backends>,
    /// Timeline of the node, for log lines.
    pub timeline: Arc<Timeline>,
}

/// The task that brings owned engines into their wanted state.
pub struct Reconciler {
    unsettled: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

/// State of the reconciling task.
pub(super) struct ReconcileTask {
    pub(super) parts: ReconcilerParts,
    /// Names of the owned engines that are not yet in their wanted state, replaced after each comparison.
    pub(super) unsettled: Arc<Mutex<Vec<String>>>,
    pub(super) turns: Mutex<LoadTurns>,
}

impl Reconciler {
    /// Starts the task.
    pub fn start(parts: ReconcilerParts) -> Self {
        let unsettled = Arc::new(Mutex::default());
        let reconcile_task = ReconcileTask {
            parts,
            unsettled: Arc::clone(&unsettled),
            turns: Mutex::default(),
        };
        let task = tokio::spawn(reconcile_task.run());
        Self { unsettled, task }
    }

    /// Returns a shared list with the names of the owned engines that are not yet in their wanted state.
    pub fn unsettled(&self) -> Arc<Mutex<Vec<String>>> {
        Arc::clone(&self.unsettled)
    }

    /// Stops the task.
    pub fn close(self) {
        self.task.abort();
    }
}

impl ReconcileTask {
    async fn run(self) {
        loop {
            tokio::time::sleep(self.parts.settings.interval).await;
            self.compare_all(now_ms()).await;
        }
    }

    /// Compares each owned engine once and sends it at most one order.
    pub(super) async fn compare_all(&self, now_ms: u64) {
        let config = self.parts.config.state();
        self.turns().update(&config, &self.parts.settings, now_ms);
        let view = self.parts.membership.view();
        let is_owned = |backend: &&membership::Backend| {
            let owner = view.owner(backend);
            backend.is_engine && owner.is_some_and(|owner| owner.name == self.parts.node)
        };
        let owned = view.backends().iter().filter(is_owned);
        let compared = owned.map(|backend| self.compare(&config, backend, now_ms));
        let unsettled = join_all(compared).await.into_iter().flatten().collect();
        *self
            .unsettled
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = unsettled;
    }

    /// Compares one engine and sends it the next order, if any. Returns the engine's name if it is not yet in its
    /// wanted state or its state is unknown.
    async fn compare(
        &self,
        config: &State,
        backend: &membership::Backend,
        now_ms: u64,
    ) -> Option<String> {
        let wanted = config.backend(&backend.name)?;
        let unsettled = Some(backend.name.clone());
        let engine = self.parts.backends.engine(backend.address);
        let Ok(reported) = engine.state().await else {
            return unsettled;
        };
        let action = next_order(config, wanted, &reported)?;
        let is_load = is_load(&action);
        if is_load && reported.loading {
            return unsettled;
        }
        let id = if is_load {
            let turn = self
                .turns()
                .load_turn(&self.parts.settings, &backend.name, now_ms);
            let Some(turn) = turn else {
                return unsettled;
            };
            // If two nodes act as owner in the same turn, their orders for the same load have the same id and count as
            // one order.
            format!("{}-{turn}-{action:?}", backend.name)
        } else {
            Uuid::now_v7().to_string()
        };
        let order = Order {
            id,
            fencing: config.version.unwrap_or_default(),
            action,
        };
        self.send_order(engine.as_ref(), &backend.name, &order)
            .await;
        unsettled
    }

    fn turns(&self) -> MutexGuard<'_, LoadTurns> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn send_order(&self, engine: &dyn Engine, name: &str, order: &Order) {
        let log = self.parts.timeline.log();
        let action = describe(&order.action);
        match engine.order(order).await {
            Ok(_) => {
                slog::info!(log, "engine accepted the order"; "backend" => name, "action" => action, "fencing" => order.fencing);
            }
            Err(BackendError::NotRun) => {
                slog::info!(log, "engine rejected the order as stale"; "backend" => name, "action" => action, "fencing" => order.fencing);
            }
            Err(err) => {
                slog::warn!(log, "engine did not confirm the order"; "backend" => name, "action" => action, "cause" => ?err);
            }
        }
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
