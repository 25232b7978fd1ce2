//! Tries at backend servers: when one is enough, and when another may follow.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use tokio::time::timeout;

use crate::decide::{RetryRate, Verdict};
use crate::relay::attempt::Attempt;
use crate::relay::exchange::{Reply, exchange};
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::{AttemptError, Connection, Refusal, Relay, RetryBudgets};
use crate::rules::{Route, RouteKind};
use crate::servers::{InFlight, Server};

/// Objectives after which a server that has not begun to answer is left.
const PATIENCE_FACTOR: u32 = 3;
/// Shortest time after which such a server is left.
const LEAST_PATIENCE: Duration = Duration::from_millis(500);
/// Time left below which a request is not sent any more.
const LEAST_LEFT: Duration = Duration::from_millis(10);

/// A good answer.
pub(crate) enum Answer {
    /// Read to its end.
    Full(Response<Bytes>),
    /// Its events are still to come, on this route.
    Stream(Box<Reply>, Arc<Route>),
}

/// What one try brought.
enum AttemptResult {
    Answer(Answer),
    /// An answer with a server error, and the request may be sent again.
    ServerError(Response<Bytes>, Grant),
    Failed(AttemptError, Grant),
    /// The server was silent, and a try at another one is paid for.
    Abandoned,
}

