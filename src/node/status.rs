//! The status of a node, shown to operators on the pages `/status` and `/objects`.

use crate::border::generated::config::Entry;
use crate::border::generated::config::NodeStatus;
use crate::border::generated::config::ObjectStatus;
use crate::config::ConfigSource;
use crate::config::StatusSource;
use crate::config::kind_of;
use crate::config::name_of;
use crate::membership::Membership;
use crate::operations::Readiness;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Collects the status of a node from its components.
pub(super) struct Status {
    pub(super) node: String,
    pub(super) data_centre: String,
    pub(super) config: Arc<dyn ConfigSource>,
    pub(super) membership: Arc<dyn Membership>,
    pub(super) readiness: Readiness,
    pub(super) unsettled: Arc<Mutex<Vec<String>>>,
}

impl Status {
    /// Returns the names of the owned engines that are not yet in their wanted state.
    fn unsettled(&self) -> Vec<String> {
        let unsettled = self.unsettled.lock();
        unsettled.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the names of the backend servers that this node owns.
    fn owned(&self) -> Vec<String> {
        let view = self.membership.view();
        let backends = view.backends().iter();
        let is_this_node = |node: &str| node == self.node;
        backends
            .filter(|backend| {
                view.owner(backend)
                    .is_some_and(|node| is_this_node(&node.name))
            })
            .map(|backend| backend.name.clone())
            .collect()
    }
}

impl StatusSource for Status {
    fn status(&self) -> NodeStatus {
        let state = self.config.state();
        let unmet = self.readiness.unmet();
        NodeStatus {
            node: self.node.clone(),
            data_centre: self.data_centre.clone(),
            version: state.version,
            hash: state.hash(),
            ready: unmet.is_empty(),
            missing: unmet.into_iter().map(str::to_owned).collect(),
            stopped_at: self.config.stopped_at(),
            owned: self.owned(),
            unsettled: self.unsettled(),
        }
    }

    fn objects(&self) -> Vec<ObjectStatus> {
        self.config.state().entries().map(object_status).collect()
    }
}

fn object_status(entry: &Entry) -> ObjectStatus {
    ObjectStatus {
        kind: kind_of(&entry.object).as_str().to_owned(),
        name: name_of(&entry.object).to_owned(),
        version: entry.version,
        change: entry.change.clone(),
        operator: entry.operator.clone(),
    }
}
