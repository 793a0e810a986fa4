//! The cases of the second review that are scripts: `review-case NAME FOLDER`, started by `run.sh` in the folder of each.

mod dark;
mod gateway;
mod http;
mod left;
mod replica;
mod store;
mod uploads;

use gateway::Gateway;
use std::fmt::Display;
use std::fs::File;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case has at hand.
pub struct Case {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub has_trouble: bool,
    record: Mutex<File>,
    began: Instant,
}

impl Case {
    /// Writes a line to the record.
    pub fn note(&self, line: impl Display) {
        let ms = self.began.elapsed().as_millis();
        let written = self
            .record
            .lock()
            .unwrap()
            .write_all(format!("{ms:>6} ms  {line}\n").as_bytes());
        written.expect("the record");
    }

    /// Copies what replicas recorded to the record, and returns its lines.
    pub fn note_runs(&self) -> Vec<String> {
        let runs = std::fs::read_to_string(self.folder.join("runs.txt")).unwrap_or_default();
        let began_unix = replica::unix_ms() - self.began.elapsed().as_millis() as u64;
        let lines: Vec<String> = runs.lines().map(str::to_owned).collect();
        for line in &lines {
            let (at, what) = line.split_once(' ').unwrap_or(("0", line));
            let at = at.parse::<u64>().unwrap_or(0).saturating_sub(began_unix);
            let text = format!("{at:>6} ms  replica: {what}\n");
            self.record
                .lock()
                .unwrap()
                .write_all(text.as_bytes())
                .expect("the record");
        }
        lines
    }

    /// Starts a gateway and waits until it is ready.
    pub fn start_gateway(&self, name: &str, store: SocketAddr) -> Gateway {
        let gateway = Gateway::start(&self.root, &self.folder, name, store).expect("the gateway");
        self.note(format!("{name} started, callers at {}", gateway.callers));
        gateway
    }
}

/// Returns a manifest with one plain service, `register`, whose routes `/once/` and `/safe/` need a key of `tenant`.
pub fn manifest(version: u64, tenant: &str) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"h.example\",\"path-prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout-ms\":4000,\
             \"latency-target-ms\":300,\"priority\":1,\"service\":\"register\",\"attempts\":2,\"public\":false,\"sticky\":false,\
             \"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"register\",\"health-path\":\"/health\",\
         \"max-conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"{tenant}\",\"api-keys\":[\"k1\"],\"priority\":1}}]}}",
        route("once", "unsafe"),
        route("safe", "safe")
    )
}

/// A request to a gateway.
pub struct Request<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub body: &'a [u8],
    /// Time budget that the consumer names.
    pub budget: Duration,
    /// Time after which it closes its channel.
    pub patience: Duration,
}

/// Sends `request` on a new channel and returns the status and body of the answer.
pub fn send(callers: SocketAddr, request: &Request<'_>) -> io::Result<(u16, String)> {
    let until = Instant::now() + request.patience;
    let mut stream = http::connect(callers, Duration::from_secs(1))?;
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: h.example\r\ncurrantbend-request-id: {}\r\ncurrantbend-deadline-ms: {}\r\n\
         authorization: Token k1\r\ncontent-length: {}\r\n\r\n",
        request.path,
        request.id,
        request.budget.as_millis(),
        request.body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(request.body)?;
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut reader = http::Reader::new(stream);
    let head = reader.head()?;
    let body = reader.body(&head, true)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "replica") {
        replica::run(&args[1..]);
        return ExitCode::SUCCESS;
    }
    let [name, out] = args.as_slice() else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let out = Path::new(out);
    let root = std::env::current_dir().expect("the current folder");
    let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let case = Case {
        root,
        folder: folder.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0"),
        record: Mutex::new(File::create(out.join("record.txt")).expect("the record")),
        began: Instant::now(),
    };
    case.note(format!(
        "case {name}, with the disruption: {}",
        case.has_trouble
    ));
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match name.as_str() {
        "dark" => dark::run(&case),
        "left" => left::run(&case),
        "uploads" => uploads::run(&case),
        _ => panic!("no case of this name"),
    }));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match result {
        Ok(Verdict::Held) => {
            case.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            case.note("the rule was broken");
            ExitCode::from(1)
        }
        Err(_) => {
            case.note("the case could not run");
            ExitCode::from(2)
        }
    }
}
