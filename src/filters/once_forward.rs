//! Requests to other routers about idempotency keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use reqwest::RequestBuilder;
use warp::Reply;
use warp::reply::Response;

use crate::backend::TOKEN_HEADER;
use crate::decide::once::{Op, Owner};
use crate::events::{Code, Fields};
use crate::filters::once::outcome_unknown;
use crate::filters::trace::{observe_time, with_time};
use crate::filters::{
    Call, DEADLINE_HEADER, FORWARDED_HEADER, KEY_HEADER, ORGANISATION_HEADER, OWNER_HEADER,
    REQUEST_HEADER, Refusal, Shared, VERDICT_HEADER,
};
use crate::wire::{KeyAnswer, KeyQuery};

/// Time for a peer to answer whether it knows a key.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Headers of the caller that are forwarded to the owner.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "accept", ORGANISATION_HEADER];
/// Headers of the owner's answer that are returned to the caller.
const RETURNED_HEADERS: [&str; 4] = ["content-type", "retry-after", VERDICT_HEADER, OWNER_HEADER];

/// Forwards a call to the router that owns its key. Without an answer from
/// exactly that incarnation, the call may have run.
pub(crate) async fn send_to_owner(
    shared: &Shared,
    call: &Call,
    service: &str,
    key: &str,
    owner: Owner,
) -> Result<Response, Refusal> {
    let Some(router) = call.view.routers.iter().find(|it| it.id == owner.router) else {
        return Err(outcome_unknown("the router that owns the key is not in the instance list"));
    };
    let fields = Fields { subject: &call.id, detail: &router.name };
    shared.events.record(Code::OnceForwarded, fields);
    let request = request_to(shared, call, service, key, router.address);
    let Ok(reply) = request.send().await else {
        return Err(outcome_unknown("the router that owns the key does not answer"));
    };
    observe_time(shared, reply.headers());
    let names = reply.headers().get(OWNER_HEADER).and_then(|it| it.to_str().ok());
    if names.and_then(|it| it.parse().ok()) != Some(owner.incarnation) {
        return Err(outcome_unknown("the router that owned the key was restarted"));
    }
    let status = reply.status();
    let headers = reply.headers().clone();
    let Ok(body) = reply.bytes().await else {
        return Err(outcome_unknown("the answer of the router that owns the key was cut off"));
    };
    let mut answer = warp::http::Response::new(body).into_response();
    *answer.status_mut() = status;
    for name in RETURNED_HEADERS {
        if let Some(value) = headers.get(name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    if let Ok(id) = warp::http::HeaderValue::from_str(&call.id) {
        answer.headers_mut().insert(REQUEST_HEADER, id);
    }
    Ok(answer)
}

/// The call as sent to the owner.
fn request_to(
    shared: &Shared,
    call: &Call,
    service: &str,
    key: &str,
    addr: SocketAddr,
) -> RequestBuilder {
    let query = if call.query.is_empty() { String::new() } else { format!("?{}", call.query) };
    let url = format!("http://{addr}/v1/services/{service}{}{query}", call.path);
    let remaining = call.deadline.saturating_duration_since(shared.clock.now());
    let request = shared.http.request(call.method.clone(), url);
    let mut request = with_time(shared, request)
        .timeout(remaining)
        .header(FORWARDED_HEADER, &shared.settings.name)
        .header(REQUEST_HEADER, &call.id)
        .header(KEY_HEADER, key)
        .header(DEADLINE_HEADER, remaining.as_millis().to_string());
    for name in FORWARDED_HEADERS {
        if let Some(value) = call.headers.get(name) {
            request = request.header(name, value);
        }
    }
    request.body(call.body.clone())
}

/// Whether every router in the view reports that it has never seen the key.
pub(crate) async fn is_unseen_everywhere(shared: &Arc<Shared>, call: &Call, op: &Op) -> bool {
    if !shared.once.is_unseen(op) {
        return false;
    }
    let own = shared.once.me().router;
    let peers = call.view.routers.iter().filter(|it| it.id != own);
    let queries = peers.map(|it| async {
        match it.control {
            Some(addr) => unseen_at(shared, addr, op).await == Some(true),
            None => false,
        }
    });
    join_all(queries).await.into_iter().all(|unseen| unseen)
}

/// Whether the router with control address `addr` never saw the key; `None` when
/// it gives no answer.
async fn unseen_at(shared: &Shared, addr: SocketAddr, op: &Op) -> Option<bool> {
    let body = rmp_serde::to_vec(&KeyQuery::from(*op)).ok()?;
    let request = shared.http.post(format!("http://{addr}/v1/once/unseen"));
    let request = with_time(shared, request)
        .header(TOKEN_HEADER, &shared.settings.token)
        .timeout(QUERY_TIMEOUT)
        .body(body);
    let reply = request.send().await.ok()?.error_for_status().ok()?;
    observe_time(shared, reply.headers());
    let answer: KeyAnswer = rmp_serde::from_slice(&reply.bytes().await.ok()?).ok()?;
    Some(answer.unseen)
}
