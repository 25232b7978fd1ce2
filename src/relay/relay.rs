//! The path of a request.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, Guard};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::SharedClock;
use crate::decide::{Candidate, Verdict, hash_bytes, pick, weighted_score};
use crate::fleet::{CrashBoard, RunningSuspect};
use crate::relay::exchange::{Reply, Sending, exchange};
use crate::relay::journal::Trail;
use crate::relay::stream::relay_stream;
use crate::relay::{
    Ask, Codec, Failed, Journal, Outcome, Outgoing, PrefixHomes, Refusal, RelayBody, RelayLimits,
    Retries, Upstream, drop_hop_headers, whole,
};
use crate::rules::{Denied, Lease, Organisation, Route, RouteKind, RulesCell};
use crate::servers::{Server, ServerTable};

/// Connections tried for one request before it is refused.
const MOST_CONNECTS: usize = 4;
/// Objectives after which a server that has not begun to answer is left.
const PATIENCE_FACTOR: u32 = 3;
/// Shortest time after which such a server is left.
const LEAST_PATIENCE: Duration = Duration::from_millis(500);
/// How long the death of a backend server counts against a request.
const CRASH_RELEASE: Duration = Duration::from_secs(60);
/// Time left below which a request is not sent any more.
const LEAST_LEFT: Duration = Duration::from_millis(10);

/// What the request path shares with the state path.
#[derive(Debug)]
pub struct Relay {
    codec: Codec,
    limits: ArcSwap<RelayLimits>,
    clock: SharedClock,
    journal: Arc<Journal>,
    upstream: Upstream,
    retries: Retries,
    homes: PrefixHomes,
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
    pub crashes: Arc<CrashBoard>,
    /// Wakes whoever tells other routers, when there is something urgent.
    pub news: Arc<Notify>,
}

/// How a request is allowed.
#[derive(Debug)]
pub(crate) struct Grant {
    pub route: Arc<Route>,
    pub organisation: Option<Arc<Organisation>>,
}

/// A request under way.
#[derive(Debug)]
pub(crate) struct Job {
    pub head: Parts,
    pub ask: Ask,
    pub body: Bytes,
    pub deadline: Instant,
    /// Event after which the stream goes on.
    pub last_event: Option<String>,
    /// Servers that are not tried again.
    tried: SmallVec<[u64; 4]>,
    /// Held while it is the only run of a request that may crash servers.
    pub alone: Option<RunningSuspect>,
    /// Times that it was sent.
    sends: u32,
    connects: usize,
    pub trail: Trail,
}

/// A good answer.
pub(crate) enum Answer {
    Whole(Response<Bytes>),
    Stream(Box<Reply>),
}

