//! The command `cb-bench day`.

use pico_args::Arguments;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use super::day_file::Day;
use super::fleet::Programs;
use super::judge;
use super::judge::Verdict;
use super::play;
use super::play::Play;
use super::play::Played;
use super::record::AnswerEnd;
use super::record::DayRecord;
use super::report::PlayedDay;
use super::report::figures;
use super::report::figures::Figures;
use super::report::page;
use super::report::resumed::resumed;
use super::sheet::Sheet;
use super::sheet::SheetError;

/// Length of a drawn day in seconds.
const DRAWN_LENGTH: f64 = 60.0;

/// Why no day was played.
#[derive(Debug)]
pub enum DayError {
    /// An argument is missing or has an invalid value.
    Usage(String),
    /// The sheet or day can't be used.
    Sheet(SheetError),
    /// A process can't be started, or what it leaves can't be read.
    Play(io::Error),
}

impl fmt::Display for DayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(problem) => f.write_str(problem),
            Self::Sheet(err) => err.fmt(f),
            Self::Play(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for DayError {}

impl From<pico_args::Error> for DayError {
    fn from(err: pico_args::Error) -> Self {
        Self::Usage(err.to_string())
    }
}

impl From<SheetError> for DayError {
    fn from(err: SheetError) -> Self {
        Self::Sheet(err)
    }
}

/// Reads what is to be played from arguments: a sheet, and a day file or `--drawn`. Programs are looked for in `programs` unless an
/// argument names another gateway. The day `quiet` has no troubles.
///
/// # Errors
///
/// Returns an error if an argument isn't understood, or if the sheet or the day can't be used.
pub fn parse(mut args: Arguments, programs: &Path) -> Result<Play, DayError> {
    let seed: Option<u64> = args.opt_value_from_str("--seed")?;
    let seconds: Option<f64> = args.opt_value_from_str("--seconds")?;
    let gateway: Option<PathBuf> = args.opt_value_from_str("--gateway")?;
    let out: Option<PathBuf> = args.opt_value_from_str("--out")?;
    let kinds: Option<String> = args.opt_value_from_str("--kinds")?;
    let is_drawn = args.contains("--drawn");
    let sheet: PathBuf = args.free_from_str()?;
    let mut sheet = Sheet::read(&sheet)?;
    let kinds: Vec<String> = match kinds {
        Some(kinds) => kinds.split(',').map(str::to_owned).collect(),
        None => Vec::new(),
    };
    let mut day = if is_drawn {
        let mut rng = StdRng::seed_from_u64(seed.unwrap_or(1));
        Day::draw(&sheet, &kinds, seconds.unwrap_or(DRAWN_LENGTH), &mut rng)
    } else {
        let day: PathBuf = args.free_from_str()?;
        match day.to_str() {
            Some("quiet") => Day::quiet(seconds.unwrap_or(DRAWN_LENGTH)),
            _ => Day::read(&day, &sheet)?,
        }
    };
    if let Some(left) = args.finish().first() {
        let problem = format!("\"{}\" is not understood", left.to_string_lossy());
        return Err(DayError::Usage(problem));
    }
    day.length_s = seconds.unwrap_or(day.length_s);
    day.change_routes(&mut sheet);
    let seed = seed.unwrap_or(day.seed.max(1));
    let mut programs = Programs::in_folder(programs);
    if let Some(gateway) = gateway {
        programs.gateway = gateway;
    }
    let folder = format!("{}-{}-{seed}", sheet.name, day.name);
    let folder = out
        .unwrap_or_else(|| PathBuf::from("bench-out"))
        .join(folder);
    Ok(Play {
        sheet,
        day,
        seed,
        programs,
        folder,
    })
}

/// Plays a day and prints what happened; returns whether no rule was broken.
///
/// # Errors
///
/// Returns an error if the day can't be played.
pub async fn run(mut args: Play) -> Result<bool, DayError> {
    let folder = args.folder.clone();
    match std::fs::remove_dir_all(&folder) {
        Err(err) if err.kind() != io::ErrorKind::NotFound => return Err(DayError::Play(err)),
        _ => {}
    }
    // The processes run in other folders than this one.
    std::fs::create_dir_all(&folder).map_err(DayError::Play)?;
    args.folder = folder.canonicalize().map_err(DayError::Play)?;
    let begun = Instant::now();
    let print = |line: &str| eprintln!("{line}");
    let played = play::play(args, &print).await.map_err(DayError::Play)?;
    let verdict = judge::judge(&played.record);
    report(&played, &verdict, begun.elapsed());
    let names = &played.record.gateways;
    let logs = names.iter().map(|name| format!("gateways/{name}.log"));
    let logs: Vec<String> = logs.collect();
    let page = page(&[PlayedDay {
        record: &played.record,
        verdict: &verdict,
        logs: &logs,
    }]);
    let path = folder.join("report.html");
    std::fs::write(&path, page).map_err(DayError::Play)?;
    println!("{}", path.display());
    let requests = figures::requests(&played.record);
    let figures = Figures::of(&played.record, &verdict, &requests);
    let line = figures.to_line().map_err(io::Error::other);
    println!("{}", line.map_err(DayError::Play)?);
    Ok(verdict.findings.is_empty() && played.unexpected_ends.is_empty())
}

fn report(played: &Played, verdict: &Verdict, took: Duration) {
    let record = &played.record;
    for trouble in &record.troubles {
        let since = |at: Instant| at.saturating_duration_since(record.started).as_secs_f64();
        let end = trouble
            .end
            .map_or("the end".to_owned(), |at| format!("{:.1}", since(at)));
        let start = since(trouble.start);
        println!(
            "trouble {start:.1} to {end}: {} {}",
            trouble.kind, trouble.detail
        );
    }
    for what in &played.not_played {
        println!("not played: {what}");
    }
    for (at, what) in &played.unexpected_ends {
        println!("unexpected at {at:.1}: {what}");
    }
    for finding in &verdict.findings {
        println!("{}", finding.text(record.started));
    }
    print_routes(record);
    for resumed in resumed(record) {
        println!("{resumed}");
    }
    println!(
        "timers of the player at most {} ms late",
        played.latest_timer.as_millis()
    );
    let count = |wanted: &dyn Fn(u16, AnswerEnd) -> bool| {
        let attempts = record.attempts.iter();
        attempts.filter(|it| wanted(it.status, it.end)).count()
    };
    println!(
        "{} attempts, {} served, {} refused, {} failed; {} runs of {} servers; {} of {} streams out of order, \
         {} of {} plain answers wrong; {} findings; {:.1} s",
        record.attempts.len(),
        count(&|status, end| status == 200 && end == AnswerEnd::Complete),
        count(&|status, _| matches!(status, 408 | 421 | 429 | 503)),
        count(
            &|status, end| !matches!(status, 200 | 408 | 421 | 429 | 503)
                || (status == 200 && end != AnswerEnd::Complete)
        ),
        record.runs.len(),
        record.servers.len(),
        verdict.streams_out_of_order,
        verdict.begun_streams,
        verdict.plain_answers_wrong,
        verdict.plain_answers,
        verdict.findings.len(),
        took.as_secs_f64(),
    );
}

/// Prints for each route how its attempts ended.
fn print_routes(record: &DayRecord) {
    let mut ends: Vec<((&str, u16, AnswerEnd), usize)> = Vec::new();
    for attempt in &record.attempts {
        let key = (attempt.route.as_str(), attempt.status, attempt.end);
        match ends.iter_mut().find(|(known, _)| *known == key) {
            Some((_, count)) => *count += 1,
            None => ends.push((key, 1)),
        }
    }
    ends.sort_by_key(|((route, status, _), count)| (*route, *status, *count));
    for ((route, status, end), count) in ends {
        println!("{route:<20} status {status:<3} {end:?}: {count}");
    }
}
