//! Renders one line of text per event.

use super::Render;
use super::fields;
use crate::timeline::merge::Line;
use std::io;
use std::io::Write;

/// Human-readable text: time, time since the first line, node, event and its fields.
#[derive(Clone, Copy, Debug)]
pub struct Text;

impl Render for Text {
    fn render(&self, lines: &[Line], out: &mut dyn Write) -> io::Result<()> {
        let Some(first) = lines.first() else {
            return Ok(());
        };
        for line in lines {
            let since = line.duration_since(first).as_secs_f64() * 1_000.0;
            write!(
                out,
                "{} +{since:.3} ms {:12} {:18}",
                line.rfc3339_time(),
                line.node,
                line.event
            )?;
            for (name, value) in fields(line) {
                write!(out, " {name}={value}")?;
            }
            writeln!(out)?;
        }
        Ok(())
    }
}
