//! Operation keys on the control side: the claims, and what peers ask.

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

/// Largest body of a query, in bytes.
const MAX_QUERY: u64 = 1_024;

/// Starts to read and append claims.
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

/// Calls of peers about operation keys.
pub(crate) fn once_calls(
    shared: &Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static + use<>
{
    let it = Arc::clone(shared);
    let crashes = warp::path!("v1" / "crashes")
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_QUERY))
        .and(warp::body::bytes())
        .map(move |headers: HeaderMap, body: Bytes| {
            if_authorised(&it, &headers, |it| take_crash(it, &body))
        });
    let it = Arc::clone(shared);
    let unseen = warp::path!("v1" / "once" / "unseen")
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_QUERY))
        .and(warp::body::bytes())
        .map(move |headers: HeaderMap, body: Bytes| {
            if_authorised(&it, &headers, |it| answer_unseen(it, &body))
        });
    warp::post().and(crashes.or(unseen).unify())
}

/// Takes a peer's report of a crash.
fn take_crash(shared: &Shared, body: &[u8]) -> Response {
    let Ok(wire) = rmp_serde::from_slice(body) else {
        let refusal = Refusal::not_run(Reason::BadRequest, "the report cannot be read");
        return refusal.reply("").into_response();
    };
    let now = shared.clock.now();
    shared.crashes.insert(CrashReport::from_wire(&wire, now), now);
    "ok".into_response()
}

fn answer_unseen(shared: &Shared, body: &[u8]) -> Response {
    let Ok(query) = rmp_serde::from_slice::<KeyQuery>(body) else {
        let refusal = Refusal::not_run(Reason::BadRequest, "the query cannot be read");
        return refusal.reply("").into_response();
    };
    let answer = KeyAnswer { unseen: shared.once.is_unseen(&query.into()) };
    rmp_serde::to_vec(&answer).unwrap_or_default().into_response()
}
