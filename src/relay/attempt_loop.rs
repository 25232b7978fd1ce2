//! The attempts of a request at backend servers: when to abandon, retry or answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use tokio::time::timeout;

use crate::decide::{RetryRate, RunProgress, Verdict, hash_bytes};
use crate::relay::attempt::Attempt;
use crate::relay::exchange::{Reply, exchange};
use crate::relay::forward::name_server;
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::{AttemptError, Connection, Refusal, Relay, RetryBudgets, may_be_events};
use crate::rules::{Route, RouteKind};
use crate::servers::{InFlight, Server};

/// An attempt may be abandoned after this many times the objective of its route
/// without the head of an answer.
const PATIENCE_FACTOR: u32 = 3;
/// Shortest time after which an attempt may be abandoned.
const MIN_PATIENCE: Duration = Duration::from_millis(500);
/// Remaining time below which a request is no longer sent.
pub(crate) const MIN_REMAINING: Duration = Duration::from_millis(10);

/// An answer for the caller.
pub(crate) enum Answer {
    /// Read to its end.
    Full(Response<Bytes>),
    /// A stream whose events are still to be relayed, and its route.
    Stream(Box<Reply>, Arc<Route>),
}

/// The result of one attempt.
pub(crate) enum AttemptResult {
    Answer(Answer),
    /// An answer with a server error, to a request that may be retried.
    ServerError(Response<Bytes>, Grant),
    Failed(AttemptError, Grant),
    /// The server was silent; a retry at another one is allowed and already spent.
    Abandoned,
}

/// A valid answer: read in full, or a stream with only its head read.
enum TakenAnswer {
    Full(Response<Bytes>),
    Stream(Box<Reply>),
    ServerError(Response<Bytes>),
}

impl TakenAnswer {
    fn with(self, grant: Grant) -> AttemptResult {
        match self {
            TakenAnswer::Full(response) => AttemptResult::Answer(Answer::Full(response)),
            TakenAnswer::Stream(reply) => AttemptResult::Answer(Answer::Stream(reply, grant.route)),
            TakenAnswer::ServerError(response) => AttemptResult::ServerError(response, grant),
        }
    }
}

impl Relay {
    /// Sends a request to backend servers until one answers or no retry is allowed.
    ///
    /// # Errors
    /// Fails when there is no answer; the refusal is sent to the caller instead.
    pub(crate) async fn run_attempts(
        self: &Arc<Relay>,
        pending: &mut PendingRequest,
    ) -> Result<Answer, Refusal> {
        let mut verdict = pending.trace.verdict;
        let mut fallback = None;
        loop {
            let (error, grant, response) = match self.attempt_once(pending).await {
                Ok(AttemptResult::Answer(answer)) => return Ok(answer),
                Ok(AttemptResult::Abandoned) => {
                    verdict = Verdict::MayHaveRun;
                    pending.trace.verdict = verdict;
                    continue;
                }
                Ok(AttemptResult::Failed(error, grant)) => (Some(error), grant, None),
                Ok(AttemptResult::ServerError(response, grant)) => (None, grant, Some(response)),
                Err(refusal) => {
                    return match fallback {
                        Some(response) => Ok(Answer::Full(response)),
                        None if verdict == Verdict::NotRun => Err(refusal),
                        None => Err(Refusal::ServerFailed),
                    };
                }
            };
            // An answer with a server error means that the request ran.
            verdict = error.map_or(Verdict::MayHaveRun, |it| verdict.and(it.verdict()));
            pending.trace.verdict = verdict;
            fallback = response.or(fallback);
            if error.is_some_and(|it| !it.has_arrived()) {
                continue;
            }
            if self.may_retry(pending, &grant, verdict) {
                continue;
            }
            return match (fallback, error) {
                (Some(response), _) => Ok(Answer::Full(response)),
                (None, Some(AttemptError::TimedOut)) => Err(Refusal::TimedOut),
                (None, _) if verdict == Verdict::NotRun => Err(Refusal::Shed),
                (None, _) => Err(Refusal::ServerFailed),
            };
        }
    }

