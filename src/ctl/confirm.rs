//! `cbctl confirm`: signs the change of a plan and appends it to the config stream, which puts it into force.

use super::Command;
use super::CtlError;
use super::Output;
use super::args::comma_separated;
use super::args::usage_error;
use super::nodes::fetch_statuses;
use super::plan_file::PlanFile;
use super::platform;
use super::stream::Replay;
use crate::border::AppendError;
use crate::border::LogService;
use crate::border::generated::config::Change;
use crate::border::generated::config::ConfigRecord;
use crate::border::generated::config::NodeStatus;
use crate::config::OperatorKey;
use crate::config::RECORD_VERSION;
use crate::config::STREAM;
use crate::config::Verdict;
use async_trait::async_trait;
use pico_args::Arguments;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

/// Default time that `--wait` waits until a change is in force on all nodes, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 30;
/// Maximum number of attempts to append a change.
const MAX_APPEND_ATTEMPTS: usize = 6;
/// Pause between two attempts to append a change.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two queries of the nodes' status during `--wait`.
const STATUS_POLL_PAUSE: Duration = Duration::from_millis(300);

pub(super) struct Confirm {
    log: SocketAddr,
    key: PathBuf,
    plan: PathBuf,
    /// Operations addresses of the nodes to wait for; `None` without `--wait`.
    nodes: Option<Vec<SocketAddr>>,
    timeout: Duration,
}

/// Result of a confirmed plan.
#[derive(Serialize)]
struct Confirmed {
    change: String,
    operator: String,
    version: u64,
    in_force_everywhere: Option<bool>,
}

impl Confirm {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let nodes = if args.contains("--wait") {
            Some(comma_separated(args, "--nodes")?)
        } else {
            None
        };
        let timeout = args.opt_value_from_str("--timeout").map_err(usage_error)?;
        Ok(Self {
            log: platform::log_address(args)?,
            key: args.value_from_str("--key").map_err(usage_error)?,
            nodes,
            timeout: Duration::from_secs(timeout.unwrap_or(DEFAULT_TIMEOUT_S)),
            plan: args.free_from_str().map_err(usage_error)?,
        })
    }

    fn read_key(&self) -> Result<OperatorKey, CtlError> {
        let error = |cause: &str| CtlError::File {
            path: self.key.display().to_string(),
            cause: cause.to_owned(),
        };
        let text = std::fs::read_to_string(&self.key).map_err(|err| error(&err.to_string()))?;
        text.parse().map_err(|_| error("not an operator's key"))
    }
}

#[async_trait]
impl Command for Confirm {
    async fn run(&self, output: &Output) -> Result<(), CtlError> {
        let plan = PlanFile::read(&self.plan)?;
        let key = self.read_key()?;
        let log = platform::log_service(self.log);
        let replay = Replay::read(log.as_ref()).await?;
        plan.check(&replay)?;
        let mut change = plan.change.clone();
        // The base versions stay those of the plan, so a conflicting change is still detected. `read` becomes the
        // current version, because a change expires a fixed number of records after the version in `read`.
        change.read = replay.state.version;
        let record = signed_record(&change, &key)?;
        let version = append(log.as_ref(), &change, &record, output).await?;
        output.progress(&format!("accepted as version {version}"));
        let is_in_force = match &self.nodes {
            Some(nodes) => Some(
                self.wait_until_in_force(nodes, version, &plan, output)
                    .await,
            ),
            None => None,
        };
        output.print(&Confirmed {
            change: change.id,
            operator: change.operator,
            version,
            in_force_everywhere: is_in_force,
        })?;
        if is_in_force == Some(false) {
            let text = format!(
                "version {version} is accepted, but was not in force on all nodes before the timeout"
            );
            return Err(CtlError::NotInForce(text));
        }
        Ok(())
    }
}

