//! Finds out whether a server that broke off requests has crashed.

use super::state::Quarantine;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::Crash;
use crate::decide::Incarnation;
use crate::decide::LifeSign;
use crate::decide::Suspect;
use crate::decide::is_common_loss;
use async_trait::async_trait;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::future::Shared;
use futures_util::future::join_all;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Timeout for the connection to a server that may have crashed. A server that can't be reached in this time may as well
/// be cut off, so it doesn't count as crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time in which the kernel closes the sockets of a process that was killed. It closes the newest first, so the one that listens
/// still accepts connections for some milliseconds after others have ended.
const CLOSING_TIME: Duration = Duration::from_millis(50);
/// Maximum number of other servers that are tried in the data centre of a crashed one, and in all others together.
const MAX_COMPARED: usize = 12;

/// Tells what runs at a server's address, by its answers: connections are accepted for servers that are gone too
/// (`docs/CRASHING-PARTS.md`).
#[async_trait]
pub trait ServerReach: Send + Sync {
    /// Asks `server` directly which process answers.
    async fn life_sign(&self, server: &BackendServer) -> LifeSign;

    /// Returns whether another gateway reaches `server`, which does not answer here.
    async fn is_reached_by_others(&self, server: &BackendServer) -> bool;
}

/// Result of an attempt to connect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Probe {
    Accepted,
    /// Connections are accepted, but the process that the server's entry names has ended, or the link behind what accepts is cut.
    Gone,
    /// Nothing listens at the address any more, or the link to it is cut.
    Refused,
    Silent,
}

