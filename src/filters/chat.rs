//! Chat requests.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::Value;
use warp::http::{HeaderValue, StatusCode};
use warp::reply::Response;

use crate::decide::{Verdict, combine, hash_bytes};
use crate::events::{Code, Fields};
use crate::filters::admit::priority;
use crate::filters::answer::{json, mark};
use crate::filters::forward::{Chosen, Job, Plan, forward, send_failure};
use crate::filters::hint::read_hint;
use crate::filters::stream::stream_answer;
use crate::filters::{Call, HINT_HEADER, Reason, Refusal, Shared, Target};
use crate::keys::write_hint;

/// Answers `POST /v1/chat/completions`.
pub(crate) async fn chat(shared: &Arc<Shared>, mut call: Call) -> Result<Response, Refusal> {
    let Some(mut request) = call.request.take() else {
        return Err(Refusal::not_run(Reason::BadRequest, "the body is missing"));
    };
    let Target::Model { pool, name } = call.target.clone() else {
        return Err(Refusal::not_run(Reason::UnknownTarget, "the request names no model"));
    };
    request.model = name;
    let plan = Plan {
        key: combine(call.chat, hash_bytes(request.model.as_bytes())),
        hint: read_hint(shared, &call),
        cost: request.cost(),
        idempotent: true,
    };
    request.rest.insert("priority".to_owned(), priority(shared, &call, plan.cost).into());
    let body = serde_json::to_vec(&request)
        .map_err(|e| Refusal::not_run(Reason::BadRequest, e.to_string()))?;
    let job = ChatJob { body: Bytes::from(body), stream: request.stream };
    let result = forward(shared, &call, &pool, &plan, Job::Chat(&job)).await;
    let verdict = result.as_ref().map_or_else(|it| it.verdict, |_| Verdict::Ran);
    shared.counters.count_arms(&call.arms, verdict);
    result
}

/// A chat request as engines get it.
pub(crate) struct ChatJob {
    body: Bytes,
    stream: bool,
}

/// Sends the request to the chosen engine and answers with what comes back.
pub(crate) async fn send_chat(
    shared: &Arc<Shared>,
    call: &Call,
    job: &ChatJob,
    chosen: Chosen,
) -> Result<Response, Refusal> {
    let url = format!("http://{}/v1/chat/completions", chosen.server.address);
    let left = call.deadline.saturating_duration_since(shared.clock.now());
    let sent = shared
        .http
        .post(url)
        .timeout(left)
        .header("content-type", "application/json")
        .header("x-request-id", &call.id)
        .body(job.body.clone())
        .send();
    let reply = sent.await.map_err(|e| send_failure(&e))?;
    if reply.status() != StatusCode::OK {
        return Err(engine_refusal(reply.status()));
    }
    let hint = write_hint(&shared.keys, call.chat, chosen.engine.id, chosen.engine.incarnation);
    let mut answer = if job.stream {
        stream_answer(shared, call, reply, chosen.work)
    } else {
        whole(shared, call, reply).await?
    };
    mark(&mut answer, &call.id, Verdict::Ran);
    if let Ok(hint) = HeaderValue::from_str(&hint) {
        answer.headers_mut().insert(HINT_HEADER, hint);
    }
    Ok(answer)
}

/// What an engine's refusal means.
fn engine_refusal(status: StatusCode) -> Refusal {
    let message = format!("the engine answered {status}");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::NOT_FOUND => {
            Refusal::not_run(Reason::BackendFailed, message)
        }
        _ => Refusal::may_have_run(Reason::BackendFailed, message),
    }
}

/// Reads a whole answer and checks that it belongs to the request.
async fn whole(
    shared: &Shared,
    call: &Call,
    reply: reqwest::Response,
) -> Result<Response, Refusal> {
    let body: Value = reply.json().await.map_err(|e| send_failure(&e))?;
    if body["id"] != call.id.as_str() {
        let message = "the engine answered another request";
        return Err(Refusal::may_have_run(Reason::BackendFailed, message));
    }
    shared.counters.count_usage(&call.arms, &body["usage"]);
    let fields = Fields { subject: &call.id, detail: "whole" };
    shared.events.record(Code::RequestDone, fields);
    Ok(json(&body))
}
