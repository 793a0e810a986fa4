//! Has a request answered by one server after another, within the limits of attempts, time and retry budget, and keeps
//! the sends that are silent beside the next one. [`crate::decide::failover_step`] decides what follows each event.

use super::choice::Target;
use super::crash_guard::Sent;
use super::delivery::Delivery;
use super::delivery::SendEnd;
use super::delivery::ServerSend;
use super::exchange::Exchange;
use super::exchange::MIN_TIME_LEFT;
use super::life_sign::Question;
use super::progress::Progress;
use super::race::PendingSend;
use super::race::Race;
use super::race::RaceEvent;
use super::race::SilenceLimits;
use super::refusal::Refusal;
use super::send_gate::SendPermit;
use super::stream_version::StreamVersion;
use crate::catalog::BackendServer;
use crate::catalog::RetryMode;
use crate::clock::BootInstant;
use crate::decide::FailoverStep;
use crate::decide::FailoverView;
use crate::decide::RestView;
use crate::decide::RetryNeed;
use crate::decide::SendState;
use crate::decide::asks_for_rest;
use crate::decide::failover_step;
use hyper::StatusCode;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::time::Instant;

/// A request is refused after this number of sends that did not reach the chosen server: it was unreachable, another
/// server had its address, or the catalog state became stale before the send. In none of these cases
/// did the request run.
const MAX_UNDELIVERED_SENDS: u32 = 4;
/// Limit for the time without a response head in multiples of the latency target: a retryable request is then sent to
/// another server as well. Healthy servers of the reference workload respond earlier even at twice their usual load.
/// For a resumable stream, the limit for the time without an event is the same multiple of its gap target.
const SILENCE_FACTOR: u32 = 3;
/// Lower bound of both limits.
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(600);
/// Maximum number of sends of a request to the same server, which gets it again only if it was released before.
const MAX_SENDS_TO_SERVER: usize = 2;
/// Time for which the end of a stream waits for the server's word that nothing follows.
const REST_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of connections to a server of a service that is not in the configuration any more.
const DEFAULT_MAX_CONNECTIONS: u32 = 64;

/// How the request ends if no pending send is answered.
enum Outcome {
    Failure(Box<FailedSend>),
    Refused(Refusal),
}

/// A send that was answered with a failure of the server.
struct FailedSend {
    sent: Sent,
    delivery: Delivery,
}

/// Returns what stands after `result`. A server's own failure tells the caller more than a refusal. Of refusals the newest
/// stands, since it depends on all sends until then.
fn newest(outcome: Option<Outcome>, result: Outcome) -> Option<Outcome> {
    match (&result, outcome) {
        (Outcome::Refused(_), Some(failure @ Outcome::Failure(_))) => Some(failure),
        _ => Some(result),
    }
}

impl Exchange {
    /// Sends the request to one server after another until a response can be passed on. `resume_after` is the id of the
    /// last event that the caller has received, for a stream that goes on at another server. `race` holds the sends that
    /// may still be answered.
    pub(super) async fn next_delivery(
        &mut self,
        resume_after: Option<u64>,
        mut race: Race,
    ) -> Result<Delivery, Refusal> {
        let mut needs_send = race.is_empty();
        let mut outcome = None;
        loop {
            if needs_send {
                match self.start_send(resume_after).await {
                    Ok(send) => race.push(send),
                    Err(refusal) => {
                        self.return_unused_retry();
                        outcome = newest(outcome, Outcome::Refused(refusal));
                    }
                }
            }
            if race.is_empty() {
                return self.conclude(outcome);
            }
            let limits = self.silence_limits();
            let event = race.next(limits, &self.gateway.pool).await;
            let state = match event {
                RaceEvent::Silent { is_first } => {
                    if is_first {
                        self.count_send("silent");
                    }
                    SendState::Silent
                }
                RaceEvent::Ended(sent, end) => match self.judge(sent, end, resume_after).await {
                    Ok(delivery) => {
                        self.release(race.close());
                        return Ok(delivery);
                    }
                    Err((state, result)) => {
                        outcome = newest(outcome, result);
                        state
                    }
                },
            };
            let view = self.failover_view(!race.is_empty());
            let step = failover_step(state, &view, |need| self.take_from_budget(need));
            needs_send = step == FailoverStep::Send;
            if state == SendState::Failed && step != FailoverStep::GiveUp {
                self.count_send("failed");
            }
        }
    }

