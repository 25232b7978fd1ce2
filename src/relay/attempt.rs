//! Attempts at backend servers, and the conclusions from their results.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use slog::info;

use crate::decide::{PaceReading, RunProgress, ServiceLoad, Verdict};
use crate::events::Code;
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::request_trace::KnownLoad;
use crate::relay::{AttemptError, Connection, ConnectionPool, Relay};
use crate::servers::Server;

/// An attempt to send a request to a server.
pub(crate) struct Attempt {
    pub server: Arc<Server>,
    /// Requests at the server, as known when it was selected.
    pub load: u32,
    /// Its pace, as known then.
    pub pace: Option<PaceReading>,
    /// Tokens of prompts that the server had to read until the answer to this one; absent where
    /// they are not known.
    pub unread: Option<u64>,
    pub began: Instant,
    /// Its connection carried no request before.
    pub is_first_use: bool,
}

impl Attempt {
    /// Adds its result to the trace of the request.
    pub fn record(&self, pending: &mut PendingRequest, result: &str) {
        let known = KnownLoad { load: self.load, pace: self.pace };
        pending.trace.record_attempt(&self.server.id, known, result, self.began);
    }
}

impl Relay {
    /// Records that the head of an answer has arrived.
    pub(crate) fn record_answer_head(
        &self,
        pending: &PendingRequest,
        grant: &Grant,
        attempt: &Attempt,
    ) {
        let now = self.clock.now();
        let server = &attempt.server;
        self.record_reached(server);
        // Where work takes longer than at the other servers, late answers are not due to load.
        let objective = grant.route.objective.mul_f64(server.pace.relative().max(1.0));
        let is_late = now.saturating_duration_since(attempt.began) > objective;
        let record = |it: &mut ServiceLoad| it.record_response(is_late, attempt.load, server.slots);
        self.service_loads.with(&pending.trace.service, ServiceLoad::default, record);
        self.record_reading(pending, attempt, now);
    }

    /// Pools a connection to `server` of `service` for later requests.
    pub(crate) fn pool_connection(
        &self,
        service: &str,
        server: &Server,
        connection: Connection,
        idle: Option<u64>,
    ) {
        let rules = self.rules.load();
        let limit = rules.and_then(|it| it.service(service)?.max_connections);
        let max = ConnectionPool::max_pooled(limit, self.routers.load(Ordering::Relaxed));
        self.pool.put(server, connection, idle, max, self.clock.now());
    }

    /// Records how long a request occupied its slot.
    pub(crate) fn record_service_time(&self, pending: &mut PendingRequest) {
        if let Some(since) = pending.slot_since.take() {
            // At the usual pace: a slow server's requests must not count for the others.
            let time = self.clock.now().saturating_duration_since(since).div_f64(pending.slot_pace);
            self.service_loads.with(&pending.trace.service, ServiceLoad::default, |it| {
                it.record_service_time(time)
            });
        }
    }

    /// Records an attempt that failed at `progress`: in the trace, and against the server as
    /// the error implies.
    pub(crate) fn record_failure(
        self: &Arc<Relay>,
        pending: &mut PendingRequest,
        attempt: &Attempt,
        error: AttemptError,
        progress: RunProgress,
    ) {
        attempt.record(pending, error.as_str());
        if error == AttemptError::Unsent {
            return;
        }
        let server = &attempt.server;
        pending.excluded.push(server.hash);
        if error.verdict() == Verdict::MayHaveRun {
            server.record_result(false, self.clock.now());
        }
        if error == AttemptError::Shed {
            self.spare_brittle(&pending.trace.service, server);
        }
        if error == AttemptError::Lost {
            self.check_for_crash(pending, server, progress);
        }
        let is_unreached = matches!(error, AttemptError::Connect(_) | AttemptError::Misdirected);
        if is_unreached || (error == AttemptError::Lost && attempt.is_first_use) {
            self.record_unreached(pending, server, error);
            self.pool.close_idle(server);
        }
    }

    /// Records that a server was reached; logs it if the server was unreachable before.
    fn record_reached(&self, server: &Server) {
        if server.record_reached() {
            let code = Code::ServerReached;
            info!(self.request_log.logger(), "{}", code.text();
                "event" => code.number(), "server" => &*server.id);
        }
    }

    /// Records that a server could not be reached; logs the pause if one begins.
    fn record_unreached(&self, pending: &PendingRequest, server: &Server, error: AttemptError) {
        if let Some(pause) = server.record_unreached(self.clock.now()) {
            let code = Code::ServerUnreached;
            info!(self.request_log.logger(), "{}", code.text();
                "event" => code.number(), "server" => &*server.id, "request" => &pending.meta.id,
                "why" => error.as_str(), "pause_ms" => pause.as_millis() as u64);
        }
    }
}
