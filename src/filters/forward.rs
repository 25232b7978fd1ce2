//! Chooses a backend server and calls it, again where that is safe.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use warp::reply::Response;

use crate::admission::Pass;
use crate::decide::{Choice, Engine, FailurePoint, Outliers, ServerResult, Verdict};
use crate::events::{Code, Fields};
use crate::filters::admit::enter;
use crate::filters::chat::{ChatJob, send_chat};
use crate::filters::choose::{choose, load_bound};
use crate::filters::failure::Failure;
use crate::filters::in_flight::InFlight;
use crate::filters::service::send_service;
use crate::filters::upstream::PoolRecord;
use crate::filters::{Call, Reason, Refusal, Shared};
use crate::fleet::{BackendServer, Pool};

/// When a caller should try again after a failure.
const RETRY: Duration = Duration::from_millis(500);
/// Multiple of the mean load that the service instances left in use must stay within.
const SERVICE_BOUND: f64 = 2.0;
/// Tokens of the request that times of chats are scaled to.
const NOMINAL_COST: f64 = 100.0;
/// A timeout of a shorter try says nothing about the backend server.
const MIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A backend server that was chosen, with the work counted towards it.
pub(crate) struct Chosen {
    pub(crate) server: BackendServer,
    pub(crate) engine: Engine,
    pub(crate) work: InFlight,
}

/// What is sent to the chosen backend server.
pub(crate) enum Job<'a> {
    /// A chat request.
    Chat(&'a ChatJob),
    /// The call as it came.
    Service {
        /// Whether it may run twice.
        idempotent: bool,
    },
}

impl Job<'_> {
    /// Time that tells how fast the server is: that of a whole answer, for a
    /// chat relative to its length.
    fn speed(&self, took: Duration, plan: &Plan) -> Option<Duration> {
        match self {
            Job::Chat(it) if it.is_streamed() => None,
            Job::Chat(_) => Some(took.mul_f64(NOMINAL_COST / plan.cost.max(1) as f64)),
            Job::Service { .. } => Some(took),
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
}

/// Tries of one request so far.
struct Tries {
    record: Arc<PoolRecord>,
    /// Held until the work ends.
    pass: Option<Arc<Pass>>,
    /// Ids of the backend servers tried.
    servers: SmallVec<[u64; 4]>,
    /// The last failure, with the verdict over all tries.
    last: Option<Refusal>,
}

/// Tries backend servers of `pool` until one answers, a failure may not be
/// repeated, or the tries or the retry budget are used up.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    call: &Call,
    pool: &str,
    plan: &Plan,
    job: Job<'_>,
) -> Result<Response, Refusal> {
    if !call.view.pools.contains_key(pool) {
        return Err(no_room(format!("pool `{pool}` has no backend servers")));
    }
    let pass = enter(shared, call, pool, plan.cost).await?;
    let record = shared.upstream.pool(pool, shared.clock.now());
    record.budget().earn();
    let mut tries = Tries { record, pass, servers: SmallVec::new(), last: None };
    loop {
        let chosen = match tries.next(shared, call, pool, plan) {
            Ok(it) => it,
            Err(none) => return Err(tries.last.unwrap_or(none)),
        };
        let name = chosen.server.name.clone();
        let (server, begun) = (chosen.engine.id, shared.clock.now());
        let result = match &job {
            Job::Chat(chat) => send_chat(shared, call, chat, chosen).await,
            Job::Service { idempotent } => send_service(shared, call, chosen, *idempotent).await,
        };
        let took = shared.clock.now().saturating_duration_since(begun);
        let bound = match &job {
            Job::Chat(_) => load_bound(call),
            Job::Service { .. } => SERVICE_BOUND,
        };
        tries.note(shared, pool, server, bound, outcome(&result, took, &job, plan));
        let failure = match result {
            Ok(answer) => return Ok(answer),
            Err(it) => it,
        };
        let detail = format!("{name}: {}", failure.message);
        shared.events.record(Code::BackendFailed, Fields { subject: &call.id, detail: &detail });
        let refusal = tries.fail(&failure);
        if !tries.may_repeat(shared, call, plan, &failure) {
            return Err(refusal);
        }
        shared.events.record(Code::RequestRetried, Fields { subject: &call.id, detail: &name });
    }
}

