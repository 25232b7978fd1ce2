//! HTTP API of the control interface: health, metrics, state in force, events.

use std::convert::Infallible;
use std::sync::Arc;

use serde::Deserialize;
use warp::http::{HeaderMap, StatusCode};
use warp::reply::Response;
use warp::{Filter, Reply};
use xtra::Address;

use crate::backend::TOKEN_HEADER;
use crate::controllers::Publisher;
use crate::daemon::gossip_api::gossip_calls;
use crate::daemon::once_api::once_calls;
use crate::daemon::status_api::status_calls;
use crate::events::{Code, Fields};
use crate::filters::{Reason, Refusal, Shared, observe_time, stamp_time};
use crate::metrics::gauges;
use crate::wire::{WireInForce, WireOutcome};

#[derive(Debug, Deserialize)]
struct EventQuery {
    #[serde(default)]
    from: u64,
}

#[derive(Debug, Deserialize)]
struct OutcomeQuery {
    offset: u64,
}

/// All routes of the control interface.
pub(crate) fn control_calls(
    shared: &Arc<Shared>,
    publisher: &Address<Publisher>,
) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone + Send + Sync + 'static + use<>
{
    let calls = public_calls(shared).or(authorised_calls(shared)).unify();
    let calls = calls.or(status_calls(shared)).unify();
    let peers = gossip_calls(shared, publisher).or(once_calls(shared)).unify();
    let it = Arc::clone(shared);
    let with_time = move |mut reply: Response| {
        stamp_time(&it, &mut reply);
        reply
    };
    calls.or(peers).unify().recover(unknown_call).unify().map(with_time)
}

/// Routes that need no token.
fn public_calls(
    shared: &Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static + use<>
{
    let healthy = warp::path!("healthz").map(|| "ok\n".into_response());
    let it = Arc::clone(shared);
    let ready = warp::path!("readyz").map(move || match it.view.peek().ready {
        true => "ready\n".into_response(),
        false => warp::reply::with_status("no state in force\n", StatusCode::SERVICE_UNAVAILABLE)
            .into_response(),
    });
    let it = Arc::clone(shared);
    let metrics =
        warp::path!("metrics").map(move || (it.counters.text() + &gauges(&it)).into_response());
    warp::get().and(healthy.or(ready).unify().or(metrics).unify())
}

/// Routes for operators and peers, which must present the token.
fn authorised_calls(
    shared: &Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static + use<>
{
    let it = Arc::clone(shared);
    let in_force = warp::path!("v1" / "in-force").and(warp::header::headers_cloned()).map(
        move |headers: HeaderMap| {
            if_authorised(&it, &headers, |it| {
                let state = WireInForce::from(it.view.peek().state.as_ref());
                warp::reply::json(&state).into_response()
            })
        },
    );
    let it = Arc::clone(shared);
    let outcome = warp::path!("v1" / "outcome")
        .and(warp::query())
        .and(warp::header::headers_cloned())
        .map(move |query: OutcomeQuery, headers: HeaderMap| {
            if_authorised(&it, &headers, |it| {
                let state = &it.view.peek().state;
                let found = state.outcomes.get(&query.offset);
                let outcome = found.map(|it| WireOutcome::from((query.offset, it)));
                warp::reply::json(&outcome).into_response()
            })
        });
    let it = Arc::clone(shared);
    let events = warp::path!("v1" / "events")
        .and(warp::query())
        .and(warp::header::headers_cloned())
        .map(move |query: EventQuery, headers: HeaderMap| {
            if_authorised(&it, &headers, |it| {
                warp::reply::json(&it.events.since(query.from)).into_response()
            })
        });
    warp::get().and(in_force.or(outcome).unify().or(events).unify())
}

/// Responds with `serve` if the request has the token, else with 401.
pub(crate) fn if_authorised(
    shared: &Shared,
    headers: &HeaderMap,
    serve: impl FnOnce(&Shared) -> Response,
) -> Response {
    match reject_unauthorised(shared, headers) {
        Some(refusal) => refusal,
        None => serve(shared),
    }
}

/// The 401 response for a request without the right token; `None` when it has the token.
pub(crate) fn reject_unauthorised(shared: &Shared, headers: &HeaderMap) -> Option<Response> {
    let presented = headers.get(TOKEN_HEADER).map_or(&[][..], |it| it.as_bytes());
    // Hashes are compared in constant time.
    let is_authorised = blake3::hash(presented) == blake3::hash(shared.settings.token.as_bytes());
    if is_authorised {
        observe_time(shared, headers);
        return None;
    }
    let fields = Fields { subject: "", detail: "control call" };
    shared.events.record(Code::Unauthorised, fields);
    let message = format!("header `{TOKEN_HEADER}` is missing or wrong");
    Some(Refusal::not_run(Reason::Unauthorised, message).reply("").into_response())
}

/// The 404 response for any other path or method.
async fn unknown_call(_: warp::Rejection) -> Result<Response, Infallible> {
    Ok(Refusal::not_run(Reason::UnknownCall, "unknown path or method").reply("").into_response())
}
