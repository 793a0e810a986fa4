//! Options of a fleet, and the configuration that it starts with.

use std::path::PathBuf;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use super::operator::Operator;
use super::operator::base;
use crate::load::TeamKey;
use crate::standin::engine::EngineOptions;
use crate::wire::config::CallRule;
use crate::wire::config::Change;
use crate::wire::config::Object;
use crate::wire::config::Service;
use crate::wire::config::Team;

/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 30_000;

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Name of the case, used in the name of the fleet's folder.
    pub case: String,
    /// Seed, used in the folder's name and for the keys of the deployment, the operator and the teams.
    pub seed: u64,
    /// Parent folder of the fleet's folder.
    pub out: PathBuf,
    /// Path of the node program.
    pub node_binary: PathBuf,
    /// Number of data centres.
    pub data_centres: u8,
    /// Number of data centres with backend servers, starting with the first data centre.
    pub backend_data_centres: u8,
    /// Number of nodes, distributed evenly over the data centres.
    pub nodes: u8,
    /// Number of engines.
    pub engines: u32,
    /// Name of the model service that all engines serve.
    pub model: String,
    /// Options of all engines, except their name and service.
    pub engine: EngineOptions,
    /// Number of plain servers.
    pub plain_servers: u32,
    /// Name of the plain service that all plain servers serve.
    pub plain: String,
    /// Time that a plain server takes for a call, in milliseconds.
    pub plain_work_ms: u64,
    /// Number of teams.
    pub teams: u32,
    /// Name of the routing policy.
    pub policy: String,
    /// Load bound: the maximum load of an engine as a multiple of the service's mean load, in thousandths.
    pub bound_permille: u32,
    /// Load up to which an engine may be filled regardless of the load bound.
    pub floor: u32,
    /// Delay until a change of the host list is visible to readers.
    pub host_list_lag: Duration,
    /// Interval at which a node reads the host list.
    pub host_list_interval: Duration,
    /// Additional lines of the nodes' settings files.
    pub extra_settings: Vec<String>,
    /// Maximum time for the graceful stop of a node when the fleet is closed.
    pub close_timeout: Duration,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            case: String::from("fleet"),
            seed: 1,
            out: PathBuf::from("bench-out"),
            node_binary: PathBuf::from("currantbend"),
            data_centres: 2,
            backend_data_centres: 2,
            nodes: 4,
            engines: 8,
            model: String::from("assistant"),
            engine: EngineOptions::default(),
            plain_servers: 3,
            plain: String::from("payments"),
            plain_work_ms: 10,
            teams: 10,
            policy: String::from("owner"),
            bound_permille: 1250,
            floor: 4,
            host_list_lag: Duration::from_millis(500),
            host_list_interval: Duration::from_millis(500),
            extra_settings: Vec::new(),
            close_timeout: Duration::from_secs(10),
        }
    }
}

impl FleetOptions {
    /// Returns the number of nodes in a data centre. Data centres are numbered from 1.
    pub fn nodes_of(&self, data_centre: u8) -> u8 {
        let centres = self.data_centres.max(1);
        self.nodes / centres + u8::from(data_centre <= self.nodes % centres)
    }

    /// Returns the data centre of the backend server with the given index.
    pub fn zone_of(&self, index: usize) -> String {
        format!(
            "dc{}",
            index % usize::from(self.backend_data_centres.max(1)) + 1
        )
    }

    /// Returns the options of the engine with the given number.
    pub fn engine_options(&self, number: u32) -> EngineOptions {
        EngineOptions {
            name: format!("engine-{number}"),
            service: self.model.clone(),
            ..self.engine.clone()
        }
    }

    /// Returns the deployment's key in hex.
    pub fn deployment_key(&self) -> String {
        hex_sha256(&format!("deployment {}", self.seed))
    }

    /// Returns the teams and their bearer keys.
    pub fn team_keys(&self) -> Vec<TeamKey> {
        let team = |number| TeamKey {
            team: format!("team-{number}"),
            key: format!("key-{}-{number}", self.seed),
        };
        (1..=self.teams).map(team).collect()
    }

    /// Returns the operator that signs the configuration changes of the bench.
    pub fn operator(&self) -> Operator {
        Operator::new("bench", &hex_sha256(&format!("operator {}", self.seed)))
    }

    /// Returns the first record of the configuration, which declares the operator that signs all later records.
    pub fn config_record(&self, teams: &[TeamKey]) -> String {
        let operator = self.operator();
        let mut put: Vec<Object> = teams.iter().map(team_object).collect();
        put.push(operator.object());
        put.push(self.service_object(&self.model, "model", Vec::new()));
        let payment = CallRule {
            method: String::from("POST"),
            path: String::from("/payments"),
        };
        put.push(self.service_object(&self.plain, "plain", vec![payment]));
        let change = Change {
            id: String::from("bench-first"),
            operator: operator.name().to_owned(),
            read: None,
            note: String::new(),
            bases: put.iter().map(|object| base(object, None)).collect(),
            put,
            delete: Vec::new(),
        };
        operator.record(&change)
    }

    fn service_object(&self, name: &str, kind: &str, non_idempotent: Vec<CallRule>) -> Object {
        let service = Service {
            bound_permille: self.bound_permille,
            deadline_ms: DEADLINE_MS,
            floor: self.floor,
            kind: kind.to_owned(),
            name: name.to_owned(),
            non_idempotent,
            data_centres: Vec::new(),
        };
        Object::Service { service }
    }
}

/// Returns the configuration object of a team.
pub fn team_object(team: &TeamKey) -> Object {
    let team = Team {
        key_hashes: vec![hex_sha256(&team.key)],
        name: team.team.clone(),
        priority: String::from("interactive"),
        weight: 1,
        excluded_data_centres: Vec::new(),
    };
    Object::Team { team }
}

pub(super) fn hex_sha256(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