impl Tries {
    /// Takes the next backend server from the newest view.
    fn next(
        &mut self,
        shared: &Shared,
        call: &Call,
        pool: &str,
        plan: &Plan,
    ) -> Result<Chosen, Refusal> {
        let view = shared.view.load();
        let Some(pool) = view.pools.get(pool) else {
            return Err(no_room(format!("pool `{pool}` has no backend servers")));
        };
        let now = shared.clock.now();
        let tried = |it: &Engine| self.servers.contains(&it.id);
        let used = indexes(pool, tried);
        let avoided = {
            let outliers = self.record.outliers();
            indexes(pool, |it| tried(it) || outliers.avoids(it.id, now, plan.idempotent))
        };
        let choice = choose(shared, call, pool, plan, &avoided)
            .or_else(|| choose(shared, call, pool, plan, &used));
        let Some(choice) = choice else {
            return Err(no_room("no backend server takes new work".to_owned()));
        };
        let chosen = self.take(shared, call, pool, plan, choice);
        self.servers.push(chosen.engine.id);
        if self.record.outliers().begin(chosen.engine.id, now) {
            let fields = Fields { subject: &call.id, detail: &chosen.server.name };
            shared.events.record(Code::ServerProbed, fields);
        }
        Ok(chosen)
    }

    /// Counts the work towards the chosen backend server.
    fn take(
        &self,
        shared: &Shared,
        call: &Call,
        pool: &Pool,
        plan: &Plan,
        choice: Choice,
    ) -> Chosen {
        let engine = &pool.engines[choice.index];
        let server = &pool.servers[choice.index];
        let requests = &shared.counters.in_flight;
        let work = InFlight::new(&engine.sent, plan.cost, requests, self.pass.as_ref());
        shared.events.record(Code::Placed, Fields { subject: &call.id, detail: &server.name });
        Chosen { server: server.clone(), engine: engine.clone(), work }
    }

    /// Notes how the try at `server` went.
    fn note(&self, shared: &Shared, pool: &str, server: u64, bound: f64, result: ServerResult) {
        let now = shared.clock.now();
        let view = shared.view.peek();
        let count = view.pools.get(pool).map_or(0, |it| it.servers.len());
        let most = Outliers::most(count, bound);
        if self.record.outliers().end(server, result, now, most) {
            let servers = view.pools.get(pool).into_iter().flat_map(|it| {
                it.engines.iter().zip(&it.servers).filter(|(it, _)| it.id == server)
            });
            for (_, it) in servers {
                let fields = Fields { subject: &it.name, detail: pool };
                shared.events.record(Code::ServerSetAside, fields);
            }
        }
    }

    /// Adds a failure; the verdict of the result holds for all tries together.
    fn fail(&mut self, failure: &Failure) -> Refusal {
        let mut refusal = failure.refusal();
        if let Some(last) = &self.last {
            refusal.verdict = refusal.verdict.and(last.verdict);
        }
        let refusal = match refusal.reason {
            Reason::DeadlinePassed => refusal,
            _ => refusal.retry_after(RETRY),
        };
        self.last = Some(refusal.clone());
        refusal
    }

    /// Whether the request may be sent once more after `failure`.
    fn may_repeat(&self, shared: &Shared, call: &Call, plan: &Plan, failure: &Failure) -> bool {
        let now = shared.clock.now();
        let safe = failure.point.verdict() == Verdict::NotRun || plan.idempotent;
        let useful = safe && failure.point.may_pass();
        if !useful || now >= call.deadline || self.servers.len() >= shared.settings.traffic.tries {
            return false;
        }
        if !failure.point.reached_server() || self.record.budget().spend(now) {
            return true;
        }
        let fields = Fields { subject: &call.id, detail: &failure.message };
        shared.events.record(Code::RetryWithheld, fields);
        false
    }
}

/// What a try that took `took` says about the backend server.
fn outcome(
    result: &Result<Response, Failure>,
    took: Duration,
    job: &Job<'_>,
    plan: &Plan,
) -> ServerResult {
    let failure = match result {
        Ok(_) => return ServerResult::Good(job.speed(took, plan)),
        Err(it) => it,
    };
    match failure.point {
        FailurePoint::Unsent | FailurePoint::Rejected => ServerResult::Unknown,
        FailurePoint::Timeout if took < MIN_TIMEOUT => ServerResult::Unknown,
        _ => ServerResult::Bad,
    }
}

/// Indexes of the servers of `pool` for which `holds`.
fn indexes(pool: &Pool, holds: impl Fn(&Engine) -> bool) -> SmallVec<[usize; 8]> {
    let all = pool.engines.iter().enumerate();
    all.filter(|(_, it)| holds(it)).map(|(i, _)| i).collect()
}

fn no_room(message: String) -> Refusal {
    Refusal::not_run(Reason::NoRoom, message).retry_after(RETRY)
}

/// Time left until the deadline of `call`, unless it passed already.
pub(crate) fn time_left(shared: &Shared, call: &Call) -> Result<Duration, Failure> {
    let left = call.deadline.saturating_duration_since(shared.clock.now());
    if left.is_zero() {
        let message = "the deadline passed before the request was sent";
        return Err(Failure::new(FailurePoint::Unsent, message));
    }
    Ok(left)
}
