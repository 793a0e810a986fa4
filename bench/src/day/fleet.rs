//! All processes of a play and the links between them.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::process::Child;
use tokio::process::Command;

use super::addresses::Addresses;
use super::gateways::Gateways;
use super::links::Links;
use super::links::PeerLink;
use super::links::Target;
use super::operator::Operator;
use super::record::ServerRecord;
use super::servers::Servers;
use super::servers::Site;
use super::sheet::Sheet;
use crate::standin::balancer;
use crate::standin::balancer::Backend;
use crate::standin::balancer::BalancerOptions;
use crate::standin::balancer::Place;
use crate::standin::peer_relay::PairPorts;
use crate::standin::replica::Run;
use crate::standin::server_process::Program;
use crate::standin::store_process;
use crate::standin::store_process::StoreControl;
use crate::standin::store_process::StoreOptions;

/// Time within which the store answers after its start.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which all gateways are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which the balancer has asked all gateways.
const BALANCER_TIME: Duration = Duration::from_millis(1_500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Paths of the programs that are started.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `currantbend-gateway`.
    pub gateway: PathBuf,
    /// `cb-replica`.
    pub replica: Program,
    /// `cb-store`.
    pub store: Program,
    /// `cb-balancer`.
    pub balancer: Program,
}

impl Programs {
    /// Returns the programs in `folder`.
    pub fn in_folder(folder: &Path) -> Self {
        Self {
            gateway: folder.join("currantbend-gateway"),
            replica: Program::Path(folder.join("cb-replica")),
            store: Program::Path(folder.join("cb-store")),
            balancer: Program::Path(folder.join("cb-balancer")),
        }
    }
}

/// The running processes of a play.
#[derive(Debug)]
pub struct Fleet {
    /// The deployment.
    pub sheet: Sheet,
    /// Addresses of its processes.
    pub addresses: Addresses,
    /// The links between them.
    pub links: Arc<Links>,
    /// The store's records and faults.
    pub store: Arc<StoreControl>,
    /// The servers.
    pub servers: Arc<Servers>,
    /// The gateways.
    pub gateways: Arc<Gateways>,
    /// Who writes configurations.
    pub operator: Operator,
    /// Processes that end with it.
    _others: Vec<Child>,
}

/// What a fleet leaves.
#[derive(Debug)]
pub struct Left {
    /// What servers ran, by time.
    pub runs: Vec<Run>,
    /// All servers, by ID.
    pub servers: Vec<ServerRecord>,
    /// Gateways that ended without a signal of the play.
    pub unexpected_ends: Vec<(Instant, String)>,
}

impl Fleet {
    /// Starts all processes of `sheet` and waits until the gateways are ready. Settings, logs and runs are kept in `folder`.
    /// Answers of servers can be spoiled only if `has_answer_links`.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or a gateway isn't ready in time.
    pub async fn start(
        sheet: &Sheet,
        programs: &Programs,
        seed: u64,
        folder: &Path,
        has_answer_links: bool,
    ) -> io::Result<Self> {
        let addresses = Addresses::new(seed);
        let places = sheet.places_of_gateways();
        let count = places.len();
        let links = Arc::new(Links::default());
        let options = StoreOptions {
            address: addresses.store(),
            control: addresses.store_control(),
            views: (0..count)
                .map(|number| (addresses.store_view(number), addresses.ports(number)))
                .collect(),
        };
        let mut others = vec![spawn(
            &programs.store,
            store_process::ARGS_VARIABLE,
            &options.to_args(),
        )?];
        let store = Arc::new(StoreControl::new(options.control));
        wait_for_store(&store).await?;
        let to_store = Duration::from_secs_f64(sheet.delays.between_data_centres_ms / 1e3);
        for number in 0..count {
            let link = (addresses.store_link(number), addresses.store_view(number));
            links.add((number, Target::Store), link, to_store).await?;
            for other in (0..count).filter(|other| *other != number) {
                let link = PeerLink {
                    from: number,
                    to: other,
                    address: addresses.peer_link(number, other),
                    target: addresses.peers(other),
                    ports: PairPorts {
                        caller: addresses.ports(number),
                        target: addresses.ports(other),
                    },
                    delay: sheet.delay_between(places[number], places[other]),
                };
                links.add_peer(link).await?;
            }
            let host = addresses.gateway(number);
            let callers = (addresses.caller_link(number), (host, 8001).into());
            let ready = (addresses.ready_link(number), (host, 8002).into());
            let delay = sheet.delay_to_callers();
            links.add_entrance(callers, ready, delay).await?;
        }
        let operator = Operator::new(sheet, Arc::clone(&store), seed);
        operator.publish().await?;
        let servers = Servers::start(Site {
            sheet: sheet.clone(),
            addresses,
            program: programs.replica.clone(),
            folder: folder.join("servers"),
            links: Arc::clone(&links),
            gateway_places: places,
            store: Arc::clone(&store),
            seed,
            has_answer_links,
        })
        .await?;
        let program = programs.gateway.clone();
        let gateways = Gateways::start(sheet, addresses, program, folder.join("gateways"))?;
        others.push(start_balancer(sheet, &programs.balancer, addresses)?);
        let missing = gateways.wait_until_ready(READY_TIMEOUT).await;
        if !missing.is_empty() {
            let problem = format!("not ready in time: {}", missing.join(", "));
            return Err(io::Error::new(io::ErrorKind::TimedOut, problem));
        }
        tokio::time::sleep(BALANCER_TIME).await;
        Ok(Self {
            sheet: sheet.clone(),
            addresses,
            links,
            store,
            servers,
            gateways,
            operator,
            _others: others,
        })
    }

    /// Ends all processes and returns what they leave.
    ///
    /// # Errors
    ///
    /// Returns an error if the runs of a server can't be read.
    pub async fn close(self) -> io::Result<Left> {
        let unexpected_ends = self.gateways.close().await;
        let (runs, servers) = self.servers.close().await?;
        Ok(Left {
            runs,
            servers,
            unexpected_ends,
        })
    }
}

/// Starts a stand-in with these arguments in this variable of the environment.
fn spawn(program: &Program, variable: &str, args: &[String]) -> io::Result<Child> {
    let mut command = Command::from(program.command()?);
    command.env(variable, args.join("\n"));
    command.stdin(Stdio::null()).stdout(Stdio::null());
    let child = command.kill_on_drop(true).spawn();
    child.map_err(|err| io::Error::other(format!("cannot start {program:?}: {err}")))
}

async fn wait_for_store(store: &StoreControl) -> io::Result<()> {
    let end = Instant::now() + STORE_TIMEOUT;
    loop {
        match store.set_silent(false).await {
            Err(err) if Instant::now() >= end => return Err(err),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            Ok(()) => return Ok(()),
        }
    }
}

fn start_balancer(sheet: &Sheet, program: &Program, addresses: Addresses) -> io::Result<Child> {
    let places = sheet.data_centres.iter().enumerate();
    let gateways = sheet.places_of_gateways();
    let options = BalancerOptions {
        places: places
            .map(|(number, place)| Place {
                region: place.region.clone(),
                listen: addresses.balancer(number),
            })
            .collect(),
        gateways: gateways
            .into_iter()
            .enumerate()
            .map(|(number, place)| Backend {
                place,
                callers: addresses.caller_link(number),
                ready: addresses.ready_link(number),
            })
            .collect(),
    };
    spawn(program, balancer::ARGS_VARIABLE, &options.to_args())
}
