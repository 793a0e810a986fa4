//! Kinds and names of configured objects.

use crate::border::generated::config::Object;
use std::fmt;
use std::str::FromStr;

/// Kind of a configured object; the order is that of the state.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ObjectKind {
    /// What is wanted of a backend server.
    Backend,
    /// A model with its adapters.
    Model,
    /// Someone who may change the configuration.
    Operator,
    /// A service that callers ask.
    Service,
    /// Whose key callers present.
    Team,
}

impl ObjectKind {
    /// All kinds, in their order.
    pub const ALL: [Self; 5] = [
        Self::Backend,
        Self::Model,
        Self::Operator,
        Self::Service,
        Self::Team,
    ];

    /// Names the kind as it stands in records and declarations.
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

/// The text names no kind of object.
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

/// Gives the kind of `object`.
pub fn kind_of(object: &Object) -> ObjectKind {
    match object {
        Object::Backend { .. } => ObjectKind::Backend,
        Object::Model { .. } => ObjectKind::Model,
        Object::Operator { .. } => ObjectKind::Operator,
        Object::Service { .. } => ObjectKind::Service,
        Object::Team { .. } => ObjectKind::Team,
    }
}

/// Gives the name of `object`, which is unique within its kind.
pub fn name_of(object: &Object) -> &str {
    match object {
        Object::Backend { backend } => &backend.name,
        Object::Model { model } => &model.name,
        Object::Operator { operator } => &operator.name,
        Object::Service { service } => &service.name,
        Object::Team { team } => &team.name,
    }
}
