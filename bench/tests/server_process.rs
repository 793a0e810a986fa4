//! Tests of backend servers that are processes of their own.

#![expect(
    clippy::unwrap_used,
    reason = "A test panics on any unexpected result."
)]

use bytes::Bytes;
use currantbend_bench::http;
use currantbend_bench::standin::replica::Framing;
use currantbend_bench::standin::replica::Run;
use currantbend_bench::standin::replica_process::ReplicaOptions;
use currantbend_bench::standin::replica_process::Workers;
use currantbend_bench::standin::run_log::LogOwner;
use currantbend_bench::standin::server_process::Program;
use currantbend_bench::standin::server_process::ServerProcess;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use nix::unistd::getpgid;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time after which a connection that says nothing counts as silent, longer than the gap between two events.
const SILENCE: Duration = Duration::from_millis(400);
/// Time within which what must happen has happened.
const LIMIT: Duration = Duration::from_secs(10);

fn options() -> ReplicaOptions {
    ReplicaOptions {
        id: "i-e1".to_owned(),
        event_counts: 64..=64,
        has_text_per_run: true,
        ..ReplicaOptions::default()
    }
}

fn with_workers(count: u32, respawn_after: Option<Duration>) -> ReplicaOptions {
    let workers = Workers {
        count,
        respawn_after,
        has_own_born: true,
    };
    ReplicaOptions {
        workers: Some(workers),
        ..options()
    }
}

async fn start(options: ReplicaOptions) -> ServerProcess {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_cb-replica"));
    let starting = ServerProcess::start(Program::Path(program), options);
    starting.await.unwrap()
}

fn stream_request(id: &str) -> Request<Full<Bytes>> {
    let req = Request::post("/talk/7f").header("host", "h.example");
    let req = req.header("currantbend-request-id", id);
    let req = req.header("currantbend-token-counts", "100,20");
    req.body(Full::new(Bytes::from_static(b"ping"))).unwrap()
}

/// A stream that a server sends on a connection of its own.
struct Stream {
    res: Response<Incoming>,
    /// Keeps the connection open.
    _sender: SendRequest<Full<Bytes>>,
}

async fn begin_stream(server: &ServerProcess, id: &str) -> Stream {
    let mut sender = http::connect(server.address()).await.unwrap();
    Stream {
        res: sender.send_request(stream_request(id)).await.unwrap(),
        _sender: sender,
    }
}

impl Stream {
    /// Reads `text` on until it has this number of events or the stream ends. Returns whether it ended whole; `None` if it goes on.
    async fn read(&mut self, text: &mut Vec<u8>, events: usize) -> Option<bool> {
        while text.windows(2).filter(|bytes| bytes == b"\n\n").count() < events {
            let frame = tokio::time::timeout(LIMIT, self.res.body_mut().frame());
            match frame.await.unwrap() {
                Some(Ok(frame)) => text.extend(frame.into_data().unwrap_or_default()),
                Some(Err(_)) => return Some(false),
                None => return Some(true),
            }
        }
        None
    }
}

/// Returns whether the server accepts a connection, and the text with which it answers a request on it, or `None` if it says nothing.
async fn probe(address: SocketAddr) -> (bool, Option<String>) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return (false, None);
    };
    (true, ask(&mut stream, "/api/report").await)
}

async fn ask(stream: &mut TcpStream, path: &str) -> Option<String> {
    let req = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
    read(stream).await
}

async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let reading = tokio::time::timeout(SILENCE, stream.read_to_string(&mut text));
    reading.await.ok()?.unwrap();
    Some(text)
}

fn text_of(run: &Run) -> Vec<u8> {
    run.written.events.concat()
}

#[test]
fn options_are_the_same_after_their_arguments_were_read() {
    let workers = Workers {
        count: 3,
        respawn_after: Some(Duration::from_millis(70)),
        has_own_born: false,
    };
    let mut all = vec![options(), with_workers(1, None)];
    for framing in [
        Framing::HalfEvents,
        Framing::JoinedEvents,
        Framing::WithLength,
        Framing::Unframed,
    ] {
        all.push(ReplicaOptions {
            born: 7,
            work_time: Duration::from_millis(3),
            slowness: 5,
            framing,
            version: "v2".to_owned(),
            event_counts: 4..=49,
            has_text_per_run: false,
            records: Some(PathBuf::from("records of it")),
            drain_time: Duration::ZERO,
            workers: Some(workers),
            ..options()
        });
    }

    let args = all.iter().map(ReplicaOptions::to_args);
    let read = args.map(|args| ReplicaOptions::parse(args.into_iter().map(Into::into).collect()));
    let read: Vec<_> = read.map(Result::unwrap).collect();

    assert_eq!(read, all);
}

