//! Keeps the runs of a server in a file, so that they can be read after its process was killed.
//!
//! Each line is one record, and is written whole by one call of the system before the bytes that it is about are sent. So what a
//! caller read was recorded, whenever the process ends.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use nix::time::ClockId;
use nix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;
use std::fs::File;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use super::replica::Run;
use super::replica::Step;
use super::replica::Written;

/// The process that keeps a log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogOwner {
    /// ID of the process.
    pub process: u32,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Number of the worker, from 0; `None` for a process that isn't a worker.
    pub worker: Option<u32>,
    /// Unix time in milliseconds that it names as that of its start.
    pub born: u64,
}

/// A record as the file holds it.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Record {
    Owner(LogOwner),
    Run {
        run: usize,
        /// Time of the system's monotonic clock.
        at: Duration,
        request_id: String,
        /// Values that aren't text have replacement characters.
        headers: Vec<(String, String)>,
        target: String,
        body: Bytes,
        server: String,
        software_version: String,
        asked_after: u64,
    },
    Head {
        run: usize,
        first_id: u64,
        last_id: u64,
    },
    Event {
        run: usize,
        text: String,
    },
    Ended {
        run: usize,
    },
}

/// The file to which a process appends its runs.
#[derive(Debug)]
pub struct RunLog {
    file: File,
}

impl RunLog {
    /// Creates the file at `path` of the process `owner`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file exists or can't be written.
    pub fn create(path: &Path, owner: LogOwner) -> io::Result<Self> {
        let mut options = File::options();
        let file = options.create_new(true).append(true).open(path)?;
        let log = Self { file };
        log.append(&Record::Owner(owner))?;
        Ok(log)
    }

    /// Records that the run with this number has begun. What it wrote before is left out.
    ///
    /// # Panics
    ///
    /// Panics if the file can't be written, as the server's answers couldn't be judged.
    pub fn begin(&self, number: usize, run: &Run) {
        let headers = run.headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.to_string(), value.into_owned())
        });
        let record = Record::Run {
            run: number,
            at: monotonic_now().saturating_sub(run.at.elapsed()),
            request_id: run.request_id.clone(),
            headers: headers.collect(),
            target: run.target.clone(),
            body: run.body.clone(),
            server: run.server.clone(),
            software_version: run.software_version.clone(),
            asked_after: run.written.asked_after,
        };
        self.append(&record).expect("the log can be written");
    }

    /// Records a step of the run with this number.
    ///
    /// # Panics
    ///
    /// As [`RunLog::begin`].
    pub fn add(&self, number: usize, step: &Step) {
        let run = number;
        let record = match step {
            Step::Head { first_id, last_id } => Record::Head {
                run,
                first_id: *first_id,
                last_id: *last_id,
            },
            Step::Event(text) => Record::Event {
                run,
                text: text.clone(),
            },
            Step::Ended => Record::Ended { run },
        };
        self.append(&record).expect("the log can be written");
    }

    fn append(&self, record: &Record) -> io::Result<()> {
        let mut line = serde_json::to_vec(record)?;
        line.push(b'\n');
        (&self.file).write_all(&line)
    }
}

/// Returns what the log at `path` holds so far: its owner and the runs in order of arrival; `None` if it has no whole line yet. The
/// process may still write to it.
///
/// # Errors
///
/// Returns an error if the file can't be read or has a line that is no record.
pub fn read(path: &Path) -> io::Result<Option<(LogOwner, Vec<Run>)>> {
    let text = std::fs::read(path)?;
    let mut owner = None;
    let mut runs = Vec::new();
    // What follows the last line feed isn't written whole, and its bytes weren't sent.
    let lines = text.split_inclusive(|byte| *byte == b'\n');
    for line in lines.filter(|line| line.ends_with(b"\n")) {
        let (run, step) = match serde_json::from_slice(line)? {
            Record::Owner(it) => {
                owner = Some(it);
                continue;
            }
            Record::Run {
                run: _,
                at,
                request_id,
                headers,
                target,
                body,
                server,
                software_version,
                asked_after,
            } => {
                runs.push(Run {
                    at: instant_of(at),
                    request_id,
                    headers: read_headers(&headers)?,
                    target,
                    body,
                    server,
                    software_version,
                    written: Written {
                        asked_after,
                        ..Written::default()
                    },
                });
                continue;
            }
            Record::Head {
                run,
                first_id,
                last_id,
            } => (run, Step::Head { first_id, last_id }),
            Record::Event { run, text } => (run, Step::Event(text)),
            Record::Ended { run } => (run, Step::Ended),
        };
        let run: Option<&mut Run> = runs.get_mut(run);
        let run = run.ok_or_else(|| invalid("a step of a run that hasn't begun"))?;
        run.written.add(step);
    }
    Ok(owner.map(|owner| (owner, runs)))
}

fn read_headers(headers: &[(String, String)]) -> io::Result<HeaderMap> {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let name: HeaderName = name.parse().map_err(|_| invalid("no header name"))?;
        let value =
            HeaderValue::from_bytes(value.as_bytes()).map_err(|_| invalid("no header value"))?;
        map.append(name, value);
    }
    Ok(map)
}

fn invalid(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}

/// Returns the time of the clock that all processes of the machine share.
fn monotonic_now() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC);
    now.expect("the system has a monotonic clock").into()
}

fn instant_of(at: Duration) -> Instant {
    Instant::now() - monotonic_now().saturating_sub(at)
}