/// A good head, with as much of the body as is read at once.
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
    /// Tries backend servers until one answers or no further try is allowed.
    ///
    /// # Errors
    /// Tells what to answer in place.
    pub(crate) async fn run_attempts(
        self: &Arc<Relay>,
        pending: &mut PendingRequest,
    ) -> Result<Answer, Refusal> {
        let mut verdict = pending.trace.verdict;
        let mut fallback = None;
        loop {
            let (failed, grant, response) = match self.attempt_once(pending).await {
                Ok(AttemptResult::Answer(answer)) => return Ok(answer),
                Ok(AttemptResult::Abandoned) => {
                    verdict = Verdict::MayHaveRun;
                    pending.trace.verdict = verdict;
                    continue;
                }
                Ok(AttemptResult::Failed(failed, grant)) => (Some(failed), grant, None),
                Ok(AttemptResult::ServerError(response, grant)) => (None, grant, Some(response)),
                Err(refusal) => {
                    return match fallback {
                        Some(response) => Ok(Answer::Full(response)),
                        None if verdict == Verdict::NotRun => Err(refusal),
                        None => Err(Refusal::ServerFailed),
                    };
                }
            };
            // A server error is an answer: the request ran.
            verdict = failed.map_or(Verdict::MayHaveRun, |it| verdict.and(it.verdict()));
            pending.trace.verdict = verdict;
            fallback = response.or(fallback);
            if failed.is_some_and(|it| !it.has_arrived()) {
                continue;
            }
            if self.may_retry(pending, &grant, verdict) {
                continue;
            }
            return match (fallback, failed) {
                (Some(response), _) => Ok(Answer::Full(response)),
                (None, Some(AttemptError::TimedOut)) => Err(Refusal::TimedOut),
                (None, _) if verdict == Verdict::NotRun => Err(Refusal::Shed),
                (None, _) => Err(Refusal::ServerFailed),
            };
        }
    }

    /// Whether a request may be sent once more; if so, that is paid for.
    fn may_retry(&self, pending: &PendingRequest, grant: &Grant, verdict: Verdict) -> bool {
        let route = &grant.route;
        let now = self.clock.now();
        let allowed = verdict == Verdict::NotRun || route.is_repeatable();
        let left = pending.deadline.saturating_duration_since(now);
        allowed
            && pending.sends < route.attempts
            && left > LEAST_LEFT
            && self.retry_budgets.spend(&pending.trace.service, &self.retry_rate(), now)
    }

    /// This router's part of the fleet's retry budget.
    fn retry_rate(&self) -> RetryRate {
        RetryBudgets::rate(&self.limits(), self.routers.load(Ordering::Relaxed))
    }

    /// Whether a broken stream may go on elsewhere.
    pub(crate) fn may_resume(&self, pending: &mut PendingRequest) -> bool {
        let path = pending.head.uri.path().to_owned();
        let grant = self.allow(&pending.meta, &path, &mut pending.trace);
        grant
            .is_ok_and(|it| it.route.resumable && self.may_retry(pending, &it, Verdict::MayHaveRun))
    }

    async fn attempt_once(
        self: &Arc<Relay>,
        pending: &mut PendingRequest,
    ) -> Result<AttemptResult, Refusal> {
        let now = self.clock.now();
        if pending.deadline.saturating_duration_since(now) < LEAST_LEFT {
            return Err(Refusal::TooLate);
        }
        let grant = self.allow(&pending.meta, pending.head.uri.path(), &mut pending.trace)?;
        self.apply_suspect_policy(pending)?;
        let server = self.choose(pending, &grant)?;
        let load = server.load(now);
        let in_flight = server.begin_request();
        pending.slot_since = (load < server.slots).then_some(now);
        // What may run once must not meet a connection that the server is about to close.
        let new =
            grant.route.kind == RouteKind::NonIdempotent || pending.sends + pending.resumes() > 0;
        let opened = self.pool.open(&server, new, now).await;
        let first = !opened.as_ref().is_ok_and(|it| it.is_reused);
        let attempt = Attempt { server, load, began: now, first };
        match opened {
            Ok(connection) => Ok(self.send(pending, grant, &attempt, connection, in_flight).await),
            Err(e) => {
                self.record_failure(pending, &attempt, AttemptError::Connect(e));
                Ok(AttemptResult::Failed(AttemptError::Connect(e), grant))
            }
        }
    }

    /// Sends a request on an open connection and takes what comes back.
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
        let tried = exchange(&request, connection, in_flight, &id, read, deadline);
        let Some(tried) = self.wait_with_patience(tried, pending, &grant, &attempt.server).await
        else {
            attempt.record(pending, "abandoned");
            pending.excluded.push(attempt.server.hash);
            return AttemptResult::Abandoned;
        };
        let failed = match tried {
            Ok(reply) => {
                self.record_answer_head(pending, &grant, attempt, &reply);
                match self.take_answer(pending, &grant, attempt, reply).await {
                    Ok(took) => return took.with(grant),
                    Err(failed) => failed,
                }
            }
            Err(failed) => failed,
        };
        if failed == AttemptError::Unsent {
            pending.sends -= 1;
        }
        self.record_failure(pending, attempt, failed);
        AttemptResult::Failed(failed, grant)
    }

    /// Waits for `tried`. A server that is silent for far longer than the request's
    /// objective is left where another one may be tried; then there is no result.
    async fn wait_with_patience<T>(
        &self,
        tried: impl Future<Output = T>,
        pending: &PendingRequest,
        grant: &Grant,
        server: &Server,
    ) -> Option<T> {
        let mut tried = std::pin::pin!(tried);
        let patience = (grant.route.objective * PATIENCE_FACTOR).max(LEAST_PATIENCE);
        if let Ok(result) = timeout(patience, tried.as_mut()).await {
            return Some(result);
        }
        server.record_result(false, self.clock.now());
        // Kept connections may all have gone silent at one moment.
        self.pool.close_idle(server);
        if self.may_retry(pending, grant, Verdict::MayHaveRun) {
            return None;
        }
        Some(tried.await)
    }

    /// Takes a good head: streams go on, other answers are read whole.
    async fn take_answer(
        &self,
        pending: &mut PendingRequest,
        grant: &Grant,
        attempt: &Attempt,
        reply: Reply,
    ) -> Result<TakenAnswer, AttemptError> {
        let server = &attempt.server;
        let status = reply.parts.status;
        if grant.route.kind == RouteKind::Streaming && status.is_success() {
            attempt.record(pending, "stream");
            server.record_result(true, self.clock.now());
            if let Some(key) = pending.meta.prefix_key() {
                self.prefix_holders.record(key, server, self.clock.now());
            }
            pending.trace.record_answer(status.as_u16());
            return Ok(TakenAnswer::Stream(Box::new(reply)));
        }
        let (response, head, connection, _) = reply.read_full(pending.deadline.into()).await?;
        self.record_service_time(pending);
        self.pool_connection(&pending.trace.service, server, connection, head.keep_alive);
        let again = status.is_server_error() && grant.route.is_repeatable();
        attempt.record(pending, status.as_str());
        pending.trace.record_answer(status.as_u16());
        server.record_result(!status.is_server_error(), self.clock.now());
        if again {
            pending.excluded.push(server.hash);
            return Ok(TakenAnswer::ServerError(response));
        }
        Ok(TakenAnswer::Full(response))
    }
}