impl Relay {
    /// A relay that knows no rules and no servers yet.
    pub fn new(
        codec: Codec,
        limits: RelayLimits,
        clock: SharedClock,
        journal: Arc<Journal>,
    ) -> Relay {
        Relay {
            codec,
            limits: ArcSwap::from_pointee(limits),
            clock,
            journal,
            upstream: Upstream::default(),
            retries: Retries::new(),
            homes: PrefixHomes::default(),
            rules: RulesCell::default(),
            lease: Lease::default(),
            servers: Mutex::default(),
            routers: AtomicUsize::new(1),
            leaving: AtomicBool::new(false),
            crashes: Arc::new(CrashBoard::new(CRASH_RELEASE)),
            news: Arc::default(),
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

    /// Connections to backend servers.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// The clock.
    pub fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// What becomes of requests.
    pub(crate) fn journal(&self) -> &Journal {
        &self.journal
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
        let mut trail = Trail::new(&self.journal);
        let (head, body) = request.into_parts();
        let admitted = match closed {
            true => Err(Refusal::Leaving),
            false => self.admit(head, body, &mut trail).await,
        };
        let mut response = match admitted {
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
        trail: &mut Trail,
    ) -> Result<Admitted, Refusal> {
        let ask = (self.codec.ask)(&head).map_err(|_| Refusal::Malformed)?;
        trail.request.clone_from(&ask.id);
        let grant = self.allow(&ask, head.uri.path(), trail)?;
        trail.kind = kind_name(grant.route.kind);
        let limit = self.rules.load().map_or(0, |it| it.limits.body);
        let body = Limited::new(body, limit).collect().await;
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
    fn allow(&self, ask: &Ask, path: &str, trail: &mut Trail) -> Result<Grant, Refusal> {
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

    async fn answer(self: &Arc<Relay>, mut job: Box<Job>) -> Response<RelayBody> {
        match self.run(&mut job).await {
            Ok(Answer::Whole(response)) => {
                job.trail.verdict = Verdict::Ran;
                job.trail.finish(Outcome::Done, "answered");
                response.map(whole)
            }
            Ok(Answer::Stream(reply)) => relay_stream(self, job, *reply),
            Err(refusal) => refuse(&mut job.trail, refusal),
        }
    }

    /// Tries backend servers until one answers or no further try is allowed.
    ///
    /// # Errors
    /// Tells what to answer in place.
    pub(crate) async fn run(self: &Arc<Relay>, job: &mut Job) -> Result<Answer, Refusal> {
        let mut verdict = job.trail.verdict;
        let mut fallback = None;
        loop {
            let outcome = self.try_once(job).await;
            let (failed, repeatable, response) = match outcome {
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
            if let Some(failed) = failed {
                verdict = verdict.and(failed.verdict());
            } else {
                verdict = Verdict::MayHaveRun;
            }
            job.trail.verdict = verdict;
            fallback = response.or(fallback);
            if failed.is_some_and(|it| !it.arrived()) {
                continue;
            }
            if self.may_retry(job, &repeatable, verdict) {
                continue;
            }
            return match (fallback, failed) {
                (Some(response), _) => Ok(Answer::Whole(response)),
                (None, Some(Failed::Silent)) => Err(Refusal::TimedOut),
                (None, _) if verdict == Verdict::NotRun => Err(Refusal::Shed),
                (None, _) => Err(Refusal::ServerFailed),
            };
        }
    }

    fn may_retry(&self, job: &Job, grant: &Grant, verdict: Verdict) -> bool {
        let route = &grant.route;
        let now = self.clock.now();
        let allowed = verdict == Verdict::NotRun || route.is_repeatable();
        let left = job.deadline.saturating_duration_since(now);
        let rate = Retries::rate(&self.limits(), self.routers.load(Ordering::Relaxed));
        allowed
            && job.sends < route.attempts
            && left > LEAST_LEFT
            && self.retries.spend(&job.trail.service, &rate, now)
    }

    /// Whether a broken stream may go on elsewhere.
    pub(crate) fn may_resume(&self, job: &mut Job) -> bool {
        let path = job.head.uri.path().to_owned();
        let grant = self.allow(&job.ask, &path, &mut job.trail);
        grant.is_ok_and(|it| it.route.resumable && self.may_retry(job, &it, Verdict::MayHaveRun))
    }

    async fn try_once(self: &Arc<Relay>, job: &mut Job) -> Result<Tried, Refusal> {
        let now = self.clock.now();
        let left = job.deadline.saturating_duration_since(now);
        if left < LEAST_LEFT {
            return Err(Refusal::TooLate);
        }
        let grant = self.allow(&job.ask, job.head.uri.path(), &mut job.trail)?;
        self.enter_suspect(job)?;
        let server = self.choose(job, &grant)?;
        let load = server.load();
        let in_flight = server.enter();
        let fresh = grant.route.kind == RouteKind::NonIdempotent || job.sends + job.resumes() > 0;
        let connection = match self.upstream.open(&server, fresh, now).await {
            Ok(it) => it,
            Err(e) => {
                let failed = Failed::Connect(e);
                self.failed(job, &server, failed, load, now, true);
                return Ok(Tried::Failed(failed, grant));
            }
        };
        let first = !connection.reused;
        let sending = self.sending(job, &grant, &server);
        let deadline = job.deadline.into();
        let read = self.codec.answer;
        if job.sends == 0 {
            let rate = Retries::rate(&self.limits(), self.routers.load(Ordering::Relaxed));
            self.retries.earn(&job.trail.service, &rate, now);
        }
        job.sends += 1;
        job.trail.verdict = Verdict::MayHaveRun;
        let id = job.ask.id.clone();
        let tried = exchange(&sending, connection, in_flight, &id, read, deadline);
        let Some(tried) = self.patiently(tried, job, &grant, &server).await else {
            job.trail.tried(&server.id, load, "abandoned", now);
            job.tried.push(server.hash);
            return Ok(Tried::Abandoned);
        };
        let failed = match tried {
            Ok(reply) => {
                server.reached();
                match self.take(job, &grant, &server, reply, load, now).await {
                    Ok(tried) => return Ok(tried.with(grant)),
                    Err(failed) => failed,
                }
            }
            Err(failed) => failed,
        };
        if failed == Failed::Unsent {
            job.sends -= 1;
        }
        self.failed(job, &server, failed, load, now, first);
        Ok(Tried::Failed(failed, grant))
    }

    /// Waits for `tried`. A server that is silent for far longer than the request's
    /// objective is left where another one may be tried; then there is no result.
    async fn patiently<T>(
        &self,
        tried: impl Future<Output = T>,
        job: &Job,
        grant: &Grant,
        server: &Server,
    ) -> Option<T> {
        let mut tried = std::pin::pin!(tried);
        let patience = (grant.route.objective * PATIENCE_FACTOR).max(LEAST_PATIENCE);
        if let Ok(result) = timeout(patience, tried.as_mut()).await {
            return Some(result);
        }
        server.note(false, self.clock.now());
        if self.may_retry(job, grant, Verdict::MayHaveRun) {
            return None;
        }
        Some(tried.await)
    }

    /// Takes a good head: streams go on, other answers are read whole.
    async fn take(
        &self,
        job: &mut Job,
        grant: &Grant,
        server: &Arc<Server>,
        reply: Reply,
        load: u32,
        began: Instant,
    ) -> Result<Took, Failed> {
        let status = reply.parts.status;
        if grant.route.kind == RouteKind::Streaming && status.is_success() {
            job.trail.tried(&server.id, load, "stream", began);
            server.note(true, self.clock.now());
            if let Some(key) = job.ask.prefix_key() {
                self.homes.note(key, server, self.clock.now());
            }
            job.trail.answered(status.as_u16());
            return Ok(Took::Stream(Box::new(reply)));
        }
        let (response, head, connection, _) = reply.whole(job.deadline.into()).await?;
        self.upstream.keep(server, connection, head.keep_alive, self.clock.now());
        let again = status.is_server_error() && grant.route.is_repeatable();
        job.trail.tried(&server.id, load, status.as_str(), began);
        job.trail.answered(status.as_u16());
        server.note(!status.is_server_error(), self.clock.now());
        if again {
            job.tried.push(server.hash);
            return Ok(Took::ServerError(response));
        }
        Ok(Took::Whole(response))
    }

    fn failed(
        self: &Arc<Relay>,
        job: &mut Job,
        server: &Server,
        failed: Failed,
        load: u32,
        began: Instant,
        first: bool,
    ) {
        job.trail.tried(&server.id, load, failed.as_str(), began);
        if failed == Failed::Unsent {
            return;
        }
        job.tried.push(server.hash);
        if failed.verdict() == Verdict::MayHaveRun {
            server.note(false, self.clock.now());
        }
        if failed == Failed::Lost {
            self.look_after(job, server);
        }
        let unreached = matches!(failed, Failed::Connect(_) | Failed::Misdirected);
        if unreached || (failed == Failed::Lost && first) {
            server.unreached(self.clock.now());
            self.upstream.forget(server);
        }
    }

    fn choose(&self, job: &mut Job, grant: &Grant) -> Result<Arc<Server>, Refusal> {
        if job.connects >= MOST_CONNECTS {
            return Err(Refusal::NoServer);
        }
        job.connects += 1;
        let key = job.ask.prefix_key();
        let seed = hash_bytes(job.ask.id.as_bytes());
        let service = grant.route.target(key.unwrap_or(seed)).ok_or(Refusal::NoServer)?;
        job.trail.service.clear();
        job.trail.service.push_str(service);
        let servers = self.servers.lock().unwrap().of(service).ok_or(Refusal::NoServer)?;
        let now = self.clock.now();
        let all: SmallVec<[Candidate; 32]> =
            servers.iter().map(|it| candidate(it, &job.tried, now)).collect();
        let full = all.iter().any(|it| !it.closed);
        let refusal = if full { Refusal::NoRoom } else { Refusal::NoServer };
        let at = pick(&all, key, &self.limits().bound, seed).ok_or(refusal)?;
        Ok(Arc::clone(&servers[at]))
    }

    /// Who can hand the prefix `key` over to `server`: a known holder, else the
    /// first other one in the rank, where other routers send it.
    fn source(
        &self,
        job: &Job,
        key: u64,
        server: &Arc<Server>,
        now: Instant,
    ) -> Option<Arc<Server>> {
        if self.homes.holds(key, server, now) {
            return None;
        }
        self.homes.source(key, server, now).or_else(|| {
            let servers = self.servers.lock().unwrap().of(&job.trail.service)?;
            let others = servers.iter().filter(|it| !Arc::ptr_eq(it, server));
            let open = others.filter(|it| it.is_reachable(now));
            let rank = |it: &Arc<Server>| weighted_score(key, it.hash, 1.0);
            open.max_by(|a, b| rank(a).total_cmp(&rank(b))).cloned()
        })
    }

    fn sending(&self, job: &Job, grant: &Grant, server: &Arc<Server>) -> Sending {
        let mut headers = job.head.headers.clone();
        drop_hop_headers(&mut headers);
        let organisation = grant.organisation.as_deref();
        let own = organisation.and_then(|it| it.priority);
        let now = self.clock.now();
        let key = job.ask.prefix_key();
        let source = key.and_then(|key| self.source(job, key, server, now));
        let outgoing = Outgoing {
            source: source.map(|it| it.address),
            server: &server.id,
            organisation: organisation.map(|it| it.name.as_str()),
            left: job.deadline.saturating_duration_since(now),
            priority: own.unwrap_or(grant.route.priority),
            last_event: job.last_event.as_deref(),
        };
        (self.codec.outgoing)(&mut headers, &outgoing);
        Sending {
            method: job.head.method.clone(),
            uri: job.head.uri.clone(),
            headers,
            body: job.body.clone(),
        }
    }
}

/// What one try brought.
enum Tried {
    Answer(Answer),
    /// An answer with a server error, and the request may be sent again.
    ServerError(Response<Bytes>, Grant),
    Failed(Failed, Grant),
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
            Took::Stream(reply) => Tried::Answer(Answer::Stream(reply)),
            Took::ServerError(response) => Tried::ServerError(response, grant),
        }
    }
}

/// A request that is allowed and read whole.
struct Admitted {
    head: Parts,
    ask: Ask,
    body: Bytes,
    deadline: Instant,
}

impl Admitted {
    fn with(self, trail: Trail) -> Box<Job> {
        Box::new(Job {
            head: self.head,
            last_event: self.ask.last_event.clone(),
            ask: self.ask,
            body: self.body,
            deadline: self.deadline,
            tried: SmallVec::new(),
            alone: None,
            sends: 0,
            connects: 0,
            trail,
        })
    }
}

impl Job {
    fn resumes(&self) -> u32 {
        self.trail.resumed
    }

    /// The stream broke off at `server` and goes on elsewhere, if it may.
    pub fn resume(&mut self, server: &Server, last: Option<&str>) {
        self.tried.push(server.hash);
        self.connects = 0;
        self.last_event = last.map(str::to_owned);
        self.trail.resumed += 1;
    }
}

fn candidate(server: &Server, tried: &[u64], now: Instant) -> Candidate {
    let open = server.is_reachable(now) && !server.is_avoided();
    let closed = !open || tried.contains(&server.hash);
    Candidate { hash: server.hash, load: server.load(), slots: server.slots, closed }
}

fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Streaming => "streaming",
    }
}

fn refuse(trail: &mut Trail, refusal: Refusal) -> Response<RelayBody> {
    trail.status = refusal.status().as_u16();
    trail.verdict = refusal.verdict();
    let outcome = match refusal.verdict() {
        Verdict::NotRun => Outcome::Refused,
        _ => Outcome::Failed,
    };
    trail.finish(outcome, refusal.as_str());
    refusal.response()
}
