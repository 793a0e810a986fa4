//! Keeps engine processes running as the platform does: starts them, reports them to the store, and starts them again
//! some seconds after their end.

use crate::fleet;
use crate::record::Record;
use crate::replica::HEARTBEAT;
use crate::replica::SILENT_INTERVALS;
use crate::replica::lock;
use crate::store::Store;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;

/// Number of requests that an engine runs at once, and that may wait: the sheet of fjarrkod-tolk and its site file.
pub const SLOTS: u32 = 64;
const QUEUE: u32 = 192;
const PORT: u16 = 8_120;

/// When crashing requests reached engines, and when they crashed them, with their ids.
#[derive(Default)]
pub struct Seen {
    arrivals: Mutex<Vec<(String, Instant)>>,
    crashes: Mutex<Vec<(String, Instant)>>,
}

impl Seen {
    /// Returns when each request whose id begins with `prefix` first reached an engine.
    pub fn arrivals(&self, prefix: &str) -> Vec<Instant> {
        times(&self.arrivals, prefix)
    }

    /// Returns when the requests whose ids begin with `prefix` crashed engines.
    pub fn crashes(&self, prefix: &str) -> Vec<Instant> {
        times(&self.crashes, prefix)
    }
}

fn times(seen: &Mutex<Vec<(String, Instant)>>, prefix: &str) -> Vec<Instant> {
    let seen = lock(seen);
    let of_prefix = seen.iter().filter(|(id, _)| id.starts_with(prefix));
    of_prefix.map(|(_, at)| *at).collect()
}

/// What engine processes there are.
#[derive(Clone, Copy, Debug)]
pub struct Engines {
    pub service: &'static str,
    pub count: u8,
    /// Time until the first event of a stream.
    pub prefill: Duration,
    /// Time between the end of an engine and its next start.
    pub down: Duration,
}

impl Engines {
    /// Starts the engines, which are kept running until the runtime ends.
    pub fn start(self, store: &Arc<Store>, record: &Record) -> Arc<Seen> {
        let seen: Arc<Seen> = Arc::default();
        for number in 0..self.count {
            let (store, record, seen) = (Arc::clone(store), record.clone(), Arc::clone(&seen));
            tokio::spawn(async move {
                if let Err(err) = self.keep(number, &store, &record, &seen).await {
                    record.say(&format!("engine {number} can't be kept running: {err}"));
                }
            });
        }
        seen
    }

    async fn keep(
        self,
        number: u8,
        store: &Store,
        record: &Record,
        seen: &Seen,
    ) -> std::io::Result<()> {
        let address = SocketAddr::new(fleet::host(100 + number), PORT);
        let id = format!("i-{number}");
        let zone = fleet::zone(number);
        loop {
            let mut child = self.spawn(&id, address)?;
            let output = child.stdout.take().ok_or(std::io::ErrorKind::BrokenPipe)?;
            let mut lines = BufReader::new(output).lines();
            let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let born = u64::try_from(born.unwrap_or_default().as_millis()).unwrap_or(0);
            let mut sequence = 0;
            let mut heartbeat = tokio::time::interval(HEARTBEAT);
            let mut reported_at = tokio::time::Instant::now();
            loop {
                tokio::select! {
                    biased;
                    line = lines.next_line() => match line? {
                        Some(line) => note(&id, &line, record, seen),
                        None => break,
                    },
                    at = heartbeat.tick() => {
                        sequence += 1;
                        reported_at = at;
                        let entry = serde_json::json!({
                            "service": self.service, "address": address, "zone": zone, "version": "v1",
                            "slots": SLOTS, "state": "ready", "cold-left-ms": 0, "seq": sequence, "born": born,
                        });
                        store.put("keyed.servers", &id, Some(entry.to_string().as_bytes()));
                    }
                }
            }
            child.wait().await?;
            record.add(&format!("{id} has ended"));
            let until = tokio::time::Instant::now() + self.down;
            let lapses_at = reported_at + HEARTBEAT * SILENT_INTERVALS;
            if lapses_at < until {
                tokio::time::sleep_until(lapses_at).await;
                store.put("keyed.servers", &id, None);
            }
            tokio::time::sleep_until(until).await;
            record.add(&format!("{id} starts again"));
        }
    }

    fn spawn(self, id: &str, address: SocketAddr) -> std::io::Result<Child> {
        Command::new(std::env::current_exe()?)
            .args(["engine", id, &address.to_string()])
            .args([SLOTS, QUEUE].map(|number| number.to_string()))
            .arg(self.prefill.as_millis().to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
    }
}

fn note(id: &str, line: &str, record: &Record, seen: &Seen) {
    record.add(&format!("{id} {line}"));
    if let Some(request) = line.strip_prefix("got ") {
        let mut arrivals = lock(&seen.arrivals);
        // A sending that an engine rejects may reach a second one.
        if !arrivals.iter().any(|(known, _)| known == request) {
            arrivals.push((request.to_owned(), Instant::now()));
        }
    } else if let Some(rest) = line.strip_prefix("crashes by ") {
        let request = rest.split(' ').next().unwrap_or_default();
        lock(&seen.crashes).push((request.to_owned(), Instant::now()));
    }
}