#[test]
fn arguments_that_are_not_understood_are_refused() {
    for arg in ["--speed=1", "--framing=loose", "--events=9-3", "--events=9"] {
        assert!(ReplicaOptions::parse(vec![arg.into()]).is_err(), "{arg}");
    }
}

#[tokio::test]
async fn what_a_caller_read_is_lost_when_the_server_is_killed_within_a_stream() {
    for framing in [Framing::HalfEvents, Framing::Unframed] {
        let server = start(ReplicaOptions {
            framing,
            ..options()
        })
        .await;
        let mut text = Vec::new();
        let mut stream = begin_stream(&server, "r-1").await;

        stream.read(&mut text, 12).await;
        server.signal(Signal::SIGKILL).unwrap();
        let end = stream.read(&mut text, 64).await;
        server.wait_for_exit().await.unwrap();
        let runs = server.runs().unwrap();

        let [run] = &runs[..] else {
            panic!("{} runs", runs.len());
        };
        let written = &run.written;
        assert_eq!(
            (run.request_id.as_str(), &run.body[..]),
            ("r-1", &b"ping"[..])
        );
        assert_eq!((written.first_id, written.last_id), (1, 64));
        assert!(!written.is_ended && written.events.len() < 64);
        assert!(text_of(run).starts_with(&text));
        // The system closes what a killed process had open in an orderly way, as the end of an answer without length is.
        assert_eq!(end, Some(framing == Framing::Unframed));
        server.close().await.unwrap();
    }
}

#[tokio::test]
async fn runs_of_all_processes_of_a_server_are_kept_apart() {
    let server = start(options()).await;

    let mut texts = Vec::new();
    for _ in 0..2 {
        let mut text = Vec::new();
        let mut stream = begin_stream(&server, "r-1").await;
        stream.read(&mut text, 2).await;
        server.signal(Signal::SIGKILL).unwrap();
        stream.read(&mut text, 64).await;
        texts.push(text);
        server.restart(server.options()).await.unwrap();
    }
    let mut whole = Vec::new();
    let is_whole = begin_stream(&server, "r-2")
        .await
        .read(&mut whole, 65)
        .await;
    let runs = server.runs().unwrap();

    assert_eq!(runs.len(), 3);
    assert!(runs.is_sorted_by_key(|run| run.at));
    for (run, text) in runs.iter().zip(&texts) {
        assert!(text_of(run).starts_with(text));
    }
    assert_ne!(text_of(&runs[0])[..100], text_of(&runs[1])[..100]);
    assert_eq!(is_whole, Some(true));
    assert!(runs[2].written.is_ended);
    assert_eq!(text_of(&runs[2]), whole);
    server.close().await.unwrap();
}

#[tokio::test]
async fn a_paused_server_accepts_and_says_nothing_until_it_goes_on() {
    let server = start(options()).await;
    let mut text = Vec::new();
    let mut begun = begin_stream(&server, "r-1").await;
    begun.read(&mut text, 2).await;

    server.signal(Signal::SIGSTOP).unwrap();
    let paused = probe(server.address()).await;
    let while_paused = tokio::time::timeout(SILENCE, async {
        // What it had sent before it was paused is read first.
        begun.read(&mut text, 64).await
    });
    let is_silent = while_paused.await.is_err();
    server.signal(Signal::SIGCONT).unwrap();
    let is_whole = begun.read(&mut text, 65).await;
    let continued = probe(server.address()).await;

    assert_eq!(paused, (true, None));
    assert!(is_silent);
    assert_eq!(is_whole, Some(true));
    assert!(continued.1.unwrap().contains("\"born\":1700000000000"));
    server.close().await.unwrap();
}

#[tokio::test]
async fn a_parent_accepts_while_no_worker_runs_and_the_next_worker_answers() {
    let server = start(with_workers(1, Some(Duration::from_millis(600)))).await;
    let before = server.workers().unwrap();
    let mut text = Vec::new();
    let mut begun = begin_stream(&server, "r-1").await;
    begun.read(&mut text, 2).await;

    server.signal_worker(&before[0], Signal::SIGKILL).unwrap();
    let is_whole = begun.read(&mut text, 64).await;
    let mut waiting = TcpStream::connect(server.address()).await.unwrap();
    let at_once = ask(&mut waiting, "/api/report").await;
    let mut later = None;
    for _ in 0..20 {
        later = later.or(read(&mut waiting).await);
    }
    let after = server.workers().unwrap();

    assert_eq!(is_whole, Some(false));
    assert_eq!(at_once, None);
    // The connection was opened before the worker began that answers on it.
    assert!(later.unwrap().contains("\"born\":1700000000001"));
    let numbers = |workers: &[LogOwner]| -> Vec<_> { workers.iter().map(|it| it.worker).collect() };
    assert_eq!(numbers(&before), [Some(0)]);
    assert_eq!(numbers(&after), [Some(1)]);
    let runs = server.runs().unwrap();
    assert!(runs.len() == 1 && text_of(&runs[0]).starts_with(&text));
    server.close().await.unwrap();
}

