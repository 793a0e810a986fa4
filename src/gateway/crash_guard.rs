//! Holds back a request that crashes servers, or whose prompt has a part that does, and reports what the request shows about
//! both.

use super::choice::Target;
use super::exchange::Exchange;
use super::refusal::Refusal;
use super::request_identity::whole_request_id;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::PartId;
use crate::decide::PartVerdict;
use crate::decide::PromptPart;
use crate::decide::RetryAfter;
use crate::decide::Suspect;
use hyper::StatusCode;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

/// Time for which a server must live on after it has begun to answer, so that the request counts as sound: it covers a
/// first event that leaves just before the crash.
const SOUND_TIME: Duration = Duration::from_millis(50);

/// Time over which bytes must arrive to show that a server was alive at its beginning: after a pause of this process, those
/// that a crashed server had sent are read all at once.
const LIFE_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a request that may go on at another server waits until it is known whether its server has crashed.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(50);

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
    /// Identifies the whole request; computed when something is suspect, since it takes a digest of the body.
    whole: OnceLock<PartId>,
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
    /// Refuses the request if it or one of its parts is held, unless this is the trial of what is held.
    pub(super) async fn check_held(&mut self) -> Result<(), Refusal> {
        let quarantine = &self.gateway.quarantine;
        if !quarantine.is_loaded() {
            return Err(self.no_server_refusal("held parts not known yet"));
        }
        if !quarantine.is_active() {
            return Ok(());
        }
        let mut ids = self.crash_guard.shared_parts.clone();
        ids.push(self.whole_id());
        match quarantine.verdict(&ids) {
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

    /// Returns what identifies the whole request, also when its caller sends it again.
    fn whole_id(&self) -> PartId {
        let team = self.team.as_deref();
        *self
            .crash_guard
            .whole
            .get_or_init(|| whole_request_id(&self.outbound, team, &self.metadata.parts))
    }

    fn held_refusal(&self, part: PartId, time: Duration) -> Refusal {
        let is_whole = self.crash_guard.whole.get() == Some(&part);
        let cause = if is_whole {
            "request held"
        } else {
            "prompt part held"
        };
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

    /// Records that the caller gets an answer that came whole.
    pub(super) fn record_whole_answer(&self) {
        let quarantine = &self.gateway.quarantine;
        if quarantine.is_active() {
            quarantine.record_whole_answer(self.whole_id(), BootInstant::now());
        }
    }

    /// Reports that the server of `sent` broke off. If it has crashed, the other gateways learn of it.
    ///
    /// Returns whether the request must not be sent to another server, since a part of its prompt may have crashed this one:
    /// the server had not begun to answer. Otherwise it may go on elsewhere, unless it is held by now.
    pub(super) async fn report_break(&mut self, sent: &Sent) -> bool {
        let now = BootInstant::now();
        self.report.whole = Some(self.whole_id());
        if self.gateway.is_leaving(&sent.server, now) {
            return false;
        }
        let has_begun = sent
            .began_at
            .is_some_and(|began_at| now.since(began_at) >= SOUND_TIME);
        let parts = if has_begun {
            Vec::new()
        } else {
            self.crash_guard.shared_parts.clone()
        };
        let may_go_on = parts.is_empty();
        let suspect = Suspect {
            request: self.salt,
            parts,
            whole: Some(self.whole_id()),
            sent_at: sent.at,
        };
        let gateway = Arc::clone(&self.gateway);
        let server = sent.server.clone();
        // The report goes on if its request doesn't wait for it.
        let report = tokio::spawn(async move {
            let (listed, _) = gateway.catalog.servers();
            gateway
                .quarantine
                .report_break(&server, suspect, &listed)
                .await
        });
        if may_go_on {
            // What the report finds out counts when the next server is chosen.
            let _ = tokio::time::timeout(MAX_REPORT_WAIT, report).await;
            return false;
        }
        // A panic in it has already been reported.
        report.await.unwrap_or_default()
    }
}
