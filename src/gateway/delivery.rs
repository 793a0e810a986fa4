//! Sends a request to one server and waits until there is something that can be passed on to the caller.

use super::attempt;
use super::attempt::OutboundRequest;
use super::attempt::SendOutcome;
use super::attempt::SendParams;
use super::attempt::ServerResponse;
use super::dialect::RateLimitNotice;
use super::end_check::EndCheck;
use super::end_check::Witness;
use super::events::Events;
use super::handler::Gateway;
use super::life_sign::LifeSign;
use super::life_sign::Question;
use super::loads::InFlightGuard;
use super::progress::Progress;
use super::response_memory::HeldResponse;
use super::send_gate::SendPermit;
use super::server_stream::ServerStream;
use super::server_stream::StreamItem;
use super::stream::StreamKind;
use super::stream_record::BodyEnd;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::ColdPolicy;
use crate::decide::RunResult;
use crate::net::timeout_at;
use futures_util::future::BoxFuture;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::http::response;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which an engine must have said that it has started again, for a resumed stream not to go on there.
const RESUME_TIMEOUT: Duration = Duration::from_millis(250);

/// What a server has sent that can be passed on to the caller.
pub(super) enum Delivery {
    /// A stream with its next events, or `None` if it is complete.
    Stream(Box<ServerStream>, Option<Events>),
    /// A whole response that is not a stream of events.
    Whole(Box<WholeResponse>),
}

/// A response that was read to its end.
pub(super) struct WholeResponse {
    pub(super) head: response::Parts,
    pub(super) body: HeldResponse,
}

/// How one send ended.
pub(super) enum SendEnd {
    /// The server responded; what it says of the requests that it takes comes with the response.
    Delivered(Delivery, RateLimitNotice),
    /// No byte of the request was sent, so the server did not run it; with the cause.
    NotSent(String),
    /// Another server now has the address. It did not run the request.
    Misdirected,
    /// The server reported with this status that it did not run the request.
    NotRun(StatusCode),
    /// The response is of no use, for this cause; the request may have run.
    Broken(String),
    /// The deadline passed; the request may have run.
    Late,
}

/// One send of a request to a server.
pub(super) struct ServerSend {
    pub(super) gateway: Arc<Gateway>,
    pub(super) outbound: Arc<OutboundRequest>,
    pub(super) server: BackendServer,
    /// What tells which process the server is.
    pub(super) question: Question,
    /// Whether the callers' keys must be known to be valid when the request is sent.
    pub(super) needs_verified_keys: bool,
    pub(super) team: Option<String>,
    /// Id of the last event that the caller has, from this answer or an earlier attempt; `None` if it has none.
    pub(super) last_id: Option<u64>,
    /// Whether only the process may answer that the server's entry tells of.
    pub(super) needs_same_process: bool,
    /// Whether a stream begins whose version is that of the server's entry, which may be out of date.
    pub(super) names_version: bool,
    /// Server from which the shared parts of the prompt may be copied.
    pub(super) copy_from: Option<SocketAddr>,
    pub(super) deadline: Instant,
    /// Maximum number of connections that the server accepts from all its clients together.
    pub(super) max_connections: u32,
    /// What the server bears while it is cold; `None` if that is not limited.
    pub(super) cold_policy: Option<ColdPolicy>,
    pub(super) permit: SendPermit,
    /// What the response must be to go on with a stream that has begun; `None` if none has.
    pub(super) stream_kind: Option<StreamKind>,
    /// Whether the server is asked for the rest of a stream of which there may be none.
    pub(super) asks_for_rest: bool,
    /// Whether a successful response is a stream of events.
    pub(super) is_stream: bool,
    pub(super) guard: Arc<InFlightGuard>,
    pub(super) progress: Arc<Progress>,
    /// Set to the name of the gateway that carries the request, if one does.
    pub(super) helper: Arc<OnceLock<String>>,
}

impl ServerSend {
    /// Sends the request and waits for the first events or the whole response, until the deadline at most.
    pub(super) async fn run(self) -> SendEnd {
        let needs_proof = self.needs_same_process || self.names_version;
        if !needs_proof || !matches!(self.question, Question::Report) {
            return self.run_anywhere(None).await;
        }
        let known_at = self.gateway.catalog.processes_known_at();
        let known_at =
            known_at.filter(|known_at| self.gateway.pool.has_idle(&self.server, *known_at));
        if let Some(known_at) = known_at {
            let end = self.run_anywhere(Some(known_at)).await;
            return match &end {
                SendEnd::Delivered(Delivery::Stream(stream, Some(_)), _)
                    if stream.connection_opened_at() >= known_at =>
                {
                    let sign = self.life_sign().await;
                    self.judge(end, sign)
                }
                _ => end,
            };
        }
        let mut asking = pin!(self.life_sign());
        let mut sending = pin!(self.run_anywhere(None));
        let mut sign = None;
        let end = loop {
            tokio::select! {
                end = &mut sending => break end,
                // Mostly nothing follows, and nobody needs to know who says so.
                told = &mut asking, if sign.is_none() && !self.asks_for_rest => sign = Some(told),
            }
        };
        // Only what would be passed on waits for the sign.
        let SendEnd::Delivered(Delivery::Stream(_, events), _) = &end else {
            return end;
        };
        if events.is_none() && self.asks_for_rest {
            return end;
        }
        let sign = match sign {
            Some(sign) => sign,
            None => asking.await,
        };
        self.judge(end, sign)
    }

