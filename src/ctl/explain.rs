//! `cbctl explain`: prints where a gateway would send a request now, and why.

use super::Command;
use super::CtlError;
use super::Output;
use super::args::usage_error;
use crate::gateway::EXPLAIN_PATH;
use crate::gateway::ExplainPart;
use crate::gateway::ExplainRequest;
use crate::gateway::Explanation;
use crate::net::Client;
use crate::net::ClientOptions;
use crate::net::collect;
use crate::net::full_body;
use async_trait::async_trait;
use hyper::Request;
use hyper::StatusCode;
use pico_args::Arguments;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time to wait for the gateway's answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer in bytes: some thousand servers.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

pub(super) struct Explain {
    gateway: SocketAddr,
    request: ExplainRequest,
}

impl Explain {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let gateway = args.value_from_str("--gateway").map_err(usage_error)?;
        let parts: Option<String> = args.opt_value_from_str("--parts").map_err(usage_error)?;
        let request_id: Option<String> =
            args.opt_value_from_str("--request").map_err(usage_error)?;
        let request = ExplainRequest {
            host: args.value_from_str("--host").map_err(usage_error)?,
            path: args.value_from_str("--path").map_err(usage_error)?,
            team: args.opt_value_from_str("--team").map_err(usage_error)?,
            parts: parts.as_deref().map_or(Ok(Vec::new()), parse_parts)?,
            request_id: request_id.unwrap_or_default(),
        };
        Ok(Self { gateway, request })
    }

    async fn fetch(&self) -> Result<Explanation, CtlError> {
        let body = serde_json::to_vec(&self.request).map_err(|err| CtlError::System(err.into()))?;
        let req = Request::post(format!("http://{}{EXPLAIN_PATH}", self.gateway));
        let req = req.body(full_body(body)).map_err(unreachable)?;
        let client = Client::new(&ClientOptions::default());
        let response = client.send(req, TIMEOUT).await.map_err(unreachable)?;
        let status = response.status();
        let body = collect(response.into_body(), MAX_ANSWER_BYTES)
            .await
            .map_err(unreachable)?;
        if status == StatusCode::BAD_REQUEST {
            let cause = String::from_utf8_lossy(&body).trim_end().to_owned();
            return Err(CtlError::Impossible(cause));
        }
        serde_json::from_slice(&body).map_err(|err| {
            let text = format!("the gateway answered {status}, not an explanation: {err}");
            CtlError::System(io::Error::other(text))
        })
    }
}

#[async_trait]
impl Command for Explain {
    async fn run(&self, output: &Output) -> Result<(), CtlError> {
        output.print(&self.fetch().await?)
    }
}

/// Parses `ID:TOKENS,...`.
pub(super) fn parse_parts(list: &str) -> Result<Vec<ExplainPart>, CtlError> {
    let part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(ExplainPart {
            id: id.to_owned(),
            tokens: tokens.parse().ok()?,
        })
    };
    let parts: Option<Vec<ExplainPart>> = list.split(',').map(part).collect();
    parts.ok_or_else(|| CtlError::Usage("--parts has an invalid item".to_owned()))
}

fn unreachable(err: impl std::fmt::Debug) -> CtlError {
    let text = format!("the gateway did not respond: {err:?}");
    CtlError::System(io::Error::other(text))
}
