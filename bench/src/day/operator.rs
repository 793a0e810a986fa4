//! The operator's configuration: its versions, and what changes in it.

use serde_json::Value;
use serde_json::json;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use super::record::ConfigRecord;
use super::record::RouteKind;
use super::record::RouteRecord;
use super::sheet::Route;
use super::sheet::ServiceKind;
use super::sheet::Sheet;
use crate::standin::store_process::StoreControl;
use crate::truth::lock;

const TEAMS: usize = 10;
const KEYS_PER_TEAM: usize = 4;

/// What the next version of the configuration holds.
#[derive(Debug)]
struct State {
    version: u64,
    /// Added to the timeout of all routes, in milliseconds.
    further_timeout_ms: u64,
    /// Routes that no caller uses.
    idle_routes: usize,
    /// Keys, each with its team.
    keys: Vec<(String, String)>,
    records: Vec<ConfigRecord>,
}

/// Writes versions of the configuration.
#[derive(Debug)]
pub struct Operator {
    sheet: Sheet,
    store: Arc<StoreControl>,
    state: Mutex<State>,
    /// Held while a version is written, so that they are written in their order.
    writing: tokio::sync::Mutex<()>,
}

impl Operator {
    /// Returns the operator of a deployment, who hasn't written anything yet.
    pub fn new(sheet: &Sheet, store: Arc<StoreControl>, seed: u64) -> Self {
        let mut keys = Vec::new();
        for team in 0..TEAMS {
            for key in 0..KEYS_PER_TEAM {
                let secret = format!("k{:04x}{team:02}{key:02}", seed & 0xffff);
                keys.push((secret, format!("team-{team}")));
            }
        }
        keys.sort();
        Self {
            sheet: sheet.clone(),
            store,
            state: Mutex::new(State {
                version: 0,
                further_timeout_ms: 0,
                idle_routes: 0,
                keys,
                records: Vec::new(),
            }),
            writing: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the keys of the last version, each with its team.
    pub fn keys(&self) -> Vec<(String, String)> {
        lock(&self.state).keys.clone()
    }

    /// Returns the versions that were confirmed so far.
    pub fn records(&self) -> Vec<ConfigRecord> {
        lock(&self.state).records.clone()
    }

    /// Adds routes that no caller uses.
    pub fn add_idle_routes(&self, count: usize) {
        lock(&self.state).idle_routes += count;
    }

    /// Changes the timeout of all routes back and forth.
    pub fn change_timeouts(&self) {
        let mut state = lock(&self.state);
        state.further_timeout_ms = 100 - state.further_timeout_ms;
    }

    /// Takes keys away: one of each team in turn, or all of one team first. Callers still have keys in any case.
    pub fn revoke(&self, number: usize, is_whole_team: bool) -> Vec<String> {
        let mut state = lock(&self.state);
        let team = format!("team-{}", number % TEAMS);
        let mut revoked = Vec::new();
        let mut left = Vec::new();
        for (key, owner) in std::mem::take(&mut state.keys) {
            let is_meant = owner == team && (is_whole_team || revoked.is_empty());
            if is_meant {
                revoked.push(key);
            } else {
                left.push((key, owner));
            }
        }
        state.keys = left;
        revoked
    }

    /// Writes the next version.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't confirm it.
    pub async fn publish(&self) -> io::Result<()> {
        let _writing = self.writing.lock().await;
        let (text, mut record) = {
            let mut state = lock(&self.state);
            state.version += 1;
            self.next(&state)
        };
        record.sent = Instant::now();
        let put = self.store.put("keyed.op", "config", text.into());
        put.await?;
        record.confirmed = Instant::now();
        lock(&self.state).records.push(record);
        Ok(())
    }

    fn next(&self, state: &State) -> (String, ConfigRecord) {
        let host = self.sheet.hostname();
        let mut routes: Vec<RouteRecord> = Vec::new();
        let mut texts: Vec<Value> = Vec::new();
        for route in &self.sheet.routes {
            let timeout_ms = route.timeout_ms + state.further_timeout_ms;
            let mut record = route.record();
            record.timeout = std::time::Duration::from_millis(timeout_ms);
            texts.push(route_json(&record, route, &host));
            routes.push(record);
        }
        let first = &self.sheet.routes[0];
        for number in 0..state.idle_routes {
            let mut record = first.record();
            record.name = format!("idle-{number}");
            record.path_prefix = format!("/idle-{number}/");
            texts.push(route_json(&record, first, &host));
            routes.push(record);
        }
        routes.sort_by(|one, other| one.name.cmp(&other.name));
        let services = self.sheet.services.iter().map(|service| {
            let mut text = json!({"name": service.name, "max-conns": service.max_connections});
            match service.kind {
                ServiceKind::Engine => {
                    text["engine"] =
                        json!({"slots": service.slots, "kv-capacity": service.kv_capacity});
                }
                ServiceKind::Plain => text["health-path"] = json!("/health"),
            }
            text
        });
        let teams = (0..TEAMS).map(|team| {
            let name = format!("team-{team}");
            let keys = state.keys.iter().filter(|(_, owner)| *owner == name);
            let keys: Vec<&String> = keys.map(|(key, _)| key).collect();
            json!({"name": name, "api-keys": keys})
        });
        let text = json!({
            "version": state.version,
            "routes": texts,
            "services": services.collect::<Vec<_>>(),
            "limits": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304, "header-timeout-ms": 5_000,
                       "idle-timeout-ms": 15_000},
            "tenants": teams.collect::<Vec<_>>(),
        });
        let record = ConfigRecord {
            version: state.version,
            sent: Instant::now(),
            confirmed: Instant::now(),
            routes,
            keys: state.keys.clone(),
        };
        (text.to_string(), record)
    }
}

fn route_json(record: &RouteRecord, route: &Route, host: &str) -> Value {
    let (kind, is_resumable) = match record.kind {
        RouteKind::Safe => ("safe", false),
        RouteKind::Unsafe => ("unsafe", false),
        RouteKind::Stream => ("streaming", false),
        RouteKind::ResumableStream => ("streaming", true),
    };
    let mut text = json!({
        "name": record.name, "hostname": host, "path-prefix": record.path_prefix, "kind": kind,
        "timeout-ms": record.timeout.as_millis() as u64,
        "latency-target-ms": record.latency_target.as_millis() as u64,
        "service": record.service, "attempts": record.max_attempts, "priority": route.priority,
        "resumable": is_resumable,
    });
    if let Some(gap) = record.gap_target {
        text["gap-aim-ms"] = json!(gap.as_millis() as u64);
    }
    text
}
