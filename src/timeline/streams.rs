//! Checks the streams on the request lines of gateways: whether their events follow each other over all attempts of a caller.
//!
//! What each kind of finding means, and what the logs can't tell, is described in `docs/TIMELINE.md`.

use super::log_line::LogLine;
use super::log_line::REQUEST;
use super::unanswered::LEFT_OUT;
use std::fmt;
use uhlc::NTP64;

/// Message of the first line of a process.
const STARTED: &str = "started";
/// What `ended_by` and `framing` say of an answer that ends with its connection.
const BY_CONNECTION: &str = "connection";
/// What `outcome` says of a complete answer.
const ANSWERED: &str = "answered";
/// Number of request ids that are named for each kind of finding.
const NAMED_IDS: usize = 5;

/// What is wrong with a stream, or worth a look.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// An event between two pieces, or before the first one, is missing.
    Hole,
    /// The last event of a piece is also the first of the next one.
    Repetition,
    /// A piece begins or ends before the one before it, or before its own first event.
    StepBack,
    /// The first event of an attempt is the one that its caller names, or one before it.
    BeforeNamed,
    /// The caller names an event that no attempt before has passed on.
    NamedUnknown,
    /// Events within a piece don't follow each other.
    Gaps,
    /// Events without an id are among some that have one.
    Unnumbered,
    /// Servers of two software versions passed events on.
    TwoVersions,
    /// The answer is complete since its server closed the connection.
    ByConnection,
    /// The answer was broken off, and only the way in which its connection was closed could tell the caller.
    BrokenByConnection,
    /// The configuration is of a lower version than that of a request that had ended before this one began.
    FallingConfig,
}

/// The requests of one kind of finding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// What was found.
    pub kind: Kind,
    /// Number of request lines.
    pub count: u32,
    /// Ids of the first requests.
    pub ids: Vec<String>,
}

/// Streams of all gateways and what was found in them.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    /// Streams, with all attempts of their callers.
    pub streams: usize,
    /// Lines on requests with events of a stream.
    pub attempts: u32,
    /// Findings, sorted by kind.
    pub findings: Vec<Finding>,
    /// Lines on requests that the gateways left out.
    pub left_out: u64,
}

/// Consecutive events of one server, as a request's line names them.
#[derive(Clone, Copy, Debug)]
struct Piece<'a> {
    server: &'a str,
    /// Ids of the first and the last event; `None` if none has an id.
    ids: Option<(u64, u64)>,
}

impl Kind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Hole => "events missing",
            Self::Repetition => "event repeated",
            Self::StepBack => "events step back",
            Self::BeforeNamed => "events before the one after which the caller resumes",
            Self::NamedUnknown => "resumed after an event that no line has",
            Self::Gaps => "gaps within a piece",
            Self::Unnumbered => "events without id among numbered ones",
            Self::TwoVersions => "two software versions",
            Self::ByConnection => "ended by connection",
            Self::BrokenByConnection => "broken off where the connection ends the answer",
            Self::FallingConfig => "configuration falls",
        }
    }
}

impl Streams {
    /// Checks the streams on `log_lines`, the lines of all gateways.
    pub fn check(log_lines: &[LogLine]) -> Self {
        let mut lines: Vec<&LogLine> = log_lines.iter().collect();
        lines.sort_by_key(|line| line.time);
        let mut streams = Self::default();
        let mut attempts: Vec<(&str, &LogLine)> = Vec::new();
        for line in &lines {
            if line.message == LEFT_OUT {
                streams.left_out += line.number("count").unwrap_or(0);
            } else if line.message == REQUEST && has_events(line) {
                attempts.push((stream_id(line), line));
            }
        }
        streams.attempts = attempts.len() as u32;
        // The sort is stable, so the attempts of a stream stay in order.
        attempts.sort_by_key(|(stream, _)| *stream);
        for stream in attempts.chunk_by(|a, b| a.0 == b.0) {
            streams.streams += 1;
            streams.check_stream(stream);
        }
        lines.sort_by(|a, b| a.node.cmp(&b.node));
        for node in lines.chunk_by(|a, b| a.node == b.node) {
            for process in node.split(|line| line.message == STARTED) {
                streams.check_config(process);
            }
        }
        streams
    }

    /// Returns whether any stream is out of order, or of two versions, or a configuration falls.
    pub fn has_faults(&self) -> bool {
        let mut kinds = self.findings.iter().map(|finding| finding.kind);
        kinds.any(|kind| {
            !matches!(
                kind,
                Kind::NamedUnknown | Kind::ByConnection | Kind::BrokenByConnection
            )
        })
    }

    fn add(&mut self, kind: Kind, line: &LogLine) {
        let index = self.findings.binary_search_by_key(&kind, |row| row.kind);
        let index = index.unwrap_or_else(|index| {
            let row = Finding {
                kind,
                count: 0,
                ids: Vec::new(),
            };
            self.findings.insert(index, row);
            index
        });
        let finding = &mut self.findings[index];
        finding.count += 1;
        if finding.ids.len() < NAMED_IDS {
            let id = line.text(REQUEST).unwrap_or_default();
            finding.ids.push(id.to_owned());
        }
    }