    /// Decides what becomes of a stream once the engine has told which process it is. The stream itself shows that a server of this name
    /// lives; only another start speaks against it. One that begins is passed on all the same, and its version is not known.
    fn judge(&self, end: SendEnd, sign: LifeSign) -> SendEnd {
        if sign != LifeSign::OtherProcess {
            return end;
        }
        self.gateway.paths.record_restart(&self.server);
        match end {
            SendEnd::Delivered(Delivery::Stream(stream, _), _) if self.needs_same_process => {
                self.gateway.abandon(*stream, RunResult::Good);
                SendEnd::Broken("server has started again".to_owned())
            }
            end => end,
        }
    }

    /// Asks the engine whether it is the process that its entry tells of.
    async fn life_sign(&self) -> LifeSign {
        let (gateway, request_id) = (&self.gateway, &self.outbound.request_id);
        if !gateway.gate.may_ask(&self.server) {
            return LifeSign::Unreachable;
        }
        let until = self.deadline.min(Instant::now() + RESUME_TIMEOUT);
        let connecting = gateway.paths.connect(&self.server, request_id);
        match timeout_at(until, connecting).await {
            Ok(Ok(connection)) => {
                let (server, question) = (&self.server, &self.question);
                let asking = gateway.ask_for_life_sign(server, question, connection, until);
                asking.await
            }
            Ok(Err(_)) | Err(_) => LifeSign::Unreachable,
        }
    }

