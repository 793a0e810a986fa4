//! Starts the project's gateway as the deploy file says, with settings from its template.

use crate::http::Reader;
use crate::http::connect;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

/// A running gateway; it is killed when this is dropped.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// Returns a loopback address with a port that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

fn run_command(root: &Path) -> Vec<String> {
    let deploy = std::fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let run = line
        .expect("a run command")
        .trim()
        .trim_matches('"')
        .to_owned();
    run.split(' ').map(str::to_owned).collect()
}

/// Fills the template of the settings with the values of a small deployment, those of the users' example.
fn settings(root: &Path, name: &str, store: SocketAddr, addresses: &[SocketAddr; 4]) -> String {
    let template =
        std::fs::read_to_string(root.join("deploy/gateway.ini.template")).expect("the template");
    let [peer, callers, ready, metrics] = addresses;
    let mut lines = Vec::new();
    for line in template.lines() {
        // Sections of values that this deployment does not have.
        if line.contains("{{#bounds.") || line.starts_with("{{/bounds.") {
            continue;
        }
        lines.push(line.to_owned());
    }
    let text = lines.join("\n") + "\n";
    let values = [
        ("{{ip}}:7340", peer.to_string()),
        ("{{ip}}:7350", metrics.to_string()),
        ("{{node}}", name.to_owned()),
        ("{{zone}}", "sundsvall".to_owned()),
        ("{{#zones}}{{@}}{{,}}{{/zones}}", "sundsvall".to_owned()),
        (
            "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}",
            "sundsvall:norden".to_owned(),
        ),
        ("{{limits.link-mbps}}", "1000.0".to_owned()),
        ("{{listen.front}}", callers.to_string()),
        ("{{listen.ready}}", ready.to_string()),
        ("{{platform.address}}", store.to_string()),
        ("{{bootstrap}}", "true".to_owned()),
        (
            "{{contracts}}",
            "base,drain,config,cost,retry,recover,engine,stream,tenants,platform".to_owned(),
        ),
        ("{{bounds.config-apply-ms}}", "2000".to_owned()),
        ("{{bounds.drain-ms}}", "2000".to_owned()),
        ("{{bounds.revoke-ms}}", "5000".to_owned()),
        ("{{bounds.strict-revoke}}", "true".to_owned()),
        ("{{heartbeat-ms}}", "1200".to_owned()),
        ("{{bounds.grace-s}}", "8".to_owned()),
        ("{{bounds.retry-window-s}}", "10".to_owned()),
        ("{{bounds.retry-ratio}}", "0.2".to_owned()),
        ("{{bounds.retry-slack}}", "54".to_owned()),
    ];
    let text = values
        .iter()
        .fold(text, |text, (name, value)| text.replace(name, value));
    assert!(
        !text.contains("{{"),
        "a value of the template is missing: {text}"
    );
    text
}

impl Gateway {
    /// Starts a gateway called `name` that uses `store`; its settings and its log go to `folder`.
    pub fn start(root: &Path, folder: &Path, name: &str, store: SocketAddr) -> io::Result<Self> {
        let addresses = [
            free_address(),
            free_address(),
            free_address(),
            free_address(),
        ];
        let file: PathBuf = folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings(root, name, store, &addresses))?;
        let mut words = run_command(root);
        for word in &mut words {
            if word == "/etc/currantbend/local.json" {
                *word = file.display().to_string();
            }
        }
        let log = std::fs::File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(root.join(&words[0]))
            .args(&words[1..])
            .current_dir(root)
            .env("CURRANTBEND_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            callers: addresses[1],
            ready: addresses[2],
            child,
        })
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let asked = connect(self.ready, Duration::from_millis(500)).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(
                b"GET /api/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n",
            )?;
            Reader::new(stream).head()
        });
        asked.is_ok_and(|head| head.status() == 200)
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resident memory of the process in bytes.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    /// Kills the process, as the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
