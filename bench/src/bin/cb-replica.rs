//! Command line program that runs one simulated backend server of the platform as a process of its own.

use currantbend_bench::standin::replica_process;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.iter().any(|arg| arg == "-h" || arg == "--help") {
        print!("{}", replica_process::HELP);
        return ExitCode::SUCCESS;
    }
    let options = replica_process::requested()
        .unwrap_or_else(|| replica_process::ReplicaOptions::parse(args));
    let options = match options {
        Ok(options) => options,
        Err(err) => {
            eprintln!("cb-replica: {err}; see cb-replica --help");
            return ExitCode::from(2);
        }
    };
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(replica_process::run(options))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("cb-replica: {err}");
            ExitCode::from(1)
        }
    }
}