    /// Returns whether a request whose server broke off may be sent to another one; if so, the retry is taken from the
    /// budget.
    pub(super) fn take_retry(&mut self) -> bool {
        let view = self.failover_view(false);
        let step = failover_step(SendState::Broken, &view, |need| self.take_from_budget(need));
        step == FailoverStep::Send
    }

    /// Returns a delivery that can be passed on, or how the send ended and the outcome if no other is answered.
    async fn judge(
        &mut self,
        sent: Box<Sent>,
        end: SendEnd,
        resume_after: Option<u64>,
    ) -> Result<Delivery, (SendState, Outcome)> {
        let refused = |state, refusal| Err((state, Outcome::Refused(refusal)));
        match end {
            SendEnd::Delivered(delivery, rate_limit) => {
                self.may_have_run = true;
                self.report.record_rate_limit(rate_limit);
                let Delivery::Whole(response) = &delivery else {
                    self.crash_guard.set_sent(*sent);
                    return Ok(delivery);
                };
                let status = response.head.status;
                if resume_after.is_some() {
                    let refusal = Refusal::new(StatusCode::BAD_GATEWAY, "resuming failed");
                    let refusal = refusal.with_detail(format!("status {status}"));
                    return refused(SendState::Failed, refusal);
                }
                if status.is_server_error() {
                    let failed = FailedSend {
                        sent: *sent,
                        delivery,
                    };
                    return Err((SendState::Failed, Outcome::Failure(Box::new(failed))));
                }
                self.crash_guard.set_sent(*sent);
                Ok(delivery)
            }
            SendEnd::NotSent(cause) => {
                self.count_send("not sent");
                self.sends -= u32::from(sent.is_first);
                self.undelivered_sends += 1;
                let refusal = self.no_server_refusal("servers unreachable");
                refused(SendState::NotReached, refusal.with_detail(cause))
            }
            SendEnd::Misdirected => {
                self.count_send("misdirected");
                self.sends -= u32::from(sent.is_first);
                self.undelivered_sends += 1;
                let refusal = self.no_server_refusal("servers replaced");
                refused(SendState::Misdirected, refusal)
            }
            SendEnd::NotRun(status) => {
                self.count_send("not run");
                let refusal = self.overload_refusal("turned away by server");
                refused(SendState::NotRun, refusal.with_detail(status.as_str()))
            }
            SendEnd::Broken(cause) => {
                self.may_have_run = true;
                self.count_send("unknown");
                if self.report_break(&sent).await {
                    self.crash_guard.record_crash();
                    let refusal = Refusal::new(StatusCode::BAD_GATEWAY, "server crashed");
                    return refused(SendState::Crashed, refusal.with_detail(cause));
                }
                refused(SendState::Broken, self.lost_refusal("answer lost", &cause))
            }
            SendEnd::Late => {
                self.may_have_run = true;
                self.count_send("late");
                refused(SendState::Late, self.lost_refusal("server silent", ""))
            }
        }
    }

    /// Returns the end of a request of which no send is pending any more.
    fn conclude(&mut self, outcome: Option<Outcome>) -> Result<Delivery, Refusal> {
        match outcome {
            Some(Outcome::Failure(failed)) => {
                self.crash_guard.set_sent(failed.sent);
                Ok(failed.delivery)
            }
            Some(Outcome::Refused(refusal)) => Err(refusal),
            None => Err(self.no_server_refusal("no server")),
        }
    }

