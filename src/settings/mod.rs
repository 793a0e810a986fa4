//! Settings of a node, read from one INI file and checked before anything starts.
//!
//! Each module reads its own section; the reference is `docs/SETTINGS.md`. All problems are collected and reported
//! together, so that an operator can correct a file in one pass.

mod node;
mod platform;
mod problem;
mod section;
#[cfg(test)]
mod tests;

pub use node::DeploymentKey;
pub use node::NodeSettings;
pub use platform::PlatformSettings;
pub use problem::Problem;
pub use problem::SettingsError;
pub use section::Section;

use crate::claims;
use crate::config;
use crate::entry;
use crate::membership;
use crate::owner;
use crate::reconcile;
use crate::routing;
use crate::timeline;
use ini::Ini;
pub(crate) use section::Reader;
pub(crate) use section::line_of;
use std::path::Path;

/// Settings of a node, with a field for each section of the settings file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, data centre, region, addresses and key of the node.
    pub node: NodeSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Settings for callers' requests.
    pub entry: entry::Settings,
    /// Settings for the choice of backend servers.
    pub routing: routing::Settings,
    /// Settings that keep the load of owned backend servers within its bound.
    pub owner: owner::Settings,
    /// Settings for the claims of non-idempotent work.
    pub claims: claims::Settings,
    /// Settings for how nodes discover each other.
    pub membership: membership::Settings,
    /// Settings for following the configuration.
    pub config: config::Settings,
    /// Settings for bringing engines into their wanted state.
    pub reconcile: reconcile::Settings,
    /// Settings of the log and the timeline.
    pub timeline: timeline::Settings,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file, or why it can't be read.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load_file(path, Self::parse)
    }

    /// Parses and checks settings given as text.
    ///
    /// # Errors
    ///
    /// Returns every problem of the text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        read_sections(text, Self::read)
    }

    /// Returns every section and key that a file may contain, sorted, so that the reference can be checked against it.
    pub fn known_keys() -> Vec<(String, String)> {
        known_keys(|reader| {
            Self::read(reader);
        })
    }

    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            node: reader.section("node", NodeSettings::read),
            platform: reader.section("platform", PlatformSettings::read),
            entry: reader.section("entry", entry::Settings::read),
            routing: reader.section("routing", routing::Settings::read),
            owner: reader.section("owner", owner::Settings::read),
            claims: reader.section("claims", claims::Settings::read),
            membership: reader.section("membership", membership::Settings::read),
            config: reader.section("config", config::Settings::read),
            reconcile: reader.section("reconcile", reconcile::Settings::read),
            timeline: reader.section("timeline", timeline::Settings::read),
        }
    }
}

/// Reads the sections of an INI text with `read` and collects all problems.
///
/// # Errors
///
/// Returns every problem of the text.
pub(crate) fn read_sections<T>(
    text: &str,
    read: impl FnOnce(&mut Reader<'_>) -> T,
) -> Result<T, SettingsError> {
    let ini = Ini::load_from_str(text).map_err(|err| SettingsError::Malformed {
        cause: err.to_string(),
    })?;
    let mut reader = Reader::new(text, &ini);
    let settings = read(&mut reader);
    let problems = reader.finish();
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError::Invalid {
            path: None,
            problems,
        })
    }
}

/// Returns every section and key that `read` accesses, sorted.
pub(crate) fn known_keys(read: impl FnOnce(&mut Reader<'_>)) -> Vec<(String, String)> {
    let ini = Ini::new();
    let mut reader = Reader::new("", &ini);
    read(&mut reader);
    reader.known_keys()
}

/// Reads the settings file at `path` and parses its text with `parse`.
///
/// # Errors
///
/// Returns why the file can't be read, or every problem of its text.
pub(crate) fn load_file<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, SettingsError>,
) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|err| SettingsError::Unreadable {
        path: path.display().to_string(),
        cause: err.to_string(),
    })?;
    parse(&text).map_err(|err| match err {
        SettingsError::Invalid { problems, .. } => SettingsError::Invalid {
            path: Some(path.display().to_string()),
            problems,
        },
        other => other,
    })
}
