//! Tickets: keys issued by a process itself, for calls while the log is down or can't be reached.
//!
//! A ticket contains the incarnation of the process that issued it. Only that process may run the ticket's call, and it
//! stores the redeemed tickets in memory, so no agreement between nodes is needed. After the process has ended, nothing
//! runs the call any more.

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

/// Text at the start of every ticket.
const TICKET_PREFIX: &str = "ticket";

/// A ticket whose message authentication code was verified.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Name of the node that issued the ticket.
    pub node: String,
    incarnation: Uuid,
    issued_ms: u64,
    serial: u64,
}

impl Ticket {
    /// Parses a ticket of the team `team`. Returns `None` if it is malformed, or was not issued for this team by a node
    /// that has `key`.
    pub fn parse(text: &str, team: &str, key: &DeploymentKey) -> Option<Self> {
        let (signed, code) = text.rsplit_once('.')?;
        let code = BASE64_URL_SAFE_NO_PAD.decode(code).ok()?;
        if !mac::is_valid(key, signed_message(signed, team).as_bytes(), &code) {
            return None;
        }
        // Splits from the end, because only the node's name may contain dots.
        let mut parts = signed.rsplitn(4, '.');
        let serial = parts.next()?.parse().ok()?;
        let issued_ms = parts.next()?.parse().ok()?;
        let incarnation = Uuid::parse_str(parts.next()?).ok()?;
        let node = parts
            .next()?
            .strip_prefix(TICKET_PREFIX)?
            .strip_prefix('.')?;
        Some(Self {
            node: node.to_owned(),
            incarnation,
            issued_ms,
            serial,
        })
    }

    /// Returns whether `text` starts like a ticket, so that it is not an idempotency key.
    pub fn has_ticket_prefix(text: &str) -> bool {
        text.starts_with(TICKET_PREFIX)
    }
}

/// Returns the message that a ticket's code authenticates. It contains the team, so that no other team can redeem the
/// ticket.
fn signed_message(signed: &str, team: &str) -> String {
    format!("{signed}\0{team}")
}

/// A redeemed ticket with the outcome of its call.
#[derive(Debug)]
struct RedeemedTicket {
    issued_ms: u64,
    fingerprint: Fingerprint,
    /// Outcome of the call; `None` while it runs.
    outcome: Option<StoredOutcome>,
}

/// Issues and redeems the tickets of this process.
pub struct Tickets {
    core: Arc<Core>,
    node: String,
    key: DeploymentKey,
    next_serial: AtomicU64,
}

struct Core {
    incarnation: Uuid,
    /// Start time of the process by its monotonic clock; the times in tickets are relative to it.
    started_at: Instant,
    ttl: Duration,
    max_tickets: usize,
    max_stored_bytes: usize,
    // A hash map, because a node may store many thousands of tickets.
    redeemed: Mutex<HashMap<u64, RedeemedTicket>>,
}

impl Tickets {
    /// Creates the tickets of the node named `node` for a new incarnation. Tickets of an earlier process can't be
    /// redeemed.
    pub fn new(node: &str, key: &DeploymentKey, settings: &Settings) -> Self {
        Self {
            core: Arc::new(Core {
                incarnation: Uuid::new_v4(),
                started_at: Instant::now(),
                ttl: settings.ticket_ttl,
                max_tickets: settings.max_tickets,
                max_stored_bytes: settings.max_stored_bytes,
                redeemed: Mutex::default(),
            }),
            node: node.to_owned(),
            key: key.clone(),
            next_serial: AtomicU64::new(1),
        }
    }

    /// Issues a ticket to `team`. It takes no memory before it is redeemed.
    pub fn issue(&self, team: &str) -> String {
        let Core { incarnation, .. } = *self.core;
        let issued = self.core.now_ms();
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        let signed = format!(
            "{TICKET_PREFIX}.{}.{incarnation}.{issued}.{serial}",
            self.node
        );
        let code = mac::code(&self.key, signed_message(&signed, team).as_bytes());
        format!("{signed}.{}", BASE64_URL_SAFE_NO_PAD.encode(code))
    }

    /// Returns the time within which a ticket must be redeemed.
    pub fn ttl(&self) -> Duration {
        self.core.ttl
    }

    /// Runs the call of a ticket that this process issued, or returns the outcome of the ticket's earlier call. The
    /// call continues if the caller stops waiting.
    ///
    /// # Errors
    ///
    /// The refusal says whether the call certainly did not run.
    pub async fn redeem(
        &self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        run: Arc<dyn Run>,
    ) -> Result<Answer, Refusal> {
        if ticket.incarnation != self.core.incarnation {
            return Err(Refusal::unknown(Unknown::ClaimerLost));
        }
        if let Some(result) = self.core.begin_redeem(ticket, fingerprint) {
            return result;
        }
        let core = Arc::clone(&self.core);
        let serial = ticket.serial;
        let running = tokio::spawn(async move { core.run(serial, &*run).await });
        running
            .await
            .unwrap_or(Err(Refusal::unknown(Unknown::ConnectionLost)))
    }
}

impl Core {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Marks the ticket as running and returns `None`, or returns the result for the caller if the call must not run.
    fn begin_redeem(
        &self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
    ) -> Option<Result<Answer, Refusal>> {
        let ttl = u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX);
        let mut redeemed = self.lock();
        let now = self.now_ms();
        redeemed.retain(|_, known| known.is_retained(now, ttl));
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
        let running = RedeemedTicket {
            issued_ms: ticket.issued_ms,
            fingerprint,
            outcome: None,
        };
        redeemed.insert(ticket.serial, running);
        None
    }

    /// Runs the call and stores its outcome. A ticket whose call certainly did not run may be redeemed again.
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
            known.outcome = Some(stored);
        }
        answer.map(|(answer, _)| answer)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, RedeemedTicket>> {
        self.redeemed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RedeemedTicket {
    /// Returns whether the ticket must stay in memory: while its call runs, and up to the age `2 * ttl`. Up to that age
    /// a ticket that is not in memory counts as not run: its call is run up to the age `ttl`, and rejected as certainly
    /// not run after it.
    fn is_retained(&self, now: u64, ttl: u64) -> bool {
        self.outcome.is_none() || now.saturating_sub(self.issued_ms) <= 2 * ttl
    }

    fn retry_result(&self, fingerprint: &Fingerprint) -> Result<Answer, Refusal> {
        if self.fingerprint != *fingerprint {
            return Err(Refusal::not_run(NotRun::KeyReused));
        }
        self.outcome.as_ref().map_or(
            Err(Refusal::unknown(Unknown::KeyRunning)),
            StoredOutcome::retry_result,
        )
    }
}
