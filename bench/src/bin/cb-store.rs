//! Command line program that runs the simulated store of the platform as a process of its own.

use currantbend_bench::standin::store_process;
use currantbend_bench::standin::store_process::StoreOptions;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.iter().any(|arg| arg == "-h" || arg == "--help") {
        print!("{}", store_process::HELP);
        return ExitCode::SUCCESS;
    }
    let options = store_process::requested().unwrap_or_else(|| StoreOptions::parse(args));
    let options = match options {
        Ok(options) => options,
        Err(err) => {
            eprintln!("cb-store: {err}; see cb-store --help");
            return ExitCode::from(2);
        }
    };
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(store_process::run(options))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("cb-store: {err}");
            ExitCode::from(1)
        }
    }
}
