//! The gateway processes of a play.

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use tokio::process::Child;
use tokio::process::Command;

use super::addresses::Addresses;
use super::sheet::Sheet;
use crate::standin::balancer;
use crate::truth::lock;

/// Time after which a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Interval at which processes are looked after.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Gateway {
    child: Option<Child>,
    /// When it was seen that it had ended.
    ended: Option<Instant>,
    /// Number of troubles that keep it from being started again.
    holds: u32,
    /// Whether a signal of the play ended it.
    is_expected: bool,
    /// When it was started last.
    started: Instant,
    is_first_start: bool,
}

/// The gateway processes.
#[derive(Debug)]
pub struct Gateways {
    sheet: Sheet,
    addresses: Addresses,
    program: PathBuf,
    folder: PathBuf,
    /// Data centre of each gateway.
    pub places: Vec<usize>,
    /// Name of each gateway.
    pub names: Vec<String>,
    list: Mutex<Vec<Gateway>>,
    /// What ended without a signal of the play.
    unexpected: Mutex<Vec<(Instant, String)>>,
}

impl Gateways {
    /// Starts the gateways of `sheet` and looks after them from now on. Their settings and logs are in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started or a file can't be written.
    pub fn start(
        sheet: &Sheet,
        addresses: Addresses,
        program: PathBuf,
        folder: PathBuf,
    ) -> io::Result<Arc<Self>> {
        std::fs::create_dir_all(&folder)?;
        let places = sheet.places_of_gateways();
        let mut names = Vec::new();
        for (number, place) in places.iter().enumerate() {
            let before = places[..number].iter().filter(|it| *it == place).count();
            let place = &sheet.data_centres[*place].name;
            names.push(format!("{place}-{}", before + 1));
        }
        let gateways = Arc::new(Self {
            sheet: sheet.clone(),
            addresses,
            program,
            folder,
            places,
            names,
            list: Mutex::default(),
            unexpected: Mutex::default(),
        });
        for number in 0..gateways.places.len() {
            let is_spare = number >= sheet.hosts();
            gateways.write_settings(number, !is_spare)?;
            let child = match is_spare {
                true => None,
                false => Some(gateways.spawn(number)?),
            };
            let gateway = Gateway {
                child,
                ended: None,
                holds: 0,
                is_expected: false,
                started: Instant::now(),
                is_first_start: !is_spare,
            };
            lock(&gateways.list).push(gateway);
        }
        let watched = Arc::downgrade(&gateways);
        tokio::spawn(async move {
            while let Some(gateways) = watched.upgrade() {
                gateways.watch();
                drop(gateways);
                tokio::time::sleep(WATCH_INTERVAL).await;
            }
        });
        Ok(gateways)
    }

    /// Returns whether a gateway is part of the fleet, and not one that may be added.
    pub fn is_member(&self, number: usize) -> bool {
        lock(&self.list)[number].child.is_some()
    }

