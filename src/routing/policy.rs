//! The interface of routing policies, and their names in the settings.

use super::Loads;
use super::hash::Hash;
use super::least_loaded::LeastLoaded;
use super::owner::OwnerBound;
use super::random::Random;
use crate::membership::Backend;
use std::str::FromStr;

/// The request and the candidates that a policy chooses from.
pub struct PolicyInput<'a, 'b> {
    /// Key that all requests of a chat share; a request without a chat has its own.
    pub key: &'a str,
    /// Backend servers that may serve the request.
    pub candidates: &'a [&'b Backend],
    /// Last known loads.
    pub loads: &'a Loads,
    /// Routing hint from the last response of the chat.
    pub hint: Option<&'a str>,
    /// Backend server that the owner which last refused this request proposed instead.
    pub owner_proposal: Option<&'a str>,
}

/// A strategy that chooses the backend server for a request.
pub trait Policy: Send + Sync {
    /// Returns one of the candidates; `None` if there are none.
    fn choose<'b>(&self, input: &PolicyInput<'_, 'b>) -> Option<&'b Backend>;

    /// Returns whether owners enforce the load bound for this policy.
    fn is_bounded(&self) -> bool {
        false
    }
}

/// Name of a policy in the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyName {
    /// Highest rendezvous score within the load bound that owners enforce.
    Owner,
    /// Random backend server; a baseline.
    Random,
    /// Lowest known load; a baseline.
    LeastLoaded,
    /// Highest rendezvous score without a load bound; a baseline.
    Hash,
}

impl PolicyName {
    /// The accepted names, for error messages.
    pub const ACCEPTED: &str = "owner, random, least-loaded or hash";

    /// Creates the policy.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            Self::Owner => Box::new(OwnerBound),
            Self::Random => Box::new(Random),
            Self::LeastLoaded => Box::new(LeastLoaded),
            Self::Hash => Box::new(Hash),
        }
    }
}

/// Error for a text that is not the name of a policy.
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
