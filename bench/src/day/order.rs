//! Judges the order of callers' answers: takes each piece that a caller read back to the run of a server that wrote it.
//!
//! [`check`] takes what callers read and what servers kept ([`Replica::runs`]). The servers must write a text per run
//! ([`Replica::set_text_per_run`]), so that each event names its run.
//!
//! [`Replica::runs`]: crate::standin::replica::Replica::runs
//! [`Replica::set_text_per_run`]: crate::standin::replica::Replica::set_text_per_run

use crate::standin::answer_link::UnframedPart;
use crate::standin::replica::Run;
use bytes::Bytes;
use std::cell::OnceCell;
use std::fmt;
use std::time::Instant;

#[cfg(test)]
mod tests;

/// Kind of an answer, which decides of how many runs it may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// No stream.
    Plain,
    /// A stream that comes from one run.
    Stream,
    /// A stream that may go on with another run, if that was asked to go on after the last event.
    ResumableStream,
}

/// What a caller read of the successful answer to one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// ID of the request.
    pub id: &'a str,
    /// ID of the request that began the stream, the same for all attempts of a stream.
    pub first_attempt: &'a str,
    /// Kind of its answer.
    pub kind: AnswerKind,
    /// When it was sent, which orders the attempts of a stream.
    pub sent: Instant,
    /// ID of the event after which the caller asked to go on; `None` if it asked to begin.
    pub resume_after: Option<u64>,
    /// Whether the body looked complete.
    pub is_complete: bool,
    /// The bytes of the body that came.
    pub body: &'a [u8],
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// Events before a piece are missing.
    Missing,
    /// A piece repeats events.
    Repeated,
    /// The answer is of several runs, which its kind excludes, or which are joined within an event.
    Joined,
    /// A piece doesn't begin where its run was asked to begin or to go on.
    NotAskedFor,
    /// Pieces of one stream are of servers of different software versions.
    OtherVersion,
    /// A piece was written for another request.
    OtherRequest,
    /// The answer looked complete, but its run has more.
    CutShort,
    /// No run wrote these bytes.
    Unknown,
}

/// Something wrong with one answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// What is wrong.
    pub fault: Fault,
    /// ID of the request that began the stream.
    pub first_attempt: String,
    /// ID of the request whose answer is wrong.
    pub id: String,
    /// The bytes that it is about and where they come from.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            fault,
            first_attempt,
            id,
            detail,
        } = self;
        write!(f, "{fault:?}: request {id} of {first_attempt}: {detail}")
    }
}

/// What the judge says of callers' answers.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// What is wrong, by stream and then in the order of the bytes.
    pub findings: Vec<Finding>,
    /// IDs of requests whose answers look complete before their end, as their servers' links ended them: nothing on the way tells
    /// such an end from a whole answer. Their callers can't know that, so they are counted.
    pub excused: Vec<String>,
}

/// An event and where it comes from.
#[derive(Clone, Copy)]
struct Origin<'a> {
    bytes: &'a [u8],
    /// Index of its run.
    run: usize,
    /// ID of the event.
    id: u64,
}

/// The runs of all servers, and what reached the gateways of them.
struct Runs<'a> {
    runs: &'a [Run],
    /// Parts of answers that reached a gateway so that they look whole, sorted.
    unframed_parts: Vec<&'a UnframedPart>,
    /// All events of all runs by their bytes, made when one is first looked for.
    origins: OnceCell<Vec<Origin<'a>>>,
    /// Indexes of the runs by request ID.
    by_request: Vec<(&'a str, usize)>,
}

impl<'a> Runs<'a> {
    fn new(runs: &'a [Run], unframed_parts: &'a [UnframedPart]) -> Self {
        let mut unframed_parts: Vec<&UnframedPart> = unframed_parts.iter().collect();
        unframed_parts.sort_unstable();
        let numbered = runs.iter().enumerate();
        let mut by_request: Vec<_> = numbered
            .map(|(number, run)| (run.request_id.as_str(), number))
            .collect();
        by_request.sort_unstable();
        Self {
            runs,
            unframed_parts,
            origins: OnceCell::new(),
            by_request,
        }
    }

