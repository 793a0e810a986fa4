//! Sends a request to one backend server after another, within the limits on attempts, time and retries.

use super::Settings;
use super::budget::RetryBudget;
use super::caller::Caller;
use super::resume::ResumePlan;
use super::resume::resumable;
use crate::border::generated::config::Service;
use crate::border::generated::peer::HopHead;
use crate::config::State;
use crate::config::may_serve;
use crate::hop::Dispatch;
use crate::hop::PROTOCOL_VERSION;
use crate::membership::Backend;
use crate::membership::Membership;
use crate::membership::View;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::owner::Answer;
use crate::owner::Attempt;
use crate::routing::Loads;
use crate::routing::Policy;
use crate::routing::PolicyInput;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use bytes::Bytes;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use uuid::Uuid;

/// Shortest pause before the first retry; the longest is twice as long. Both double with each further attempt.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Retry-after delay of a rejected request, where the owner sets none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// A caller's request, ready to be sent to a backend server.
pub(super) struct Job<'a> {
    /// The caller.
    pub(super) caller: &'a Caller,
    /// Configuration that applies to the request.
    pub(super) state: &'a State,
    /// The requested service.
    pub(super) service: &'a Service,
    /// HTTP method.
    pub(super) method: &'a str,
    /// Path and query as sent to the backend server.
    pub(super) path: &'a str,
    /// The request body.
    pub(super) body: &'a Bytes,
    /// Key of a non-idempotent call; such a call is retried only where it certainly did not run.
    pub(super) key: Option<&'a str>,
    /// Time at which the caller gives up.
    pub(super) deadline: Instant,
}

/// Chooses backend servers for requests and sends attempts to them.
pub struct AttemptSender {
    /// Name of this node.
    node: String,
    /// Maximum number of attempts for one request, redirects included.
    max_attempts: usize,
    /// Stall timeout of an engine's event stream, after which the stream is resumed.
    stream_stall: Duration,
    budget: RetryBudget,
    membership: Arc<dyn Membership>,
    dispatch: Arc<dyn Dispatch>,
    policy: Box<dyn Policy>,
    loads: Arc<Loads>,
    timeline: Arc<Timeline>,
}

/// State of a request across its attempts.
#[derive(Default)]
pub(super) struct Progress {
    /// Backend servers of the failed attempts; none of them is chosen again.
    tried: Vec<String>,
    /// Backend server that the owner proposed in the latest refusal that proves that the request did not run.
    proposed: Option<String>,
    /// First backend server that refused the request as busy: it probably holds the chat's cache, and the next backend
    /// server may fetch the cache from there.
    cached_on: Option<String>,
    /// Refusal of an attempt that may have run. A later refusal can't prove that it did not.
    last_unknown: Option<Refusal>,
    /// Latest refusal that proves that the request did not run.
    last_not_run: Option<Refusal>,
}

impl Progress {
    pub(super) fn record(&mut self, backend: &str, refusal: Refusal) {
        if matches!(
            &refusal,
            Refusal::NotRun {
                reason: NotRun::Busy,
                ..
            }
        ) {
            self.cached_on.get_or_insert_with(|| backend.to_owned());
        }
        self.tried.push(backend.to_owned());
        if let Refusal::NotRun { next, .. } = &refusal {
            self.proposed.clone_from(next);
        }
        if refusal.is_not_run() {
            self.last_not_run = Some(refusal);
        } else {
            self.last_unknown = Some(refusal);
        }
    }

    /// Returns the final outcome. If any attempt may have run, the outcome is `unknown`, whatever later attempts
    /// returned.
    pub(super) fn refusal(self) -> Refusal {
        let last = self
            .last_not_run
            .unwrap_or(Refusal::not_run(NotRun::NoBackend));
        self.last_unknown
            .unwrap_or(last.or_retry_after(DEFAULT_RETRY_AFTER))
    }
}

