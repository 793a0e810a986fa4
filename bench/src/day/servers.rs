//! The server processes of a play, and their entries in the store.

use bytes::Bytes;
use nix::sys::signal::Signal;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use super::addresses::Addresses;
use super::links::Links;
use super::links::Target;
use super::record::ServerRecord;
use super::sheet::Service;
use super::sheet::ServiceKind;
use super::sheet::Sheet;
use crate::standin::answer_link::AnswerLink;
use crate::standin::replica::Framing;
use crate::standin::replica::Pace;
use crate::standin::replica::Run;
use crate::standin::replica_process::Capacity;
use crate::standin::replica_process::ReplicaOptions;
use crate::standin::server_process::Program;
use crate::standin::server_process::ServerProcess;
use crate::standin::store_process::StoreControl;
use crate::truth::lock;

/// Time that an engine takes to the first event of a stream.
const FIRST_EVENT: Duration = Duration::from_millis(50);
/// Time for which a server that leaves still answers what it runs.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Heartbeats without which an entry is removed.
const SILENT_HEARTBEATS: u32 = 3;
/// Topic of the servers' entries.
const TOPIC: &str = "keyed.servers";

/// What a server says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It serves.
    Ready,
    /// It leaves.
    Draining,
    /// It says nothing: it was killed, or is dark.
    Silent,
    /// It has left.
    Gone,
}

#[derive(Debug)]
struct Entry {
    /// Instance ID of its process.
    id: String,
    stage: Stage,
    sequence: u64,
    /// Heartbeats that were left out.
    missed: u32,
    /// Whether the store has its entry.
    is_listed: bool,
}

/// A server: its process, which may be started again under other IDs.
#[derive(Debug)]
pub struct Server {
    /// Its number, from 0.
    pub number: usize,
    /// Name of its service.
    pub service: String,
    /// Number of its data centre.
    pub place: usize,
    /// Its process.
    pub process: ServerProcess,
    /// What spoils its answers, if the day has such a trouble.
    pub answers: Option<AnswerLink>,
    slots: u32,
    entry: Mutex<Entry>,
}

impl Server {
    /// Returns its ID now.
    pub fn id(&self) -> String {
        lock(&self.entry).id.clone()
    }

    /// Returns what it says of itself now.
    pub fn stage(&self) -> Stage {
        lock(&self.entry).stage
    }

    /// Sets what it says of itself from now on.
    pub fn set_stage(&self, stage: Stage) {
        lock(&self.entry).stage = stage;
    }
}

/// All servers.
#[derive(Debug)]
pub struct Servers {
    sheet: Sheet,
    addresses: Addresses,
    program: Program,
    folder: PathBuf,
    links: Arc<Links>,
    /// Data centre of each gateway.
    gateway_places: Vec<usize>,
    store: Arc<StoreControl>,
    seed: u64,
    has_answer_links: bool,
    list: Mutex<Vec<Arc<Server>>>,
    records: Mutex<Vec<ServerRecord>>,
    /// IDs whose servers run under others, and when their entries lapse.
    lapsing: Mutex<Vec<(String, Instant)>>,
    /// Number of server processes so far.
    starts: Mutex<usize>,
}