    fn origins(&self) -> &[Origin<'a>] {
        self.origins.get_or_init(|| {
            let mut origins = Vec::new();
            for (number, run) in self.runs.iter().enumerate() {
                let written = &run.written;
                origins.extend(written.events.iter().zip(written.first_id..).map(
                    |(event, id): (&Bytes, u64)| Origin {
                        bytes: event,
                        run: number,
                        id,
                    },
                ));
            }
            origins.sort_unstable_by_key(|origin| origin.bytes);
            origins
        })
    }

    /// Returns the event with this ID of a run of this request if it has these bytes, as it nearly always does.
    fn find_own(&self, request_id: &str, id: u64, bytes: &[u8]) -> Option<Origin<'a>> {
        let numbers = self.numbers_of_request(request_id);
        numbers.iter().find_map(|(_, number)| {
            let written = &self.runs[*number].written;
            let place = usize::try_from(id.checked_sub(written.first_id)?).ok()?;
            let event = written.events.get(place)?;
            (event == bytes).then_some(Origin {
                bytes: event,
                run: *number,
                id,
            })
        })
    }

    /// Returns the event with these bytes.
    fn find(&self, bytes: &[u8]) -> Option<Origin<'a>> {
        let origins = self.origins();
        let index = origins.binary_search_by_key(&bytes, |it| it.bytes);
        Some(origins[index.ok()?])
    }

    /// Returns an event that begins with these bytes, but has more.
    fn find_longer(&self, part: &[u8]) -> Option<Origin<'a>> {
        let origins = self.origins();
        let index = origins.partition_point(|it| it.bytes <= part);
        let origin = origins.get(index)?;
        origin.bytes.starts_with(part).then_some(*origin)
    }

    /// Returns whether an answer that looks complete ends exactly with a part that a link ended in order while its server lived:
    /// nothing told the gateway that the part is not the whole.
    fn is_passed_on_as_it_came(&self, attempt: &Attempt<'_>) -> bool {
        let parts = &self.unframed_parts;
        let start = parts.partition_point(|part| part.request_id.as_str() < attempt.id);
        let mut parts = parts[start..].iter();
        let mut of_request = parts
            .by_ref()
            .take_while(|part| part.request_id == attempt.id);
        let is_end = |body: &[u8]| match attempt.kind {
            AnswerKind::Plain => body == attempt.body,
            AnswerKind::Stream | AnswerKind::ResumableStream => attempt.body.ends_with(body),
        };
        of_request.any(|part| !part.body.is_empty() && is_end(&part.body))
    }

    /// Returns the runs of a request.
    fn of_request(&self, id: &str) -> impl Iterator<Item = &'a Run> {
        let runs = self.runs;
        let numbers = self.numbers_of_request(id).iter();
        numbers.map(move |(_, number)| &runs[*number])
    }

    fn numbers_of_request(&self, id: &str) -> &[(&'a str, usize)] {
        let start = self.by_request.partition_point(|(known, _)| *known < id);
        let end = self.by_request.partition_point(|(known, _)| *known <= id);
        &self.by_request[start..end]
    }

    /// Returns what is wrong with bytes in a stream that are no event and no part of one: whether they begin like one event of the
    /// request and go on like another, or with its beginning.
    fn fault_of_unknown(&self, request_id: &str, bytes: &[u8]) -> Fault {
        let events = || {
            let of_request = self.of_request(request_id);
            of_request.flat_map(|run| &run.written.events)
        };
        let common = |event: &Bytes| event.iter().zip(bytes).take_while(|(a, b)| a == b).count();
        let longest = events().map(common).max().unwrap_or_default();
        let is_joined_at = |cut: usize| {
            let rest = &bytes[cut..];
            events().any(|event| event.starts_with(rest) || event.ends_with(rest))
        };
        if (1..=longest).rev().any(is_joined_at) {
            Fault::Joined
        } else {
            Fault::Unknown
        }
    }

    /// Returns whether `bytes` begin like one run's body and end like another's.
    fn is_joined(&self, bytes: &[u8]) -> bool {
        let common = |origin: &Origin<'_>| {
            let pairs = origin.bytes.iter().zip(bytes);
            pairs.take_while(|(a, b)| a == b).count()
        };
        let longest = self.origins().iter().map(common).max().unwrap_or_default();
        let rest = &bytes[longest..];
        longest > 0 && self.origins().iter().any(|it| it.bytes.ends_with(rest))
    }
}