    /// Checks the attempts of one caller's stream, in order.
    fn check_stream(&mut self, attempts: &[(&str, &LogLine)]) {
        let mut highest = None;
        let mut version = "";
        for (_, line) in attempts {
            let after = line.number("after");
            if after.is_some() && highest.is_some() && after > highest {
                self.add(Kind::NamedUnknown, line);
            }
            let pieces: Vec<Piece<'_>> = pieces(line).collect();
            for kind in seams(line, &pieces) {
                self.add(kind, line);
            }
            let is_numbered = pieces.iter().any(|piece| piece.ids.is_some());
            if line.number("gaps").unwrap_or(0) > 0 {
                self.add(Kind::Gaps, line);
            }
            if is_numbered && line.number("unnumbered").unwrap_or(0) > 0 {
                self.add(Kind::Unnumbered, line);
            }
            if line.text("ended_by") == Some(BY_CONNECTION) {
                self.add(Kind::ByConnection, line);
            }
            if line.text("framing") == Some(BY_CONNECTION) && line.text("outcome") != Some(ANSWERED)
            {
                self.add(Kind::BrokenByConnection, line);
            }
            let versions = pieces.iter().map(|piece| version_of(line, piece.server));
            for other in versions.filter(|other| !other.is_empty()) {
                if !version.is_empty() && version != other {
                    self.add(Kind::TwoVersions, line);
                }
                version = other;
            }
            highest = highest.max(line.number("last_event"));
        }
    }

    /// Checks the versions of the configuration in the lines of one process, in order.
    fn check_config(&mut self, lines: &[&LogLine]) {
        let configs = lines.iter().filter(|line| line.message == REQUEST);
        let configs = configs.filter_map(|line| {
            let version = line.number("config").filter(|version| *version > 0)?;
            Some((line, version))
        });
        // The highest version so far, by the time at which its request ended.
        let mut highest: Vec<(NTP64, u64)> = Vec::new();
        for (line, version) in configs {
            let began = line.start_time();
            let ended_before = highest.partition_point(|(ended, _)| *ended < began);
            if ended_before > 0 && highest[ended_before - 1].1 > version {
                self.add(Kind::FallingConfig, line);
            }
            if highest.last().is_none_or(|(_, high)| version > *high) {
                highest.push((line.time, version));
            }
        }
    }
}

impl fmt::Display for Streams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:>8}  streams", self.streams)?;
        writeln!(f, "{:>8}  attempts with events", self.attempts)?;
        for Finding { kind, count, ids } in &self.findings {
            writeln!(f, "{count:>8}  {}: {}", kind.as_str(), ids.join(", "))?;
        }
        let answer = if self.has_faults() { "yes" } else { "no" };
        writeln!(f, "out of order: {answer}")?;
        if self.left_out > 0 {
            writeln!(f, "request lines left out: {}", self.left_out)?;
        }
        Ok(())
    }
}

fn has_events(line: &LogLine) -> bool {
    line.text("pieces").is_some_and(|pieces| !pieces.is_empty())
}

/// Returns the id of the attempt that began the stream.
fn stream_id(line: &LogLine) -> &str {
    let first_attempt = line.text("first_attempt").filter(|id| !id.is_empty());
    first_attempt.or(line.text(REQUEST)).unwrap_or_default()
}

fn pieces(line: &LogLine) -> impl Iterator<Item = Piece<'_>> {
    let pieces = line.text("pieces").unwrap_or_default().split(',');
    pieces.map(|piece| {
        let (server, ids) = piece.rsplit_once(':').unwrap_or((piece, ""));
        let ids = ids.split_once('-');
        let ids = ids.and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
        Piece { server, ids }
    })
}

/// Returns the software version of `server` as the line names it; empty text where it does not.
fn version_of<'a>(line: &'a LogLine, server: &str) -> &'a str {
    let servers = line.text("servers").unwrap_or_default().split(',');
    let versions = line.text("versions").unwrap_or_default().split(',');
    let mut of_server = servers.zip(versions).filter(|(name, _)| *name == server);
    of_server.next().map_or("", |(_, version)| version)
}

/// Returns what is wrong where the pieces of an attempt meet, and with its beginning.
fn seams(line: &LogLine, pieces: &[Piece<'_>]) -> Vec<Kind> {
    let mut found = Vec::new();
    let after = line.number("after");
    let mut last = after;
    for (index, (first, end)) in pieces.iter().filter_map(|piece| piece.ids).enumerate() {
        match last {
            Some(last) if first > last.saturating_add(1) => found.push(Kind::Hole),
            Some(last) if first <= last && index == 0 => found.push(Kind::BeforeNamed),
            Some(last) if first == last => found.push(Kind::Repetition),
            Some(last) if first < last => found.push(Kind::StepBack),
            // A stream's events are numbered from 1.
            None if first > 1 => found.push(Kind::Hole),
            _ => {}
        }
        if end < first {
            found.push(Kind::StepBack);
        }
        last = Some(end);
    }
    found.dedup();
    found
}
