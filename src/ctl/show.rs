//! `cbctl show`: prints the configuration in force.

use super::Command;
use super::CtlError;
use super::Output;
use super::platform;
use super::stream::Replay;
use crate::border::generated::config::Entry;
use crate::border::generated::config::Object;
use crate::config::kind_of;
use crate::config::name_of;
use async_trait::async_trait;
use pico_args::Arguments;
use serde::Serialize;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

pub(super) struct Show {
    log: SocketAddr,
}

/// The configuration in force.
#[derive(Serialize)]
struct ShowReport {
    version: Option<u64>,
    hash: String,
    objects: Vec<ObjectReport>,
}

#[derive(Serialize)]
struct ObjectReport {
    kind: &'static str,
    name: String,
    version: u64,
    operator: String,
    fields: Value,
}

impl Show {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let log = platform::log_address(args)?;
        Ok(Self { log })
    }
}

#[async_trait]
impl Command for Show {
    async fn run(&self, output: &Output) -> Result<(), CtlError> {
        let replay = Replay::read(platform::log_service(self.log).as_ref()).await?;
        output.print(&ShowReport {
            version: replay.state.version,
            hash: replay.state.hash(),
            objects: replay.state.entries().map(object_report).collect(),
        })
    }
}

fn object_report(entry: &Entry) -> ObjectReport {
    ObjectReport {
        kind: kind_of(&entry.object).as_str(),
        name: name_of(&entry.object).to_owned(),
        version: entry.version,
        operator: entry.operator.clone(),
        fields: fields(&entry.object),
    }
}

/// Returns the fields of an object without its name. The hashes of a team's keys are replaced by their number.
pub(super) fn fields(object: &Object) -> Value {
    let kind = kind_of(object).as_str();
    let mut value = serde_json::to_value(object).unwrap_or_default();
    let mut fields = value[kind].take();
    if let Some(fields) = fields.as_object_mut() {
        fields.remove("name");
        if let Some(hashes) = fields.remove("key_hashes") {
            let keys = hashes.as_array().map_or(0, Vec::len);
            fields.insert("keys".to_owned(), keys.into());
        }
    }
    fields
}

impl fmt::Display for ShowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.version {
            Some(version) => writeln!(f, "version {version}, hash {}", self.hash)?,
            None => writeln!(f, "nothing is in force")?,
        }
        for object in &self.objects {
            writeln!(
                f,
                "{} {} (version {} by {}): {}",
                object.kind, object.name, object.version, object.operator, object.fields
            )?;
        }
        Ok(())
    }
}
