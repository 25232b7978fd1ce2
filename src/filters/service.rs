//! Calls to plain services.

use std::sync::Arc;

use warp::Reply;
use warp::http::header::{
    ACCEPT, CACHE_CONTROL, CONTENT_LANGUAGE, CONTENT_TYPE, ETAG, IF_MATCH, IF_NONE_MATCH,
    LAST_MODIFIED, LOCATION,
};
use warp::http::{HeaderMap, HeaderName, HeaderValue, Method};
use warp::reply::Response;

use crate::decide::{FailurePoint, Verdict};
use crate::filters::answer::mark;
use crate::filters::failure::Failure;
use crate::filters::forward::{Chosen, Payload, Plan, forward, time_remaining};
use crate::filters::leaving::record_leaving;
use crate::filters::once::run_once;
use crate::filters::reply::read_complete;
use crate::filters::{
    Call, DEADLINE_HEADER, KEY_HEADER, Reason, Refusal, Shared, Target, VERDICT_HEADER,
};

/// Header that carries the request id to backend servers.
const REQUEST_ID: &str = "x-request-id";
/// Headers that are forwarded to the service. All others are dropped, connection
/// headers among them.
const FORWARDED_HEADERS: [HeaderName; 5] =
    [CONTENT_TYPE, ACCEPT, IF_MATCH, IF_NONE_MATCH, HeaderName::from_static(KEY_HEADER)];
/// Headers of the service's answer that are returned to the caller.
const RETURNED_HEADERS: [HeaderName; 6] =
    [CONTENT_TYPE, CONTENT_LANGUAGE, CACHE_CONTROL, ETAG, LAST_MODIFIED, LOCATION];

/// Answers calls below `/v1/services/`.
pub(crate) async fn service(shared: &Arc<Shared>, call: Call) -> Result<Response, Refusal> {
    let Target::Service { pool, once, name, checks_keys } = call.target.clone() else {
        return Err(Refusal::not_run(Reason::UnknownTarget, "the request names no service"));
    };
    let is_read = call.method == Method::GET || call.method == Method::HEAD;
    let idempotent = is_read && !once;
    let plan = Plan {
        key: call.chat,
        hint: None,
        cost: 1,
        idempotent,
        fingerprint: None,
        is_isolated: false,
    };
    if once && !checks_keys && call.headers.contains_key(KEY_HEADER) {
        return run_once(shared, call, &name, pool, plan).await;
    }
    forward(shared, &call, &pool, &plan, Payload::Service).await
}

/// Sends the call to the chosen instance and returns its answer.
pub(crate) async fn send_service(
    shared: &Arc<Shared>,
    call: &Call,
    chosen: Chosen,
    idempotent: bool,
) -> Result<Response, Failure> {
    let mut url = format!("http://{}{}", chosen.server.address, call.path);
    if !call.query.is_empty() {
        url = format!("{url}?{}", call.query);
    }
    let remaining = time_remaining(shared, call)?;
    let http = if idempotent { &shared.http } else { &shared.upstream.unpooled };
    let sent = http
        .request(call.method.clone(), url)
        .timeout(remaining)
        .headers(chosen_headers(&call.headers, &FORWARDED_HEADERS))
        .header(REQUEST_ID, &call.id)
        .header(DEADLINE_HEADER, remaining.as_millis() as u64)
        .body(call.body.clone())
        .send();
    let reply = sent.await.map_err(|e| Failure::of_send(&e))?;
    record_leaving(shared, &chosen, reply.headers());
    check_head(call, &reply)?;
    let status = reply.status();
    let headers = chosen_headers(reply.headers(), &RETURNED_HEADERS);
    let bodiless = call.method == Method::HEAD || status.as_u16() == 204 || status.as_u16() == 304;
    let body = match bodiless {
        true => bytes::Bytes::new(),
        false => read_complete(reply, shared.settings.limits.answer.as_u64()).await?,
    };
    let mut answer = warp::http::Response::new(body).into_response();
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    mark(&mut answer, &call.id, Verdict::Ran);
    Ok(answer)
}

/// Checks that the answer belongs to the call and is no failure of the service.
fn check_head(call: &Call, reply: &reqwest::Response) -> Result<(), Failure> {
    let value = |name: &str| reply.headers().get(name).map(HeaderValue::as_bytes);
    if value(REQUEST_ID).is_some_and(|it| it != call.id.as_bytes()) {
        let message = "the service answered another request";
        return Err(Failure::new(FailurePoint::Mismatch, message));
    }
    let status = reply.status();
    if !status.is_server_error() {
        return Ok(());
    }
    let is_refused = value(VERDICT_HEADER) == Some(Verdict::NotRun.as_str().as_bytes());
    let point = if is_refused { FailurePoint::Refused } else { FailurePoint::Failed };
    Err(Failure::new(point, format!("the service answered {status}")))
}

/// The headers listed in `names`.
fn chosen_headers(headers: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    names.iter().filter_map(|it| Some((it.clone(), headers.get(it)?.clone()))).collect()
}
