//! Renders a timeline, with one file for each output format.

mod html;
mod json;
mod text;

pub use html::Html;
pub use json::Json;
pub use text::Text;

use super::merge::Line;
use std::io;
use std::io::Write;

/// An output format of a timeline.
pub trait Render {
    /// Writes `lines`, which are in causal order.
    ///
    /// # Errors
    ///
    /// Returns an error if `out` can't be written.
    fn render(&self, lines: &[Line], out: &mut dyn Write) -> io::Result<()>;
}

/// Returns the fields that are set on a line, with their names.
fn fields(line: &Line) -> Vec<(&'static str, String)> {
    let texts = [
        ("request", &line.request),
        ("attempt", &line.attempt),
        ("chat", &line.chat),
        ("team", &line.team),
        ("service", &line.service),
        ("backend", &line.backend),
        ("peer", &line.peer),
        ("detail", &line.detail),
    ];
    let texts = texts
        .into_iter()
        .filter_map(|(name, value)| Some((name, value.clone()?)));
    let load = line.load.map(|load| ("load", load.to_string()));
    let took = line.took_ms.map(|took| ("took", format!("{took:.3} ms")));
    texts.chain(load).chain(took).collect()
}
