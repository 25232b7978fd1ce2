//! What a router concludes from tries of the servers that they went to.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use slog::info;

use crate::decide::{ServiceLoad, Verdict};
use crate::events::Code;
use crate::relay::exchange::Reply;
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::{AttemptError, Connection, ConnectionPool, Relay};
use crate::servers::Server;

/// One try at one server.
pub(crate) struct Attempt {
    pub server: Arc<Server>,
    /// Requests that the server held, as known when it was chosen.
    pub load: u32,
    pub began: Instant,
    /// The connection carried no request before.
    pub first: bool,
}

impl Attempt {
    /// Notes its result with what is decided on the request.
    pub fn note(&self, job: &mut PendingRequest, result: &str) {
        job.trail.tried(&self.server.id, self.load, result, self.began);
    }
}

impl Relay {
    /// The head of an answer is there.
    pub(crate) fn answered(
        &self,
        job: &PendingRequest,
        grant: &Grant,
        attempt: &Attempt,
        reply: &Reply,
    ) {
        let now = self.clock.now();
        let server = &attempt.server;
        self.reached(server);
        if let Some(load) = reply.head.load {
            server.set_reported_load(load, now);
        }
        let late = now.saturating_duration_since(attempt.began) > grant.route.objective;
        let note = |it: &mut ServiceLoad| it.record_response(late, attempt.load, server.slots);
        self.service_loads.with(&job.trail.service, ServiceLoad::default, note);
    }

    /// Keeps a connection to `server` of `service` for the next request.
    pub(crate) fn keep(
        &self,
        service: &str,
        server: &Server,
        connection: Connection,
        idle: Option<u64>,
    ) {
        let rules = self.rules.load();
        let limit = rules.and_then(|it| it.service(service)?.max_connections);
        let most = ConnectionPool::max_pooled(limit, self.routers.load(Ordering::Relaxed));
        self.pool.put(server, connection, idle, most, self.clock.now());
    }

    /// A request has left the slot that it held.
    pub(crate) fn held(&self, job: &mut PendingRequest) {
        if let Some(entered) = job.entered.take() {
            let time = self.clock.now().saturating_duration_since(entered);
            self.service_loads
                .with(&job.trail.service, ServiceLoad::default, |it| it.record_service_time(time));
        }
    }

    /// Draws the conclusions of a try that brought no answer.
    pub(crate) fn failed(
        self: &Arc<Relay>,
        job: &mut PendingRequest,
        attempt: &Attempt,
        failed: AttemptError,
    ) {
        attempt.note(job, failed.as_str());
        if failed == AttemptError::Unsent {
            return;
        }
        let server = &attempt.server;
        job.tried.push(server.hash);
        if failed.verdict() == Verdict::MayHaveRun {
            server.record_result(false, self.clock.now());
        }
        if failed == AttemptError::Lost {
            self.look_after(job, server);
        }
        let unreached = matches!(failed, AttemptError::Connect(_) | AttemptError::Misdirected);
        if unreached || (failed == AttemptError::Lost && attempt.first) {
            self.unreached(job, server, failed);
            self.pool.close_idle(server);
        }
    }

    /// A server answered; told to the log where it could not be reached before.
    fn reached(&self, server: &Server) {
        if server.record_reached() {
            let code = Code::ServerReached;
            info!(self.request_log.logger(), "{}", code.text();
                "event" => code.number(), "server" => &*server.id);
        }
    }

    /// A server is left alone for a while.
    fn unreached(&self, job: &PendingRequest, server: &Server, failed: AttemptError) {
        if let Some(pause) = server.record_unreached(self.clock.now()) {
            let code = Code::ServerUnreached;
            info!(self.request_log.logger(), "{}", code.text();
                "event" => code.number(), "server" => &*server.id, "request" => &job.ask.id,
                "why" => failed.as_str(), "pause_ms" => pause.as_millis() as u64);
        }
    }
}
