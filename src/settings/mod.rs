//! Settings of a node, read from one INI file and checked before anything starts.
//!
//! Each slice reads a section of its own; the reference is `docs/SETTINGS.md`. All problems are collected, so that an
//! operator mends a file in one go.

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

/// Everything that a node learns from its settings file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node itself: its name, place, addresses and key.
    pub node: NodeSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// How callers are served.
    pub entry: entry::Settings,
    /// How backend servers are chosen.
    pub routing: routing::Settings,
    /// How owned backend servers are kept within their bound.
    pub owner: owner::Settings,
    /// How non-idempotent work is claimed.
    pub claims: claims::Settings,
    /// How nodes learn of each other.
    pub membership: membership::Settings,
    /// How configuration is followed.
    pub config: config::Settings,
    /// How engines are brought into their wanted state.
    pub reconcile: reconcile::Settings,
    /// What is written to the time line.
    pub timeline: timeline::Settings,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Names every problem of the file, or why it can't be read.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load_file(path, Self::parse)
    }

    /// Checks settings given as text.
    ///
    /// # Errors
    ///
    /// Names every problem of the text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        read_sections(text, Self::read)
    }

    /// Lists every section and key that a file may hold, sorted, so that the reference can be checked against it.
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

/// Reads the sections of an INI text with `read` and collects every problem on the way.
///
/// # Errors
///
/// Names every problem of the text.
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

/// Lists every section and key that `read` asks for, sorted.
pub(crate) fn known_keys(read: impl FnOnce(&mut Reader<'_>)) -> Vec<(String, String)> {
    let ini = Ini::new();
    let mut reader = Reader::new("", &ini);
    read(&mut reader);
    reader.known_keys()
}

/// Reads the settings file at `path` with `parse`.
///
/// # Errors
///
/// Tells why the file can't be read, or names every problem of its text.
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
