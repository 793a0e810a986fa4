//! `cbctl keygen`: creates an operator's key.

use super::Command;
use super::CtlError;
use super::Output;
use super::args::usage_error;
use crate::config::OperatorKey;
use async_trait::async_trait;
use pico_args::Arguments;
use serde::Serialize;
use std::fmt;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;

/// Access mode of the key file: only its owner may read and write it.
const KEY_FILE_MODE: u32 = 0o600;

pub(super) struct Keygen {
    path: PathBuf,
}

#[derive(Serialize)]
struct KeygenReport {
    public_key: String,
}

impl Keygen {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let path = args.free_from_str().map_err(usage_error)?;
        Ok(Self { path })
    }
}

#[async_trait]
impl Command for Keygen {
    async fn run(&self, output: &Output) -> Result<(), CtlError> {
        let key = OperatorKey::from_seed(rand::random());
        // Fails if the file exists, so an existing key is never overwritten.
        let file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .mode(KEY_FILE_MODE)
            .open(&self.path);
        let written = file.and_then(|mut file| writeln!(file, "{}", key.secret()));
        written.map_err(|err| CtlError::File {
            path: self.path.display().to_string(),
            cause: err.to_string(),
        })?;
        output.print(&KeygenReport {
            public_key: key.public(),
        })
    }
}

impl fmt::Display for KeygenReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "public_key = {}", self.public_key)
    }
}
