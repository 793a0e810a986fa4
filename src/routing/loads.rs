//! Last known loads of backend servers.
//!
//! They are updated from responses on the data path and from the exchange between owners. Any further source of loads
//! only has to call [`Loads::record`].

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Last known load of each backend server, as a number of requests.
#[derive(Debug, Default)]
pub struct Loads {
    // Sorted by backend name.
    entries: Mutex<Vec<KnownLoad>>,
}

#[derive(Clone, Debug)]
struct KnownLoad {
    backend: String,
    load: u32,
    recorded_at: Instant,
}

impl Loads {
    /// Records the current load of `backend`.
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

    /// Returns the last known load of `backend`, or zero if none is known.
    pub fn get(&self, backend: &str) -> u32 {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        find(&entries, backend).map_or(0, |i| entries[i].load)
    }

    /// Returns the load of `backend` if it was recorded within the last `max_age`.
    pub fn get_recent(&self, backend: &str, max_age: Duration) -> Option<u32> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let known = &entries[find(&entries, backend).ok()?];
        (known.recorded_at.elapsed() <= max_age).then_some(known.load)
    }

    /// Removes the loads of all backend servers for which `is_removed` returns `true`.
    pub fn remove_if(&self, is_removed: impl Fn(&str) -> bool) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|known| !is_removed(&known.backend));
    }
}

fn find(entries: &[KnownLoad], backend: &str) -> Result<usize, usize> {
    entries.binary_search_by(|known| known.backend.as_str().cmp(backend))
}
