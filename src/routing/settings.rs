//! Section `[routing]`: how backend servers are chosen.

use super::PolicyName;
use crate::settings::Section;
use std::time::Duration;

/// Settings for the choice of backend servers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Policy that chooses the backend server that a request is sent to first.
    pub policy: PolicyName,
    /// Time between two exchanges of loads with some of the other nodes.
    pub exchange_interval: Duration,
}

impl Settings {
    /// Reads the section `[routing]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            policy: section.value_or("policy", PolicyName::Owner, PolicyName::ACCEPTED),
            exchange_interval: section.millis("exchange_interval_ms", 50, 10..=60_000),
        }
    }
}
