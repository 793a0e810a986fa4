//! Tickets: keys that a process issues itself, for work while the log is down or cut off.
//!
//! A ticket names the process that issued it, and only that process, from its memory, may ever run it. So no agreement
//! is needed, and where the process is gone nobody runs it any more.

use super::Fingerprint;
use super::Run;
use super::Settings;
use super::stored_outcome::StoredOutcome;
use crate::hop::mac;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use crate::settings::DeploymentKey;
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use uuid::Uuid;

/// What every ticket begins with.
const PREFIX: &str = "ticket";

/// A ticket that its text and code agree on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Name of the node that issued it.
    pub node: String,
    incarnation: Uuid,
    issued_ms: u64,
    serial: u64,
}

impl Ticket {
    /// Reads a ticket of the team `team`; nothing where it was not issued by a node that knows `key`.
    pub fn parse(text: &str, team: &str, key: &DeploymentKey) -> Option<Self> {
        let (signed, code) = text.rsplit_once('.')?;
        let code = BASE64_URL_SAFE_NO_PAD.decode(code).ok()?;
        if !mac::is_valid(key, message(signed, team).as_bytes(), &code) {
            return None;
        }
        // A node's name may hold dots, the other parts don't.
        let mut parts = signed.rsplitn(4, '.');
        let serial = parts.next()?.parse().ok()?;
        let issued_ms = parts.next()?.parse().ok()?;
        let incarnation = Uuid::parse_str(parts.next()?).ok()?;
        let node = parts.next()?.strip_prefix(PREFIX)?.strip_prefix('.')?;
        Some(Self {
            node: node.to_owned(),
            incarnation,
            issued_ms,
            serial,
        })
    }

    /// Tells whether a key's text means to be a ticket.
    pub fn has_ticket_prefix(text: &str) -> bool {
        text.starts_with(PREFIX)
    }
}

/// What the code of a ticket is made over; the team is in it, so that no other team can redeem it.
fn message(signed: &str, team: &str) -> String {
    format!("{signed}\0{team}")
}

/// What became of a redeemed ticket.
#[derive(Debug)]
struct Redeemed {
    issued_ms: u64,
    fingerprint: Fingerprint,
    /// How the call ended; nothing while it runs.
    ended: Option<StoredOutcome>,
}

/// The tickets of this process.
pub struct Tickets {
    core: Arc<Core>,
    node: String,
    key: DeploymentKey,
    next: AtomicU64,
}

struct Core {
    incarnation: Uuid,
    /// Start of the process, from which tickets count their time on its monotonic clock.
    began: Instant,
    ttl: Duration,
    max_tickets: usize,
    max_stored_bytes: usize,
    // A hash map, since a node may remember many thousands.
    redeemed: Mutex<HashMap<u64, Redeemed>>,
}

impl Tickets {
    /// Makes the tickets of the node named `node`; those of an earlier process are not known any more.
    pub fn new(node: &str, key: &DeploymentKey, settings: &Settings) -> Self {
        Self {
            core: Arc::new(Core {
                incarnation: Uuid::new_v4(),
                began: Instant::now(),
                ttl: settings.ticket_ttl,
                max_tickets: settings.max_tickets,
                max_stored_bytes: settings.max_stored_bytes,
                redeemed: Mutex::default(),
            }),
            node: node.to_owned(),
            key: key.clone(),
            next: AtomicU64::new(1),
        }
    }

    /// Issues a ticket to `team`; it costs no memory until it is redeemed.
    pub fn issue(&self, team: &str) -> String {
        let Core { incarnation, .. } = *self.core;
        let issued = self.core.now_ms();
        let serial = self.next.fetch_add(1, Ordering::Relaxed);
        let signed = format!("{PREFIX}.{}.{incarnation}.{issued}.{serial}", self.node);
        let code = mac::code(&self.key, message(&signed, team).as_bytes());
        format!("{signed}.{}", BASE64_URL_SAFE_NO_PAD.encode(code))
    }

    /// Time within which a ticket must be redeemed.
    pub fn ttl(&self) -> Duration {
        self.core.ttl
    }

    /// Runs the call of a ticket that this process issued, or gives the answer that it got before.
    ///
    /// # Errors
    ///
    /// Tells whether the call certainly did not run.
    pub async fn redeem(
        &self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        run: Arc<dyn Run>,
    ) -> Result<Answer, Refusal> {
        if ticket.incarnation != self.core.incarnation {
            return Err(Refusal::unknown(Unknown::ClaimerLost));
        }
        if let Some(repeat) = self.core.begin(ticket, fingerprint) {
            return repeat;
        }
        let core = Arc::clone(&self.core);
        let serial = ticket.serial;
        let ended = tokio::spawn(async move { core.run(serial, &*run).await });
        ended
            .await
            .unwrap_or(Err(Refusal::unknown(Unknown::ConnectionLost)))
    }
}

impl Core {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Marks the ticket as running; where it may not run, gives what its caller gets.
    fn begin(&self, ticket: &Ticket, fingerprint: Fingerprint) -> Option<Result<Answer, Refusal>> {
        let ttl = u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX);
        let mut redeemed = self.lock();
        let now = self.now_ms();
        redeemed.retain(|_, one| one.is_kept(now, ttl));
        if let Some(known) = redeemed.get(&ticket.serial) {
            return Some(known.retry_result(&fingerprint));
        }
        let age = now.saturating_sub(ticket.issued_ms);
        if age > 2 * ttl {
            return Some(Err(Refusal::unknown(Unknown::Expired)));
        }
        if age > ttl {
            return Some(Err(Refusal::not_run(NotRun::TicketExpired)));
        }
        if redeemed.len() >= self.max_tickets {
            return Some(Err(Refusal::not_run(NotRun::QueueFull)));
        }
        let running = Redeemed {
            issued_ms: ticket.issued_ms,
            fingerprint,
            ended: None,
        };
        redeemed.insert(ticket.serial, running);
        None
    }

    async fn run(&self, serial: u64, run: &dyn Run) -> Result<Answer, Refusal> {
        let answer = match run.run().await {
            Ok(answer) => StoredOutcome::capture(answer, self.max_stored_bytes).await,
            Err(refusal) => Err(refusal),
        };
        let mut redeemed = self.lock();
        let stored = match &answer {
            Ok((_, stored)) => stored.clone(),
            Err(Refusal::Unknown { reason }) => StoredOutcome::Unknown(*reason),
            Err(Refusal::NotRun { .. }) => {
                redeemed.remove(&serial);
                return answer.map(|(answer, _)| answer);
            }
        };
        if let Some(known) = redeemed.get_mut(&serial) {
            known.ended = Some(stored);
        }
        answer.map(|(answer, _)| answer)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Redeemed>> {
        self.redeemed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Redeemed {
    /// A ticket is remembered while it runs, and for as long as it would be refused as not redeemed.
    fn is_kept(&self, now: u64, ttl: u64) -> bool {
        self.ended.is_none() || now.saturating_sub(self.issued_ms) <= 2 * ttl
    }

    fn retry_result(&self, fingerprint: &Fingerprint) -> Result<Answer, Refusal> {
        if self.fingerprint != *fingerprint {
            return Err(Refusal::not_run(NotRun::KeyReused));
        }
        self.ended.as_ref().map_or(
            Err(Refusal::unknown(Unknown::KeyRunning)),
            StoredOutcome::retry_result,
        )
    }
}