impl Confirm {
    /// Waits until `version` is in force on all nodes and the engines that the plan affects are in their wanted state.
    ///
    /// Returns `false` if the timeout passes first.
    async fn wait_until_in_force(
        &self,
        nodes: &[SocketAddr],
        version: u64,
        plan: &PlanFile,
        output: &Output,
    ) -> bool {
        let deadline = Instant::now() + self.timeout;
        let mut last_progress = String::new();
        loop {
            let statuses = fetch_statuses(nodes).await;
            let reached = |status: &&NodeStatus| status.version >= Some(version);
            let in_force = statuses.iter().flatten().filter(reached).count();
            let unsettled = unsettled_backends(&statuses, &plan.effect.backends);
            let mut progress = format!("in force on {in_force} of {} nodes", nodes.len());
            if !unsettled.is_empty() {
                progress = format!("{progress}, not yet as wanted: {}", unsettled.join(" "));
            }
            if progress != last_progress {
                output.progress(&progress);
                last_progress = progress;
            }
            if in_force == nodes.len() && unsettled.is_empty() {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(STATUS_POLL_PAUSE).await;
        }
    }
}

/// Returns the engines among `affected` that a node reports as not yet in their wanted state, sorted.
fn unsettled_backends(statuses: &[Option<NodeStatus>], affected: &[String]) -> Vec<String> {
    let all = statuses
        .iter()
        .flatten()
        .flat_map(|status| &status.unsettled);
    let mut names: Vec<String> = all
        .filter(|name| affected.contains(name))
        .cloned()
        .collect();
    names.sort();
    names.dedup();
    names
}

fn signed_record(change: &Change, key: &OperatorKey) -> Result<String, CtlError> {
    let json = |err: serde_json::Error| CtlError::System(err.into());
    let body = serde_json::to_string(change).map_err(json)?;
    let record = ConfigRecord::Change {
        v: RECORD_VERSION,
        signature: Some(key.sign(&body)),
        body,
    };
    serde_json::to_string(&record).map_err(json)
}

/// Appends the change and returns the version at which it came into force.
///
/// A failed append is retried, also if only its response was lost: a change takes effect once, because a second record
/// with the same id is refused as a duplicate.
async fn append(
    log: &dyn LogService,
    change: &Change,
    record: &str,
    output: &Output,
) -> Result<u64, CtlError> {
    let mut last_error = AppendError::NotAppended("not attempted".to_owned());
    for attempt in 1..=MAX_APPEND_ATTEMPTS {
        match log.append(STREAM, record).await {
            Ok(_) => return accepted_version(&Replay::read(log).await?, change),
            Err(err) => {
                output.progress(&format!(
                    "attempt {attempt} of {MAX_APPEND_ATTEMPTS}: {err:?}"
                ));
                last_error = combine_errors(last_error, err);
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    match Replay::read(log).await {
        Ok(replay) if replay.find_change(&change.id).is_some() => accepted_version(&replay, change),
        _ => Err(CtlError::Append(last_error)),
    }
}

/// Combines the errors of two attempts. Once an attempt may have appended the record, the outcome stays unsettled,
/// even if a later attempt certainly failed.
fn combine_errors(before: AppendError, after: AppendError) -> AppendError {
    match before {
        AppendError::Unsettled(_) => before,
        AppendError::NotAppended(_) => after,
    }
}

/// Returns the version at which the change came into force, or the reason for which it was refused.
fn accepted_version(replay: &Replay, change: &Change) -> Result<u64, CtlError> {
    match replay.find_change(&change.id) {
        Some(found) => match &found.verdict {
            Verdict::Refused(refused) => Err(CtlError::Refused(refused.to_string())),
            Verdict::Accepted | Verdict::Snapshot => Ok(found.offset),
        },
        None => Err(CtlError::Refused("the change is not in the log".to_owned())),
    }
}

impl fmt::Display for Confirmed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "change {} of operator {} is version {}",
            self.change, self.operator, self.version
        )?;
        match self.in_force_everywhere {
            Some(true) => f.write_str(", in force everywhere"),
            Some(false) => f.write_str(", not yet in force everywhere"),
            None => Ok(()),
        }
    }
}
