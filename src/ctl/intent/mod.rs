//! `cbctl intent`: plans from an intent in words, one file for each.

mod drain;
mod load_adapter;
mod move_team;
mod set_role;

use super::Command;
use super::CtlError;
use super::Output;
use super::args::usage_error;
use super::plan::write_plan;
use super::plan_file::ChangeDraft;
use super::platform;
use super::stream::Replay;
use crate::border::generated::config::Backend;
use crate::border::generated::config::Object;
use crate::config::State;
use crate::membership::View;
use async_trait::async_trait;
use pico_args::Arguments;
use std::net::SocketAddr;
use std::path::PathBuf;

/// One kind of intent: what it wants changed.
#[async_trait]
trait Intent: Send + Sync {
    /// Words the intent.
    fn note(&self) -> String;

    /// Gives the objects as the intent wants them.
    async fn objects_to_put(&self, state: &State, view: &View) -> Result<Vec<Object>, CtlError>;
}

struct Intended {
    log: SocketAddr,
    hosts: SocketAddr,
    operator: String,
    plan: PathBuf,
    intent: Box<dyn Intent>,
}

/// Reads an intent with its arguments.
pub(super) fn parse(args: &mut Arguments) -> Result<Box<dyn Command>, CtlError> {
    let log = platform::log_address(args)?;
    let hosts = platform::hosts_address(args)?;
    let operator = args.value_from_str("--operator").map_err(usage_error)?;
    let plan = args.value_from_str("--plan").map_err(usage_error)?;
    let name = args.subcommand().map_err(usage_error)?;
    let intent: Box<dyn Intent> = match name.as_deref() {
        Some("drain") => Box::new(drain::Drain::parse(args)?),
        Some("move-team") => Box::new(move_team::MoveTeam::parse(args)?),
        Some("load-adapter") => Box::new(load_adapter::LoadAdapter::parse(args)?),
        Some("set-role") => Box::new(set_role::SetRole::parse(args)?),
        _ => return Err(CtlError::Usage("unknown intent".to_owned())),
    };
    Ok(Box::new(Intended {
        log,
        hosts,
        operator,
        plan,
        intent,
    }))
}

#[async_trait]
impl Command for Intended {
    async fn run(&self, output: &Output) -> Result<(), CtlError> {
        let replay = Replay::read(platform::log_service(self.log).as_ref()).await?;
        let view = platform::view(self.hosts).await?;
        let wanted = ChangeDraft {
            operator: self.operator.clone(),
            note: self.intent.note(),
            put: self.intent.objects_to_put(&replay.state, &view).await?,
            delete: Vec::new(),
        };
        write_plan(wanted, &replay, self.hosts, &self.plan, output).await?;
        output.progress(
            "put the same into the declarations, or the next plan from them takes it back",
        );
        Ok(())
    }
}

/// Gives what is wanted of backend server `name` now.
fn backend(state: &State, name: &str) -> Backend {
    state.backend(name).cloned().unwrap_or_else(|| Backend {
        name: name.to_owned(),
        drain: false,
        role: None,
        models: Vec::new(),
        adapters: Vec::new(),
    })
}

/// Tells that something the intent names does not exist.
fn unknown(what: &str, name: &str) -> CtlError {
    CtlError::Impossible(format!("there is no {what} {name}"))
}

/// Checks that the host list has an engine `name`.
fn check_engine(view: &View, name: &str) -> Result<(), CtlError> {
    let mut backends = view.backends().iter();
    if backends.any(|backend| backend.is_engine && backend.name == name) {
        Ok(())
    } else {
        Err(unknown("engine", name))
    }
}
