//! Command line program that runs test cases against currantbend and prints the report as one line of JSON.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use currantbend_bench::cases;
use currantbend_bench::cases::RunError;
use currantbend_bench::cases::RunOptions;
use currantbend_bench::day;
use currantbend_bench::day::command::DayError;
use pico_args::Arguments;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
Runs cases against a fleet of real processes on loopback.

Usage:
  cb-bench run CASE[,CASE...] [options]   apply the cases' faults together
  cb-bench quickstart [options]           the case steady, shorter
  cb-bench list                           names of the cases
  cb-bench day SHEET DAY [options]        a whole day of a deployment; DAY is a file, or quiet for no troubles
  cb-bench day SHEET --drawn [options]    a day of troubles drawn from the sheet's list, alone and in pairs

Options:
  --seed S       seed of all choices (1)
  --seconds N    time of the load (20; quickstart 5)
  --nodes N      nodes, shared out over the data centres (4)
  --engines N    engines (8)
  --callers N    callers of chats (11 for each engine)
  --policy NAME  policy of routing (owner)
  --out DIR      folder for the nodes' settings and logs (bench-out)

Options of days:
  --seed S           seed of all choices (that of the day, or 1)
  --seconds N        time of the callers (that of the day, or 60)
  --gateway PROGRAM  program of the gateways (currantbend-gateway beside this program)
  --kinds A,B        kinds of which troubles are drawn (all)
  --out DIR          folder for settings, logs and runs (bench-out)

The last line is a JSON object. Exit status: 0 no promise broken, 1 a promise broken, 2 nothing run.
";

/// Number of callers of chats per engine, chosen so that about eight requests are in flight at each engine.
const CALLERS_PER_ENGINE: u32 = 11;
/// Duration of the load of `quickstart`, in seconds.
const QUICKSTART_SECONDS: u64 = 5;

#[derive(Debug)]
enum BenchError {
    Usage(String),
    Run(RunError),
    Day(DayError),
    Stopped,
}

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BenchError::Usage(problem) => write!(f, "{problem}; see cb-bench --help"),
            BenchError::Run(err) => err.fmt(f),
            BenchError::Day(DayError::Usage(problem)) => {
                write!(f, "{problem}; see cb-bench --help")
            }
            BenchError::Day(err) => err.fmt(f),
            BenchError::Stopped => write!(f, "stopped by a signal before the end"),
        }
    }
}

impl From<pico_args::Error> for BenchError {
    fn from(err: pico_args::Error) -> BenchError {
        BenchError::Usage(err.to_string())
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            eprintln!("cb-bench: {err}");
            ExitCode::from(2)
        }
    }
}

/// Runs the command of the command line and returns whether all promises were kept.
fn run() -> Result<bool, BenchError> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(true);
    }
    match args.subcommand()?.as_deref() {
        Some("list") => list(args),
        Some("quickstart") => run_cases(args, Some("steady")),
        Some("run") => run_cases(args, None),
        Some("day") => run_day(args),
        Some(other) => Err(BenchError::Usage(format!(
            "there is no command \"{other}\""
        ))),
        None => Err(BenchError::Usage(String::from("a command is needed"))),
    }
}

fn list(args: Arguments) -> Result<bool, BenchError> {
    reject_extra_args(args)?;
    for case in cases::all() {
        println!("{:<16} {}", case.name(), case.description());
    }
    Ok(true)
}

