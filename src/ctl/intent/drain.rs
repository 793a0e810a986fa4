//! `cbctl intent drain`: stops new work for a backend server, or resumes it with `--undo`.

use super::Intent;
use super::backend;
use super::unknown;
use crate::border::generated::config::Object;
use crate::config::State;
use crate::ctl::CtlError;
use crate::ctl::args::usage_error;
use crate::membership::View;
use async_trait::async_trait;
use pico_args::Arguments;

pub(super) struct Drain {
    backend: String,
    undo: bool,
}

impl Drain {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        Ok(Self {
            undo: args.contains("--undo"),
            backend: args.free_from_str().map_err(usage_error)?,
        })
    }
}

#[async_trait]
impl Intent for Drain {
    fn note(&self) -> String {
        let verb = if self.undo { "stop draining" } else { "drain" };
        format!("{verb} {}", self.backend)
    }

    async fn objects_to_put(&self, state: &State, view: &View) -> Result<Vec<Object>, CtlError> {
        let mut backends = view.backends().iter();
        if !backends.any(|backend| backend.name == self.backend) {
            return Err(unknown("backend server", &self.backend));
        }
        let mut backend = backend(state, &self.backend);
        if backend.drain != self.undo {
            let text = format!(
                "the drain setting of {} is already as requested",
                self.backend
            );
            return Err(CtlError::Impossible(text));
        }
        backend.drain = !self.undo;
        Ok(vec![Object::Backend { backend }])
    }
}
