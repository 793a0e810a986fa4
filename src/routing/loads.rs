//! Loads of backend servers as this node last heard of them, learnt on the data path.

use std::sync::Mutex;
use std::sync::PoisonError;

/// Last known load of each backend server, in requests.
#[derive(Debug, Default)]
pub struct Loads {
    // Sorted by name.
    entries: Mutex<Vec<(String, u32)>>,
}

impl Loads {
    /// Notes the load of `backend`.
    pub fn note(&self, backend: &str, load: u32) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        match entries.binary_search_by(|(name, _)| name.as_str().cmp(backend)) {
            Ok(i) => entries[i].1 = load,
            Err(i) => entries.insert(i, (backend.to_owned(), load)),
        }
    }

    /// Gives the load of `backend`, zero where nothing was heard.
    pub fn get(&self, backend: &str) -> u32 {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let found = entries.binary_search_by(|(name, _)| name.as_str().cmp(backend));
        found.map_or(0, |i| entries[i].1)
    }
}
