//! Command line program that runs the simulated entry balancer of the platform as a process of its own.

use currantbend_bench::standin::balancer;
use currantbend_bench::standin::balancer::BalancerOptions;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.iter().any(|arg| arg == "-h" || arg == "--help") {
        print!("{}", balancer::HELP);
        return ExitCode::SUCCESS;
    }
    let options = balancer::requested().unwrap_or_else(|| BalancerOptions::parse(args));
    let options = match options {
        Ok(options) => options,
        Err(err) => {
            eprintln!("cb-balancer: {err}; see cb-balancer --help");
            return ExitCode::from(2);
        }
    };
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(balancer::run(options))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("cb-balancer: {err}");
            ExitCode::from(1)
        }
    }
}
