//! A plan: a change that is not confirmed yet, with what it would do.

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

/// Version of the file's form.
const FORM: u32 = 1;

/// What a plan is made from.
pub(super) struct Wanted {
    /// Who plans.
    pub(super) operator: String,
    /// The intent in words.
    pub(super) note: String,
    /// Objects as they are to be.
    pub(super) put: Vec<Object>,
    /// Objects that are to go.
    pub(super) delete: Vec<ObjectRef>,
}

/// A plan as it stands in its file. It holds hashes of teams' keys, but no key.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(super) struct PlanFile {
    form: u32,
    /// The change that confirming it appends.
    pub(super) change: Change,
    /// What it would do.
    pub(super) effect: Effect,
}

impl Wanted {
    /// Makes the change against what is in force.
    pub(super) fn change(self, state: &State) -> Change {
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
            form: FORM,
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
            serde_json::from_str(&text).map_err(|err| error(format!("not a plan: {err}")))?;
        if plan.form != FORM {
            return Err(error("a plan of another version of this tool".to_owned()));
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

    /// Checks that nothing that the plan touches was changed since it was made.
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
