//! Consumers send long bodies, each within the limits of the manifest: 12 at a time, or all at once.

use crate::Case;
use crate::Verdict;
use crate::gateway::Gateway;
use crate::http;
use crate::http::Reader;
use crate::http::wait_until;
use crate::manifest;
use crate::replica::Replica;
use crate::store::Store;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// `max-body-bytes` of the manifest.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Number of long bodies.
const UPLOADS: usize = 72;
/// Number of these at the same time without the disruption.
const CALM_UPLOADS: usize = 12;
/// Time in which a consumer sends a long body; all at once take 0.8 of the machine's link of 1,000 Mbit/s.
const UPLOAD_TIME: Duration = Duration::from_secs(3);
/// Parts in which it is sent.
const PARTS: u32 = 96;
/// `memory-mb` of the machine.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;
/// Number of consumers that keep a channel each and send short requests on it, one after another.
const KEPT: usize = 12;
/// Number of requests on kept channels that may be lost.
const MAX_LOST: usize = 3;

fn head(id: &str, length: usize) -> String {
    format!(
        "POST /once/1 HTTP/1.1\r\nhost: h.example\r\ncurrantbend-request-id: {id}\r\ncurrantbend-deadline-ms: 4000\r\n\
         authorization: Token k1\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Sends a long body at an even pace and returns the status of the answer.
fn upload(callers: SocketAddr, id: &str) -> io::Result<u16> {
    let mut stream = http::connect(callers, Duration::from_secs(1))?;
    stream.write_all(head(id, BODY_BYTES).as_bytes())?;
    let began = Instant::now();
    let mut sent = 0;
    for number in 1..=PARTS {
        let end = BODY_BYTES * number as usize / PARTS as usize;
        stream.write_all(&vec![b'x'; end - sent])?;
        sent = end;
        let due = began + UPLOAD_TIME * number / PARTS;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let mut reader = Reader::new(stream);
    let head = reader.head()?;
    reader.body(&head, true)?;
    Ok(head.status())
}

/// Sends short requests on one channel until `done`; returns how each ended, with whether one was answered on the channel before.
fn keep_asking(
    callers: SocketAddr,
    name: &str,
    done: &AtomicBool,
) -> Vec<(String, bool, io::Result<u16>)> {
    let mut ends = Vec::new();
    let Ok(stream) = http::connect(callers, Duration::from_secs(1)) else {
        return ends;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let (Ok(mut writer), mut reader) = (stream.try_clone(), Reader::new(stream)) else {
        return ends;
    };
    let mut number = 0;
    while !done.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{name}-{number}");
        let asked = writer
            .write_all(format!("{}register", head(&id, 8)).as_bytes())
            .and_then(|()| {
                let head = reader.head()?;
                reader.body(&head, false)?;
                Ok(head.status())
            });
        let is_over = asked.is_err();
        ends.push((id, number > 1, asked));
        if is_over {
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    ends
}

/// Plays the platform: kills a process that exceeds its memory. Returns the most that it used.
fn watch_memory(case: &Case, gateway: &mut Gateway, done: &AtomicBool) -> u64 {
    let mut peak = 0;
    while !done.load(Ordering::Relaxed) {
        let memory = gateway.memory();
        peak = memory.max(peak);
        if memory > MEMORY_BYTES {
            gateway.kill();
            case.note(format!(
                "platform: {} uses {memory} bytes, more than {MEMORY_BYTES}, and is killed",
                gateway.name
            ));
            return peak;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    peak
}

fn start_uploads(
    callers: SocketAddr,
    numbers: std::ops::Range<usize>,
) -> Vec<JoinHandle<(String, io::Result<u16>)>> {
    let start = |number| {
        std::thread::spawn(move || {
            let id = format!("long-{number}");
            let answer = upload(callers, &id);
            (id, answer)
        })
    };
    numbers.map(start).collect()
}

pub fn run(case: &Case) -> Verdict {
    let store = Store::start().expect("the store");
    store.put("keyed.op", "config", &manifest(1, "tenant-one"));
    let _replicas: Vec<Replica> = ["i-1", "i-2", "i-3"]
        .iter()
        .map(|id| Replica::start(id, "register", &case.folder, &store, Duration::from_secs(2)))
        .collect();
    let mut gateway = case.start_gateway("front-1", store.address);
    assert!(
        wait_until(Duration::from_secs(10), || gateway.is_ready()),
        "not ready"
    );
    std::thread::sleep(Duration::from_secs(2));
    let callers = gateway.callers;
    case.note(format!("memory in calm: {} bytes", gateway.memory()));
    let done = Arc::new(AtomicBool::new(false));
    let kept: Vec<_> = (0..KEPT)
        .map(|number| {
            let done = Arc::clone(&done);
            std::thread::spawn(move || keep_asking(callers, &format!("kept-{number}"), &done))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let at_once = if case.has_trouble {
        UPLOADS
    } else {
        CALM_UPLOADS
    };
    case.note(format!("{UPLOADS} bodies of {BODY_BYTES} bytes, {at_once} at a time, each sent within {UPLOAD_TIME:?}"));
    let peak = std::thread::scope(|scope| {
        let watching = scope.spawn(|| watch_memory(case, &mut gateway, &done));
        for first in (0..UPLOADS).step_by(at_once) {
            for sending in start_uploads(callers, first..first + at_once) {
                let (id, answer) = sending.join().expect("a consumer");
                case.note(format!("consumer: {id} ended with {answer:?}"));
            }
        }
        std::thread::sleep(Duration::from_millis(500));
        done.store(true, Ordering::Relaxed);
        watching.join().expect("the watch")
    });
    let ends: Vec<_> = kept
        .into_iter()
        .flat_map(|asking| asking.join().expect("a consumer"))
        .collect();
    let runs = case.note_runs();
    let mut lost = 0;
    for (id, is_kept, end) in &ends {
        case.note(format!("consumer: {id} ended with {end:?}"));
        let has_run = runs
            .iter()
            .any(|line| line.contains(&format!(" run {id} at")));
        if *is_kept && has_run && end.is_err() {
            case.note(format!("{id} was passed on to a replica from a kept channel, which was closed without an answer"));
            lost += 1;
        }
    }
    case.note(format!(
        "most memory: {peak} bytes of {MEMORY_BYTES}; requests lost so: {lost} of {}",
        ends.len()
    ));
    if lost > MAX_LOST {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
