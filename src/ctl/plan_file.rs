//! Plan files: a plan is a change that is not confirmed yet, with its predicted effect.

use super::CtlError;
use super::effect::Effect;
use super::stream::Replay;
use crate::border::generated::config::Base;
use crate::border::generated::config::Change;
use crate::border::generated::config::Object;
use crate::border::generated::config::ObjectRef;
use crate::config::ObjectKind;
use crate::config::RefusalReason;
use crate::config::State;
use crate::config::kind_of;
use crate::config::name_of;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::path::Path;
use uuid::Uuid;

/// Version of the plan file's format.
const FORMAT_VERSION: u32 = 1;

/// Content of a change that has no id and no base versions yet.
pub(super) struct ChangeDraft {
    /// Name of the operator who creates the plan.
    pub(super) operator: String,
    /// Description of the change.
    pub(super) note: String,
    /// Objects to add or replace, in their new form.
    pub(super) put: Vec<Object>,
    /// Objects to delete.
    pub(super) delete: Vec<ObjectRef>,
}

/// Content of a plan file. It contains hashes of teams' keys, but no keys.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(super) struct PlanFile {
    #[serde(rename = "form")]
    format_version: u32,
    /// Change that `cbctl confirm` appends to the config stream.
    pub(super) change: Change,
    /// Predicted effect of the change.
    pub(super) effect: Effect,
}

impl ChangeDraft {
    /// Returns the change with a new id. Its base versions are those of its objects in `state`, so a conflicting change
    /// made in the meantime is detected.
    pub(super) fn into_change(self, state: &State) -> Change {
        let version = |kind, name: &str| state.entry(kind, name).map(|entry| entry.version);
        let base = |kind: ObjectKind, name: &str| Base {
            kind: kind.as_str().to_owned(),
            name: name.to_owned(),
            version: version(kind, name),
        };
        let put = self.put.iter().map(|o| base(kind_of(o), name_of(o)));
        let deleted = self.delete.iter().filter_map(|object| {
            let kind = object.kind.parse().ok()?;
            Some(base(kind, &object.name))
        });
        Change {
            id: Uuid::now_v7().to_string(),
            operator: self.operator,
            read: state.version,
            note: self.note,
            bases: put.chain(deleted).collect(),
            put: self.put,
            delete: self.delete,
        }
    }
}

impl PlanFile {
    pub(super) fn new(change: Change, effect: Effect) -> Self {
        Self {
            format_version: FORMAT_VERSION,
            change,
            effect,
        }
    }

    pub(super) fn read(path: &Path) -> Result<Self, CtlError> {
        let error = |cause: String| CtlError::File {
            path: path.display().to_string(),
            cause,
        };
        let text = std::fs::read_to_string(path).map_err(|err| error(err.to_string()))?;
        let plan: Self =
            serde_json::from_str(&text).map_err(|err| error(format!("not a plan file: {err}")))?;
        if plan.format_version != FORMAT_VERSION {
            return Err(error(
                "the plan file was written by another version of this tool".to_owned(),
            ));
        }
        Ok(plan)
    }

    pub(super) fn write(&self, path: &Path) -> Result<(), CtlError> {
        let error = |cause: String| CtlError::File {
            path: path.display().to_string(),
            cause,
        };
        let text = serde_json::to_string_pretty(self).map_err(|err| error(err.to_string()))?;
        std::fs::write(path, text + "\n").map_err(|err| error(err.to_string()))
    }

    /// Checks that no object of the plan was changed since the plan was created.
    ///
    /// A plan that has already been confirmed passes, because appending its change again has no effect.
    pub(super) fn check(&self, replay: &Replay) -> Result<(), CtlError> {
        match replay.state.preview(&self.change) {
            Ok(_) => Ok(()),
            Err(RefusalReason::Duplicate) => Ok(()),
            Err(refused) => Err(CtlError::Refused(format!(
                "the plan has expired: {refused}"
            ))),
        }
    }
}

impl fmt::Display for PlanFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = &self.change;
        writeln!(f, "plan {} of operator {}", change.id, change.operator)?;
        if !change.note.is_empty() {
            writeln!(f, "  {}", change.note)?;
        }
        let base = |object: &Object| {
            let mut bases = change.bases.iter();
            let found = bases
                .find(|base| base.kind == kind_of(object).as_str() && base.name == name_of(object));
            found.and_then(|base| base.version)
        };
        for object in &change.put {
            let (kind, name) = (kind_of(object), name_of(object));
            match base(object) {
                Some(version) => writeln!(f, "  change {kind} {name} (now version {version})")?,
                None => writeln!(f, "  add {kind} {name}")?,
            }
        }
        for object in &change.delete {
            writeln!(f, "  remove {} {}", object.kind, object.name)?;
        }
        self.effect.fmt(f)
    }
}