/// Where servers are started.
#[derive(Debug)]
pub struct Site {
    /// The deployment.
    pub sheet: Sheet,
    /// Addresses of the play.
    pub addresses: Addresses,
    /// Program `cb-replica`.
    pub program: Program,
    /// Folder for their runs.
    pub folder: PathBuf,
    /// The links before them.
    pub links: Arc<Links>,
    /// Data centre of each gateway.
    pub gateway_places: Vec<usize>,
    /// Where their entries are written.
    pub store: Arc<StoreControl>,
    /// Decides their IDs.
    pub seed: u64,
    /// Whether there are links before them that spoil answers.
    pub has_answer_links: bool,
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Servers {
    /// Starts all servers of the sheet and lets them report from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if one can't be started.
    pub async fn start(site: Site) -> io::Result<Arc<Self>> {
        let servers = Arc::new(Self {
            sheet: site.sheet,
            addresses: site.addresses,
            program: site.program,
            folder: site.folder,
            links: site.links,
            gateway_places: site.gateway_places,
            store: site.store,
            seed: site.seed,
            has_answer_links: site.has_answer_links,
            list: Mutex::default(),
            records: Mutex::default(),
            lapsing: Mutex::default(),
            starts: Mutex::default(),
        });
        let mut starting = Vec::new();
        for service in servers.sheet.services.clone() {
            for place in 0..servers.sheet.data_centres.len() {
                for _ in 0..service.servers_per_data_centre {
                    starting.push((service.name.clone(), place));
                }
            }
        }
        for (service, place) in starting {
            servers.add(&service, place, "v1").await?;
        }
        let reporting = Arc::downgrade(&servers);
        let interval = Duration::from_millis(servers.sheet.bounds.heartbeat_ms);
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(interval);
            loop {
                interval.tick().await;
                let Some(servers) = reporting.upgrade() else {
                    return;
                };
                servers.report_all().await;
            }
        });
        Ok(servers)
    }

    fn next_id(&self) -> String {
        let mut starts = lock(&self.starts);
        *starts += 1;
        format!("i-{:x}-{starts}", self.seed & 0xffff)
    }

    fn options(&self, service: &Service, version: &str) -> ReplicaOptions {
        let is_engine = service.kind == ServiceKind::Engine;
        let work_ms = self
            .sheet
            .routes
            .iter()
            .filter(|route| route.service == service.name);
        let work_ms = work_ms.map(|route| route.work_ms).max().unwrap_or(0);
        ReplicaOptions {
            id: self.next_id(),
            born: now_ms(),
            work_time: Duration::from_millis(work_ms),
            framing: Framing::HalfEvents,
            version: version.to_owned(),
            has_text_per_run: true,
            drain_time: DRAIN_TIME,
            capacity: Some(Capacity {
                slots: service.slots,
                queue: service.queue,
                pace: Pace {
                    first_event: if is_engine {
                        FIRST_EVENT
                    } else {
                        Duration::ZERO
                    },
                    event_gap: Duration::from_millis(service.event_gap_ms),
                },
            }),
            ..ReplicaOptions::default()
        }
    }

    /// Starts a further server and waits until it answers.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such service or the server can't be started.
    pub async fn add(&self, service: &str, place: usize, version: &str) -> io::Result<Arc<Server>> {
        let service = self.sheet.service(service);
        let service = service.ok_or_else(|| io::Error::other("there is no such service"))?;
        let mut options = self.options(service, version);
        let number = {
            let starts = *lock(&self.starts);
            starts - 1
        };
        let address = self.addresses.server(number);
        options.address = address;
        let id = options.id.clone();
        let folder = self.folder.join(&id);
        let program = self.program.clone();
        let process = ServerProcess::start_in(program, folder, options).await?;
        let answers = match self.has_answer_links {
            true => Some(AnswerLink::start(address).await?),
            false => None,
        };
        let to = answers.as_ref().map_or(address, AnswerLink::address);
        for (gateway, gateway_place) in self.gateway_places.iter().enumerate() {
            let link = (self.addresses.server_link(gateway, number), to);
            let delay = self.sheet.delay_between(*gateway_place, place);
            let ends = (gateway, Target::Server(number));
            self.links.add(ends, link, delay).await?;
        }
        let server = Arc::new(Server {
            number,
            service: service.name.clone(),
            place,
            process,
            answers,
            slots: service.slots,
            entry: Mutex::new(Entry {
                id,
                stage: Stage::Ready,
                sequence: 0,
                missed: 0,
                is_listed: false,
            }),
        });
        self.record(&server);
        lock(&self.list).push(Arc::clone(&server));
        self.report(&server).await;
        Ok(server)
    }

    fn record(&self, server: &Server) {
        lock(&self.records).push(ServerRecord {
            id: server.id(),
            service: server.service.clone(),
            data_centre: self.sheet.data_centres[server.place].name.clone(),
        });
    }

    /// Returns all servers that haven't left, by number.
    pub fn all(&self) -> Vec<Arc<Server>> {
        let list = lock(&self.list);
        let left = list.iter().filter(|server| server.stage() != Stage::Gone);
        left.cloned().collect()
    }

    /// Starts a server again that was killed, under another ID.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub async fn restart(&self, server: &Server) -> io::Result<()> {
        self.remove_entry(server).await;
        self.restart_unheard(server).await?;
        server.set_stage(Stage::Ready);
        self.report(server).await;
        Ok(())
    }

    /// Starts a server again like [`Servers::restart`], which can't report yet.
    ///
    /// # Errors
    ///
    /// As [`Servers::restart`].
    pub async fn restart_unheard(&self, server: &Server) -> io::Result<()> {
        let id = self.next_id();
        let before = server.process.options();
        server
            .process
            .restart(ReplicaOptions {
                id: id.clone(),
                born: now_ms(),
                ..before
            })
            .await?;
        {
            let mut entry = lock(&server.entry);
            let before = std::mem::replace(&mut entry.id, id);
            entry.sequence = 0;
            if std::mem::take(&mut entry.is_listed) {
                let silence = Duration::from_millis(self.sheet.bounds.heartbeat_ms);
                let at = Instant::now() + silence * SILENT_HEARTBEATS;
                lock(&self.lapsing).push((before, at));
            }
        }
        self.record(server);
        Ok(())
    }

    /// Lets a server leave as planned: it reports so, serves for a while longer, and ends.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be told to end.
    pub async fn leave(&self, server: &Server) -> io::Result<()> {
        server.set_stage(Stage::Draining);
        self.report(server).await;
        let drain = Duration::from_millis(self.sheet.bounds.drain_ms);
        tokio::time::sleep(drain + drain / 2).await;
        server.process.signal(Signal::SIGTERM)?;
        server.process.wait_for_exit().await?;
        server.set_stage(Stage::Gone);
        self.remove_entry(server).await;
        Ok(())
    }

    async fn report_all(&self) {
        let now = Instant::now();
        let lapsed: Vec<(String, Instant)> = lock(&self.lapsing)
            .extract_if(.., |(_, at)| *at <= now)
            .collect();
        for (id, _) in lapsed {
            self.put(&id, Bytes::new()).await;
        }
        for server in self.all() {
            match server.stage() {
                Stage::Ready | Stage::Draining => self.report(&server).await,
                Stage::Silent | Stage::Gone => {
                    let is_over = {
                        let mut entry = lock(&server.entry);
                        entry.missed += 1;
                        entry.missed >= SILENT_HEARTBEATS
                    };
                    if is_over {
                        self.remove_entry(&server).await;
                    }
                }
            }
        }
    }

    /// Writes a server's entry.
    pub async fn report(&self, server: &Server) {
        let (id, text) = {
            let mut entry = lock(&server.entry);
            entry.sequence += 1;
            entry.missed = 0;
            entry.is_listed = true;
            let options = server.process.options();
            let state = match entry.stage {
                Stage::Draining => "draining",
                _ => "ready",
            };
            let text = serde_json::json!({
                "service": server.service,
                "address": self.addresses.server_entry(server.number),
                "zone": self.sheet.data_centres[server.place].name,
                "version": options.version,
                "slots": server.slots,
                "state": state,
                "cold-left-ms": 0,
                "seq": entry.sequence,
                "born": options.born,
            });
            (entry.id.clone(), text.to_string())
        };
        self.put(&id, text.into()).await;
    }

    async fn remove_entry(&self, server: &Server) {
        let id = {
            let mut entry = lock(&server.entry);
            std::mem::take(&mut entry.is_listed).then(|| entry.id.clone())
        };
        if let Some(id) = id {
            self.put(&id, Bytes::new()).await;
        }
    }

    async fn put(&self, id: &str, value: Bytes) {
        if let Err(err) = self.store.put(TOPIC, id, value).await {
            eprintln!("the entry of {id} can't be written: {err}");
        }
    }

    /// Ends all servers, and returns what they ran and which there were, both sorted.
    ///
    /// # Errors
    ///
    /// Returns an error if one can't be ended or its runs can't be read.
    pub async fn close(&self) -> io::Result<(Vec<Run>, Vec<ServerRecord>)> {
        let list = std::mem::take(&mut *lock(&self.list));
        let mut runs = Vec::new();
        for server in list {
            server.process.kill_and_keep().await?;
            runs.extend(server.process.runs()?);
        }
        runs.sort_by_key(|run| run.at);
        let mut records = std::mem::take(&mut *lock(&self.records));
        records.sort_by(|one, other| one.id.cmp(&other.id));
        Ok((runs, records))
    }
}
