//! Sends a request to a chosen backend server, and again to another where that is
//! safe.

use std::sync::Arc;
use std::time::Duration;

use warp::reply::Response;

use crate::decide::{Engine, FailurePoint, ServerResult, Verdict};
use crate::events::{Code, Fields};
use crate::filters::admit::wait_for_capacity;
use crate::filters::attempts::{Attempts, no_room, not_loaded};
use crate::filters::chat::{ChatPayload, send_chat};
use crate::filters::choose::load_bound;
use crate::filters::excluded_servers::ExcludedServers;
use crate::filters::failure::Failure;
use crate::filters::in_flight::InFlight;
use crate::filters::service::send_service;
use crate::filters::suspect::{
    CrashCandidate, CrashWatch, admit_suspect, may_be_crash, record_crash,
};
use crate::filters::{Call, Refusal, Shared};
use crate::fleet::{BackendServer, RunningSuspect};

/// Maximum load of the service instances that are not ejected, as a multiple of
/// the mean.
const SERVICE_LOAD_BOUND: f64 = 2.0;
/// Response times of chats are scaled to a request of this many tokens.
const NOMINAL_COST_TOKENS: f64 = 100.0;
/// A timeout of a shorter attempt says nothing about the backend server.
const MIN_CONCLUSIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// A chosen backend server, with the request counted towards it.
pub(crate) struct Chosen {
    pub(crate) server: BackendServer,
    pub(crate) engine: Engine,
    pub(crate) work: InFlight,
    /// Held while a suspect request runs; for a stream, until it ends.
    pub(crate) running_suspect: Option<Arc<RunningSuspect>>,
}

/// The request to send to the chosen backend server.
pub(crate) enum Payload<'a> {
    /// A chat request.
    Chat(&'a ChatPayload),
    /// A service call, passed on as received.
    Service,
}

impl Payload<'_> {
    /// Time to compare servers by: that of a complete answer, for a chat scaled by
    /// its length. None for a stream, whose answer is not complete yet.
    fn normalised_time(&self, took: Duration, plan: &Plan) -> Option<Duration> {
        match self {
            Payload::Chat(it) if it.is_streamed() => None,
            Payload::Chat(_) => Some(took.mul_f64(NOMINAL_COST_TOKENS / plan.cost.max(1) as f64)),
            Payload::Service => Some(took),
        }
    }
}

/// How a request is placed and retried.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    /// Key for the ranking of servers.
    pub(crate) key: u64,
    /// Engine and incarnation of the chat hint.
    pub(crate) hint: Option<(u64, u64)>,
    /// Tokens that the request adds to the load of a server.
    pub(crate) cost: u64,
    /// Whether the request may run twice.
    pub(crate) idempotent: bool,
    /// Fingerprint of the content, for requests that could crash an engine.
    pub(crate) fingerprint: Option<u64>,
    /// Whether the request is a suspect, which all routers place on the same engine
    /// so that little else is at risk.
    pub(crate) is_isolated: bool,
}

/// Sends the request to backend servers of `pool` until one answers, a failure
/// may not be retried, or the attempts or the retry budget are used up.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    call: &Call,
    pool: &str,
    plan: &Plan,
    payload: Payload<'_>,
) -> Result<Response, Refusal> {
    if !call.view.pools.contains_key(pool) {
        return Err(no_room(format!("pool `{pool}` has no backend servers")));
    }
    if call.view.pools.get(pool).is_some_and(|it| ExcludedServers::new(call, it).covers(it)) {
        return Err(not_loaded());
    }
    let permit = wait_for_capacity(shared, call, pool, plan.cost).await?;
    let record = shared.upstream.pool(pool, shared.clock.now());
    let bound = match &payload {
        Payload::Chat(_) => load_bound(call),
        Payload::Service => SERVICE_LOAD_BOUND,
    };
    let mut attempts = Attempts::new(record, permit, bound);
    loop {
        let suspect = match plan.fingerprint {
            Some(it) => admit_suspect(shared, it, &call.id).map_err(|it| attempts.refuse(it))?,
            None => None,
        };
        let suspect = suspect.map(Arc::new);
        let plan = &Plan { is_isolated: suspect.is_some(), ..*plan };
        let (mut chosen, attempt) = attempts.next(shared, call, pool, plan)?;
        chosen.running_suspect = suspect.clone();
        let candidate = plan.fingerprint.and_then(|it| CrashCandidate::new(shared, it, &chosen));
        let mut watch = CrashWatch::new(shared, candidate);
        let name = chosen.server.name.clone();
        let sent = Arc::clone(&chosen.engine.sent);
        let result = match &payload {
            Payload::Chat(chat) => send_chat(shared, call, chat, chosen).await,
            Payload::Service => send_service(shared, call, chosen, plan.idempotent).await,
        };
        let candidate = watch.disarm();
        let now = shared.clock.now();
        let outcome = outcome(&result, attempt.elapsed(now), &payload, plan);
        if attempt.end(outcome, now) {
            let fields = Fields { subject: &name, detail: pool };
            shared.events.record(Code::ServerSetAside, fields);
        }
        let failure = match result {
            Ok(answer) => return Ok(answer),
            Err(it) => it,
        };
        let detail = format!("{name}: {}", failure.message);
        shared.events.record(Code::BackendFailed, Fields { subject: &call.id, detail: &detail });
        if let Some(candidate) = candidate.filter(|_| may_be_crash(&failure)) {
            record_crash(shared, &candidate).await;
        }
        drop(suspect);
        let refusal = attempts.record_failure(&failure);
        if matches!(payload, Payload::Chat(_)) && refusal.verdict == Verdict::NotRun {
            sent.mark_down();
        }
        if !attempts.may_retry(shared, call, plan, &failure) {
            return Err(refusal);
        }
        shared.events.record(Code::RequestRetried, Fields { subject: &call.id, detail: &name });
    }
}

/// What an attempt that lasted `took` says about the backend server.
fn outcome(
    result: &Result<Response, Failure>,
    took: Duration,
    payload: &Payload<'_>,
    plan: &Plan,
) -> ServerResult {
    let failure = match result {
        Ok(_) => return ServerResult::Good(payload.normalised_time(took, plan)),
        Err(it) => it,
    };
    match failure.point {
        FailurePoint::Unsent | FailurePoint::Rejected => ServerResult::Unknown,
        FailurePoint::Timeout if took < MIN_CONCLUSIVE_TIMEOUT => ServerResult::Unknown,
        _ => ServerResult::Bad,
    }
}

/// Time remaining until the deadline of `call`, unless it has passed.
pub(crate) fn time_remaining(shared: &Shared, call: &Call) -> Result<Duration, Failure> {
    let remaining = call.deadline.saturating_duration_since(shared.clock.now());
    if remaining.is_zero() {
        let message = "the deadline passed before the request was sent";
        return Err(Failure::new(FailurePoint::Unsent, message));
    }
    Ok(remaining)
}
