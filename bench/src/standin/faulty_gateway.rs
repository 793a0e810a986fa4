//! A gateway with faults put in on purpose, program `cb-faulty-gateway`, by which it is proved that the judges see them
//! ([DAYS](../../../docs/DAYS.md)).
//!
//! It is the real gateway between two proxies: one before it, which callers reach at its address, and one between it and the store.
//! The process itself becomes the gateway, so that it gets all signals and has its exit status; the proxies are its child.

use async_trait::async_trait;
use hyper::Request;
use hyper::body::Incoming;
use pico_args::Arguments;
use std::ffi::OsString;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use self::callers::CallersProxy;
use self::store::StoreProxy;
use super::stop::Stop;
use crate::http::Handler;
use crate::http::HandlerResult;
use crate::http::Server;

mod callers;
mod store;
#[cfg(test)]
mod tests;

/// The help of the program.
pub const HELP: &str = "\
Runs a gateway with faults put in on purpose, to prove that judges see them.

Usage:
  cb-faulty-gateway --settings FILE

Environment:
  CB_GATEWAY_FAULTS   names of the faults, separated by commas (none)
  CB_GATEWAY_PROGRAM  program of the gateway (currantbend-gateway beside this program)
";

/// Variable of the environment that holds the path of the settings, for executables that take no argument for it.
pub const SETTINGS_VARIABLE: &str = "CB_FAULTY_GATEWAY_SETTINGS";
/// Variable of the environment that names the faults.
pub const FAULTS_VARIABLE: &str = "CB_GATEWAY_FAULTS";
/// Variable of the environment that names the program of the gateway.
pub const PROGRAM_VARIABLE: &str = "CB_GATEWAY_PROGRAM";
/// Variable of the environment that is set for the child that holds the proxies.
const PROXIES_VARIABLE: &str = "CB_FAULTY_GATEWAY_PROXIES";
/// Port of the gateway behind the proxy before it.
const CALLERS_PORT: u16 = 8401;
/// Port of the proxy between the gateway and the store.
const STORE_PORT: u16 = 8402;
/// Time within which the proxies of the process before have closed their addresses.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_INTERVAL: Duration = Duration::from_millis(20);

/// A fault of a gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An event of a stream is left out.
    DropEvent,
    /// An event of a stream is sent twice.
    RepeatEvent,
    /// All servers count as of one software version.
    IgnoreVersions,
    /// A plain answer ends early and looks whole.
    CutAnswer,
    /// A plain answer has the body of another.
    OtherAnswer,
    /// A plain answer lacks the server's signature.
    DropSeal,
    /// A plain answer is held back until long after the usual timeouts.
    HoldAnswer,
    /// A request that may run once is sent twice.
    RunTwice,
    /// A request that ran is answered 503.
    FalseRefusal,
    /// The path is changed.
    ChangePath,
    /// A header that servers must get is changed.
    ChangeHeader,
    /// The first configuration is kept.
    KeepConfig,
    /// Requests that may be repeated go to another service.
    OtherService,
    /// A request that was passed on gets no answer.
    DropRequest,
    /// Requests that may be repeated are sent many times.
    Retry,
    /// Servers are handed more time than is left.
    ExtendDeadline,
    /// A request is sent after its caller has left.
    SendLate,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 17] = [
        Self::DropEvent,
        Self::RepeatEvent,
        Self::IgnoreVersions,
        Self::CutAnswer,
        Self::OtherAnswer,
        Self::DropSeal,
        Self::HoldAnswer,
        Self::RunTwice,
        Self::FalseRefusal,
        Self::ChangePath,
        Self::ChangeHeader,
        Self::KeepConfig,
        Self::OtherService,
        Self::DropRequest,
        Self::Retry,
        Self::ExtendDeadline,
        Self::SendLate,
    ];

    /// Returns its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::DropEvent => "drop-event",
            Self::RepeatEvent => "repeat-event",
            Self::IgnoreVersions => "ignore-versions",
            Self::CutAnswer => "cut-answer",
            Self::OtherAnswer => "other-answer",
            Self::DropSeal => "drop-seal",
            Self::HoldAnswer => "hold-answer",
            Self::RunTwice => "run-twice",
            Self::FalseRefusal => "false-refusal",
            Self::ChangePath => "change-path",
            Self::ChangeHeader => "change-header",
            Self::KeepConfig => "keep-config",
            Self::OtherService => "other-service",
            Self::DropRequest => "drop-request",
            Self::Retry => "retry",
            Self::ExtendDeadline => "extend-deadline",
            Self::SendLate => "send-late",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut all = Self::ALL.into_iter();
        let found = all.find(|fault| fault.name() == text);
        found.ok_or_else(|| format!("\"{text}\" is no fault"))
    }
}

/// What is run.
#[derive(Clone, Debug)]
pub struct FaultyOptions {
    /// The gateway's settings.
    pub settings: PathBuf,
    /// The gateway's program.
    pub program: PathBuf,
    /// What is wrong with it.
    pub faults: Vec<Fault>,
}

