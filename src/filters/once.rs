//! At-most-once calls under an idempotency key.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use warp::Reply;
use warp::http::HeaderValue;
use warp::reply::Response;

use crate::decide::once::{Admission, Holder, Op, Owner, Route, RunOutcome, Scope, route};
use crate::decide::{Verdict, combine, hash_bytes};
use crate::events::{Code, Fields};
use crate::filters::answer::mark;
use crate::filters::final_event::Refused;
use crate::filters::forward::{Payload, Plan, forward};
use crate::filters::once_forward::{is_unseen_everywhere, send_to_owner};
use crate::filters::{Call, FORWARDED_HEADER, KEY_HEADER, OWNER_HEADER, Reason, Refusal, Shared};
use crate::keys::{ISSUED_PREFIX, read_key};
use crate::once::{ClaimOutcome, StoredAnswer};

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// When a caller should retry to get the outcome of a run in progress.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Runs a call at most once under its idempotency key, here or at the key's owner.
pub(crate) async fn run_once(
    shared: &Arc<Shared>,
    call: Call,
    service: &str,
    pool: String,
    plan: Plan,
) -> Result<Response, Refusal> {
    let key = idempotency_key(&call)?.to_owned();
    let op = Op { scope: Scope::new(&call.organisation, service, &key), body: body_hash(&call) };
    let forwarded = call.headers.contains_key(FORWARDED_HEADER);
    let me = shared.once.me();
    let issued = key.starts_with(ISSUED_PREFIX);
    let (mut holder, mut since) = holder(shared, &call, &key, &op)?;
    loop {
        match route(me, holder, forwarded) {
            Route::Own => {
                let id = call.id.clone();
                let result = run_as_owner(shared, call, pool, plan, &op, (since, issued)).await;
                return with_owner(shared, &id, result, forwarded);
            }
            Route::Forward(owner) => {
                return send_to_owner(shared, &call, service, &key, owner).await;
            }
            Route::OwnerGone => {
                return Err(outcome_unknown("the router that owned the key is gone"));
            }
            Route::Claim => match shared.once.claim(&op, call.deadline).await {
                ClaimOutcome::Held(held) => {
                    (holder, since) = (Holder::Known(held.owner), held.at_ms)
                }
                other => return Err(claim_refusal(shared, &call, &op, other).await),
            },
        }
    }
}

/// Corrects the verdict of a refusal that was made before the idempotency key was
/// checked: an earlier send of the call may have run.
pub(crate) fn before_key_check(call: &Call, mut refusal: Refusal) -> Refusal {
    let is_early = matches!(refusal.reason, Reason::NotReady | Reason::UnknownTarget);
    if is_early && call.headers.contains_key(KEY_HEADER) {
        refusal.verdict = Verdict::MayHaveRun;
    }
    refusal
}

