//! `cbctl intent`: creates a plan from an operator's intent, such as draining a backend server. Each intent has its own
//! file.

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

/// An operator's intent, from which a change is created.
#[async_trait]
trait Intent: Send + Sync {
    /// Returns a description of the intent, which becomes the note of the change.
    fn note(&self) -> String;

    /// Returns the objects that the change adds or replaces, in their new form.
    async fn objects_to_put(&self, state: &State, view: &View) -> Result<Vec<Object>, CtlError>;
}

struct IntentCommand {
    log: SocketAddr,
    hosts: SocketAddr,
    operator: String,
    plan: PathBuf,
    intent: Box<dyn Intent>,
}

/// Parses an intent and its arguments.
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
    Ok(Box::new(IntentCommand {
        log,
        hosts,
        operator,
        plan,
        intent,
    }))
}

#[async_trait]
impl Command for IntentCommand {
    async fn run(&self, output: &Output) -> Result<(), CtlError> {
        let replay = Replay::read(platform::log_service(self.log).as_ref()).await?;
        let view = platform::view(self.hosts).await?;
        let draft = ChangeDraft {
            operator: self.operator.clone(),
            note: self.intent.note(),
            put: self.intent.objects_to_put(&replay.state, &view).await?,
            delete: Vec::new(),
        };
        write_plan(draft, &replay, self.hosts, &self.plan, output).await?;
        output.progress(
            "put the same into the declarations, or the next plan from them takes it back",
        );
        Ok(())
    }
}

/// Returns the wanted state of backend server `name`, which is empty if none is configured yet.
fn backend(state: &State, name: &str) -> Backend {
    state.backend(name).cloned().unwrap_or_else(|| Backend {
        name: name.to_owned(),
        drain: false,
        role: None,
        models: Vec::new(),
        adapters: Vec::new(),
    })
}

/// Creates the error for an intent whose object `name` does not exist.
fn unknown(kind: &str, name: &str) -> CtlError {
    CtlError::Impossible(format!("there is no {kind} {name}"))
}

/// Checks that the host list has an engine named `name`.
fn check_engine(view: &View, name: &str) -> Result<(), CtlError> {
    let mut backends = view.backends().iter();
    if backends.any(|backend| backend.is_engine && backend.name == name) {
        Ok(())
    } else {
        Err(unknown("engine", name))
    }
}
