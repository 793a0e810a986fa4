//! Command line program that runs a gateway with faults put in on purpose.

use currantbend_bench::standin::faulty_gateway;
use currantbend_bench::standin::faulty_gateway::FaultyOptions;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.iter().any(|arg| arg == "-h" || arg == "--help") {
        print!("{}", faulty_gateway::HELP);
        return ExitCode::SUCCESS;
    }
    let options = match FaultyOptions::parse(args) {
        Ok(options) => options,
        Err(err) => {
            eprintln!("cb-faulty-gateway: {err}; see cb-faulty-gateway --help");
            return ExitCode::from(2);
        }
    };
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(faulty_gateway::run(options))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("cb-faulty-gateway: {err}");
            ExitCode::from(1)
        }
    }
}
