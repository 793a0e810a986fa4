//! HTTP endpoints for readiness probes, metrics and held parts of prompts.

use super::handler::Gateway;
use crate::clock::BootInstant;
use crate::net::Body;
use crate::net::Handler;
use crate::net::collect;
use crate::net::full_body;
use async_trait::async_trait;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Path of the list of held parts; a part's own path is below it.
const HELD_PARTS_PATH: &str = "/held-parts";

/// Path of the list of cold servers and evacuated data centres.
const WITHHELD_PATH: &str = "/withheld";

/// Path that answers where a request would be sent now.
pub const EXPLAIN_PATH: &str = "/explain";
/// Maximum size of a request to explain.
const MAX_EXPLAIN_BYTES: usize = 64 * 1024;

/// What gets fewer requests than others, or none, as listed on the page.
#[derive(Serialize)]
struct WithheldPage {
    cold_servers: Vec<WithheldRow>,
    evacuated_data_centres: Vec<WithheldRow>,
    /// Age of what this gateway knows of evacuations; `None` if it knows nothing.
    age_ms: Option<u64>,
}

#[derive(Serialize)]
struct WithheldRow {
    name: String,
    /// Time for which this gateway has known it.
    known_ms: u64,
}

impl WithheldRow {
    fn new(name: &str, known: Duration) -> Self {
        Self {
            name: name.to_owned(),
            known_ms: millis(known),
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Renders `page` as one line of JSON.
fn json_line(page: &impl Serialize) -> Vec<u8> {
    let mut text = serde_json::to_vec(page).expect("the page has string keys only");
    text.push(b'\n');
    text
}

/// A held part as listed on the page.
#[derive(Serialize)]
struct HeldPartRow {
    part: String,
    age_ms: u64,
    trials: u32,
    crashes: usize,
}

/// Handles requests on the readiness address and the metrics address.
pub(super) struct Pages {
    pub(super) gateway: Arc<Gateway>,
}

impl Pages {
    /// Returns the reason why the node is not ready, or `None` if it is ready.
    fn not_ready_reason(&self) -> Option<&'static str> {
        let catalog = &self.gateway.catalog;
        if self.gateway.stopping_since.get().is_some() {
            return Some("leaving");
        }
        if catalog.configuration().is_none() {
            return Some("no configuration yet");
        }
        if catalog.servers().0.is_empty() {
            return Some("no servers yet");
        }
        if !self.gateway.quarantine.is_loaded() {
            return Some("held parts not known yet");
        }
        if !catalog.are_keys_verified(BootInstant::now()) {
            return Some("configuration unproven");
        }
        None
    }

    fn metrics(&self) -> Vec<u8> {
        let now = BootInstant::now();
        let catalog = &self.gateway.catalog;
        let version = catalog
            .configuration()
            .map_or(0, |configuration| configuration.version());
        let metrics = &self.gateway.metrics;
        let servers = catalog.servers().0.len();
        metrics.record_catalog(
            version,
            catalog.config_age(now),
            catalog.list_age(now),
            (servers, catalog.unusable_count()),
        );
        metrics.record_held_parts(self.gateway.quarantine.held_parts().len());
        metrics.record_limited_servers(self.gateway.rates.limited_count());
        let gate = &self.gateway.gate;
        let evacuated = catalog.evacuations().evacuated().len();
        metrics.record_gate(gate.cold_count(), gate.send_counts(), evacuated);
        metrics.record_heavy_teams(&self.gateway.team_demand.all_heavy(now));
        let paths = &self.gateway.paths;
        metrics.record_paths(paths.blocked_count(), paths.tunnel_counts());
        metrics.render()
    }

    /// Returns the held parts as JSON.
    fn held_parts(&self) -> Vec<u8> {
        let held = self.gateway.quarantine.held_parts().into_iter();
        let rows: Vec<HeldPartRow> = held
            .map(|held| HeldPartRow {
                part: format!("{:x}", held.part),
                age_ms: millis(held.age),
                trials: held.trials,
                crashes: held.crashes,
            })
            .collect();
        json_line(&rows)
    }

    /// Returns the cold servers and the evacuated data centres as JSON.
    fn withheld(&self) -> Vec<u8> {
        let now = BootInstant::now();
        let catalog = &self.gateway.catalog;
        let evacuations = catalog.evacuations();
        let cold = self.gateway.gate.cold_servers(now).into_iter();
        let evacuated = evacuations.evacuated().iter();
        json_line(&WithheldPage {
            cold_servers: cold
                .map(|(name, known)| WithheldRow::new(&name, known))
                .collect(),
            evacuated_data_centres: evacuated
                .map(|centre| WithheldRow::new(&centre.data_centre, now.since(centre.since)))
                .collect(),
            age_ms: catalog.config_age(now).map(millis),
        })
    }

    /// Lets the held part with this hexadecimal id through at all gateways.
    fn release(&self, part: &str) -> (StatusCode, Vec<u8>) {
        match u64::from_str_radix(part, 16) {
            Ok(part) if self.gateway.quarantine.release(part) => {
                (StatusCode::OK, b"let through\n".to_vec())
            }
            Ok(_) => (StatusCode::NOT_FOUND, b"not held\n".to_vec()),
            Err(_) => (StatusCode::BAD_REQUEST, b"not a hexadecimal id\n".to_vec()),
        }
    }
}

impl Pages {
    /// Answers where the request described by the body would be sent now.
    async fn explain(&self, body: Incoming) -> (StatusCode, Vec<u8>) {
        let invalid = |text: String| (StatusCode::BAD_REQUEST, format!("{text}\n").into_bytes());
        let Ok(body) = collect(body, MAX_EXPLAIN_BYTES).await else {
            return invalid("the body is too large or incomplete".to_owned());
        };
        match serde_json::from_slice(&body) {
            Ok(request) => match self.gateway.explain(&request) {
                Ok(explanation) => (StatusCode::OK, json_line(&explanation)),
                Err(cause) => invalid(cause),
            },
            Err(err) => invalid(format!("not a request to explain: {err}")),
        }
    }
}

#[async_trait]
impl Handler for Pages {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let path = req.uri().path();
        let (status, text) = if path == EXPLAIN_PATH && req.method() == Method::POST {
            self.explain(req.into_body()).await
        } else if path == self.gateway.dialect.ready_path() {
            match self.not_ready_reason() {
                None => (StatusCode::OK, b"ready\n".to_vec()),
                Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason.as_bytes().to_vec()),
            }
        } else if path == "/metrics" {
            (StatusCode::OK, self.metrics())
        } else if path == HELD_PARTS_PATH {
            (StatusCode::OK, self.held_parts())
        } else if path == WITHHELD_PATH {
            (StatusCode::OK, self.withheld())
        } else if req.method() == Method::DELETE
            && let Some(part) = path
                .strip_prefix(HELD_PARTS_PATH)
                .and_then(|rest| rest.strip_prefix('/'))
        {
            self.release(part)
        } else {
            (StatusCode::NOT_FOUND, b"no such page\n".to_vec())
        };
        let mut response = Response::new(full_body(text));
        *response.status_mut() = status;
        response
    }
}