/// Judges the answers of `attempts`, successful answers only, given all runs of all servers and the parts of answers that links
/// passed on so that they look whole.
pub fn check(attempts: &[Attempt<'_>], runs: &[Run], unframed_parts: &[UnframedPart]) -> Verdict {
    let runs = Runs::new(runs, unframed_parts);
    let mut attempts = attempts.to_vec();
    attempts.sort_by_key(|attempt| (attempt.first_attempt, attempt.sent));
    let mut verdict = Verdict::default();
    for stream in attempts.chunk_by(|a, b| a.first_attempt == b.first_attempt) {
        let mut begun = Begun::default();
        for attempt in stream {
            match attempt.kind {
                AnswerKind::Plain => check_plain(attempt, &runs, &mut verdict),
                _ => check_stream(attempt, &runs, &mut begun, &mut verdict),
            }
        }
    }
    verdict
}

fn finding(attempt: &Attempt<'_>, fault: Fault, detail: String) -> Finding {
    Finding {
        fault,
        first_attempt: attempt.first_attempt.to_owned(),
        id: attempt.id.to_owned(),
        detail,
    }
}

/// Checks that the answer is the whole body of one run of its request, or a part from its start that looks incomplete.
fn check_plain(attempt: &Attempt<'_>, runs: &Runs<'_>, verdict: &mut Verdict) {
    let body = attempt.body;
    let own = runs.of_request(attempt.id);
    let own: Vec<&Bytes> = own.flat_map(|run| &run.written.events).collect();
    let fault = if own.iter().any(|own| *own == body) {
        None
    } else if runs.find(body).is_some() {
        Some(Fault::OtherRequest)
    } else if own.iter().any(|own| own.starts_with(body)) || body.is_empty() {
        let is_excused = attempt.is_complete && runs.is_passed_on_as_it_came(attempt);
        verdict
            .excused
            .extend(is_excused.then(|| attempt.id.to_owned()));
        (attempt.is_complete && !is_excused).then_some(Fault::CutShort)
    } else if runs.find_longer(body).is_some() {
        Some(Fault::OtherRequest)
    } else if runs.is_joined(body) {
        Some(Fault::Joined)
    } else {
        Some(Fault::Unknown)
    };
    if let Some(fault) = fault {
        let body = String::from_utf8_lossy(body);
        let finding = finding(attempt, fault, format!("{body:?}"));
        verdict.findings.push(finding);
    }
}

/// What earlier attempts of a stream have brought.
#[derive(Default)]
struct Begun<'a> {
    /// Number of runs that the stream is of.
    run_count: usize,
    /// Software version of the server of its first event.
    software_version: Option<&'a str>,
}

