//! A handle on a backend server that is a process of its own, for tests: signals reach it, and its runs can be read after it was
//! killed.

use nix::errno::Errno;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::sys::signal::killpg;
use nix::unistd::Pid;
use nix::unistd::getpgid;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use super::replica::Run;
use super::replica_process::ARGS_VARIABLE;
use super::replica_process::ReplicaOptions;
use super::run_log;
use super::run_log::LogOwner;
use crate::http::Client;
use crate::truth::lock;

/// Time within which a process that was started must answer.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a process that was told to stop must have ended.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a process that starts or ends is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Number of handles that this process has made, by which their folders differ.
static HANDLES: AtomicU32 = AtomicU32::new(0);

/// What is started as a server.
#[derive(Clone, Debug)]
pub enum Program {
    /// The program at this path, such as `cb-replica`.
    Path(PathBuf),
    /// The test of this name in the test executable that runs now. It must call [`super::replica_process::run`] if
    /// [`super::replica_process::requested`] asks for that, and likewise for the other stand-ins that it is started for. So no
    /// other program must have been built.
    Test(&'static str),
}

impl Program {
    /// Returns the command that starts it, without arguments of the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the path of the test executable isn't known.
    pub fn command(&self) -> io::Result<Command> {
        Ok(match self {
            Self::Path(path) => Command::new(path),
            Self::Test(name) => {
                let mut command = Command::new(std::env::current_exe()?);
                command.args([name, "--exact", "--nocapture"]);
                command
            }
        })
    }
}

#[derive(Debug)]
struct State {
    options: ReplicaOptions,
    /// Number of times that it was started.
    starts: u32,
    child: Child,
}

impl State {
    /// Sends a signal to all processes of the server, if the first of them runs.
    fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // The group has its number as long as the exit status of its first process hasn't been read.
        if self.child.try_wait()?.is_none() {
            killpg(self.group()?, signal)?;
        }
        Ok(())
    }

    fn group(&self) -> io::Result<Pid> {
        to_pid(self.child.id())
    }
}

impl Drop for State {
    /// Kills the processes if a test ends without [`ServerProcess::close`].
    fn drop(&mut self) {
        let _ = self.signal(Signal::SIGKILL);
        let _ = self.child.wait();
    }
}

/// A server whose processes form a group of their own, and the files of its runs.
#[derive(Debug)]
pub struct ServerProcess {
    program: Program,
    folder: PathBuf,
    state: Mutex<State>,
}

impl ServerProcess {
    /// Starts a server and waits until it answers. It keeps its runs in a folder of its own, whatever `options` say.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started or doesn't answer.
    pub async fn start(program: Program, options: ReplicaOptions) -> io::Result<Self> {
        let number = HANDLES.fetch_add(1, Relaxed);
        let name = format!("cb-replica-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        // An earlier process of this number that was killed left its folder.
        match std::fs::remove_dir_all(&folder) {
            Err(err) if err.kind() != io::ErrorKind::NotFound => return Err(err),
            _ => {}
        }
        Self::start_in(program, folder, options).await
    }

    /// Starts a server as [`ServerProcess::start`] does, whose runs are kept in `folder`, which must not have any yet.
    ///
    /// # Errors
    ///
    /// As [`ServerProcess::start`].
    pub async fn start_in(
        program: Program,
        folder: PathBuf,
        options: ReplicaOptions,
    ) -> io::Result<Self> {
        let state = spawn(&program, &folder, options, 1)?;
        let server = Self {
            program,
            folder,
            state: Mutex::new(state),
        };
        server.wait_until_ready().await?;
        Ok(server)
    }

    /// Returns how it was started last, with the address that it got.
    pub fn options(&self) -> ReplicaOptions {
        lock(&self.state).options.clone()
    }

    /// Returns its instance ID.
    pub fn id(&self) -> String {
        lock(&self.state).options.id.clone()
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        lock(&self.state).options.address
    }

    /// Returns its entry for the server list, as JSON. The entry of a server with workers names the start of the parent.
    pub fn entry(&self, service: &str, data_centre: &str, state: &str, sequence: u64) -> Vec<u8> {
        let options = self.options();
        let start = options.start(options.address, options.born);
        start.entry(&options.version, (service, data_centre), state, sequence)
    }

    /// Sends a signal to all of its processes; does nothing if it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        lock(&self.state).signal(signal)
    }

    /// Returns the workers that run now, by number.
    ///
    /// # Errors
    ///
    /// Returns an error if the records can't be read.
    pub fn workers(&self) -> io::Result<Vec<LogOwner>> {
        let logs = self.read_workers()?;
        let mut workers: Vec<LogOwner> = logs.into_iter().map(|(owner, _)| owner).collect();
        workers.sort_by_key(|owner| owner.worker);
        Ok(workers)
    }

    /// Returns the worker that runs now and ran the request with this ID, or `None` if none did.
    ///
    /// # Errors
    ///
    /// Returns an error if the records can't be read.
    pub fn worker_of(&self, request_id: &str) -> io::Result<Option<LogOwner>> {
        let mut logs = self.read_workers()?.into_iter();
        let found = logs.find(|(_, runs)| runs.iter().any(|run| run.request_id == request_id));
        Ok(found.map(|(owner, _)| owner))
    }

    /// Returns the workers that run now with their runs.
    fn read_workers(&self) -> io::Result<Vec<(LogOwner, Vec<Run>)>> {
        let (group, folder) = {
            let state = lock(&self.state);
            (state.group()?, start_folder(&self.folder, state.starts))
        };
        let mut logs = read_logs(&folder)?;
        logs.retain(|(owner, _)| owner.worker.is_some() && is_in_group(owner, group));
        Ok(logs)
    }

