//! Data centres whose servers get no new requests at an operator's request (`docs/design/EVACUATION.md`).

use super::follow::Position;
use crate::clock::BootInstant;

/// What one read of the source says of evacuations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationRead {
    /// Names of all evacuated data centres.
    Whole(Vec<String>),
    /// Changes since the last read, oldest first: names of data centres and whether each is evacuated from then on.
    Changes(Vec<(String, bool)>),
}

/// A data centre that is evacuated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuatedCentre {
    /// Name of the data centre.
    pub data_centre: String,
    /// When this node learned of the evacuation.
    pub since: BootInstant,
}

/// The evacuations that a node knows of.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    /// Sorted by name.
    evacuated: Vec<EvacuatedCentre>,
    /// Data centres that were evacuated, sorted by name, and when this node learned that they are not any more.
    returned: Vec<(String, BootInstant)>,
    /// Position of the source as of which the set is known.
    position: Option<Position>,
}

/// Names of the data centres whose evacuation a read has started or ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Evacuated from now on.
    pub started: Vec<String>,
    /// Not evacuated any more.
    pub ended: Vec<String>,
}

impl Evacuations {
    /// Returns the evacuated data centres, sorted by name.
    pub fn evacuated(&self) -> &[EvacuatedCentre] {
        &self.evacuated
    }

    /// Returns the position of the source as of which the set is known.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns whether any data centre is or has been evacuated.
    pub fn has_any(&self) -> bool {
        !self.evacuated.is_empty() || !self.returned.is_empty()
    }

    /// Returns whether `data_centre` is evacuated.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.index_of(data_centre).is_ok()
    }

    /// Returns when this node learned that the evacuation of `data_centre` had ended; `None` if it is evacuated or has not been.
    pub fn returned_at(&self, data_centre: &str) -> Option<BootInstant> {
        let index = self
            .returned
            .binary_search_by(|(name, _)| name.as_str().cmp(data_centre));
        let at = index.ok().map(|index| self.returned[index].1);
        at.filter(|_| !self.is_evacuated(data_centre))
    }

    /// Applies what was read up to `position` at `now`; ignores what is older than the known set.
    pub fn apply(
        &mut self,
        read: EvacuationRead,
        position: Position,
        now: BootInstant,
    ) -> EvacuationChange {
        if self.position.is_some_and(|known| known > position) {
            return EvacuationChange::default();
        }
        self.position = Some(position);
        let before = self.names();
        match read {
            EvacuationRead::Whole(names) => {
                self.evacuated
                    .retain(|centre| names.contains(&centre.data_centre));
                for name in names {
                    self.start(name, now);
                }
            }
            EvacuationRead::Changes(changes) => {
                for (name, is_evacuated) in changes {
                    if is_evacuated {
                        self.start(name, now);
                    } else if let Ok(index) = self.index_of(&name) {
                        self.evacuated.remove(index);
                    }
                }
            }
        }
        let after = self.names();
        let missing_in = |names: &[String], others: &[String]| -> Vec<String> {
            let missing = names.iter().filter(|name| !others.contains(name));
            missing.cloned().collect()
        };
        let change = EvacuationChange {
            started: missing_in(&after, &before),
            ended: missing_in(&before, &after),
        };
        for name in &change.ended {
            self.record_return(name, now);
        }
        change
    }

    fn names(&self) -> Vec<String> {
        let names = self.evacuated.iter();
        names.map(|centre| centre.data_centre.clone()).collect()
    }

    fn index_of(&self, data_centre: &str) -> Result<usize, usize> {
        self.evacuated
            .binary_search_by(|centre| centre.data_centre.as_str().cmp(data_centre))
    }

    fn start(&mut self, data_centre: String, now: BootInstant) {
        if let Err(index) = self.index_of(&data_centre) {
            let since = now;
            self.evacuated
                .insert(index, EvacuatedCentre { data_centre, since });
        }
    }

    fn record_return(&mut self, data_centre: &str, now: BootInstant) {
        let index = self
            .returned
            .binary_search_by(|(name, _)| name.as_str().cmp(data_centre));
        match index {
            Ok(index) => self.returned[index].1 = now,
            Err(index) => self.returned.insert(index, (data_centre.to_owned(), now)),
        }
    }
}