/// A question that is put to a server, and its answer.
pub(super) type Question = (Incarnation, Shared<BoxFuture<'static, LifeSign>>);

impl Quarantine {
    /// Records `suspect`, which `server` has not answered whole, if the server has crashed. Returns whether it has, as far as
    /// can be told now: one that accepts connections may have crashed and be back, which the server list tells later.
    ///
    /// `listed` are the servers that the gateway may use: if many others are lost at the same time, none has crashed under a
    /// request.
    pub async fn report_break(
        &self,
        server: &BackendServer,
        suspect: Suspect,
        listed: &[BackendServer],
    ) -> bool {
        let at = BootInstant::now();
        let incarnation = Incarnation::of(server);
        let mut is_relayed = false;
        if !self.is_known_crash(&incarnation) {
            match self.probe_after_break(server).await {
                Probe::Refused => {}
                Probe::Gone => is_relayed = true,
                Probe::Accepted => {
                    self.record_break(server, suspect, at);
                    return false;
                }
                Probe::Silent => {
                    // If no other gateway reaches it either, it may have ended, and streams don't go on there.
                    self.is_reached_by_others(server).await;
                    return false;
                }
            }
        }
        // Other connections break at the same moment; the first of their reports finds out for all.
        let _turn = self.probing.lock().await;
        if self.was_gone(&incarnation, suspect.sent_at)
            || self.has_common_loss(&server.entry.data_centre, at)
        {
            return false;
        }
        if !self.is_known_crash(&incarnation) && self.is_reached_by_others(server).await {
            self.record_break(server, suspect, at);
            return false;
        }
        if !self.is_known_crash(&incarnation)
            && self
                .has_lost_others(server, &suspect, listed, is_relayed)
                .await
        {
            self.record_common_loss(server);
            return false;
        }
        self.record_crash(Crash {
            server: server.id.clone(),
            start_time_ms: server.entry.start_time_ms,
            at,
            suspects: vec![suspect],
        });
        true
    }

    /// Sets what asks other gateways for servers.
    pub fn set_reach(&self, reach: Arc<dyn ServerReach>) {
        // Can't fail: it is set nowhere else.
        let _ = self.reach.set(reach);
    }

    /// Returns whether another gateway reaches `server`, so that it is this gateway's path that is lost.
    async fn is_reached_by_others(&self, server: &BackendServer) -> bool {
        let Some(reach) = self.reach.get() else {
            return false;
        };
        let asking = reach.is_reached_by_others(server);
        let asked = tokio::time::timeout(PROBE_TIMEOUT, asking).await;
        asked.unwrap_or(false)
    }

    /// Tries other servers at the same time and records the ones that can't be reached either. Returns whether these are
    /// so many, in the data centre of `server` or in all, that their common cause is no request. Servers that are `relayed`
    /// must answer.
    async fn has_lost_others(
        &self,
        server: &BackendServer,
        suspect: &Suspect,
        listed: &[BackendServer],
        relayed: bool,
    ) -> bool {
        let others = listed.iter().filter(|other| other.id != server.id);
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            others.partition(|other| other.entry.data_centre == server.entry.data_centre);
        far.retain(|other| other.entry.service == server.entry.service);
        for others in [&mut near, &mut far] {
            others.retain(|other| !self.is_known_crash(&Incarnation::of(other)));
        }
        let near = sample(&near, suspect.request);
        let far = sample(&far, suspect.request);
        let connecting = near.iter().chain(&far);
        let probing = connecting.map(async |other| match self.probe(other.entry.address).await {
            Probe::Accepted if relayed && self.life_sign(other).await.is_gone() => Probe::Gone,
            probe => probe,
        });
        let probes = join_all(probing).await;
        let at = BootInstant::now();
        for (other, probe) in near.iter().chain(&far).zip(&probes) {
            if *probe != Probe::Accepted {
                self.record_lost(Incarnation::of(other), at);
            }
        }
        let count_lost = |probes: &[Probe]| {
            let lost = probes.iter().filter(|probe| **probe != Probe::Accepted);
            lost.count()
        };
        let near_probes = &probes[..near.len()];
        is_common_loss(count_lost(near_probes), near_probes.len())
            || is_common_loss(count_lost(&probes), probes.len())
    }

    /// Tries to reach `server`, at which a connection has just broken off, until a killed process would refuse it.
    async fn probe_after_break(&self, server: &BackendServer) -> Probe {
        let address = server.entry.address;
        match self.probe(address).await {
            Probe::Accepted => {
                tokio::time::sleep(CLOSING_TIME).await;
                match self.life_sign(server).await {
                    LifeSign::Unreachable => self.probe(address).await,
                    sign if sign.is_gone() => Probe::Gone,
                    _ => Probe::Accepted,
                }
            }
            probe => probe,
        }
    }

    /// Asks `server` which process answers; requests that break off at one crash share a question.
    async fn life_sign(&self, server: &BackendServer) -> LifeSign {
        let Some(reach) = self.reach.get() else {
            return LifeSign::Unreachable;
        };
        let incarnation = Incarnation::of(server);
        let answer = {
            let mut questions = self.lock_questions();
            match questions.iter().find(|asked| asked.0 == incarnation) {
                Some((_, answer)) => answer.clone(),
                None => {
                    let (reach, server) = (Arc::clone(reach), server.clone());
                    let asking = async move { reach.life_sign(&server).await };
                    let answer = asking.boxed().shared();
                    questions.push((incarnation, answer.clone()));
                    answer
                }
            }
        };
        let sign = answer.clone().await;
        let mut questions = self.lock_questions();
        questions.retain(|asked| !asked.1.ptr_eq(&answer));
        sign
    }

    fn lock_questions(&self) -> MutexGuard<'_, Vec<Question>> {
        let questions = self.questions.lock();
        questions.unwrap_or_else(PoisonError::into_inner)
    }

    /// Tries to connect to `address`. A server that only reset a connection still listens.
    async fn probe(&self, address: SocketAddr) -> Probe {
        let connecting = self.connector.connect(address);
        match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
            Ok(Ok(_)) => Probe::Accepted,
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
            Ok(Err(_)) | Err(_) => Probe::Silent,
        }
    }
}

impl Incarnation {
    /// Returns the incarnation that is on the server list.
    pub fn of(server: &BackendServer) -> Self {
        Self {
            server: server.id.clone(),
            start_time_ms: server.entry.start_time_ms,
        }
    }
}

/// Returns up to [`MAX_COMPARED`] of `servers`, spread over them; gateways take different ones.
fn sample<'a>(servers: &[&'a BackendServer], salt: u64) -> Vec<&'a BackendServer> {
    let count = servers.len().min(MAX_COMPARED);
    let start = usize::try_from(salt % servers.len().max(1) as u64).unwrap_or(0);
    (0..count)
        .map(|number| servers[(start + number * servers.len() / count) % servers.len()])
        .collect()
}
