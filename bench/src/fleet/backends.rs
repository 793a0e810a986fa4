//! Adds backend servers to a running fleet, marks them as leaving, and removes them.

use std::net::SocketAddr;
use std::time::Instant;

use super::Backend;
use super::EngineChange;
use super::Fleet;
use super::FleetError;
use super::REGION;
use super::any_port;
use super::error::io_error;
use super::error::no_such_host;
use super::lock;
use crate::standin::engine::Engine;
use crate::standin::engine::EngineOptions;
use crate::standin::service::Plain;
use crate::standin::service::PlainOptions;
use crate::wire::platform::Host;
use crate::wire::platform::HostRole;
use crate::wire::platform::HostState;

impl Fleet {
    /// Starts an engine and adds it to the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine or its proxy link cannot be started.
    pub async fn add_engine(&self, options: EngineOptions) -> Result<(), FleetError> {
        let name = options.name.clone();
        let zone = self.options.zone_of(lock(&self.engines).len());
        let checks_fencing = options.checks_fencing;
        let server =
            Engine::start(any_port(), options, self.truth.clone(), self.group.clone()).await;
        let server = server.map_err(io_error(format!("start engine {name}")))?;
        let direct_address = server.address();
        let mut host = self
            .backend_host(
                &name,
                &zone,
                direct_address,
                HostRole::Engine,
                &self.options.model,
            )
            .await?;
        host.checks_fencing = Some(checks_fencing);
        self.hosts.set(host.clone());
        self.record_engine_change(&name, true);
        lock(&self.engines).push(Backend {
            name,
            direct_address,
            host,
            server,
        });
        Ok(())
    }

    pub(super) async fn add_plain(&self, number: u32) -> Result<(), FleetError> {
        let name = format!("{}-{number}", self.options.plain);
        let zone = self.options.zone_of(number as usize);
        let options = PlainOptions {
            name: name.clone(),
            service: self.options.plain.clone(),
            work_ms: self.options.plain_work_ms,
        };
        let server = Plain::start(any_port(), options, self.truth.clone()).await;
        let server = server.map_err(io_error(format!("start plain server {name}")))?;
        let direct_address = server.address();
        let host = self
            .backend_host(
                &name,
                &zone,
                direct_address,
                HostRole::Service,
                &self.options.plain,
            )
            .await?;
        self.hosts.set(host.clone());
        lock(&self.plain).push(Backend {
            name,
            direct_address,
            host,
            server,
        });
        Ok(())
    }

    async fn backend_host(
        &self,
        name: &str,
        zone: &str,
        direct_address: SocketAddr,
        role: HostRole,
        service: &str,
    ) -> Result<Host, FleetError> {
        let link = self
            .proxy
            .link(name, zone, direct_address)
            .await
            .map_err(io_error(format!("open the link to {name}")))?;
        Ok(Host {
            name: name.to_owned(),
            address: link.to_string(),
            data_centre: zone.to_owned(),
            region: REGION.to_owned(),
            role,
            state: HostState::Live,
            service: Some(service.to_owned()),
            checks_fencing: None,
        })
    }

    /// Removes an engine from the host list and closes it immediately, which aborts its open requests.
    ///
    /// # Errors
    ///
    /// Returns an error if no engine has the name.
    pub async fn remove_engine(&self, name: &str) -> Result<(), FleetError> {
        let engine = {
            let mut engines = lock(&self.engines);
            let index = engines.iter().position(|engine| engine.name == name);
            engines.remove(index.ok_or_else(|| no_such_host(name))?)
        };
        self.hosts.remove(name);
        self.record_engine_change(name, false);
        engine.server.close().await;
        Ok(())
    }

    /// Marks an engine or plain server as leaving in the host list and in its own records of the requests it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if no backend server has the name.
    pub fn mark_leaving(&self, name: &str) -> Result<(), FleetError> {
        if let Some(engine) = lock(&self.engines)
            .iter_mut()
            .find(|engine| engine.name == name)
        {
            engine.host.state = HostState::Leaving;
            engine.server.mark_draining();
            self.hosts.set(engine.host.clone());
            self.record_engine_change(name, false);
            return Ok(());
        }
        let mut plain = lock(&self.plain);
        let plain = plain
            .iter_mut()
            .find(|plain| plain.name == name)
            .ok_or_else(|| no_such_host(name))?;
        plain.host.state = HostState::Leaving;
        plain.server.mark_draining();
        self.hosts.set(plain.host.clone());
        Ok(())
    }

    fn record_engine_change(&self, engine: &str, joined: bool) {
        let change = EngineChange {
            at: Instant::now(),
            engine: engine.to_owned(),
            joined,
        };
        lock(&self.engine_changes).push(change);
    }
}
