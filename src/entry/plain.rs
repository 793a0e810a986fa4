//! Calls of plain services.

use super::attempts::Job;
use super::caller::Caller;
use super::calls::OwnedCall;
use super::serve::Entry;
use crate::border::generated::config::CallRule;
use crate::border::generated::config::Service;
use crate::config::State;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::owner::Answer;
use bytes::Bytes;
use std::time::Duration;
use std::time::Instant;

/// Path prefix before the service's name.
pub(super) const SERVICES_PATH: &str = "/services/";
/// Kind of the services that are not models.
const PLAIN_KIND: &str = "plain";

impl Entry {
    /// Handles one call of a plain service; `path` is the part after `/services/`.
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
        let deadline = Instant::now() + Duration::from_millis(service.deadline_ms);
        if is_non_idempotent(service, method, &path) {
            let key = caller.key.clone();
            let call = OwnedCall {
                caller: caller.clone(),
                service: service.clone(),
                method: method.to_owned(),
                path,
                body: body.clone(),
                key: key.ok_or(Refusal::not_run(NotRun::KeyRequired))?,
                deadline,
            };
            return self.calls().run(call).await;
        }
        let job = Job {
            caller,
            state,
            service,
            method,
            path: &path,
            body,
            key: None,
            deadline,
        };
        self.attempts().run(&job).await
    }
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
