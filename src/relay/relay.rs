//! Handles a request from its head to the answer.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption, Guard};
use bytes::Bytes;
use http_body_util::Either;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, Version};
use slog::warn;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout_at;

use crate::clock::SharedClock;
use crate::decide::{
    KeyRates, LimitSenders, PartSuspects, ReadingRate, ServiceLoad, ServiceReach, Verdict,
};
use crate::events::Code;
use crate::fleet::CrashTable;
use crate::intake::{Client, Listener, ReadError, read_body};
use crate::relay::attempt_loop::Answer;
use crate::relay::body::MAX_BODY_BYTES;
use crate::relay::brittle_services::BrittleState;
use crate::relay::by_service::ByService;
use crate::relay::forward::{name_refusal, take_forwarding};
use crate::relay::pending_request::{Admitted, Grant, PendingRequest};
use crate::relay::request_trace::RequestTrace;
use crate::relay::room_state::RoomState;
use crate::relay::stream::relay_stream;
use crate::relay::{
    Codec, ConnectionPool, Forwarder, OriginQuery, Outcome, PrefixHolders, Refusal, RelayBody,
    RelayLimits, RequestLog, RequestMeta, RetryBudgets, StreamOrigins, full_body,
};
use crate::rules::{Denied, Evacuations, Lease, RouteKind, RulesCell};
use crate::servers::{RoomWaiters, ServerTable};

/// How long the crash of a backend server counts against a request.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Longest wait of a request for memory.
const MEMORY_WAIT: Duration = Duration::from_millis(500);
/// How often the fields of a head are held: as they came, and as they are sent on.
const HEAD_COPIES: usize = 2;

key! {
    /// Who sent a request.
    pub enum Sender {
        /// A caller.
        Caller,
        /// Another router, in place of a caller.
        Router,
    }
}

/// State shared by the request path and the tasks that update it.
#[derive(Debug)]
pub struct Relay {
    pub(crate) codec: Codec,
    limits: ArcSwap<RelayLimits>,
    pub(crate) clock: SharedClock,
    pub(crate) request_log: Arc<RequestLog>,
    pub(crate) pool: ConnectionPool,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) prefix_holders: PrefixHolders,
    /// How often prompt prefixes arrive at this router.
    pub(crate) key_rates: Mutex<KeyRates>,
    pub(crate) service_loads: ByService<ServiceLoad>,
    /// How fast the servers of each service read prompts.
    pub(crate) reading_rates: ByService<ReadingRate>,
    /// Admission to services that are short of room.
    pub(crate) room: RoomState,
    /// Which services have brittle servers.
    pub(crate) brittle: ByService<BrittleState>,
    /// Whether new connections to the servers of each service are established.
    pub(crate) reaches: ByService<ServiceReach>,
    /// Number of services from whose servers this router is cut off.
    pub(crate) cut_services: AtomicUsize,
    /// Notified when servers of a service are to be probed.
    pub(crate) probe_now: Notify,
    /// Notified when it is known whether this router is cut off from the servers of a service.
    pub(crate) reach_known: Notify,
    /// The other routers that may take requests meanwhile.
    pub(crate) forwarders: ArcSwap<Vec<Forwarder>>,
    /// The rules in force.
    pub rules: RulesCell,
    /// The time up to which the rules are confirmed.
    pub lease: Lease,
    /// The failure domains that operators have evacuated. Locked before `servers`.
    pub evacuations: Mutex<Evacuations>,
    /// The backend servers.
    pub servers: Mutex<ServerTable>,
    /// The time up to which their records are confirmed.
    pub servers_lease: Lease,
    /// Software versions that began streams.
    pub origins: Mutex<StreamOrigins>,
    /// Questions about streams that this router does not know.
    pub(crate) origin_queries: mpsc::Sender<OriginQuery>,
    /// Number of routers alive, including this one; they share the retry budget.
    pub routers: AtomicUsize,
    /// This router is shutting down.
    pub leaving: AtomicBool,
    /// Requests that crash backend servers, as reported by all routers.
    pub crashes: Arc<CrashTable>,
    /// Parts of prompts that may crash backend servers, as seen by all routers.
    pub parts: Arc<Mutex<PartSuspects>>,
    /// The routers that share the limits that backend servers name.
    pub(crate) limit_senders: ArcSwap<LimitSenders>,
    /// The routers that share what cold servers take, once they are known.
    pub(crate) cold_senders: ArcSwapOption<LimitSenders>,
    /// Notified of an urgent update, which must be sent to the other routers at once.
    pub urgent_update: Arc<Notify>,
}

