//! Kinds and names of configured objects.

use crate::border::generated::config::Object;
use std::fmt;
use std::str::FromStr;

/// Kind of a configured object. Objects in `State` are sorted in the order of the variants.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ObjectKind {
    /// Wanted state of a backend server.
    Backend,
    /// A model with its adapters.
    Model,
    /// A person or program that may change the configuration.
    Operator,
    /// A service that callers send requests to.
    Service,
    /// A team; callers authenticate with its key.
    Team,
}

impl ObjectKind {
    /// All kinds, in the order of the variants.
    pub const ALL: [Self; 5] = [
        Self::Backend,
        Self::Model,
        Self::Operator,
        Self::Service,
        Self::Team,
    ];

    /// Returns the name of the kind as written in records and declarations.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Backend => "backend",
            Self::Model => "model",
            Self::Operator => "operator",
            Self::Service => "service",
            Self::Team => "team",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error returned when a text is not the name of an object kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownKindError;

impl FromStr for ObjectKind {
    type Err = UnknownKindError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut kinds = Self::ALL.into_iter();
        kinds
            .find(|kind| kind.as_str() == text)
            .ok_or(UnknownKindError)
    }
}

/// Returns the kind of `object`.
pub fn kind_of(object: &Object) -> ObjectKind {
    match object {
        Object::Backend { .. } => ObjectKind::Backend,
        Object::Model { .. } => ObjectKind::Model,
        Object::Operator { .. } => ObjectKind::Operator,
        Object::Service { .. } => ObjectKind::Service,
        Object::Team { .. } => ObjectKind::Team,
    }
}

/// Returns the name of `object`, which is unique within its kind.
pub fn name_of(object: &Object) -> &str {
    match object {
        Object::Backend { backend } => &backend.name,
        Object::Model { model } => &model.name,
        Object::Operator { operator } => &operator.name,
        Object::Service { service } => &service.name,
        Object::Team { team } => &team.name,
    }
}
