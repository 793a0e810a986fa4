//! Section `[routing]`: how backend servers are chosen.

use super::PolicyName;
use crate::settings::Section;

/// How backend servers are chosen.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Policy of the first choice.
    pub policy: PolicyName,
}

impl Settings {
    /// Reads the section `[routing]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            policy: section.or("policy", PolicyName::Owner, PolicyName::ACCEPTED),
        }
    }
}
