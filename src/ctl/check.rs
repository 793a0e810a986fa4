//! `cbctl check`: validates declarations and counts their objects by kind.

use super::Command;
use super::CtlError;
use super::Output;
use super::args::usage_error;
use crate::config::ObjectKind;
use crate::config::kind_of;
use crate::declarations;
use async_trait::async_trait;
use pico_args::Arguments;
use serde::Serialize;
use std::fmt;
use std::path::PathBuf;

pub(super) struct Check {
    folder: PathBuf,
}

/// Result for valid declarations: the number of objects of each kind.
#[derive(Serialize)]
struct CheckReport {
    good: bool,
    objects: Vec<KindCount>,
}

#[derive(Serialize)]
struct KindCount {
    kind: &'static str,
    count: usize,
}

impl Check {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let folder = args.free_from_str().map_err(usage_error)?;
        Ok(Self { folder })
    }
}

#[async_trait]
impl Command for Check {
    async fn run(&self, output: &Output) -> Result<(), CtlError> {
        let objects = declarations::load(&self.folder)?;
        let count = |kind: ObjectKind| KindCount {
            kind: kind.as_str(),
            count: objects.iter().filter(|o| kind_of(o) == kind).count(),
        };
        output.print(&CheckReport {
            good: true,
            objects: ObjectKind::ALL.into_iter().map(count).collect(),
        })
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the declarations are good:")?;
        for (i, count) in self.objects.iter().enumerate() {
            let comma = if i == 0 { "" } else { "," };
            write!(f, "{comma} {} {}", count.count, count.kind)?;
        }
        Ok(())
    }
}
