//! What the programs that serve have in common: their arguments, and how they end.

use crate::settings::SettingsError;
use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

/// Why a program ends with an error.
#[derive(Debug)]
pub enum ProgramError {
    /// The arguments are at fault.
    Usage(String),
    /// The settings are at fault.
    Settings(SettingsError),
    /// Something that the settings ask for can't be had, such as an address to listen on.
    Start(String),
    /// The operating system refused something.
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
    /// Gives the exit status: 2 where nothing was started because of what the operator wrote, else 1.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Settings(_) => 2,
            Self::Start(_) | Self::System(_) => 1,
        }
    }
}

/// A program that serves by a settings file.
pub trait Program {
    /// Gives its name on the command line.
    fn name(&self) -> &'static str;

    /// Says in a few words what it does, for the help.
    fn summary(&self) -> &'static str;

    /// Names what the settings are those of, for the help.
    fn component(&self) -> &'static str;

    /// Checks the settings at `path`.
    ///
    /// # Errors
    ///
    /// Names every problem of the file, or why it can't be read.
    fn check(&self, path: &Path) -> Result<(), SettingsError>;

    /// Serves by the settings at `path` until it is asked to stop.
    ///
    /// # Errors
    ///
    /// Tells why it could not start.
    fn serve(&self, path: &Path) -> Result<(), ProgramError>;
}

/// What the arguments ask for.
#[derive(Debug, Eq, PartialEq)]
pub enum Action {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check a settings file.
    Check(PathBuf),
    /// Serve by a settings file.
    Serve(PathBuf),
}

/// Reads the arguments of a program that serves.
///
/// # Errors
///
/// Names the argument that is missing or unknown.
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
  --check          check the settings, name every problem and exit
  --help           print this
  --version        print the version

EXIT STATUS:
  0  stopped as asked, or the settings are good
  1  could not start
  2  the arguments or the settings are at fault; nothing was started
"
    )
}

fn act(program: &dyn Program) -> Result<(), ProgramError> {
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

/// Does what the arguments ask of `program`; errors go to the standard error stream.
pub fn run(program: &dyn Program) -> ExitCode {
    match act(program) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{}: {err}", program.name());
            ExitCode::from(err.exit_status())
        }
    }
}
