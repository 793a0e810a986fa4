//! The backend servers that this node owns, computed once for each view.

use crate::membership::Backend;
use crate::membership::View;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Share of its limit that a backend server gets at the time it joins.
const INITIAL_SHARE: f64 = 0.3;

/// A backend server that this node owns.
#[derive(Clone, Debug)]
pub(super) struct OwnedBackend {
    pub(super) backend: Backend,
    /// Time at which this node became the owner.
    pub(super) since: Instant,
    /// Time at which the server joined, if this node saw it join.
    joined: Option<Instant>,
}

impl OwnedBackend {
    /// Returns the share of its limit that the server may use, from 0 to 1; it grows to 1 within `slow_start` of
    /// joining.
    pub(super) fn share(&self, slow_start: Duration) -> f64 {
        let Some(joined) = self.joined else {
            return 1.0;
        };
        let elapsed_share =
            joined.elapsed().as_secs_f64() / slow_start.as_secs_f64().max(f64::EPSILON);
        (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * elapsed_share).min(1.0)
    }
}

/// The backend servers that this node owns.
#[derive(Debug, Default)]
pub(super) struct OwnedBackends {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    view: Arc<View>,
    // Sorted by name.
    owned: Arc<Vec<OwnedBackend>>,
}

impl OwnedBackends {
    /// Returns the backend servers that `node` owns in `view`, and whether they were recomputed.
    pub(super) fn for_view(&self, node: &str, view: &Arc<View>) -> (Arc<Vec<OwnedBackend>>, bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if Arc::ptr_eq(&state.view, view) {
            return (Arc::clone(&state.owned), false);
        }
        let mut owned: Vec<OwnedBackend> = view
            .backends()
            .iter()
            .filter(|backend| view.owner(backend).is_some_and(|owner| owner.name == node))
            .map(|backend| OwnedBackend {
                since: find(&state.owned, &backend.name)
                    .map_or_else(Instant::now, |previous| previous.since),
                joined: joined(&state, backend),
                backend: backend.clone(),
            })
            .collect();
        owned.sort_by(|a, b| a.backend.name.cmp(&b.backend.name));
        state.view = Arc::clone(view);
        state.owned = Arc::new(owned);
        (Arc::clone(&state.owned), true)
    }
}

/// Returns when a backend server joined; `None` for one that is in the first view or was in the view before this one.
fn joined(state: &State, backend: &Backend) -> Option<Instant> {
    let previous = find(&state.owned, &backend.name);
    if let Some(previous) = previous {
        return previous.joined;
    }
    let is_first_view = state.view.backends().is_empty();
    let was_in_view = state
        .view
        .backend(&backend.service, &backend.name)
        .is_some();
    (!is_first_view && !was_in_view).then(Instant::now)
}

/// Finds a backend server by its name.
pub(super) fn find<'a>(owned: &'a [OwnedBackend], name: &str) -> Option<&'a OwnedBackend> {
    let found = owned.binary_search_by(|owned| owned.backend.name.as_str().cmp(name));
    found.ok().map(|i| &owned[i])
}