    /// Whether a request may be retried; if so, spends a retry of the budget.
    fn may_retry(&self, pending: &PendingRequest, grant: &Grant, verdict: Verdict) -> bool {
        let route = &grant.route;
        let now = self.clock.now();
        let is_safe = verdict == Verdict::NotRun || route.is_repeatable();
        let remaining = pending.deadline.saturating_duration_since(now);
        is_safe
            && pending.sends < route.attempts
            && remaining > MIN_REMAINING
            && self.retry_budgets.spend(&pending.trace.service, &self.retry_rate(), now)
    }

    /// This router's share of the fleet's retry budget.
    fn retry_rate(&self) -> RetryRate {
        RetryBudgets::rate(&self.limits(), self.routers.load(Ordering::Relaxed))
    }

    /// Whether a stream that broke at `from` may resume at another server; if so, spends a retry.
    pub(crate) fn may_resume(&self, pending: &mut PendingRequest, from: Option<&Server>) -> bool {
        let path = pending.head.uri.path().to_owned();
        let grant = self.allow(&pending.meta, &path, &mut pending.trace);
        grant.is_ok_and(|it| {
            it.route.resumable
                && self.has_successor(pending, &it, from)
                && self.may_retry(pending, &it, Verdict::MayHaveRun)
        })
    }

    async fn attempt_once(
        self: &Arc<Relay>,
        pending: &mut PendingRequest,
    ) -> Result<AttemptResult, Refusal> {
        let now = self.clock.now();
        if pending.deadline.saturating_duration_since(now) < MIN_REMAINING {
            return Err(Refusal::TooLate);
        }
        let grant = self.allow(&pending.meta, pending.head.uri.path(), &mut pending.trace)?;
        if let Some(service) = self.service_to_forward(pending, &grant) {
            pending.trace.service.clear();
            pending.trace.service.push_str(service);
            let service = hash_bytes(service.as_bytes());
            return self.forward(pending, grant, service).await;
        }
        if pending.is_forwarded() && self.is_cut_off(pending.target_service(&grant).unwrap_or("")) {
            return Err(Refusal::NoServer);
        }
        self.apply_part_policy(pending)?;
        self.apply_suspect_policy(pending)?;
        self.find_origin(pending, &grant).await?;
        let server = self.select_with_room(pending, &grant).await?;
        let now = self.clock.now();
        let load = server.load(now);
        let in_flight = server.begin_request(pending.tokens());
        let in_flight = in_flight.with_signal(self.room_signal(pending));
        let pace = server.pace.reading(now);
        pending.slot_since = (load < server.slots).then_some(now);
        pending.slot_pace = server.pace.factor();
        // A request that may run only once must not use a pooled connection, as the server may
        // be about to close it. Nor must a retry.
        let force_new =
            grant.route.kind == RouteKind::NonIdempotent || pending.sends + pending.resumes() > 0;
        let opened = self.pool.open(&server, force_new, now).await;
        let is_first_use = !opened.as_ref().is_ok_and(|it| it.is_reused);
        match &opened {
            Ok(_) if is_first_use => self.record_connected(&pending.trace.service),
            Ok(_) => {}
            Err(_) => self.record_unconnected(&pending.trace.service, &server),
        }
        let unread = pending.known_unread();
        let attempt = Attempt { server, load, pace, unread, began: now, is_first_use };
        match opened {
            Ok(connection) => Ok(self.send(pending, grant, &attempt, connection, in_flight).await),
            Err(e) => {
                let error = AttemptError::Connect(e);
                self.record_failure(pending, &attempt, error, RunProgress::Unanswered);
                self.until_reach_known(&pending.trace.service, pending.deadline).await;
                Ok(AttemptResult::Failed(AttemptError::Connect(e), grant))
            }
        }
    }

