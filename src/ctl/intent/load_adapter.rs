//! `cbctl intent load-adapter`: loads an adapter on some engines.

use super::Intent;
use super::backend;
use super::check_engine;
use super::unknown;
use crate::border::Backends;
use crate::border::HttpBackends;
use crate::border::generated::backend::EngineState;
use crate::border::generated::config::AdapterRef;
use crate::border::generated::config::Backend;
use crate::border::generated::config::Object;
use crate::config::State;
use crate::ctl::CtlError;
use crate::ctl::args::comma_separated;
use crate::ctl::args::usage_error;
use crate::declarations::parse_adapter_ref;
use crate::membership::View;
use crate::operations::Metrics;
use async_trait::async_trait;
use pico_args::Arguments;
use std::sync::Arc;

pub(super) struct LoadAdapter {
    adapter: AdapterRef,
    engines: Vec<String>,
}

impl LoadAdapter {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let engines = comma_separated(args, "--engines")?;
        let text: String = args.free_from_str().map_err(usage_error)?;
        let adapter = parse_adapter_ref(&text);
        Ok(Self {
            adapter: adapter.ok_or_else(|| CtlError::Usage("expected MODEL/ADAPTER".to_owned()))?,
            engines,
        })
    }

    fn add_to(&self, wanted: &mut Backend) {
        if !wanted.models.contains(&self.adapter.model) {
            wanted.models.push(self.adapter.model.clone());
        }
        let mut adapters = wanted.adapters.iter();
        if !adapters.any(|a| a.model == self.adapter.model && a.adapter == self.adapter.adapter) {
            wanted.adapters.push(self.adapter.clone());
        }
    }
}

#[async_trait]
impl Intent for LoadAdapter {
    fn note(&self) -> String {
        let AdapterRef { model, adapter } = &self.adapter;
        format!(
            "load adapter {model}/{adapter} on {}",
            self.engines.join(", ")
        )
    }

    async fn objects_to_put(&self, state: &State, view: &View) -> Result<Vec<Object>, CtlError> {
        let AdapterRef { model, adapter } = &self.adapter;
        let declared = state.model(model).ok_or_else(|| unknown("model", model))?;
        if !declared.adapters.contains(adapter) {
            return Err(unknown("adapter", &format!("{model}/{adapter}")));
        }
        let servers = HttpBackends::new(None, Arc::new(Metrics::new()));
        let mut put = Vec::new();
        for name in &self.engines {
            check_engine(view, name)?;
            let mut wanted = backend(state, name);
            if wanted.models.is_empty() {
                // The configuration lists no models for this engine yet. The plan also lists those that it holds now,
                // so that they stay loaded.
                let host = view.backends().iter().find(|backend| &backend.name == name);
                let address = host.map(|host| host.address);
                let address = address.ok_or_else(|| unknown("engine", name))?;
                let reported = servers.engine(address).state().await;
                let reported = reported.map_err(|err| {
                    CtlError::Impossible(format!("engine {name} does not respond: {err:?}"))
                })?;
                add_loaded_models(&mut wanted, &reported);
            }
            self.add_to(&mut wanted);
            put.push(Object::Backend { backend: wanted });
        }
        Ok(put)
    }
}

fn add_loaded_models(wanted: &mut Backend, reported: &EngineState) {
    for loaded in &reported.models {
        wanted.models.push(loaded.model.clone());
        let adapters = loaded.adapters.iter().map(|adapter| AdapterRef {
            model: loaded.model.clone(),
            adapter: adapter.clone(),
        });
        wanted.adapters.extend(adapters);
    }
}