    /// Sends the request like [`ServerSend::run`], whichever process answers.
    async fn run_anywhere(&self, prefers_opened_before: Option<BootInstant>) -> SendEnd {
        let gateway = &self.gateway;
        if !self.is_current() {
            return SendEnd::NotSent("beliefs grew old".to_owned());
        }
        let is_plain = matches!(self.question, Question::Health(_));
        let needs_witness = is_plain && gateway.paths.may_be_unframed(&self.server);
        let witness = OnceLock::new();
        let open_witness = |is_tunnel| -> BoxFuture<'_, ()> {
            let request_id = &self.outbound.request_id;
            let (server, witness) = (&self.server, &witness);
            Box::pin(async move {
                if needs_witness {
                    let mut opening = Witness::open(gateway, server, request_id, is_tunnel);
                    opening.wait_until_open().await;
                    // A send that takes another connection keeps the first.
                    let _ = witness.set(opening);
                }
            })
        };
        let params = SendParams {
            server: &self.server,
            team: self.team.as_deref(),
            resume_after: self.last_id,
            needs_same_process: self.needs_same_process,
            prefers_opened_before,
            copy_from: self.copy_from,
            deadline: self.deadline,
            rates: &gateway.rates,
            paths: &gateway.paths,
            helper: &self.helper,
            on_connected: &open_witness,
            max_connections: self.max_connections,
            gate: &gateway.gate,
            cold_policy: self.cold_policy.as_ref(),
            permit: self.permit,
        };
        let sent_at = Instant::now();
        let sending = attempt::send(
            &self.outbound,
            &params,
            &*gateway.dialect,
            &gateway.pool,
            &self.guard,
        );
        let response = match sending.await {
            SendOutcome::Responded(response) => *response,
            SendOutcome::NotSent(cause) => return SendEnd::NotSent(cause),
            SendOutcome::Misdirected => return SendEnd::Misdirected,
            SendOutcome::NotRun(status) => return SendEnd::NotRun(status),
            SendOutcome::Unknown(cause) => return SendEnd::Broken(cause),
            SendOutcome::TimedOut => return SendEnd::Late,
        };
        self.progress.record_bytes();
        let witness = witness.into_inner();
        let rate_limit = response.rate_limit;
        if self.is_stream && response.head.status.is_success() {
            let kind = StreamKind::of(response.head.status, &response.head.headers);
            if self
                .stream_kind
                .as_ref()
                .is_some_and(|begun| *begun != kind)
            {
                response.lease.close();
                response.guard.record_result(RunResult::Broken);
                return SendEnd::Broken("answer that does not go on with the stream".to_owned());
            }
            let end_check = self.end_check(&response, witness);
            let mut stream = ServerStream::new(
                response,
                &gateway.response_memory.of_server(&self.server.id),
                end_check,
                &self.progress,
                self.deadline,
                &gateway.logs,
            );
            if self.asks_for_rest {
                stream.allow_empty();
            }
            let stream = Box::new(stream);
            next_events(gateway, stream, self.last_id, self.deadline, rate_limit).await
        } else {
            self.read_whole(response, witness, rate_limit, sent_at)
                .await
        }
    }

    fn end_check(&self, response: &ServerResponse, witness: Option<Witness>) -> EndCheck {
        EndCheck::new(
            (&response.head.headers, &response.body),
            &self.gateway,
            (&self.server, &self.question),
            &self.outbound.request_id,
            response.lease.helper().is_some(),
            witness,
        )
    }

    /// Returns whether what the server was chosen by still holds. Since then it may have become unusable, or the
    /// configuration too old to accept callers' keys, especially if the host slept in between.
    fn is_current(&self) -> bool {
        let catalog = &self.gateway.catalog;
        let server = &self.server;
        catalog.is_usable(&server.id, server.entry.start_time_ms)
            && (!self.needs_verified_keys || catalog.are_keys_verified(BootInstant::now()))
    }

    /// Asks the server whether it lives if it may not be the one that sent the failure with this head: relays before servers that
    /// are gone answer for them.
    fn check_sender(&self, head: &response::Parts) {
        let gateway = &self.gateway;
        let metadata = gateway.dialect.read_response(head.status, &head.headers);
        if metadata.request_id.is_none() && gateway.paths.record_doubt(&self.server) {
            let (gateway, server) = (Arc::clone(gateway), self.server.clone());
            // The result is recorded with the path.
            tokio::spawn(async move { gateway.ask_directly(&server).await });
        }
    }

    /// Reads the whole of a response that is not a stream, so that the request can be retried if it breaks off.
    async fn read_whole(
        &self,
        response: ServerResponse,
        witness: Option<Witness>,
        rate_limit: RateLimitNotice,
        sent_at: Instant,
    ) -> SendEnd {
        let mut end_check = self.end_check(&response, witness);
        let ServerResponse {
            head,
            body,
            lease,
            guard,
            ..
        } = response;
        let gateway = &self.gateway;
        let memory = gateway.response_memory.of_server(&self.server.id);
        let collecting = memory.collect(body, |bytes| {
            lease.head_limit().record_body(bytes);
            self.progress.record_bytes();
            guard.record_activity();
        });
        let body = match tokio::time::timeout_at(self.deadline, collecting).await {
            Ok(Ok(body)) => body,
            Ok(Err(err)) => {
                lease.close();
                guard.record_result(RunResult::Broken);
                return SendEnd::Broken(format!("{err:?}"));
            }
            Err(_) => {
                lease.close();
                guard.record_result(RunResult::Silent);
                return SendEnd::Late;
            }
        };
        let end = end_check.body_end();
        // A head that ends early has lost its length.
        if end == BodyEnd::Connection && head.status.is_success() && body.is_end_stream() {
            lease.close();
            guard.record_result(RunResult::Broken);
            return SendEnd::Broken("ended before the first byte".to_owned());
        }
        self.progress.record_end();
        if !end_check.is_complete(self.deadline).await {
            lease.close();
            guard.record_result(RunResult::Broken);
            return SendEnd::Broken("server ended with its answer".to_owned());
        }
        if head.status.is_server_error() {
            guard.record_result(RunResult::Failed);
            self.check_sender(&head);
        } else {
            guard.record_result(RunResult::Good);
            guard.record_pace(sent_at.elapsed());
        }
        gateway.pool.put_idle(lease, &head.headers);
        let response = Box::new(WholeResponse { head, body });
        SendEnd::Delivered(Delivery::Whole(response), rate_limit)
    }
}

/// Waits for the next events of `stream`. `last_id` is the id of the last event that the caller has of it; a server whose
/// events don't follow it can't go on with the stream.
pub(super) async fn next_events(
    gateway: &Gateway,
    mut stream: Box<ServerStream>,
    last_id: Option<u64>,
    deadline: Instant,
    rate_limit: RateLimitNotice,
) -> SendEnd {
    match stream.next(None, deadline).await {
        StreamItem::Events(events) if events.follows(last_id) => {
            SendEnd::Delivered(Delivery::Stream(stream, Some(events)), rate_limit)
        }
        StreamItem::End => SendEnd::Delivered(Delivery::Stream(stream, None), rate_limit),
        StreamItem::Events(_) => {
            gateway.abandon(*stream, RunResult::Broken);
            SendEnd::Broken("events out of order".to_owned())
        }
        StreamItem::Broken(cause) => {
            gateway.abandon(*stream, RunResult::Broken);
            SendEnd::Broken(cause)
        }
        StreamItem::Silent | StreamItem::DeadlineExceeded => {
            gateway.abandon(*stream, RunResult::Silent);
            SendEnd::Late
        }
    }
}

impl Gateway {
    /// Records `result` for the server of a stream, and closes its connection and all idle ones to that server.
    pub(super) fn abandon(&self, stream: ServerStream, result: RunResult) {
        self.pool.close_idle(stream.server_id());
        stream.abandon(result);
    }
}
