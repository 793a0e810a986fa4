//! The gateways of a case, started as the deploy file says, and the platform's store beside them.

use crate::http;
use crate::record::Record;
use crate::store::Store;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::process::Child;
use tokio::process::Command;

/// Host and key of the routes.
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ZONES: [&str; 3] = ["sundsvall", "gavle", "falun"];
/// Time within which a gateway must be ready.
const READY_TIME: Duration = Duration::from_secs(10);

/// Returns a loopback address for `number` that differs between runs.
pub fn host(number: u8) -> IpAddr {
    let process = std::process::id();
    let third = (process / 200 % 250) as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        20 + (process % 200) as u8,
        third,
        number,
    ))
}

/// Returns the zone of gateway or replica `number`.
pub fn zone(number: u8) -> &'static str {
    ZONES[usize::from(number) % ZONES.len()]
}

/// One gateway process.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    root: PathBuf,
    pub child: Child,
}

/// Where a case runs.
pub struct Place {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder.
    pub folder: PathBuf,
}

impl Gateway {
    /// Starts gateway `number` with the settings of a small deployment.
    fn start(
        place: &Place,
        number: u8,
        store: SocketAddr,
        is_first: bool,
    ) -> std::io::Result<Self> {
        let centre = zone(number);
        let name = format!("front-{centre}-{number}");
        let ip = host(1 + number);
        let callers = SocketAddr::new(ip, 8227);
        let ready = SocketAddr::new(ip, 8220);
        let settings = place.folder.join(format!("{name}.ini"));
        let output = place.folder.join(format!("{name}.log"));
        // The lines of deploy/gateway.ini.template, with the figures of the sheet of fjarrkod-tolk.
        let text = format!(
            "[gateway]\nname = {name}\ndata_centre = {centre}\ndata_centres = sundsvall,gavle,falun\n\
             regions = sundsvall:norden,gavle:norden,falun:norden\nlink_mbps = 1000.0\n\
             peer_address = {ip}:7340\ncaller_address = {callers}\nready_address = {ready}\n\
             metrics_address = {ip}:7350\nstore_address = {store}\nfirst_start = {is_first}\n\
             terms = base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\n\
             [bounds]\nconfig_apply_ms = 2000\ndrain_ms = 2000\nrevoke_ms = 5000\nstrict_revoke = true\n\
             heartbeat_ms = 1200\ngrace_s = 8\nretry_window_s = 10\nretry_ratio = 0.2\nretry_slack = 54\n"
        );
        std::fs::write(&settings, text)?;
        let root = place.root.clone();
        let child = Self::spawn(&root, &settings, &output)?;
        Ok(Self {
            name,
            callers,
            ready,
            settings,
            output,
            root,
            child,
        })
    }

    fn spawn(root: &Path, settings: &Path, output: &Path) -> std::io::Result<Child> {
        let log = File::options().create(true).append(true).open(output)?;
        Command::new(root.join("target/release/currantbend-gateway"))
            .arg("--settings")
            .arg(settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Starts the process again, as the platform does after its end.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.child = Self::spawn(&self.root, &self.settings, &self.output)?;
        Ok(())
    }

    /// Returns the memory that the process has in use, in bytes; 0 once it has ended.
    pub fn memory_bytes(&self) -> u64 {
        let Some(pid) = self.child.id() else {
            return 0;
        };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| {
            line.trim()
                .trim_end_matches(" kB")
                .trim()
                .parse::<u64>()
                .ok()
        });
        kb.unwrap_or(0) * 1024
    }

    /// Asks as the platform does whether the gateway is ready.
    pub async fn is_ready(&self) -> bool {
        let asking = async {
            let mut stream = http::connect(self.ready).await.ok()?;
            let question = b"GET /api/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
            http::write(&mut stream, question).await.ok()?;
            let head = http::read_head(&mut stream).await.ok()??;
            Some(head.status() == 200)
        };
        let answer = tokio::time::timeout(Duration::from_secs(1), asking).await;
        matches!(answer, Ok(Some(true)))
    }
}

/// Returns whether all gateways still run, and notes those that don't.
pub fn are_running(gateways: &mut [Gateway], record: &Record) -> bool {
    let mut are_running = true;
    for gateway in gateways {
        if !matches!(gateway.child.try_wait(), Ok(None)) {
            record.say(&format!("{} has ended by itself", gateway.name));
            are_running = false;
        }
    }
    are_running
}

/// Waits until all gateways are ready; returns whether they are.
async fn wait_until_ready(gateways: &[Gateway], record: &Record) -> bool {
    let began = Instant::now();
    for gateway in gateways {
        while !gateway.is_ready().await {
            if began.elapsed() > READY_TIME {
                record.say(&format!("{} is not ready", gateway.name));
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    record.add("all gateways are ready");
    true
}

/// A route of the manifest.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub aim_ms: u32,
    pub attempts: u32,
}

/// A service of the manifest; `engine` has its slots and memory, if its replicas are engines.
pub struct Service {
    pub name: &'static str,
    pub max_conns: u32,
    pub engine: Option<(u32, u64)>,
}

/// Writes the manifest as the operator does.
pub fn put_manifest(store: &Store, routes: &[Route], services: &[Service]) {
    let routes: Vec<serde_json::Value> = routes
        .iter()
        .map(|route| {
            serde_json::json!({
                "name": route.name, "hostname": HOST, "path-prefix": format!("/{}/", route.name),
                "kind": route.kind, "timeout-ms": route.timeout_ms, "latency-target-ms": route.aim_ms,
                "gap-aim-ms": 300, "priority": 1, "service": route.service, "attempts": route.attempts,
                "public": false, "sticky": route.kind == "streaming", "resumable": false,
            })
        })
        .collect();
    let services: Vec<serde_json::Value> = services
        .iter()
        .map(|service| {
            let mut value = serde_json::json!({
                "name": service.name, "health-path": "/health", "max-conns": service.max_conns,
                "protocol": "h1", "tls": false,
            });
            if let Some((slots, tokens)) = service.engine {
                value["engine"] = serde_json::json!({"slots": slots, "kv-capacity": tokens});
            }
            value
        })
        .collect();
    let manifest = serde_json::json!({
        "version": 1, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304, "header-timeout-ms": 3_000,
                   "idle-timeout-ms": 15_000},
        "tenants": [{"name": "hule930", "api-keys": [KEY]}],
    });
    store.put("keyed.op", "config", Some(manifest.to_string().as_bytes()));
}

/// Starts `count` gateways, each in a zone of its own; returns them once they are ready, and `None` if they are not in time.
pub async fn start_gateways(
    place: &Place,
    count: u8,
    store: &Store,
    record: &Record,
) -> std::io::Result<Option<Vec<Gateway>>> {
    let gateways: std::io::Result<Vec<Gateway>> = (0..count)
        .map(|number| Gateway::start(place, number, store.address(), true))
        .collect();
    let gateways = gateways?;
    let are_ready = wait_until_ready(&gateways, record).await;
    Ok(are_ready.then_some(gateways))
}

/// Starts the store.
pub async fn start_store() -> std::io::Result<Arc<Store>> {
    let any = SocketAddr::new(host(250), 0);
    Ok(Arc::new(Store::start(any).await?))
}