impl Relay {
    /// A relay without rules or servers. It sends its questions to other routers to
    /// `origin_queries`.
    pub fn new(
        codec: Codec,
        limits: RelayLimits,
        clock: SharedClock,
        request_log: Arc<RequestLog>,
        origin_queries: mpsc::Sender<OriginQuery>,
    ) -> Relay {
        let waiters = RoomWaiters::new(request_log.waiting.clone());
        Relay {
            codec,
            limits: ArcSwap::from_pointee(limits),
            clock,
            request_log,
            pool: ConnectionPool::default(),
            retry_budgets: RetryBudgets::new(),
            prefix_holders: PrefixHolders::default(),
            key_rates: Mutex::default(),
            service_loads: ByService::default(),
            reading_rates: ByService::default(),
            room: RoomState::new(waiters),
            brittle: ByService::default(),
            reaches: ByService::default(),
            cut_services: AtomicUsize::new(0),
            probe_now: Notify::new(),
            reach_known: Notify::new(),
            forwarders: ArcSwap::default(),
            rules: RulesCell::default(),
            lease: Lease::default(),
            evacuations: Mutex::default(),
            servers: Mutex::default(),
            servers_lease: Lease::default(),
            origins: Mutex::default(),
            origin_queries,
            routers: AtomicUsize::new(1),
            leaving: AtomicBool::new(false),
            crashes: Arc::new(CrashTable::new(CRASH_RETENTION)),
            parts: Arc::default(),
            limit_senders: ArcSwap::default(),
            cold_senders: ArcSwapOption::default(),
            urgent_update: Arc::default(),
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> Guard<Arc<RelayLimits>> {
        self.limits.load()
    }

    /// Puts other limits in force.
    pub fn set_limits(&self, limits: RelayLimits) {
        self.limits.store(Arc::new(limits));
    }

    /// The clock.
    pub fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// Whether this router may receive callers' requests.
    pub fn is_ready(&self) -> bool {
        let is_current = self.lease.holds(self.clock.boot(), self.limits().ready_age);
        !self.leaving.load(Ordering::Relaxed) && self.rules.load().is_some() && is_current
    }

    /// Handles one request. Refuses it if `is_closed`, as its answer would be cut off.
    pub async fn handle(
        self: Arc<Relay>,
        request: Request<Incoming>,
        sender: Sender,
        is_closed: bool,
    ) -> Response<RelayBody> {
        let mut trace = RequestTrace::new(&self.request_log);
        let (mut head, body) = request.into_parts();
        let client = head.extensions.remove::<Arc<Client>>();
        let client = client.expect("each connection has a client");
        let forwarding = take_forwarding(&mut head.headers);
        trace.forwarding = forwarding.filter(|_| sender == Sender::Router);
        let version = head.version;
        let mut response = match self.admit(&client, head, body, is_closed, &mut trace).await {
            Ok(admitted) => self.answer(admitted.with_trace(trace)).await,
            Err(refusal) => refuse(&mut trace, refusal),
        };
        if version < Version::HTTP_11 {
            response = self.with_length(response, &client).await;
        }
        if self.leaving.load(Ordering::Relaxed) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn admit(
        &self,
        client: &Arc<Client>,
        head: Parts,
        body: Incoming,
        is_closed: bool,
        trace: &mut RequestTrace,
    ) -> Result<Admitted, Refusal> {
        let meta = (self.codec.request_meta)(&head).map_err(|_| Refusal::Malformed)?;
        trace.request.clone_from(&meta.id);
        trace.resumes.clone_from(&meta.resumes);
        if is_closed {
            return Err(Refusal::Leaving);
        }
        let limits = self.rules.load().ok_or(Refusal::NoRules)?.limits.clone();
        if head_bytes(&head) > limits.head {
            return Err(Refusal::HeadTooLarge);
        }
        let grant = self.allow(&meta, head.uri.path(), trace)?;
        trace.kind = kind_name(grant.route.kind);
        let time = meta.deadline.map_or(grant.route.timeout, |it| it.min(grant.route.timeout));
        let deadline = trace.received() + time;
        let head_bytes = head_bytes(&head) * HEAD_COPIES;
        let body = self.read_request(client, body, head_bytes, limits.body, deadline).await?;
        Ok(Admitted { client: Arc::clone(client), head, meta, body, deadline })
    }

    /// Reads the body of a request by its deadline.
    async fn read_request(
        &self,
        client: &Arc<Client>,
        body: Incoming,
        head_bytes: usize,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, Refusal> {
        let now = self.clock.now();
        let until = deadline.min(now + MEMORY_WAIT);
        let _sending = client.begin_body(now);
        let budget = client.intake.budget(Listener::Callers);
        let body = read_body(body, client, budget, head_bytes, limit, until);
        match timeout_at(deadline.into(), body).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(ReadError::TooLong)) => Err(Refusal::TooLarge),
            Ok(Err(ReadError::NoMemory)) => Err(Refusal::NoMemory),
            Ok(Err(ReadError::Broken(_))) => Err(Refusal::Malformed),
            Err(_) => Err(Refusal::TooLate),
        }
    }

    /// Checks a request against the rules in force. Called again before each attempt, as
    /// the rules may have changed.
    pub(crate) fn allow(
        &self,
        meta: &RequestMeta,
        path: &str,
        trace: &mut RequestTrace,
    ) -> Result<Grant, Refusal> {
        let rules = self.rules.load().ok_or(Refusal::NoRules)?;
        let age = self.lease.age(self.clock.boot()).ok_or(Refusal::NoRules)?;
        trace.rules = rules.version;
        trace.rules_age = age;
        let allowed = rules.allow(&meta.host, path, meta.key.as_deref());
        let (route, organisation) = allowed.map_err(|denied| match denied {
            _ if age >= self.limits().deny_age => Refusal::NoRules,
            Denied::NoRoute => Refusal::NoRoute,
            Denied::NoOrganisation => Refusal::NoOrganisation,
        })?;
        if rules.needs_key(route) && age >= self.limits().key_age {
            return Err(Refusal::NoRules);
        }
        trace.route.clone_from(&route.name);
        if let Some(it) = organisation {
            trace.organisation.clone_from(&it.name);
        }
        Ok(Grant { route: Arc::clone(route), organisation: organisation.cloned() })
    }

    async fn answer(self: &Arc<Relay>, mut pending: Box<PendingRequest>) -> Response<RelayBody> {
        match self.run_attempts(&mut pending).await {
            Ok(Answer::Full(response)) => {
                pending.trace.verdict = Verdict::Ran;
                pending.trace.finish(Outcome::Done, "answered");
                response.map(full_body)
            }
            Ok(Answer::Stream(reply, route)) => relay_stream(self, pending, *reply, &route),
            Err(refusal) => refuse(&mut pending.trace, refusal),
        }
    }

    /// Reads an answer to its end, so that it is sent with its length. Callers of HTTP/1.0
    /// know no chunks, and a stream that is cut would look complete to them.
    async fn with_length(
        &self,
        response: Response<RelayBody>,
        client: &Arc<Client>,
    ) -> Response<RelayBody> {
        let (parts, body) = response.into_parts();
        let Either::Right(events) = body else { return Response::from_parts(parts, body) };
        let until = self.clock.now() + MEMORY_WAIT;
        let budget = client.intake.budget(Listener::Callers);
        match read_body(events, client, budget, 0, MAX_BODY_BYTES, until).await {
            Ok(body) => Response::from_parts(parts, full_body(body)),
            Err(e) => {
                // Any other error is in the log line of the request, or the intake notes it.
                if matches!(e, ReadError::TooLong) {
                    let code = Code::TooLarge;
                    warn!(self.request_log.logger(), "an answer to a caller of HTTP/1.0 is too large";
                        "event" => code.number(), "limit_bytes" => MAX_BODY_BYTES);
                }
                Refusal::ServerFailed.response(None)
            }
        }
    }
}

/// Approximate length of a head on the wire.
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

fn refuse(trace: &mut RequestTrace, refusal: Refusal) -> Response<RelayBody> {
    trace.status = refusal.status().as_u16();
    trace.verdict = refusal.verdict();
    let outcome = match refusal.verdict() {
        Verdict::NotRun => Outcome::Refused,
        _ => Outcome::Failed,
    };
    trace.finish(outcome, refusal.as_str());
    let mut response = refusal.response(trace.retry_after);
    if trace.forwarding.is_some() {
        name_refusal(response.headers_mut(), refusal);
    }
    response
}