    /// Sends a signal to a worker of [`ServerProcess::workers`]; does nothing if it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn signal_worker(&self, worker: &LogOwner, signal: Signal) -> io::Result<()> {
        let group = lock(&self.state).group()?;
        if !is_in_group(worker, group) {
            return Ok(());
        }
        match kill(to_pid(worker.process)?, signal) {
            Err(Errno::ESRCH) => Ok(()),
            result => Ok(result?),
        }
    }

    /// Waits until it has ended after a signal.
    ///
    /// # Errors
    ///
    /// Returns an error if it still runs after 10 s.
    pub async fn wait_for_exit(&self) -> io::Result<()> {
        let end = Instant::now() + EXIT_TIMEOUT;
        while lock(&self.state).child.try_wait()?.is_none() {
            if Instant::now() >= end {
                let problem = format!("server {} still runs", self.id());
                return Err(io::Error::new(io::ErrorKind::TimedOut, problem));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Starts it again after a signal that ends it, and waits until it answers. `options` are [`ServerProcess::options`] with what
    /// is to differ.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't end, can't be started or doesn't answer.
    pub async fn restart(&self, options: ReplicaOptions) -> io::Result<()> {
        self.wait_for_exit().await?;
        {
            let mut state = lock(&self.state);
            *state = spawn(&self.program, &self.folder, options, state.starts + 1)?;
        }
        self.wait_until_ready().await
    }

    /// Waits until the server has told its address and answers there.
    async fn wait_until_ready(&self) -> io::Result<()> {
        let waiting = async {
            let address = loop {
                if let Some(address) = self.check_start()? {
                    break address;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            };
            let answer = Client::new(address).get("/health").await;
            answer.map_err(io::Error::other)
        };
        tokio::time::timeout(START_TIMEOUT, waiting).await??;
        Ok(())
    }

    /// Returns the address that the server listens on, or `None` until it has told it.
    fn check_start(&self) -> io::Result<Option<SocketAddr>> {
        let mut state = lock(&self.state);
        if let Some(status) = state.child.try_wait()? {
            let problem = format!("server {} ended with {status}", state.options.id);
            return Err(io::Error::other(problem));
        }
        let logs = read_logs(&start_folder(&self.folder, state.starts))?;
        let owner = logs.iter().find(|(owner, _)| owner.worker.is_none());
        let address = owner.map(|(owner, _)| owner.address);
        if let Some(address) = address {
            state.options.address = address;
        }
        Ok(address)
    }

    /// Returns the runs of all its processes since its first start, in order of arrival.
    ///
    /// # Errors
    ///
    /// Returns an error if the records can't be read.
    pub fn runs(&self) -> io::Result<Vec<Run>> {
        let starts = lock(&self.state).starts;
        let mut runs = Vec::new();
        for number in 1..=starts {
            let logs = read_logs(&start_folder(&self.folder, number))?;
            runs.extend(logs.into_iter().flat_map(|(_, runs)| runs));
        }
        runs.sort_by_key(|run| run.at);
        Ok(runs)
    }

    /// Sets how it behaves from now on, until it is started again: `query` holds the parameters that [`super::replica`] knows.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't answer or knows no such parameters.
    pub async fn control(&self, query: &str) -> io::Result<()> {
        let client = Client::new(self.address());
        let path = format!("/stand-in?{query}");
        let answer = client.get(&path).await.map_err(io::Error::other)?;
        match answer.status().is_success() {
            true => Ok(()),
            false => Err(io::Error::other(format!("{path} got {}", answer.status()))),
        }
    }

    /// Kills it and leaves the files of its runs.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be killed.
    pub async fn kill_and_keep(&self) -> io::Result<()> {
        self.signal(Signal::SIGKILL)?;
        self.wait_for_exit().await
    }

    /// Kills it and removes the files of its runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the files can't be removed.
    pub async fn close(self) -> io::Result<()> {
        self.signal(Signal::SIGKILL)?;
        self.wait_for_exit().await?;
        std::fs::remove_dir_all(&self.folder)
    }
}

fn to_pid(id: u32) -> io::Result<Pid> {
    i32::try_from(id)
        .map(Pid::from_raw)
        .map_err(io::Error::other)
}

fn is_in_group(owner: &LogOwner, group: Pid) -> bool {
    let found = to_pid(owner.process).map(|id| getpgid(Some(id)));
    matches!(found, Ok(Ok(id)) if id == group)
}

/// Returns the folder for the records of the processes of one start.
fn start_folder(folder: &Path, number: u32) -> PathBuf {
    folder.join(number.to_string())
}

/// Starts the server for the time `number`.
fn spawn(
    program: &Program,
    folder: &Path,
    mut options: ReplicaOptions,
    number: u32,
) -> io::Result<State> {
    let records = start_folder(folder, number);
    std::fs::create_dir_all(&records)?;
    options.records = Some(records);
    let mut command = program.command()?;
    command.env(ARGS_VARIABLE, options.to_args().join("\n"));
    command.stdin(Stdio::null()).stdout(Stdio::null());
    let child = command.process_group(0).spawn()?;
    Ok(State {
        options,
        starts: number,
        child,
    })
}

/// Returns what the processes of one start have recorded.
fn read_logs(folder: &Path) -> io::Result<Vec<(LogOwner, Vec<Run>)>> {
    let mut logs = Vec::new();
    for file in std::fs::read_dir(folder)? {
        logs.extend(run_log::read(&file?.path())?);
    }
    Ok(logs)
}
