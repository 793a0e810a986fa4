//! Plays a day.

use rand::SeedableRng;
use rand::rngs::StdRng;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;
use tokio::task::JoinSet;

use super::callers::CallerPlace;
use super::callers::CallerRoute;
use super::callers::CallerTrouble;
use super::callers::Callers;
use super::callers::CallersConfig;
use super::day_file::Day;
use super::day_file::Trouble;
use super::fleet::Fleet;
use super::fleet::Programs;
use super::journal::Journal;
use super::record::DayRecord;
use super::sheet::Sheet;
use super::troubles;
use super::troubles::Scene;
use super::troubles::SetKeys;
use crate::truth::lock;

/// Interval at which it is measured how late timers are.
const LATENESS_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for which callers keep idle connections, less than gateways do.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// Time for which callers go on after what strikes at the end.
const RECOVERY: Duration = Duration::from_secs(8);
/// Time after the last trouble that its end may take.
const TROUBLE_SLACK: Duration = Duration::from_secs(15);

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// The deployment.
    pub sheet: Sheet,
    /// Its day.
    pub day: Day,
    /// Decides all that is drawn.
    pub seed: u64,
    /// Programs that are started.
    pub programs: Programs,
    /// Folder for settings, logs and runs.
    pub folder: PathBuf,
}

/// A day that was played.
#[derive(Debug)]
pub struct Played {
    /// What happened.
    pub record: DayRecord,
    /// What the day asks for that can't be played.
    pub not_played: Vec<String>,
    /// Gateways that ended without a signal of the play, with the time since the start of the callers in seconds.
    pub unexpected_ends: Vec<(f64, String)>,
    /// How late timers of this process were at worst while callers sent.
    pub latest_timer: Duration,
}

/// Measures how late the timers of this process are, which says whether the machine has time enough.
async fn measure_lateness(worst: Arc<AtomicU64>) {
    loop {
        let due = Instant::now() + LATENESS_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        let late = due.elapsed().as_millis() as u64;
        worst.fetch_max(late, Relaxed);
    }
}

