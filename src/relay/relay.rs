//! The path of a request.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, Guard};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use tokio::sync::Notify;

use crate::clock::SharedClock;
use crate::decide::{ServiceLoad, Verdict};
use crate::fleet::CrashTable;
use crate::relay::attempt_loop::Answer;
use crate::relay::by_service::ByService;
use crate::relay::pending_request::{Admitted, Grant, PendingRequest};
use crate::relay::request_trace::RequestTrace;
use crate::relay::stream::relay_stream;
use crate::relay::{
    Codec, ConnectionPool, Outcome, PrefixHolders, Refusal, RelayBody, RelayLimits, RequestLog,
    RequestMeta, RetryBudgets, full_body,
};
use crate::rules::{Denied, Lease, RouteKind, RulesCell};
use crate::servers::ServerTable;

/// How long the death of a backend server counts against a request.
const CRASH_RELEASE: Duration = Duration::from_secs(60);

/// What the request path shares with the state path.
#[derive(Debug)]
pub struct Relay {
    pub(crate) codec: Codec,
    limits: ArcSwap<RelayLimits>,
    pub(crate) clock: SharedClock,
    pub(crate) request_log: Arc<RequestLog>,
    pub(crate) pool: ConnectionPool,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) prefix_holders: PrefixHolders,
    pub(crate) service_loads: ByService<ServiceLoad>,
    /// The rules in force.
    pub rules: RulesCell,
    /// How far the rules are confirmed.
    pub lease: Lease,
    /// The backend servers.
    pub servers: Mutex<ServerTable>,
    /// Routers alive, this one among them; they share the retry budget.
    pub routers: AtomicUsize,
    /// This router is shutting down.
    pub leaving: AtomicBool,
    /// Requests that crash backend servers, as all routers have seen.
    pub crashes: Arc<CrashTable>,
    /// Wakes whoever tells other routers, when there is something urgent.
    pub urgent_update: Arc<Notify>,
}

impl Relay {
    /// A relay that knows no rules and no servers yet.
    pub fn new(
        codec: Codec,
        limits: RelayLimits,
        clock: SharedClock,
        request_log: Arc<RequestLog>,
    ) -> Relay {
        Relay {
            codec,
            limits: ArcSwap::from_pointee(limits),
            clock,
            request_log,
            pool: ConnectionPool::default(),
            retry_budgets: RetryBudgets::new(),
            prefix_holders: PrefixHolders::default(),
            service_loads: ByService::default(),
            rules: RulesCell::default(),
            lease: Lease::default(),
            servers: Mutex::default(),
            routers: AtomicUsize::new(1),
            leaving: AtomicBool::new(false),
            crashes: Arc::new(CrashTable::new(CRASH_RELEASE)),
            urgent_update: Arc::default(),
        }
    }

    /// The bounds in force.
    pub fn limits(&self) -> Guard<Arc<RelayLimits>> {
        self.limits.load()
    }

    /// Puts other bounds in force.
    pub fn set_limits(&self, limits: RelayLimits) {
        self.limits.store(Arc::new(limits));
    }

    /// The clock.
    pub fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let fresh = self.lease.holds(self.clock.boot(), self.limits().ready_age);
        !self.leaving.load(Ordering::Relaxed) && self.rules.load().is_some() && fresh
    }

    /// Serves one request; refuses it where `closed`, as it would be cut off.
    pub async fn handle(
        self: Arc<Relay>,
        request: Request<Incoming>,
        closed: bool,
    ) -> Response<RelayBody> {
        let mut trail = RequestTrace::new(&self.request_log);
        let (head, body) = request.into_parts();
        let mut response = match self.admit(head, body, closed, &mut trail).await {
            Ok(job) => self.answer(job.with(trail)).await,
            Err(refusal) => refuse(&mut trail, refusal),
        };
        if self.leaving.load(Ordering::Relaxed) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn admit(
        &self,
        head: Parts,
        body: Incoming,
        closed: bool,
        trail: &mut RequestTrace,
    ) -> Result<Admitted, Refusal> {
        let ask = (self.codec.request_meta)(&head).map_err(|_| Refusal::Malformed)?;
        trail.request.clone_from(&ask.id);
        if closed {
            return Err(Refusal::Leaving);
        }
        let limits = self.rules.load().ok_or(Refusal::NoRules)?.limits.clone();
        if head_bytes(&head) > limits.head {
            return Err(Refusal::HeadTooLarge);
        }
        let grant = self.allow(&ask, head.uri.path(), trail)?;
        trail.kind = kind_name(grant.route.kind);
        let body = Limited::new(body, limits.body).collect().await;
        let body = body.map_err(|e| match e.is::<LengthLimitError>() {
            true => Refusal::TooLarge,
            false => Refusal::Malformed,
        })?;
        let time = ask.deadline.map_or(grant.route.timeout, |it| it.min(grant.route.timeout));
        let deadline = trail.received() + time;
        Ok(Admitted { head, ask, body: body.to_bytes(), deadline })
    }

    /// What the rules in force say of a request. Called again before each send,
    /// as they may have changed meanwhile.
    pub(crate) fn allow(
        &self,
        ask: &RequestMeta,
        path: &str,
        trail: &mut RequestTrace,
    ) -> Result<Grant, Refusal> {
        let rules = self.rules.load().ok_or(Refusal::NoRules)?;
        let age = self.lease.age(self.clock.boot()).ok_or(Refusal::NoRules)?;
        trail.rules = rules.version;
        trail.rules_age = age;
        let allowed = rules.allow(&ask.host, path, ask.key.as_deref());
        let (route, organisation) = allowed.map_err(|denied| match denied {
            _ if age >= self.limits().deny_age => Refusal::NoRules,
            Denied::NoRoute => Refusal::NoRoute,
            Denied::NoOrganisation => Refusal::NoOrganisation,
        })?;
        if rules.needs_key(route) && age >= self.limits().key_age {
            return Err(Refusal::NoRules);
        }
        trail.route.clone_from(&route.name);
        if let Some(it) = organisation {
            trail.organisation.clone_from(&it.name);
        }
        Ok(Grant { route: Arc::clone(route), organisation: organisation.cloned() })
    }

    async fn answer(self: &Arc<Relay>, mut job: Box<PendingRequest>) -> Response<RelayBody> {
        match self.run(&mut job).await {
            Ok(Answer::Whole(response)) => {
                job.trail.verdict = Verdict::Ran;
                job.trail.finish(Outcome::Done, "answered");
                response.map(full_body)
            }
            Ok(Answer::Stream(reply, route)) => relay_stream(self, job, *reply, &route),
            Err(refusal) => refuse(&mut job.trail, refusal),
        }
    }
}

/// Length of a head, about as it was on the wire.
fn head_bytes(head: &Parts) -> usize {
    let headers = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    head.uri.path().len() + headers.sum::<usize>()
}

fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Streaming => "streaming",
    }
}

fn refuse(trail: &mut RequestTrace, refusal: Refusal) -> Response<RelayBody> {
    trail.status = refusal.status().as_u16();
    trail.verdict = refusal.verdict();
    let outcome = match refusal.verdict() {
        Verdict::NotRun => Outcome::Refused,
        _ => Outcome::Failed,
    };
    trail.finish(outcome, refusal.as_str());
    refusal.response(trail.retry_after)
}
