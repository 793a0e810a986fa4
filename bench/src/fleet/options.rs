//! What a fleet is made of, and the configuration that it starts with.

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

/// Time after which a request is over, in milliseconds.
const DEADLINE_MS: u64 = 30_000;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Name of the case, for the folder of its files.
    pub case: String,
    /// Seed, for the folder and the deployment's key.
    pub seed: u64,
    /// Folder that the fleet's own folder is made in.
    pub out: PathBuf,
    /// Program of the node.
    pub node_binary: PathBuf,
    /// Count of data centres.
    pub data_centres: u8,
    /// Count of data centres, from the first on, that backend servers are in.
    pub backend_data_centres: u8,
    /// Count of nodes, shared out evenly over the data centres.
    pub nodes: u8,
    /// Count of engines.
    pub engines: u32,
    /// Model service of all engines.
    pub model: String,
    /// How engines are, but for name and service.
    pub engine: EngineOptions,
    /// Count of plain servers.
    pub plain_servers: u32,
    /// Plain service of all plain servers.
    pub plain: String,
    /// Time that a plain call takes, in milliseconds.
    pub plain_work_ms: u64,
    /// Count of teams.
    pub teams: u32,
    /// Policy of routing.
    pub policy: String,
    /// c of the load bound, in thousandths.
    pub bound_permille: u32,
    /// Load below which the bound does not hold.
    pub floor: u32,
    /// Time that the host list is behind.
    pub host_list_lag: Duration,
    /// Time between two reads of the host list by a node.
    pub host_list_interval: Duration,
    /// Further lines of the nodes' settings.
    pub extra_settings: Vec<String>,
    /// Time that each node gets for its graceful end when the fleet closes.
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
    /// Count of nodes in the data centre with the given number, from 1 on.
    pub fn nodes_of(&self, data_centre: u8) -> u8 {
        let centres = self.data_centres.max(1);
        self.nodes / centres + u8::from(data_centre <= self.nodes % centres)
    }

    /// Data centre of the backend server with the given index.
    pub fn zone_of(&self, index: usize) -> String {
        format!(
            "dc{}",
            index % usize::from(self.backend_data_centres.max(1)) + 1
        )
    }

    /// Options of the engine with the given number.
    pub fn engine_options(&self, number: u32) -> EngineOptions {
        EngineOptions {
            name: format!("engine-{number}"),
            service: self.model.clone(),
            ..self.engine.clone()
        }
    }

    /// The deployment's key in hex.
    pub fn deployment_key(&self) -> String {
        hex_sha256(&format!("deployment {}", self.seed))
    }

    /// The teams and their bearer keys.
    pub fn team_keys(&self) -> Vec<TeamKey> {
        let team = |number| TeamKey {
            team: format!("team-{number}"),
            key: format!("key-{}-{number}", self.seed),
        };
        (1..=self.teams).map(team).collect()
    }

    /// The operator that the bench changes the configuration as.
    pub fn operator(&self) -> Operator {
        Operator::new("bench", &hex_sha256(&format!("operator {}", self.seed)))
    }

    /// The first record of the configuration, which declares the operator that signs all later ones.
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

/// The object of a team.
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
