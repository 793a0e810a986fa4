//! Calls of plain services.

use super::attempts::Attempts;
use super::attempts::Job;
use super::caller::Caller;
use super::serve::Entry;
use crate::border::generated::config::CallRule;
use crate::border::generated::config::Service;
use crate::claims::Call;
use crate::claims::IdempotencyKey;
use crate::claims::Run;
use crate::config::State;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::owner::Answer;
use async_trait::async_trait;
use bytes::Bytes;
use sha2::Digest;
use sha2::Sha256;
use std::time::Duration;
use std::time::Instant;

/// What comes before the service's name in the path.
pub(super) const SERVICES_PATH: &str = "/services/";
/// Kind of the services that are not models.
const PLAIN_KIND: &str = "plain";

/// Hands one call over when its claim allows it.
struct RunJob<'a> {
    attempts: &'a Attempts,
    job: &'a Job<'a>,
}

#[async_trait]
impl Run for RunJob<'_> {
    async fn run(&self) -> Result<Answer, Refusal> {
        self.attempts.run(self.job).await
    }
}

impl Entry {
    /// Runs one call of a plain service; `path` is what follows `/services/`.
    pub(super) async fn plain(
        &self,
        caller: &Caller,
        state: &State,
        method: &str,
        path: &str,
        body: &Bytes,
    ) -> Result<Answer, Refusal> {
        let (name, rest) = path.split_once('/').unwrap_or((path, ""));
        let service = state
            .service(name)
            .filter(|service| service.kind == PLAIN_KIND)
            .ok_or(Refusal::not_run(NotRun::UnknownService))?;
        let path = format!("/{rest}");
        let mut job = Job {
            caller,
            state,
            service,
            method,
            path: &path,
            body,
            key: None,
            deadline: Instant::now() + Duration::from_millis(service.deadline_ms),
        };
        if !is_non_idempotent(service, method, &path) {
            return self.attempts().run(&job).await;
        }
        let key = key_of(caller)?;
        let text = key.to_string();
        job.key = Some(&text);
        let call = Call {
            key,
            service: &service.name,
            fingerprint: fingerprint(method, &path, body),
        };
        let run = RunJob {
            attempts: self.attempts(),
            job: &job,
        };
        self.once().once(&call, &run).await
    }
}

fn key_of(caller: &Caller) -> Result<IdempotencyKey, Refusal> {
    caller
        .key
        .as_deref()
        .and_then(|key| key.parse().ok())
        .ok_or(Refusal::not_run(NotRun::KeyRequired))
}

fn is_non_idempotent(service: &Service, method: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or(path);
    service
        .non_idempotent
        .iter()
        .any(|rule| is_match(rule, method, path))
}

fn is_match(rule: &CallRule, method: &str, path: &str) -> bool {
    let matches_path = match rule.path.strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => path == rule.path,
    };
    matches_path && rule.method.eq_ignore_ascii_case(method)
}

fn fingerprint(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
