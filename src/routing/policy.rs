//! What a policy decides, and the policies by name.

use super::Loads;
use super::hash::Hash;
use super::least_loaded::LeastLoaded;
use super::owner::OwnerBound;
use super::random::Random;
use crate::membership::Backend;
use std::str::FromStr;

/// What a policy chooses from.
pub struct PolicyInput<'a, 'b> {
    /// What requests of the same chat have in common.
    pub key: &'a str,
    /// Backend servers that may serve the request.
    pub candidates: &'a [&'b Backend],
    /// Loads as they were last heard of.
    pub loads: &'a Loads,
    /// Routing hint of the chat's last answer.
    pub hint: Option<&'a str>,
    /// What the last owner asked proposed instead.
    pub owner_proposal: Option<&'a str>,
}

/// Chooses a backend server.
pub trait Policy: Send + Sync {
    /// Gives one of the candidates, or nothing where there are none.
    fn choose<'b>(&self, input: &PolicyInput<'_, 'b>) -> Option<&'b Backend>;

    /// Tells whether owners keep the load bound for this policy.
    fn is_bounded(&self) -> bool {
        false
    }
}

/// A policy by its name in settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyName {
    /// Rendezvous rank inside the owners' bound.
    Owner,
    /// Any backend server; a baseline.
    Random,
    /// The least loaded as last heard of; a baseline.
    LeastLoaded,
    /// Rendezvous rank without a bound; a baseline.
    Hash,
}

impl PolicyName {
    /// Names that settings accept.
    pub const ACCEPTED: &str = "owner, random, least-loaded or hash";

    /// Makes the policy.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            Self::Owner => Box::new(OwnerBound),
            Self::Random => Box::new(Random),
            Self::LeastLoaded => Box::new(LeastLoaded),
            Self::Hash => Box::new(Hash),
        }
    }
}

/// The text names no policy.
#[derive(Clone, Copy, Debug)]
pub struct UnknownPolicyError;

impl FromStr for PolicyName {
    type Err = UnknownPolicyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "owner" => Ok(Self::Owner),
            "random" => Ok(Self::Random),
            "least-loaded" => Ok(Self::LeastLoaded),
            "hash" => Ok(Self::Hash),
            _ => Err(UnknownPolicyError),
        }
    }
}