#[tokio::test]
async fn a_parent_whose_worker_is_not_replaced_accepts_for_good() {
    let server = start(with_workers(1, None)).await;
    let workers = server.workers().unwrap();

    server.signal_worker(&workers[0], Signal::SIGKILL).unwrap();
    let mut answers = Vec::new();
    for _ in 0..3 {
        answers.push(probe(server.address()).await);
    }

    assert_eq!(answers, vec![(true, None); 3]);
    assert!(server.workers().unwrap().is_empty());
    server.close().await.unwrap();
}

/// Waits until the server has this number of workers.
async fn wait_for_workers(server: &ServerProcess, count: usize) -> Vec<LogOwner> {
    let end = Instant::now() + LIMIT;
    loop {
        let workers = server.workers().unwrap();
        if workers.len() == count {
            return workers;
        }
        assert!(Instant::now() < end, "{workers:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_report_is_of_the_worker_that_wrote_or_of_another_one() {
    for (has_own_born, born) in [(true, 1_700_000_000_001_u64), (false, 1_700_000_000_000)] {
        let mut options = with_workers(2, None);
        options.workers.as_mut().unwrap().has_own_born = has_own_born;
        let server = start(options).await;
        let workers = wait_for_workers(&server, 2).await;

        server.signal_worker(&workers[0], Signal::SIGKILL).unwrap();
        wait_for_workers(&server, 1).await;
        let report = probe(server.address()).await.1.unwrap();

        assert!(report.contains(&format!("\"born\":{born}")), "{report}");
        assert!(report.contains("currantbend-instance-id: i-e1\r\n"));
        server.close().await.unwrap();
    }
}

#[tokio::test]
async fn workers_whose_parent_is_killed_end_and_free_the_address() {
    let server = start(with_workers(2, Some(Duration::ZERO))).await;
    let workers = wait_for_workers(&server, 2).await;

    let worker = Pid::from_raw(workers[0].process.try_into().unwrap());
    // The first process of the server gives the group its number.
    kill(getpgid(Some(worker)).unwrap(), Signal::SIGKILL).unwrap();
    server.wait_for_exit().await.unwrap();
    server.restart(server.options()).await.unwrap();

    let next = wait_for_workers(&server, 2).await;
    assert!(next.iter().all(|worker| !workers.contains(worker)));
    server.close().await.unwrap();
}

#[tokio::test]
async fn a_stopped_server_finishes_what_it_runs_and_listens_no_more() {
    for workers in [None, with_workers(2, Some(Duration::ZERO)).workers] {
        let server = start(ReplicaOptions {
            workers,
            event_counts: 20..=20,
            ..options()
        })
        .await;
        let mut text = Vec::new();
        let mut begun = begin_stream(&server, "r-1").await;
        begun.read(&mut text, 2).await;

        server.signal(Signal::SIGTERM).unwrap();
        let is_whole = begun.read(&mut text, 21).await;
        server.wait_for_exit().await.unwrap();

        assert_eq!(is_whole, Some(true));
        assert_eq!(probe(server.address()).await, (false, None));
        assert!(server.runs().unwrap()[0].written.is_ended);
        server.close().await.unwrap();
    }
}

#[tokio::test]
async fn a_stopped_server_closes_what_takes_longer_than_its_drain_time() {
    let server = start(ReplicaOptions {
        drain_time: Duration::from_millis(50),
        ..options()
    })
    .await;
    let mut text = Vec::new();
    let mut begun = begin_stream(&server, "r-1").await;
    begun.read(&mut text, 2).await;

    server.signal(Signal::SIGTERM).unwrap();
    let is_whole = begun.read(&mut text, 64).await;
    server.wait_for_exit().await.unwrap();

    assert_eq!(is_whole, Some(false));
    assert!(text_of(&server.runs().unwrap()[0]).starts_with(&text));
    server.close().await.unwrap();
}

#[tokio::test]
async fn a_server_is_back_at_its_address_under_another_name_and_start() {
    let server = start(options()).await;
    let address = server.address();
    for number in 1..=5 {
        let options = ReplicaOptions {
            id: format!("i-{number}"),
            born: 1_800_000_000_000 - number,
            version: format!("v{number}"),
            ..server.options()
        };

        server.signal(Signal::SIGKILL).unwrap();
        server.restart(options).await.unwrap();
        let report = probe(address).await.1.unwrap();

        assert_eq!(server.address(), address);
        assert!(report.contains(&format!("\"born\":{}", server.options().born)));
        assert!(report.contains(&format!("currantbend-instance-id: i-{number}\r\n")));
        let entry = String::from_utf8(server.entry("llm", "north", "ready", 2)).unwrap();
        assert!(entry.contains(&format!("\"version\":\"v{number}\"")));
    }
    server.close().await.unwrap();
}