impl AttemptSender {
    /// Creates a sender for the node named `node`.
    pub fn new(
        node: &str,
        settings: &Settings,
        membership: Arc<dyn Membership>,
        dispatch: Arc<dyn Dispatch>,
        policy: Box<dyn Policy>,
        loads: Arc<Loads>,
        timeline: Arc<Timeline>,
    ) -> Self {
        Self {
            node: node.to_owned(),
            max_attempts: settings.max_attempts,
            stream_stall: settings.stream_stall,
            budget: RetryBudget::new(settings.retry_permille),
            membership,
            dispatch,
            policy,
            loads,
            timeline,
        }
    }

    /// Sends attempts until one is answered or no further attempt is allowed.
    ///
    /// A redirect is followed at once; any other retry takes one from the budget and is sent after a pause.
    pub(super) async fn run(&self, job: &Job<'_>) -> Result<Answer, Refusal> {
        let mut progress = Progress::default();
        while progress.tried.len() < self.max_attempts {
            let left = job.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                progress
                    .last_not_run
                    .get_or_insert(Refusal::not_run(NotRun::Deadline));
                break;
            }
            let view = self.membership.view();
            let Some(backend) = self.choose(job, &view, &progress) else {
                break;
            };
            let attempt = self.build_attempt(job, backend, left, &progress);
            match self.dispatch.dispatch(&attempt).await {
                Ok(answer) => {
                    self.loads.record(&backend.name, answer.load);
                    self.budget.record_success();
                    return Ok(self.with_resume(answer, job, backend, attempt.head));
                }
                Err(refusal) => {
                    let may_retry = is_retryable(job, &refusal);
                    let is_redirect = refusal.is_redirect();
                    if may_retry {
                        self.record_retry(&attempt.head, &refusal);
                    }
                    progress.record(&backend.name, refusal);
                    if !may_retry || progress.tried.len() == self.max_attempts {
                        break;
                    }
                    if !is_redirect && !self.pause_before_retry(&mut progress).await {
                        break;
                    }
                }
            }
        }
        Err(progress.refusal())
    }

    /// Takes one retry from the budget and sleeps before it; returns whether the budget had one.
    async fn pause_before_retry(&self, progress: &mut Progress) -> bool {
        if !self.budget.try_take() {
            let spent = Refusal::not_run(NotRun::RetryBudget);
            progress.last_not_run = Some(spent.or_retry_after(DEFAULT_RETRY_AFTER));
            return false;
        }
        let retries = u32::try_from(progress.tried.len()).unwrap_or(u32::MAX);
        let max_pause = FIRST_RETRY_PAUSE.saturating_mul(2u32.saturating_pow(retries));
        let pause = rand::rng().random_range(max_pause / 2..=max_pause);
        tokio::time::sleep(pause).await;
        true
    }

    /// Wraps an engine's event stream so that it is resumed when it breaks off; other answers stay as they are.
    fn with_resume(
        &self,
        answer: Answer,
        job: &Job<'_>,
        backend: &Backend,
        head: HopHead,
    ) -> Answer {
        let content_type = answer.content_type.as_deref().unwrap_or_default();
        let is_stream = answer.status == 200 && content_type.starts_with(EVENT_STREAM);
        if !is_stream || !backend.is_engine {
            return answer;
        }
        let plan = ResumePlan {
            dispatch: Arc::clone(&self.dispatch),
            timeline: Arc::clone(&self.timeline),
            head,
            stall_timeout: self.stream_stall,
            give_up_after: Duration::from_millis(job.service.deadline_ms),
        };
        Answer {
            body: resumable(answer.body, plan),
            ..answer
        }
    }

    fn record_retry(&self, head: &HopHead, refusal: &Refusal) {
        let retry = Event::new(EventKind::Retry)
            .request(&head.request)
            .attempt(&head.id)
            .backend(&head.backend)
            .detail(refusal.reason());
        self.timeline.event(retry);
    }

    fn choose<'a>(
        &self,
        job: &Job<'_>,
        view: &'a View,
        progress: &Progress,
    ) -> Option<&'a Backend> {
        let is_usable = |b: &&Backend| {
            let is_untried = !b.leaving && !progress.tried.contains(&b.name);
            is_untried && may_serve(job.state, job.service, &job.caller.team, b)
        };
        let mut candidates: Vec<&Backend> = view
            .of_service(&job.service.name)
            .iter()
            .filter(is_usable)
            .collect();
        if job.key.is_some() {
            self.prefer_own_data_centre(view, &mut candidates);
        }
        let caller = job.caller;
        self.policy.choose(&PolicyInput {
            key: caller.chat.as_deref().unwrap_or(&caller.request),
            candidates: &candidates,
            loads: &self.loads,
            hint: caller.hint.as_deref(),
            owner_proposal: progress.proposed.as_deref(),
        })
    }

    /// Keeps only the candidates in this node's data centre, if there are any. A non-idempotent call that may have run
    /// can't be retried, so it should not depend on the links between data centres.
    fn prefer_own_data_centre(&self, view: &View, candidates: &mut Vec<&Backend>) {
        let Some(own) = view.node(&self.node) else {
            return;
        };
        let is_in_own_data_centre = |b: &&Backend| b.data_centre == own.data_centre;
        if candidates.iter().any(is_in_own_data_centre) {
            candidates.retain(is_in_own_data_centre);
        }
    }

    fn build_attempt(
        &self,
        job: &Job<'_>,
        backend: &Backend,
        left: Duration,
        progress: &Progress,
    ) -> Attempt {
        let caller = job.caller;
        let is_last = progress.tried.len() + 1 >= self.max_attempts;
        // An attempt leaves a third of the time for a retry. The last attempt gets all of it, and so does a
        // non-idempotent call, which is not retried once it may have run.
        let left = if is_last || job.key.is_some() {
            left
        } else {
            left * 2 / 3
        };
        let head = HopHead {
            v: PROTOCOL_VERSION,
            id: Uuid::now_v7().to_string(),
            request: caller.request.clone(),
            from: self.node.clone(),
            service: job.service.name.clone(),
            backend: backend.name.clone(),
            team: caller.team.clone(),
            chat: caller.chat.clone(),
            priority: caller.priority,
            deadline_ms: left.as_millis() as u64,
            method: job.method.to_owned(),
            path: job.path.to_owned(),
            content_type: caller.content_type.clone(),
            body_len: job.body.len() as u64,
            hops: 0,
            tried: progress.tried.clone(),
            key: job.key.map(str::to_owned),
            resume_from: None,
            no_spill: is_last,
            cached_on: cached_on(caller, backend, progress),
            hlc: self.timeline.stamp(),
        };
        Attempt {
            head,
            body: job.body.clone(),
        }
    }
}

/// Returns the name of the backend server that probably holds the chat's cache: the one in the caller's routing hint,
/// otherwise the first that refused the request as busy. Returns `None` if that is `backend` itself, or if the request
/// belongs to no chat.
fn cached_on(caller: &Caller, backend: &Backend, progress: &Progress) -> Option<String> {
    let hinted = caller.hint.as_ref().or(progress.cached_on.as_ref());
    hinted
        .filter(|name| caller.chat.is_some() && **name != backend.name)
        .cloned()
}

/// Returns whether another attempt is allowed. Idempotent work may always be retried, other work only where it
/// certainly did not run; a bad request or an expired deadline is final for both.
fn is_retryable(job: &Job<'_>, refusal: &Refusal) -> bool {
    match refusal {
        Refusal::NotRun { reason, .. } => !matches!(reason, NotRun::BadRequest | NotRun::Deadline),
        Refusal::Unknown { .. } => job.key.is_none(),
    }
}
