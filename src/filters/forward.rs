//! Chooses a backend server and calls it, again where that is safe.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use warp::reply::Response;

use crate::admission::Pass;
use crate::decide::{Choice, Engine, Verdict};
use crate::events::{Code, Fields};
use crate::filters::admit::enter;
use crate::filters::chat::{ChatJob, send_chat};
use crate::filters::choose::choose;
use crate::filters::in_flight::InFlight;
use crate::filters::service::send_service;
use crate::filters::{Call, Reason, Refusal, Shared};
use crate::fleet::{BackendServer, Pool};

/// When a caller should try again after there was no room.
const RETRY: Duration = Duration::from_millis(500);

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
    Service,
}

/// Tries backend servers of `pool` until one answers, a failure may not be
/// repeated, or the tries are used up.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    call: &Call,
    pool_name: &str,
    plan: &Plan,
    job: Job<'_>,
) -> Result<Response, Refusal> {
    let Some(pool) = call.view.pools.get(pool_name) else {
        return Err(no_room(format!("pool `{pool_name}` has no backend servers")));
    };
    let pass = enter(shared, call, pool_name, plan.cost).await?;
    let mut tried: SmallVec<[usize; 4]> = SmallVec::new();
    loop {
        let Some(choice) = choose(shared, call, pool, plan, &tried) else {
            return Err(no_room("no backend server takes new work".to_owned()));
        };
        let chosen = take(shared, call, pool, plan, pass.as_ref(), choice);
        let name = chosen.server.name.clone();
        let sent = Arc::clone(&chosen.engine.sent);
        tried.push(choice.index);
        let result = match &job {
            Job::Chat(chat) => send_chat(shared, call, chat, chosen).await,
            Job::Service => send_service(shared, call, chosen).await,
        };
        let refusal = match result {
            Ok(answer) => return Ok(answer),
            Err(it) => it,
        };
        let is_chat = matches!(job, Job::Chat(_));
        if is_chat && refusal.verdict == Verdict::NotRun {
            sent.fail();
        }
        let detail = format!("{name}: {}", refusal.message);
        shared.events.record(Code::BackendFailed, Fields { subject: &call.id, detail: &detail });
        let repeatable = refusal.verdict == Verdict::NotRun || plan.idempotent;
        let late = shared.clock.now() >= call.deadline;
        if !repeatable || late || tried.len() >= shared.settings.traffic.tries {
            return Err(refusal);
        }
        shared.events.record(Code::RequestRetried, Fields { subject: &call.id, detail: &name });
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

fn take(
    shared: &Shared,
    call: &Call,
    pool: &Pool,
    plan: &Plan,
    pass: Option<&Arc<Pass>>,
    choice: Choice,
) -> Chosen {
    let engine = &pool.engines[choice.index];
    let server = &pool.servers[choice.index];
    let work = InFlight::new(&engine.sent, plan.cost, &shared.counters.in_flight, pass);
    shared.events.record(Code::Placed, Fields { subject: &call.id, detail: &server.name });
    Chosen { server: server.clone(), engine: engine.clone(), work }
}

fn no_room(message: String) -> Refusal {
    Refusal::not_run(Reason::NoRoom, message).retry_after(RETRY)
}

/// Whether a call that failed before any answer may have run.
pub(crate) fn send_failure(error: &reqwest::Error) -> Refusal {
    let message = crate::backend::error_text(error);
    if error.is_connect() {
        return Refusal::not_run(Reason::BackendFailed, message);
    }
    let reason = if error.is_timeout() { Reason::DeadlinePassed } else { Reason::BackendFailed };
    Refusal::may_have_run(reason, message)
}
