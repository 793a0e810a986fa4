//! `cbctl intent set-role`: changes the role of an engine.

use super::Intent;
use super::backend;
use super::check_engine;
use crate::border::generated::backend::EngineRole;
use crate::border::generated::config::Object;
use crate::config::State;
use crate::ctl::CtlError;
use crate::ctl::args::usage_error;
use crate::membership::View;
use async_trait::async_trait;
use pico_args::Arguments;

pub(super) struct SetRole {
    engine: String,
    role: EngineRole,
}

impl SetRole {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let engine = args.free_from_str().map_err(usage_error)?;
        let role: String = args.free_from_str().map_err(usage_error)?;
        let invalid_role = || CtlError::Usage("ROLE must be prefill, decode or mixed".to_owned());
        Ok(Self {
            engine,
            role: role.parse().map_err(|_| invalid_role())?,
        })
    }
}

#[async_trait]
impl Intent for SetRole {
    fn note(&self) -> String {
        format!("set the role of {} to {}", self.engine, self.role)
    }

    async fn objects_to_put(&self, state: &State, view: &View) -> Result<Vec<Object>, CtlError> {
        check_engine(view, &self.engine)?;
        let mut backend = backend(state, &self.engine);
        backend.role = Some(self.role.to_string());
        Ok(vec![Object::Backend { backend }])
    }
}
