//! A replica of a plain service as a process of its own, and the handle by which the driver keeps it running and listed.

use crate::gateway::free_address;
use crate::http::Head;
use crate::http::Reader;
use crate::http::connect;
use crate::http::wait_until;
use crate::store::Store;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Time that a run takes.
const WORK: Duration = Duration::from_millis(60);
/// Time into its run at which a request whose body begins with `crash` ends the process.
const CRASH_AFTER: Duration = Duration::from_millis(300);
/// Time into its run at which a request whose body begins with `dark` silences the process.
const DARK_AFTER: Duration = Duration::from_millis(20);
/// Time for which a replica that has gone silent stays so before it starts again.
const DARK_TIME: Duration = Duration::from_millis(5_500);
/// Interval of liveness reports.
const BEAT: Duration = Duration::from_millis(1_200);

/// Returns Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// Sends a signal to a process that this case has started.
fn signal(pid: u32, name: &str) {
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(pid.to_string())
        .status();
    assert!(
        sent.is_ok_and(|status| status.success()),
        "no signal {name}"
    );
}

/// Returns whether a process is stopped.
fn is_stopped(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(") ")
        .next()
        .is_some_and(|rest| rest.starts_with('T'))
}

/// What a replica process needs.
#[derive(Clone)]
struct Process {
    id: String,
    born: u64,
    record: PathBuf,
}

/// Runs a replica until it is killed or crashes; `args` are its id, its address, its start and the file for its runs.
pub fn run(args: &[String]) {
    let [id, address, born, record] = args else {
        panic!("replica ID ADDRESS BORN FILE")
    };
    let until = Instant::now() + Duration::from_secs(3);
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(err) => assert!(Instant::now() < until, "{address}: {err}"),
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    let process = Process {
        id: id.clone(),
        born: born.parse().expect("a number"),
        record: record.into(),
    };
    for stream in listener.incoming().flatten() {
        let process = process.clone();
        std::thread::spawn(move || process.serve(stream));
    }
}

