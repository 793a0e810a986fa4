//! Renders a self-contained HTML page with a diagram: a lane for each process and a row for each event.

use super::Render;
use super::fields;
use crate::timeline::merge::Line;
use std::io;
use std::io::Write;

/// Width of a lane, in pixels.
const LANE_WIDTH_PX: usize = 210;
/// Height of a row, in pixels.
const ROW_HEIGHT_PX: usize = 22;
/// Height of the header with the lanes' names, in pixels.
const HEADER_HEIGHT_PX: usize = 40;
/// Width of the column with the times at the left, in pixels.
const TIME_COLUMN_WIDTH_PX: usize = 110;
/// Event at which an owner passes an attempt on to a backend server.
const HANDED_OVER: &str = "handed_over";
/// Messages between processes: the event of the sending and the event of the receipt.
const MESSAGES: [(&str, &str); 2] = [
    ("attempt_sent", "attempt_received"),
    ("attempt_ended", "attempt_returned"),
];
/// Style sheet of the diagram.
const STYLE: &str = "text{font:12px sans-serif}.lane{stroke:#ccc}.backend{stroke:#ccc;stroke-dasharray:4}\
.message{stroke:#36c}.event{fill:#36c}.bad{fill:#c33}.time{fill:#777}";

/// Self-contained HTML page with a diagram of the timeline.
#[derive(Clone, Copy, Debug)]
pub struct Html;

impl Render for Html {
    fn render(&self, lines: &[Line], out: &mut dyn Write) -> io::Result<()> {
        let diagram = Diagram::new(lines);
        writeln!(
            out,
            "<!doctype html><html><head><meta charset=\"utf-8\"><title>Time line</title><style>{STYLE}</style></head><body>"
        )?;
        writeln!(
            out,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\">",
            diagram.x(diagram.lanes.len()),
            diagram.bottom()
        )?;
        diagram.write_lanes(out)?;
        diagram.write_messages(out)?;
        diagram.write_events(out)?;
        writeln!(out, "</svg></body></html>")
    }
}

struct Diagram<'a> {
    lines: &'a [Line],
    /// Names of the lanes; the processes come first, in the order of their first events.
    lanes: Vec<&'a str>,
    process_count: usize,
}

impl<'a> Diagram<'a> {
    fn new(lines: &'a [Line]) -> Self {
        let mut lanes = Vec::new();
        add_new(&mut lanes, lines.iter().map(|line| line.node.as_str()));
        let process_count = lanes.len();
        let handed_over = lines.iter().filter(|line| line.event == HANDED_OVER);
        add_new(
            &mut lanes,
            handed_over.filter_map(|line| line.backend.as_deref()),
        );
        Self {
            lines,
            lanes,
            process_count,
        }
    }

    fn x(&self, lane: usize) -> usize {
        TIME_COLUMN_WIDTH_PX + lane * LANE_WIDTH_PX
    }

    fn lane(&self, name: &str) -> usize {
        let found = self.lanes.iter().position(|lane| *lane == name);
        found.unwrap_or(0)
    }

    fn y(&self, row: usize) -> usize {
        HEADER_HEIGHT_PX + (row + 1) * ROW_HEIGHT_PX
    }

    fn bottom(&self) -> usize {
        self.y(self.lines.len())
    }

    fn write_lanes(&self, out: &mut dyn Write) -> io::Result<()> {
        for (lane, name) in self.lanes.iter().enumerate() {
            let (x, y) = (self.x(lane), self.bottom());
            let class = if lane < self.process_count {
                "lane"
            } else {
                "backend"
            };
            writeln!(
                out,
                "<line class=\"{class}\" x1=\"{x}\" x2=\"{x}\" y1=\"{HEADER_HEIGHT_PX}\" y2=\"{y}\"/>"
            )?;
            writeln!(out, "<text x=\"{x}\" y=\"20\">{}</text>", escape(name))?;
        }
        Ok(())
    }

    fn write_messages(&self, out: &mut dyn Write) -> io::Result<()> {
        for (row, line) in self.lines.iter().enumerate() {
            if let Some(backend) = line
                .backend
                .as_deref()
                .filter(|_| line.event == HANDED_OVER)
            {
                self.write_arrow(out, (line.node.as_str(), row), (backend, row))?;
            }
            let message = MESSAGES.iter().find(|(_, receipt)| *receipt == line.event);
            let Some((sending, _)) = message else {
                continue;
            };
            let is_sending =
                |other: &&Line| other.event == *sending && other.attempt == line.attempt;
            let sent = self.lines[..row]
                .iter()
                .rposition(|other| is_sending(&other));
            if let Some(sent) = sent {
                let from = (self.lines[sent].node.as_str(), sent);
                self.write_arrow(out, from, (&line.node, row))?;
            }
        }
        Ok(())
    }

    fn write_arrow(
        &self,
        out: &mut dyn Write,
        from: (&str, usize),
        to: (&str, usize),
    ) -> io::Result<()> {
        let (x1, y1) = (self.x(self.lane(from.0)), self.y(from.1));
        let (x2, y2) = (self.x(self.lane(to.0)), self.y(to.1));
        writeln!(
            out,
            "<line class=\"message\" x1=\"{x1}\" y1=\"{y1}\" x2=\"{x2}\" y2=\"{y2}\"/>"
        )
    }

    fn write_events(&self, out: &mut dyn Write) -> io::Result<()> {
        let Some(first) = self.lines.first() else {
            return Ok(());
        };
        for (row, line) in self.lines.iter().enumerate() {
            let (x, y) = (self.x(self.lane(&line.node)), self.y(row));
            let since = line.duration_since(first).as_secs_f64() * 1_000.0;
            let title: Vec<String> = fields(line)
                .into_iter()
                .map(|(name, value)| format!("{name}={value}"))
                .collect();
            let detail = line.detail.as_deref().unwrap_or_default();
            let class = if line.is_failure() { "bad" } else { "event" };
            writeln!(
                out,
                "<text class=\"time\" x=\"4\" y=\"{y}\">+{since:.3} ms</text>"
            )?;
            writeln!(
                out,
                "<g><title>{}</title><circle class=\"{class}\" cx=\"{x}\" cy=\"{y}\" r=\"4\"/>",
                escape(&title.join("\n"))
            )?;
            writeln!(
                out,
                "<text x=\"{}\" y=\"{}\">{} {}</text></g>",
                x + 8,
                y + 4,
                escape(&line.event),
                escape(detail)
            )?;
        }
        Ok(())
    }
}

fn add_new<'a>(lanes: &mut Vec<&'a str>, names: impl Iterator<Item = &'a str>) {
    for name in names {
        if !lanes.contains(&name) {
            lanes.push(name);
        }
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
