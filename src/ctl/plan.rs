//! `cbctl plan`: creates a plan from declarations.

use super::Command;
use super::CtlError;
use super::Output;
use super::args::usage_error;
use super::effect::predict_effect;
use super::plan_file::ChangeDraft;
use super::plan_file::PlanFile;
use super::platform;
use super::stream::Replay;
use crate::border::generated::config::Entry;
use crate::border::generated::config::Object;
use crate::border::generated::config::ObjectRef;
use crate::config::State;
use crate::config::kind_of;
use crate::config::name_of;
use crate::declarations;
use async_trait::async_trait;
use pico_args::Arguments;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

pub(super) struct Plan {
    log: SocketAddr,
    hosts: SocketAddr,
    operator: String,
    folder: PathBuf,
    plan: PathBuf,
}

impl Plan {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        Ok(Self {
            log: platform::log_address(args)?,
            hosts: platform::hosts_address(args)?,
            operator: args.value_from_str("--operator").map_err(usage_error)?,
            folder: args.free_from_str().map_err(usage_error)?,
            plan: args.free_from_str().map_err(usage_error)?,
        })
    }
}

#[async_trait]
impl Command for Plan {
    async fn run(&self, output: &Output) -> Result<(), CtlError> {
        let declared = declarations::load(&self.folder)?;
        let replay = Replay::read(platform::log_service(self.log).as_ref()).await?;
        let draft = difference(&replay.state, declared, &self.operator);
        write_plan(draft, &replay, self.hosts, &self.plan, output).await
    }
}

/// Returns the smallest change after which exactly the `declared` objects are in force.
pub(super) fn difference(state: &State, declared: Vec<Object>, operator: &str) -> ChangeDraft {
    let is_declared = |entry: &&Entry| {
        let (kind, name) = (kind_of(&entry.object), name_of(&entry.object));
        let mut objects = declared.iter();
        objects.any(|object| kind_of(object) == kind && name_of(object) == name)
    };
    let undeclared = state.entries().filter(|entry| !is_declared(entry));
    let delete = undeclared.map(|entry| ObjectRef {
        kind: kind_of(&entry.object).as_str().to_owned(),
        name: name_of(&entry.object).to_owned(),
    });
    let delete = delete.collect();
    let is_in_force = |object: &Object| {
        let entry = state.entry(kind_of(object), name_of(object));
        let to_json = |object: &Object| serde_json::to_string(object).ok();
        entry.is_some_and(|entry| to_json(&entry.object) == to_json(object))
    };
    let put = declared.into_iter().filter(|object| !is_in_force(object));
    ChangeDraft {
        operator: operator.to_owned(),
        note: "as declared".to_owned(),
        put: put.collect(),
        delete,
    }
}

/// Creates a plan from `draft` with its predicted effect, writes it to `path` and prints it.
pub(super) async fn write_plan(
    draft: ChangeDraft,
    replay: &Replay,
    hosts: SocketAddr,
    path: &Path,
    output: &Output,
) -> Result<(), CtlError> {
    if draft.put.is_empty() && draft.delete.is_empty() {
        return Err(CtlError::Impossible(
            "everything is in force already; no plan was created".to_owned(),
        ));
    }
    let view = platform::view(hosts).await?;
    let change = draft.into_change(&replay.state);
    let after = replay.state.preview(&change);
    let after = after.map_err(|refused| CtlError::Impossible(refused.to_string()))?;
    let effect = predict_effect(&replay.state, &after, &change, &view).await;
    let plan = PlanFile::new(change, effect);
    plan.write(path)?;
    output.print(&plan)?;
    output.progress(&format!(
        "nothing has changed yet; confirm with: cbctl confirm {}",
        path.display()
    ));
    Ok(())
}
