//! At-most-once calls on the control interface: claims, and queries of peers about
//! idempotency keys and crashes.

use std::sync::Arc;

use bytes::Bytes;
use warp::http::HeaderMap;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::backend::LogClient;
use crate::daemon::control_api::if_authorised;
use crate::filters::{Reason, Refusal, Shared};
use crate::fleet::CrashReport;
use crate::once::{append_claims, tail_claims};
use crate::wire::{KeyAnswer, KeyQuery};

/// Size limit of the body of a query or crash report.
const MAX_BODY_BYTES: u64 = 1_024;

/// Starts the tasks that read claims from the log and append them.
pub(crate) fn start_claims(shared: &Arc<Shared>, log: LogClient) {
    let coordinator = Arc::clone(&shared.once);
    let events = Arc::clone(&shared.events);
    tokio::spawn(tail_claims(
        log.clone(),
        coordinator,
        Arc::clone(&events),
        shared.settings.state_sync.clone(),
    ));
    let view = Arc::clone(&shared.view);
    tokio::spawn(append_claims(log, Arc::clone(&shared.once), view, events));
}

/// Routes for peers: crash reports and queries about idempotency keys.
pub(crate) fn once_calls(
    shared: &Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static + use<>
{
    let it = Arc::clone(shared);
    let crashes = warp::path!("v1" / "crashes")
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::bytes())
        .map(move |headers: HeaderMap, body: Bytes| {
            if_authorised(&it, &headers, |it| receive_crash(it, &body))
        });
    let it = Arc::clone(shared);
    let unseen = warp::path!("v1" / "once" / "unseen")
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::bytes())
        .map(move |headers: HeaderMap, body: Bytes| {
            if_authorised(&it, &headers, |it| answer_unseen(it, &body))
        });
    warp::post().and(crashes.or(unseen).unify())
}

/// Records a crash report of a peer.
fn receive_crash(shared: &Shared, body: &[u8]) -> Response {
    let Ok(wire) = rmp_serde::from_slice(body) else {
        let refusal = Refusal::not_run(Reason::BadRequest, "the crash report is malformed");
        return refusal.reply("").into_response();
    };
    let now = shared.clock.now();
    shared.crashes.insert(CrashReport::from_wire(&wire, now), now);
    "ok".into_response()
}

/// Answers whether this router certainly never received an idempotency key.
fn answer_unseen(shared: &Shared, body: &[u8]) -> Response {
    let Ok(query) = rmp_serde::from_slice::<KeyQuery>(body) else {
        let refusal = Refusal::not_run(Reason::BadRequest, "the query is malformed");
        return refusal.reply("").into_response();
    };
    let answer = KeyAnswer { unseen: shared.once.is_unseen(&query.into()) };
    rmp_serde::to_vec(&answer).unwrap_or_default().into_response()
}
