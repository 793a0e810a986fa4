//! The operators' tool. Its commands are in `currantbend::ctl`.

use currantbend::ctl;
use currantbend::ctl::CtlError;
use pico_args::Arguments;
use std::process::ExitCode;

fn run() -> Result<(), CtlError> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{}", ctl::HELP);
        return Ok(());
    }
    if args.contains("--version") {
        println!("cbctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let (output, command) = ctl::parse(args)?;
    let runtime = tokio::runtime::Runtime::new().map_err(CtlError::System)?;
    runtime.block_on(command.run(&output))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("cbctl: {err}");
            ExitCode::from(err.exit_status())
        }
    }
}
