use super::Finding;
use super::index::Index;

pub(super) fn check(_index: &Index<'_>, _findings: &mut Vec<Finding>) {}
