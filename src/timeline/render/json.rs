//! Renders one JSON object per line.

use super::Render;
use crate::timeline::merge::Line;
use std::io;
use std::io::Write;

/// JSON lines, for other programs.
#[derive(Clone, Copy, Debug)]
pub struct Json;

impl Render for Json {
    fn render(&self, lines: &[Line], out: &mut dyn Write) -> io::Result<()> {
        for line in lines {
            serde_json::to_writer(&mut *out, line)?;
            writeln!(out)?;
        }
        Ok(())
    }
}