    /// Adds a gateway to the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub fn add(&self, number: usize) -> io::Result<()> {
        let child = self.spawn(number)?;
        let gateway = &mut lock(&self.list)[number];
        gateway.child = Some(child);
        gateway.started = Instant::now();
        Ok(())
    }

    /// Returns the number of gateways, with those that may be added.
    pub fn count(&self) -> usize {
        self.places.len()
    }

    /// Returns the gateways of a data centre.
    pub fn in_place(&self, place: usize) -> Vec<usize> {
        let all = 0..self.count();
        all.filter(|number| self.places[*number] == place).collect()
    }

    fn write_settings(&self, number: usize, is_first_start: bool) -> io::Result<()> {
        let host = self.addresses.gateway(number);
        let places = &self.sheet.data_centres;
        let place = &places[self.places[number]].name;
        let names: Vec<&str> = places.iter().map(|place| place.name.as_str()).collect();
        let regions = places
            .iter()
            .map(|place| format!("{}:{}", place.name, place.region));
        let regions: Vec<String> = regions.collect();
        let bounds = &self.sheet.bounds;
        let text = format!(
            "[gateway]\nname = {}\ndata_centre = {place}\ndata_centres = {}\nregions = {}\n\
             peer_address = {}\ncaller_address = {host}:8001\nready_address = {host}:8002\n\
             metrics_address = {host}:7350\nstore_address = {}\nfirst_start = {is_first_start}\n\
             [bounds]\nconfig_apply_ms = {}\ndrain_ms = {}\nrevoke_ms = {}\nstrict_revoke = true\n\
             heartbeat_ms = {}\ngrace_s = {}\nretry_window_s = {}\nretry_ratio = {}\nretry_slack = {}\n",
            self.names[number],
            names.join(","),
            regions.join(","),
            self.addresses.peers(number),
            self.addresses.store_link(number),
            bounds.config_apply_ms,
            bounds.drain_ms,
            bounds.revoke_ms,
            bounds.heartbeat_ms,
            bounds.grace_s,
            bounds.retry_window_s,
            bounds.retry_ratio,
            bounds.retry_slack,
        );
        std::fs::write(self.settings_path(number), text)
    }

    fn settings_path(&self, number: usize) -> PathBuf {
        self.folder.join(format!("{}.ini", self.names[number]))
    }

    fn spawn(&self, number: usize) -> io::Result<Child> {
        let mut options = std::fs::File::options();
        let path = self.folder.join(format!("{}.log", self.names[number]));
        let log = options.create(true).append(true).open(path)?;
        Command::new(&self.program)
            .arg("--settings")
            .arg(self.settings_path(number))
            .stderr(log.try_clone()?)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Starts processes again that have ended, unless they are held.
    fn watch(&self) {
        for (number, gateway) in lock(&self.list).iter_mut().enumerate() {
            let Some(child) = &mut gateway.child else {
                continue;
            };
            let Ok(Some(status)) = child.try_wait() else {
                continue;
            };
            if gateway.ended.is_none() {
                gateway.ended = Some(Instant::now());
                if !std::mem::take(&mut gateway.is_expected) {
                    let text = format!("{} ended with {status}", self.names[number]);
                    lock(&self.unexpected).push((Instant::now(), text));
                }
            }
            let is_due = gateway
                .ended
                .is_some_and(|at| at.elapsed() >= RESTART_DELAY);
            if !is_due || gateway.holds > 0 {
                continue;
            }
            if std::mem::take(&mut gateway.is_first_start)
                && let Err(err) = self.write_settings(number, false)
            {
                lock(&self.unexpected).push((Instant::now(), err.to_string()));
            }
            match self.spawn(number) {
                Ok(child) => {
                    gateway.child = Some(child);
                    gateway.ended = None;
                    gateway.started = Instant::now();
                }
                Err(err) => lock(&self.unexpected).push((Instant::now(), err.to_string())),
            }
        }
    }

    /// Sends a signal to a gateway, if it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be sent.
    pub fn signal(&self, number: usize, signal: Signal) -> io::Result<()> {
        let mut list = lock(&self.list);
        let gateway = &mut list[number];
        if gateway.ended.is_some() {
            return Ok(());
        }
        let id = gateway.child.as_ref().and_then(Child::id);
        let Some(id) = id else {
            return Ok(());
        };
        if matches!(signal, Signal::SIGKILL | Signal::SIGTERM) {
            gateway.is_expected = true;
        }
        let id = i32::try_from(id).map_err(io::Error::other)?;
        Ok(kill(Pid::from_raw(id), signal)?)
    }

    /// Keeps a gateway that ends from being started again, until [`Gateways::release`].
    pub fn hold(&self, number: usize) {
        lock(&self.list)[number].holds += 1;
    }

    /// Ends one [`Gateways::hold`].
    pub fn release(&self, number: usize) {
        lock(&self.list)[number].holds -= 1;
    }

    /// Returns whether the process that ran at `since` still runs.
    pub fn is_running_since_before(&self, number: usize, since: Instant) -> bool {
        let list = lock(&self.list);
        list[number].started <= since && list[number].ended.is_none()
    }

    /// Waits until a gateway was started again after `since`, at most for `time`.
    pub async fn wait_for_start(&self, number: usize, since: Instant, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let is_started = {
                let list = lock(&self.list);
                list[number].started > since && list[number].ended.is_none()
            };
            if is_started {
                return;
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
    }

    /// Waits until all gateways are ready; returns the names of those that aren't after `time`.
    pub async fn wait_until_ready(&self, time: Duration) -> Vec<String> {
        let end = Instant::now() + time;
        let all = 0..self.count();
        let mut waiting: Vec<usize> = all.filter(|it| self.is_member(*it)).collect();
        while !waiting.is_empty() && Instant::now() < end {
            let mut left = Vec::new();
            for number in waiting {
                let address = SocketAddr::new(self.addresses.gateway(number), 8002);
                let asking = tokio::time::timeout(WATCH_INTERVAL * 4, balancer::is_ready(address));
                if !asking.await.unwrap_or(false) {
                    left.push(number);
                }
            }
            waiting = left;
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
        let names = waiting.into_iter().map(|number| self.names[number].clone());
        names.collect()
    }

    /// Kills all gateways and returns which processes ended without a signal of the play.
    pub async fn close(&self) -> Vec<(Instant, String)> {
        let children: Vec<Child> = {
            let mut list = lock(&self.list);
            let children = list.iter_mut().filter_map(|gateway| gateway.child.take());
            children.collect()
        };
        for mut child in children {
            // It may have ended already, or be stopped, which doesn't keep it from being killed.
            let _ = child.kill().await;
        }
        std::mem::take(&mut lock(&self.unexpected))
    }
}
