//! What a gateway sees of servers that seem to have crashed, and of those that are lost with them.

use super::record::CrashEvent;
use super::rows::RecordSource;
use super::state::Quarantine;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::Crash;
use crate::decide::Hold;
use crate::decide::Incarnation;
use crate::decide::PartId;
use crate::decide::Sight;
use crate::decide::Sighting;
use crate::decide::Suspect;
use slog::info;
use std::time::Duration;

/// Time for which broken connections to a data centre count as part of the loss of most of its servers.
const COMMON_LOSS_TIME: Duration = Duration::from_secs(1);

impl Quarantine {
    /// Returns whether `incarnation` had crashed or could not be reached any more when a request was sent to it at `sent_at`.
    pub(super) fn was_gone(&self, incarnation: &Incarnation, sent_at: BootInstant) -> bool {
        self.lock().blame.was_gone(incarnation, sent_at)
    }

    /// Returns whether `incarnation` is known to have crashed.
    pub fn is_known_crash(&self, incarnation: &Incarnation) -> bool {
        let state = self.lock();
        let mut crashes = state.blame.crashes().iter();
        crashes.any(|crash| crash.incarnation() == *incarnation)
    }

    /// Records that `incarnation` could not be reached at `at`, when another server had broken off.
    pub(super) fn record_lost(&self, incarnation: Incarnation, at: BootInstant) {
        let sight = Sight::Lost;
        let sighting = Sighting {
            incarnation,
            at,
            sight,
        };
        self.record(CrashEvent::Seen(sighting), RecordSource::Own);
    }

    /// Records that this gateway lost most servers of the data centre of `server` at once.
    pub(super) fn record_common_loss(&self, server: &BackendServer) {
        let data_centre = &server.entry.data_centre;
        info!(self.logs.log(), "servers lost together"; "server" => &server.id, "data_centre" => data_centre);
        let now = BootInstant::now();
        let mut state = self.lock();
        state.common_losses.retain(|known| known.0 != *data_centre);
        state.common_losses.push((data_centre.clone(), now));
    }

    /// Returns whether a connection to a server of `data_centre` that broke at `at` is part of the loss of most of them.
    pub(super) fn has_common_loss(&self, data_centre: &str, at: BootInstant) -> bool {
        let state = self.lock();
        let mut losses = state.common_losses.iter();
        losses.any(|loss| loss.0 == data_centre && at.since(loss.1) < COMMON_LOSS_TIME)
    }

    /// Records that `server` answered a request that was sent at `since`, and still did so at `at`.
    pub fn record_alive(&self, server: &BackendServer, since: BootInstant, at: BootInstant) {
        let incarnation = Incarnation::of(server);
        if self.lock().blame.needs_life(&incarnation, since, at) {
            self.record_sight_of_life(incarnation, since, at);
        }
    }

    /// Records that `incarnation` has renewed its entry on the server list, with its start time, since `at`.
    pub(super) fn record_renewal(&self, incarnation: Incarnation, at: BootInstant) {
        self.record_sight_of_life(incarnation, BootInstant::default(), at);
    }

    fn record_sight_of_life(&self, incarnation: Incarnation, since: BootInstant, at: BootInstant) {
        if self.is_known_crash(&incarnation) {
            info!(self.logs.log(), "server seen alive"; "server" => &incarnation.server);
        }
        let sight = Sight::Alive { since };
        let sighting = Sighting {
            incarnation,
            at,
            sight,
        };
        self.record(CrashEvent::Seen(sighting), RecordSource::Own);
    }

    /// Returns the servers that are taken for crashed, and when each crashed.
    pub(super) fn crashed(&self) -> Vec<(Incarnation, BootInstant)> {
        let state = self.lock();
        let crashes = state.blame.crashes().iter();
        crashes
            .map(|crash| (crash.incarnation(), crash.at))
            .collect()
    }

    /// Returns the incarnations that crashed under a request with `part`, as far as known.
    pub(super) fn crashed_under(&self, part: PartId) -> Vec<Incarnation> {
        self.lock().blame.crashed_under(part)
    }

    /// Returns those of `crashed` whose start time has not been seen since.
    pub(super) fn still_crashed(&self, crashed: &[Incarnation]) -> Vec<Incarnation> {
        let state = self.lock();
        let evidence = state.blame.evidence();
        let still = crashed
            .iter()
            .filter(|incarnation| !evidence.was_seen_again(incarnation));
        still.cloned().collect()
    }

    /// Records a hold from the store and the crashes that it rests on.
    pub(super) fn restore_hold(&self, hold: Hold, crashed: &[Incarnation]) {
        let mut state = self.lock();
        for (incarnation, number) in crashed.iter().zip(0u64..) {
            // Only their order matters: each was sent after the crash before.
            let after = Duration::from_micros(2 * number);
            let at = hold.since.before(Duration::from_millis(1)).plus(after);
            state.blame.record_crash(Crash {
                server: incarnation.server.clone(),
                start_time_ms: incarnation.start_time_ms,
                at,
                suspects: vec![Suspect {
                    request: hold.part.wrapping_add(number),
                    parts: vec![hold.part],
                    whole: None,
                    sent_at: at.before(Duration::from_micros(1)),
                }],
            });
        }
        drop(state);
        self.record_hold(hold);
    }
}
