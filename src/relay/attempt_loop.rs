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
    Whole(Response<Bytes>),
    /// Its events are still to come, on this route.
    Stream(Box<Reply>, Arc<Route>),
}

/// What one try brought.
enum Tried {
    Answer(Answer),
    /// An answer with a server error, and the request may be sent again.
    ServerError(Response<Bytes>, Grant),
    Failed(AttemptError, Grant),
    /// The server was silent, and a try at another one is paid for.
    Abandoned,
}

/// A good head, with as much of the body as is read at once.
enum Took {
    Whole(Response<Bytes>),
    Stream(Box<Reply>),
    ServerError(Response<Bytes>),
}

impl Took {
    fn with(self, grant: Grant) -> Tried {
        match self {
            Took::Whole(response) => Tried::Answer(Answer::Whole(response)),
            Took::Stream(reply) => Tried::Answer(Answer::Stream(reply, grant.route)),
            Took::ServerError(response) => Tried::ServerError(response, grant),
        }
    }
}

impl Relay {
    /// Tries backend servers until one answers or no further try is allowed.
    ///
    /// # Errors
    /// Tells what to answer in place.
    pub(crate) async fn run(
        self: &Arc<Relay>,
        job: &mut PendingRequest,
    ) -> Result<Answer, Refusal> {
        let mut verdict = job.trail.verdict;
        let mut fallback = None;
        loop {
            let (failed, grant, response) = match self.try_once(job).await {
                Ok(Tried::Answer(answer)) => return Ok(answer),
                Ok(Tried::Abandoned) => {
                    verdict = Verdict::MayHaveRun;
                    job.trail.verdict = verdict;
                    continue;
                }
                Ok(Tried::Failed(failed, grant)) => (Some(failed), grant, None),
                Ok(Tried::ServerError(response, grant)) => (None, grant, Some(response)),
                Err(refusal) => {
                    return match fallback {
                        Some(response) => Ok(Answer::Whole(response)),
                        None if verdict == Verdict::NotRun => Err(refusal),
                        None => Err(Refusal::ServerFailed),
                    };
                }
            };
            // A server error is an answer: the request ran.
            verdict = failed.map_or(Verdict::MayHaveRun, |it| verdict.and(it.verdict()));
            job.trail.verdict = verdict;
            fallback = response.or(fallback);
            if failed.is_some_and(|it| !it.has_arrived()) {
                continue;
            }
            if self.may_retry(job, &grant, verdict) {
                continue;
            }
            return match (fallback, failed) {
                (Some(response), _) => Ok(Answer::Whole(response)),
                (None, Some(AttemptError::TimedOut)) => Err(Refusal::TimedOut),
                (None, _) if verdict == Verdict::NotRun => Err(Refusal::Shed),
                (None, _) => Err(Refusal::ServerFailed),
            };
        }
    }

    /// Whether a request may be sent once more; if so, that is paid for.
    fn may_retry(&self, job: &PendingRequest, grant: &Grant, verdict: Verdict) -> bool {
        let route = &grant.route;
        let now = self.clock.now();
        let allowed = verdict == Verdict::NotRun || route.is_repeatable();
        let left = job.deadline.saturating_duration_since(now);
        allowed
            && job.sends < route.attempts
            && left > LEAST_LEFT
            && self.retry_budgets.spend(&job.trail.service, &self.retry_rate(), now)
    }

    /// This router's part of the fleet's retry budget.
    fn retry_rate(&self) -> RetryRate {
        RetryBudgets::rate(&self.limits(), self.routers.load(Ordering::Relaxed))
    }

    /// Whether a broken stream may go on elsewhere.
    pub(crate) fn may_resume(&self, job: &mut PendingRequest) -> bool {
        let path = job.head.uri.path().to_owned();
        let grant = self.allow(&job.ask, &path, &mut job.trail);
        grant.is_ok_and(|it| it.route.resumable && self.may_retry(job, &it, Verdict::MayHaveRun))
    }

