//! Arguments, help and exit status, which the server programs have in common.

use crate::settings::SettingsError;
use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

/// Reason why a program ends with an error.
#[derive(Debug)]
pub enum ProgramError {
    /// An argument is missing or unknown.
    Usage(String),
    /// The settings are invalid or can't be read.
    Settings(SettingsError),
    /// Something that the settings require is not available, such as an address to listen on.
    Start(String),
    /// An operation of the operating system failed.
    System(io::Error),
}

impl fmt::Display for ProgramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => write!(f, "{text}; see --help"),
            Self::Settings(err) => err.fmt(f),
            Self::Start(text) => f.write_str(text),
            Self::System(err) => err.fmt(f),
        }
    }
}

impl ProgramError {
    /// Returns the exit status: 2 if nothing was started because the arguments or settings are invalid, otherwise 1.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Settings(_) => 2,
            Self::Start(_) | Self::System(_) => 1,
        }
    }
}

/// A server program that reads its settings from a file.
pub trait Program {
    /// Returns the name of the program on the command line.
    fn name(&self) -> &'static str;

    /// Returns a short description of the program for its help.
    fn summary(&self) -> &'static str;

    /// Returns the name of the component that the settings belong to, such as `node`, for the help.
    fn component(&self) -> &'static str;

    /// Checks the settings at `path`.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file, or why it can't be read.
    fn check(&self, path: &Path) -> Result<(), SettingsError>;

    /// Serves with the settings at `path` until the program is asked to stop.
    ///
    /// # Errors
    ///
    /// Returns why the program could not start.
    fn serve(&self, path: &Path) -> Result<(), ProgramError>;
}

/// Action that the arguments ask for.
#[derive(Debug, Eq, PartialEq)]
pub enum Action {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check a settings file.
    Check(PathBuf),
    /// Serve with the settings of a file.
    Serve(PathBuf),
}

/// Parses the arguments of a server program.
///
/// # Errors
///
/// Returns [`ProgramError::Usage`] if an argument is missing or unknown.
pub fn parse(mut args: pico_args::Arguments) -> Result<Action, ProgramError> {
    if args.contains("--help") {
        return Ok(Action::Help);
    }
    if args.contains("--version") {
        return Ok(Action::Version);
    }
    let is_check = args.contains("--check");
    let path = args.value_from_str("--settings");
    let path: PathBuf = path.map_err(|err| ProgramError::Usage(err.to_string()))?;
    if let Some(unknown) = args.finish().first() {
        let text = format!("unknown argument {}", unknown.to_string_lossy());
        return Err(ProgramError::Usage(text));
    }
    Ok(if is_check {
        Action::Check(path)
    } else {
        Action::Serve(path)
    })
}

fn help(program: &dyn Program) -> String {
    let (name, summary, component) = (program.name(), program.summary(), program.component());
    format!(
        "\
{name}: {summary}.

USAGE:
  {name} --settings FILE [--check]

OPTIONS:
  --settings FILE  the {component}'s settings, in INI
  --check          check the settings, list every problem and exit
  --help           print this
  --version        print the version

EXIT STATUS:
  0  stopped as asked, or the settings are good
  1  could not start
  2  the arguments or the settings are invalid; nothing was started
"
    )
}

fn execute(program: &dyn Program) -> Result<(), ProgramError> {
    match parse(pico_args::Arguments::from_env())? {
        Action::Help => print!("{}", help(program)),
        Action::Version => println!("{} {}", program.name(), env!("CARGO_PKG_VERSION")),
        Action::Check(path) => {
            program.check(&path).map_err(ProgramError::Settings)?;
            println!("the settings are good");
        }
        Action::Serve(path) => program.serve(&path)?,
    }
    Ok(())
}

/// Runs `program` with the arguments of the process and returns its exit status. Errors are printed to the standard
/// error stream.
pub fn run(program: &dyn Program) -> ExitCode {
    match execute(program) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{}: {err}", program.name());
            ExitCode::from(err.exit_status())
        }
    }
}
