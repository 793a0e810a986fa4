//! Loads of backend servers as this node last heard of them.
//!
//! Every source writes here: replies on the data path, the owners' exchange, and what this node counts itself. Whatever
//! brings loads in future only has to call [`Loads::note`].

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Last known load of each backend server, in requests.
#[derive(Debug, Default)]
pub struct Loads {
    // Sorted by name.
    entries: Mutex<Vec<Heard>>,
}

#[derive(Clone, Debug)]
struct Heard {
    backend: String,
    load: u32,
    at: Instant,
}

impl Loads {
    /// Notes the load of `backend`.
    pub fn note(&self, backend: &str, load: u32) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let at = Instant::now();
        match find(&entries, backend) {
            Ok(i) => {
                entries[i].load = load;
                entries[i].at = at;
            }
            Err(i) => {
                let backend = backend.to_owned();
                entries.insert(i, Heard { backend, load, at });
            }
        }
    }

    /// Gives the load of `backend`, zero where nothing was heard.
    pub fn get(&self, backend: &str) -> u32 {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        find(&entries, backend).map_or(0, |i| entries[i].load)
    }

    /// Gives the load of `backend` where it was heard within `max_age`.
    pub fn known(&self, backend: &str, max_age: Duration) -> Option<u32> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let heard = &entries[find(&entries, backend).ok()?];
        (heard.at.elapsed() <= max_age).then_some(heard.load)
    }

    /// Forgets every backend server that `is_gone` names.
    pub fn forget(&self, is_gone: impl Fn(&str) -> bool) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|heard| !is_gone(&heard.backend));
    }
}

fn find(entries: &[Heard], backend: &str) -> Result<usize, usize> {
    entries.binary_search_by(|heard| heard.backend.as_str().cmp(backend))
}
