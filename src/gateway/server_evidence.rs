//! Asks servers at which requests break off, directly and through other gateways, whether they live on.

use super::handler::Gateway;
use super::life_sign::LifeSign;
use super::pool::ConnectError;
use super::server_paths::ServerConnection;
use crate::catalog::BackendServer;
use crate::net::timeout_at;
use crate::quarantine::ServerReach;
use async_trait::async_trait;
use slog::info;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a server must have answered a direct question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which a server must have answered through helpers. Without an answer then, a tunnel counts as one; the quarantine
/// waits somewhat longer.
const HELPER_TIMEOUT: Duration = Duration::from_millis(200);

/// What one gateway can find out about servers for its quarantine, which the gateway owns.
pub(super) struct ServerEvidence(Weak<Gateway>);

impl ServerEvidence {
    pub(super) fn new(gateway: &Arc<Gateway>) -> Self {
        Self(Arc::downgrade(gateway))
    }
}

impl Gateway {
    /// Asks `server` on a new direct connection which process it is, unless its data centre is evacuated.
    pub(super) async fn ask_directly(&self, server: &BackendServer) -> LifeSign {
        if !self.gate.may_ask(server) {
            return LifeSign::Unreachable;
        }
        let until = Instant::now() + QUESTION_TIMEOUT;
        let connecting = self.paths.open_directly(server);
        let sign = match timeout_at(until, connecting).await {
            Ok(Ok(connection)) => {
                let question = self.question(server);
                self.ask_for_life_sign(server, &question, connection, until)
                    .await
            }
            _ => LifeSign::Unreachable,
        };
        if self.paths.record_sign(server, sign) {
            self.loads.record_other_path(server);
        }
        sign
    }

    /// Asks `server`, which did not answer on direct connections, directly and then through other gateways.
    pub(super) async fn ask_anew(&self, server: &BackendServer) {
        if self.ask_directly(server).await == LifeSign::NoAnswer {
            // The result is recorded with the path.
            self.is_reached_by_others(server).await;
        }
    }

    /// Returns whether `server`, which does not answer directly, answers through another gateway.
    async fn is_reached_by_others(&self, server: &BackendServer) -> bool {
        let until = Instant::now() + HELPER_TIMEOUT;
        let ask = |connection| self.ask_through(server, connection, until);
        self.paths.is_reached_by_others(server, &ask).await
    }

    /// Asks `server` through a helper, which may have reached no more than a relay before it.
    async fn ask_through(
        &self,
        server: &BackendServer,
        connection: ServerConnection,
        until: Instant,
    ) -> Result<(), ConnectError> {
        // The open tunnel has to do.
        if !self.gate.may_ask(server) {
            return Ok(());
        }
        let question = self.question(server);
        let asking = self.ask_for_life_sign(server, &question, connection, until);
        let sign = asking.await;
        if sign.is_gone() {
            return Err(ConnectError::Failed(sign.as_str().to_owned()));
        }
        Ok(())
    }
}

#[async_trait]
impl ServerReach for ServerEvidence {
    async fn life_sign(&self, server: &BackendServer) -> LifeSign {
        let Some(gateway) = self.0.upgrade() else {
            return LifeSign::Unreachable;
        };
        let sign = gateway.ask_directly(server).await;
        info!(gateway.logs.log(), "server asked after a break"; "server" => &server.id, "sign" => sign.as_str());
        sign
    }

    async fn is_reached_by_others(&self, server: &BackendServer) -> bool {
        let Some(gateway) = self.0.upgrade() else {
            return false;
        };
        gateway.is_reached_by_others(server).await
    }
}
