//! Chooses a backend server and calls it, again where that is safe.

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

/// Multiple of the mean load that the service instances left in use must stay within.
const SERVICE_LOAD_BOUND: f64 = 2.0;
/// Tokens of the request that times of chats are scaled to.
const NOMINAL_COST_TOKENS: f64 = 100.0;
/// A timeout of a shorter try says nothing about the backend server.
const MIN_CONCLUSIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// A backend server that was chosen, with the work counted towards it.
pub(crate) struct Chosen {
    pub(crate) server: BackendServer,
    pub(crate) engine: Engine,
    pub(crate) work: InFlight,
    /// Held while a suspect runs, a stream up to its end.
    pub(crate) trial: Option<Arc<RunningSuspect>>,
}

/// What is sent to the chosen backend server.
pub(crate) enum Payload<'a> {
    /// A chat request.
    Chat(&'a ChatPayload),
    /// The call as it came.
    Service,
}

impl Payload<'_> {
    /// Time that tells how fast the server is: that of a whole answer, for a
    /// chat relative to its length.
    fn normalised_time(&self, took: Duration, plan: &Plan) -> Option<Duration> {
        match self {
            Payload::Chat(it) if it.is_streamed() => None,
            Payload::Chat(_) => Some(took.mul_f64(NOMINAL_COST_TOKENS / plan.cost.max(1) as f64)),
            Payload::Service => Some(took),
        }
    }
}

/// How a request is placed and repeated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    /// Key for the rank.
    pub(crate) key: u64,
    /// Engine and incarnation of the chat hint.
    pub(crate) hint: Option<(u64, u64)>,
    /// Tokens that it adds.
    pub(crate) cost: u64,
    /// Whether it may run twice.
    pub(crate) idempotent: bool,
    /// Fingerprint of a request that could crash what runs it.
    pub(crate) fingerprint: Option<u64>,
    /// Whether it goes where little else is at candidate.
    pub(crate) is_isolated: bool,
}

/// Attempts backend servers of `pool` until one answers, a failure may not be
/// repeated, or the attempts or the retry budget are used up.
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
    let pass = wait_for_capacity(shared, call, pool, plan.cost).await?;
    let record = shared.upstream.pool(pool, shared.clock.now());
    let bound = match &payload {
        Payload::Chat(_) => load_bound(call),
        Payload::Service => SERVICE_LOAD_BOUND,
    };
    let mut attempts = Attempts::new(record, pass, bound);
    loop {
        let trial = match plan.fingerprint {
            Some(it) => admit_suspect(shared, it, &call.id).map_err(|it| attempts.refuse(it))?,
            None => None,
        };
        let trial = trial.map(Arc::new);
        let plan = &Plan { is_isolated: trial.is_some(), ..*plan };
        let (mut chosen, attempt) = attempts.next(shared, call, pool, plan)?;
        chosen.trial = trial.clone();
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
        drop(trial);
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

/// What a try that took `took` says about the backend server.
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

/// Time left until the deadline of `call`, unless it passed already.
pub(crate) fn time_remaining(shared: &Shared, call: &Call) -> Result<Duration, Failure> {
    let left = call.deadline.saturating_duration_since(shared.clock.now());
    if left.is_zero() {
        let message = "the deadline passed before the request was sent";
        return Err(Failure::new(FailurePoint::Unsent, message));
    }
    Ok(left)
}
