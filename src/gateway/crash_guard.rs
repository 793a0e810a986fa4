//! Holds back a request whose prompt has a part that crashes servers, and reports what the request shows about its parts.

use super::choice::Target;
use super::exchange::Exchange;
use super::refusal::Refusal;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::PartId;
use crate::decide::PartVerdict;
use crate::decide::PromptPart;
use crate::decide::RetryAfter;
use crate::decide::Suspect;
use hyper::StatusCode;
use std::time::Duration;

/// Time for which a server must live on after it has begun to answer, so that the request counts as sound: it covers a
/// first event that leaves just before the crash.
const SOUND_TIME: Duration = Duration::from_millis(50);

/// Time over which bytes must arrive to show that a server was alive at its beginning: after a pause of this process, those
/// that a crashed server had sent are read all at once.
const LIFE_INTERVAL: Duration = Duration::from_millis(100);

/// One send of a request.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) server: BackendServer,
    /// Load of the server as known before the send, in multiples of its slots.
    pub(super) load_per_slot: f64,
    pub(super) at: BootInstant,
    /// Whether the server got the request for the first time.
    pub(super) is_first: bool,
    /// When the first event or the whole answer arrived.
    began_at: Option<BootInstant>,
    /// Whether the answer has been reported as a sign that its parts are sound.
    is_reported: bool,
    /// When something arrived from it, at intervals of [`LIFE_INTERVAL`] at least.
    seen_at: Option<BootInstant>,
}

impl Sent {
    /// Returns a send to `target` that starts now.
    pub(super) fn new(target: &Target, is_first: bool) -> Self {
        Self {
            server: target.server.clone(),
            load_per_slot: target.load_per_slot,
            at: BootInstant::now(),
            is_first,
            began_at: None,
            is_reported: false,
            seen_at: None,
        }
    }
}

/// The part of an exchange that has to do with crashes of servers.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashGuard {
    /// Parts of the prompt that other requests may share; the last part is the request's own.
    shared_parts: Vec<PartId>,
    /// The send whose answer is passed on.
    sent: Option<Sent>,
    /// Whether the request was let through to find out whether a held part still crashes servers.
    is_trial: bool,
    has_crashed_server: bool,
}

impl CrashGuard {
    pub(super) fn new(parts: &[PromptPart]) -> Self {
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        Self {
            shared_parts: shared.iter().map(|part| part.id).collect(),
            ..Self::default()
        }
    }

    /// Returns whether the request may crash its server, so that it is sent where it does least harm.
    pub(super) fn is_trial(&self) -> bool {
        self.is_trial
    }

    /// Returns whether a server crashed under the request, so that no further one gets it.
    pub(super) fn has_crashed_server(&self) -> bool {
        self.has_crashed_server
    }

    /// Records that a server crashed under the request.
    pub(super) fn record_crash(&mut self) {
        self.has_crashed_server = true;
    }

    /// Returns the send whose answer is passed on, if there is one.
    pub(super) fn sent(&self) -> Option<&Sent> {
        self.sent.as_ref()
    }

    /// Records that the answer to `sent` is passed on.
    pub(super) fn set_sent(&mut self, sent: Sent) {
        self.sent = Some(sent);
    }
}

impl Exchange {
    /// Refuses the request if one of its parts is held, unless this is the held part's trial.
    pub(super) async fn check_parts(&mut self) -> Result<(), Refusal> {
        if self.crash_guard.shared_parts.is_empty() {
            return Ok(());
        }
        let quarantine = &self.gateway.quarantine;
        if !quarantine.is_loaded() {
            return Err(self.no_server_refusal("held parts not known yet"));
        }
        match quarantine.verdict(&self.crash_guard.shared_parts) {
            PartVerdict::Free => Ok(()),
            PartVerdict::Held(part, time) => Err(self.held_refusal(part, time)),
            PartVerdict::TrialDue(part) => {
                let claims = &self.gateway.trial_claims;
                if self.sends == 0 && claims.claim(part).await {
                    self.crash_guard.is_trial = true;
                    return Ok(());
                }
                // Another request, here or elsewhere, is the trial; its result is known within seconds.
                let time = RetryAfter::SERVICE_FULL.delay(self.salt, self.time_left());
                Err(self.held_refusal(part, time))
            }
        }
    }

    fn held_refusal(&self, part: PartId, time: Duration) -> Refusal {
        let cause = "prompt part held";
        let refusal = if self.may_have_run {
            Refusal::new(StatusCode::BAD_GATEWAY, cause)
        } else {
            Refusal::new(StatusCode::SERVICE_UNAVAILABLE, cause).with_retry_after(time)
        };
        refusal.with_detail(format!("{part:x}"))
    }

    /// Records that the present server has sent events or the whole answer.
    pub(super) fn record_progress(&mut self) {
        let now = BootInstant::now();
        if let Some(sent) = &mut self.crash_guard.sent {
            let began_at = *sent.began_at.get_or_insert(now);
            let seen_at = *sent.seen_at.get_or_insert(now);
            if now.since(seen_at) >= LIFE_INTERVAL {
                sent.seen_at = Some(now);
                let quarantine = &self.gateway.quarantine;
                quarantine.record_alive(&sent.server, sent.at, seen_at);
            }
            if now.since(began_at) >= SOUND_TIME {
                self.record_sound();
            }
        }
    }

    /// Records that the answer of the present server, of which something has arrived, is complete.
    pub(super) fn record_sound(&mut self) {
        let guard = &mut self.crash_guard;
        if let Some(sent) = &mut guard.sent
            && let Some(began_at) = sent.began_at
            && !sent.is_reported
        {
            sent.is_reported = true;
            let quarantine = &self.gateway.quarantine;
            quarantine.record_sound(&guard.shared_parts, began_at);
        }
    }

    /// Returns whether the server of `sent` broke off because it crashed as it began to answer this request or before;
    /// the other gateways then learn of it. Such a request is not sent to another server: it may be the one that crashed
    /// it.
    pub(super) async fn has_crashed_server(&self, sent: &Sent) -> bool {
        if self.crash_guard.shared_parts.is_empty() {
            return false;
        }
        let now = BootInstant::now();
        let has_begun = sent
            .began_at
            .is_some_and(|began_at| now.since(began_at) >= SOUND_TIME);
        if has_begun || self.gateway.is_leaving(&sent.server, now) {
            return false;
        }
        let suspect = Suspect {
            request: self.salt,
            parts: self.crash_guard.shared_parts.clone(),
            sent_at: sent.at,
        };
        let quarantine = &self.gateway.quarantine;
        let (listed, _) = self.gateway.catalog.servers();
        quarantine
            .report_break(&sent.server, suspect, &listed)
            .await
    }
}