    /// Returns a refusal of a request that may have run and whose response is lost.
    fn lost_refusal(&self, cause: &'static str, detail: &str) -> Refusal {
        let is_late = self.time_left() <= MIN_TIME_LEFT;
        let status = if is_late {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        Refusal::new(status, cause).with_detail(detail)
    }

    /// Returns whether another server may get the request, or one that was released may get it again.
    fn has_sends_left(&self) -> bool {
        self.sends < self.route.max_attempts || !self.released.is_empty()
    }

    /// Lets the request be sent again to `servers`, whose sends were closed because another was answered.
    fn release(&mut self, servers: Vec<String>) {
        for id in servers {
            let sends = self.report.servers.iter().filter(|sent| **sent == id);
            if sends.count() < MAX_SENDS_TO_SERVER {
                self.released.push(id);
            }
        }
    }

    fn failover_view(&self, is_other_pending: bool) -> FailoverView {
        let (has_untried_server, has_responsive_server) = self.untried_servers();
        FailoverView {
            is_retryable: self.route.retry_mode.is_retryable(),
            has_sends_left: self.has_sends_left(),
            may_crash_servers: self.crash_guard.has_crashed_server(),
            may_miss_again: self.undelivered_sends < MAX_UNDELIVERED_SENDS,
            has_time_left: self.time_left() > MIN_TIME_LEFT,
            has_untried_server,
            has_responsive_server,
            is_other_pending,
        }
    }

    /// Takes one retry from the service's retry budget; returns whether the budget granted it.
    fn take_from_budget(&mut self, need: RetryNeed) -> bool {
        let nodes = self.gateway.node_count();
        let now = BootInstant::now();
        let is_granted = self
            .gateway
            .with_retry_budget(&self.service_name, |budget| {
                budget.try_acquire(now, nodes, need)
            });
        // A question that the budget does not grant costs nobody an answer.
        if is_granted || need != RetryNeed::Question {
            self.gateway
                .metrics
                .record_retry(&self.service_name, is_granted);
        }
        self.unused_retry = is_granted.then_some(now);
        is_granted
    }

    /// Gives a retry back to the budget for which there was no server.
    fn return_unused_retry(&mut self) {
        if let Some(taken_at) = self.unused_retry.take() {
            self.gateway
                .with_retry_budget(&self.service_name, |budget| budget.release(taken_at));
        }
    }

    /// Counts in the metrics a send that is silent or whose response is not passed on, by its result.
    fn count_send(&self, result: &str) {
        self.gateway.metrics.record_send(&self.service_name, result);
    }

    /// Returns the limits after which the request may be sent to another server as well, or `None` if it may not.
    fn silence_limits(&self) -> Option<SilenceLimits> {
        let limit = |target: Duration| (target * SILENCE_FACTOR).max(MIN_SILENCE_LIMIT);
        // The trial of a held part may crash its server, so it goes to one only.
        let may_retry = self.route.retry_mode.is_retryable()
            && self.has_sends_left()
            && !self.crash_guard.is_trial();
        let is_stream = self.route.retry_mode.is_stream();
        let head = limit(self.route.latency_target);
        let body = if is_stream {
            limit(self.route.gap_target)
        } else {
            head
        };
        may_retry.then_some(SilenceLimits { head, body })
    }

    /// Returns the time without an event after which a resumable stream may go on at another server, or `None` if it may
    /// not.
    pub(super) fn stall_limit(&self) -> Option<Duration> {
        let may_resume = self.route.retry_mode == RetryMode::ResumableStream;
        let limits = self.silence_limits().filter(|_| may_resume);
        limits.map(|limits| limits.body)
    }

    /// Chooses a server and sends the request to it; `resume_after` is the same as for [`Exchange::next_delivery`].
    async fn start_send(&mut self, resume_after: Option<u64>) -> Result<PendingSend, Refusal> {
        self.check_held().await?;
        let target = self.choose_server()?;
        Ok(self.send_to(&target, resume_after, false))
    }

    /// Asks the server of the stream that the caller gets for what follows event `last_id`, if that can be afforded. Returns its
    /// answer, or `None` if there is none within [`REST_TIMEOUT`].
    pub(super) async fn ask_for_rest(&mut self, last_id: Option<u64>) -> Option<SendEnd> {
        let sent = self.crash_guard.sent()?.clone();
        // What was held meanwhile reaches no server, also not the one that ran it.
        self.check_held().await.ok()?;
        if !asks_for_rest(&self.rest_view(&sent.server, last_id), |need| {
            self.take_from_budget(need)
        }) {
            return None;
        }
        let target = Target {
            server: sent.server.clone(),
            load_per_slot: sent.load_per_slot,
            copy_from: None,
            permit: SendPermit::Warm,
        };
        let PendingSend { end, .. } = self.send_to(&target, last_id, true);
        let answer = tokio::time::timeout(REST_TIMEOUT, end).await.ok();
        if matches!(answer, Some(SendEnd::Broken(_))) {
            self.report_break(&sent).await;
        }
        answer
    }

    fn rest_view(&self, server: &BackendServer, last_id: Option<u64>) -> RestView {
        let gateway = &self.gateway;
        let (servers, _) = gateway.catalog.servers_of(&self.service_name);
        let views = self.candidates(&servers).views;
        let view = views.iter().find(|view| view.id == server.id);
        let is_available =
            view.is_some_and(|view| !view.is_draining && !view.is_cold && !view.is_suspended);
        let sends = self.report.servers.iter().filter(|id| **id == server.id);
        RestView {
            can_resume: last_id.is_some() && self.route.retry_mode == RetryMode::ResumableStream,
            has_sends_left: sends.count() < MAX_SENDS_TO_SERVER,
            has_time_left: self.time_left() > MIN_TIME_LEFT,
            is_responsive: is_available
                && self.has_stream_version(server)
                && !gateway.rates.has_limit(server),
            may_crash_servers: self.crash_guard.has_crashed_server(),
        }
    }

    /// Sends the request to `target`; `asks_for_rest` if the server has sent a stream that may be whole.
    fn send_to(
        &mut self,
        target: &Target,
        resume_after: Option<u64>,
        asks_for_rest: bool,
    ) -> PendingSend {
        self.unused_retry = None;
        let Target { server, .. } = target;
        self.report.servers.push(server.id.clone());
        let software_version = server.entry.software_version.clone();
        self.report
            .software_versions
            .push(software_version.unwrap_or_default());
        // A server that was released has been counted.
        let released = self.released.iter().position(|id| *id == server.id);
        match released {
            Some(index) => {
                self.released.swap_remove(index);
            }
            // A question goes to a server that has been counted.
            None => self.sends += u32::from(!asks_for_rest),
        }
        self.gateway.rates.record_send(server);
        let guard = Arc::new(self.gateway.loads.start_request(server));
        let progress = Arc::new(Progress::default());
        let helper = Arc::new(OnceLock::new());
        self.report.helpers.push(Arc::clone(&helper));
        let send = ServerSend {
            gateway: Arc::clone(&self.gateway),
            outbound: Arc::clone(&self.outbound),
            server: server.clone(),
            question: Question::to(self.service.as_ref()),
            needs_verified_keys: !self.route.is_public,
            team: self.team.clone(),
            last_id: resume_after.or(self.named_event()),
            needs_same_process: matches!(self.stream_version, StreamVersion::Only(_)),
            names_version: self.begins_by_old_list(),
            copy_from: target.copy_from,
            deadline: self.deadline,
            max_connections: self
                .service
                .as_ref()
                .map_or(DEFAULT_MAX_CONNECTIONS, |service| service.max_connections),
            cold_policy: self.gateway.gate.policy(self.service.as_ref()),
            permit: target.permit,
            stream_kind: self.stream_kind.clone(),
            asks_for_rest,
            is_stream: self.route.retry_mode.is_stream(),
            guard: Arc::clone(&guard),
            progress: Arc::clone(&progress),
            helper,
        };
        PendingSend {
            sent: Sent::new(target, released.is_none() && !asks_for_rest),
            guard,
            started_at: Instant::now(),
            progress,
            silent_at: None,
            end: Box::pin(send.run()),
        }
    }
}