impl Process {
    fn record(&self, line: &str) {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.record);
        let written =
            file.and_then(|mut file| file.write_all(format!("{} {line}\n", unix_ms()).as_bytes()));
        written.expect("the record");
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.head() {
            let Ok(body) = reader.body(&head, false) else {
                return;
            };
            if writer.write_all(&self.answer(&head, &body)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> Vec<u8> {
        let (method, target) = head.target();
        let own = format!(
            "currantbend-instance-id: {}\r\ncurrantbend-server-load: 0,0,6\r\nkeep-alive: timeout=5\r\n",
            self.id
        );
        if target == "/health" {
            return format!("HTTP/1.1 200 OK\r\n{own}content-length: 0\r\n\r\n").into_bytes();
        }
        let Some(request) = head.get("currantbend-request-id") else {
            return format!("HTTP/1.1 400 Bad Request\r\n{own}currantbend-not-run: 1\r\ncontent-length: 0\r\n\r\n").into_bytes();
        };
        let own = format!("currantbend-request-id: {request}\r\n{own}");
        if head
            .get("currantbend-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return format!("HTTP/1.1 421 Misdirected Request\r\n{own}content-length: 0\r\n\r\n")
                .into_bytes();
        }
        let tenant = match head.bytes("currantbend-tenant") {
            Some(tenant) => format!("\"{}\"", String::from_utf8_lossy(tenant)),
            None => "none".to_owned(),
        };
        let (id, born, bytes) = (&self.id, self.born, body.len());
        self.record(&format!(
            "run {request} at {id} born {born}: {method} {target} tenant {tenant} body {bytes}"
        ));
        if body.starts_with(b"crash") {
            std::thread::sleep(CRASH_AFTER);
            self.record(&format!("crash of {id} born {born} under {request}"));
            std::process::abort();
        }
        if body.starts_with(b"dark") {
            std::thread::sleep(DARK_AFTER);
            self.record(&format!(
                "crash of {id} born {born} under {request}, silent"
            ));
            // Nothing more comes from the process, on open connections and new ones, until its keeper ends it.
            signal(std::process::id(), "STOP");
        }
        std::thread::sleep(WORK);
        let text = format!("done {request}");
        let length = text.len();
        format!("HTTP/1.1 200 OK\r\n{own}currantbend-response-seal: s.{request}\r\ncontent-length: {length}\r\n\r\n{text}").into_bytes()
    }
}

/// A replica that the driver starts, lists in the store, and starts again some seconds after it has crashed.
pub struct Replica {
    child: Arc<Mutex<Child>>,
    has_stopped: Arc<AtomicBool>,
}

/// What the driver does for one replica.
struct Keeper {
    id: String,
    service: String,
    address: SocketAddr,
    folder: PathBuf,
    store: Store,
    down: Duration,
}

impl Keeper {
    fn spawn(&self, born: u64) -> Child {
        let program = std::env::current_exe().expect("the own program");
        let child = Command::new(program)
            .args([
                "replica",
                &self.id,
                &self.address.to_string(),
                &born.to_string(),
            ])
            .arg(self.folder.join("runs.txt"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let child = child.expect("a replica");
        let is_up = || connect(self.address, Duration::from_millis(100)).is_ok();
        assert!(
            wait_until(Duration::from_secs(5), is_up),
            "replica {} does not start",
            self.id
        );
        child
    }

    fn report(&self, born: u64, seq: u64) {
        let (service, address) = (&self.service, self.address);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"sundsvall\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":{born}}}"
        );
        self.store.put("keyed.servers", &self.id, &entry);
    }

    fn keep(&self, child: &Mutex<Child>, has_stopped: &AtomicBool, mut born: u64) {
        let mut seq = 1;
        let mut next_beat = Instant::now() + BEAT;
        let mut back_at: Option<Instant> = None;
        let mut lapses_at: Option<Instant> = None;
        while !has_stopped.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
            match back_at {
                None if !matches!(child.lock().unwrap().try_wait(), Ok(None)) => {
                    back_at = Some(Instant::now() + self.down);
                }
                None if is_stopped(child.lock().unwrap().id()) => {
                    back_at = Some(Instant::now() + DARK_TIME);
                    lapses_at = Some(Instant::now() + 3 * BEAT);
                }
                None if Instant::now() >= next_beat => {
                    seq += 1;
                    next_beat += BEAT;
                    self.report(born, seq);
                }
                Some(at) if Instant::now() >= at => {
                    let mut ended = child.lock().unwrap();
                    let _ = ended.kill();
                    let _ = ended.wait();
                    drop(ended);
                    born = unix_ms();
                    seq = 1;
                    *child.lock().unwrap() = self.spawn(born);
                    self.report(born, seq);
                    next_beat = Instant::now() + BEAT;
                    back_at = None;
                    lapses_at = None;
                }
                _ if lapses_at.is_some_and(|at| Instant::now() >= at) => {
                    lapses_at = None;
                    self.store.put("keyed.servers", &self.id, "");
                }
                _ => {}
            }
        }
    }
}

impl Replica {
    /// Starts a replica of `service` called `id`, which is back `down` after a crash.
    pub fn start(id: &str, service: &str, folder: &Path, store: &Store, down: Duration) -> Self {
        let keeper = Keeper {
            id: id.to_owned(),
            service: service.to_owned(),
            address: free_address(),
            folder: folder.to_owned(),
            store: store.clone(),
            down,
        };
        let born = unix_ms();
        let child = Arc::new(Mutex::new(keeper.spawn(born)));
        keeper.report(born, 1);
        let has_stopped = Arc::new(AtomicBool::new(false));
        let (kept, stop) = (Arc::clone(&child), Arc::clone(&has_stopped));
        std::thread::spawn(move || keeper.keep(&kept, &stop, born));
        Self { child, has_stopped }
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.has_stopped.store(true, Ordering::Relaxed);
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}