/// Runs the cases in `quickstart`, or else the cases that the command line names.
fn run_cases(mut args: Arguments, quickstart: Option<&str>) -> Result<bool, BenchError> {
    let mut options = options(&mut args, quickstart.is_some())?;
    let names = match quickstart {
        Some(names) => names.to_owned(),
        None => args.free_from_str()?,
    };
    reject_extra_args(args)?;
    let picked = cases::pick(&names).map_err(|name| {
        let known: Vec<&str> = cases::all().iter().map(|case| case.name()).collect();
        BenchError::Usage(format!(
            "there is no case \"{name}\" left to pick, only {}",
            known.join(", ")
        ))
    })?;
    options.fleet.case = names.replace(',', "+");
    let runtime = tokio::runtime::Runtime::new();
    let runtime =
        runtime.map_err(|err| BenchError::Usage(format!("cannot start the runtime: {err}")))?;
    let report = runtime.block_on(until_signal(async {
        let running = cases::run(&picked, options, &|line| eprintln!("{line}"));
        running.await.map_err(BenchError::Run)
    }))?;
    println!("{}", report.to_line());
    Ok(report.promises_kept())
}

/// Plays the day that the command line names.
fn run_day(args: Arguments) -> Result<bool, BenchError> {
    let this_program = sibling_program("cb-bench")?;
    let programs = this_program.parent().unwrap_or(&this_program);
    let play = day::command::parse(args, programs).map_err(BenchError::Day)?;
    let runtime = tokio::runtime::Runtime::new();
    let runtime =
        runtime.map_err(|err| BenchError::Usage(format!("cannot start the runtime: {err}")))?;
    runtime.block_on(until_signal(async {
        day::command::run(play).await.map_err(BenchError::Day)
    }))
}

/// Waits until `work` ends or a signal arrives. A signal drops the work, which kills all processes that it started.
async fn until_signal<T>(
    work: impl Future<Output = Result<T, BenchError>>,
) -> Result<T, BenchError> {
    let no_signal = |err| BenchError::Usage(format!("cannot wait for signals: {err}"));
    let mut terminate = signal(SignalKind::terminate()).map_err(no_signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(no_signal)?;
    tokio::select! {
        result = work => result,
        _ = terminate.recv() => Err(BenchError::Stopped),
        _ = interrupt.recv() => Err(BenchError::Stopped),
    }
}

fn options(args: &mut Arguments, quickstart: bool) -> Result<RunOptions, BenchError> {
    let mut options = RunOptions::default();
    if quickstart {
        options.load_for = Duration::from_secs(QUICKSTART_SECONDS);
    }
    if let Some(seconds) = args.opt_value_from_str("--seconds")? {
        options.load_for = Duration::from_secs(seconds);
    }
    let fleet = &mut options.fleet;
    fleet.seed = args.opt_value_from_str("--seed")?.unwrap_or(fleet.seed);
    fleet.nodes = args.opt_value_from_str("--nodes")?.unwrap_or(fleet.nodes);
    fleet.engines = args
        .opt_value_from_str("--engines")?
        .unwrap_or(fleet.engines);
    fleet.policy = args
        .opt_value_from_str("--policy")?
        .unwrap_or(fleet.policy.clone());
    fleet.out = args
        .opt_value_from_str("--out")?
        .unwrap_or(fleet.out.clone());
    fleet.node_binary = sibling_program("currantbend")?;
    if fleet.nodes == 0 || fleet.engines == 0 {
        return Err(BenchError::Usage(String::from(
            "--nodes and --engines must be at least 1",
        )));
    }
    let callers = CALLERS_PER_ENGINE * fleet.engines;
    options.load.chat_callers = args.opt_value_from_str("--callers")?.unwrap_or(callers);
    Ok(options)
}

/// Returns the path of a program that is built into the same folder as this one.
fn sibling_program(program: &str) -> Result<PathBuf, BenchError> {
    let this_program = std::env::current_exe();
    let this_program =
        this_program.map_err(|err| BenchError::Usage(format!("cannot find {program}: {err}")))?;
    Ok(this_program.with_file_name(program))
}

fn reject_extra_args(args: Arguments) -> Result<(), BenchError> {
    let left = args.finish();
    match left.first() {
        Some(arg) => Err(BenchError::Usage(format!(
            "\"{}\" is not understood",
            arg.to_string_lossy()
        ))),
        None => Ok(()),
    }
}