impl FaultyOptions {
    /// Reads the options from arguments and the environment.
    ///
    /// # Errors
    ///
    /// Returns an error if an argument is missing or unknown, or if a fault is unknown.
    pub fn parse(args: Vec<OsString>) -> Result<Self, pico_args::Error> {
        let mut args = Arguments::from_vec(args);
        let settings: PathBuf = args.value_from_str("--settings")?;
        match args.finish().pop() {
            Some(left) => Err(pico_args::Error::ArgumentParsingFailed {
                cause: format!("\"{}\" is not understood", left.to_string_lossy()),
            }),
            None => Self::of_environment(settings),
        }
    }

    fn of_environment(settings: PathBuf) -> Result<Self, pico_args::Error> {
        let invalid = |cause: String| pico_args::Error::ArgumentParsingFailed { cause };
        let names = std::env::var(FAULTS_VARIABLE).unwrap_or_default();
        let names = names.split(',').filter(|name| !name.is_empty());
        let faults: Result<Vec<Fault>, String> = names.map(Fault::from_str).collect();
        let program = match std::env::var_os(PROGRAM_VARIABLE) {
            Some(program) => program.into(),
            None => std::env::current_exe()
                .map_err(|err| invalid(err.to_string()))?
                .with_file_name("currantbend-gateway"),
        };
        Ok(Self {
            settings,
            program,
            faults: faults.map_err(invalid)?,
        })
    }
}

/// Returns the options that the environment has for this process; `None` if it isn't asked to be a gateway.
pub fn requested() -> Option<Result<FaultyOptions, pico_args::Error>> {
    let settings = std::env::var_os(SETTINGS_VARIABLE)?;
    Some(FaultyOptions::of_environment(settings.into()))
}

/// Starts the proxies and becomes the gateway, or is the proxies of the gateway that started it until that is gone.
///
/// # Errors
///
/// Returns an error if the settings can't be read, an address can't be bound or a process can't be started.
pub async fn run(options: FaultyOptions) -> io::Result<()> {
    let text = std::fs::read_to_string(&options.settings)?;
    let sites = Sites::of_settings(&text)?;
    if std::env::var_os(PROXIES_VARIABLE).is_some() {
        return run_proxies(&sites, &options.faults).await;
    }
    let settings = options.settings.with_extension("behind-proxies.ini");
    std::fs::write(&settings, sites.redirected(&text))?;
    // A test executable has other arguments than the program.
    Command::new(std::env::current_exe()?)
        .args(std::env::args_os().skip(1))
        .env(PROXIES_VARIABLE, "1")
        .spawn()?;
    Err(become_gateway(&options.program, &settings))
}

/// Replaces this process; returns why it can't.
fn become_gateway(program: &Path, settings: &Path) -> io::Error {
    Command::new(program).arg("--settings").arg(settings).exec()
}

async fn run_proxies(sites: &Sites, faults: &[Fault]) -> io::Result<()> {
    let mut stop = Stop::new(PROXIES_VARIABLE)?;
    let callers = CallersProxy::new(sites.gateway(), faults);
    let callers = start(sites.callers, Arc::new(callers)).await?;
    let store = StoreProxy::new(sites.store, faults);
    let store = start(sites.store_proxy(), Arc::new(store)).await?;
    stop.wait().await;
    callers.abort().await;
    store.abort().await;
    Ok(())
}

/// A proxy on one side of a gateway.
#[async_trait]
trait Proxy: Send + Sync + 'static {
    /// Passes a request on and returns its answer.
    async fn pass(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult;
}

/// Listens as soon as the address is free.
async fn start(address: SocketAddr, proxy: Arc<dyn Proxy>) -> io::Result<Server> {
    let handler: Handler = Arc::new(move |req| Arc::clone(&proxy).pass(req));
    let end = Instant::now() + BIND_TIMEOUT;
    loop {
        match Server::start(address, Arc::clone(&handler)).await {
            Err(err) if err.kind() == io::ErrorKind::AddrInUse && Instant::now() < end => {
                tokio::time::sleep(BIND_INTERVAL).await;
            }
            started => return started,
        }
    }
}

/// Where the proxies are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Sites {
    /// Where callers expect the gateway.
    callers: SocketAddr,
    /// The store.
    store: SocketAddr,
}

impl Sites {
    fn of_settings(text: &str) -> io::Result<Self> {
        let find = |name: &str| -> Option<SocketAddr> {
            let mut lines = text.lines().filter_map(|line| line.split_once('='));
            let (_, value) = lines.find(|(key, _)| key.trim() == name)?;
            value.trim().parse().ok()
        };
        let sites = find("caller_address")
            .zip(find("store_address"))
            .map(|(callers, store)| Self { callers, store });
        sites.ok_or_else(|| io::Error::other("the settings lack the address of callers or store"))
    }

    /// Returns where the gateway listens.
    fn gateway(&self) -> SocketAddr {
        SocketAddr::new(self.callers.ip(), CALLERS_PORT)
    }

    fn store_proxy(&self) -> SocketAddr {
        SocketAddr::new(self.callers.ip(), STORE_PORT)
    }

    /// Returns the settings of the gateway between the proxies.
    fn redirected(&self, text: &str) -> String {
        let lines = text.lines().map(|line| {
            let key = line.split('=').next().unwrap_or_default().trim();
            match key {
                "caller_address" => format!("caller_address = {}\n", self.gateway()),
                "store_address" => format!("store_address = {}\n", self.store_proxy()),
                _ => format!("{line}\n"),
            }
        });
        lines.collect()
    }
}
