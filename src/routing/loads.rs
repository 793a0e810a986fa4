//! Loads of backend servers as this node last heard of them.
//!
//! Every source writes here: replies on the data path, the owners' exchange, and what this node counts itself. Whatever
//! brings loads in future only has to call [`Loads::record`].

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Last known load of each backend server, in requests.
#[derive(Debug, Default)]
pub struct Loads {
    // Sorted by name.
    entries: Mutex<Vec<KnownLoad>>,
}

#[derive(Clone, Debug)]
struct KnownLoad {
    backend: String,
    load: u32,
    recorded_at: Instant,
}

impl Loads {
    /// Notes the load of `backend`.
    pub fn record(&self, backend: &str, load: u32) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let recorded_at = Instant::now();
        match find(&entries, backend) {
            Ok(i) => {
                entries[i].load = load;
                entries[i].recorded_at = recorded_at;
            }
            Err(i) => {
                let backend = backend.to_owned();
                entries.insert(
                    i,
                    KnownLoad {
                        backend,
                        load,
                        recorded_at,
                    },
                );
            }
        }
    }

    /// Gives the load of `backend`, zero where nothing was heard.
    pub fn get(&self, backend: &str) -> u32 {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        find(&entries, backend).map_or(0, |i| entries[i].load)
    }

    /// Gives the load of `backend` where it was heard within `max_age`.
    pub fn get_recent(&self, backend: &str, max_age: Duration) -> Option<u32> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let known = &entries[find(&entries, backend).ok()?];
        (known.recorded_at.elapsed() <= max_age).then_some(known.load)
    }

    /// Forgets every backend server that `is_removed` names.
    pub fn remove_if(&self, is_removed: impl Fn(&str) -> bool) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|known| !is_removed(&known.backend));
    }
}

fn find(entries: &[KnownLoad], backend: &str) -> Result<usize, usize> {
    entries.binary_search_by(|known| known.backend.as_str().cmp(backend))
}
