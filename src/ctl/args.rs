//! Parses the command line of `cbctl`.

use super::Command;
use super::CtlError;
use super::Output;
use super::check::Check;
use super::confirm::Confirm;
use super::explain::Explain;
use super::history::History;
use super::intent;
use super::keygen::Keygen;
use super::plan::Plan;
use super::show::Show;
use super::status::Status;
use pico_args::Arguments;

/// Text that `--help` prints.
pub const HELP: &str = "\
cbctl: shows and changes the configuration in force.

USAGE:
  cbctl check FOLDER                    check declarations and list every problem
  cbctl plan FOLDER PLAN                create a plan from declarations
  cbctl intent drain BACKEND [--undo]   create a plan that stops new work for a backend server, or resumes it
  cbctl intent move-team TEAM --off DATA_CENTRE
  cbctl intent load-adapter MODEL/ADAPTER --engines A,B,C
  cbctl intent set-role ENGINE ROLE     ROLE is prefill, decode or mixed
  cbctl confirm PLAN [--wait]           put a plan into force; --wait until it is in force on all nodes
  cbctl show                            print the configuration in force
  cbctl history                         records of the log with their verdicts
  cbctl status                          version, readiness and backend servers of each node
  cbctl explain --gateway ADDRESS --host HOST --path PATH
                                        where a gateway would send a request now, and why; nothing is sent
  cbctl keygen FILE                     create an operator's key and print its public part

OPTIONS:
  --log ADDRESS      the platform's log service (plan, intent, confirm, show, history)
  --hosts ADDRESS    the platform's host list (plan, intent)
  --nodes A,B,C      operations addresses of nodes (status, confirm --wait)
  --gateway ADDRESS  metrics address of a gateway (explain)
  --team TEAM        team of the caller (explain)
  --parts A:N,B:M    parts of the prompt, hexadecimal id and tokens (explain)
  --request ID       id of the request (explain)
  --operator NAME    operator who creates the plan (plan, intent)
  --key FILE         the operator's key (confirm)
  --plan FILE        file that the plan of an intent is written to
  --timeout SECONDS  maximum time that confirm --wait waits (30)
  --json             print one JSON object
  --help             print this
  --version          print the version

EXIT STATUS:
  0  done
  1  the platform or a node did not respond; partial results are printed
  2  arguments, declarations or files are invalid; nothing was done
  3  refused, for example because the plan is stale; nothing has changed
  4  accepted, but not in force on all nodes before the timeout, or nodes differ
";

/// Parses a command and its arguments.
///
/// # Errors
///
/// Returns [`CtlError::Usage`] if an argument is missing, invalid or unknown.
pub fn parse(mut args: Arguments) -> Result<(Output, Box<dyn Command>), CtlError> {
    let output = Output {
        json: args.contains("--json"),
    };
    let name = args.subcommand().map_err(usage_error)?;
    let command: Box<dyn Command> = match name.as_deref() {
        Some("check") => Box::new(Check::parse(&mut args)?),
        Some("plan") => Box::new(Plan::parse(&mut args)?),
        Some("intent") => intent::parse(&mut args)?,
        Some("confirm") => Box::new(Confirm::parse(&mut args)?),
        Some("show") => Box::new(Show::parse(&mut args)?),
        Some("history") => Box::new(History::parse(&mut args)?),
        Some("status") => Box::new(Status::parse(&mut args)?),
        Some("explain") => Box::new(Explain::parse(&mut args)?),
        Some("keygen") => Box::new(Keygen::parse(&mut args)?),
        Some(name) => return Err(CtlError::Usage(format!("unknown command {name}"))),
        None => return Err(CtlError::Usage("no command".to_owned())),
    };
    let rest = args.finish();
    match rest.first() {
        Some(unknown) => {
            let text = format!("unknown argument {}", unknown.to_string_lossy());
            Err(CtlError::Usage(text))
        }
        None => Ok((output, command)),
    }
}

/// Converts an error of the argument parser to a usage error.
pub(super) fn usage_error(err: pico_args::Error) -> CtlError {
    CtlError::Usage(err.to_string())
}

/// Parses the comma-separated list given for the option `key`.
pub(super) fn comma_separated<T: std::str::FromStr>(
    args: &mut Arguments,
    key: &'static str,
) -> Result<Vec<T>, CtlError> {
    let text: String = args.value_from_str(key).map_err(usage_error)?;
    let items = text.split(',').map(str::trim).map(str::parse);
    let items: Result<Vec<T>, T::Err> = items.collect();
    items.map_err(|_| CtlError::Usage(format!("{key} has an invalid item")))
}