/// The idempotency key of a call.
fn idempotency_key(call: &Call) -> Result<&str, Refusal> {
    match call.header(KEY_HEADER) {
        Some(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(key),
        _ => {
            let message =
                format!("header `{KEY_HEADER}` must have 1 to {MAX_KEY_BYTES} visible characters");
            Err(Refusal::not_run(Reason::BadRequest, message))
        }
    }
}

/// Hash of the request that the service would receive.
fn body_hash(call: &Call) -> u64 {
    let parts = [call.method.as_str().as_bytes(), call.path.as_bytes(), call.query.as_bytes()];
    parts.iter().fold(hash_bytes(&call.body), |hash, it| combine(hash, hash_bytes(it)))
}

/// The holder of the key, and the time of its claim in milliseconds of the
/// holder's clock.
fn holder(shared: &Shared, call: &Call, key: &str, op: &Op) -> Result<(Holder, u64), Refusal> {
    match read_key(&shared.keys, &call.organisation, key) {
        Some(Ok(it)) => {
            let owner = Owner { router: it.router, incarnation: it.incarnation };
            Ok((Holder::Known(owner), it.issued_ms))
        }
        Some(Err(e)) => Err(Refusal::not_run(Reason::KeyRefused, e.to_string())),
        None => Ok(match shared.once.held(&op.scope) {
            Some(held) => (Holder::Known(held.owner), held.at_ms),
            None => (Holder::Unclaimed, 0),
        }),
    }
}

/// Runs or answers the call as the owner of the key.
async fn run_as_owner(
    shared: &Arc<Shared>,
    call: Call,
    pool: String,
    plan: Plan,
    op: &Op,
    (since, issued): (u64, bool),
) -> Result<Response, Refusal> {
    let id = call.id.clone();
    let deadline = call.deadline;
    let mut changes = shared.once.changes();
    let mut admission = shared.once.admit(op, since, issued);
    if admission == Admission::Run {
        shared.events.record(Code::OnceRun, Fields { subject: &id, detail: &call.path });
        return match tokio::spawn(run(Arc::clone(shared), call, pool, plan, op.scope)).await {
            Ok(Err(refusal)) if !shared.once.stays_owner(since, issued) => {
                // Another router may have run the call under a later claim.
                Err(Refusal { verdict: refusal.verdict.and(Verdict::MayHaveRun), ..refusal })
            }
            Ok(result) => result.map(|it| reply(&it, &id)),
            Err(_) => Err(outcome_unknown("the run ended without an outcome")),
        };
    }
    while admission == Admission::Wait {
        let remaining = deadline.saturating_duration_since(shared.clock.now());
        if remaining.is_zero() {
            break;
        }
        let _ = timeout(remaining, changes.changed()).await;
        match shared.once.peek(op) {
            Some(it) => admission = it,
            None => {
                let message = "the run that this call waited for has ended; send the call again";
                let refusal = Refusal::may_have_run(Reason::InProgress, message);
                return Err(refusal.retry_after(RETRY_AFTER));
            }
        }
    }
    answer_without_run(shared, &id, admission)
}

/// Answers a call that must not run.
fn answer_without_run(
    shared: &Shared,
    id: &str,
    admission: Admission<Arc<StoredAnswer>>,
) -> Result<Response, Refusal> {
    Err(match admission {
        Admission::Answer(answer) => {
            shared.events.record(Code::OnceRepeated, Fields { subject: id, detail: "" });
            return Ok(reply(&answer, id));
        }
        Admission::Run | Admission::Wait => {
            let message = "the same call is already running; retry to get its answer";
            Refusal::may_have_run(Reason::InProgress, message).retry_after(RETRY_AFTER)
        }
        Admission::Ran => {
            let message = "the call ran; its answer is no longer stored";
            Refusal { verdict: Verdict::Ran, ..outcome_unknown(message) }
        }
        Admission::Lost => {
            outcome_unknown("the service may have run the call; its answer was lost")
        }
        Admission::OtherBody => {
            let message = "the idempotency key was used for another call; this one did not run";
            Refusal::not_run(Reason::KeyReused, message)
        }
        Admission::Expired => {
            let message = "the idempotency key is too old; nothing ran under it and nothing will";
            Refusal::not_run(Reason::KeyExpired, message)
        }
        Admission::Forgotten => {
            let message = "the idempotency key is too old; whether the call ran is no longer known";
            Refusal::may_have_run(Reason::KeyExpired, message)
        }
        Admission::Full => {
            let message = "too many idempotency keys are active";
            Refusal::not_run(Reason::NoRoom, message).retry_after(RETRY_AFTER)
        }
    })
}

/// Records a run as lost when dropped, unless its end was recorded before.
struct LostUnlessFinished {
    shared: Arc<Shared>,
    scope: Scope,
}

impl Drop for LostUnlessFinished {
    fn drop(&mut self) {
        self.shared.once.finish(self.scope, RunOutcome::Lost);
    }
}

/// Runs the call and records its end. The run continues when the caller leaves,
/// so that a repeated call finds the outcome.
async fn run(
    shared: Arc<Shared>,
    call: Call,
    pool: String,
    plan: Plan,
    scope: Scope,
) -> Result<Arc<StoredAnswer>, Refusal> {
    let guard = LostUnlessFinished { shared, scope };
    let shared = &guard.shared;
    let is_late = shared.clock.now() >= call.deadline;
    // A router that was paused past the deadline may no longer be the owner.
    let result = match is_late {
        true => Err(outcome_unknown("the deadline passed before the run")),
        false => forward(shared, &call, &pool, &plan, Payload::Service).await,
    };
    match result {
        Ok(answer) => {
            let Some(answer) = StoredAnswer::read(answer).await else {
                return Err(outcome_unknown("the answer of the service could not be read"));
            };
            let fits = answer.size() <= shared.settings.once.answer.as_u64() as usize;
            let stored = fits.then(|| (Arc::clone(&answer), answer.size()));
            shared.once.finish(scope, RunOutcome::Answered(stored));
            Ok(answer)
        }
        Err(refusal) => {
            let outcome = match refusal.verdict {
                Verdict::NotRun => RunOutcome::NotRun,
                Verdict::MayHaveRun | Verdict::Ran => RunOutcome::Lost,
            };
            shared.once.finish(scope, outcome);
            Err(refusal)
        }
    }
}

fn reply(answer: &StoredAnswer, request: &str) -> Response {
    let mut reply = answer.reply();
    mark(&mut reply, request, Verdict::Ran);
    reply
}

/// Adds the incarnation that answered; to an error only if a router forwarded the
/// call, as that router distrusts an answer without it.
fn with_owner(
    shared: &Shared,
    id: &str,
    result: Result<Response, Refusal>,
    forwarded: bool,
) -> Result<Response, Refusal> {
    let mut reply = match result {
        Ok(reply) => reply,
        Err(refusal) if forwarded => {
            let mut reply = refusal.reply(id).into_response();
            reply.extensions_mut().insert(Refused(refusal));
            reply
        }
        Err(refusal) => return Err(refusal),
    };
    let incarnation = HeaderValue::from(shared.once.me().incarnation);
    reply.headers_mut().insert(OWNER_HEADER, incarnation);
    Ok(reply)
}

/// The refusal of a call whose key could not be claimed. Its verdict is `not_run`
/// only if no known router has seen the key.
async fn claim_refusal(
    shared: &Arc<Shared>,
    call: &Call,
    op: &Op,
    settled: ClaimOutcome,
) -> Refusal {
    let message = match settled {
        ClaimOutcome::Full => "too many idempotency keys are active",
        ClaimOutcome::Gap => "claims were lost from the log; keys cannot be claimed for a while",
        ClaimOutcome::Unavailable | ClaimOutcome::Held(_) => "the log currently settles no claims",
    };
    let is_unseen = settled != ClaimOutcome::Gap && is_unseen_everywhere(shared, call, op).await;
    let verdict = if is_unseen { Verdict::NotRun } else { Verdict::MayHaveRun };
    let refusal = Refusal::may_have_run(Reason::ClaimsUnavailable, message);
    Refusal { verdict, ..refusal }.retry_after(RETRY_AFTER)
}

/// The refusal of a call with an unknown outcome.
pub(crate) fn outcome_unknown(message: &str) -> Refusal {
    Refusal::may_have_run(Reason::OutcomeUnknown, message)
}
