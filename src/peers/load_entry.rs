//! What gateways tell each other of the load of backend servers, and of what teams ask for.

use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Number of requests in flight at one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadEntry {
    /// Name of the backend server.
    pub server: String,
    /// Requests that were sent and whose response is not complete yet.
    pub in_flight: u32,
    /// Requests for a server that names a limit; `None` for others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests: Option<ServerRequests>,
    /// Answers of the server; `None` if there were none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<ServerPace>,
    /// What the server said of its speed; `None` if it said nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<ServerSpeed>,
}

/// What a server said in the last two seconds of how long work takes on its machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct ServerSpeed {
    /// Number of answers that said something.
    pub reports: u32,
    /// Sum of what they said, each in hundredths of the usual time.
    pub percent: u32,
}

impl ServerSpeed {
    fn plus(self, other: Self) -> Self {
        Self {
            reports: self.reports.saturating_add(other.reports),
            percent: self.percent.saturating_add(other.percent),
        }
    }
}

impl From<(u32, u32)> for ServerSpeed {
    fn from((reports, percent): (u32, u32)) -> Self {
        Self { reports, percent }
    }
}

impl From<ServerSpeed> for (u32, u32) {
    fn from(speed: ServerSpeed) -> Self {
        (speed.reports, speed.percent)
    }
}

/// Answers of a server, or events of its streams, in the last two seconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct ServerPace {
    /// Number of answers.
    pub answers: u32,
    /// Time that they took together.
    pub took_ms: u32,
}

impl ServerPace {
    fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            took_ms: self.took_ms.saturating_add(other.took_ms),
        }
    }
}

impl From<(u32, u32)> for ServerPace {
    fn from((answers, took_ms): (u32, u32)) -> Self {
        Self { answers, took_ms }
    }
}

impl From<ServerPace> for (u32, u32) {
    fn from(pace: ServerPace) -> Self {
        (pace.answers, pace.took_ms)
    }
}

/// Requests for a server that names a limit on them or did so lately, in the last two seconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServerRequests {
    /// Requests for which the server was chosen, whether or not they were sent there.
    pub chosen: u32,
    /// Requests that were sent there.
    pub sent: u32,
    /// Requests in a thousand seconds that the server takes from all gateways; `None` if its limit has ended.
    pub limit_milli: Option<u64>,
    /// Time since the answer that said so.
    pub limit_age_ms: u64,
}

impl ServerRequests {
    /// Returns these requests with `time` added to the age of the limit.
    fn aged(self, time: Duration) -> Self {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self {
            limit_age_ms: self.limit_age_ms.saturating_add(millis),
            ..self
        }
    }

    /// Adds the requests of other gateways, and takes over the limit if theirs is newer.
    fn add(&mut self, other: &Self) {
        self.chosen += other.chosen;
        self.sent += other.sent;
        if other.limit_age_ms < self.limit_age_ms {
            self.limit_milli = other.limit_milli;
            self.limit_age_ms = other.limit_age_ms;
        }
    }

    fn subtract(&mut self, other: &Self) {
        self.chosen = self.chosen.saturating_sub(other.chosen);
        self.sent = self.sent.saturating_sub(other.sent);
    }
}

impl LoadEntry {
    /// Adds `time` to the age of the limit; called for the time that the entry waited or was under way.
    pub(super) fn age_by(&mut self, time: Duration) {
        self.requests = self.requests.map(|requests| requests.aged(time));
    }

    /// Adds the load of other gateways on the same server, as it is `age` after it was received.
    pub(super) fn add(&mut self, other: &Self, age: Duration) {
        self.in_flight += other.in_flight;
        match (&mut self.requests, other.requests) {
            (Some(requests), Some(other)) => requests.add(&other.aged(age)),
            (None, Some(other)) => self.requests = Some(other.aged(age)),
            (_, None) => {}
        }
        self.pace = match (self.pace, other.pace) {
            (Some(pace), Some(other)) => Some(pace.plus(other)),
            (pace, other) => pace.or(other),
        };
        self.speed = match (self.speed, other.speed) {
            (Some(speed), Some(other)) => Some(speed.plus(other)),
            (speed, other) => speed.or(other),
        };
    }

    /// Subtracts the load that one gateway has put on the same server.
    pub(super) fn subtract(&mut self, own: &Self) {
        self.in_flight = self.in_flight.saturating_sub(own.in_flight);
        if let (Some(requests), Some(own)) = (&mut self.requests, &own.requests) {
            requests.subtract(own);
        }
    }
}

/// Requests of one team for one service in the last two seconds.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(from = "(String, String, u32)", into = "(String, String, u32)")]
pub struct TeamRequests {
    /// Name of the service.
    pub service: String,
    /// Name of the team.
    pub team: String,
    /// Number of requests, whether or not they were admitted.
    pub requests: u32,
}

impl From<(String, String, u32)> for TeamRequests {
    fn from((service, team, requests): (String, String, u32)) -> Self {
        Self {
            service,
            team,
            requests,
        }
    }
}

impl From<TeamRequests> for (String, String, u32) {
    fn from(row: TeamRequests) -> Self {
        (row.service, row.team, row.requests)
    }
}