    async fn try_once(self: &Arc<Relay>, job: &mut PendingRequest) -> Result<Tried, Refusal> {
        let now = self.clock.now();
        if job.deadline.saturating_duration_since(now) < LEAST_LEFT {
            return Err(Refusal::TooLate);
        }
        let grant = self.allow(&job.ask, job.head.uri.path(), &mut job.trail)?;
        self.enter_suspect(job)?;
        let server = self.choose(job, &grant)?;
        let load = server.load(now);
        let in_flight = server.begin_request();
        job.entered = (load < server.slots).then_some(now);
        // What may run once must not meet a connection that the server is about to close.
        let new = grant.route.kind == RouteKind::NonIdempotent || job.sends + job.resumes() > 0;
        let opened = self.pool.open(&server, new, now).await;
        let first = !opened.as_ref().is_ok_and(|it| it.is_reused);
        let attempt = Attempt { server, load, began: now, first };
        match opened {
            Ok(connection) => Ok(self.send(job, grant, &attempt, connection, in_flight).await),
            Err(e) => {
                self.failed(job, &attempt, AttemptError::Connect(e));
                Ok(Tried::Failed(AttemptError::Connect(e), grant))
            }
        }
    }

    /// Sends a request on an open connection and takes what comes back.
    async fn send(
        self: &Arc<Relay>,
        job: &mut PendingRequest,
        grant: Grant,
        attempt: &Attempt,
        connection: Connection,
        in_flight: InFlight,
    ) -> Tried {
        let sending = self.sending(job, &grant, &attempt.server);
        if job.sends == 0 {
            self.retry_budgets.earn(&job.trail.service, &self.retry_rate(), attempt.began);
        }
        job.sends += 1;
        job.trail.verdict = Verdict::MayHaveRun;
        let id = job.ask.id.clone();
        let (read, deadline) = (self.codec.answer, job.deadline.into());
        let tried = exchange(&sending, connection, in_flight, &id, read, deadline);
        let Some(tried) = self.patiently(tried, job, &grant, &attempt.server).await else {
            attempt.note(job, "abandoned");
            job.tried.push(attempt.server.hash);
            return Tried::Abandoned;
        };
        let failed = match tried {
            Ok(reply) => {
                self.answered(job, &grant, attempt, &reply);
                match self.take(job, &grant, attempt, reply).await {
                    Ok(took) => return took.with(grant),
                    Err(failed) => failed,
                }
            }
            Err(failed) => failed,
        };
        if failed == AttemptError::Unsent {
            job.sends -= 1;
        }
        self.failed(job, attempt, failed);
        Tried::Failed(failed, grant)
    }

    /// Waits for `tried`. A server that is silent for far longer than the request's
    /// objective is left where another one may be tried; then there is no result.
    async fn patiently<T>(
        &self,
        tried: impl Future<Output = T>,
        job: &PendingRequest,
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
        if self.may_retry(job, grant, Verdict::MayHaveRun) {
            return None;
        }
        Some(tried.await)
    }

    /// Takes a good head: streams go on, other answers are read whole.
    async fn take(
        &self,
        job: &mut PendingRequest,
        grant: &Grant,
        attempt: &Attempt,
        reply: Reply,
    ) -> Result<Took, AttemptError> {
        let server = &attempt.server;
        let status = reply.parts.status;
        if grant.route.kind == RouteKind::Streaming && status.is_success() {
            attempt.note(job, "stream");
            server.record_result(true, self.clock.now());
            if let Some(key) = job.ask.prefix_key() {
                self.prefix_holders.record(key, server, self.clock.now());
            }
            job.trail.answered(status.as_u16());
            return Ok(Took::Stream(Box::new(reply)));
        }
        let (response, head, connection, _) = reply.whole(job.deadline.into()).await?;
        self.held(job);
        self.keep(&job.trail.service, server, connection, head.keep_alive);
        let again = status.is_server_error() && grant.route.is_repeatable();
        attempt.note(job, status.as_str());
        job.trail.answered(status.as_u16());
        server.record_result(!status.is_server_error(), self.clock.now());
        if again {
            job.tried.push(server.hash);
            return Ok(Took::ServerError(response));
        }
        Ok(Took::Whole(response))
    }
}
