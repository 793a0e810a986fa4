//! Plays the cases of the review: `review-cases CASE FOLDER`, in the root of the repository.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod brittle;
mod consumer;
mod crash;
mod engine;
mod engines;
mod fleet;
mod http;
mod memory;
mod record;
mod replica;
mod store;

use fleet::Place;
use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Time within which a case must have ended.
const MAX_TIME: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum End {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let is_engine = args.first().is_some_and(|arg| arg == "engine");
    let mut builder = if is_engine {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    let Ok(runtime) = builder.enable_all().build() else {
        return ExitCode::from(2);
    };
    if is_engine {
        return match runtime.block_on(engine::run(&args[1..])) {
            Some(()) => ExitCode::SUCCESS,
            None => ExitCode::from(2),
        };
    }
    let (Some(case), Some(folder)) = (args.first(), args.get(1)) else {
        eprintln!("usage: review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("record.txt: {err}");
            return ExitCode::from(2);
        }
    };
    // All processes that the case started end with the runtime.
    match runtime.block_on(play(case, &record)) {
        Ok(End::Held) => ExitCode::SUCCESS,
        Ok(End::Broken) => ExitCode::from(1),
        Ok(End::NotRun) => ExitCode::from(2),
        Err(err) => {
            record.say(&format!("not run: {err}"));
            ExitCode::from(2)
        }
    }
}

async fn play(case: &str, record: &Record) -> std::io::Result<End> {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let place = Place {
        root: std::env::current_dir()?,
        folder,
    };
    let playing = async {
        match case {
            "retraction" => crash::play(&place, record, has_trouble, &crash::RETRACTION).await,
            "suspects" => crash::play(&place, record, has_trouble, &crash::SUSPECTS).await,
            "brittle" => brittle::play(&place, record, has_trouble).await,
            "memory" => memory::play(&place, record, has_trouble).await,
            _ => Ok(End::NotRun),
        }
    };
    let (mut terminate, mut interrupt) = (
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
    );
    let end = tokio::select! {
        end = tokio::time::timeout(MAX_TIME, playing) => end.unwrap_or(Ok(End::NotRun)),
        _ = terminate.recv() => Ok(End::NotRun),
        _ = interrupt.recv() => Ok(End::NotRun),
    };
    std::fs::remove_dir_all(&place.folder)?;
    end
}