    /// Sends a request on an open connection and processes the answer.
    async fn send(
        self: &Arc<Relay>,
        pending: &mut PendingRequest,
        grant: Grant,
        attempt: &Attempt,
        connection: Connection,
        in_flight: InFlight,
    ) -> AttemptResult {
        let request = self.upstream_request(pending, &grant, &attempt.server);
        if pending.sends == 0 {
            self.retry_budgets.earn(&pending.trace.service, &self.retry_rate(), attempt.began);
        }
        pending.sends += 1;
        pending.trace.verdict = Verdict::MayHaveRun;
        let id = pending.meta.id.clone();
        let (read, deadline) = (self.codec.answer, pending.deadline.into());
        let clock = Arc::clone(&self.clock);
        let reply = exchange(&request, connection, in_flight, &id, read, deadline, &clock);
        let Some(result) = self.wait_with_patience(reply, pending, &grant, &attempt.server).await
        else {
            attempt.record(pending, "abandoned");
            pending.excluded.push(attempt.server.hash);
            return AttemptResult::Abandoned;
        };
        let stated = match &result {
            Ok(reply) => Some(reply.head.stated),
            Err(failed) => failed.stated,
        };
        if let Some(stated) = stated {
            let service = &pending.trace.service;
            self.record_statements(service, &attempt.server, stated, &pending.meta.id);
        }
        let (error, progress) = match result {
            Ok(reply) => {
                self.record_answer_head(pending, &grant, attempt);
                match self.take_answer(pending, &grant, attempt, reply).await {
                    Ok(taken) => return taken.with(grant),
                    Err(error) => (error, RunProgress::Begun),
                }
            }
            Err(failed) => (failed.error, RunProgress::Unanswered),
        };
        if error == AttemptError::Unsent {
            pending.sends -= 1;
        }
        self.record_failure(pending, attempt, error, progress);
        AttemptResult::Failed(error, grant)
    }

    /// Waits for `reply`. If the server stays silent for far longer than the request's
    /// objective, another one has room and a retry is allowed, the attempt is abandoned: the
    /// result is `None`.
    async fn wait_with_patience<T>(
        &self,
        reply: impl Future<Output = T>,
        pending: &PendingRequest,
        grant: &Grant,
        server: &Server,
    ) -> Option<T> {
        let mut reply = std::pin::pin!(reply);
        let patience = (grant.route.objective * PATIENCE_FACTOR).max(MIN_PATIENCE);
        if let Ok(result) = timeout(patience, reply.as_mut()).await {
            return Some(result);
        }
        server.record_result(false, self.clock.now());
        // All idle connections to the server may have gone silent at the same moment.
        self.pool.close_idle(server);
        let has_successor = self.has_successor(pending, grant, Some(server));
        if has_successor && self.may_retry(pending, grant, Verdict::MayHaveRun) {
            return None;
        }
        Some(reply.await)
    }

    /// Processes a valid head: a stream is left to be relayed, any other answer is read in full.
    async fn take_answer(
        &self,
        pending: &mut PendingRequest,
        grant: &Grant,
        attempt: &Attempt,
        mut reply: Reply,
    ) -> Result<TakenAnswer, AttemptError> {
        let server = &attempt.server;
        if pending.is_forwarded() {
            name_server(&mut reply.parts, server);
        }
        let status = reply.parts.status;
        pending.trace.framing = Some(reply.framing);
        let is_stream = grant.route.kind == RouteKind::Streaming
            && status.is_success()
            && may_be_events(&reply.parts.headers);
        if is_stream {
            attempt.record(pending, "stream");
            server.record_result(true, self.clock.now());
            if let Some(key) = pending.meta.prefix_key() {
                self.prefix_holders.record(key, server, self.clock.now());
            }
            pending.trace.record_answer(status.as_u16());
            return Ok(TakenAnswer::Stream(Box::new(reply)));
        }
        let deadline = pending.deadline.into();
        let (response, head, connection, _) =
            reply.read_full(deadline, &pending.client, &mut pending.trace).await?;
        self.record_service_time(pending);
        self.pool_connection(&pending.trace.service, server, connection, head.keep_alive);
        let may_repeat = status.is_server_error() && grant.route.is_repeatable();
        attempt.record(pending, status.as_str());
        pending.trace.record_answer(status.as_u16());
        server.record_result(!status.is_server_error(), self.clock.now());
        if status.is_success() {
            self.record_answered_parts(pending);
        }
        if may_repeat {
            pending.excluded.push(server.hash);
            return Ok(TakenAnswer::ServerError(response));
        }
        Ok(TakenAnswer::Full(response))
    }
}
