//! Which backend servers this node owns by its view, worked out once for each view.

use crate::membership::Backend;
use crate::membership::View;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Part of its full share that a backend server gets when it has just joined.
const INITIAL_SHARE: f64 = 0.3;

/// A backend server that this node owns.
#[derive(Clone, Debug)]
pub(super) struct OwnedBackend {
    pub(super) backend: Backend,
    /// When this node came to own it.
    pub(super) since: Instant,
    /// When it joined, where that was seen.
    joined: Option<Instant>,
}

impl OwnedBackend {
    /// Gives the share of its places that may be taken `slow_start` after it joined, from 0 to 1.
    pub(super) fn share(&self, slow_start: Duration) -> f64 {
        let Some(joined) = self.joined else {
            return 1.0;
        };
        let passed = joined.elapsed().as_secs_f64() / slow_start.as_secs_f64().max(f64::EPSILON);
        (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * passed).min(1.0)
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
    /// Gives what `node` owns by `view`, and whether that was worked out anew.
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
                    .map_or_else(Instant::now, |before| before.since),
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

/// Tells when a backend server joined; one that was there in the first view is not new.
fn joined(state: &State, backend: &Backend) -> Option<Instant> {
    let before = find(&state.owned, &backend.name);
    if let Some(before) = before {
        return before.joined;
    }
    let is_first_view = state.view.backends().is_empty();
    let was_there = state
        .view
        .backend(&backend.service, &backend.name)
        .is_some();
    (!is_first_view && !was_there).then(Instant::now)
}

/// Finds a backend server by its name.
pub(super) fn find<'a>(owned: &'a [OwnedBackend], name: &str) -> Option<&'a OwnedBackend> {
    let found = owned.binary_search_by(|owned| owned.backend.name.as_str().cmp(name));
    found.ok().map(|i| &owned[i])
}
