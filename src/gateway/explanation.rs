//! What a gateway says of where it would send a request now, and why; see `docs/OPERATIONS.md`.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// A request to explain. It is not sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ExplainRequest {
    /// Host name that the request would be addressed to.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Name of the caller's team; `None` for a caller without a key.
    #[serde(default)]
    pub team: Option<String>,
    /// Parts of its prompt, in order, each with its length in tokens.
    #[serde(default)]
    pub parts: Vec<ExplainPart>,
    /// Its id, on which choices depend that are spread evenly over requests.
    #[serde(default)]
    pub request_id: String,
}

/// A part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ExplainPart {
    /// Hexadecimal id.
    pub id: String,
    /// Length in tokens.
    pub tokens: u32,
}

/// Where a request would be sent now, and what that rests on. Nothing of it is reserved.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Explanation {
    /// Name of the gateway's data centre.
    pub data_centre: String,
    /// Name of the route.
    pub route: String,
    /// Name of the service, drawn by the weights of the route and the request's id.
    pub service: String,
    /// How urgent the request is; 0 is the most urgent.
    pub rank: u8,
    /// Version and age of the configuration.
    pub configuration: Knowledge,
    /// Version and age of the server list.
    pub server_list: Knowledge,
    /// Age of the loads of other gateways in milliseconds; `None` if nothing is known of them.
    pub loads_age_ms: Option<u64>,
    /// What admission says; `None` if the service has no server whose load counts.
    pub admission: Option<AdmissionReport>,
    /// The server that the request would be sent to; `None` if it would be refused.
    pub choice: Option<ChoiceReport>,
    /// Why the request would be refused; `None` if it would be sent.
    pub refusal: Option<String>,
    /// The servers of the service: engines in the order in which they are homes of the prompt, others by name.
    pub servers: Vec<ServerReport>,
}

/// Version and age of what a gateway knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Knowledge {
    /// Its version.
    pub version: u64,
    /// Time since it was known to be current, in milliseconds; `None` if it never was.
    pub age_ms: Option<u64>,
}

/// What admission says of a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AdmissionReport {
    /// Load of the service as a multiple of its slots.
    pub load_per_slot: f64,
    /// Time that a request is expected to wait at a server, in milliseconds.
    pub expected_wait_ms: u64,
    /// Time that the latency targets leave for waiting, in milliseconds.
    pub wait_budget_ms: u64,
    /// Probability with which such a request is rejected, from 0 to 1.
    pub rejected: f64,
    /// The team's share of all requests for the service, if that is more than a fair one.
    pub team_share: Option<f64>,
}

/// The server that a request would be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChoiceReport {
    /// Name of the server.
    pub server: String,
    /// Number of usable homes of the prompt that were passed over.
    pub passed_over: usize,
    /// Server from which the shared parts of the prompt would be copied.
    pub copy_from: Option<String>,
}

/// What a gateway knows of a server.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServerReport {
    /// Name of the server.
    pub server: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Number of requests known to be running or waiting there.
    pub load: u32,
    /// Maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// Time that it takes as a multiple of what the others take.
    pub slowness: f64,
    /// What keeps requests from it, or lets it get fewer.
    pub obstacles: Vec<Obstacle>,
}

/// What keeps requests from a server, or lets it get fewer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Obstacle {
    /// The request is bound to other regions.
    OtherRegion,
    /// Its data centre is evacuated.
    Evacuated,
    /// It leaves, by the server list.
    Draining,
    /// It has told this gateway that it wants no requests.
    Closed,
    /// It fails more than others, or does not respond.
    Suspended,
    /// It has started lately and bears few requests; this gateway may send one now.
    Cold,
    /// It is cold, and this gateway may send none now.
    ColdWithoutToken,
    /// It has got all requests that the limit allows which it names, or other gateways use that limit.
    LimitReached,
    /// It works slower than others, so its load counts as a multiple.
    Slow,
    /// This gateway reaches it only through others.
    PathBlocked,
}

impl Obstacle {
    /// Returns whether a server gets no request because of it.
    pub fn excludes(self) -> bool {
        !matches!(
            self,
            Self::Suspended | Self::Cold | Self::Slow | Self::PathBlocked
        )
    }
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OtherRegion => "in another region",
            Self::Evacuated => "data centre evacuated",
            Self::Draining => "draining",
            Self::Closed => "closed by the server",
            Self::Suspended => "suspended",
            Self::Cold => "cold",
            Self::ColdWithoutToken => "cold, no token",
            Self::LimitReached => "at its limit",
            Self::Slow => "slow",
            Self::PathBlocked => "path blocked",
        })
    }
}

/// Writes an age in milliseconds.
fn write_age(f: &mut fmt::Formatter<'_>, age_ms: Option<u64>) -> fmt::Result {
    match age_ms {
        Some(age_ms) => write!(f, "{age_ms} ms old"),
        None => f.write_str("age unknown"),
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.choice, &self.refusal) {
            (Some(choice), _) => {
                write!(f, "would be sent to {}", choice.server)?;
                if let Some(source) = &choice.copy_from {
                    write!(f, ", prompt copied from {source}")?;
                }
                writeln!(f, ", homes passed over: {}", choice.passed_over)?;
            }
            (None, refusal) => writeln!(
                f,
                "would be refused: {}",
                refusal.as_deref().unwrap_or("no server")
            )?,
        }
        writeln!(
            f,
            "route {}, service {}, rank {}, from {}",
            self.route, self.service, self.rank, self.data_centre
        )?;
        write!(f, "configuration {}, ", self.configuration.version)?;
        write_age(f, self.configuration.age_ms)?;
        write!(f, "; server list {}, ", self.server_list.version)?;
        write_age(f, self.server_list.age_ms)?;
        f.write_str("; loads of other gateways ")?;
        write_age(f, self.loads_age_ms)?;
        writeln!(f)?;
        if let Some(admission) = &self.admission {
            write!(
                f,
                "admission: load {:.2} of the slots, expected wait {} of {} ms, rejected {:.0} in 100",
                admission.load_per_slot,
                admission.expected_wait_ms,
                admission.wait_budget_ms,
                admission.rejected * 100.0
            )?;
            if let Some(share) = admission.team_share {
                write!(f, ", team has {share:.2} of the requests")?;
            }
            writeln!(f)?;
        }
        for server in &self.servers {
            let obstacles: Vec<String> = server.obstacles.iter().map(Obstacle::to_string).collect();
            writeln!(
                f,
                "{} in {}: {} of {} slots, slowness {:.2} {}",
                server.server,
                server.data_centre,
                server.load,
                server.slots,
                server.slowness,
                obstacles.join(", ")
            )?;
        }
        Ok(())
    }
}
