//! Calls of plain services.

use std::sync::Arc;

use warp::Reply;
use warp::http::{HeaderMap, HeaderName, Method};
use warp::reply::Response;

use crate::decide::Verdict;
use crate::filters::answer::mark;
use crate::filters::forward::{Chosen, Job, Plan, forward, send_failure};
use crate::filters::once::run_once;
use crate::filters::{Call, KEY_HEADER, Reason, Refusal, Shared, Target};

/// Headers that go on to the service, besides the operation key.
const PASSED: [HeaderName; 2] = [warp::http::header::CONTENT_TYPE, warp::http::header::ACCEPT];

/// Answers calls below `/v1/services/`.
pub(crate) async fn service(shared: &Arc<Shared>, call: Call) -> Result<Response, Refusal> {
    let Target::Service { pool, once, name, checks_keys } = call.target.clone() else {
        return Err(Refusal::not_run(Reason::UnknownTarget, "the request names no service"));
    };
    let reads = call.method == Method::GET || call.method == Method::HEAD;
    let plan = Plan { key: call.chat, hint: None, cost: 1, idempotent: reads && !once };
    if once && !checks_keys && call.headers.contains_key(KEY_HEADER) {
        return run_once(shared, call, &name, pool, plan).await;
    }
    forward(shared, &call, &pool, &plan, Job::Service).await
}

/// Sends the call to the chosen instance and answers with what comes back.
pub(crate) async fn send_service(
    shared: &Arc<Shared>,
    call: &Call,
    chosen: Chosen,
) -> Result<Response, Refusal> {
    let mut url = format!("http://{}{}", chosen.server.address, call.path);
    if !call.query.is_empty() {
        url = format!("{url}?{}", call.query);
    }
    let left = call.deadline.saturating_duration_since(shared.clock.now());
    let sent = shared
        .http
        .request(call.method.clone(), url)
        .timeout(left)
        .header("x-request-id", &call.id)
        .headers(passed_headers(&call.headers))
        .body(call.body.clone())
        .send();
    let reply = sent.await.map_err(|e| send_failure(&e))?;
    let status = reply.status();
    let kind = reply.headers().get("content-type").cloned();
    if status.is_server_error() {
        let message = format!("the service answered {status}");
        return Err(Refusal::may_have_run(Reason::BackendFailed, message));
    }
    let body = reply.bytes().await.map_err(|e| send_failure(&e))?;
    let mut answer = warp::http::Response::new(body).into_response();
    *answer.status_mut() = status;
    if let Some(kind) = kind {
        answer.headers_mut().insert("content-type", kind);
    }
    mark(&mut answer, &call.id, Verdict::Ran);
    Ok(answer)
}

/// The headers that a service gets to see.
fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let key = HeaderName::from_static(KEY_HEADER);
    let names = PASSED.iter().chain(std::iter::once(&key));
    names.filter_map(|it| Some((it.clone(), headers.get(it)?.clone()))).collect()
}
