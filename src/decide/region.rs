//! Decides in which data centres a request may be served, where its route or team is bound to regions.
//!
//! Load pattern: the servers of a region are full while those of another idle, or a whole region is lost. Requests that may
//! leave their region move to the others; those that may not are refused at once, and count in the load of the servers that they
//! may use only. See `docs/design/REGIONS.md`.

/// The region of each data centre, as the settings name them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Regions {
    /// Pairs of data centre and region, sorted.
    centres: Vec<(String, String)>,
}

impl Regions {
    /// Creates the table from pairs of data centre and region.
    pub fn new(mut centres: Vec<(String, String)>) -> Self {
        centres.sort();
        Self { centres }
    }

    /// Returns the region of `data_centre`; `None` if the settings don't name it.
    pub fn region_of(&self, data_centre: &str) -> Option<&str> {
        let index = self
            .centres
            .binary_search_by(|(known, _)| known.as_str().cmp(data_centre))
            .ok()?;
        Some(&self.centres[index].1)
    }

    /// Returns whether servers in `data_centre` may get a request that is bound by all of `bindings`, each a list of regions; an
    /// empty list binds to none. A data centre whose region is unknown gets no request that is bound.
    pub fn may_serve(&self, data_centre: &str, bindings: &[&[String]]) -> bool {
        let region = self.region_of(data_centre);
        let mut binding = bindings.iter().filter(|regions| !regions.is_empty());
        binding.all(|regions| {
            region.is_some_and(|region| regions.iter().any(|allowed| allowed == region))
        })
    }

    /// Returns whether a gateway in `helper` may carry connections to servers in `server`. What it carries is in its region too,
    /// so it has to be in the server's, where every request to that server may be.
    pub fn may_carry(&self, helper: &str, server: &str) -> bool {
        self.region_of(helper) == self.region_of(server)
    }
}