/// Plays a day and returns what it leaves. `print` is called with what happens, a line each.
///
/// # Errors
///
/// Returns an error if a process can't be started or what it leaves can't be read.
pub async fn play(play: Play, print: &dyn Fn(&str)) -> io::Result<Played> {
    let Play {
        sheet,
        day,
        seed,
        programs,
        folder,
    } = play;
    std::fs::create_dir_all(&folder)?;
    let spoils = |(trouble, _): &(Trouble, bool)| trouble.kind == "garble" && trouble.has("extra");
    let has_answer_links = day.troubles().iter().any(spoils);
    let fleet = Fleet::start(&sheet, &programs, seed, &folder, has_answer_links);
    let fleet = Arc::new(fleet.await?);
    print(&format!(
        "{} gateways and {} servers run",
        fleet.gateways.count(),
        fleet.servers.all().len()
    ));
    let callers = Callers::start(callers_config(&fleet, &day, seed));
    let started = callers.started();
    let callers = Arc::new(Mutex::new(Some(callers)));
    let set_keys: SetKeys = {
        let callers = Arc::clone(&callers);
        Arc::new(move |keys| {
            if let Some(callers) = &*lock(&callers) {
                callers.set_keys(keys);
            }
        })
    };
    let worst = Arc::new(AtomicU64::new(0));
    let measuring = tokio::spawn(measure_lateness(Arc::clone(&worst)));
    let journal = Arc::new(Journal::default());
    let length = Duration::from_secs_f64(day.length_s);
    let mut playing = JoinSet::new();
    for (number, (trouble, is_planned)) in day.troubles().into_iter().enumerate() {
        print(&describe(&trouble));
        let scene = Scene {
            fleet: Arc::clone(&fleet),
            journal: Arc::clone(&journal),
            set_keys: Arc::clone(&set_keys),
            is_planned,
            day_end: started + length,
        };
        let rng = StdRng::seed_from_u64(seed.wrapping_mul(8_191) + number as u64);
        playing.spawn(async move {
            let at = started + Duration::from_secs_f64(trouble.at.max(0.0));
            tokio::time::sleep_until(at.into()).await;
            troubles::play(&scene, &trouble, rng).await;
        });
    }
    tokio::time::sleep_until((started + length).into()).await;
    if let Some(closing) = &day.closing {
        print(&format!(
            "{:6.1} s  {} at the end",
            day.length_s, closing.kind
        ));
        let scene = Scene {
            fleet: Arc::clone(&fleet),
            journal: Arc::clone(&journal),
            set_keys: Arc::clone(&set_keys),
            is_planned: false,
            day_end: Instant::now() + Duration::from_secs_f64(closing.down_s),
        };
        troubles::close(&scene, closing).await;
        tokio::time::sleep(RECOVERY).await;
    }
    let closing = lock(&callers).take();
    let attempts = match closing {
        Some(callers) => callers.close().await,
        None => Vec::new(),
    };
    let ended = Instant::now();
    measuring.abort();
    let ending = async { while playing.join_next().await.is_some() {} };
    if tokio::time::timeout(TROUBLE_SLACK, ending).await.is_err() {
        print("a trouble goes on after the end of the day");
        playing.shutdown().await;
    }
    let (names, configs) = (fleet.gateways.names.clone(), fleet.operator.records());
    let fleet = Arc::into_inner(fleet);
    let fleet = fleet.ok_or_else(|| io::Error::other("a trouble still uses the fleet"))?;
    let left = fleet.close().await?;
    let unexpected_ends = left.unexpected_ends.into_iter();
    let since = |at: Instant| at.saturating_duration_since(started).as_secs_f64();
    let unexpected_ends = unexpected_ends.map(|(at, what)| (since(at), what));
    Ok(Played {
        record: DayRecord {
            sheet: sheet.name.clone(),
            day: day.name,
            seed,
            started,
            ended,
            bounds: sheet.judge_bounds(),
            gateways: names,
            servers: left.servers,
            configs,
            attempts,
            runs: left.runs,
            troubles: journal.troubles(),
        },
        not_played: journal.not_played(),
        unexpected_ends: unexpected_ends.collect(),
        latest_timer: Duration::from_millis(worst.load(Relaxed)),
    })
}

/// Returns who calls the fleet, with what the day has for them.
fn callers_config(fleet: &Fleet, day: &Day, seed: u64) -> CallersConfig {
    let sheet = &fleet.sheet;
    let places = sheet.data_centres.iter().enumerate();
    let places = places.map(|(number, place)| CallerPlace {
        name: place.name.clone(),
        balancer: fleet.addresses.balancer(number),
        rate: place.rate,
    });
    let troubles = day.troubles().into_iter();
    CallersConfig {
        seed,
        host: sheet.hostname(),
        model: "m".to_owned(),
        max_idle: MAX_IDLE,
        places: places.collect(),
        routes: sheet.routes.iter().map(CallerRoute::from).collect(),
        keys: fleet.operator.keys(),
        troubles: troubles
            .filter_map(|(trouble, _)| CallerTrouble::of_entry(&trouble))
            .collect(),
    }
}

/// Returns a line that says what a trouble is.
fn describe(trouble: &Trouble) -> String {
    let mut text = format!("{:6.1} s  {}", trouble.at, trouble.kind);
    for (name, value) in [
        ("for_s", trouble.for_s),
        ("gap_s", trouble.gap_s),
        ("share", trouble.share),
        ("count", trouble.count.map(|count| count as f64)),
        ("x", trouble.x),
    ] {
        if let Some(value) = value {
            text += &format!(" {name} {value}");
        }
    }
    for (name, value) in [
        ("on", &trouble.on),
        ("zone", &trouble.zone),
        ("service", &trouble.service),
        ("class", &trouble.class),
    ] {
        if let Some(value) = value {
            text += &format!(" {name} {value}");
        }
    }
    if !trouble.how.is_empty() {
        text += &format!(" how \"{}\"", trouble.how);
    }
    text
}