/// Checks one attempt of a stream, of which `begun` tells what came before.
fn check_stream<'a>(
    attempt: &Attempt<'_>,
    runs: &Runs<'a>,
    begun: &mut Begun<'a>,
    verdict: &mut Verdict,
) {
    let mut last_id = attempt.resume_after.unwrap_or(0);
    let mut current: Option<usize> = None;
    let Verdict { findings, excused } = verdict;
    let mut report = |fault, detail| findings.push(finding(attempt, fault, detail));
    let (events, rest) = split_events(attempt.body);
    for event in events {
        let text = String::from_utf8_lossy(event);
        let piece = || format!("{text:?} after event {last_id}");
        let own = runs.find_own(attempt.id, last_id + 1, event);
        let Some(origin) = own.or_else(|| runs.find(event)) else {
            report(runs.fault_of_unknown(attempt.id, event), piece());
            continue;
        };
        let all: &'a [Run] = runs.runs;
        let run = &all[origin.run];
        if run.request_id != attempt.id {
            report(Fault::OtherRequest, piece());
        }
        if current != Some(origin.run) {
            current = Some(origin.run);
            begun.run_count += 1;
            let version = run.software_version.as_str();
            let first = *begun.software_version.get_or_insert(version);
            if version != first {
                let server = &run.server;
                let detail = format!("{} of {server}, of {version} after {first}", piece());
                report(Fault::OtherVersion, detail);
            }
            if begun.run_count > 1 && attempt.kind != AnswerKind::ResumableStream {
                report(Fault::Joined, piece());
            }
            let written = &run.written;
            if written.asked_after + 1 != origin.id || written.first_id != origin.id {
                let (asked_after, first_id) = (written.asked_after, written.first_id);
                let asked = format!(
                    "{}, of a run that was asked for events after {asked_after} and began with {first_id}",
                    piece()
                );
                report(Fault::NotAskedFor, asked);
            }
        }
        if origin.id > last_id + 1 {
            report(Fault::Missing, piece());
        } else if origin.id <= last_id {
            report(Fault::Repeated, piece());
        }
        last_id = origin.id;
    }
    check_rest(attempt, rest, last_id, runs, &mut report);
    if attempt.is_complete {
        // Without an event, any run of the request that had nothing to add may have ended the stream.
        let is_at_end = match current {
            Some(number) => last_id == runs.runs[number].written.last_id,
            None => runs
                .of_request(attempt.id)
                .any(|run| run.written.last_id != 0 && run.written.last_id <= last_id),
        };
        let is_cut_short = !is_at_end || !rest.is_empty();
        if is_cut_short && rest.is_empty() && runs.is_passed_on_as_it_came(attempt) {
            excused.push(attempt.id.to_owned());
        } else if is_cut_short {
            let of_request = runs.of_request(attempt.id);
            let ends = of_request.map(|run| format!("{} of {}", run.written.last_id, run.server));
            let ends = ends.collect::<Vec<_>>().join(", ");
            let detail = format!("complete after event {last_id}, its runs end with {ends}");
            report(Fault::CutShort, detail);
        }
    }
}

/// Checks that the part of an event that a stream broke off in is of the event that follows `last_id`.
fn check_rest(
    attempt: &Attempt<'_>,
    rest: &[u8],
    last_id: u64,
    runs: &Runs<'_>,
    report: &mut impl FnMut(Fault, String),
) {
    let is_next = |run: &Run| {
        let mut events = run.written.events.iter().zip(run.written.first_id..);
        events.any(|(event, id)| id == last_id + 1 && event.starts_with(rest))
    };
    if rest.is_empty() || runs.of_request(attempt.id).any(is_next) {
        return;
    }
    let fault = match runs.find_longer(rest) {
        Some(origin) if runs.runs[origin.run].request_id != attempt.id => Fault::OtherRequest,
        Some(origin) if origin.id <= last_id => Fault::Repeated,
        Some(_) => Fault::Missing,
        None => runs.fault_of_unknown(attempt.id, rest),
    };
    let text = String::from_utf8_lossy(rest);
    report(fault, format!("part {text:?} after event {last_id}"));
}

/// Splits the body of a stream into its whole events and the rest.
fn split_events(body: &[u8]) -> (Vec<&[u8]>, &[u8]) {
    let mut events = Vec::new();
    let mut rest = body;
    while let Some(end) = rest.windows(2).position(|bytes| bytes == b"\n\n") {
        let (event, after) = rest.split_at(end + 2);
        events.push(event);
        rest = after;
    }
    (events, rest)
}
